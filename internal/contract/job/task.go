package job

import (
	"slices"
	"time"
)

// Occurrence is one run through the steps of a job.
type Occurrence struct {
	Job    *Job
	Number int
	steps  []stepState
	// open is the number of tasks that are not done.
	open int
}

type stepState struct {
	tasks []Task
	// open is the number of tasks that are not done.
	open int
	// gangRun is the number of the last run of a gang.
	gangRun int
}

// Ready reports whether all steps that a step waits for have completed.
func (o *Occurrence) Ready(step int) bool {
	for _, earlier := range o.Job.Spec.Steps[step].After {
		if o.steps[earlier].open > 0 {
			return false
		}
	}
	return true
}

// Steps returns the number of steps.
func (o *Occurrence) Steps() int { return len(o.steps) }

// OpenTasks returns the number of tasks of a step that are not done.
func (o *Occurrence) OpenTasks(step int) int { return o.steps[step].open }

// Tasks returns the tasks of a step.
func (o *Occurrence) Tasks(step int) []Task { return o.steps[step].tasks }

// Task is one unit of work that a worker runs.
type Task struct {
	Occurrence  *Occurrence
	Step, Index int
	// Runs are the runs that may be alive. Only speculative tasks have several.
	Runs []*Run
	// LastRun is the highest run number given out by this scheduler.
	LastRun int
	// Unsettled is set after a takeover while a run of the last scheduler may be
	// alive on a worker that has not answered.
	Unsettled bool
	// FailedOn is the worker on which the last run failed or stalled.
	FailedOn string
	// NotBefore delays the next run after a failure.
	NotBefore time.Time
	done      bool
}

// Name returns the task's name.
func (t *Task) Name() TaskName {
	return TaskName{t.Occurrence.Job.ID, t.Occurrence.Number, t.Step, t.Index}
}

// Spec returns the step of the task.
func (t *Task) Spec() *Step { return &t.Occurrence.Job.Spec.Steps[t.Step] }

// Done reports whether the task has ended done.
func (t *Task) Done() bool { return t.done }

// Failures returns how many runs of the task have failed. A gang fails as a
// whole: its runs are counted at its first member.
func (t *Task) Failures() int {
	return len(t.Occurrence.Job.progress.FailedRuns[t.countedAt()])
}

func (t *Task) countedAt() int {
	name := t.Name()
	if t.Spec().Gang {
		name.Index = 0
	}
	return t.Occurrence.Job.ordinal(name)
}

// Saved returns the checkpoint from which the next run resumes, if any.
func (t *Task) Saved() string { return t.Occurrence.Job.progress.Saved[t.countedAt()] }

// Save keeps a checkpoint. It becomes durable with the next change.
func (t *Task) Save(saved string) {
	if saved != "" && t.Spec().Checkpoints {
		t.Occurrence.Job.progress.Saved[t.countedAt()] = saved
	}
}

// Place notes the workers of the task's runs in the progress.
func (t *Task) Place() {
	workers := make([]string, 0, len(t.Runs))
	for _, r := range t.Runs {
		workers = append(workers, r.Worker)
	}
	slices.Sort(workers)
	j := t.Occurrence.Job
	at := j.ordinal(t.Name())
	if slices.Equal(j.progress.Placed[at], workers) {
		return
	}
	j.progress.Placed[at] = workers
	j.changed()
	j.placedVersion = j.version
}

// Placed returns the workers on which a run of the task may be alive.
func (t *Task) Placed() []string {
	j := t.Occurrence.Job
	return j.progress.Placed[j.ordinal(t.Name())]
}

// PlacedDurably reports whether the store holds the workers of all runs.
func (j *Job) PlacedDurably() bool { return j.Durable(j.placedVersion) }

// Finish notes that the task ended done. For a gang every member is done.
func (t *Task) Finish() {
	o := t.Occurrence
	tasks := o.steps[t.Step].tasks[t.Index : t.Index+1]
	if t.Spec().Gang {
		tasks = o.steps[t.Step].tasks
	}
	for i := range tasks {
		o.finish(&tasks[i])
	}
}

func (o *Occurrence) finish(t *Task) {
	if t.done {
		return
	}
	j := o.Job
	t.done = true
	j.progress.setDone(j.ordinal(t.Name()))
	delete(j.progress.Saved, j.ordinal(t.Name()))
	delete(j.progress.Placed, j.ordinal(t.Name()))
	j.changed()
	o.steps[t.Step].open--
	o.open--
	if o.open == 0 {
		j.completedRuns++
		delete(j.occurrences, o.Number)
	}
}

// Fail notes that a run ended failed and reports whether the task has used up
// its attempts. A run is counted once.
func (t *Task) Fail(run int) bool {
	j := t.Occurrence.Job
	at := t.countedAt()
	if !slices.Contains(j.progress.FailedRuns[at], run) {
		j.progress.FailedRuns[at] = append(j.progress.FailedRuns[at], run)
		j.changed()
	}
	if t.Spec().Lasting {
		return false
	}
	return len(j.progress.FailedRuns[at]) >= j.Terms.Attempts
}

// Touch marks progress as changed, so that a checkpoint is stored.
func (t *Task) Touch() { t.Occurrence.Job.changed() }

// RunPhase is what the scheduler knows of a run.
type RunPhase int

// Phases of a run.
const (
	// RunOrdered means that the start was sent and not answered yet.
	RunOrdered RunPhase = iota
	// RunActive means that the worker confirmed the run.
	RunActive
	// RunUncertain means that the start got no answer: the worker may carry it
	// out until Run.OrderEnds.
	RunUncertain
	// RunHeld means that the start is not sent before the store holds its worker.
	RunHeld
)

// Run is one start of a task on one worker.
type Run struct {
	Task   *Task
	Number int
	// Worker is the id of the worker.
	Worker string
	Phase  RunPhase
	// OrderedAt is when the start was sent, ConfirmedAt when it was confirmed.
	OrderedAt, ConfirmedAt time.Time
	// OrderEnds is the time on the worker's clock, in milliseconds, after which
	// the worker refuses the start.
	OrderEnds int64
	// StopSent is when a stop was sent last, zero for never. StopConfirmed is when
	// the worker answered it.
	StopSent, StopConfirmed time.Time
	// Percent is the progress that the worker reported, ProgressAt when it last
	// changed.
	Percent    int
	ProgressAt time.Time
	// Measured is the worker's rough figure for the last half second: tail
	// latency in ms of a serving task, milli-cores in use of any other.
	Measured int
	// Pace is the share of full speed in percent that the worker was told.
	Pace int
	// OverSince is when a serving task's tail went over its objective.
	OverSince time.Time
	// Planned is set when the scheduler itself ends the run.
	Planned bool
}

// AtWork reports whether a lasting run serves: it is confirmed, has started up
// and is not about to be ended by the scheduler.
func (r *Run) AtWork() bool { return r.Phase == RunActive && r.Percent >= 100 && !r.Planned }

// Drop removes a run that is over.
func (t *Task) Drop(r *Run) {
	t.Runs = slices.DeleteFunc(t.Runs, func(o *Run) bool { return o == r })
}

// GangRun returns the next run number of a gang.
func (o *Occurrence) GangRun(step, epochBase int) int {
	s := &o.steps[step]
	s.gangRun = max(s.gangRun, epochBase) + 1
	return s.gangRun
}

// NextRun returns the next run number of a task. Numbers above epochBase are
// higher than all those of earlier schedulers.
func (t *Task) NextRun(epochBase int) int {
	t.LastRun = max(t.LastRun, epochBase) + 1
	return t.LastRun
}
