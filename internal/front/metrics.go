package front

import (
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

// metricsRoutes returns the route of GET /metrics, which answers in the Prometheus
// text format.
func (s *Server) metricsRoutes() []route {
	handler := fasthttpadaptor.NewFastHTTPHandler(s.deps.Metrics.Handler())
	return []route{{
		method: fasthttp.MethodGet,
		prefix: "/metrics",
		handle: func(ctx *fasthttp.RequestCtx, _ string) { handler(ctx) },
	}}
}
