package front

import "net/http"

// metricsRoutes returns the route of GET /metrics, which answers in the Prometheus
// text format.
func (s *Server) metricsRoutes() []route {
	handler := s.deps.Metrics.Handler()
	return []route{{
		method: http.MethodGet,
		prefix: "/metrics",
		handle: func(x *exchange, _ string) { handler.ServeHTTP(x, x.request) },
	}}
}
