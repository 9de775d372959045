package scheduler

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// start begins a run of a task on a worker. Its order is sent once the store
// holds where the task runs.
func (s *Scheduler) start(t *job.Task, w *worker.Worker, number int, now time.Time) {
	j := t.Occurrence.Job
	r := &job.Run{Task: t, Number: number, OrderedAt: now, ProgressAt: now, Pace: paceFull}
	s.addRun(w, r)
	t.Place()
	if j.PlacedDurably() {
		s.sendStart(r, w, now)
		return
	}
	r.Phase = job.RunHeld
	s.held[j.ID] = append(s.held[j.ID], r)
	j.Begin()
	s.markDirty(j)
}

// releaseStarts sends the starts of a job that waited for the store. Those whose
// worker may get nothing new any more are given up.
func (s *Scheduler) releaseStarts(j *job.Job, now time.Time) {
	held := s.held[j.ID]
	if len(held) == 0 || !j.PlacedDurably() {
		return
	}
	delete(s.held, j.ID)
	for _, r := range held {
		w := s.workers.get(r.Worker)
		if w == nil || w.Find(worker.Key(r)) != r {
			continue
		}
		if !s.mayStart(r.Task, w, now) {
			s.note("start given up", "job", j.ID, "task", r.Task.Name().String(), "run", r.Number, "worker", w.ID)
			s.removeRun(w, r)
			s.released(r, now)
			continue
		}
		s.sendStart(r, w, now)
	}
}

// mayStart reports whether what placement requires of a worker still holds.
func (s *Scheduler) mayStart(t *job.Task, w *worker.Worker, now time.Time) bool {
	j := t.Occurrence.Job
	return !j.Ended() && s.authorized(now) && s.copiesFresh(now) && w.Usable(now) && !s.out[w.Zone] &&
		w.Service == s.serviceOf(j) && s.allowedBy(t.Occurrence, t.Step, now)(w)
}

// sendStart orders a run on its worker.
func (s *Scheduler) sendStart(r *job.Run, w *worker.Worker, now time.Time) {
	t, j, number := r.Task, r.Task.Occurrence.Job, r.Number
	r.Phase, r.OrderedAt, r.ProgressAt = job.RunOrdered, now, now
	r.OrderEnds = w.ClockAt(now) + startLife.Milliseconds()
	w.Ordered(now, startLife)
	s.counts.Starts++
	if j.FirstStart() {
		s.measure(j, JobStarted, now)
	}
	s.act(StartTask{
		Target: w.Target(),
		Order: worker.StartOrder{
			Task: t.Name(), Run: number, Payload: j.Spec.Payload, EndsAt: r.OrderEnds,
			Fence: s.fence(), Saved: t.Saved(), Ticket: s.ticket(t, w),
		},
		NotAfter: s.notAfter(),
	})
	s.note("task started", "job", j.ID, "task", t.Name().String(), "run", number, "worker", w.ID,
		"fence", s.fence(), "free_millicores", w.Free().MilliCores, "resumed", t.Saved() != "")
}

// StartOutcome is the result of a start.
type StartOutcome int

// Results of a start.
const (
	StartDone StartOutcome = iota
	// StartNotDone means that the worker certainly did nothing.
	StartNotDone
	// StartUnknown means that the worker may carry it out until the order ends.
	StartUnknown
)

// StartAnswered is the answer to StartTask.
type StartAnswered struct {
	Worker  string
	Run     worker.RunKey
	Fence   int64
	Outcome StartOutcome
	// Refusal is set when the worker refused.
	Refusal     worker.Refusal
	ClockMillis int64
	// Gone means that another incarnation answered.
	Gone bool
}

// Apply implements Event.
func (e StartAnswered) Apply(s *Scheduler, now time.Time) {
	w := s.workers.get(e.Worker)
	if !s.leading || w == nil || e.Fence != s.fence() {
		return
	}
	r := w.Find(e.Run)
	if r == nil {
		return
	}
	switch e.Outcome {
	case StartDone:
		w.ReadClock(e.ClockMillis, now)
		if r.Phase == job.RunOrdered {
			r.Phase, r.ConfirmedAt = job.RunActive, now
		}
		r.Task.Occurrence.Job.Begin()
		s.markDirty(r.Task.Occurrence.Job)
	case StartUnknown:
		s.note("start without an answer", "job", e.Run.Task.Job, "task", e.Run.Task.String(), "run", e.Run.Number, "worker", w.ID)
		if r.Phase == job.RunOrdered {
			r.Phase = job.RunUncertain
			r.Task.FailedOn = w.ID
			// Nothing more starts there until a question is answered.
			w.Heard = false
			s.stopRun(w, r, now)
		}
	case StartNotDone:
		s.startRefused(w, r, e, now)
	}
}

func (s *Scheduler) startRefused(w *worker.Worker, r *job.Run, e StartAnswered, now time.Time) {
	s.counts.Refused++
	s.act(RefusalCounted{e.Refusal})
	s.note("start refused", "job", e.Run.Task.Job, "task", e.Run.Task.String(), "run", e.Run.Number, "worker", w.ID, "reason", e.Refusal)
	if r.Phase != job.RunOrdered {
		return
	}
	s.removeRun(w, r)
	r.Task.FailedOn = w.ID
	r.Task.NotBefore = now.Add(failurePause)
	switch {
	case e.Gone:
		s.loseRuns(w, "another incarnation answers", now)
		w.Listed = false
		s.listed.delete(w.ID)
	case e.Refusal == worker.RefusedFence:
		s.fenced("worker "+w.ID, now)
	case e.Refusal == worker.RefusedRoom || e.Refusal == worker.RefusedLate:
		// The view of the worker is wrong: ask it before anything else starts there.
		w.Heard = false
		w.NextAsk = now
	case e.Refusal == worker.RefusedTicket:
		delete(s.advice.steps, stepName(r.Task.Occurrence, r.Task.Step))
	case e.Refusal == worker.RefusedUnhealthy:
		w.FailedTask(e.Run.Task.Job, now)
		w.Heard = false
		w.NextAsk = now
	}
}
