package entry

import (
	"context"
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
	// longest deadline of a request, so that no request is cut.
	shutdownTimeout = front.MaxDeadline + 5*time.Second
	// handOverTimeout bounds each step of the hand-over. What a step could not
	// give back is reclaimed by the others later.
	handOverTimeout = 5 * time.Second
	// departureTimeout bounds the message to one peer, departureParallel the
	// messages at once.
	departureTimeout  = time.Second
	departureParallel = 16
)

// handOver is one step of a planned stop after the last request has ended, such
// as returning allotments.
type handOver struct {
	name    string
	timeout time.Duration
	run     func(ctx context.Context) error
}

// plannedStop is the order of a graceful shutdown.
type plannedStop struct {
	drainDelay time.Duration
	handOvers  []handOver
	log        *logrus.Entry
}

// run withdraws readiness, serves on until the load balancer has noticed, waits
// for running requests and hands over what the instance holds. Leases of
// claimed idempotency keys are left to lapse: revoking them would delete the
// claims and let a repeat run a second time.
func (p plannedStop) run(ctx context.Context, server *front.Server) error {
	p.log.Infof("front: readiness withdrawn, accepting for another %v", p.drainDelay)
	server.Drain()
	time.Sleep(p.drainDelay)
	p.log.Info("front: listener closed, finishing running requests")
	limited, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(limited); err != nil {
		return err
	}
	for _, h := range p.handOvers {
		p.handOver(ctx, h)
	}
	p.log.Info("front: stopped")
	return nil
}

func (p plannedStop) handOver(ctx context.Context, h handOver) {
	limited, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	if err := h.run(limited); err != nil {
		p.log.WithError(err).Warnf("front: %s not handed over", h.name)
	}
}

// announceDeparture tells every known peer that this instance leaves. A peer that
// does not hear it removes the instance later, when it is silent.
func announceDeparture(ctx context.Context, loop *control.Loop, p peers) error {
	members, err := control.Ask(ctx, loop, func(reply chan<- []link.Member) fleet.Event {
		return fleet.KnownMembers{Reply: reply}
	})
	if err != nil {
		return err
	}
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(departureParallel)
	for _, m := range members {
		group.Go(func() error {
			limited, cancel := context.WithTimeout(groupCtx, departureTimeout)
			defer cancel()
			_, _ = p.Exchange(limited, m.Address, peer.KindLeaving, nil)
			return nil
		})
	}
	return group.Wait()
}

// returnSlots gives back all slots, now that the requests that used them have
// ended. What is not returned is free for others after the hold.
func returnSlots(ctx context.Context, loop *control.Loop, log *logrus.Entry) error {
	returned, err := control.Ask(ctx, loop, func(reply chan<- fleet.Returned) fleet.Event {
		return fleet.ReleaseAllotments{Reply: reply}
	})
	if err != nil {
		return err
	}
	log.Infof("limits: slots returned, %d kept", returned.Kept)
	return nil
}

// endRoles ends the platform leases of the instance, so that its roles pass on
// at once and its own record disappears.
func endRoles(ctx context.Context, loop *control.Loop, p platform.Store) error {
	departure, err := control.Ask(ctx, loop, func(reply chan<- fleet.Departure) fleet.Event {
		return fleet.Depart{Reply: reply}
	})
	if err != nil {
		return err
	}
	return revoke(ctx, p, departure.Leases)
}

func revoke(ctx context.Context, p platform.Store, leases []uint64) error {
	for _, id := range leases {
		if err := p.Revoke(ctx, platform.LeaseID(id)); err != nil {
			return errors.Wrapf(err, "revoke lease %d", id)
		}
	}
	return nil
}
