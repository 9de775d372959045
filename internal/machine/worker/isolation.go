package worker

import (
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
)

// Isolated reports whether no task may start on the worker, because one of its runs
// must be kept apart.
func (w *Worker) Isolated() bool {
	return w.isolatedRuns > 0 && slices.ContainsFunc(w.runs, onProbation)
}

// onProbation reports whether a run must still be kept apart.
func onProbation(r *job.Run) bool {
	return r.Isolation == job.IsolatedStart && !r.Proven() || r.Isolation == job.IsolatedLonger && !r.Cleared()
}

// Obstacles returns the number of runs that keep a task with the given isolation from
// starting on the worker.
func (w *Worker) Obstacles(isolation job.Isolation) int {
	switch isolation {
	case job.IsolatedLonger:
		return w.countRuns(func(r *job.Run) bool { return !r.Cleared() })
	case job.IsolatedStart:
		return w.countRuns(func(r *job.Run) bool { return !r.Proven() })
	}
	return 0
}

func (w *Worker) countRuns(matches func(*job.Run) bool) int {
	n := 0
	for _, r := range w.runs {
		if matches(r) {
			n++
		}
	}
	return n
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
