package front

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/platform"
	"github.com/crocusjunction/crocusjunction/internal/strictjson"
)

// commitTimeout bounds a configuration change, including the wait for
// confirmations.
const commitTimeout = 10 * time.Second

// maxOperatorValues bounds the values in the body of an operator's change or order. The
// largest name a few for each of 140 teams or 22 pools.
const maxOperatorValues = 2048

// ChangeAnswer is the JSON answer to POST /v1/config/change.
type ChangeAnswer struct {
	Result   contract.ChangeResult `json:"result"`
	Revision uint64                `json:"revision,omitempty"`
	Reason   string                `json:"reason,omitempty"`
	Propagation
}

// Propagation lists the data centres with their confirmations of a revision.
type Propagation struct {
	// Confirmed is true when every data centre has confirmed the revision.
	Confirmed   bool                           `json:"confirmed"`
	DataCentres []fleet.DataCentreConfirmation `json:"datacentres,omitempty"`
	// OldConfigurationEnds is the time after which data centres that have not
	// confirmed no longer start work on an older configuration. It is nil when
	// all have confirmed. It is also nil, because the time is unknown, while an
	// instance of the answering data centre has not confirmed: during an outage
	// of the platform such an instance may still report the old revision as the
	// newest.
	OldConfigurationEnds *time.Time `json:"old_configuration_ends,omitempty"`
	// LongestStalenessEnds is the same time for the service whose document allows
	// the longest staleness. It is nil when no document allows more than the
	// freshness horizon.
	LongestStalenessEnds *time.Time `json:"longest_staleness_ends,omitempty"`
}

// ObjectList is the JSON answer to GET /v1/config/{kind} and
// /v1/config/{kind}/{name}.
type ObjectList struct {
	Revision uint64            `json:"revision"`
	Objects  []contract.Object `json:"objects"`
}

func (s *Server) configRoutes() []route {
	return []route{
		{method: http.MethodPost, prefix: "/v1/config/change", handle: s.changeConfig},
		{method: http.MethodGet, prefix: "/v1/config/status", handle: s.configStatus},
		{method: http.MethodGet, prefix: "/v1/config/", handle: s.listObjects},
	}
}

// changeConfig serves POST /v1/config/change.
func (s *Server) changeConfig(x *exchange, _ string) {
	var change contract.Change
	if err := strictjson.DecodeBounded(x.body, &change, maxOperatorValues); err != nil {
		writeError(x, http.StatusBadRequest, Error{Code: fleet.CodeBadRequest, Reason: err.Error()})
		return
	}
	if change.ID == "" || change.Author == "" {
		writeError(x, http.StatusBadRequest, Error{Code: fleet.CodeBadRequest, Reason: "id and author are required"})
		return
	}
	commitCtx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	outcome, err := s.deps.Committer.Commit(commitCtx, change)
	if err != nil {
		writeCommitError(x, err)
		return
	}
	answer := ChangeAnswer{Result: outcome.Result, Revision: outcome.Revision, Reason: outcome.Reason}
	if outcome.Result == contract.ChangeAccepted {
		s.deps.Log.Infof("front: accepted change of %s at revision %d by %s", change.Object.Ref, outcome.Revision, change.Author)
		answer.Propagation = s.propagate(commitCtx, outcome.Head)
	}
	writeJSON(x, changeResultStatus(outcome.Result), answer)
}

// propagate hands a committed head to the control thread, forwards it to the
// other instances, and returns what the data centres confirmed before ctx ended.
// It returns the zero value when the control thread does not answer.
func (s *Server) propagate(ctx context.Context, head contract.Head) Propagation {
	plan, err := control.Ask(ctx, s.deps.Loop, func(reply chan<- fleet.PropagationPlan) fleet.Event {
		return fleet.HeadCommitted{Head: head, Reply: reply}
	})
	if err != nil {
		return Propagation{}
	}
	return s.awaitConfirmations(ctx, plan)
}

// awaitConfirmations carries out a propagation plan and returns the
// confirmations. It computes OldConfigurationEnds after the wait: only then have
// all instances of its own data centre stopped reporting the old revision as the
// newest.
func (s *Server) awaitConfirmations(ctx context.Context, plan fleet.PropagationPlan) Propagation {
	result := Propagation{Confirmed: true, DataCentres: s.deps.Propagate(ctx, plan)}
	ownConfirmed := true
	for _, dataCentre := range result.DataCentres {
		result.Confirmed = result.Confirmed && dataCentre.Confirmed
		ownConfirmed = ownConfirmed && (dataCentre.Confirmed || !dataCentre.Own)
	}
	if result.Confirmed || !ownConfirmed {
		return result
	}
	now := s.deps.Clock()
	ends := now.Add(plan.Horizon)
	result.OldConfigurationEnds = &ends
	if plan.LongestStaleness > plan.Horizon {
		longest := now.Add(plan.LongestStaleness)
		result.LongestStalenessEnds = &longest
	}
	return result
}

// writeCommitError writes the reply for a change that was not committed, or whose
// commit has an unknown outcome.
func writeCommitError(x *exchange, err error) {
	code := "not-accepted"
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		code = "unknown"
	}
	writeError(x, http.StatusServiceUnavailable, Error{Code: code, Reason: err.Error(), RetryAfterMS: 1000})
}

// changeResultStatus returns the HTTP status for the result of a change.
func changeResultStatus(r contract.ChangeResult) int {
	switch r {
	case contract.ChangeAccepted:
		return http.StatusOK
	case contract.ChangeConflict:
		return http.StatusConflict
	default:
		return http.StatusUnprocessableEntity
	}
}

// listObjects serves /v1/config/{kind} and /v1/config/{kind}/{name}.
func (s *Server) listObjects(x *exchange, path string) {
	snapshot := s.deps.Loop.Snapshot()
	kind, name, single := strings.Cut(path, "/")
	objects := snapshot.Objects(contract.Kind(kind))
	if single {
		object, ok := contract.Find(objects, name)
		if !ok {
			writeError(x, http.StatusNotFound, Error{Code: "not-found", Reason: "no object " + path})
			return
		}
		objects = []contract.Object{object}
	}
	if objects == nil {
		objects = []contract.Object{}
	}
	writeJSON(x, http.StatusOK, ObjectList{Revision: snapshot.Revision, Objects: objects})
}
