package entry

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/link"
	"github.com/crocusjunction/crocusjunction/internal/peer"
	"github.com/crocusjunction/crocusjunction/internal/traffic"
)

// ticketSecretSize is the size of the key that authenticates tickets, in bytes.
const ticketSecretSize = 32

// ticketSecret returns a new random key. It is never stored, so a restarted
// instance cannot accept the tickets of its predecessor.
func ticketSecret() []byte {
	secret := make([]byte, ticketSecretSize)
	_, _ = rand.Read(secret)
	return secret
}

// peerTransport is the part of peer.Node that sends messages and registers
// handlers.
type peerTransport interface {
	HandleConfirmed(kind peer.Kind, h peer.ConfirmedHandler)
	Exchange(ctx context.Context, address string, kind peer.Kind, body []byte) ([]byte, error)
}

// eventSender sends events to the control thread, which tracks the addresses of
// the other entry instances.
type eventSender interface {
	Send(ctx context.Context, e fleet.Event) error
}

var errStopping = errors.New("this entry instance is stopping")

// ticketRun is the message that forwards a request to the instance that issued
// its ticket.
type ticketRun struct {
	_              struct{} `cbor:",toarray"`
	ID             string
	Service        string
	Secret         string
	Body           []byte
	IdempotencyKey string
	NonIdempotent  bool
	// RemainingMS is the time until the caller's deadline, in milliseconds. It is
	// relative because the clocks of the two instances may differ.
	RemainingMS int64
}

// ticketOutcome is the reply to a ticketRun.
type ticketOutcome struct {
	_            struct{} `cbor:",toarray"`
	Kind         string
	Status       int
	Body         []byte
	Code         string
	Reason       string
	RetryAfterMS int64
	Repeated     bool
}

// ticketForwarder forwards requests to the instances that issued their tickets,
// and serves the requests that other instances forward to this one. It
// implements traffic.Forwarder.
type ticketForwarder struct {
	peers   peerTransport
	control eventSender
	// forwarded counts the requests that other instances forwarded to this one.
	forwarded *requestCounter
}

// Forward implements traffic.Forwarder. It waits for the reply until the deadline
// of the request.
func (t ticketForwarder) Forward(ctx context.Context, ticket contract.Ticket, r traffic.Request) (traffic.Outcome, error) {
	address, err := t.issuerAddress(ctx, ticket)
	if err != nil {
		return traffic.Outcome{}, err
	}
	timeoutCtx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	body, err := peer.EncodeBody(ticketRun{
		ID: r.ID, Service: r.Service, Secret: r.Secret, Body: r.Body, IdempotencyKey: r.IdempotencyKey,
		NonIdempotent: r.NonIdempotent, RemainingMS: time.Until(r.Deadline).Milliseconds(),
	})
	if err != nil {
		return traffic.Outcome{}, err
	}
	reply, err := t.peers.Exchange(timeoutCtx, address, peer.KindTicketRun, body)
	if err != nil {
		return traffic.Outcome{}, err
	}
	var outcome ticketOutcome
	if err := peer.DecodeBody(reply, &outcome); err != nil {
		return traffic.Outcome{}, err
	}
	return outcome.toOutcome()
}

// issuerAddress returns the peer address of the instance that issued the ticket.
// It returns an error when the instance is not known or has been restarted
// since.
func (t ticketForwarder) issuerAddress(ctx context.Context, ticket contract.Ticket) (string, error) {
	reply := make(chan link.Member, 1)
	if err := t.control.Send(ctx, fleet.MemberQuery{ID: ticket.Issuer, Reply: reply}); err != nil {
		return "", err
	}
	member := <-reply
	if member.Address == "" {
		return "", errors.Errorf("instance %s, which issued the ticket, is not known", ticket.Issuer)
	}
	if member.Incarnation > ticket.Incarnation {
		return "", errors.Errorf("instance %s was restarted after it issued the ticket; the ticket will not run again", ticket.Issuer)
	}
	return member.Address, nil
}

// registerHandler registers the handler of forwarded requests. The transport
// accepts messages of members only, by their certificates; the handler checks
// the caller's API key again, as for any request.
func (t ticketForwarder) registerHandler(h *traffic.Handler, clock func() time.Time) {
	t.peers.HandleConfirmed(peer.KindTicketRun, func(_ context.Context, _ link.Member, _ peer.Kind, body []byte) ([]byte, func(), error) {
		var run ticketRun
		if err := peer.DecodeBody(body, &run); err != nil {
			return nil, nil, err
		}
		if !t.forwarded.begin() {
			return nil, nil, errStopping
		}
		// The request does not use the context of the exchange: it continues when
		// the forwarding instance fails, so that a repeated request gets its
		// outcome.
		outcome := h.Serve(context.Background(), traffic.Request{
			ID: run.ID, Service: run.Service, Secret: run.Secret, Body: run.Body, IdempotencyKey: run.IdempotencyKey,
			NonIdempotent: run.NonIdempotent, Forwarded: true,
			Deadline: clock().Add(time.Duration(run.RemainingMS) * time.Millisecond),
		})
		reply, err := peer.EncodeBody(newTicketOutcome(outcome))
		return reply, t.forwarded.end, err
	})
}

func newTicketOutcome(o traffic.Outcome) ticketOutcome {
	out := ticketOutcome{Kind: string(o.Kind), Status: o.Status, Body: o.Body, Reason: o.Reason, Repeated: o.Repeated}
	if o.Refusal != nil {
		out.Code, out.Reason, out.RetryAfterMS = o.Refusal.Code, o.Refusal.Reason, o.Refusal.RetryAfter.Milliseconds()
	}
	return out
}

func (t ticketOutcome) toOutcome() (traffic.Outcome, error) {
	o := traffic.Outcome{Kind: traffic.OutcomeKind(t.Kind), Status: t.Status, Body: t.Body, Repeated: t.Repeated}
	switch o.Kind {
	case traffic.Answered:
	case traffic.Unknown:
		o.Reason = t.Reason
	case traffic.NotRun:
		o.Refusal = &fleet.Refusal{Code: t.Code, Reason: t.Reason, RetryAfter: time.Duration(t.RetryAfterMS) * time.Millisecond}
	default:
		return o, errors.Errorf("outcome %q is not known", t.Kind)
	}
	return o, nil
}
