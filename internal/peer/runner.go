package peer

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/link"
)

// probeTimeout bounds one probe. It is below the probe period, so that probes to
// one peer do not overlap.
const probeTimeout = 900 * time.Millisecond

// maxPages bounds the pages of one FetchChanges, so that a peer that always
// announces a further page cannot occupy the runner.
const maxPages = 256

// Runner performs the actions of the control thread that exchange messages with
// peers. It is safe for concurrent use.
type Runner struct {
	node  *Node
	log   *logrus.Entry
	clock func() time.Time
}

// NewRunner returns a runner that sends its messages through n.
func NewRunner(n *Node, log *logrus.Entry, clock func() time.Time) *Runner {
	return &Runner{node: n, log: log, clock: clock}
}

// Run performs one action and returns the event that reports its result, or nil
// when the action has no result.
func (r *Runner) Run(ctx context.Context, a fleet.PeerAction) fleet.Event {
	switch a := a.(type) {
	case fleet.SendProbe:
		return r.probe(ctx, a)
	case fleet.SendRelay:
		return r.relay(ctx, a)
	case fleet.FetchChanges:
		return r.fetchChanges(ctx, a)
	case fleet.RequestLoan:
		return r.requestLoan(ctx, a)
	case fleet.ReturnLoan:
		r.returnLoan(ctx, a)
		return nil
	default:
		r.log.Errorf("peer: unsupported action %T", a)
		return nil
	}
}

// call encodes and sends one message and decodes its reply. It returns the
// member that replied.
func (r *Runner) call(ctx context.Context, to link.Member, kind Kind, message, reply any) (link.Member, error) {
	body, err := EncodeBody(message)
	if err != nil {
		return link.Member{}, err
	}
	from, replyBody, err := r.node.ExchangeWithResponder(ctx, to.Address, kind, body)
	if err != nil {
		return link.Member{}, err
	}
	return from, DecodeBody(replyBody, reply)
}

func (r *Runner) probe(ctx context.Context, a fleet.SendProbe) fleet.Event {
	timeoutCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	event := fleet.ProbeAnswered{To: a.To, SentAt: r.clock()}
	from, err := r.call(timeoutCtx, a.To, KindProbe, a.Probe, &event.Reply)
	if err != nil {
		r.log.WithError(err).Debugf("peer: probe to %s failed", a.To.ID)
		return fleet.PeerFailed{To: a.To}
	}
	event.From = from
	return event
}

func (r *Runner) relay(ctx context.Context, a fleet.SendRelay) fleet.Event {
	event := fleet.RelayAnswered{To: a.To, SentAt: r.clock()}
	if _, err := r.call(ctx, a.To, KindRelay, a.Relay, &event.Reply); err != nil {
		r.log.WithError(err).Debugf("peer: relay to %s failed", a.To.ID)
		return fleet.PeerFailed{To: a.To}
	}
	return event
}

func (r *Runner) fetchChanges(ctx context.Context, a fleet.FetchChanges) fleet.Event {
	objects, revision, err := r.fetchPages(ctx, a)
	if err != nil {
		r.log.WithError(err).Warnf("config: fetching changes from %s failed", a.From.ID)
		return fleet.FetchFailed{From: a.From}
	}
	return fleet.ChangesFetched{From: a.From, Revision: revision, Objects: objects}
}

// fetchPages fetches all pages of the changes after a revision. An object that
// changes during the fetch is sent again in a later page, so the pages together
// are complete up to the last page's revision.
func (r *Runner) fetchPages(ctx context.Context, a fleet.FetchChanges) ([]contract.Object, uint64, error) {
	var objects []contract.Object
	after := a.After
	for range maxPages {
		var reply fleet.ChangesReply
		if _, err := r.call(ctx, a.From, KindFetchChanges, fleet.ChangesRequest{After: after}, &reply); err != nil {
			return nil, 0, err
		}
		objects = append(objects, reply.Objects...)
		if !reply.More || len(reply.Objects) == 0 {
			return objects, reply.Revision, nil
		}
		after = reply.Objects[len(reply.Objects)-1].Revision
	}
	return nil, 0, errors.New("too many pages of changes")
}
