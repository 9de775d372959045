// Package worker holds one incarnation of a worker as the scheduler sees it:
// its room, the runs on it, how long orders given to it can have effect, and
// which of its ends are acknowledged. It does no I/O and reads no clock.
package worker

import (
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// Bounds of a worker's lease. The platform shortens a longer one to its own
// maximum.
const (
	// ClockError is the greatest error of a worker's clock rate, in percent.
	ClockError = 2
	// HoldMargin covers the uncertainty of the estimate of a worker's clock.
	HoldMargin = 250 * time.Millisecond
)

// Description is what a worker says about itself in the store's list.
type Description struct {
	ID, Service, Address, Zone string
	Capacity                   machine.Resources
	// Labels are the kind of the worker and its rack.
	Labels   []string
	Draining bool
	// Remaining is the least time that a draining worker stays.
	Remaining time.Duration
	// Cold is how much longer the worker is slow after its start.
	Cold time.Duration
	// Born is the start of the incarnation in Unix milliseconds.
	Born int64
}

// Worker is one incarnation of a worker.
type Worker struct {
	Description
	// Listed is false once the store's list lacks the worker.
	Listed bool
	// ColdUntil is when the worker has its full speed.
	ColdUntil time.Time
	// DrainSeenAt is when the worker was first seen draining.
	DrainSeenAt time.Time
	// Recorded means that the scheduler's durable list names the worker, so that a
	// successor asks it before it moves tasks.
	Recorded bool
	// Heard means that the worker has answered this scheduler, so that it refuses
	// all earlier ones.
	Heard bool
	// Silent is set when the last question got no answer.
	Silent bool
	// Asking is true while a question is under way.
	Asking bool
	// NextAsk is when the next question is due.
	NextAsk time.Time
	// Reserved machines get nothing new because upkeep or a move is near.
	Reserved bool

	// runs are in the order in which they were added.
	runs  []*job.Run
	inUse machine.Resources
	// leftovers are runs on the worker that belong to no open task and are being
	// stopped.
	leftovers map[RunKey]Leftover
	// expiresAt is when everything on the worker has ended for certain if no
	// further order is given.
	expiresAt time.Time
	clock     clockReading
	ends      endLog
	trust     trust
	pacedAt   time.Time
}

// RunKey names a run on a worker.
type RunKey struct {
	Task   job.TaskName
	Number int
}

// Leftover is what a run that is being stopped still occupies.
type Leftover struct {
	Team string
	// Need counts for the team, Room on the worker.
	Need, Room machine.Resources
}

type clockReading struct {
	millis     int64
	receivedAt time.Time
}

// New returns a worker that has not been asked yet.
func New(d Description) *Worker {
	return &Worker{Description: d, Listed: true}
}

// Rack returns the worker's rack label: the second of its labels.
func (w *Worker) Rack() string {
	if len(w.Labels) < 2 {
		return ""
	}
	return w.Labels[len(w.Labels)-1]
}

// HasLabel reports whether the worker carries a label; an empty one is carried
// by all.
func (w *Worker) HasLabel(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}

// Runs returns the runs that may be alive. The list does not change when runs
// are added or removed later.
func (w *Worker) Runs() []*job.Run { return w.runs }

// Key names a run.
func Key(r *job.Run) RunKey { return RunKey{r.Task.Name(), r.Number} }

// Add notes a run that is ordered or was found on the worker.
func (w *Worker) Add(r *job.Run) {
	r.Worker = w.ID
	w.runs = append(slices.Clip(w.runs), r)
	w.inUse = w.inUse.Plus(r.Task.Spec().Room())
}

// Remove notes that a run is over and frees its room.
func (w *Worker) Remove(r *job.Run) {
	at := slices.Index(w.runs, r)
	if at < 0 {
		return
	}
	w.runs = slices.Concat(w.runs[:at], w.runs[at+1:])
	w.inUse = w.inUse.Minus(r.Task.Spec().Room())
}

// Leftovers returns the runs that are being stopped and belong to no open task.
func (w *Worker) Leftovers() map[RunKey]Leftover { return w.leftovers }

// SetLeftovers replaces them.
func (w *Worker) SetLeftovers(list map[RunKey]Leftover) {
	for _, l := range w.leftovers {
		w.inUse = w.inUse.Minus(l.Room)
	}
	for _, l := range list {
		w.inUse = w.inUse.Plus(l.Room)
	}
	w.leftovers = list
}

// InUse returns the room that runs occupy, including those that are ending.
func (w *Worker) InUse() machine.Resources { return w.inUse }

// Free returns the room that is left.
func (w *Worker) Free() machine.Resources { return w.Capacity.Minus(w.inUse) }

// Fits reports whether a task of the step has room.
func (w *Worker) Fits(s *job.Step) bool { return s.Room().FitsIn(w.Free()) }

// Usable reports whether new tasks may start on the worker.
func (w *Worker) Usable(now time.Time) bool {
	return w.Listed && w.Heard && w.Recorded && !w.Draining && !w.Reserved && !w.Silent && !w.trust.aside(now)
}

// HoldsLasting reports whether a run on the worker lasts until its job is
// cancelled.
func (w *Worker) HoldsLasting() bool {
	return slices.ContainsFunc(w.runs, func(r *job.Run) bool { return r.Task.Spec().Lasting })
}

// CountStep returns how many runs of a step's occurrence the worker holds.
func (w *Worker) CountStep(o *job.Occurrence, step int) int {
	n := 0
	for _, r := range w.runs {
		if r.Task.Occurrence == o && r.Task.Step == step {
			n++
		}
	}
	return n
}

// ReadClock notes a reading of the worker's clock.
func (w *Worker) ReadClock(millis int64, receivedAt time.Time) {
	if millis > 0 && !receivedAt.Before(w.clock.receivedAt) {
		w.clock = clockReading{millis, receivedAt}
	}
}

// ClockAt estimates the worker's clock in milliseconds. It is never behind by
// more than the time an answer takes.
func (w *Worker) ClockAt(now time.Time) int64 {
	return w.clock.millis + now.Sub(w.clock.receivedAt).Milliseconds()
}

// ClockKnown reports whether the worker's clock was ever read.
func (w *Worker) ClockKnown() bool { return w.clock.millis > 0 }

// Ordered notes that an order with a lease of hold is being sent, so that the
// worker's tasks may live on that long.
func (w *Worker) Ordered(now time.Time, hold time.Duration) {
	drift := now.Sub(w.clock.receivedAt)
	if w.clock.receivedAt.IsZero() {
		drift = 0
	}
	end := now.Add((hold + drift*ClockError/100 + HoldMargin) * (100 + ClockError + 1) / 100)
	if end.After(w.expiresAt) {
		w.expiresAt = end
	}
}

// ExpectOrders notes that orders of an earlier scheduler may have effect until
// at.
func (w *Worker) ExpectOrders(at time.Time) {
	if at.After(w.expiresAt) {
		w.expiresAt = at
	}
}

// ExpiresAt returns when everything on the worker has ended for certain.
func (w *Worker) ExpiresAt() time.Time { return w.expiresAt }

// Expired reports whether everything on the worker has ended for certain.
func (w *Worker) Expired(now time.Time) bool { return now.After(w.expiresAt) }

// Mixed reports whether serving tasks share the worker with tasks that fill.
func (w *Worker) Mixed() bool {
	var serves, fills bool
	for _, r := range w.runs {
		s := r.Task.Spec()
		serves = serves || s.LatencyObjective > 0
		fills = fills || s.Fills
	}
	return serves && fills
}

// Find returns the run of a key, nil when there is none.
func (w *Worker) Find(key RunKey) *job.Run {
	for _, r := range w.runs {
		if r.Number == key.Number && r.Task.Name() == key.Task {
			return r
		}
	}
	return nil
}

// ServingLoad returns the worst tail latency of the serving runs, in parts of
// their objectives.
func (w *Worker) ServingLoad() float64 {
	worst := 0.0
	for _, r := range w.runs {
		objective := r.Task.Spec().LatencyObjective.Milliseconds()
		if objective > 0 && r.Phase == job.RunActive {
			worst = max(worst, float64(r.Measured)/float64(objective))
		}
	}
	return worst
}

// PaceDue reports whether the effect of the last change of pace can be seen.
func (w *Worker) PaceDue(now time.Time, after time.Duration) bool {
	return now.Sub(w.pacedAt) >= after
}

// Paced notes a change of pace.
func (w *Worker) Paced(now time.Time) { w.pacedAt = now }
