package traffic

import (
	"context"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/link"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// errLate says that the slot of a request must be asked for again. It never
// reaches a caller.
var errLate = &fleet.Refusal{Code: fleet.CodeOverloaded, Reason: "the admission has lapsed"}

// send makes attempts until one is answered or the plan forbids another.
func (h *Handler) send(ctx context.Context, j *job) Outcome {
	budget := h.budgets.of(j.team, h.parts.Clock())
	budget.earn(h.parts.Clock())
	plan := link.NewAttemptPlan(j.ID, j.idempotent(), j.Deadline)
	avoid := ""
	for {
		endpoint, refusal := h.reserve(j, avoid)
		if refusal == errLate {
			if refusal = h.readmit(ctx, j); refusal == nil {
				continue
			}
		}
		if refusal != nil {
			return unanswered(&plan, refusal)
		}
		result, ok := h.attempt(ctx, j, &plan, endpoint)
		if !ok {
			return unanswered(&plan, deadlinePassed())
		}
		if result.End == link.AttemptAnswered {
			return Outcome{Kind: Answered, Status: result.Status, Body: result.Body, Attempts: plan.Attempts()}
		}
		avoid = endpoint.ID
		j.lost = result.End == link.AttemptLost
		if !h.mayRetry(&plan, budget, j.Deadline) {
			return unanswered(&plan, failed(result.Err))
		}
		if j.lost {
			if refusal = h.readmit(ctx, j); refusal != nil {
				return unanswered(&plan, refusal)
			}
		}
	}
}

// attempt sends once to an endpoint that was reserved, and gives it back.
func (h *Handler) attempt(ctx context.Context, j *job, plan *link.AttemptPlan, e machine.Endpoint) (SendResult, bool) {
	defer h.giveBack(j.Service, e)
	began := h.parts.Clock()
	attempt, ok := plan.Begin(began)
	if !ok {
		return SendResult{}, false
	}
	attempt.NewConnection = e.Phase != machine.EndpointLive || attempt.Number > 1
	result := h.parts.Sender.Send(ctx, e, attempt, j.Body)
	plan.End(result.End)
	h.report(e, began, result)
	return result, true
}

// mayRetry pays for another attempt and waits for its back-off.
func (h *Handler) mayRetry(plan *link.AttemptPlan, budget *teamBudget, deadline time.Time) bool {
	now := h.parts.Clock()
	switch plan.Retry(now) {
	case link.RetryForbidden:
		return false
	case link.RetryPaid:
		if !budget.take(now) {
			return false
		}
	}
	pause := link.BackOff(plan.Attempts(), h.parts.Random.Float64())
	if !now.Add(pause).Before(deadline) {
		return false
	}
	time.Sleep(pause)
	return true
}

// unanswered returns the outcome of a request without an answer. "Not run" is
// claimed only when no attempt may have been run.
func unanswered(plan *link.AttemptPlan, r *fleet.Refusal) Outcome {
	if plan.MayHaveRun() {
		return Outcome{Kind: Unknown, Reason: r.Reason, Attempts: plan.Attempts()}
	}
	return Outcome{Kind: NotRun, Refusal: r, Attempts: plan.Attempts()}
}

func failed(err error) *fleet.Refusal {
	return &fleet.Refusal{Code: fleet.CodeNoEndpoint, Reason: err.Error(), RetryAfter: time.Second}
}

// report tells the control thread what the attempt showed about the endpoint.
// An answer of a live endpoint is only counted, so that the usual request costs
// no event.
func (h *Handler) report(e machine.Endpoint, began time.Time, r SendResult) {
	now := h.parts.Clock()
	var evidence fleet.EndpointEvidence
	switch {
	case r.Leaving:
		evidence = fleet.EvidenceLeaving
	case r.End == link.AttemptAnswered || r.End == link.AttemptDeclined:
		e.Load.RecordAnswer(now)
		if e.Phase == machine.EndpointLive || r.End == link.AttemptDeclined {
			return
		}
		evidence = fleet.EvidenceAnswered
	case r.Silent:
		evidence = fleet.EvidenceSilent
	case r.NoConnection || r.End == link.AttemptLost:
		evidence = fleet.EvidenceBroken
	default:
		return
	}
	reason := string(evidence)
	if r.Err != nil {
		reason = r.Err.Error()
	}
	_ = h.parts.Control.Send(context.Background(), fleet.EndpointReport{
		DataCentre: e.DataCentre, ID: e.ID, Address: e.Address, Evidence: evidence, Began: began, Reason: reason,
	})
}
