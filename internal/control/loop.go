// Package control runs the control thread of a process: one goroutine that owns
// the fleet, applies events to it, publishes snapshots and starts actions.
package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
)

// ErrStopped is returned when the control thread no longer takes events.
var ErrStopped = errors.New("control thread stopped")

// Queue lengths of the control thread. Traffic events have a queue of their
// own, so that a burst of requests cannot delay peers and operators.
const (
	controlQueueLength = 1024
	trafficQueueLength = 4096
)

// Runner performs one action and returns the event that reports its result, or
// nil. It runs on a goroutine of its own and must return when ctx ends.
type Runner interface {
	Run(ctx context.Context, a fleet.Action) fleet.Event
}

// Loop is the control thread. All methods may be called from any goroutine.
type Loop struct {
	fleet    *fleet.Fleet
	runner   Runner
	clock    func() time.Time
	control  chan fleet.Event
	traffic  chan fleet.Event
	stopped  chan struct{}
	snapshot atomic.Pointer[fleet.Snapshot]
	actions  sync.WaitGroup
}

// NewLoop returns a loop that owns f. The caller must not use f afterwards.
func NewLoop(f *fleet.Fleet, r Runner, clock func() time.Time) *Loop {
	l := &Loop{
		fleet:   f,
		runner:  r,
		clock:   clock,
		control: make(chan fleet.Event, controlQueueLength),
		traffic: make(chan fleet.Event, trafficQueueLength),
		stopped: make(chan struct{}),
	}
	l.snapshot.Store(f.TakeSnapshot())
	return l
}

// Snapshot returns the newest published view. It is never nil.
func (l *Loop) Snapshot() *fleet.Snapshot { return l.snapshot.Load() }

// QueueLengths returns the number of waiting control and traffic events.
func (l *Loop) QueueLengths() (control, traffic int) { return len(l.control), len(l.traffic) }

// Send queues an event from peers, operators or the platform.
func (l *Loop) Send(ctx context.Context, e fleet.Event) error {
	return l.enqueue(ctx, l.control, e)
}

// SendTraffic queues an event from the request path.
func (l *Loop) SendTraffic(ctx context.Context, e fleet.Event) error {
	return l.enqueue(ctx, l.traffic, e)
}

func (l *Loop) enqueue(ctx context.Context, queue chan<- fleet.Event, e fleet.Event) error {
	select {
	case queue <- e:
		return nil
	case <-l.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run applies events until ctx ends, then waits for running actions.
func (l *Loop) Run(ctx context.Context) error {
	defer l.actions.Wait()
	defer close(l.stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	l.start(ctx, l.fleet.Start(l.clock()))
	for {
		l.publish()
		wake := l.arm(timer)
		select {
		case e := <-l.control:
			l.start(ctx, e.Apply(l.fleet, l.clock()))
		case e := <-l.traffic:
			l.start(ctx, e.Apply(l.fleet, l.clock()))
		case <-wake:
			l.start(ctx, l.fleet.Tick(l.clock()))
		case <-ctx.Done():
			return nil
		}
	}
}

func (l *Loop) publish() {
	if s := l.fleet.TakeSnapshot(); s != nil {
		l.snapshot.Store(s)
	}
}

// arm sets the timer to the fleet's next wake time and returns its channel, nil
// when nothing is due.
func (l *Loop) arm(timer *time.Timer) <-chan time.Time {
	at := l.fleet.NextWake()
	if at.IsZero() {
		return nil
	}
	timer.Reset(max(at.Sub(l.clock()), 0))
	return timer.C
}

func (l *Loop) start(ctx context.Context, actions []fleet.Action) {
	for _, a := range actions {
		l.actions.Go(func() {
			if e := l.runner.Run(ctx, a); e != nil {
				_ = l.Send(ctx, e)
			}
		})
	}
}
