package front

import (
	"net/http"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
)

func (s *Server) scheduleRoutes() []route {
	return []route{
		{method: http.MethodGet, prefix: "/v1/share", handle: s.listShares},
		{method: http.MethodGet, prefix: "/v1/worker", handle: s.listWorkers},
	}
}

// listShares serves GET /v1/share. Only the entry instance that has the scheduler
// role of the data centre can list the shares; any other answers with the name of
// that instance.
func (s *Server) listShares(x *exchange, _ string) {
	view, ok := queryControl(s, x, func(reply chan<- fleet.ShareView) fleet.Event { return fleet.ShareQuery{Reply: reply} })
	if !ok {
		return
	}
	writeJSON(x, http.StatusOK, view)
}

// listWorkers serves GET /v1/worker, with the same restriction as listShares.
func (s *Server) listWorkers(x *exchange, _ string) {
	view, ok := queryControl(s, x, func(reply chan<- fleet.WorkerListView) fleet.Event { return fleet.WorkerQuery{Reply: reply} })
	if !ok {
		return
	}
	writeJSON(x, http.StatusOK, view)
}
