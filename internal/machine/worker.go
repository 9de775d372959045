package machine

import (
	"cmp"
	"slices"
	"time"
)

// Limits of every worker.
const (
	WorkerSlots       = 8
	WorkerConnections = 64
)

// WorkerHealth is the scheduler's assessment of a worker.
type WorkerHealth string

// Health of a worker.
const (
	WorkerGood WorkerHealth = "good"
	// WorkerSuspect means that a task failed since the last success. Other
	// workers are preferred, and the worker gets no non-idempotent tasks for
	// suspectDuration.
	WorkerSuspect WorkerHealth = "suspect"
	// WorkerAside means that the worker is set aside, because every recent task
	// failed on it. It gets no tasks until its back-off has passed, and then a
	// single probe task.
	WorkerAside WorkerHealth = "aside"
)

// Back-off of workers that are set aside.
const (
	// asideThreshold is the number of distinct tasks that must fail on a
	// worker, none of them on another worker too, without a success in between.
	asideThreshold = 3
	minBackoff     = 10 * time.Second
	maxBackoff     = 10 * time.Minute
	// suspectDuration is how long after a failure a suspect worker gets no
	// non-idempotent tasks.
	suspectDuration = time.Minute
)

// Parameters of usage smoothing. The charge of a task follows a peak that
// decays by a quarter with each report, so that a short dip in usage does not
// attract more tasks.
const (
	minReports       = 3
	peakDecayDivisor = 4
)

// Placement is one task on a worker, as the scheduler sees it.
type Placement struct {
	Task *Task
	// Charge is what the task counts against the worker: the estimate until
	// minReports usage reports have arrived, then the decaying peak of the
	// reported usage.
	Charge Resources
	// Peak is the largest reported usage.
	Peak      Resources
	StartedAt time.Time
	// StartSequence is the sequence number of the worker at which the start was
	// confirmed, 0 before. Every later report must list the task.
	StartSequence uint64
	// Ending means that a checkpoint or stop was sent.
	Ending bool
	// CapMilliCores is the throttle in millicores, 0 for none.
	CapMilliCores int64
	reports       int
}

// Worker is one machine that runs tasks. The scheduler of its data centre owns
// it; the platform reports its usage with a lag.
type Worker struct {
	ID       string
	Rack     string
	Capacity Resources
	// Sequence is the highest sequence number that the worker reported.
	Sequence uint64

	placements map[string]*Placement
	// sortedPlacements holds the placements ordered by task id. The slice is
	// replaced, never modified.
	sortedPlacements []*Placement
	charged          Resources
	connections      int
	// reserved is the id of the task for which capacity is being freed here.
	reserved      string
	reservedUntil time.Time

	// failedTasks holds the ids of the tasks that count as failures of the
	// worker since its last success.
	failedTasks []string
	// failedAt is the time of the last failure.
	failedAt time.Time
	backoff  time.Duration
	probing  bool
}

// NewWorker returns a worker without tasks.
func NewWorker(id, rack string, capacity Resources) *Worker {
	return &Worker{ID: id, Rack: rack, Capacity: capacity, placements: make(map[string]*Placement)}
}

// Free returns the capacity that is not charged. Fields may be negative.
func (w *Worker) Free() Resources { return w.Capacity.Minus(w.charged) }

// FreeSlots returns the number of unused slots.
func (w *Worker) FreeSlots() int { return WorkerSlots - len(w.placements) }

// FreeConnections returns the number of unused connections.
func (w *Worker) FreeConnections() int { return WorkerConnections - w.connections }

// Placements returns the tasks on the worker, ordered by task id. The caller
// must not modify the slice; it does not change when tasks start or end.
func (w *Worker) Placements() []*Placement { return w.sortedPlacements }

// Placement returns the placement of a task, or nil if the task is not on the
// worker.
func (w *Worker) Placement(task string) *Placement { return w.placements[task] }

// Place charges a task to the worker. It returns the existing placement if the
// task is already there.
func (w *Worker) Place(t *Task, estimate Resources, now time.Time) *Placement {
	if known := w.placements[t.ID]; known != nil {
		return known
	}
	p := &Placement{Task: t, Charge: estimate, StartedAt: now}
	w.placements[t.ID] = p
	at, _ := slices.BinarySearchFunc(w.sortedPlacements, t.ID, compareTask)
	w.sortedPlacements = slices.Insert(slices.Clone(w.sortedPlacements), at, p)
	w.charged = w.charged.Plus(estimate)
	w.connections += t.Connections
	if w.Health() == WorkerAside {
		w.probing = true
	}
	if w.reserved == t.ID {
		w.reserved = ""
	}
	return p
}

func compareTask(p *Placement, id string) int { return cmp.Compare(p.Task.ID, id) }

// Remove ends the charge of a task.
func (w *Worker) Remove(task string) {
	p := w.placements[task]
	if p == nil {
		return
	}
	delete(w.placements, task)
	at, _ := slices.BinarySearchFunc(w.sortedPlacements, task, compareTask)
	w.sortedPlacements = slices.Delete(slices.Clone(w.sortedPlacements), at, at+1)
	w.charged = w.charged.Minus(p.Charge)
	w.connections -= p.Task.Connections
}

// Report records the reported usage of one task and returns the change of its
// charge.
func (w *Worker) Report(task string, used Resources) Resources {
	p := w.placements[task]
	if p == nil {
		return Resources{}
	}
	p.reports++
	used.Accelerators = p.Charge.Accelerators
	p.Peak = p.Peak.Max(used)
	next := p.Charge.Max(used)
	if p.reports >= minReports {
		decayed := p.Charge.Minus(Resources{p.Charge.MilliCores / peakDecayDivisor, p.Charge.MemoryMB / peakDecayDivisor, 0})
		next = used.Max(decayed)
	}
	if p.CapMilliCores > 0 {
		next.MilliCores = min(next.MilliCores, p.CapMilliCores)
	}
	return w.recharge(p, next)
}

func (w *Worker) recharge(p *Placement, next Resources) Resources {
	change := next.Minus(p.Charge)
	p.Charge = next
	w.charged = w.charged.Plus(change)
	return change
}

// Throttle caps the cores of a task in millicores and returns the change of its
// charge. 0 removes the cap.
func (w *Worker) Throttle(task string, milliCores int64) Resources {
	p := w.placements[task]
	if p == nil {
		return Resources{}
	}
	p.CapMilliCores = milliCores
	next := p.Charge
	if milliCores > 0 {
		next.MilliCores = min(next.MilliCores, milliCores)
	} else {
		next.MilliCores = max(next.MilliCores, p.Peak.MilliCores)
	}
	return w.recharge(p, next)
}

// PeakTrusted reports whether the peak of the placement may update the size
// estimate: enough reports have arrived and no cap limits the usage.
func (p *Placement) PeakTrusted() bool { return p.reports >= minReports && p.CapMilliCores == 0 }

// PeakJustTrusted reports whether the last report made the peak trusted. The
// estimate is then updated before the task ends, since tasks may run for hours.
func (p *Placement) PeakJustTrusted() bool { return p.reports == minReports && p.CapMilliCores == 0 }

// Reserve reserves the worker for a task until the given time.
func (w *Worker) Reserve(task string, until time.Time) { w.reserved, w.reservedUntil = task, until }

// ReservedFor returns the task for which the worker is reserved, empty for
// none.
func (w *Worker) ReservedFor(now time.Time) string {
	if now.After(w.reservedUntil) {
		return ""
	}
	return w.reserved
}

// Health returns the scheduler's assessment of the worker.
func (w *Worker) Health() WorkerHealth {
	switch {
	case len(w.failedTasks) >= asideThreshold:
		return WorkerAside
	case len(w.failedTasks) > 0:
		return WorkerSuspect
	default:
		return WorkerGood
	}
}

// ProbeAt returns when a worker in the state WorkerAside may get its next probe
// task.
func (w *Worker) ProbeAt() time.Time { return w.failedAt.Add(w.backoff) }

// Admits reports whether the health of the worker permits the task. A worker
// that fails every task looks idle and fast; the back-off prevents choosing it
// again and again, and after it the worker gets a single probe task.
func (w *Worker) Admits(t *Task, now time.Time) bool {
	if slices.Contains(t.FailedOn, w.ID) {
		return false
	}
	switch w.Health() {
	case WorkerAside:
		probe := w.ProbeAt()
		if !t.Idempotent {
			// A non-idempotent task probes the worker only if no idempotent task
			// did so for maxBackoff after the probe was due.
			probe = probe.Add(maxBackoff)
		}
		return !w.probing && !now.Before(probe)
	case WorkerSuspect:
		return t.Idempotent || now.Sub(w.failedAt) >= suspectDuration
	default:
		return true
	}
}

// RecordSuccess records a task that succeeded and clears all failures of the
// worker.
func (w *Worker) RecordSuccess() {
	w.failedTasks, w.backoff, w.probing = nil, 0, false
}

// RecordFailure records a task that failed on this worker and on no other
// before. It reports whether the worker is set aside as a result.
func (w *Worker) RecordFailure(task string, now time.Time) bool {
	wasAside := w.Health() == WorkerAside
	if !slices.Contains(w.failedTasks, task) {
		w.failedTasks = append(w.failedTasks, task)
	}
	w.failedAt = now
	if w.Health() != WorkerAside {
		return false
	}
	w.probing = false
	w.backoff = min(max(minBackoff, 2*w.backoff), maxBackoff)
	return !wasAside
}

// RetractFailure removes the failure of a task that failed on another worker
// too, since the task itself is then at fault.
func (w *Worker) RetractFailure(task string) {
	w.failedTasks = slices.DeleteFunc(w.failedTasks, func(id string) bool { return id == task })
}
