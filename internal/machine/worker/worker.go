// Package worker models one incarnation of a worker as the scheduler sees it:
// its free resources, its runs, the time until which orders sent to it can have
// an effect, and the ended runs that the scheduler acknowledged. It does no I/O
// and reads no clock.
package worker

import (
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// Bounds of a worker's lease. The platform reduces a longer lease to its own
// maximum.
const (
	// ClockError is the maximum error of a worker's clock rate, in percent.
	ClockError = 2
	// LeaseMargin covers the uncertainty of the estimate of a worker's clock.
	LeaseMargin = 250 * time.Millisecond
)

// Description is the entry of a worker in the store's list, written by the
// worker.
type Description struct {
	ID, Service, Address, DataCentre string
	Capacity                         machine.Resources
	// Labels are the kind of the worker and its rack, in this order.
	Labels   []string
	Draining bool
	// Remaining is the minimum time that a draining worker continues to run.
	Remaining time.Duration
	// Cold is how much longer the worker is slow after its start.
	Cold time.Duration
	// StartedMillis is the start of the incarnation in Unix milliseconds.
	StartedMillis int64
}

// Worker is one incarnation of a worker. The scheduler owns it.
type Worker struct {
	Description
	// Listed is false once the store's list no longer contains the worker.
	Listed bool
	// ColdUntil is when the worker reaches its full speed.
	ColdUntil time.Time
	// DrainSeenAt is when the scheduler first observed the worker draining.
	DrainSeenAt time.Time
	// Recorded means that the scheduler's stored list contains the worker, so
	// that a successor polls the worker before it restarts tasks elsewhere.
	Recorded bool
	// Answered means that the worker has answered this scheduler, and therefore
	// rejects orders of all earlier schedulers.
	Answered bool
	// EndsOutstanding means that the worker has ends which are not applied yet, so that a
	// task which it does not run may be done.
	EndsOutstanding bool
	// Silent is set while the last poll was not answered, SilentSince is when that began.
	Silent      bool
	SilentSince time.Time
	// EntryStartedMillis is the start of the incarnation that wrote Description, 0 if it is
	// not known. A later one may be of another kind.
	EntryStartedMillis int64
	// LeaseFrozen means that the store may hold for how much longer the worker can run
	// something, so that it gets no order which extends that time.
	LeaseFrozen bool
	// Polling is true while a poll is in flight.
	Polling bool
	// NextPollAt is when the next poll is due.
	NextPollAt time.Time
	// Reserved is true while the worker gets no new tasks because its machine
	// is about to be moved or taken down for upkeep.
	Reserved bool

	// runs are in the order in which they were added.
	runs  []*job.Run
	inUse machine.Resources
	// orphanedRuns are runs on the worker that belong to no open task and are
	// being stopped.
	orphanedRuns map[RunKey]OrphanedRun
	// expiresAt is the time after which no run on the worker can be alive, unless
	// another order is sent.
	expiresAt     time.Time
	clock         clockReading
	ends          endLog
	history       failureHistory
	paceChangedAt time.Time
	// keptUntil is the time until which only tasks that must be isolated may start.
	keptUntil time.Time
	// isolatedRuns is the number of runs that are kept apart.
	isolatedRuns int
}

// RunKey identifies a run.
type RunKey struct {
	Task   job.TaskName
	Number int
}

// OrphanedRun is what a run that is being stopped still occupies.
type OrphanedRun struct {
	Team string
	// Need counts against the team, CountedNeed against the worker.
	Need, CountedNeed machine.Resources
}

type clockReading struct {
	millis     int64
	receivedAt time.Time
}

// New returns a worker that has not been polled yet.
func New(d Description) *Worker {
	return &Worker{Description: d, Listed: true}
}

// Rack returns the last label if the worker has at least two, else an empty
// string.
func (w *Worker) Rack() string {
	if len(w.Labels) < 2 {
		return ""
	}
	return w.Labels[len(w.Labels)-1]
}

// HasLabel reports whether the worker has a label. Every worker has the empty
// label.
func (w *Worker) HasLabel(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}

// Runs returns the runs that may be alive. Add and Remove do not modify the
// returned slice.
func (w *Worker) Runs() []*job.Run { return w.runs }

// KeyOf returns the key of a run.
func KeyOf(r *job.Run) RunKey { return RunKey{r.Task.Name(), r.Number} }

// Add records a run that was ordered or was found on the worker.
func (w *Worker) Add(r *job.Run) {
	r.Worker = w.ID
	w.runs = append(slices.Clip(w.runs), r)
	w.inUse = w.inUse.Plus(r.Task.Spec().CountedNeed())
	if r.Isolation != job.NotIsolated {
		w.isolatedRuns++
	}
}

// Remove records the end of a run and frees its resources.
func (w *Worker) Remove(r *job.Run) {
	at := slices.Index(w.runs, r)
	if at < 0 {
		return
	}
	w.runs = slices.Concat(w.runs[:at], w.runs[at+1:])
	w.inUse = w.inUse.Minus(r.Task.Spec().CountedNeed())
	if r.Isolation != job.NotIsolated {
		w.isolatedRuns--
	}
}

// OrphanedRuns returns the runs that are being stopped and belong to no open task.
func (w *Worker) OrphanedRuns() map[RunKey]OrphanedRun { return w.orphanedRuns }

// SetOrphanedRuns replaces the orphaned runs. They occupy resources until they
// are replaced.
func (w *Worker) SetOrphanedRuns(next map[RunKey]OrphanedRun) {
	for _, o := range w.orphanedRuns {
		w.inUse = w.inUse.Minus(o.CountedNeed)
	}
	for _, o := range next {
		w.inUse = w.inUse.Plus(o.CountedNeed)
	}
	w.orphanedRuns = next
}

// InUse returns the resources that runs and orphaned runs occupy.
func (w *Worker) InUse() machine.Resources { return w.inUse }

// Free returns the resources that are not in use.
func (w *Worker) Free() machine.Resources { return w.Capacity.Minus(w.inUse) }

// Overcommitted reports whether the runs need more than the worker's capacity, which may
// have shrunk since they were placed.
func (w *Worker) Overcommitted() bool { return !w.inUse.FitsIn(w.Capacity) }

// Fits reports whether a task of the step fits in the free resources.
func (w *Worker) Fits(s *job.Step) bool { return s.CountedNeed().FitsIn(w.Free()) }

// Usable reports whether new tasks may be started on the worker.
func (w *Worker) Usable(now time.Time) bool {
	return w.Listed && w.Answered && w.Recorded && !w.Draining && !w.Reserved && !w.Silent && !w.LeaseFrozen && !w.history.isSetAside(now) &&
		(w.EntryStartedMillis == 0 || w.EntryStartedMillis >= w.StartedMillis)
}

// RunsLongRunningTask reports whether a run on the worker lasts until its job is
// cancelled.
func (w *Worker) RunsLongRunningTask() bool {
	return slices.ContainsFunc(w.runs, func(r *job.Run) bool { return r.Task.Spec().LongRunning })
}

// CountStep returns the number of runs of a step's occurrence on the worker.
func (w *Worker) CountStep(o *job.Occurrence, step int) int {
	n := 0
	for _, r := range w.runs {
		if r.Task.Occurrence == o && r.Task.Step == step {
			n++
		}
	}
	return n
}

// RecordClock records a reading of the worker's clock. Readings that arrive out
// of order are ignored.
func (w *Worker) RecordClock(millis int64, receivedAt time.Time) {
	if millis > 0 && !receivedAt.Before(w.clock.receivedAt) {
		w.clock = clockReading{millis, receivedAt}
	}
}

// ClockAt estimates the worker's clock in milliseconds. The estimate lags
// behind the clock by at most the time that an answer takes.
func (w *Worker) ClockAt(now time.Time) int64 {
	return w.clock.millis + now.Sub(w.clock.receivedAt).Milliseconds()
}

// ClockKnown reports whether the worker's clock was ever read.
func (w *Worker) ClockKnown() bool { return w.clock.millis > 0 }

// ExtendExpiry extends the expiry for an order that is being sent with a lease of
// hold. The expiry allows for the clock error since the last reading and during
// the lease.
func (w *Worker) ExtendExpiry(now time.Time, hold time.Duration) {
	drift := now.Sub(w.clock.receivedAt)
	if w.clock.receivedAt.IsZero() {
		drift = 0
	}
	end := now.Add((hold + drift*ClockError/100 + LeaseMargin) * (100 + ClockError + 1) / 100)
	if end.After(w.expiresAt) {
		w.expiresAt = end
	}
}

// ExtendExpiryTo extends the expiry to at, because orders of an earlier scheduler
// may have an effect until then.
func (w *Worker) ExtendExpiryTo(at time.Time) {
	if at.After(w.expiresAt) {
		w.expiresAt = at
	}
}

// ExpiresAt returns the time after which no run on the worker can be alive.
func (w *Worker) ExpiresAt() time.Time { return w.expiresAt }

// Expired reports whether no run on the worker can still be alive at now.
func (w *Worker) Expired(now time.Time) bool { return now.After(w.expiresAt) }

// Mixed reports whether serving tasks share the worker with tasks of steps that
// set Filler.
func (w *Worker) Mixed() bool {
	var serves, fills bool
	for _, r := range w.runs {
		s := r.Task.Spec()
		serves = serves || s.LatencyObjective > 0
		fills = fills || s.Filler
	}
	return serves && fills
}

// Find returns the run with the given key, or nil if there is none.
func (w *Worker) Find(key RunKey) *job.Run {
	for _, r := range w.runs {
		if r.Number == key.Number && r.Task.Name() == key.Task {
			return r
		}
	}
	return nil
}

// ServingLoad returns the highest ratio of tail latency to latency objective
// among the active serving runs.
func (w *Worker) ServingLoad() float64 {
	worst := 0.0
	for _, r := range w.runs {
		objective := r.Task.Spec().LatencyObjective.Milliseconds()
		if objective > 0 && r.Phase == job.RunActive {
			worst = max(worst, float64(r.Measurement)/float64(objective))
		}
	}
	return worst
}

// PaceChangeDue reports whether the pace has not changed for at least
// minInterval, so that the effect of the last change can be measured.
func (w *Worker) PaceChangeDue(now time.Time, minInterval time.Duration) bool {
	return now.Sub(w.paceChangedAt) >= minInterval
}

// RecordPaceChange records a change of pace.
func (w *Worker) RecordPaceChange(now time.Time) { w.paceChangedAt = now }
