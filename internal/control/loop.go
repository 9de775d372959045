// Package control runs the control thread of a process: one goroutine that owns
// the fleet, applies events to it, publishes snapshots and starts actions. The
// actions run on goroutines of their own, through the package's runners, and
// report their results as events.
package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
)

// ErrStopped means that the control thread has stopped and no longer accepts
// events.
var ErrStopped = errors.New("control thread stopped")

// Queue lengths of the control thread, in events. Traffic events have a
// separate queue, so that a burst of requests cannot fill the queue of peers
// and operators.
const (
	controlQueueLength = 1024
	trafficQueueLength = 4096
)

// Runner performs actions of the control thread. Run is called on a goroutine
// of its own for each action, returns the event that reports the result, or
// nil, and must return when ctx ends.
type Runner interface {
	Run(ctx context.Context, a fleet.Action) fleet.Event
}

// Loop is the control thread. All methods are safe for concurrent use; Run must
// be called once.
type Loop struct {
	fleet          *fleet.Fleet
	runner         Runner
	clock          func() time.Time
	controlQueue   chan fleet.Event
	trafficQueue   chan fleet.Event
	stopped        chan struct{}
	snapshot       atomic.Pointer[fleet.Snapshot]
	runningActions sync.WaitGroup
}

// NewLoop returns a loop that owns f. The caller must not use f afterwards.
func NewLoop(f *fleet.Fleet, r Runner, clock func() time.Time) *Loop {
	l := &Loop{
		fleet:        f,
		runner:       r,
		clock:        clock,
		controlQueue: make(chan fleet.Event, controlQueueLength),
		trafficQueue: make(chan fleet.Event, trafficQueueLength),
		stopped:      make(chan struct{}),
	}
	l.snapshot.Store(f.TakeSnapshot())
	return l
}

// Snapshot returns the most recently published view of the fleet. It is never
// nil.
func (l *Loop) Snapshot() *fleet.Snapshot { return l.snapshot.Load() }

// QueueLengths returns the numbers of queued control and traffic events.
func (l *Loop) QueueLengths() (control, traffic int) { return len(l.controlQueue), len(l.trafficQueue) }

// Send queues an event from peers, operators or the platform. It blocks while
// the queue is full and returns ErrStopped once the control thread has stopped.
func (l *Loop) Send(ctx context.Context, e fleet.Event) error {
	return l.enqueue(ctx, l.controlQueue, e)
}

// SendTraffic queues an event from the request path. It blocks and fails as
// Send does.
func (l *Loop) SendTraffic(ctx context.Context, e fleet.Event) error {
	return l.enqueue(ctx, l.trafficQueue, e)
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

// Run applies events until ctx ends. It returns nil after all running actions
// have ended.
func (l *Loop) Run(ctx context.Context) error {
	defer l.runningActions.Wait()
	defer close(l.stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	l.startActions(ctx, l.fleet.Start(l.clock()))
	for {
		l.publish()
		wake := l.armTimer(timer)
		select {
		case e := <-l.controlQueue:
			l.startActions(ctx, e.Apply(l.fleet, l.clock()))
		case e := <-l.trafficQueue:
			l.startActions(ctx, e.Apply(l.fleet, l.clock()))
		case <-wake:
			l.startActions(ctx, l.fleet.Tick(l.clock()))
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

// armTimer sets the timer to the time of the fleet's next tick and returns its
// channel. It returns nil when no tick is due.
func (l *Loop) armTimer(timer *time.Timer) <-chan time.Time {
	at := l.fleet.NextTick()
	if at.IsZero() {
		return nil
	}
	timer.Reset(max(at.Sub(l.clock()), 0))
	return timer.C
}

func (l *Loop) startActions(ctx context.Context, actions []fleet.Action) {
	for _, a := range actions {
		l.runningActions.Go(func() {
			if e := l.runner.Run(ctx, a); e != nil {
				_ = l.Send(ctx, e)
			}
		})
	}
}
