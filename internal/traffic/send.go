package traffic

import (
	"context"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/link"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// errAdmissionExpired makes send acquire a new admission for the request. It is
// never returned to a caller.
var errAdmissionExpired = &fleet.Refusal{Code: fleet.CodeOverloaded, Reason: "the admission has expired"}

// send sends an admitted request, one attempt after another, until an endpoint
// answers or no further attempt is allowed.
func (h *Handler) send(ctx context.Context, c *call) Outcome {
	budget := h.retryBudgets.forTeam(c.team, h.deps.Clock())
	budget.addRequest(h.deps.Clock())
	plan := link.NewAttemptPlan(c.ID, c.idempotent(), c.Deadline)
	avoid := ""
	for {
		endpoint, refusal := h.reserveEndpoint(c, avoid)
		if refusal == errAdmissionExpired {
			if refusal = h.readmit(ctx, c); refusal == nil {
				continue
			}
		}
		if refusal != nil {
			return unansweredOutcome(&plan, refusal)
		}
		result, ok := h.sendAttempt(ctx, c, &plan, endpoint)
		if !ok {
			return unansweredOutcome(&plan, deadlineRefusal())
		}
		if result.End == link.AttemptAnswered {
			return Outcome{Kind: Answered, Status: result.Status, Body: result.Body, Attempts: plan.Attempts()}
		}
		avoid = endpoint.ID
		c.attemptLost = result.End == link.AttemptLost
		if !h.prepareRetry(&plan, budget, c.Deadline) {
			return unansweredOutcome(&plan, attemptRefusal(result.Err))
		}
		if c.attemptLost {
			if refusal = h.readmit(ctx, c); refusal != nil {
				return unansweredOutcome(&plan, refusal)
			}
		}
	}
}

// sendAttempt sends the next attempt of the plan to a reserved endpoint and
// releases the endpoint. It returns false when the plan allows no further
// attempt.
func (h *Handler) sendAttempt(ctx context.Context, c *call, plan *link.AttemptPlan, e machine.Endpoint) (SendResult, bool) {
	defer h.releaseEndpoint(c.Service, e)
	began := h.deps.Clock()
	attempt, ok := plan.Begin(began)
	if !ok {
		return SendResult{}, false
	}
	attempt.NewConnection = e.Phase != machine.EndpointLive || attempt.Number > 1
	result := h.deps.Sender.Send(ctx, e, attempt, c.Body)
	plan.End(result.End)
	h.reportEndpoint(e, began, result)
	return result, true
}

// prepareRetry deducts a token from the budget if the plan requires one, and
// sleeps for the back-off. It returns false when the plan, the budget or the
// deadline forbids another attempt.
func (h *Handler) prepareRetry(plan *link.AttemptPlan, budget *teamRetryBudget, deadline time.Time) bool {
	now := h.deps.Clock()
	switch plan.Retry(now) {
	case link.RetryForbidden:
		return false
	case link.RetryNeedsToken:
		if !budget.takeRetry(now) {
			return false
		}
	}
	backOff := link.BackOff(plan.Attempts(), h.deps.Random.Float64())
	if !now.Add(backOff).Before(deadline) {
		return false
	}
	time.Sleep(backOff)
	return true
}

// unansweredOutcome returns the outcome of a request that no endpoint answered:
// NotRun with the refusal if no endpoint can have run an attempt, otherwise
// Unknown.
func unansweredOutcome(plan *link.AttemptPlan, r *fleet.Refusal) Outcome {
	if plan.MayHaveRun() {
		return Outcome{Kind: Unknown, Reason: r.Reason, Attempts: plan.Attempts()}
	}
	return Outcome{Kind: NotRun, Refusal: r, Attempts: plan.Attempts()}
}

// attemptRefusal returns the refusal of a request whose last attempt failed with
// err.
func attemptRefusal(err error) *fleet.Refusal {
	return &fleet.Refusal{Code: fleet.CodeNoEndpoint, Reason: err.Error(), RetryAfter: time.Second}
}

// reportEndpoint reports an attempt's evidence on the endpoint's health to the
// control thread. An answer of a live endpoint is only recorded in the endpoint's
// load, so that the common case queues no event.
func (h *Handler) reportEndpoint(e machine.Endpoint, began time.Time, r SendResult) {
	now := h.deps.Clock()
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
	case r.TimedOut:
		evidence = fleet.EvidenceSilent
	case r.DialFailed || r.End == link.AttemptLost:
		evidence = fleet.EvidenceBroken
	default:
		return
	}
	reason := string(evidence)
	if r.Err != nil {
		reason = r.Err.Error()
	}
	_ = h.deps.Control.Send(context.Background(), fleet.EndpointReport{
		DataCentre: e.DataCentre, ID: e.ID, Address: e.Address, Evidence: evidence, Began: began, Reason: reason,
	})
}
