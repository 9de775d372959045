package scheduler

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// Times of orders.
const (
	// startLife is how long after its sending a worker may carry a start out. A
	// start without an answer blocks its task that long.
	startLife = 1200 * time.Millisecond
	// stopRetry is when a stop that had no effect yet is sent again.
	stopRetry = 700 * time.Millisecond
	// failurePause delays the next run of a task that failed.
	failurePause = 30 * time.Millisecond
	// stallAfter is how long a run may show no progress beyond its estimate before
	// it is moved.
	stallAfter = 1500 * time.Millisecond
)

// addRun notes a run on a worker and in its team's usage.
func (s *Scheduler) addRun(w *worker.Worker, r *job.Run) {
	w.Add(r)
	r.Task.Runs = append(r.Task.Runs, r)
	s.use(r.Task, +1)
}

// removeRun notes that a run is over.
func (s *Scheduler) removeRun(w *worker.Worker, r *job.Run) {
	w.Remove(r)
	r.Task.Drop(r)
	s.use(r.Task, -1)
	s.place.dirty = true
}

// use changes what a task's team has running.
func (s *Scheduler) use(t *job.Task, sign int) {
	s.charge(t.Occurrence.Job.Terms.Team, t.Spec().Need, sign)
}

func (s *Scheduler) charge(team string, need machine.Resources, sign int) {
	switch {
	case team == "":
	case sign > 0:
		s.usage[team] = s.usage[team].Plus(need)
	default:
		s.usage[team] = s.usage[team].Minus(need)
	}
}

// withinCap reports whether a team may have need running besides what it has.
func (s *Scheduler) withinCap(team string, need machine.Resources) bool {
	if team == "" || s.config == nil {
		return true
	}
	t, ok := s.config.Team(team)
	if !ok {
		return true
	}
	sum := s.usage[team].Plus(need)
	within := func(used, limit int64) bool { return limit == 0 || used <= limit }
	return within(sum.MilliCores, t.Cap.MilliCores) && within(sum.MemoryMB, t.Cap.MemoryMB) &&
		within(sum.Accelerators, t.Cap.Accelerators)
}

// loseRuns takes all runs off a worker on which nothing runs any more.
func (s *Scheduler) loseRuns(w *worker.Worker, reason string, now time.Time) {
	s.setLeftovers(w, nil)
	for _, r := range w.Runs() {
		key := worker.Key(r)
		s.counts.Lost++
		s.note("run lost", "job", key.Task.Job, "task", key.Task.String(), "run", key.Number, "worker", w.ID, "reason", reason)
		s.removeRun(w, r)
		s.released(r, now)
	}
}

// released prepares a task for its next run. A gang loses all its runs
// together.
func (s *Scheduler) released(r *job.Run, now time.Time) {
	if r.Task.Spec().Gang {
		s.stopGang(r.Task, now)
	}
}

// applyEnd applies one end that a worker lists.
func (s *Scheduler) applyEnd(w *worker.Worker, end worker.EndReport, now time.Time) {
	if !w.ApplyEnd(end.Number) {
		return
	}
	s.counts.Ends++
	key := worker.RunKey{Task: end.Task, Number: end.Run}
	if r := w.Find(key); r != nil {
		s.removeRun(w, r)
		s.released(r, now)
	}
	j := s.jobs.get(end.Task.Job)
	if j == nil || j.Ended() {
		// A final state that is not stored yet still needs its ends.
		w.AwaitDurable(end.Number, j)
		return
	}
	s.note("task ended", "job", j.ID, "task", end.Task.String(), "run", end.Run, "worker", w.ID, "how", end.Reason)
	if t := j.Task(end.Task); t != nil && !t.Done() {
		s.endOfRun(w, j, t, end, now)
	}
	s.markDirty(j)
	w.AwaitDurable(end.Number, j)
}

func (s *Scheduler) endOfRun(w *worker.Worker, j *job.Job, t *job.Task, end worker.EndReport, now time.Time) {
	t.LastRun = max(t.LastRun, end.Run)
	t.Save(end.Saved)
	switch end.Reason {
	case worker.EndDone:
		w.Succeeded()
		if !t.Spec().Lasting {
			s.taskDone(j, t, now)
		}
	case worker.EndFailed:
		s.counts.Failed++
		t.FailedOn = w.ID
		t.NotBefore = now.Add(failurePause)
		if w.FailedTask(j.ID, now) {
			s.note("worker set aside", "worker", w.ID, "service", w.Service)
		}
		j.Begin()
		if t.Fail(end.Run) {
			s.note("job failed", "job", j.ID, "task", end.Task.String(), "failures", t.Failures(), "attempts", j.Terms.Attempts)
			s.endJob(j, job.Failed, now)
		}
	default:
		t.Touch()
	}
}

func (s *Scheduler) taskDone(j *job.Job, t *job.Task, now time.Time) {
	j.Begin()
	t.Finish()
	s.settle(t)
	s.stopTask(t, now)
	if j.Complete(now.UnixMilli()) {
		s.measure(j, JobPoint(job.Completed), now)
		s.note("job completed", "job", j.ID, "queue", j.Terms.Queue, "team", j.Terms.Team, "age_ms", now.UnixMilli()-j.AcceptedAt)
		s.unfinish.delete(j.ID)
		s.forgetAdvice(j)
	}
}

// measure reports when a job reached a point. Timed and lasting jobs have no
// time of their own.
func (s *Scheduler) measure(j *job.Job, point JobPoint, now time.Time) {
	if j.Spec.Times == 0 && !j.Lasting() {
		s.act(JobMeasured{Queue: j.Terms.Queue, Point: point, Took: now.Sub(time.UnixMilli(j.AcceptedAt))})
	}
}

// endJob gives a job its final state and stops what runs of it.
func (s *Scheduler) endJob(j *job.Job, state job.State, now time.Time) {
	if !j.End(state, now.UnixMilli()) {
		return
	}
	s.measure(j, JobPoint(state), now)
	s.note("job ended", "job", j.ID, "state", state, "age_ms", now.UnixMilli()-j.AcceptedAt)
	j.EachTask(func(t *job.Task) {
		s.stopTask(t, now)
		s.settle(t)
	})
	s.unfinish.delete(j.ID)
	s.forgetAdvice(j)
	s.markDirty(j)
}

// stepRuns repeats stops, empties workers that drain and moves stalled runs.
func (s *Scheduler) stepRuns(now time.Time) {
	for _, w := range s.workers.all() {
		for _, r := range w.Runs() {
			s.watchRun(w, r, now)
		}
	}
}

// drainAll is when everything on a worker that drains is stopped. Lasting tasks
// move at once; others may finish until then. A worker stays for two seconds at
// least.
const drainAll = 1200 * time.Millisecond

func (s *Scheduler) watchRun(w *worker.Worker, r *job.Run, now time.Time) {
	if !r.StopSent.IsZero() {
		if at := r.StopSent.Add(stopRetry); now.Before(at) {
			s.wake(at)
		} else if !w.Silent && s.authorized(now) {
			s.stopRun(w, r, now)
		}
		return
	}
	if !s.authorized(now) || r.Phase != job.RunActive {
		return
	}
	if w.Draining {
		at := w.DrainSeenAt.Add(drainAll)
		if r.Task.Spec().Lasting || !now.Before(at) {
			r.Planned = true
			s.stopRun(w, r, now)
			return
		}
		s.wake(at)
	}
	s.watchStall(w, r, now)
}

// watchStall moves a run that shows no progress.
func (s *Scheduler) watchStall(w *worker.Worker, r *job.Run, now time.Time) {
	spec := r.Task.Spec()
	if spec.Gang || w.Silent || r.Percent >= 100 || r.Pace < 100 {
		return
	}
	patience := stallAfter
	if !spec.Lasting {
		patience += spec.Estimate / 2
	}
	at := r.ProgressAt.Add(patience)
	if now.Before(at) {
		s.wake(at)
		return
	}
	s.note("run stalled", "job", r.Task.Occurrence.Job.ID, "task", r.Task.Name().String(), "run", r.Number, "worker", w.ID, "percent", r.Percent)
	r.Task.FailedOn = w.ID
	if w.FailedTask(r.Task.Occurrence.Job.ID, now) {
		s.note("worker set aside", "worker", w.ID, "service", w.Service)
	}
	s.stopRun(w, r, now)
}
