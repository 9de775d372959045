package front

import (
	"context"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/control"
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
	Spread
}

// Spread says which data centres hold a revision.
type Spread struct {
	// Confirmed is true when every data centre has confirmed.
	Confirmed bool                       `json:"confirmed"`
	Centres   []fleet.CentreConfirmation `json:"datacentres,omitempty"`
	// OldEnds is when data centres that have not confirmed stop to start work
	// on an older configuration. Documents that allow a longer staleness go on
	// until LongestOldEnds. Not set when all have confirmed, and not known
	// while an instance of the answering data centre has not confirmed: in an
	// outage of the platform it may still vouch for the old revision.
	OldEnds        *time.Time `json:"old_configuration_ends,omitempty"`
	LongestOldEnds *time.Time `json:"longest_staleness_ends,omitempty"`
}

// ObjectList is the JSON answer to a list of configuration objects.
type ObjectList struct {
	Revision uint64            `json:"revision"`
	Objects  []contract.Object `json:"objects"`
}

func (s *Server) configRoutes() []route {
	return []route{
		{method: fasthttp.MethodPost, prefix: "/v1/config/change", handle: s.change},
		{method: fasthttp.MethodGet, prefix: "/v1/config/status", handle: s.configStatus},
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
	answer := ChangeAnswer{Result: outcome.Result, Revision: outcome.Revision, Reason: outcome.Reason}
	if outcome.Result == contract.ChangeAccepted {
		s.parts.Log.Infof("front: accepted %s at revision %d by %s", change.Object.Ref, outcome.Revision, change.Author)
		answer.Spread = s.spread(limited, outcome.Head)
	}
	writeJSON(ctx, changeStatus(outcome.Result), answer)
}

// spread passes a committed head on and waits for confirmations.
func (s *Server) spread(ctx context.Context, head contract.Head) Spread {
	plan, err := control.Ask(ctx, s.parts.Loop, func(reply chan<- fleet.SpreadPlan) fleet.Event {
		return fleet.HeadCommitted{Head: head, Reply: reply}
	})
	if err != nil {
		return Spread{}
	}
	return s.confirmations(ctx, plan)
}

// confirmations runs a plan. The time at which the old configuration ends is
// counted from the end of the wait: by then the own data centre no longer
// vouches for the old revision.
func (s *Server) confirmations(ctx context.Context, plan fleet.SpreadPlan) Spread {
	result := Spread{Confirmed: true, Centres: s.parts.Spread(ctx, plan)}
	ownConfirmed := true
	for _, centre := range result.Centres {
		result.Confirmed = result.Confirmed && centre.Confirmed
		ownConfirmed = ownConfirmed && (centre.Confirmed || !centre.Own)
	}
	if result.Confirmed || !ownConfirmed {
		return result
	}
	now := s.parts.Clock()
	ends := now.Add(plan.Horizon)
	result.OldEnds = &ends
	if plan.LongestStaleness > plan.Horizon {
		longest := now.Add(plan.LongestStaleness)
		result.LongestOldEnds = &longest
	}
	return result
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

// listObjects serves /v1/config/{kind} and /v1/config/{kind}/{name}.
func (s *Server) listObjects(ctx *fasthttp.RequestCtx, path string) {
	view := s.parts.Loop.Snapshot()
	kind, name, one := strings.Cut(path, "/")
	objects := view.Objects(contract.Kind(kind))
	if one {
		object, ok := contract.Find(objects, name)
		if !ok {
			writeError(ctx, fasthttp.StatusNotFound, Error{Code: "not-found", Reason: "no object " + path})
			return
		}
		objects = []contract.Object{object}
	}
	if objects == nil {
		objects = []contract.Object{}
	}
	writeJSON(ctx, fasthttp.StatusOK, ObjectList{Revision: view.Revision, Objects: objects})
}
