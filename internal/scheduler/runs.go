package scheduler

import (
	"slices"
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

// start begins a run of a task on a worker. Its order is sent once the store
// holds where the task runs.
func (s *Scheduler) start(t *job.Task, w *worker.Worker, number int, now time.Time) {
	j := t.Occurrence.Job
	r := &job.Run{Task: t, Number: number, OrderedAt: now, ProgressAt: now, Pace: 100}
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
		s.note("job completed", "job", j.ID, "queue", j.Terms.Queue, "team", j.Terms.Team, "age_ms", now.UnixMilli()-j.AcceptedAt)
		s.unfinish.delete(j.ID)
		s.forgetAdvice(j)
	}
}

// endJob gives a job its final state and stops what runs of it.
func (s *Scheduler) endJob(j *job.Job, state job.State, now time.Time) {
	if !j.End(state, now.UnixMilli()) {
		return
	}
	s.note("job ended", "job", j.ID, "state", state, "age_ms", now.UnixMilli()-j.AcceptedAt)
	j.EachTask(func(t *job.Task) {
		s.stopTask(t, now)
		s.settle(t)
	})
	s.unfinish.delete(j.ID)
	s.forgetAdvice(j)
	s.markDirty(j)
}

// matchRuns compares a report with the runs that are expected on the worker.
func (s *Scheduler) matchRuns(w *worker.Worker, e WorkerAnswered, now time.Time) {
	seen := make(map[worker.RunKey]bool, len(e.Report.Running))
	leftovers := make(map[worker.RunKey]worker.Leftover)
	for _, report := range e.Report.Running {
		key := worker.RunKey{Task: report.Task, Number: report.Run}
		seen[key] = true
		r := w.Find(key)
		if r == nil {
			r = s.adopt(w, report, now)
		}
		if r != nil {
			s.confirm(r, report, now)
		} else {
			leftovers[key] = s.leftover(w, report.Task)
		}
	}
	s.setLeftovers(w, leftovers)
	if !e.Report.Complete() {
		return
	}
	for _, r := range w.Runs() {
		key := worker.Key(r)
		if !seen[key] && s.vanished(r, e) {
			s.counts.Lost++
			s.note("run not on its worker", "job", key.Task.Job, "task", key.Task.String(), "run", key.Number, "worker", w.ID, "phase", int(r.Phase))
			s.removeRun(w, r)
			s.released(r, now)
		}
	}
}

// leftover returns what a run that has to end occupies: all of the worker when
// its job is not known.
func (s *Scheduler) leftover(w *worker.Worker, name job.TaskName) worker.Leftover {
	j := s.jobs.get(name.Job)
	if j == nil || name.Step >= len(j.Spec.Steps) {
		return worker.Leftover{Room: w.Capacity}
	}
	spec := &j.Spec.Steps[name.Step]
	return worker.Leftover{Team: j.Terms.Team, Need: spec.Need, Room: spec.Room()}
}

// setLeftovers replaces the runs on a worker that have to end, which count for
// their teams until they are gone.
func (s *Scheduler) setLeftovers(w *worker.Worker, list map[worker.RunKey]worker.Leftover) {
	if len(w.Leftovers()) == 0 && len(list) == 0 {
		return
	}
	for _, l := range w.Leftovers() {
		s.charge(l.Team, l.Need, -1)
	}
	for _, l := range list {
		s.charge(l.Team, l.Need, +1)
	}
	w.SetLeftovers(list)
	s.place.dirty = true
}

// vanished reports whether a run that a report lacks has ended or can never
// start.
func (s *Scheduler) vanished(r *job.Run, e WorkerAnswered) bool {
	switch r.Phase {
	case job.RunActive:
		return e.SentAt.After(r.ConfirmedAt)
	case job.RunUncertain:
		barred := !r.StopConfirmed.IsZero() && e.SentAt.After(r.StopConfirmed)
		return barred || e.Report.ClockMillis > r.OrderEnds
	}
	return false
}

// confirm takes over what a worker reports of a run.
func (s *Scheduler) confirm(r *job.Run, report worker.RunReport, now time.Time) {
	if r.Phase != job.RunActive {
		r.Phase, r.ConfirmedAt = job.RunActive, now
		j := r.Task.Occurrence.Job
		if !j.Ended() {
			j.Begin()
			s.markDirty(j)
		}
	}
	if report.Percent != r.Percent {
		r.Percent, r.ProgressAt = report.Percent, now
	}
	r.Measured = report.Measured
}

// adopt takes over a run that a worker lists and this scheduler has not
// ordered. It returns nil when the run has to end.
func (s *Scheduler) adopt(w *worker.Worker, report worker.RunReport, now time.Time) *job.Run {
	j := s.jobs.get(report.Task.Job)
	var t *job.Task
	if j != nil && !j.Ended() {
		t = j.Task(report.Task)
	}
	if t == nil || t.Done() || (len(t.Runs) > 0 && !t.Spec().Speculative) {
		s.note("unexpected run stopped", "task", report.Task.String(), "run", report.Run, "worker", w.ID)
		s.act(StopRun{Target: w.Target(), Run: worker.RunKey{Task: report.Task, Number: report.Run}, Fence: s.fence(), NotAfter: s.notAfter()})
		return nil
	}
	r := &job.Run{Task: t, Number: report.Run, OrderedAt: now, ProgressAt: now, Pace: 100}
	t.LastRun = max(t.LastRun, report.Run)
	s.settle(t)
	s.addRun(w, r)
	s.note("run adopted", "job", j.ID, "task", report.Task.String(), "run", report.Run, "worker", w.ID)
	return r
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
