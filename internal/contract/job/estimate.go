package job

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// minEstimate is the lower bound of an estimate, and the estimate of a step
// whose specification has none.
const minEstimate = 100 * time.Millisecond

// ExpectedRunTime returns the expected run time of a step's task.
func (s *Step) ExpectedRunTime() time.Duration { return max(s.Estimate, minEstimate) }

// criticalPaths returns the critical path of each step: the longest estimated
// time from the start of the step to the end of the job along dependent steps.
// The result is computed once.
func (j *Job) criticalPaths() []time.Duration {
	if j.cachedPaths != nil {
		return j.cachedPaths
	}
	j.cachedPaths = make([]time.Duration, len(j.Spec.Steps))
	for i := len(j.Spec.Steps) - 1; i >= 0; i-- {
		j.cachedPaths[i] += j.Spec.Steps[i].ExpectedRunTime()
		for _, earlier := range j.Spec.Steps[i].After {
			j.cachedPaths[earlier] = max(j.cachedPaths[earlier], j.cachedPaths[i])
		}
	}
	return j.cachedPaths
}

// CriticalPath returns the longest estimated time from the start of a step to the end
// of the job.
func (j *Job) CriticalPath(step int) time.Duration { return j.criticalPaths()[step] }

// CompletionObjective returns the time, counted from acceptance, within which
// the job should complete: its critical path times Terms.Stretch, plus
// Terms.Objective.
func (j *Job) CompletionObjective() time.Duration {
	return time.Duration(float64(j.LongestPath())*max(1, j.Terms.Stretch)) + j.Terms.Objective
}

// LongestPath returns the estimated time of the job's longest chain of steps.
func (j *Job) LongestPath() time.Duration {
	var longest time.Duration
	for _, path := range j.criticalPaths() {
		longest = max(longest, path)
	}
	return longest
}

// InitialWork returns the estimated work of all tasks of one occurrence that counts
// against the capacity of workers, in core-seconds.
func (j *Job) InitialWork() float64 {
	sum := 0.0
	for i := range j.Spec.Steps {
		s := &j.Spec.Steps[i]
		sum += float64(s.Count) * s.taskWork(s.ExpectedRunTime())
	}
	return sum
}

// taskWork returns the work of a task that takes d, in core-seconds.
func (s *Step) taskWork(d time.Duration) float64 {
	return float64(s.CountedNeed().MilliCores) / 1000 * d.Seconds()
}

// OpenWork returns the estimated work of the open tasks that counts against the capacity
// of workers, in core-seconds: what is left of those that run, and all of the others.
func (j *Job) OpenWork(now time.Time) (running, waiting float64) {
	j.EachTask(func(t *Task) {
		s := t.Spec()
		switch {
		case t.done:
		case len(t.Runs) == 0:
			waiting += s.taskWork(s.ExpectedRunTime())
		default:
			running += s.taskWork(max(0, s.ExpectedRunTime()-now.Sub(t.Runs[0].OrderedAt)))
		}
	})
	return running, waiting
}

// RemainingCriticalPath returns the longest critical path of the steps with open
// tasks. From the path of each step it subtracts the time for which the step's
// open tasks have already been running at now.
func (j *Job) RemainingCriticalPath(now time.Time) time.Duration {
	var longest time.Duration
	for _, o := range j.occurrences {
		for step := range o.steps {
			if o.steps[step].open > 0 {
				longest = max(longest, j.criticalPaths()[step]-o.elapsed(step, now))
			}
		}
	}
	return longest
}

// elapsed returns the shortest time for which an open task of the step has been
// running, at most the step's estimate. It returns 0 when an open task has no
// run.
func (o *Occurrence) elapsed(step int, now time.Time) time.Duration {
	shortest := o.Job.Spec.Steps[step].ExpectedRunTime()
	tasks := o.steps[step].tasks
	for i := range tasks {
		t := &tasks[i]
		if t.done {
			continue
		}
		if len(t.Runs) == 0 {
			return 0
		}
		shortest = min(shortest, now.Sub(t.Runs[0].OrderedAt))
	}
	return shortest
}

// InitialNeed returns the sum of the resources of all tasks that depend on no
// other step and can therefore start as soon as the job is accepted.
func (j *Job) InitialNeed() machine.Resources {
	var sum machine.Resources
	for i := range j.Spec.Steps {
		s := &j.Spec.Steps[i]
		if len(s.After) > 0 {
			continue
		}
		perTask := s.CountedNeed()
		n := int64(s.Count)
		sum = sum.Plus(machine.Resources{MilliCores: n * perTask.MilliCores, MemoryMB: n * perTask.MemoryMB, Accelerators: n * perTask.Accelerators})
	}
	return sum
}

// EstimatedWork returns the estimated work of all tasks, in units of each resource times
// seconds.
func (j *Job) EstimatedWork() machine.Resources {
	var sum machine.Resources
	for i := range j.Spec.Steps {
		s := &j.Spec.Steps[i]
		sum = sum.Plus(s.CountedNeed().Times(float64(s.Count) * s.ExpectedRunTime().Seconds()))
	}
	return sum
}

// RemainingWork returns the estimated work of all open tasks in core-seconds.
func (j *Job) RemainingWork() float64 {
	sum := 0.0
	for _, o := range j.occurrences {
		for step := range o.steps {
			s := &j.Spec.Steps[step]
			sum += float64(o.steps[step].open) * float64(s.Need.MilliCores) / 1000 * s.ExpectedRunTime().Seconds()
		}
	}
	return sum
}

// TaskPlaced reports whether a worker was chosen for a task, according to the progress of
// this scheduler, which may not be stored yet. The task may not have started.
func (j *Job) TaskPlaced() bool { return j.progress.State != Queued || len(j.progress.Placed) > 0 }
