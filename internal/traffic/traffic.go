// Package traffic is the request path of an entry instance. It authenticates
// requests, admits them under the limits, routes them to endpoints, and returns
// one outcome for each. It is independent of the front end: package front
// translates between HTTP and this package.
package traffic

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/link"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// Request is one unit of work from a caller.
type Request struct {
	// ID is unique in the fleet. Endpoints repeat it in their answers, which ties
	// an answer to its request.
	ID      string
	Service string
	// Secret is the secret of the caller's key. It may be empty when the service
	// is open.
	Secret string
	Body   []byte
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// IdempotencyKey identifies repeated calls of the same request. It is a
	// ticket, a key chosen by the caller, or empty.
	IdempotencyKey string
	// NonIdempotent forbids another attempt after one that an endpoint may have
	// run, even if the service's document declares its requests idempotent.
	NonIdempotent bool
	// Forwarded is true when another entry instance forwarded the request because
	// this instance issued its ticket.
	Forwarded bool
}

// OutcomeKind states whether an endpoint ran a request.
type OutcomeKind string

const (
	// Answered means that an endpoint ran the request and its answer arrived.
	Answered OutcomeKind = "answered"
	// NotRun means that no endpoint can have run the request.
	NotRun OutcomeKind = "not-run"
	// Unknown means that an endpoint may have run the request but no answer
	// arrived.
	Unknown OutcomeKind = "unknown"
)

// Outcome is the result of a request.
type Outcome struct {
	Kind OutcomeKind
	// Status and Body are the endpoint's answer, set when Kind is Answered. Status
	// is an HTTP status code.
	Status int
	Body   []byte
	// Refusal is set when Kind is NotRun.
	Refusal *fleet.Refusal
	// Reason is set when Kind is Unknown.
	Reason string
	// Team is the team that the request was charged to, empty when it was refused
	// before authentication.
	Team string
	// Attempts is the number of attempts that were started.
	Attempts int
	// Repeated is true when the outcome was recorded by an earlier call with the
	// same idempotency key.
	Repeated bool
}

// SendResult is the result of one attempt.
type SendResult struct {
	End link.AttemptEnd
	// Err is nil when End is AttemptAnswered.
	Err    error
	Status int
	Body   []byte
	// DialFailed is true when no connection to the endpoint could be opened.
	DialFailed bool
	// ReusedConnection is true when the attempt used a connection that was opened
	// for an earlier one.
	ReusedConnection bool
	// TimedOut is true when the attempt ended at its deadline.
	TimedOut bool
	// Leaving is true when the endpoint announced that it accepts no new work.
	Leaving bool
}

// Sender sends attempts to endpoints. It must be safe for concurrent use. Send
// blocks until the attempt is answered, fails or times out, and must not use body
// after it has returned.
type Sender interface {
	Send(ctx context.Context, e machine.Endpoint, a link.Attempt, body []byte) SendResult
}

// Random is the source of randomness for routing and back-off jitter. It must be
// safe for concurrent use.
type Random interface {
	// IntN returns a value in [0,n).
	IntN(n int) int
	// Float64 returns a value in [0,1).
	Float64() float64
}

// Control is the request path's access to the control thread. It must be safe for
// concurrent use.
type Control interface {
	// Snapshot returns the newest published snapshot of the control state.
	Snapshot() *fleet.Snapshot
	// SendTraffic queues an event of the request path, such as an admission.
	SendTraffic(ctx context.Context, e fleet.Event) error
	// Send queues an event about the control state, such as evidence on an
	// endpoint's health.
	Send(ctx context.Context, e fleet.Event) error
}

var _ Control = (*control.Loop)(nil)

// Dependencies are the parts of the process that a Handler calls.
type Dependencies struct {
	Self      link.Member
	Control   Control
	Sender    Sender
	Claims    Claims
	Forwarder Forwarder
	Clock     func() time.Time
	Random    Random
}

// Handler serves requests. It is safe for concurrent use.
type Handler struct {
	deps         Dependencies
	retryBudgets retryBudgets
	waitQueues   waitQueues
	outcomes     outcomeCounters
	// admissionReplies reuses the reply channels of admissions. Each is empty and
	// has a buffer of one.
	admissionReplies sync.Pool
}

// NewHandler returns a handler that calls deps.
func NewHandler(deps Dependencies) *Handler {
	return &Handler{deps: deps, admissionReplies: sync.Pool{New: func() any { return make(chan fleet.Admission, 1) }}}
}

// HashSecret returns the hash of a key's secret, by which the configuration
// identifies the key.
func HashSecret(secret string) contract.KeyHash {
	sum := sha256.Sum256([]byte(secret))
	var text [2 * sha256.Size]byte
	hex.Encode(text[:], sum[:])
	return contract.KeyHash(text[:])
}

// call is a request with the state of its processing. It belongs to the goroutine
// that serves the request.
type call struct {
	Request
	// snapshot is the one that the request was last authenticated against;
	// document and team come from it.
	snapshot *fleet.Snapshot
	document *contract.Document
	team     string
	keyHash  contract.KeyHash
	// admitted is true while the request holds a slot. The request may be sent
	// until startBefore.
	admitted    bool
	startBefore time.Time
	// attemptLost is true when the last attempt under the slot was lost, so that
	// the endpoint may still be running it.
	attemptLost bool
}

// Serve serves one request and returns its outcome. It blocks until the request
// is answered, refused or timed out.
func (h *Handler) Serve(ctx context.Context, r Request) Outcome {
	c := call{Request: r}
	if r.Secret != "" {
		c.keyHash = HashSecret(r.Secret)
	}
	outcome := h.serve(ctx, &c)
	outcome.Team = c.team
	h.outcomes.add(c.team, outcome.Kind)
	return outcome
}

func (h *Handler) serve(ctx context.Context, c *call) Outcome {
	if refusal := c.authenticate(h.deps.Control.Snapshot()); refusal != nil {
		return refusedOutcome(refusal)
	}
	if c.IdempotencyKey != "" {
		return h.serveOnce(ctx, c)
	}
	return h.run(ctx, c)
}

// run admits the request, sends it and releases its slot.
func (h *Handler) run(ctx context.Context, c *call) Outcome {
	if !h.deps.Clock().Before(c.Deadline) {
		return refusedOutcome(deadlineRefusal())
	}
	if refusal := h.admit(ctx, c); refusal != nil {
		return refusedOutcome(refusal)
	}
	defer h.release(c)
	return h.send(ctx, c)
}

// idempotent reports whether the request may be sent again after an endpoint may
// have received it. The document decides; the caller can only forbid it.
func (c *call) idempotent() bool { return c.document.Idempotent && !c.NonIdempotent }

// authenticate checks the request against a snapshot and sets its document and
// the team to charge. It runs again for each newer snapshot, so that a request is
// refused when its key is withdrawn while it waits.
func (c *call) authenticate(snapshot *fleet.Snapshot) *fleet.Refusal {
	if snapshot == c.snapshot {
		return nil
	}
	if !snapshot.Loaded {
		return &fleet.Refusal{Code: fleet.CodeNotReady, Reason: "configuration is not loaded", RetryAfter: time.Second}
	}
	document := snapshot.Document(c.Service)
	if document == nil {
		return &fleet.Refusal{Code: fleet.CodeUnknownService, Reason: "no document for service " + c.Service}
	}
	team := document.Team
	if c.Secret != "" || !document.Open {
		key := snapshot.Key(c.keyHash)
		if key == nil {
			return &fleet.Refusal{Code: fleet.CodeKeyRefused, Reason: "the key is not granted or was withdrawn"}
		}
		team = key.Team
	}
	if c.team != "" && c.team != team {
		return &fleet.Refusal{Code: fleet.CodeKeyRefused, Reason: "the team to charge changed while the request waited"}
	}
	if !document.Open && !document.Accepts(team) {
		c.team = team
		return &fleet.Refusal{Code: fleet.CodeKeyRefused, Reason: "service " + c.Service + " does not accept work from team " + team}
	}
	c.snapshot, c.document, c.team = snapshot, document, team
	return nil
}

// refusedOutcome returns the outcome of a request that was refused before any
// attempt.
func refusedOutcome(r *fleet.Refusal) Outcome { return Outcome{Kind: NotRun, Refusal: r} }

func deadlineRefusal() *fleet.Refusal {
	return &fleet.Refusal{Code: fleet.CodeDeadline, Reason: "the deadline passed before the request was sent"}
}
