package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
)

// trackJob adds a job to those that the active scheduler runs. It rebuilds the
// job's tasks from the stored progress and carries out a stored cancellation. A
// quarantined job is not run.
func (s *Scheduler) trackJob(j *job.Job) {
	if s.quarantine.contains(jobRecord(j.ID)) {
		return
	}
	j.StartLeading()
	if j.StoredRevision == 0 && j.StoredTaskStarted() {
		// Callers' requests are answered from the present key only.
		j.MarkUnstored()
		s.queueProgress(j)
	}
	if j.Ended() {
		return
	}
	if j.CancelAsked {
		j.End(job.Cancelled, s.election.authority.Since.UnixMilli())
		s.queueProgress(j)
		return
	}
	s.unfinished.set(j.ID, j)
	s.openDue(j, s.election.authority.Since)
}

// openDue opens the occurrences of a job that are due. A task that an earlier scheduler
// has placed stays unreconciled until the workers on which it was placed have
// reported, because it may be running there.
func (s *Scheduler) openDue(j *job.Job, now time.Time) {
	for _, o := range j.OpenDue(now.UnixMilli()) {
		s.place.roundNeeded = true
		for step := range o.Steps() {
			tasks := o.Tasks(step)
			for i := range tasks {
				if t := &tasks[i]; !t.Done() && len(t.PlacedWorkers()) > 0 {
					t.Unreconciled = true
					s.chargeTask(t, +1)
					s.unreconciled++
					s.awaitedWorkers = nil
				}
			}
		}
	}
}

// markReconciled records that a task can no longer have an unknown run of an
// earlier scheduler, so that the task may be placed again.
func (s *Scheduler) markReconciled(t *job.Task) {
	if !t.Unreconciled {
		return
	}
	t.Unreconciled = false
	s.chargeTask(t, -1)
	s.unreconciled--
	s.place.roundNeeded = true
}

// stepUnreconciled marks each task as reconciled once every worker on which it
// was placed has reported all its runs and ends to this scheduler or can no longer run
// anything.
func (s *Scheduler) stepUnreconciled(now time.Time) {
	if s.unreconciled == 0 {
		return
	}
	awaited := make(map[string]bool)
	for _, w := range s.workers.all() {
		switch {
		case w.EndsOutstanding && !(w.Silent && w.Expired(now)):
			awaited[w.ID] = true
		case w.Recorded && !w.Answered && !w.Expired(now):
			awaited[w.ID] = true
			s.requestTick(w.ExpiresAt().Add(time.Millisecond))
		}
	}
	if s.awaitedWorkers != nil && maps.Equal(awaited, s.awaitedWorkers) {
		return
	}
	s.awaitedWorkers = awaited
	for j := range s.unfinishedJobs() {
		j.EachTask(func(t *job.Task) {
			if t.Unreconciled && !slices.ContainsFunc(t.PlacedWorkers(), func(id string) bool { return awaited[id] }) {
				s.markReconciled(t)
			}
		})
	}
}

// stepJobs opens the due occurrences of timed jobs.
func (s *Scheduler) stepJobs(now time.Time) {
	for j := range s.unfinishedJobs() {
		if j.Spec.Times == 0 {
			continue
		}
		due, more := j.NextDue()
		if !more {
			continue
		}
		at := time.UnixMilli(due)
		if now.Before(at) {
			s.requestTick(at)
			continue
		}
		s.openDue(j, now)
	}
}
