package front

import (
	"github.com/valyala/fasthttp"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
)

func (s *Server) scheduleRoutes() []route {
	return []route{
		{method: fasthttp.MethodGet, prefix: "/v1/share", handle: s.listShares},
		{method: fasthttp.MethodGet, prefix: "/v1/worker", handle: s.listWorkers},
	}
}

// listShares serves GET /v1/share. Only the entry instance that has the scheduler
// role of the data centre can list the shares; any other answers with the name of
// that instance.
func (s *Server) listShares(ctx *fasthttp.RequestCtx, _ string) {
	view, ok := queryControl(s, ctx, func(reply chan<- fleet.ShareView) fleet.Event { return fleet.ShareQuery{Reply: reply} })
	if !ok {
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, view)
}

// listWorkers serves GET /v1/worker, with the same restriction as listShares.
func (s *Server) listWorkers(ctx *fasthttp.RequestCtx, _ string) {
	view, ok := queryControl(s, ctx, func(reply chan<- fleet.WorkerListView) fleet.Event { return fleet.WorkerQuery{Reply: reply} })
	if !ok {
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, view)
}
