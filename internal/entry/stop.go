package entry

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/front"
	"github.com/crocusjunction/crocusjunction/internal/link"
	"github.com/crocusjunction/crocusjunction/internal/peer"
	"github.com/crocusjunction/crocusjunction/internal/platform"
)

const (
	// shutdownTimeout bounds the wait for running requests. It exceeds the
	// longest deadline of a request, so that no request is aborted.
	shutdownTimeout = front.MaxDeadline + 5*time.Second
	// handOverTimeout bounds each step except the wait for forwarded requests.
	// Other instances later reclaim what a step could not hand over.
	handOverTimeout = 5 * time.Second
	// departureTimeout bounds the departure message to one peer, and
	// maxParallelDepartures the number of concurrent messages.
	departureTimeout      = time.Second
	maxParallelDepartures = 16
)

// handOverStep is a step that a planned stop performs after the HTTP server has
// shut down, such as returning slots.
type handOverStep struct {
	name    string
	timeout time.Duration
	run     func(ctx context.Context) error
}

// plannedStop performs a graceful shutdown. Its steps run in their order, and a
// failed step does not prevent the next ones.
type plannedStop struct {
	drainDelay time.Duration
	steps      []handOverStep
	log        *logrus.Entry
}

// run withdraws readiness and continues to serve for drainDelay, during which the
// load balancer removes the instance. It then waits for running requests and
// performs the steps. It does not revoke the leases of claimed idempotency keys,
// which expire: revoking them would delete the claims, so that a repeated
// request would run a second time.
func (p plannedStop) run(ctx context.Context, server *front.Server, l net.Listener) error {
	p.log.Infof("front: readiness withdrawn, accepting for another %v", p.drainDelay)
	server.Drain()
	time.Sleep(p.drainDelay)
	p.log.Info("front: closing the listener and waiting for running requests")
	timeoutCtx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(timeoutCtx, l); err != nil {
		return err
	}
	for _, step := range p.steps {
		p.runStep(ctx, step)
	}
	p.log.Info("front: stopped")
	return nil
}

func (p plannedStop) runStep(ctx context.Context, step handOverStep) {
	timeoutCtx, cancel := context.WithTimeout(ctx, step.timeout)
	defer cancel()
	if err := step.run(timeoutCtx); err != nil {
		p.log.WithError(err).Warnf("front: step %s of the planned stop failed", step.name)
	}
}

// announceDeparture sends every known peer a message that this instance is
// stopping. It ignores failed messages, because a peer that does not receive one
// removes the instance once the instance no longer answers.
func announceDeparture(ctx context.Context, loop *control.Loop, p peerTransport) error {
	members, err := control.Ask(ctx, loop, func(reply chan<- []link.Member) fleet.Event {
		return fleet.MembersQuery{Reply: reply}
	})
	if err != nil {
		return err
	}
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelDepartures)
	for _, m := range members {
		group.Go(func() error {
			timeoutCtx, cancel := context.WithTimeout(groupCtx, departureTimeout)
			defer cancel()
			_, _ = p.Exchange(timeoutCtx, m.Address, peer.KindLeaving, nil)
			return nil
		})
	}
	return group.Wait()
}

// returnSlots returns all slots, which is possible because the requests that used
// them have ended. Slots that could not be returned become free for other
// instances when the lease on them has expired.
func returnSlots(ctx context.Context, loop *control.Loop, log *logrus.Entry) error {
	returned, err := control.Ask(ctx, loop, func(reply chan<- fleet.ReleaseResult) fleet.Event {
		return fleet.ReleaseAllotments{Reply: reply}
	})
	if err != nil {
		return err
	}
	log.Infof("limits: slots returned, %d kept", returned.Unreturned)
	return nil
}

// releaseRoles revokes the platform leases of the instance's roles and of its
// member record. Another instance can then take over the roles without waiting
// for the leases to expire, and the platform deletes the record.
func releaseRoles(ctx context.Context, loop *control.Loop, p platform.Store) error {
	departure, err := control.Ask(ctx, loop, func(reply chan<- fleet.Departure) fleet.Event {
		return fleet.Depart{Reply: reply}
	})
	if err != nil {
		return err
	}
	return revokeLeases(ctx, p, departure.Leases)
}

// revokeLeases revokes the leases one after the other and stops at the first
// error.
func revokeLeases(ctx context.Context, p platform.Store, leases []uint64) error {
	for _, id := range leases {
		if err := p.Revoke(ctx, platform.LeaseID(id)); err != nil {
			return errors.Wrapf(err, "revoke lease %d", id)
		}
	}
	return nil
}
