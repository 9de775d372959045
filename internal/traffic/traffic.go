// Package traffic is the request path of an entry instance: it authenticates,
// admits, routes and sends requests, and reports one outcome for each. It
// knows no front end; package front translates HTTP to it.
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

// Request is work from a caller.
type Request struct {
	// ID is unique; the answer carries it.
	ID      string
	Service string
	// Secret is the caller's key, empty on open queues.
	Secret string
	Body   []byte
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// IdempotencyKey identifies the request across repeats; may be empty.
	IdempotencyKey string
	// NonIdempotent forbids a second attempt even when the document allows it.
	NonIdempotent bool
	// Forwarded is true when another entry instance handed the request over
	// because its ticket was issued here.
	Forwarded bool
}

// OutcomeKind is what is known about a request in the end.
type OutcomeKind string

// Kinds of outcomes.
const (
	Answered OutcomeKind = "answered"
	// NotRun means that no endpoint ran the request.
	NotRun OutcomeKind = "not-run"
	// Unknown means that an endpoint may have run the request.
	Unknown OutcomeKind = "unknown"
)

// Outcome is the end of a request.
type Outcome struct {
	Kind OutcomeKind
	// Status and Body are the endpoint's answer when Kind is Answered.
	Status int
	Body   []byte
	// Refusal is set when Kind is NotRun.
	Refusal *fleet.Refusal
	// Reason explains Unknown.
	Reason string
	// Team is who was charged, empty before authentication.
	Team string
	// Attempts is the number of attempts at endpoints.
	Attempts int
	// Repeated is true when the outcome is that of an earlier call with the same
	// idempotency key.
	Repeated bool
}

// SendResult is the end of one attempt.
type SendResult struct {
	End link.AttemptEnd
	// Err is nil when End is AttemptAnswered.
	Err    error
	Status int
	Body   []byte
	// NoConnection is true when no connection to the endpoint could be opened.
	NoConnection bool
	// KeptConnection is true when the connection had been used before.
	KeptConnection bool
	// Silent is true when the attempt ended at its deadline.
	Silent bool
	// Leaving is true when the endpoint said that it takes no new work.
	Leaving bool
}

// Sender sends one attempt to an endpoint. Body must not be used after Send
// returned.
type Sender interface {
	Send(ctx context.Context, e machine.Endpoint, a link.Attempt, body []byte) SendResult
}

// Random is the source of routing choices and jitter. It must be safe for
// concurrent use.
type Random interface {
	// IntN returns a value in [0,n).
	IntN(n int) int
	// Float64 returns a value in [0,1).
	Float64() float64
}

// Control is what the request path asks of the control thread.
type Control interface {
	// Snapshot returns the newest published view.
	Snapshot() *fleet.Snapshot
	// SendTraffic queues an event of the request path.
	SendTraffic(ctx context.Context, e fleet.Event) error
	// Send queues an event of the control state.
	Send(ctx context.Context, e fleet.Event) error
}

var _ Control = (*control.Loop)(nil)

// Parts are what a handler works with.
type Parts struct {
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
	parts   Parts
	budgets budgets
	gates   gates
	counts  counters
	// replies holds channels for the answers to admissions, each empty and with
	// one buffer place.
	replies sync.Pool
}

// NewHandler returns a handler without running requests.
func NewHandler(p Parts) *Handler {
	return &Handler{parts: p, replies: sync.Pool{New: func() any { return make(chan fleet.Admission, 1) }}}
}

// HashSecret returns the hash under which a key's secret is known.
func HashSecret(secret string) contract.KeyHash {
	sum := sha256.Sum256([]byte(secret))
	var text [2 * sha256.Size]byte
	hex.Encode(text[:], sum[:])
	return contract.KeyHash(text[:])
}

// job is a request that was authenticated.
type job struct {
	Request
	view     *fleet.Snapshot
	document *contract.Document
	team     string
	keyHash  contract.KeyHash
	// admitted is true while the request holds a slot, which may be used for a
	// send until startBefore.
	admitted    bool
	startBefore time.Time
	// lost is true when an endpoint may still be running an attempt under the
	// slot.
	lost bool
}

// Serve runs one request to its outcome.
func (h *Handler) Serve(ctx context.Context, r Request) Outcome {
	j := job{Request: r}
	if r.Secret != "" {
		j.keyHash = HashSecret(r.Secret)
	}
	outcome := h.serve(ctx, &j)
	outcome.Team = j.team
	h.counts.add(j.team, outcome.Kind)
	return outcome
}

func (h *Handler) serve(ctx context.Context, j *job) Outcome {
	if refusal := j.authenticate(h.parts.Control.Snapshot()); refusal != nil {
		return refused(refusal)
	}
	if j.IdempotencyKey != "" {
		return h.serveOnce(ctx, j)
	}
	return h.run(ctx, j)
}

// run admits the request and sends it.
func (h *Handler) run(ctx context.Context, j *job) Outcome {
	if !h.parts.Clock().Before(j.Deadline) {
		return refused(deadlinePassed())
	}
	if refusal := h.admit(ctx, j); refusal != nil {
		return refused(refusal)
	}
	defer h.release(j)
	return h.send(ctx, j)
}

// idempotent reports whether the request may be sent again after a byte left.
// The document decides; the caller can only forbid it.
func (j *job) idempotent() bool { return j.document.Idempotent && !j.NonIdempotent }

// authenticate checks the request against a view and sets the document and the
// team to charge. It is repeated for each newer view, so that a key withdrawn
// while the request waited stops it.
func (j *job) authenticate(view *fleet.Snapshot) *fleet.Refusal {
	if view == j.view {
		return nil
	}
	if !view.Loaded {
		return &fleet.Refusal{Code: fleet.CodeNotReady, Reason: "configuration is not loaded", RetryAfter: time.Second}
	}
	document := view.Document(j.Service)
	if document == nil {
		return &fleet.Refusal{Code: fleet.CodeUnknownService, Reason: "no document for service " + j.Service}
	}
	team := document.Team
	if j.Secret != "" || !document.Open {
		key := view.Key(j.keyHash)
		if key == nil {
			return &fleet.Refusal{Code: fleet.CodeKeyRefused, Reason: "the key is not granted or was withdrawn"}
		}
		team = key.Team
	}
	if j.team != "" && j.team != team {
		return &fleet.Refusal{Code: fleet.CodeKeyRefused, Reason: "the team to charge changed while the request waited"}
	}
	if !document.Open && !document.Accepts(team) {
		j.team = team
		return &fleet.Refusal{Code: fleet.CodeKeyRefused, Reason: "service " + j.Service + " does not accept work from team " + team}
	}
	j.view, j.document, j.team = view, document, team
	return nil
}

func refused(r *fleet.Refusal) Outcome { return Outcome{Kind: NotRun, Refusal: r} }

func deadlinePassed() *fleet.Refusal {
	return &fleet.Refusal{Code: fleet.CodeDeadline, Reason: "the deadline passed before the request was sent"}
}
