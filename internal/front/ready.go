package front

import (
	"net/http"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
)

func (s *Server) readyRoutes() []route {
	return []route{
		{method: http.MethodGet, prefix: "/v1/ready", handle: s.ready},
		{method: http.MethodGet, prefix: "/v1/live", handle: s.live},
	}
}

// ready serves GET /v1/ready, with which a load balancer decides whether to send
// new requests to this instance.
func (s *Server) ready(x *exchange, _ string) {
	reason := ""
	switch {
	case s.draining.Load():
		reason = "the instance is stopping"
	case !s.deps.Loop.Snapshot().Loaded:
		reason = "configuration is not loaded"
	}
	if reason != "" {
		writeError(x, http.StatusServiceUnavailable, Error{Code: fleet.CodeNotReady, Reason: reason})
		return
	}
	writeJSON(x, http.StatusOK, map[string]bool{"ready": true})
}

// live serves GET /v1/live, with which the platform checks that the process
// answers.
func (s *Server) live(x *exchange, _ string) {
	writeJSON(x, http.StatusOK, map[string]bool{"live": true})
}

// Drain withdraws readiness. The server still accepts connections and serves
// requests, but closes each connection after its current request.
func (s *Server) Drain() { s.draining.Store(true) }
