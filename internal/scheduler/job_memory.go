package scheduler

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/admission"
)

// jobMemoryInterval is the time between two sums of the memory of jobs. The sum takes a few
// milliseconds with 50,000 jobs.
const jobMemoryInterval = 250 * time.Millisecond

// jobMemoryState is what decides about further jobs by memory.
type jobMemoryState struct {
	current *admission.JobMemory
	sumAt   time.Time
}

// JobMemory returns the memory of the known jobs, at most about jobMemoryInterval old.
func (s *Scheduler) JobMemory() *admission.JobMemory { return s.jobMemory.current }

// stepJobMemory sums the memory of the known jobs. Every node does, because each admits
// jobs by its own copy.
func (s *Scheduler) stepJobMemory(now time.Time) {
	m := &s.jobMemory
	if s.options.JobMemory <= 0 || now.Before(m.sumAt) {
		return
	}
	m.sumAt = now.Add(jobMemoryInterval)
	m.current = admission.NewJobMemory(s.options.JobMemory)
	for _, j := range s.jobs.all() {
		m.current.Add(j.Terms.Team, admission.Footprint(&j.Spec, j.State().Final()))
	}
	m.current.Add(admission.Cancellations, admission.CancellationBytes*int64(len(s.earlyCancels)))
	s.counts.JobBytes = m.current.Used()
}
