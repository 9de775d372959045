package front

import (
	"github.com/valyala/fasthttp"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
)

func (s *Server) scheduleRoutes() []route {
	return []route{
		{method: fasthttp.MethodGet, prefix: "/v1/share", handle: s.shares},
		{method: fasthttp.MethodGet, prefix: "/v1/worker", handle: s.workers},
	}
}

// shares serves /v1/share. Only the scheduler of the data centre knows them;
// the answer of another entry instance names it.
func (s *Server) shares(ctx *fasthttp.RequestCtx, _ string) {
	view, ok := query(s, ctx, func(reply chan<- fleet.ShareView) fleet.Event { return fleet.ShareQuery{Reply: reply} })
	if !ok {
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, view)
}

// workers serves /v1/worker, like shares.
func (s *Server) workers(ctx *fasthttp.RequestCtx, _ string) {
	view, ok := query(s, ctx, func(reply chan<- fleet.WorkerListView) fleet.Event { return fleet.WorkerQuery{Reply: reply} })
	if !ok {
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, view)
}
