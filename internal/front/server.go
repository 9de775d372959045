// Package front is the HTTP front end for callers and operators. It translates
// between HTTP with JSON and the packages traffic and control, and decides
// nothing itself.
package front

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/telemetry"
	"github.com/crocusjunction/crocusjunction/internal/traffic"
)

// MaxBodySize is the largest request body, in bytes.
const MaxBodySize = 1 << 20

// Error is the JSON body of every refusal.
type Error struct {
	Code         string `json:"code"`
	Reason       string `json:"reason"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// Parts are what the front end translates to.
type Parts struct {
	Loop      *control.Loop
	Traffic   *traffic.Handler
	Committer *control.Committer
	// Dropped returns the counts of answers that were not delivered.
	Dropped func() traffic.DroppedCounts
	Orders  *control.Orders
	// Spread passes a revision on to the fleet and returns what each data
	// centre confirmed.
	Spread  func(ctx context.Context, plan fleet.SpreadPlan) []fleet.CentreConfirmation
	Limits  LimitsReader
	Metrics *telemetry.Metrics
	Log     *logrus.Entry
	Clock   func() time.Time
}

type handlerFunc func(ctx *fasthttp.RequestCtx, name string)

// route maps a method and a path prefix to a handler. The rest of the path is
// the handler's name argument.
type route struct {
	method, prefix string
	handle         handlerFunc
}

// Server is the HTTP server of one entry instance.
type Server struct {
	parts  Parts
	routes []route
	http   *fasthttp.Server
	// draining is set by Drain.
	draining atomic.Bool
}

// NewServer returns a server that is not yet listening.
func NewServer(p Parts) *Server {
	s := &Server{parts: p}
	s.routes = append(s.routes, s.workRoutes()...)
	s.routes = append(s.routes, s.configRoutes()...)
	s.routes = append(s.routes, s.explainRoutes()...)
	s.routes = append(s.routes, s.endpointRoutes()...)
	s.routes = append(s.routes, s.ticketRoutes()...)
	s.routes = append(s.routes, s.readyRoutes()...)
	s.routes = append(s.routes, s.maintenanceRoutes()...)
	s.routes = append(s.routes, s.metricsRoutes()...)
	s.routes = append(s.routes, s.limitsRoutes()...)
	s.http = &fasthttp.Server{
		Handler:            s.serve,
		MaxRequestBodySize: MaxBodySize,
		Name:               "crocusjunction",
		ErrorHandler:       s.protocolError,
		CloseOnShutdown:    true,
	}
	return s
}

// Serve accepts connections until Shutdown.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(l) }

// Shutdown stops accepting and waits for running requests.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }

func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	s.route(ctx)
	if s.draining.Load() {
		ctx.SetConnectionClose()
	}
}

func (s *Server) route(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	method := string(ctx.Method())
	found := false
	for _, r := range s.routes {
		name, ok := strings.CutPrefix(path, r.prefix)
		if !ok {
			continue
		}
		found = true
		if method == r.method {
			r.handle(ctx, name)
			return
		}
	}
	if found {
		writeError(ctx, fasthttp.StatusMethodNotAllowed, Error{Code: "method-not-allowed", Reason: method + " is not accepted at " + path})
		return
	}
	writeError(ctx, fasthttp.StatusNotFound, Error{Code: "not-found", Reason: "no route " + path})
}

func (s *Server) protocolError(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	if err == fasthttp.ErrBodyTooLarge {
		status = fasthttp.StatusRequestEntityTooLarge
	}
	ctx.Response.Header.Set(HeaderOutcome, string(traffic.NotRun))
	writeError(ctx, status, Error{Code: "bad-request", Reason: err.Error()})
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func writeError(ctx *fasthttp.RequestCtx, status int, e Error) { writeJSON(ctx, status, e) }
