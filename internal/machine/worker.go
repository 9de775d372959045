package machine

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of every worker.
const (
	WorkerSlots       = 8
	WorkerConnections = 64
)

// WorkerHealth is what the scheduler thinks of a worker.
type WorkerHealth string

// Health of a worker.
const (
	WorkerGood WorkerHealth = "good"
	// WorkerSuspect means that the last start failed. Other workers come first
	// and non-idempotent tasks are kept away.
	WorkerSuspect WorkerHealth = "suspect"
	// WorkerAside means that the worker failed all it started. It gets nothing
	// until its back-off has passed, then one probe task.
	WorkerAside WorkerHealth = "aside"
)

// Back-off of workers that are set aside.
const (
	// asideAfter is the number of distinct tasks that failed on a worker, none
	// of which failed on another worker too, with no success in between.
	asideAfter   = 3
	firstBackoff = 10 * time.Second
	longBackoff  = 10 * time.Minute
	// suspectFor keeps non-idempotent tasks away from a suspect worker.
	suspectFor = time.Minute
)

// Usage smoothing. A task's charge follows a peak that decays by a quarter at
// each report, so that a short dip does not invite more tasks.
const (
	reportsTrusted = 3
	peakDecay      = 4
)

// Placement is one task on a worker, as the scheduler sees it.
type Placement struct {
	Task *Task
	// Charge is what the task counts for: the estimate until usage reports are
	// trusted, the decaying peak of reported usage then.
	Charge Resources
	// Peak is the largest reported usage.
	Peak      Resources
	StartedAt time.Time
	// Since is the sequence of the worker at which the start was confirmed, 0
	// before. A later report must name the task.
	Since uint64
	// Ending means that a checkpoint or stop was sent.
	Ending bool
	// Cap is the throttle in thousandths of a core, 0 for none.
	Cap     int64
	reports int
}

// Worker is one machine that runs tasks. It is owned by the scheduler of its
// data centre; the platform reports its usage with a lag.
type Worker struct {
	ID       string
	Rack     string
	Capacity Resources
	// Sequence is the highest sequence reported by the worker.
	Sequence uint64

	placed map[string]*Placement
	// ordered holds the placements by task id. It is replaced, never changed.
	ordered     []*Placement
	charged     Resources
	connections int
	// reserved names the urgent task whose room is being freed here.
	reserved      string
	reservedUntil time.Time

	blamedBy []string
	// failedAt is the time of the last failure.
	failedAt time.Time
	backoff  time.Duration
	probing  bool
}

// NewWorker returns an idle worker.
func NewWorker(id, rack string, capacity Resources) *Worker {
	return &Worker{ID: id, Rack: rack, Capacity: capacity, placed: make(map[string]*Placement)}
}

// Free returns what is not charged; fields may be negative.
func (w *Worker) Free() Resources { return w.Capacity.Minus(w.charged) }

// FreeSlots returns the number of unused slots.
func (w *Worker) FreeSlots() int { return WorkerSlots - len(w.placed) }

// FreeConnections returns the number of unused connections.
func (w *Worker) FreeConnections() int { return WorkerConnections - w.connections }

// Placements returns the tasks on the worker, ordered by task id. The slice must
// not be changed; it stays as it is when tasks come and go.
func (w *Worker) Placements() []*Placement { return w.ordered }

// Placement returns the placement of a task, nil when it is not here.
func (w *Worker) Placement(task string) *Placement { return w.placed[task] }

// Place charges a task to the worker.
func (w *Worker) Place(t *Task, estimate Resources, now time.Time) *Placement {
	if known := w.placed[t.ID]; known != nil {
		return known
	}
	p := &Placement{Task: t, Charge: estimate, StartedAt: now}
	w.placed[t.ID] = p
	at, _ := slices.BinarySearchFunc(w.ordered, t.ID, byTask)
	w.ordered = slices.Insert(slices.Clone(w.ordered), at, p)
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

func byTask(p *Placement, id string) int { return cmp.Compare(p.Task.ID, id) }

// Remove ends the charge of a task.
func (w *Worker) Remove(task string) {
	p := w.placed[task]
	if p == nil {
		return
	}
	delete(w.placed, task)
	at, _ := slices.BinarySearchFunc(w.ordered, task, byTask)
	w.ordered = slices.Delete(slices.Clone(w.ordered), at, at+1)
	w.charged = w.charged.Minus(p.Charge)
	w.connections -= p.Task.Connections
}

// Report takes the usage of one task and returns the change of its charge.
func (w *Worker) Report(task string, used Resources) Resources {
	p := w.placed[task]
	if p == nil {
		return Resources{}
	}
	p.reports++
	used.Accelerators = p.Charge.Accelerators
	p.Peak = p.Peak.Max(used)
	next := p.Charge.Max(used)
	if p.reports >= reportsTrusted {
		decayed := p.Charge.Minus(Resources{p.Charge.MilliCores / peakDecay, p.Charge.MemoryMB / peakDecay, 0})
		next = used.Max(decayed)
	}
	if p.Cap > 0 {
		next.MilliCores = min(next.MilliCores, p.Cap)
	}
	return w.recharge(p, next)
}

func (w *Worker) recharge(p *Placement, next Resources) Resources {
	change := next.Minus(p.Charge)
	p.Charge = next
	w.charged = w.charged.Plus(change)
	return change
}

// Throttle caps the cores of a task, 0 lifts the cap, and returns the change of
// its charge.
func (w *Worker) Throttle(task string, milliCores int64) Resources {
	p := w.placed[task]
	if p == nil {
		return Resources{}
	}
	p.Cap = milliCores
	next := p.Charge
	if milliCores > 0 {
		next.MilliCores = min(next.MilliCores, milliCores)
	} else {
		next.MilliCores = max(next.MilliCores, p.Peak.MilliCores)
	}
	return w.recharge(p, next)
}

// Learned reports whether the peak of a placement is worth learning from.
func (p *Placement) Learned() bool { return p.reports >= reportsTrusted && p.Cap == 0 }

// JustLearned reports whether the last report made the peak trusted. A task
// that runs for hours teaches the size of its successors before it ends.
func (p *Placement) JustLearned() bool { return p.reports == reportsTrusted && p.Cap == 0 }

// Reserve keeps the worker free for a task until the given time.
func (w *Worker) Reserve(task string, until time.Time) { w.reserved, w.reservedUntil = task, until }

// ReservedFor returns the task for which the worker is reserved, empty for none.
func (w *Worker) ReservedFor(now time.Time) string {
	if now.After(w.reservedUntil) {
		return ""
	}
	return w.reserved
}

// Health returns the scheduler's opinion.
func (w *Worker) Health() WorkerHealth {
	switch {
	case len(w.blamedBy) >= asideAfter:
		return WorkerAside
	case len(w.blamedBy) > 0:
		return WorkerSuspect
	default:
		return WorkerGood
	}
}

// ProbeAt is when a worker that is set aside may take its next probe task.
func (w *Worker) ProbeAt() time.Time { return w.failedAt.Add(w.backoff) }

// Takes reports whether the health of the worker admits the task. A worker that
// looks idle and fast because it fails everything is not chosen again and
// again: only an idempotent probe reaches it after the back-off.
func (w *Worker) Takes(t *Task, now time.Time) bool {
	if slices.Contains(t.FailedOn, w.ID) {
		return false
	}
	switch w.Health() {
	case WorkerAside:
		probe := w.ProbeAt()
		if !t.Idempotent {
			// Only a fleet without idempotent work probes with other tasks.
			probe = probe.Add(longBackoff)
		}
		return !w.probing && !now.Before(probe)
	case WorkerSuspect:
		return t.Idempotent || now.Sub(w.failedAt) >= suspectFor
	default:
		return true
	}
}

// Succeeded notes a task that ended well; the worker is good again.
func (w *Worker) Succeeded() {
	w.blamedBy, w.backoff, w.probing = nil, 0, false
}

// Failed notes a task that failed here for the first time. It reports whether
// the worker was set aside by it.
func (w *Worker) Failed(task string, now time.Time) bool {
	wasAside := w.Health() == WorkerAside
	if !slices.Contains(w.blamedBy, task) {
		w.blamedBy = append(w.blamedBy, task)
	}
	w.failedAt = now
	if w.Health() != WorkerAside {
		return false
	}
	w.probing = false
	w.backoff = min(max(firstBackoff, 2*w.backoff), longBackoff)
	return !wasAside
}

// Retract takes back the blame for a task that failed on another worker too:
// the task is at fault then, not the worker.
func (w *Worker) Retract(task string) {
	w.blamedBy = slices.DeleteFunc(w.blamedBy, func(id string) bool { return id == task })
}
