package job

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// minEstimate stands in for a missing estimate.
const minEstimate = 100 * time.Millisecond

// estimate returns the expected run time of a step's task.
func (s *Step) estimate() time.Duration { return max(s.Estimate, minEstimate) }

// chain returns, for each step, the longest chain of work from its start to the
// end of the job.
func (j *Job) chain() []time.Duration {
	if j.chains != nil {
		return j.chains
	}
	j.chains = make([]time.Duration, len(j.Spec.Steps))
	for i := len(j.Spec.Steps) - 1; i >= 0; i-- {
		j.chains[i] += j.Spec.Steps[i].estimate()
		for _, earlier := range j.Spec.Steps[i].After {
			j.chains[earlier] = max(j.chains[earlier], j.chains[i])
		}
	}
	return j.chains
}

// CompletionObjective is the time from acceptance in which the job should
// complete.
func (j *Job) CompletionObjective() time.Duration {
	var longest time.Duration
	for _, c := range j.chain() {
		longest = max(longest, c)
	}
	return time.Duration(float64(longest)*max(1, j.Terms.Stretch)) + j.Terms.Objective
}

// RemainingChain is the longest chain of work that has not been done at now.
func (j *Job) RemainingChain(now time.Time) time.Duration {
	var longest time.Duration
	for _, o := range j.occurrences {
		for step := range o.steps {
			if o.steps[step].open > 0 {
				longest = max(longest, j.chain()[step]-o.elapsed(step, now))
			}
		}
	}
	return longest
}

// elapsed is how long the tasks of a step have all been running, at most their
// estimate.
func (o *Occurrence) elapsed(step int, now time.Time) time.Duration {
	least := o.Job.Spec.Steps[step].estimate()
	tasks := o.steps[step].tasks
	for i := range tasks {
		t := &tasks[i]
		if t.done {
			continue
		}
		if len(t.Runs) == 0 {
			return 0
		}
		least = min(least, now.Sub(t.Runs[0].OrderedAt))
	}
	return least
}

// FirstRoom is what the tasks need that can start as soon as the job is
// accepted.
func (j *Job) FirstRoom() machine.Resources {
	var sum machine.Resources
	for i := range j.Spec.Steps {
		s := &j.Spec.Steps[i]
		if len(s.After) > 0 {
			continue
		}
		room := s.Room()
		n := int64(s.Count)
		sum = sum.Plus(machine.Resources{MilliCores: n * room.MilliCores, MemoryMB: n * room.MemoryMB, Accelerators: n * room.Accelerators})
	}
	return sum
}

// Work is the expected work that has not been done, in core-seconds.
func (j *Job) Work() float64 {
	sum := 0.0
	for _, o := range j.occurrences {
		for step := range o.steps {
			s := &j.Spec.Steps[step]
			sum += float64(o.steps[step].open) * float64(s.Need.MilliCores) / 1000 * s.estimate().Seconds()
		}
	}
	return sum
}

// Begun reports whether a task has started, stored or not.
func (j *Job) Begun() bool { return j.progress.State != Queued }
