package scheduler

import (
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine/upkeep"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// interruptionCost ranks a machine by the runs that taking it down interrupts.
// A long-running task that may not end now outweighs all others.
func (s *Scheduler) interruptionCost(m upkeep.Machine) int {
	wk := s.workers.get(m.Worker)
	if wk == nil {
		return 0
	}
	cost := len(wk.Runs())
	for _, r := range wk.Runs() {
		if r.Task.Spec().LongRunning && !s.mayEndWithWorker(wk, r) {
			cost += 1000
		}
	}
	return cost
}

// mayEndWithWorker reports whether a run may end together with its worker. For a
// long-running one this means that, without the tasks of its step on the worker,
// no more than Step.MaxUnavailable are unavailable.
func (s *Scheduler) mayEndWithWorker(w *worker.Worker, r *job.Run) bool {
	spec := r.Task.Spec()
	if !spec.LongRunning || spec.MaxUnavailable == 0 || r.Task.Occurrence.Job.Ended() {
		return true
	}
	unavailable := 0
	tasks := r.Task.Occurrence.Tasks(r.Task.Step)
	for i := range tasks {
		t := &tasks[i]
		here := slices.ContainsFunc(t.Runs, func(o *job.Run) bool { return o.Worker == w.ID })
		if here || !s.serving(t) {
			unavailable++
		}
	}
	return unavailable <= spec.MaxUnavailable
}

// mayEndWithRuns reports whether a worker may end together with all its runs.
func (s *Scheduler) mayEndWithRuns(w *worker.Worker) bool {
	return !slices.ContainsFunc(w.Runs(), func(r *job.Run) bool { return !s.mayEndWithWorker(w, r) })
}

// serving reports whether a long-running task serves. A run on a worker that does
// not answer is not counted, because it may have ended long ago, nor one that may be about
// to end by an order of an earlier scheduler.
func (s *Scheduler) serving(t *job.Task) bool {
	return slices.ContainsFunc(t.Runs, func(r *job.Run) bool {
		w := s.workers.get(r.Worker)
		return r.Serving() && w != nil && !w.Silent && !s.mayBeStopping(r)
	})
}

// stopReach is the time after the end of a scheduler's term within which its last stop
// reaches a worker: the timeout of an order, with a margin.
const stopReach = 500 * time.Millisecond

// mayBeStopping reports whether an earlier scheduler may have ordered the stop of a run. Its
// worker lists the run until the stop is over.
func (s *Scheduler) mayBeStopping(r *job.Run) bool {
	return r.Adopted && r.ReportedAt.Before(s.election.authority.Since.Add(stopReach+s.options.StopTimeout))
}

// mayStopRun reports whether a run may be stopped by itself. For a long-running one
// this means that, without it, no more than Step.MaxUnavailable tasks of its
// step are unavailable.
func (s *Scheduler) mayStopRun(r *job.Run) bool {
	spec := r.Task.Spec()
	if !spec.LongRunning || spec.MaxUnavailable == 0 || r.Task.Occurrence.Job.Ended() {
		return true
	}
	unavailable := 1
	tasks := r.Task.Occurrence.Tasks(r.Task.Step)
	for i := range tasks {
		if &tasks[i] != r.Task && !s.serving(&tasks[i]) {
			unavailable++
		}
	}
	return unavailable <= spec.MaxUnavailable
}

// evictRuns stops the runs of a draining worker that have to be stopped by now. It
// reports whether the machine may be taken down with the remaining runs.
func (s *Scheduler) evictRuns(wk *worker.Worker, drainingFor time.Duration, now time.Time) bool {
	ready := true
	for _, r := range wk.Runs() {
		spec := r.Task.Spec()
		switch {
		case spec.LongRunning:
			ready = ready && s.evictLongRunning(wk, r, now)
		case drainingFor >= drainGrace:
		case spec.Checkpoints && drainingFor >= checkpointStopDelay:
			if r.StopSentAt.IsZero() && r.Phase == job.RunActive {
				r.EndPlanned = true
				s.stopRun(wk, r, now)
			}
			ready = false
		default:
			ready = false
		}
	}
	if !ready {
		s.requestTick(now.Add(listInterval / 4))
	}
	return ready
}

// evictLongRunning reports whether a long-running run may end with its machine. If
// the machine has more tasks of a step than may be unavailable at a time,
// evictLongRunning stops their runs one by one, so that each task restarts
// elsewhere before the next one is stopped.
func (s *Scheduler) evictLongRunning(wk *worker.Worker, r *job.Run, now time.Time) bool {
	if s.mayEndWithWorker(wk, r) {
		return true
	}
	if r.StopSentAt.IsZero() && r.Phase == job.RunActive && s.mayStopRun(r) {
		r.EndPlanned = true
		s.stopRun(wk, r, now)
	}
	return false
}
