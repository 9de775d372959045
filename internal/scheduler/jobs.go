package scheduler

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
)

// leadJob begins to schedule a job. Tasks of jobs that were stored before this
// scheduler took the role may run on a worker that has not answered yet.
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
	s.openDue(j, s.election.authority.Since, j.Revision < s.fence())
}

// openDue opens the occurrences that are due.
func (s *Scheduler) openDue(j *job.Job, now time.Time, inherited bool) {
	for _, o := range j.OpenDue(now.UnixMilli()) {
		s.place.dirty = true
		if !inherited {
			continue
		}
		// Later steps too: the last scheduler may have seen ends that it did not
		// store and have started what waited for them.
		for step := range o.Steps() {
			s.markUnsettled(o, step)
		}
	}
}

func (s *Scheduler) markUnsettled(o *job.Occurrence, step int) {
	tasks := o.Tasks(step)
	for i := range tasks {
		t := &tasks[i]
		if t.Done() {
			continue
		}
		t.Unsettled = true
		s.use(t, +1)
		s.unsettled++
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

// stepUnsettled frees the tasks of a service once each of its recorded workers has
// answered this scheduler or everything on it has ended.
func (s *Scheduler) stepUnsettled(now time.Time) {
	if s.unsettled == 0 {
		return
	}
	waiting := make(map[string]bool)
	for _, w := range s.workers.all() {
		if w.Recorded && !w.Heard && !w.Expired(now) {
			waiting[w.Service] = true
			s.wake(w.ExpiresAt().Add(time.Millisecond))
		}
	}
	for _, j := range s.unfinish.all() {
		if waiting[j.Terms.Service] {
			continue
		}
		j.EachTask(s.settle)
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
		s.openDue(j, now, false)
	}
}
