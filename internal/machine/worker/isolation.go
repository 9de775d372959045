package worker

import (
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
)

// Isolated reports whether no task may start on the worker, because one of its runs
// must be kept apart.
func (w *Worker) Isolated() bool {
	return w.isolatedRuns > 0 && slices.ContainsFunc(w.runs, func(r *job.Run) bool {
		return r.Isolation == job.IsolatedRun || r.Isolation == job.IsolatedStart && !r.Proven()
	})
}

// HasProbation reports whether a run on the worker is kept apart until it is proven.
func (w *Worker) HasProbation() bool {
	return w.isolatedRuns > 0 && slices.ContainsFunc(w.runs, func(r *job.Run) bool { return r.Isolation != job.NotIsolated && !r.Proven() })
}

// Obstacles returns the number of runs that keep a task with the given isolation from
// starting on the worker.
func (w *Worker) Obstacles(isolation job.Isolation) int {
	switch isolation {
	case job.IsolatedRun:
		return len(w.runs)
	case job.IsolatedStart:
		n := 0
		for _, r := range w.runs {
			if !r.Proven() {
				n++
			}
		}
		return n
	}
	return 0
}

// Admits reports whether a task with the given isolation may start on the worker beside
// its runs.
func (w *Worker) Admits(isolation job.Isolation, now time.Time) bool {
	if isolation == job.NotIsolated && w.KeptForSuspects(now) {
		return false
	}
	return !w.Isolated() && w.Obstacles(isolation) == 0
}

// KeepForSuspects keeps tasks off the worker until the given time, except those that must be
// kept apart.
func (w *Worker) KeepForSuspects(at time.Time) { w.keptUntil = at }

// KeptForSuspects reports whether only tasks that must be kept apart may start on the worker.
func (w *Worker) KeptForSuspects(now time.Time) bool { return now.Before(w.keptUntil) }
