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
	reply := make(chan fleet.ShareView, 1)
	if err := s.parts.Loop.Send(ctx, fleet.ShareQuery{Reply: reply}); err != nil {
		writeError(ctx, fasthttp.StatusServiceUnavailable, Error{Code: fleet.CodeNotReady, Reason: err.Error()})
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, <-reply)
}

// workers serves /v1/worker, like shares.
func (s *Server) workers(ctx *fasthttp.RequestCtx, _ string) {
	reply := make(chan fleet.WorkerListView, 1)
	if err := s.parts.Loop.Send(ctx, fleet.WorkerQuery{Reply: reply}); err != nil {
		writeError(ctx, fasthttp.StatusServiceUnavailable, Error{Code: fleet.CodeNotReady, Reason: err.Error()})
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, <-reply)
}
