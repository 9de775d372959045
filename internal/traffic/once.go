package traffic

import (
	"context"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
)

// Claims makes the claims of caller-chosen idempotency keys.
type Claims interface {
	// Claim claims a key; see control.Claims.
	Claim(ctx context.Context, name string, own contract.Claim) (control.HeldClaim, contract.Run, error)
	// Finish records the end of the request of a held claim.
	Finish(ctx context.Context, held control.HeldClaim, run contract.Run)
}

// Forwarder hands a request with a ticket to the instance that issued it.
type Forwarder interface {
	// Forward returns the issuer's outcome. An error means that the issuer may
	// have run the request.
	Forward(ctx context.Context, t contract.Ticket, r Request) (Outcome, error)
}

// serveOnce runs a request that carries an idempotency key at most once.
func (h *Handler) serveOnce(ctx context.Context, j *job) Outcome {
	if !contract.IsTicket(j.IdempotencyKey) {
		return h.serveClaim(ctx, j)
	}
	ticket, err := contract.ParseTicket(j.IdempotencyKey)
	if err != nil {
		return refused(&fleet.Refusal{Code: fleet.CodeBadRequest, Reason: "the idempotency key starts with " + contract.TicketPrefix + " but is no ticket"})
	}
	self := h.parts.Self
	if ticket.Issuer == self.ID || j.Forwarded {
		return h.serveTicket(ctx, j, ticket)
	}
	outcome, err := h.parts.Forwarder.Forward(ctx, ticket, j.Request)
	if err != nil {
		return Outcome{Kind: Unknown, Reason: "the instance that issued the ticket did not answer: " + err.Error()}
	}
	return outcome
}

// serveTicket runs a request whose ticket was issued here.
func (h *Handler) serveTicket(ctx context.Context, j *job, t contract.Ticket) Outcome {
	reply, end := make(chan contract.Run, 1), make(chan contract.Run, 1)
	begin := fleet.BeginTicket{Ticket: t, Team: j.team, Body: contract.HashBody(j.Service, j.Body), Reply: reply, End: end}
	if err := h.parts.Control.SendTraffic(ctx, begin); err != nil {
		return Outcome{Kind: Unknown, Reason: "the ticket could not be looked up: " + err.Error()}
	}
	// The reply may oblige this call to run the request, so it is not abandoned
	// at the deadline.
	switch run := <-reply; run.Kind {
	case contract.RunStart:
	case contract.RunRunning:
		return outcomeOf(h.awaitEnd(end, j.Deadline))
	default:
		return outcomeOf(run)
	}
	outcome := h.run(ctx, j)
	_ = h.parts.Control.SendTraffic(context.Background(), fleet.EndTicket{Ticket: t, Run: runOf(outcome)})
	return outcome
}

// awaitEnd waits until the first call with a ticket has ended.
func (h *Handler) awaitEnd(end <-chan contract.Run, deadline time.Time) contract.Run {
	timer := time.NewTimer(deadline.Sub(h.parts.Clock()))
	defer timer.Stop()
	select {
	case run := <-end:
		return run
	case <-timer.C:
		return contract.Run{Kind: contract.RunUnknown, Reason: "the request was still running at the deadline of this call"}
	}
}

// serveClaim runs a request under a caller-chosen key.
func (h *Handler) serveClaim(ctx context.Context, j *job) Outcome {
	if len(j.IdempotencyKey) > contract.MaxKeyLength {
		return refused(&fleet.Refusal{Code: fleet.CodeBadRequest, Reason: "the idempotency key is longer than 255 bytes"})
	}
	limited, cancel := context.WithDeadline(ctx, j.Deadline)
	defer cancel()
	name := contract.ClaimName(j.team, j.Service, j.IdempotencyKey)
	own := contract.NewClaim(h.parts.Self.ID, h.parts.Self.Incarnation, j.ID, contract.HashBody(j.Service, j.Body))
	held, run, err := h.parts.Claims.Claim(limited, name, own)
	if err != nil {
		return refused(&fleet.Refusal{Code: fleet.CodePlatform, Reason: err.Error(), RetryAfter: time.Second})
	}
	if run.Kind != contract.RunStart {
		return outcomeOf(run)
	}
	outcome := h.run(ctx, j)
	h.parts.Claims.Finish(ctx, held, runOf(outcome))
	return outcome
}

// runOf translates the outcome of the first call for those that repeat it.
func runOf(o Outcome) contract.Run {
	switch o.Kind {
	case Answered:
		return contract.Run{Kind: contract.RunAnswered, Status: o.Status, Body: o.Body}
	case NotRun:
		return contract.Run{Kind: contract.RunNotRun, Reason: o.Refusal.Reason}
	default:
		return contract.Run{Kind: contract.RunUnknown, Reason: o.Reason}
	}
}

// outcomeOf translates what a repeat gets.
func outcomeOf(r contract.Run) Outcome {
	switch r.Kind {
	case contract.RunAnswered:
		return Outcome{Kind: Answered, Status: r.Status, Body: r.Body, Repeated: true}
	case contract.RunNotRun:
		return refused(&fleet.Refusal{Code: fleet.CodeFirstNotRun, Reason: r.Reason, RetryAfter: time.Second})
	case contract.RunOtherBody:
		return refused(&fleet.Refusal{Code: fleet.CodeKeyReused, Reason: r.Reason})
	case contract.RunRefused:
		return refused(&fleet.Refusal{Code: fleet.CodeTicketRefused, Reason: r.Reason})
	default:
		return Outcome{Kind: Unknown, Reason: r.Reason, Repeated: true}
	}
}

// IssueTickets returns tickets for the team of a key.
func (h *Handler) IssueTickets(ctx context.Context, secret string, count int) ([]contract.Ticket, *fleet.Refusal) {
	key := h.parts.Control.Snapshot().Key(HashSecret(secret))
	if key == nil {
		return nil, &fleet.Refusal{Code: fleet.CodeKeyRefused, Reason: "the key is not granted or was withdrawn"}
	}
	reply := make(chan []contract.Ticket, 1)
	if err := h.parts.Control.SendTraffic(ctx, fleet.IssueTickets{Team: key.Team, Count: count, Reply: reply}); err != nil {
		return nil, &fleet.Refusal{Code: fleet.CodeNotReady, Reason: err.Error(), RetryAfter: time.Second}
	}
	if list := <-reply; len(list) > 0 {
		return list, nil
	}
	return nil, &fleet.Refusal{Code: fleet.CodeOverloaded, Reason: "too many unused tickets are held", RetryAfter: contract.TicketLife}
}
