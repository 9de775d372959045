package front

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/platform"
	"github.com/crocusjunction/crocusjunction/internal/strictjson"
)

// commitTimeout bounds one configuration change.
const commitTimeout = 10 * time.Second

// ChangeAnswer is the JSON answer to a configuration change.
type ChangeAnswer struct {
	Result   contract.ChangeResult `json:"result"`
	Revision uint64                `json:"revision,omitempty"`
	Reason   string                `json:"reason,omitempty"`
}

// ObjectList is the JSON answer to a list of configuration objects.
type ObjectList struct {
	Revision uint64            `json:"revision"`
	Objects  []contract.Object `json:"objects"`
}

func (s *Server) configRoutes() []route {
	return []route{
		{method: fasthttp.MethodPost, prefix: "/v1/config/change", handle: s.change},
		{method: fasthttp.MethodGet, prefix: "/v1/config/", handle: s.listObjects},
	}
}

func (s *Server) change(ctx *fasthttp.RequestCtx, _ string) {
	var change contract.Change
	if err := strictjson.Decode(ctx.PostBody(), &change); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, Error{Code: fleet.CodeBadRequest, Reason: err.Error()})
		return
	}
	if change.ID == "" || change.Author == "" {
		writeError(ctx, fasthttp.StatusBadRequest, Error{Code: fleet.CodeBadRequest, Reason: "id and author are required"})
		return
	}
	limited, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	outcome, err := s.parts.Committer.Commit(limited, change)
	if err != nil {
		writeCommitError(ctx, err)
		return
	}
	if outcome.Result == contract.ChangeAccepted {
		_ = s.parts.Loop.Send(limited, fleet.HeadCommitted{Head: outcome.Head})
		s.parts.Log.Infof("front: accepted %s at revision %d by %s", change.Object.Ref, outcome.Revision, change.Author)
	}
	answer := ChangeAnswer{Result: outcome.Result, Revision: outcome.Revision, Reason: outcome.Reason}
	writeJSON(ctx, changeStatus(outcome.Result), answer)
}

func writeCommitError(ctx *fasthttp.RequestCtx, err error) {
	code := "not-accepted"
	if errors.Is(err, platform.ErrUnknown) {
		code = "unknown"
	}
	writeError(ctx, fasthttp.StatusServiceUnavailable, Error{Code: code, Reason: err.Error(), RetryAfterMS: 1000})
}

func changeStatus(r contract.ChangeResult) int {
	switch r {
	case contract.ChangeAccepted:
		return fasthttp.StatusOK
	case contract.ChangeConflict:
		return fasthttp.StatusConflict
	default:
		return fasthttp.StatusUnprocessableEntity
	}
}

func (s *Server) listObjects(ctx *fasthttp.RequestCtx, kind string) {
	view := s.parts.Loop.Snapshot()
	objects := view.Objects(contract.Kind(kind))
	if objects == nil {
		objects = []contract.Object{}
	}
	writeJSON(ctx, fasthttp.StatusOK, ObjectList{Revision: view.Revision, Objects: objects})
}
