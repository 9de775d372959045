package traffic

import (
	"context"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
)

// Claims records caller-chosen idempotency keys, so that the request of a key
// runs at most once in the fleet. It must be safe for concurrent use.
type Claims interface {
	// Claim tries to record own as the claim on the key stored under name. See
	// control.Claims.Claim for the results.
	Claim(ctx context.Context, name string, own contract.Claim) (control.HeldClaim, contract.Run, error)
	// Finish records the outcome of the request that ran under a held claim.
	Finish(ctx context.Context, held control.HeldClaim, run contract.Run)
}

// Forwarder sends a request with a ticket to the entry instance that issued the
// ticket. It must be safe for concurrent use.
type Forwarder interface {
	// Forward returns the outcome that the issuer reported. An error means that
	// no outcome arrived and the issuer may have run the request.
	Forward(ctx context.Context, t contract.Ticket, r Request) (Outcome, error)
}

// serveOnce runs a request that has an idempotency key at most once. The key is
// a ticket or chosen by the caller.
func (h *Handler) serveOnce(ctx context.Context, c *call) Outcome {
	if !contract.IsTicket(c.IdempotencyKey) {
		return h.serveClaim(ctx, c)
	}
	ticket, err := contract.ParseTicket(c.IdempotencyKey)
	if err != nil {
		return refusedOutcome(&fleet.Refusal{Code: fleet.CodeBadRequest, Reason: "the idempotency key starts with " + contract.TicketPrefix + " but is not a valid ticket"})
	}
	self := h.deps.Self
	if ticket.Issuer == self.ID || c.Forwarded {
		return h.serveTicket(ctx, c, ticket)
	}
	outcome, err := h.deps.Forwarder.Forward(ctx, ticket, c.Request)
	if err != nil {
		return Outcome{Kind: Unknown, Reason: "the instance that issued the ticket did not answer: " + err.Error()}
	}
	return outcome
}

// serveTicket runs a request under a ticket of this instance. A repeated call
// waits for the outcome of the first call, but not beyond its own deadline.
func (h *Handler) serveTicket(ctx context.Context, c *call, t contract.Ticket) Outcome {
	reply, end := make(chan contract.Run, 1), make(chan contract.Run, 1)
	begin := fleet.BeginTicket{Ticket: t, Team: c.team, Body: contract.HashBody(c.Service, c.Body), Reply: reply, End: end}
	if err := h.deps.Control.SendTraffic(ctx, begin); err != nil {
		return Outcome{Kind: Unknown, Reason: "the ticket could not be looked up: " + err.Error()}
	}
	// RunStart obliges this call to run the request and to report its end, so the
	// wait for the reply does not stop at the deadline.
	switch run := <-reply; run.State {
	case contract.RunStart:
	case contract.RunRunning:
		return outcomeFromRun(h.awaitEnd(end, c.Deadline))
	default:
		return outcomeFromRun(run)
	}
	outcome := h.run(ctx, c)
	_ = h.deps.Control.SendTraffic(context.Background(), fleet.EndTicket{Ticket: t, Run: runFromOutcome(outcome)})
	return outcome
}

// awaitEnd returns the outcome of the first call with a ticket. It returns
// RunUnknown when that call is still running at the deadline.
func (h *Handler) awaitEnd(end <-chan contract.Run, deadline time.Time) contract.Run {
	timer := time.NewTimer(deadline.Sub(h.deps.Clock()))
	defer timer.Stop()
	select {
	case run := <-end:
		return run
	case <-timer.C:
		return contract.Run{State: contract.RunUnknown, Reason: "the request was still running at the deadline of this call"}
	}
}

// serveClaim runs a request under a caller-chosen idempotency key if this call
// acquires the claim on the key. Otherwise it returns the outcome recorded under
// the key.
func (h *Handler) serveClaim(ctx context.Context, c *call) Outcome {
	if len(c.IdempotencyKey) > contract.MaxKeyLength {
		return refusedOutcome(&fleet.Refusal{Code: fleet.CodeBadRequest, Reason: "the idempotency key is longer than 255 bytes"})
	}
	claimCtx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	name := contract.ClaimName(c.team, c.Service, c.IdempotencyKey)
	own := contract.NewClaim(h.deps.Self.ID, h.deps.Self.Incarnation, c.ID, contract.HashBody(c.Service, c.Body))
	held, run, err := h.deps.Claims.Claim(claimCtx, name, own)
	if err != nil {
		return refusedOutcome(&fleet.Refusal{Code: fleet.CodePlatformUnavailable, Reason: err.Error(), RetryAfter: time.Second})
	}
	if run.State != contract.RunStart {
		return outcomeFromRun(run)
	}
	outcome := h.run(ctx, c)
	h.deps.Claims.Finish(ctx, held, runFromOutcome(outcome))
	return outcome
}

// runFromOutcome returns the record of an outcome, from which later calls with
// the same key are answered.
func runFromOutcome(o Outcome) contract.Run {
	switch o.Kind {
	case Answered:
		return contract.Run{State: contract.RunAnswered, Status: o.Status, Body: o.Body}
	case NotRun:
		return contract.Run{State: contract.RunNotRun, Reason: o.Refusal.Reason}
	default:
		return contract.Run{State: contract.RunUnknown, Reason: o.Reason}
	}
}

// outcomeFromRun returns the outcome of a repeated call from the record of the
// first one.
func outcomeFromRun(r contract.Run) Outcome {
	switch r.State {
	case contract.RunAnswered:
		return Outcome{Kind: Answered, Status: r.Status, Body: r.Body, Repeated: true}
	case contract.RunNotRun:
		return refusedOutcome(&fleet.Refusal{Code: fleet.CodeFirstNotRun, Reason: r.Reason, RetryAfter: time.Second})
	case contract.RunOtherBody:
		return refusedOutcome(&fleet.Refusal{Code: fleet.CodeIdempotencyKeyReused, Reason: r.Reason})
	case contract.RunRefused:
		return refusedOutcome(&fleet.Refusal{Code: fleet.CodeTicketRefused, Reason: r.Reason})
	default:
		return Outcome{Kind: Unknown, Reason: r.Reason, Repeated: true}
	}
}

// IssueTickets returns count new tickets for the team that owns the key with the
// given secret.
func (h *Handler) IssueTickets(ctx context.Context, secret string, count int) ([]contract.Ticket, *fleet.Refusal) {
	key := h.deps.Control.Snapshot().Key(HashSecret(secret))
	if key == nil {
		return nil, &fleet.Refusal{Code: fleet.CodeKeyRefused, Reason: "the key is not granted or was withdrawn"}
	}
	reply := make(chan []contract.Ticket, 1)
	if err := h.deps.Control.SendTraffic(ctx, fleet.IssueTickets{Team: key.Team, Count: count, Reply: reply}); err != nil {
		return nil, &fleet.Refusal{Code: fleet.CodeNotReady, Reason: err.Error(), RetryAfter: time.Second}
	}
	if list := <-reply; len(list) > 0 {
		return list, nil
	}
	return nil, &fleet.Refusal{Code: fleet.CodeOverloaded, Reason: "this instance holds too many tickets that have not expired", RetryAfter: contract.TicketLife}
}
