// Package front is the HTTP front end of an entry instance for callers and
// operators. It translates between HTTP with JSON and the packages traffic and
// control, which make all decisions.
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

// Error is the JSON body of every error reply.
type Error struct {
	Code   string `json:"code"`
	Reason string `json:"reason"`
	// RetryAfterMS is the time after which a repeat may succeed, in milliseconds.
	// It is 0 when none is given.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// Dependencies are the parts of the process that a Server calls.
type Dependencies struct {
	Loop      *control.Loop
	Traffic   *traffic.Handler
	Committer *control.Committer
	Tasks     *control.TaskReader
	// Dropped returns the counts of discarded endpoint answers.
	Dropped func() traffic.DroppedCounts
	Orders  *control.Orders
	// Propagate forwards the revision of a plan to the fleet and returns the
	// confirmation of each data centre. It blocks until all have confirmed or the
	// wait times out.
	Propagate func(ctx context.Context, plan fleet.PropagationPlan) []fleet.DataCentreConfirmation
	Limits    LimitsReader
	Metrics   *telemetry.Metrics
	Log       *logrus.Entry
	Clock     func() time.Time
}

// handlerFunc serves one request. The name argument is the rest of the path after
// the route's prefix.
type handlerFunc func(ctx *fasthttp.RequestCtx, name string)

// route maps a method and a path prefix to a handler.
type route struct {
	method, prefix string
	handle         handlerFunc
}

// Server is the HTTP server of one entry instance.
type Server struct {
	deps   Dependencies
	routes []route
	http   *fasthttp.Server
	// draining is true once Drain has withdrawn readiness: the instance reports
	// that it is not ready and closes each connection after its current request.
	draining atomic.Bool
}

// NewServer returns a server that does not accept connections yet.
func NewServer(deps Dependencies) *Server {
	s := &Server{deps: deps}
	s.routes = append(s.routes, s.workRoutes()...)
	s.routes = append(s.routes, s.configRoutes()...)
	s.routes = append(s.routes, s.explainRoutes()...)
	s.routes = append(s.routes, s.taskRoutes()...)
	s.routes = append(s.routes, s.scheduleRoutes()...)
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

// Serve accepts connections on l and serves them until Shutdown.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(l) }

// Shutdown stops accepting connections and waits until the running requests have
// ended or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }

func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	s.route(ctx)
	if s.draining.Load() {
		ctx.SetConnectionClose()
	}
}

// route calls the handler of the first route that matches the method and path.
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
		writeError(ctx, fasthttp.StatusMethodNotAllowed, Error{Code: "method-not-allowed", Reason: method + " is not allowed at " + path})
		return
	}
	writeError(ctx, fasthttp.StatusNotFound, Error{Code: "not-found", Reason: "no route " + path})
}

// protocolError replies to a request that fasthttp could not read.
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
