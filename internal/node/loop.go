package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
	"github.com/crocusjunction/crocusjunction/internal/ingress"
	"github.com/crocusjunction/crocusjunction/internal/scheduler"
)

// eventQueueSize is the capacity of the control loop's event queue. Senders
// block while it is full.
const eventQueueSize = 4096

// queryTimeout bounds the wait for the reply to a query. The control thread answers
// within milliseconds; a query whose event failed gets no reply.
const queryTimeout = 2 * time.Second

// Errors of queries.
var (
	errStopped = errors.New("control loop has stopped")
	errNoReply = errors.New("the control loop did not reply")
)

// controlLoop is the control thread: the goroutine that executes Run is the
// only one that accesses the scheduler. A failure of the scheduler is contained by
// its guard. Send, Status, View and the queries are
// safe for concurrent use: they send events or read the published status.
type controlLoop struct {
	guard    *scheduler.Guard
	clock    *bootClock
	dispatch func(scheduler.Action)
	// reportSlow is called on the control thread with each event that took at least
	// slowEvent, and the number of events that wait behind it. It must not block.
	reportSlow func(e scheduler.Event, took time.Duration, waiting int)
	events     chan scheduler.Event
	stopped    chan struct{}
	status     atomic.Pointer[controlStatus]
}

// controlStatus is an immutable snapshot of the control state for other
// goroutines.
type controlStatus struct {
	ingress.View
	// JobsAsOf is the time up to which the mirrored jobs are complete.
	JobsAsOf time.Time
	// Elected is true while this node holds the scheduler's lease. Leading is true
	// once it also has the state that it needs to schedule.
	Elected, Leading bool
	// CopyNumber is the number of the copy of the store that mirrors must fill.
	CopyNumber int
	// RoleChanged is closed when a later status has another value of Elected.
	RoleChanged chan struct{}
	Counts      scheduler.Counts
}

// slowEvent is the time from which an event of the control thread is reported. The lease
// is renewed every 300 ms; events that take longer cost the scheduler its lease.
const slowEvent = 100 * time.Millisecond

// newControlLoop returns a loop that owns guard. It passes each action of the
// scheduler to dispatch, which is called on the control thread and must not
// block.
func newControlLoop(guard *scheduler.Guard, clock *bootClock, dispatch func(scheduler.Action)) *controlLoop {
	l := &controlLoop{guard: guard, clock: clock, dispatch: dispatch, reportSlow: func(scheduler.Event, time.Duration, int) {}, events: make(chan scheduler.Event, eventQueueSize), stopped: make(chan struct{})}
	l.status.Store(&controlStatus{RoleChanged: make(chan struct{})})
	return l
}

// Send queues an event and blocks while the queue is full. It returns false if
// the loop has stopped.
func (l *controlLoop) Send(e scheduler.Event) bool {
	select {
	case l.events <- e:
		return true
	case <-l.stopped:
		return false
	}
}

// Status returns the status that was published after the last event. The caller
// must not modify it.
func (l *controlLoop) Status() *controlStatus { return l.status.Load() }

// View implements ingress.Control.
func (l *controlLoop) View() ingress.View { return l.Status().View }

// Run applies events to the scheduler until ctx is done. It may be called once.
func (l *controlLoop) Run(ctx context.Context) error {
	defer close(l.stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		l.resetTimer(timer)
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

// minTickDelay keeps the loop from spinning when the scheduler's next tick is
// already due.
const minTickDelay = time.Millisecond

// maxTickDelay is the longest time between two ticks when no event arrives.
const maxTickDelay = time.Second

// resetTimer sets the timer to the scheduler's next tick.
func (l *controlLoop) resetTimer(timer *time.Timer) {
	tickAt := l.guard.Scheduler().NextTick()
	if tickAt.IsZero() {
		timer.Reset(maxTickDelay)
		return
	}
	timer.Reset(min(max(tickAt.Sub(l.clock.Now()), minTickDelay), maxTickDelay))
}

// apply passes an event to the scheduler, dispatches the resulting actions and
// publishes the new status.
func (l *controlLoop) apply(e scheduler.Event) {
	startedAt := l.clock.Now()
	for _, a := range l.guard.Apply(e, startedAt) {
		l.dispatch(a)
	}
	if took := l.clock.Now().Sub(startedAt); took >= slowEvent {
		l.reportSlow(e, took, len(l.events))
	}
	sched := l.guard.Scheduler()
	previous := l.Status()
	next := &controlStatus{
		View:        ingress.View{Config: sched.Config(), ConfigAsOf: sched.ConfigAsOf(), ConfigSuperseded: sched.ConfigSuperseded(), Rooms: sched.Rooms(), JobMemory: sched.JobMemory()},
		JobsAsOf:    sched.JobsAsOf(),
		Elected:     sched.Elected(),
		Leading:     sched.Leading(),
		CopyNumber:  sched.CopyNumber(),
		RoleChanged: previous.RoleChanged,
		Counts:      sched.Counts(),
	}
	changed := next.Elected != previous.Elected
	if changed {
		next.RoleChanged = make(chan struct{})
	}
	l.status.Store(next)
	if changed {
		close(previous.RoleChanged)
	}
}

// query sends the event that newEvent returns to the control loop and waits for
// the reply. It returns errStopped if the loop stops first, and errNoReply if there
// is none within queryTimeout.
func query[T any](ctx context.Context, l *controlLoop, newEvent func(reply chan<- T) scheduler.Event) (T, error) {
	reply := make(chan T, 1)
	var zero T
	if !l.Send(newEvent(reply)) {
		return zero, errStopped
	}
	timer := time.NewTimer(queryTimeout)
	defer timer.Stop()
	select {
	case answer := <-reply:
		return answer, nil
	case <-timer.C:
		return zero, errNoReply
	case <-l.stopped:
		return zero, errStopped
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

// Job implements ingress.Control.
func (l *controlLoop) Job(ctx context.Context, id job.ID) (scheduler.JobView, error) {
	return query(ctx, l, func(reply chan<- scheduler.JobView) scheduler.Event { return scheduler.JobQuery{ID: id, Reply: reply} })
}

// Pending implements ingress.Control.
func (l *controlLoop) Pending(ctx context.Context, queue policy.QueueRef) (int, error) {
	return query(ctx, l, func(reply chan<- int) scheduler.Event { return scheduler.PendingQuery{Queue: queue, Reply: reply} })
}
