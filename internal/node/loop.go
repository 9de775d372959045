package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/ingress"
	"github.com/crocusjunction/crocusjunction/internal/scheduler"
)

// eventQueue is the number of events that may wait for the control thread.
const eventQueue = 4096

// errStopped means that the control thread has ended.
var errStopped = errors.New("the control thread has stopped")

// Loop is the control thread: the only goroutine that touches the scheduler.
type Loop struct {
	state   *scheduler.Scheduler
	clock   *Clock
	run     func(scheduler.Action)
	events  chan scheduler.Event
	stopped chan struct{}
	status  atomic.Pointer[Status]
}

// Status is what other goroutines see of the control state.
type Status struct {
	ingress.View
	// JobsAsOf is the time up to which the copy of the jobs is complete.
	JobsAsOf time.Time
	// Elected is true while this node holds the scheduler's lease, Leading once it
	// has taken the role.
	Elected, Leading bool
	// RoleChanged is closed when Elected changes.
	RoleChanged chan struct{}
	Counts      scheduler.Counts
}

// NewLoop returns a loop that passes actions to run, which must not block.
func NewLoop(state *scheduler.Scheduler, clock *Clock, run func(scheduler.Action)) *Loop {
	l := &Loop{state: state, clock: clock, run: run, events: make(chan scheduler.Event, eventQueue), stopped: make(chan struct{})}
	l.status.Store(&Status{RoleChanged: make(chan struct{})})
	return l
}

// Send queues an event. It returns false when the loop has ended.
func (l *Loop) Send(e scheduler.Event) bool {
	select {
	case l.events <- e:
		return true
	case <-l.stopped:
		return false
	}
}

// Status returns the newest published status.
func (l *Loop) Status() *Status { return l.status.Load() }

// View implements ingress.Control.
func (l *Loop) View() ingress.View { return l.Status().View }

// Run takes events until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		l.arm(timer)
		select {
		case e := <-l.events:
			l.apply(e)
		case <-timer.C:
			l.apply(scheduler.Tick{})
		case <-ctx.Done():
			return nil
		}
	}
}

// leastPause keeps a wake that is already due from spinning the loop.
const leastPause = time.Millisecond

// idleWake is how often the loop looks at its state without an event.
const idleWake = time.Second

func (l *Loop) arm(timer *time.Timer) {
	at := l.state.NextWake()
	if at.IsZero() {
		timer.Reset(idleWake)
		return
	}
	timer.Reset(min(max(at.Sub(l.clock.Now()), leastPause), idleWake))
}

func (l *Loop) apply(e scheduler.Event) {
	for _, a := range l.state.Apply(e, l.clock.Now()) {
		l.run(a)
	}
	last := l.Status()
	next := &Status{
		View:        ingress.View{Config: l.state.Config(), ConfigAsOf: l.state.ConfigAsOf()},
		JobsAsOf:    l.state.JobsAsOf(),
		Elected:     l.state.Elected(),
		Leading:     l.state.Leading(),
		RoleChanged: last.RoleChanged,
		Counts:      l.state.Counts(),
	}
	changed := next.Elected != last.Elected
	if changed {
		next.RoleChanged = make(chan struct{})
	}
	l.status.Store(next)
	if changed {
		close(last.RoleChanged)
	}
}

// ask sends a query and waits for its answer.
func ask[T any](ctx context.Context, l *Loop, query func(reply chan<- T) scheduler.Event) (T, error) {
	reply := make(chan T, 1)
	var none T
	if !l.Send(query(reply)) {
		return none, errStopped
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-l.stopped:
		return none, errStopped
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

// Job implements ingress.Control.
func (l *Loop) Job(ctx context.Context, id job.ID) (scheduler.JobView, error) {
	return ask(ctx, l, func(reply chan<- scheduler.JobView) scheduler.Event { return scheduler.JobQuery{ID: id, Reply: reply} })
}

// Pending implements ingress.Control.
func (l *Loop) Pending(ctx context.Context, queue string) (int, error) {
	return ask(ctx, l, func(reply chan<- int) scheduler.Event { return scheduler.PendingQuery{Queue: queue, Reply: reply} })
}
