package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
)

// leadJob begins to schedule a job.
func (s *Scheduler) leadJob(j *job.Job) {
	j.Lead()
	if j.Ended() {
		return
	}
	if j.CancelAsked {
		j.End(job.Cancelled, s.election.authority.Since.UnixMilli())
		s.markDirty(j)
		return
	}
	s.unfinish.set(j.ID, j)
	s.openDue(j, s.election.authority.Since)
}

// openDue opens the occurrences that are due. A task may run on a worker on which
// an earlier scheduler has placed it, until that worker has answered.
func (s *Scheduler) openDue(j *job.Job, now time.Time) {
	for _, o := range j.OpenDue(now.UnixMilli()) {
		s.place.dirty = true
		for step := range o.Steps() {
			tasks := o.Tasks(step)
			for i := range tasks {
				if t := &tasks[i]; !t.Done() && len(t.Placed()) > 0 {
					t.Unsettled = true
					s.use(t, +1)
					s.unsettled++
					s.awaited = nil
				}
			}
		}
	}
}

// settle notes that no unknown run of a task can be alive.
func (s *Scheduler) settle(t *job.Task) {
	if !t.Unsettled {
		return
	}
	t.Unsettled = false
	s.use(t, -1)
	s.unsettled--
	s.place.dirty = true
}

// stepUnsettled frees the tasks whose recorded workers have all answered this
// scheduler or run nothing any more.
func (s *Scheduler) stepUnsettled(now time.Time) {
	if s.unsettled == 0 {
		return
	}
	waiting := make(map[string]bool)
	for _, w := range s.workers.all() {
		if w.Recorded && !w.Heard && !w.Expired(now) {
			waiting[w.ID] = true
			s.wake(w.ExpiresAt().Add(time.Millisecond))
		}
	}
	if s.awaited != nil && maps.Equal(waiting, s.awaited) {
		return
	}
	s.awaited = waiting
	for _, j := range s.unfinish.all() {
		j.EachTask(func(t *job.Task) {
			if t.Unsettled && !slices.ContainsFunc(t.Placed(), func(id string) bool { return waiting[id] }) {
				s.settle(t)
			}
		})
	}
}

// stepJobs opens occurrences whose time has come.
func (s *Scheduler) stepJobs(now time.Time) {
	for _, j := range s.unfinish.all() {
		if j.Spec.Times == 0 {
			continue
		}
		due, more := j.NextDue()
		if !more {
			continue
		}
		at := time.UnixMilli(due)
		if now.Before(at) {
			s.wake(at)
			continue
		}
		s.openDue(j, now)
	}
}
