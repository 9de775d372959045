// Package traffic is the request path of an entry instance: it authenticates,
// admits, routes and sends requests, and reports one outcome for each. It
// knows no front end; package front translates HTTP to it.
package traffic

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
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
}

// Attempt is one try of a request at one endpoint.
type Attempt struct {
	RequestID string
	Number    int
	Deadline  time.Time
	Body      []byte
}

// SendResult is the end of one attempt.
type SendResult struct {
	// Sent is true when a byte of the request may have reached the endpoint.
	Sent bool
	// Err is nil when a whole answer to this attempt arrived.
	Err    error
	Status int
	Body   []byte
}

// Sender sends one attempt to an endpoint.
type Sender interface {
	Send(ctx context.Context, e machine.Endpoint, a Attempt) SendResult
}

// Handler serves requests. It is safe for concurrent use.
type Handler struct {
	loop   *control.Loop
	sender Sender
	clock  func() time.Time
}

// NewHandler returns a handler that reads snapshots of loop.
func NewHandler(loop *control.Loop, sender Sender, clock func() time.Time) *Handler {
	return &Handler{loop: loop, sender: sender, clock: clock}
}

// HashSecret returns the hash under which a key's secret is known.
func HashSecret(secret string) contract.KeyHash {
	sum := sha256.Sum256([]byte(secret))
	return contract.KeyHash(hex.EncodeToString(sum[:]))
}

// Serve runs one request to its outcome.
func (h *Handler) Serve(ctx context.Context, r Request) Outcome {
	view := h.loop.Snapshot()
	document, team, refusal := authenticate(view, r)
	if refusal != nil {
		return refused(team, refusal)
	}
	refusal = h.admit(ctx, team, r)
	if refusal != nil {
		return refused(team, refusal)
	}
	defer h.release(team, r.Service)
	outcome := h.send(ctx, view, document, r)
	outcome.Team = team
	return outcome
}

// authenticate returns the document and the team to charge.
func authenticate(view *fleet.Snapshot, r Request) (*contract.Document, string, *fleet.Refusal) {
	if !view.Loaded {
		return nil, "", &fleet.Refusal{Code: fleet.CodeNotReady, Reason: "configuration is not loaded", RetryAfter: time.Second}
	}
	document := view.Document(r.Service)
	if document == nil {
		return nil, "", &fleet.Refusal{Code: fleet.CodeUnknownService, Reason: "no document for service " + r.Service}
	}
	if r.Secret == "" && document.Open {
		return document, document.Team, nil
	}
	key := view.Key(HashSecret(r.Secret))
	if key == nil {
		return nil, "", &fleet.Refusal{Code: fleet.CodeKeyRefused, Reason: "the key is not granted or was withdrawn"}
	}
	if !document.Open && !document.Accepts(key.Team) {
		return nil, key.Team, &fleet.Refusal{Code: fleet.CodeKeyRefused, Reason: "service " + r.Service + " does not accept work from team " + key.Team}
	}
	return document, key.Team, nil
}

func (h *Handler) release(team, service string) {
	_ = h.loop.SendTraffic(context.Background(), fleet.Release{Team: team, Service: service})
}

func (h *Handler) send(ctx context.Context, view *fleet.Snapshot, document *contract.Document, r Request) Outcome {
	endpoint, ok := choose(view.Endpoints(document.Service))
	if !ok {
		return refused("", h.explained(r, view.NoEndpoint(document, h.clock())))
	}
	if refusal := h.mayStart(r, endpoint); refusal != nil {
		return refused("", refusal)
	}
	result := h.sender.Send(ctx, endpoint, Attempt{RequestID: r.ID, Number: 1, Deadline: r.Deadline, Body: r.Body})
	if result.Err == nil {
		return Outcome{Kind: Answered, Status: result.Status, Body: result.Body}
	}
	if !result.Sent {
		return refused("", &fleet.Refusal{Code: fleet.CodeNoEndpoint, Reason: result.Err.Error(), RetryAfter: time.Second})
	}
	return Outcome{Kind: Unknown, Reason: result.Err.Error()}
}

// choose picks a random endpoint, of the own data centre while it has any.
func choose(set fleet.EndpointSet) (machine.Endpoint, bool) {
	list := set.Near
	if len(list) == 0 {
		list = set.Far
	}
	if len(list) == 0 {
		return machine.Endpoint{}, false
	}
	return list[rand.IntN(len(list))], true
}

func refused(team string, r *fleet.Refusal) Outcome {
	return Outcome{Kind: NotRun, Refusal: r, Team: team}
}
