package entry

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/link"
	"github.com/crocusjunction/crocusjunction/internal/peer"
	"github.com/crocusjunction/crocusjunction/internal/traffic"
)

// fakePeers returns a fixed reply or error to each exchange and records the
// address.
type fakePeers struct {
	address string
	reply   []byte
	err     error
}

func (p *fakePeers) HandleConfirmed(peer.Kind, peer.ConfirmedHandler) {}

func (p *fakePeers) Exchange(_ context.Context, address string, _ peer.Kind, _ []byte) ([]byte, error) {
	p.address = address
	return p.reply, p.err
}

// fakeMembers replies to each member query with the same member.
type fakeMembers struct{ member link.Member }

func (m fakeMembers) Send(_ context.Context, e fleet.Event) error {
	e.(fleet.MemberQuery).Reply <- m.member
	return nil
}

// TestForwardedOutcomesRoundTrip guards against an outcome that differs after it
// has been encoded and decoded between two entry instances.
func TestForwardedOutcomesRoundTrip(t *testing.T) {
	outcomes := []traffic.Outcome{
		{Kind: traffic.Answered, Status: 201, Body: []byte("done"), Repeated: true},
		{Kind: traffic.Unknown, Reason: "connection lost"},
		{Kind: traffic.NotRun, Refusal: &fleet.Refusal{Code: fleet.CodeUpperLimit, Reason: "limit", RetryAfter: time.Second}},
	}
	member := link.Member{ID: "entry-1", Incarnation: 7, Address: "127.0.0.1:7001"}
	ticket := contract.Ticket{Issuer: "entry-1", Incarnation: 7}
	for _, want := range outcomes {
		body, err := peer.EncodeBody(newTicketOutcome(want))
		if err != nil {
			t.Fatal(err)
		}
		transport := &fakePeers{reply: body}
		got, err := ticketForwarder{peers: transport, control: fakeMembers{member}}.Forward(context.Background(), ticket, traffic.Request{Deadline: time.Now().Add(time.Minute)})
		if err != nil || transport.address != member.Address {
			t.Fatalf("sent to %q, error %v", transport.address, err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s: %s", want.Kind, diff)
		}
	}
}

// TestForwardNeedsIssuingIncarnation guards against a request that is forwarded
// to the successor of the incarnation that issued its ticket, and against a
// malformed reply that is accepted as an outcome.
func TestForwardNeedsIssuingIncarnation(t *testing.T) {
	ticket := contract.Ticket{Issuer: "entry-1", Incarnation: 7}
	issuer := link.Member{ID: "entry-1", Incarnation: 7, Address: "127.0.0.1:7001"}
	restarted := issuer
	restarted.Incarnation = 8
	unknownOutcome, err := peer.EncodeBody(ticketOutcome{Kind: "done"})
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name      string
		member    link.Member
		transport fakePeers
		sent      bool
	}{
		{"unknown", link.Member{}, fakePeers{}, false},
		{"restarted", restarted, fakePeers{}, false},
		{"no reply", issuer, fakePeers{err: errors.New("no reply")}, true},
		{"malformed", issuer, fakePeers{reply: []byte{0xff}}, true},
		{"no such outcome", issuer, fakePeers{reply: unknownOutcome}, true},
	}
	for _, c := range cases {
		_, err := ticketForwarder{peers: &c.transport, control: fakeMembers{c.member}}.Forward(context.Background(), ticket, traffic.Request{Deadline: time.Now().Add(time.Minute)})
		if err == nil || (c.transport.address != "") != c.sent {
			t.Errorf("%s: sent to %q, error %v", c.name, c.transport.address, err)
		}
	}
}
