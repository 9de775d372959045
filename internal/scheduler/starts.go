package scheduler

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// start adds a run of a task on a worker. Its start is sent once the store holds
// the placement, so that the next scheduler knows where the task may run.
func (s *Scheduler) start(t *job.Task, w *worker.Worker, number int, now time.Time) {
	j := t.Occurrence.Job
	r := &job.Run{Task: t, Number: number, OrderedAt: now, ProgressAt: now, PacePercent: fullPace, Isolation: t.Isolation()}
	s.addRun(w, r)
	t.RecordPlacement()
	if j.PlacementDurable() {
		s.sendStart(r, w, now)
		return
	}
	r.Phase = job.RunAwaitingPlacement
	s.deferredStarts[j.ID] = append(s.deferredStarts[j.ID], r)
	s.queueProgress(j)
}

// sendDeferredStarts sends the starts of a job that waited for their placement to
// be stored. It drops the starts for which mayStart no longer holds.
func (s *Scheduler) sendDeferredStarts(j *job.Job, now time.Time) {
	deferred := s.deferredStarts[j.ID]
	if len(deferred) == 0 || !j.PlacementDurable() {
		return
	}
	delete(s.deferredStarts, j.ID)
	for _, r := range deferred {
		w := s.workers.get(r.Worker)
		if w == nil || w.Find(worker.KeyOf(r)) != r {
			continue
		}
		if !s.mayStart(r.Task, w, now) {
			s.log("start given up", "job", j.ID, "task", r.Task.Name().String(), "run", r.Number, "worker", w.ID)
			s.removeRun(w, r)
			s.stopRestOfGang(r, now)
			continue
		}
		s.sendStart(r, w, now)
	}
}

// mayStart reports whether the conditions under which placement chose the worker
// still hold.
func (s *Scheduler) mayStart(t *job.Task, w *worker.Worker, now time.Time) bool {
	j := t.Occurrence.Job
	return !j.Ended() && s.authorized(now) && s.copiesFresh(now) && w.Usable(now) && !w.Overcommitted() && !s.dataCentresOut[w.DataCentre] &&
		w.Service == s.serviceOf(j) && s.allowedWorkers(t.Occurrence, t.Step, now)(w)
}

// sendStart sends the start of a run to its worker.
func (s *Scheduler) sendStart(r *job.Run, w *worker.Worker, now time.Time) {
	t, j, number := r.Task, r.Task.Occurrence.Job, r.Number
	r.Phase, r.OrderedAt, r.ProgressAt = job.RunOrdered, now, now
	r.StartDeadline = w.ClockAt(now) + startOrderTTL.Milliseconds()
	w.ExtendExpiry(now, startOrderTTL)
	s.counts.Starts++
	if j.MarkStartSent() {
		s.recordMilestone(j, JobStarted, now)
	}
	s.act(StartTask{
		Target: w.Target(),
		Order: worker.StartOrder{
			Task: t.Name(), Run: number, Payload: j.Spec.Payload, EndsAt: r.StartDeadline,
			Fence: s.fence(), Saved: t.Checkpoint(), Ticket: s.ticket(t, w),
		},
		NotAfter: s.notAfter(),
	})
	s.log("task started", "job", j.ID, "task", t.Name().String(), "run", number, "worker", w.ID,
		"fence", s.fence(), "free_millicores", w.Free().MilliCores, "resumed", t.Checkpoint() != "")
}

// StartOutcome is the result of a start.
type StartOutcome int

// Results of a start.
const (
	StartDone StartOutcome = iota
	// StartNotDone means that the worker has not started the run and will not.
	StartNotDone
	// StartUnknown means that the worker may start the run until the order expires.
	StartUnknown
)

// StartAnswered is the result of StartTask.
type StartAnswered struct {
	Worker  string
	Run     worker.RunKey
	Fence   int64
	Outcome StartOutcome
	// Refusal is the worker's reason if it refused the start.
	Refusal     worker.Refusal
	ClockMillis int64
	// Replaced means that another incarnation answered at the worker's address.
	Replaced bool
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
	s.subject = jobRecord(e.Run.Task.Job)
	switch e.Outcome {
	case StartDone:
		w.RecordClock(e.ClockMillis, now)
		if r.Phase == job.RunOrdered {
			r.Phase, r.ConfirmedAt = job.RunActive, now
		}
		r.Task.Occurrence.Job.MarkStarted()
		s.queueProgress(r.Task.Occurrence.Job)
	case StartUnknown:
		s.log("start without an answer", "job", e.Run.Task.Job, "task", e.Run.Task.String(), "run", e.Run.Number, "worker", w.ID)
		if r.Phase == job.RunOrdered {
			r.Phase = job.RunUncertain
			r.Task.FailedOn = w.ID
			// No other run starts on the worker until it answers a poll.
			w.Answered = false
			s.stopRun(w, r, now)
		}
	case StartNotDone:
		s.handleStartRefusal(w, r, e, now)
	}
}

// handleStartRefusal removes a run that its worker has refused and reacts to
// the reason of the refusal.
func (s *Scheduler) handleStartRefusal(w *worker.Worker, r *job.Run, e StartAnswered, now time.Time) {
	s.counts.Refused++
	s.act(RefusalCounted{e.Refusal})
	s.log("start refused", "job", e.Run.Task.Job, "task", e.Run.Task.String(), "run", e.Run.Number, "worker", w.ID, "reason", e.Refusal)
	if r.Phase != job.RunOrdered {
		return
	}
	s.removeRun(w, r)
	s.stopRestOfGang(r, now)
	r.Task.FailedOn = w.ID
	r.Task.NotBefore = now.Add(taskRetryDelay)
	switch {
	case e.Replaced:
		s.recordCrash(w, w.Runs(), now)
		s.loseRuns(w, "another incarnation answers at its address", now)
		w.Listed = false
		s.listed.delete(w.ID)
	case e.Refusal == worker.RefusedFence:
		s.stepDownFenced("worker "+w.ID, now)
	case e.Refusal == worker.RefusedStaleRun:
		// An earlier scheduler has assigned more numbers than runsPerEpoch.
		r.Task.SkipRunNumbers(runsPerEpoch)
	case e.Refusal == worker.RefusedResources || e.Refusal == worker.RefusedExpired:
		// The recorded state of the worker is wrong: poll it before anything else
		// starts there.
		w.Answered = false
		w.NextPollAt = now
	case e.Refusal == worker.RefusedTicket:
		delete(s.advice.steps, stepName(r.Task.Occurrence, r.Task.Step))
	case e.Refusal == worker.RefusedUnhealthy:
		w.RecordFailure(e.Run.Task.Job, now)
		w.Answered = false
		w.NextPollAt = now
	}
}
