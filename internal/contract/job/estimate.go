package job

import "time"

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

// RemainingChain is the longest chain of work that has not been done.
func (j *Job) RemainingChain() time.Duration {
	var longest time.Duration
	for _, o := range j.occurrences {
		for step := range o.steps {
			if o.steps[step].open > 0 {
				longest = max(longest, j.chain()[step])
			}
		}
	}
	return longest
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
