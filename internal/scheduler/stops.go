package scheduler

import (
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// stopRun sends the stop of a run. The worker then also refuses a start of the run
// that arrives later.
func (s *Scheduler) stopRun(w *worker.Worker, r *job.Run, now time.Time) {
	r.StopSentAt = now
	s.requestTick(now.Add(stopRetryDelay))
	s.act(StopRun{Target: w.Target(), Run: worker.RunKey{Task: r.Task.Name(), Number: r.Number}, Fence: s.fence(), NotAfter: s.notAfter()})
}

// StopAnswered is the result of StopRun.
type StopAnswered struct {
	Worker string
	Run    worker.RunKey
	Fence  int64
	// OK means that the worker accepted the stop, Fenced that it has received a
	// request of a newer scheduler.
	OK     bool
	Fenced bool
}

// Apply implements Event.
func (e StopAnswered) Apply(s *Scheduler, now time.Time) {
	w := s.workers.get(e.Worker)
	if !s.leading || w == nil || e.Fence != s.fence() {
		return
	}
	if e.Fenced {
		s.stepDownFenced("worker "+w.ID, now)
		return
	}
	if r := w.Find(e.Run); r != nil && e.OK {
		r.StopConfirmedAt = now
	}
}

// stopGang stops the other tasks of a gang after one of them has lost its run.
func (s *Scheduler) stopGang(t *job.Task, now time.Time) {
	tasks := t.Occurrence.Tasks(t.Step)
	for i := range tasks {
		s.stopTask(&tasks[i], now)
	}
}

// stopTask stops every run of a task. A run whose start was not sent yet is
// removed immediately.
func (s *Scheduler) stopTask(t *job.Task, now time.Time) {
	for _, r := range slices.Clone(t.Runs) {
		w := s.workers.get(r.Worker)
		switch {
		case w == nil:
		case r.Phase == job.RunAwaitingPlacement:
			s.removeRun(w, r)
		case r.StopSentAt.IsZero():
			r.EndPlanned = true
			s.stopRun(w, r, now)
		}
	}
}
