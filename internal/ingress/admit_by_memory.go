package ingress

import (
	"sync"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/admission"
	"github.com/crocusjunction/crocusjunction/internal/contract/job"
)

const (
	// recentWindow is longer than a job takes until it is in the sum of the memory of jobs:
	// the write, the watch of the store and the interval of the sum. Jobs of one to two
	// windows are counted, at first twice.
	recentWindow = 500 * time.Millisecond
	// memoryRetryAfter is the time in which running jobs make room for others.
	memoryRetryAfter = 5 * time.Second
)

// recentJobs are the jobs that this node has admitted in the last one to two windows. It is
// safe for concurrent use.
type recentJobs struct {
	mu                sync.Mutex
	present, previous *admission.JobMemory
	since             time.Time
}

// admit adds a job of a team unless the memory of all jobs has no room for it.
func (r *recentJobs) admit(m *admission.JobMemory, team string, bytes int64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if age := now.Sub(r.since); r.present == nil || age >= recentWindow {
		r.previous, r.present, r.since = r.present, admission.NewJobMemory(0), now
		if r.previous == nil || age >= 2*recentWindow {
			r.previous = admission.NewJobMemory(0)
		}
	}
	if !m.Admits(team, bytes, r.present.Plus(r.previous, team)) {
		return false
	}
	r.present.Add(team, bytes)
	return true
}

// refuseByMemory decides whether a job is refused because the jobs that all nodes keep take
// too much memory, and sets the answer then. Without the proof that the job is not stored,
// the answer is that it is unsettled: storing it could end all nodes. Held is true if the
// store holds the job.
func (s *Service) refuseByMemory(a *matched, j *job.Job, now, until time.Time) (refused, held bool) {
	if s.recentJobs.admit(a.memory, a.team, admission.Footprint(&j.Spec, false), now) {
		return false, false
	}
	proven, held := s.mayRefuse(j.ID, now, until)
	switch {
	case held:
		return false, true
	case proven:
		a.answer.Code, a.answer.RetryAfter = NotRun, memoryRetryAfter
		a.answer.Reason = "the unfinished jobs of the team take too much memory; the job was not run"
	default:
		a.answer.Code = Unsettled
		a.answer.Reason = "the unfinished jobs of the team take too much memory, and the store has not shown whether it holds the job"
	}
	return true, false
}
