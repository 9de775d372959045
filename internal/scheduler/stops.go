package scheduler

import (
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// stopRun orders the end of a run. It also bars a start that is still on its way.
func (s *Scheduler) stopRun(w *worker.Worker, r *job.Run, now time.Time) {
	r.StopSent = now
	s.wake(now.Add(stopRetry))
	s.act(StopRun{Target: w.Target(), Run: worker.RunKey{Task: r.Task.Name(), Number: r.Number}, Fence: s.fence(), NotAfter: s.notAfter()})
}

// StopAnswered is the answer to StopRun.
type StopAnswered struct {
	Worker string
	Run    worker.RunKey
	Fence  int64
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
		s.fenced("worker "+w.ID, now)
		return
	}
	if r := w.Find(e.Run); r != nil && e.OK {
		r.StopConfirmed = now
	}
}

// stopGang stops the other members of a gang of which one has ended.
func (s *Scheduler) stopGang(t *job.Task, now time.Time) {
	tasks := t.Occurrence.Tasks(t.Step)
	for i := range tasks {
		s.stopTask(&tasks[i], now)
	}
}

// stopTask orders the end of every run of a task.
func (s *Scheduler) stopTask(t *job.Task, now time.Time) {
	for _, r := range slices.Clone(t.Runs) {
		w := s.workers.get(r.Worker)
		switch {
		case w == nil:
		case r.Phase == job.RunHeld:
			s.removeRun(w, r)
		case r.StopSent.IsZero():
			r.Planned = true
			s.stopRun(w, r, now)
		}
	}
}
