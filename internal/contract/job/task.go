package job

import (
	"slices"
	"time"
)

// Occurrence is one execution of all steps of a job. It is open until all its
// tasks are done.
type Occurrence struct {
	Job    *Job
	Number int
	steps  []stepState
	// open is the number of tasks that are not done.
	open int
}

// stepState is the state of one step in an occurrence.
type stepState struct {
	tasks []Task
	// open is the number of tasks that are not done.
	open int
	// gangRun is the number of the gang's last run, 0 before the first.
	gangRun int
}

// Ready reports whether all steps that a step depends on have completed.
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

// Tasks returns the tasks of a step. The slice is not a copy.
func (o *Occurrence) Tasks(step int) []Task { return o.steps[step].tasks }

// Task is one unit of work that a worker runs.
type Task struct {
	Occurrence  *Occurrence
	Step, Index int
	// Runs are the runs that may be alive. Only speculative tasks have several.
	Runs []*Run
	// LastRun is the highest run number that this scheduler assigned.
	LastRun int
	// Unreconciled is set after a takeover while a run of the previous
	// scheduler may be alive on a worker that has not reported yet. No run
	// starts meanwhile.
	Unreconciled bool
	// Stalls is the number of runs that this scheduler stopped because they made no progress.
	Stalls int
	// FailedOn is the id of the worker on which the last run failed or stalled.
	FailedOn string
	// NotBefore is the earliest start of the next run after a failure.
	NotBefore time.Time
	// lostStarts are the addresses of the workers with which runs were lost that may
	// have caused it: the workers are silent, or their crash is not recorded.
	lostStarts []string
	done       bool
}

// Name returns the name that identifies the task in the whole fleet.
func (t *Task) Name() TaskName {
	return TaskName{t.Occurrence.Job.ID, t.Occurrence.Number, t.Step, t.Index}
}

// Spec returns the step of the task.
func (t *Task) Spec() *Step { return &t.Occurrence.Job.Spec.Steps[t.Step] }

// Done reports whether the task is done: a run of it has completed.
func (t *Task) Done() bool { return t.done }

// Failures returns the number of failed runs of the task, or of the whole gang
// when the task belongs to a gang.
func (t *Task) Failures() int {
	return len(t.Occurrence.Job.progress.FailedRuns[t.sharedOrdinal()])
}

// sharedOrdinal returns the ordinal under which failures and checkpoints of the
// task are recorded. A gang fails and resumes as a whole, so its members share
// the ordinal of the first one.
func (t *Task) sharedOrdinal() int {
	name := t.Name()
	if t.Spec().Gang {
		name.Index = 0
	}
	return t.Occurrence.Job.ordinal(name)
}

// Checkpoint returns the checkpoint from which the next run resumes, empty for
// none.
func (t *Task) Checkpoint() string { return t.Occurrence.Job.progress.Saved[t.sharedOrdinal()] }

// SaveCheckpoint records a checkpoint. It does not mark progress as changed: the
// checkpoint is stored with the next change or after MarkChanged.
func (t *Task) SaveCheckpoint(checkpoint string) {
	if checkpoint != "" && t.Spec().Checkpoints {
		t.Occurrence.Job.progress.Saved[t.sharedOrdinal()] = checkpoint
	}
}

// RecordPlacement records the workers of the task's present runs in the progress.
func (t *Task) RecordPlacement() {
	workers := make([]string, 0, len(t.Runs))
	for _, r := range t.Runs {
		workers = append(workers, r.Worker)
	}
	slices.Sort(workers)
	j := t.Occurrence.Job
	taskOrdinal := j.ordinal(t.Name())
	if slices.Equal(j.progress.Placed[taskOrdinal], workers) {
		return
	}
	j.progress.Placed[taskOrdinal] = workers
	j.markChanged()
	j.placedVersion = j.version
}

// PlacedWorkers returns the ids of the workers that are recorded for the task's
// runs. The caller must not change the slice.
func (t *Task) PlacedWorkers() []string {
	j := t.Occurrence.Job
	return j.progress.Placed[j.ordinal(t.Name())]
}

// PlacementDurable reports whether the store holds the workers of all runs of the
// job.
func (j *Job) PlacementDurable() bool { return j.Durable(j.placedVersion) }

// MarkDone records that the task is done. It marks every task of a gang as done.
func (t *Task) MarkDone() {
	o := t.Occurrence
	tasks := o.steps[t.Step].tasks[t.Index : t.Index+1]
	if t.Spec().Gang {
		tasks = o.steps[t.Step].tasks
	}
	for i := range tasks {
		o.markDone(&tasks[i])
	}
}

func (o *Occurrence) markDone(t *Task) {
	if t.done {
		return
	}
	j := o.Job
	t.done = true
	j.progress.setDone(j.ordinal(t.Name()))
	delete(j.progress.Saved, j.ordinal(t.Name()))
	delete(j.progress.Placed, j.ordinal(t.Name()))
	delete(j.progress.Crashes, j.ordinal(t.Name()))
	j.markChanged()
	o.steps[t.Step].open--
	o.open--
	if o.open == 0 {
		j.doneOccurrences++
		delete(j.occurrences, o.Number)
	}
}

// RecordFailure records that a run failed and reports whether the task has no
// attempt left. A repeated report of a run is not counted again. The number of
// attempts of a long-running task is not bounded.
func (t *Task) RecordFailure(run int) bool {
	j := t.Occurrence.Job
	ordinal := t.sharedOrdinal()
	if !slices.Contains(j.progress.FailedRuns[ordinal], run) {
		j.progress.FailedRuns[ordinal] = append(j.progress.FailedRuns[ordinal], run)
		j.markChanged()
	}
	if t.Spec().LongRunning {
		return false
	}
	return len(j.progress.FailedRuns[ordinal]) >= j.Terms.Attempts
}

// MarkChanged marks progress as changed, so that a checkpoint from
// SaveCheckpoint is stored.
func (t *Task) MarkChanged() { t.Occurrence.Job.markChanged() }

// RunPhase is the phase of a run as the scheduler knows it.
type RunPhase int

// Phases of a run.
const (
	// RunOrdered means that the start was sent and has no answer yet.
	RunOrdered RunPhase = iota
	// RunActive means that the worker confirmed the run.
	RunActive
	// RunUncertain means that the start failed without an answer: the worker may
	// still perform it until Run.StartDeadline.
	RunUncertain
	// RunAwaitingPlacement means that the start is sent only after the store
	// has confirmed the worker in Progress.Placed.
	RunAwaitingPlacement
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
	// StartDeadline is the time on the worker's clock, in milliseconds, after
	// which the worker refuses the start.
	StartDeadline int64
	// StopSentAt is when a stop was last sent, StopConfirmedAt when the worker
	// answered it. Each is the zero time when that has not happened.
	StopSentAt, StopConfirmedAt time.Time
	// ProgressPercent is the progress that the worker reported last. ProgressAt
	// is when it last changed, ReportedAt when the worker last reported the run.
	ProgressPercent int
	ProgressAt      time.Time
	ReportedAt      time.Time
	// Measurement is the worker's rough measurement over the last half second: the
	// tail latency in ms of a serving task, the milli-cores in use of any other.
	Measurement int
	// PacePercent is the speed, in percent of full speed, that the scheduler
	// last set.
	PacePercent int
	// OverObjectiveSince is when the tail latency of a serving task last rose
	// above its objective.
	OverObjectiveSince time.Time
	// Succeeded is set once the run has counted as a success of its worker.
	Succeeded bool
	// EndPlanned is set when the scheduler itself decided to end the run.
	EndPlanned bool
	// Adopted is set if an earlier scheduler has ordered the run. It may have ordered its
	// stop, too.
	Adopted bool
	// Isolation is how the run is kept apart from others on its worker.
	Isolation Isolation
}

// Serving reports whether the run of a long-running task serves: the worker has
// confirmed it, it has finished starting up and the scheduler has not decided
// to end it.
func (r *Run) Serving() bool {
	return r.Phase == RunActive && r.ProgressPercent >= 100 && !r.EndPlanned
}

// RemoveRun removes a run that has ended from the task.
func (t *Task) RemoveRun(r *Run) {
	t.Runs = slices.DeleteFunc(t.Runs, func(other *Run) bool { return other == r })
}

// NextGangRun assigns the next run number of a gang. See Task.NextRun for
// epochBase.
func (o *Occurrence) NextGangRun(step, epochBase int) int {
	s := &o.steps[step]
	s.gangRun = max(s.gangRun, epochBase) + 1
	return s.gangRun
}

// SkipRunNumbers leaves out the next n run numbers of a task or its gang, because its worker
// has seen higher ones.
func (t *Task) SkipRunNumbers(n int) {
	t.LastRun += n
	if t.Spec().Gang {
		t.Occurrence.steps[t.Step].gangRun += n
	}
}

// NextRun assigns the next run number of a task. The number is above epochBase,
// which is at least as high as any number that an earlier scheduler assigned.
func (t *Task) NextRun(epochBase int) int {
	t.LastRun = max(t.LastRun, epochBase) + 1
	return t.LastRun
}
