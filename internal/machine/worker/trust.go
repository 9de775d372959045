package worker

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
)

// Bounds of distrust. Three failures in a row on a worker are unlikely to be
// the tasks' own fault: one task in twenty at most can never be done.
const (
	failuresUntilAside = 3
	firstAside         = 2 * time.Second
	longestAside       = 16 * time.Second
)

// trust is what the recent ends on a worker say about it.
type trust struct {
	failures   int
	lastFailed job.ID
	asideUntil time.Time
	asideFor   time.Duration
}

func (t *trust) aside(now time.Time) bool { return now.Before(t.asideUntil) }

// Succeeded notes that a task ended done on the worker.
func (w *Worker) Succeeded() { w.trust = trust{} }

// FailedTask notes a failed end or a stalled task. It reports whether the worker is
// set aside now. Failures of one job count once: the job may be at fault.
func (w *Worker) FailedTask(id job.ID, now time.Time) bool {
	if id == w.trust.lastFailed {
		return false
	}
	w.trust.lastFailed = id
	w.trust.failures++
	if w.trust.failures < failuresUntilAside {
		return false
	}
	w.trust.asideFor = min(max(2*w.trust.asideFor, firstAside), longestAside)
	w.trust.asideUntil = now.Add(w.trust.asideFor)
	// One more failure after the pause sets the worker aside again.
	w.trust.failures = failuresUntilAside - 1
	return true
}

// Suspect reports whether the last end on the worker was a failure.
func (w *Worker) Suspect() bool { return w.trust.failures > 0 }

// Aside reports whether the worker is set aside.
func (w *Worker) Aside(now time.Time) bool { return w.trust.aside(now) }
