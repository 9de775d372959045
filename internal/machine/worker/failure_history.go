package worker

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
)

// Limits for setting a worker aside, which withholds new tasks from it for a
// back-off. At most one task in twenty can never
// succeed, so three failures in a row are unlikely to be the fault of the
// tasks.
const (
	asideThreshold = 3
	minBackoff     = 2 * time.Second
	maxBackoff     = 16 * time.Second
)

// failureHistory records the failures on a worker since its last success.
type failureHistory struct {
	failures      int
	lastFailedJob job.ID
	asideUntil    time.Time
	backoff       time.Duration
}

func (h *failureHistory) isSetAside(now time.Time) bool { return now.Before(h.asideUntil) }

// RecordSuccess records a successful run and clears the failure history.
func (w *Worker) RecordSuccess() { w.history = failureHistory{} }

// RecordFailure records a failed or stalled run and reports whether the worker is
// now set aside. Consecutive failures of one job count once, since the job may
// be at fault.
func (w *Worker) RecordFailure(id job.ID, now time.Time) bool {
	if id == w.history.lastFailedJob {
		return false
	}
	w.history.lastFailedJob = id
	w.history.failures++
	if w.history.failures < asideThreshold {
		return false
	}
	w.history.backoff = min(max(2*w.history.backoff, minBackoff), maxBackoff)
	w.history.asideUntil = now.Add(w.history.backoff)
	// One more failure after the back-off sets the worker aside again.
	w.history.failures = asideThreshold - 1
	return true
}

// Suspect reports whether a run failed on the worker since the last success.
func (w *Worker) Suspect() bool { return w.history.failures > 0 }

// IsSetAside reports whether the worker is set aside and gets no new tasks.
func (w *Worker) IsSetAside(now time.Time) bool { return w.history.isSetAside(now) }
