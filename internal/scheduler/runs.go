package scheduler

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// Timeouts and delays of task orders.
const (
	// startOrderTTL is the time after which a worker refuses a start. If a start is
	// not answered, its task is blocked for the same time.
	startOrderTTL = 1200 * time.Millisecond
	// stopRetryDelay is the time after which a stop is sent again if the run has not
	// ended.
	stopRetryDelay = 700 * time.Millisecond
	// taskRetryDelay delays the next run of a task after a failed or refused one.
	taskRetryDelay = 30 * time.Millisecond
	// stallTimeout is the time without progress after which a run is moved. For a
	// task that is not long-running, half of its estimate is added, and the sum is
	// doubled for each run that was moved: the estimate may be far too small, and
	// progress is reported in whole percent.
	stallTimeout = 1500 * time.Millisecond
	// maxStallDoublings bounds the time for which a task can stand still.
	maxStallDoublings = 6
)

// addRun adds a run to its worker, its task and its team's usage.
func (s *Scheduler) addRun(w *worker.Worker, r *job.Run) {
	w.Add(r)
	r.Task.Runs = append(r.Task.Runs, r)
	s.chargeTask(r.Task, +1)
}

// removeRun removes a run that has ended from its worker, its task and its team's
// usage.
func (s *Scheduler) removeRun(w *worker.Worker, r *job.Run) {
	w.Remove(r)
	r.Task.RemoveRun(r)
	s.chargeTask(r.Task, -1)
	s.place.roundNeeded = true
}

// chargeTask adds a task's resources to its team's usage (sign +1) or subtracts
// them (sign -1).
func (s *Scheduler) chargeTask(t *job.Task, sign int) {
	s.chargeTeam(t.Occurrence.Job.Terms.Team, t.Spec().Need, sign)
}

// chargeTeam adds resources to a team's usage (sign +1) or subtracts them (sign -1).
// It ignores the empty team.
func (s *Scheduler) chargeTeam(team string, need machine.Resources, sign int) {
	switch {
	case team == "":
	case sign > 0:
		s.usage[team] = s.usage[team].Plus(need)
	default:
		s.usage[team] = s.usage[team].Minus(need)
	}
}

// withinTeamLimit reports whether a team's usage with need added is within its
// limit.
func (s *Scheduler) withinTeamLimit(team string, need machine.Resources) bool {
	if team == "" || s.config == nil {
		return true
	}
	t, ok := s.config.Team(team)
	if !ok {
		return true
	}
	sum := s.usage[team].Plus(need)
	within := func(used, limit int64) bool { return limit == 0 || used <= limit }
	return within(sum.MilliCores, t.UpperLimit.MilliCores) && within(sum.MemoryMB, t.UpperLimit.MemoryMB) &&
		within(sum.Accelerators, t.UpperLimit.Accelerators)
}

// loseRuns removes all runs from a worker on which nothing can be running any
// longer.
func (s *Scheduler) loseRuns(w *worker.Worker, reason string, now time.Time) {
	s.setOrphanedRuns(w, nil)
	if len(w.Runs()) > 0 {
		s.silences.dropped[w.ID] = true
	}
	for _, r := range w.Runs() {
		key := worker.KeyOf(r)
		s.counts.Lost++
		s.log("run lost", "job", key.Task.Job, "task", key.Task.String(), "run", key.Number, "worker", w.ID, "reason", reason)
		s.removeRun(w, r)
		s.stopRestOfGang(r, now)
	}
}

// stopRestOfGang stops the other tasks of a gang after one of its runs has
// ended. It does nothing for a task that is not in a gang.
func (s *Scheduler) stopRestOfGang(r *job.Run, now time.Time) {
	if r.Task.Spec().Gang {
		s.stopGang(r.Task, now)
	}
}

// applyEnd applies the end of a run that a worker reports. An end that was applied
// before is ignored. It returns false if the end must be applied later: the task's
// occurrence is not due yet by this node's clock, which is behind that of the scheduler
// that has started the run.
func (s *Scheduler) applyEnd(w *worker.Worker, end worker.EndReport, now time.Time) bool {
	if j := s.jobs.get(end.Task.Job); j != nil && !j.Ended() && j.NotOpenedYet(end.Task) {
		return false
	}
	if !w.ApplyEnd(end.Number) {
		return true
	}
	s.counts.Ends++
	s.subject = jobRecord(end.Task.Job)
	key := worker.RunKey{Task: end.Task, Number: end.Run}
	if r := w.Find(key); r != nil {
		s.removeRun(w, r)
		s.stopRestOfGang(r, now)
	}
	j := s.jobs.get(end.Task.Job)
	if j == nil || j.Ended() {
		// The worker must keep the end until the job's final state is stored.
		w.AwaitDurable(end.Number, j)
		return true
	}
	s.log("task ended", "job", j.ID, "task", end.Task.String(), "run", end.Run, "worker", w.ID, "how", end.Reason)
	if t := j.Task(end.Task); t != nil && !t.Done() {
		s.applyEndReason(w, j, t, end, now)
	}
	s.queueProgress(j)
	w.AwaitDurable(end.Number, j)
	return true
}

// applyEndReason updates an open task from the end of one of its runs.
func (s *Scheduler) applyEndReason(w *worker.Worker, j *job.Job, t *job.Task, end worker.EndReport, now time.Time) {
	t.LastRun = max(t.LastRun, end.Run)
	j.MarkStarted()
	t.SaveCheckpoint(end.Saved)
	switch end.Reason {
	case worker.EndDone:
		w.RecordSuccess()
		if !t.Spec().LongRunning {
			s.finishTask(j, t, now)
		}
	case worker.EndFailed:
		s.counts.Failed++
		t.FailedOn = w.ID
		t.NotBefore = now.Add(taskRetryDelay)
		if w.RecordFailure(j.ID, now) {
			s.log("worker set aside", "worker", w.ID, "service", w.Service)
		}
		if t.RecordFailure(end.Run) {
			s.log("job failed", "job", j.ID, "task", end.Task.String(), "failures", t.Failures(), "attempts", j.Terms.Attempts)
			s.endJob(j, job.Failed, now)
		}
	default:
		t.MarkChanged()
	}
}

// finishTask finishes a task, stops its other runs and completes its job if it
// was the last task.
func (s *Scheduler) finishTask(j *job.Job, t *job.Task, now time.Time) {
	t.MarkDone()
	s.markReconciled(t)
	s.stopTask(t, now)
	if j.Complete(now.UnixMilli()) {
		s.recordMilestone(j, JobMilestone(job.Completed), now)
		s.log("job completed", "job", j.ID, "queue", j.Terms.Queue, "team", j.Terms.Team, "age_ms", now.UnixMilli()-j.AcceptedAt)
		s.unfinished.delete(j.ID)
		s.dropAdvice(j)
	}
}

// recordMilestone reports to the metrics how long after its acceptance a job
// reached a milestone. Timed and long-running jobs have no completion time to
// measure and are not reported.
func (s *Scheduler) recordMilestone(j *job.Job, milestone JobMilestone, now time.Time) {
	if j.Spec.Times == 0 && !j.LongRunning() {
		s.act(JobMeasured{Queue: j.Terms.Queue, Milestone: milestone, Elapsed: now.Sub(time.UnixMilli(j.AcceptedAt))})
	}
}

// endJob sets the final state of a job and stops its runs.
func (s *Scheduler) endJob(j *job.Job, state job.State, now time.Time) {
	if !j.End(state, now.UnixMilli()) {
		return
	}
	s.recordMilestone(j, JobMilestone(state), now)
	s.log("job ended", "job", j.ID, "state", state, "age_ms", now.UnixMilli()-j.AcceptedAt)
	j.EachTask(func(t *job.Task) {
		s.stopTask(t, now)
		if t.Unreconciled {
			s.countEndedRuns(t.Name(), t.PlacedWorkers())
		}
		s.markReconciled(t)
	})
	s.unfinished.delete(j.ID)
	s.dropAdvice(j)
	s.queueProgress(j)
}

// stepRuns repeats stops that had no effect yet, stops runs on draining workers and
// moves stalled runs.
func (s *Scheduler) stepRuns(now time.Time) {
	for w := range s.knownWorkers() {
		for _, r := range w.Runs() {
			s.subject = jobRecord(r.Task.Occurrence.Job.ID)
			s.checkRun(w, r, now)
		}
	}
}

// workerDrainTimeout is the time after which every run on a draining worker is
// stopped. Long-running tasks are stopped immediately; other tasks may finish
// within this time. A draining worker keeps running for at least two seconds.
const workerDrainTimeout = 1200 * time.Millisecond

// checkRun carries out stepRuns for one run.
func (s *Scheduler) checkRun(w *worker.Worker, r *job.Run, now time.Time) {
	if !r.StopSentAt.IsZero() {
		if at := r.StopSentAt.Add(stopRetryDelay); now.Before(at) {
			s.requestTick(at)
		} else if !w.Silent && s.authorized(now) {
			s.stopRun(w, r, now)
		}
		return
	}
	if !s.authorized(now) || r.Phase != job.RunActive {
		return
	}
	if w.Draining {
		at := w.DrainSeenAt.Add(workerDrainTimeout)
		if r.Task.Spec().LongRunning || !now.Before(at) {
			r.EndPlanned = true
			s.stopRun(w, r, now)
			return
		}
		s.requestTick(at)
	}
	s.checkStall(w, r, now)
}

// checkStall stops a run that makes no progress according to its worker's reports, so
// that its task is placed on another worker. The time without a report does not count:
// a scheduler that polls late must not stop runs for it.
func (s *Scheduler) checkStall(w *worker.Worker, r *job.Run, now time.Time) {
	spec := r.Task.Spec()
	if spec.Gang || w.Silent || r.ProgressPercent >= 100 || r.PacePercent < 100 {
		return
	}
	timeout := stallTimeout
	if !spec.LongRunning {
		timeout = (timeout + spec.Estimate/2) << min(r.Task.Stalls, maxStallDoublings)
	}
	if r.ReportedAt.Sub(r.ProgressAt) < timeout {
		return
	}
	r.Task.Stalls++
	s.log("run stalled", "job", r.Task.Occurrence.Job.ID, "task", r.Task.Name().String(), "run", r.Number, "worker", w.ID, "percent", r.ProgressPercent)
	r.Task.FailedOn = w.ID
	if w.RecordFailure(r.Task.Occurrence.Job.ID, now) {
		s.log("worker set aside", "worker", w.ID, "service", w.Service)
	}
	s.stopRun(w, r, now)
}
