package scheduler

import (
	"fmt"
	"maps"
	"time"
)

// Delays after a contained failure before this node acquires the scheduler lease
// again. Another node is usually faster. The delay doubles with each failure that
// follows within failureMemory.
const (
	minYield      = time.Second
	maxYield      = time.Minute
	failureMemory = time.Minute
)

// maxLoggedStack bounds the stack trace in a log line, in bytes.
const maxLoggedStack = 2000

// Guard applies events to a scheduler and contains its failures: when a decision
// panics, the guard releases the scheduler lease, quarantines the record that the
// decision was about, and continues with a new scheduler, whose copy of the store is
// read again. A Guard is not safe for concurrent use.
type Guard struct {
	options Options
	// stack returns the stack of the calling goroutine, for the log line of a failure.
	stack   func() []byte
	current *Scheduler
	// yield is the delay after the last failure, at lastFailureAt.
	yield         time.Duration
	lastFailureAt time.Time
}

// NewGuard returns a guard of a scheduler that has read nothing from the store yet.
// Stack returns the stack of the calling goroutine.
func NewGuard(o Options, stack func() []byte) *Guard {
	return &Guard{options: o, stack: stack, current: New(o)}
}

// Scheduler returns the present scheduler. A later Apply may replace it.
func (g *Guard) Scheduler() *Scheduler { return g.current }

// Apply is Scheduler.Apply for the present scheduler. If that panics, the actions of
// the event are dropped, which leaves every order of it unsent.
func (g *Guard) Apply(e Event, now time.Time) (actions []Action) {
	defer func() {
		if cause := recover(); cause != nil {
			actions = g.contain(cause, e, now)
		}
	}()
	return g.current.Apply(e, now)
}

// StoreQuarantine stores the quarantine of a record whose Reason made a decision fail.
// Afterwards, it releases the lease in Release, if there is one: the next scheduler
// then reads the quarantine before it decides anything. It has no result of its own:
// the quarantine arrives as QuarantineRead.
type StoreQuarantine struct {
	// Record is the zero Record if the failure had no subject. Nothing is stored then.
	Record  Record
	Reason  string
	Release *ReleaseLease
}

func (StoreQuarantine) isAction() {}

// contain replaces the scheduler after a failure and returns the actions that end its
// term.
func (g *Guard) contain(cause any, e Event, now time.Time) []Action {
	failed := g.current
	if now.Sub(g.lastFailureAt) > failureMemory {
		g.yield = 0
	}
	g.yield, g.lastFailureAt = min(max(2*g.yield, minYield), maxYield), now

	next := New(g.options)
	next.copyNumber = failed.copyNumber + 1
	next.config = failed.config
	next.counts = failed.counts
	next.counts.Contained++
	next.counts.Running, next.counts.Unfinished, next.counts.Workers, next.counts.WaitingForRack = 0, 0, 0, 0
	next.counts.ContendedPools, next.counts.Shares = 0, nil
	next.election.stopping = failed.election.stopping
	next.election.yieldUntil = now.Add(g.yield)
	maps.Copy(next.quarantine.records, failed.quarantine.records)
	g.current = next

	action := StoreQuarantine{Reason: fmt.Sprint(cause)}
	if len(next.quarantine.records) < maxQuarantined {
		action.Record = failed.subject
	}
	if action.Record.Kind != "" {
		next.quarantine.records[action.Record] = true
	}
	if a := failed.election.authority; a.Held() {
		action.Release = &ReleaseLease{a.LeaseID, a.Fence, a.Epoch}
	}
	stack := g.stack()
	next.log("failure contained", "error", action.Reason, "event", fmt.Sprintf("%T", e), "kind", failed.subject.Kind,
		"name", failed.subject.Name, "leading", failed.leading, "yield_ms", g.yield.Milliseconds(), "stack", string(stack[:min(len(stack), maxLoggedStack)]))
	next.act(action)
	actions := next.actions
	next.actions = nil
	return actions
}
