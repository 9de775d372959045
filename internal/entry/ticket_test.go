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

// fakePeers answers each exchange with a fixed reply.
type fakePeers struct {
	address string
	reply   []byte
	err     error
}

func (p *fakePeers) Handle(peer.Kind, peer.Handler) {}

func (p *fakePeers) Exchange(_ context.Context, address string, _ peer.Kind, _ []byte) ([]byte, error) {
	p.address = address
	return p.reply, p.err
}

// fakeMembers knows one member.
type fakeMembers struct{ member link.Member }

func (m fakeMembers) Send(_ context.Context, e fleet.Event) error {
	e.(fleet.FindMember).Reply <- m.member
	return nil
}

// TestForwardedOutcomes guards against an outcome that changes its meaning on
// the way between two entry instances.
func TestForwardedOutcomes(t *testing.T) {
	outcomes := []traffic.Outcome{
		{Kind: traffic.Answered, Status: 201, Body: []byte("done"), Repeated: true},
		{Kind: traffic.Unknown, Reason: "connection lost"},
		{Kind: traffic.NotRun, Refusal: &fleet.Refusal{Code: fleet.CodeUpperLimit, Reason: "limit", RetryAfter: time.Second}},
	}
	member := link.Member{ID: "entry-1", Incarnation: 7, Address: "127.0.0.1:7001"}
	ticket := contract.Ticket{Issuer: "entry-1", Incarnation: 7}
	for _, want := range outcomes {
		body, err := peer.EncodeBody(encodeOutcome(want))
		if err != nil {
			t.Fatal(err)
		}
		transport := &fakePeers{reply: body}
		got, err := ticketPeers{peers: transport, control: fakeMembers{member}}.Forward(context.Background(), ticket, traffic.Request{Deadline: time.Now().Add(time.Minute)})
		if err != nil || transport.address != member.Address {
			t.Fatalf("sent to %q, error %v", transport.address, err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s: %s", want.Kind, diff)
		}
	}
}

// TestForwardWithoutIssuer guards against a ticket of a dead incarnation that is
// sent to its successor, and against a broken reply that passes for an outcome.
func TestForwardWithoutIssuer(t *testing.T) {
	ticket := contract.Ticket{Issuer: "entry-1", Incarnation: 7}
	known := link.Member{ID: "entry-1", Incarnation: 7, Address: "127.0.0.1:7001"}
	restarted := known
	restarted.Incarnation = 8
	broken, err := peer.EncodeBody(ticketOutcome{Kind: "done"})
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
		{"no reply", known, fakePeers{err: errors.New("no reply")}, true},
		{"malformed", known, fakePeers{reply: []byte{0xff}}, true},
		{"no such outcome", known, fakePeers{reply: broken}, true},
	}
	for _, c := range cases {
		_, err := ticketPeers{peers: &c.transport, control: fakeMembers{c.member}}.Forward(context.Background(), ticket, traffic.Request{Deadline: time.Now().Add(time.Minute)})
		if err == nil || (c.transport.address != "") != c.sent {
			t.Errorf("%s: sent to %q, error %v", c.name, c.transport.address, err)
		}
	}
}
