// Package front is the HTTP front end of an entry instance for callers and
// operators. It translates between HTTP with JSON and the packages traffic and
// control, which make all decisions.
package front

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/crocusjunction/crocusjunction/internal/clientserver"
	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/link/intake"
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
	// Capacity is what the server takes in of its clients, RequestLimits what it allows
	// each request.
	Capacity      intake.Capacity
	RequestLimits policy.RequestLimits
}

// handlerFunc serves one request. The name argument is the rest of the path after
// the route's prefix.
type handlerFunc func(x *exchange, name string)

// route maps a method and a path prefix to a handler.
type route struct {
	method, prefix string
	handle         handlerFunc
}

// Server is the HTTP server of one entry instance.
type Server struct {
	deps    Dependencies
	routes  []route
	clients *clientserver.Clients
	http    *http.Server
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
	s.clients = s.newClients(deps.Capacity, deps.RequestLimits)
	s.http = s.clients.NewServer(s.clients.Admit(s))
	return s
}

// Serve accepts connections on a listener of Listen and serves them until Shutdown. The
// caller runs Watch meanwhile.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// Shutdown stops accepting connections on l and waits until the running requests have
// ended or ctx ends.
func (s *Server) Shutdown(ctx context.Context, l net.Listener) error {
	s.clients.Drain(ctx, l)
	return s.http.Shutdown(ctx)
}

// ServeHTTP implements http.Handler. A request whose handling fails unexpectedly may have
// run.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{ResponseWriter: w, server: s, request: r}
	defer func() {
		if cause := recover(); cause != nil {
			s.deps.Log.WithField("stack", string(debug.Stack())).Errorf("front: serving %s failed: %v", r.URL.Path, cause)
			writeOutcome(x, traffic.Outcome{Kind: traffic.Unknown, Reason: "unexpected failure"})
		}
	}()
	body, refusal := s.clients.ReadBody(w, r)
	if refusal != nil {
		s.clients.Refuse(w, *refusal)
		return
	}
	x.body = body
	s.route(x)
}

// route calls the handler of the first route that matches the method and path.
func (s *Server) route(x *exchange) {
	path, method := x.request.URL.Path, x.request.Method
	found := false
	for _, r := range s.routes {
		name, ok := strings.CutPrefix(path, r.prefix)
		if !ok {
			continue
		}
		found = true
		if method == r.method {
			r.handle(x, name)
			return
		}
	}
	if found {
		writeError(x, http.StatusMethodNotAllowed, Error{Code: "method-not-allowed", Reason: method + " is not allowed at " + path})
		return
	}
	writeError(x, http.StatusNotFound, Error{Code: "not-found", Reason: "no route " + path})
}
