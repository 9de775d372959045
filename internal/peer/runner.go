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

// probeTimeout bounds one probe. It is below the probe period, so that the
// probes of one link do not pile up.
const probeTimeout = 900 * time.Millisecond

// maxPages bounds a FetchChanges, so that a peer that always announces another
// page cannot hold the runner.
const maxPages = 256

// Runner performs the actions that talk to peers.
type Runner struct {
	node  *Node
	log   *logrus.Entry
	clock func() time.Time
}

// NewRunner returns a runner that sends through n.
func NewRunner(n *Node, log *logrus.Entry, clock func() time.Time) *Runner {
	return &Runner{node: n, log: log, clock: clock}
}

// Run performs one action and returns the event that reports its result.
func (r *Runner) Run(ctx context.Context, a fleet.PeerAction) fleet.Event {
	switch a := a.(type) {
	case fleet.SendProbe:
		return r.probe(ctx, a)
	case fleet.SendRelay:
		return r.relay(ctx, a)
	case fleet.FetchChanges:
		return r.fetch(ctx, a)
	case fleet.RequestLoan:
		return r.requestLoan(ctx, a)
	case fleet.ReturnLoan:
		r.returnLoan(ctx, a)
		return nil
	default:
		r.log.Errorf("peer: no runner for action %T", a)
		return nil
	}
}

// call exchanges one typed message.
func (r *Runner) call(ctx context.Context, to link.Member, kind Kind, message, reply any) (link.Member, error) {
	body, err := EncodeBody(message)
	if err != nil {
		return link.Member{}, err
	}
	from, answer, err := r.node.ExchangeWith(ctx, to.Address, kind, body)
	if err != nil {
		return link.Member{}, err
	}
	return from, DecodeBody(answer, reply)
}

func (r *Runner) probe(ctx context.Context, a fleet.SendProbe) fleet.Event {
	limited, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answered := fleet.ProbeAnswered{To: a.To, SentAt: r.clock()}
	from, err := r.call(limited, a.To, KindProbe, a.Probe, &answered.Reply)
	if err != nil {
		r.log.WithError(err).Debugf("peer: probe of %s failed", a.To.ID)
		return fleet.PeerFailed{To: a.To}
	}
	answered.From = from
	return answered
}

func (r *Runner) relay(ctx context.Context, a fleet.SendRelay) fleet.Event {
	answered := fleet.RelayAnswered{To: a.To, SentAt: r.clock()}
	if _, err := r.call(ctx, a.To, KindRelay, a.Relay, &answered.Reply); err != nil {
		r.log.WithError(err).Debugf("peer: relay to %s failed", a.To.ID)
		return fleet.PeerFailed{To: a.To}
	}
	return answered
}

func (r *Runner) fetch(ctx context.Context, a fleet.FetchChanges) fleet.Event {
	objects, revision, err := r.pages(ctx, a)
	if err != nil {
		r.log.WithError(err).Warnf("config: changes not read from %s", a.From.ID)
		return fleet.FetchFailed{From: a.From}
	}
	return fleet.ChangesFetched{From: a.From, Revision: revision, Objects: objects}
}

// pages reads all pages. An object that changes between two pages comes again
// in a later one, so that the last page's revision is complete.
func (r *Runner) pages(ctx context.Context, a fleet.FetchChanges) ([]contract.Object, uint64, error) {
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
	return nil, 0, errors.New("too many pages")
}
