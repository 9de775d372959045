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

const ticketSecretSize = 32

// ticketSecret returns a random key that lives as long as the process.
func ticketSecret() []byte {
	secret := make([]byte, ticketSecretSize)
	_, _ = rand.Read(secret)
	return secret
}

// peers is the part of peer.Node that carries requests with tickets.
type peers interface {
	Handle(kind peer.Kind, h peer.Handler)
	Exchange(ctx context.Context, address string, kind peer.Kind, body []byte) ([]byte, error)
}

// members finds the address of another entry instance.
type members interface {
	Send(ctx context.Context, e fleet.Event) error
}

var errStopping = errors.New("this entry instance is stopping")

// ticketRun is a request whose ticket the receiver issued.
type ticketRun struct {
	_              struct{} `cbor:",toarray"`
	ID             string
	Service        string
	Secret         string
	Body           []byte
	IdempotencyKey string
	NonIdempotent  bool
	// LeftMS is the time until the caller's deadline, so that the clocks of the
	// two instances need not agree.
	LeftMS int64
}

// ticketOutcome is the answer to ticketRun.
type ticketOutcome struct {
	_        struct{} `cbor:",toarray"`
	Kind     string
	Status   int
	Body     []byte
	Code     string
	Reason   string
	RetryMS  int64
	Repeated bool
}

// ticketPeers implements traffic.Forwarder over the peer transport.
type ticketPeers struct {
	peers   peers
	control members
	// running are the requests that other instances forwarded to this one.
	running *running
}

// Forward implements traffic.Forwarder.
func (t ticketPeers) Forward(ctx context.Context, k contract.Ticket, r traffic.Request) (traffic.Outcome, error) {
	address, err := t.address(ctx, k)
	if err != nil {
		return traffic.Outcome{}, err
	}
	limited, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	body, err := peer.EncodeBody(ticketRun{
		ID: r.ID, Service: r.Service, Secret: r.Secret, Body: r.Body, IdempotencyKey: r.IdempotencyKey,
		NonIdempotent: r.NonIdempotent, LeftMS: time.Until(r.Deadline).Milliseconds(),
	})
	if err != nil {
		return traffic.Outcome{}, err
	}
	reply, err := t.peers.Exchange(limited, address, peer.KindTicketRun, body)
	if err != nil {
		return traffic.Outcome{}, err
	}
	var outcome ticketOutcome
	if err := peer.DecodeBody(reply, &outcome); err != nil {
		return traffic.Outcome{}, err
	}
	return outcome.decode()
}

// address returns where the issuing incarnation is.
func (t ticketPeers) address(ctx context.Context, k contract.Ticket) (string, error) {
	reply := make(chan link.Member, 1)
	if err := t.control.Send(ctx, fleet.FindMember{ID: k.Issuer, Reply: reply}); err != nil {
		return "", err
	}
	member := <-reply
	if member.Address == "" {
		return "", errors.Errorf("instance %s is not known", k.Issuer)
	}
	if member.Incarnation > k.Incarnation {
		return "", errors.Errorf("instance %s was restarted since; the ticket will not run again", k.Issuer)
	}
	return member.Address, nil
}

// serve answers the requests that other instances forward. Only entry instances
// get here, since the transport checks certificates; the caller's key is checked
// again like that of any request.
func (t ticketPeers) serve(h *traffic.Handler, clock func() time.Time) {
	t.peers.Handle(peer.KindTicketRun, func(_ context.Context, _ link.Member, _ peer.Kind, body []byte) ([]byte, error) {
		var run ticketRun
		if err := peer.DecodeBody(body, &run); err != nil {
			return nil, err
		}
		if !t.running.begin() {
			return nil, errStopping
		}
		defer t.running.end()
		// The request is finished even when the forwarding instance dies, so that
		// a repeat gets its answer.
		outcome := h.Serve(context.Background(), traffic.Request{
			ID: run.ID, Service: run.Service, Secret: run.Secret, Body: run.Body, IdempotencyKey: run.IdempotencyKey,
			NonIdempotent: run.NonIdempotent, Forwarded: true,
			Deadline: clock().Add(time.Duration(run.LeftMS) * time.Millisecond),
		})
		return peer.EncodeBody(encodeOutcome(outcome))
	})
}

func encodeOutcome(o traffic.Outcome) ticketOutcome {
	out := ticketOutcome{Kind: string(o.Kind), Status: o.Status, Body: o.Body, Reason: o.Reason, Repeated: o.Repeated}
	if o.Refusal != nil {
		out.Code, out.Reason, out.RetryMS = o.Refusal.Code, o.Refusal.Reason, o.Refusal.RetryAfter.Milliseconds()
	}
	return out
}

func (t ticketOutcome) decode() (traffic.Outcome, error) {
	o := traffic.Outcome{Kind: traffic.OutcomeKind(t.Kind), Status: t.Status, Body: t.Body, Repeated: t.Repeated}
	switch o.Kind {
	case traffic.Answered:
	case traffic.Unknown:
		o.Reason = t.Reason
	case traffic.NotRun:
		o.Refusal = &fleet.Refusal{Code: t.Code, Reason: t.Reason, RetryAfter: time.Duration(t.RetryMS) * time.Millisecond}
	default:
		return o, errors.Errorf("outcome %q is not known", t.Kind)
	}
	return o, nil
}
