package job

import (
	"maps"
	"slices"
	"time"
)

// Terms are the settings of the queue at the time it accepted the job. They are
// stored with the job, so that the job can still run after its queue was
// removed.
type Terms struct {
	Queue          string        `cbor:"1,keyasint,omitempty"`
	Service        string        `cbor:"2,keyasint,omitempty"`
	Team           string        `cbor:"3,keyasint,omitempty"`
	Priority       int           `cbor:"4,keyasint,omitempty"`
	Attempts       int           `cbor:"5,keyasint,omitempty"`
	Stretch        float64       `cbor:"6,keyasint,omitempty"`
	Objective      time.Duration `cbor:"7,keyasint,omitempty"`
	RequiresAdvice bool          `cbor:"8,keyasint,omitempty"`
	// ConfigVersion is the version of the configuration by which the job was accepted.
	ConfigVersion int64 `cbor:"9,keyasint,omitempty"`
	// Host and Prefix are the queue's address, empty in jobs that earlier versions of the
	// program stored.
	Host   string `cbor:"10,keyasint,omitempty"`
	Prefix string `cbor:"11,keyasint,omitempty"`
}

// Job is one accepted job. It is owned by the control thread and is not safe
// for concurrent use.
type Job struct {
	ID    ID
	Terms Terms
	Spec  Spec
	// AcceptedAt is when a node accepted the job, in Unix milliseconds.
	AcceptedAt int64
	// Revision is the store's revision at which the job was created.
	Revision int64
	// Stored is the progress that the store is known to hold. StoredRevision is
	// its revision in the store, 0 when no progress is stored.
	Stored         Progress
	StoredRevision int64
	// CancelAsked is set when the store holds a cancellation.
	CancelAsked bool

	// progress is the scheduler's current progress, which may be ahead of Stored.
	progress Progress
	// version counts the changes of progress. flushed is the last version that
	// the store is known to hold.
	version, flushed int64
	// placedVersion is the version that last changed progress.Placed.
	placedVersion int64

	// cachedPaths is the result of criticalPaths, nil before its first call.
	cachedPaths []time.Duration
	// stepOffsets is, for each step, the number of tasks of all earlier steps in
	// one occurrence.
	stepOffsets        []int
	tasksPerOccurrence int
	occurrences        map[int]*Occurrence
	// doneOccurrences counts the occurrences whose tasks are all done.
	doneOccurrences int
	// nextOccurrence is the number of the first occurrence that is not due yet.
	nextOccurrence int
	// leading is true while this process is the scheduler.
	leading bool
	// startSent is set once this process has sent a start of one of the tasks, or
	// the stored progress shows that a task was placed.
	startSent bool
}

// New returns an accepted job without progress.
func New(id ID, terms Terms, spec Spec, acceptedAt, revision int64) *Job {
	j := &Job{ID: id, Terms: terms, Spec: spec, AcceptedAt: acceptedAt, Revision: revision}
	j.Stored.State = Queued
	for i := range spec.Steps {
		j.stepOffsets = append(j.stepOffsets, j.tasksPerOccurrence)
		j.tasksPerOccurrence += spec.Steps[i].Count
	}
	return j
}

// Occurrences returns the number of occurrences, at least 1.
func (j *Job) Occurrences() int { return max(1, j.Spec.Times) }

// LongRunning reports whether the job has a step that runs until the job is
// cancelled.
func (j *Job) LongRunning() bool {
	return slices.ContainsFunc(j.Spec.Steps, func(s Step) bool { return s.LongRunning })
}

// Fills reports whether the job has a step of filler tasks.
func (j *Job) Fills() bool {
	return slices.ContainsFunc(j.Spec.Steps, func(s Step) bool { return s.Filler })
}

// State returns the state to report to callers. It reflects only what the
// store holds. A stored cancellation takes effect immediately.
func (j *Job) State() State {
	if j.CancelAsked && !j.Stored.State.Final() {
		return Cancelled
	}
	return j.Stored.State
}

// Ended reports whether the job is in a final state, even if that state is not
// stored yet. No task of an ended job may start.
func (j *Job) Ended() bool { return j.progress.State.Final() }

// StoredTaskStarted reports whether a task has started, according to the stored
// progress.
func (j *Job) StoredTaskStarted() bool { return j.Stored.State != Queued }

// StartLeading resets the progress to the stored progress and drops all
// occurrences, which OpenDue builds again. It is called for each job when this
// process becomes the scheduler, and for a new job while it is the scheduler.
func (j *Job) StartLeading() {
	j.leading = true
	j.progress = j.Stored.clone()
	j.version, j.flushed, j.placedVersion = 0, 0, 0
	j.occurrences = make(map[int]*Occurrence)
	j.doneOccurrences, j.nextOccurrence = 0, 0
	j.startSent = j.TaskPlaced()
}

// StopLeading drops the tasks and the progress, which only the scheduler needs. It
// is called when this process is no longer the scheduler.
func (j *Job) StopLeading() {
	j.leading = false
	j.occurrences = nil
	j.progress = Progress{}
}

// ordinal returns the number of a task, counted through all occurrences and
// steps. It is the task's key in Progress.
func (j *Job) ordinal(n TaskName) int {
	return n.Occurrence*j.tasksPerOccurrence + j.stepOffsets[n.Step] + n.Index
}

// taskName returns the task with an ordinal, and false if the job has no such task.
func (j *Job) taskName(ordinal int) (TaskName, bool) {
	if ordinal < 0 || j.tasksPerOccurrence == 0 || ordinal/j.tasksPerOccurrence >= j.Occurrences() {
		return TaskName{}, false
	}
	rest := ordinal % j.tasksPerOccurrence
	step, found := slices.BinarySearch(j.stepOffsets, rest)
	if !found {
		step--
	}
	return TaskName{j.ID, ordinal / j.tasksPerOccurrence, step, rest - j.stepOffsets[step]}, true
}

// EachStoredPlacement calls f for each task with the workers on which one of its runs may be
// alive, according to the stored progress.
func (j *Job) EachStoredPlacement(f func(name TaskName, workers []string)) {
	for ordinal, workers := range j.Stored.Placed {
		if name, ok := j.taskName(ordinal); ok && len(workers) > 0 {
			f(name, workers)
		}
	}
}

// DueAt returns when an occurrence is due, in Unix milliseconds.
func (j *Job) DueAt(occurrence int) int64 {
	if j.Spec.Times == 0 {
		return j.AcceptedAt
	}
	return j.Spec.FirstDue + int64(occurrence)*j.Spec.Interval.Milliseconds()
}

// OpenDue opens the occurrences that are due at wallMillis, in Unix
// milliseconds, and returns those that have tasks to run. While the job has
// maxOpenTasks open tasks, due occurrences stay closed until a later call.
func (j *Job) OpenDue(wallMillis int64) []*Occurrence {
	var opened []*Occurrence
	for j.nextOccurrence < j.Occurrences() && (j.Spec.Times == 0 || j.DueAt(j.nextOccurrence) <= wallMillis) {
		if len(j.occurrences)*j.tasksPerOccurrence >= maxOpenTasks {
			break
		}
		if o := j.openOccurrence(j.nextOccurrence); o != nil {
			opened = append(opened, o)
		}
		j.nextOccurrence++
	}
	return opened
}

// NextDue returns the due time of the next occurrence in Unix milliseconds, and
// false when every occurrence has been opened.
func (j *Job) NextDue() (int64, bool) {
	if j.nextOccurrence >= j.Occurrences() {
		return 0, false
	}
	return j.DueAt(j.nextOccurrence), true
}

// NotOpenedYet reports whether the job has the task, in an occurrence that was not opened
// yet.
func (j *Job) NotOpenedYet(n TaskName) bool {
	return n.Occurrence >= j.nextOccurrence && n.Occurrence < j.Occurrences() && n.Step < len(j.Spec.Steps) && n.Index < j.Spec.Steps[n.Step].Count
}

// openOccurrence builds an occurrence and its tasks. When the progress shows
// that all its tasks are done, it counts the occurrence as completed and
// returns nil.
func (j *Job) openOccurrence(number int) *Occurrence {
	o := &Occurrence{Job: j, Number: number, steps: make([]stepState, len(j.Spec.Steps))}
	for s := range j.Spec.Steps {
		o.steps[s].tasks = make([]Task, j.Spec.Steps[s].Count)
		for i := range o.steps[s].tasks {
			t := &o.steps[s].tasks[i]
			t.Occurrence, t.Step, t.Index = o, s, i
			if j.progress.isDone(j.ordinal(t.Name())) {
				t.done = true
			} else {
				o.steps[s].open++
				o.open++
			}
		}
	}
	if o.open == 0 {
		j.doneOccurrences++
		return nil
	}
	j.occurrences[number] = o
	return o
}

// Task returns the task with the given name, nil when the job has no such task
// or its occurrence is not open.
func (j *Job) Task(n TaskName) *Task {
	o := j.occurrences[n.Occurrence]
	if o == nil || n.Step >= len(o.steps) || n.Index >= len(o.steps[n.Step].tasks) {
		return nil
	}
	return &o.steps[n.Step].tasks[n.Index]
}

// EachOpenOccurrence calls f for each open occurrence in the order of their
// numbers.
func (j *Job) EachOpenOccurrence(f func(*Occurrence)) {
	if len(j.occurrences) == 1 {
		for _, o := range j.occurrences {
			f(o)
		}
		return
	}
	numbers := make([]int, 0, len(j.occurrences))
	for n := range j.occurrences {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	for _, n := range numbers {
		f(j.occurrences[n])
	}
}

// EachTask calls f for each task of the open occurrences, ordered by
// occurrence, step and index.
func (j *Job) EachTask(f func(*Task)) {
	j.EachOpenOccurrence(func(o *Occurrence) {
		for step := range o.steps {
			tasks := o.steps[step].tasks
			for i := range tasks {
				f(&tasks[i])
			}
		}
	})
}

// markChanged records that progress differs from what the store holds.
func (j *Job) markChanged() { j.version++ }

// Version returns the number of the last change of progress.
func (j *Job) Version() int64 { return j.version }

// Dirty reports whether progress has changes that the store is not known to
// hold.
func (j *Job) Dirty() bool { return j.leading && j.version > j.flushed }

// Durable reports whether the store holds the progress of the given version.
func (j *Job) Durable(version int64) bool { return j.flushed >= version }

// Unflushed returns a copy of the progress to write to the store, and its
// version. The progress of an ended job consists of its final state and of the placements of
// tasks that were not done, whose runs may still be alive.
func (j *Job) Unflushed() (Progress, int64) {
	if j.Ended() {
		return Progress{State: j.progress.State, EndedAt: j.progress.EndedAt, Placed: maps.Clone(j.progress.Placed)}, j.version
	}
	return j.progress.clone(), j.version
}

// MarkFlushed records that the store holds the progress p of a version at a store
// revision.
func (j *Job) MarkFlushed(p Progress, version, revision int64) {
	j.Stored, j.StoredRevision = p, revision
	j.flushed = max(j.flushed, version)
}

// MarkUnstored marks the progress as changed although it equals the stored one, so
// that it is stored again.
func (j *Job) MarkUnstored() { j.markChanged() }

// MarkStarted records that a task has started, which its worker has confirmed: a start
// that was sent may have no effect.
func (j *Job) MarkStarted() {
	if j.progress.State == Queued {
		j.progress.State = Running
		j.markChanged()
	}
}

// MarkStartSent records that this process sends a start of one of the job's
// tasks. It reports whether no earlier start is known: this process has sent
// none, and the stored progress shows no placed task.
func (j *Job) MarkStartSent() bool {
	first := !j.startSent
	j.startSent = true
	return first
}

// End sets the final state, reached at wallMillis in Unix milliseconds. It
// returns false when the job already has a final state.
func (j *Job) End(state State, wallMillis int64) bool {
	if j.progress.State.Final() {
		return false
	}
	j.progress.State = state
	j.progress.EndedAt = wallMillis
	j.markChanged()
	return true
}

// Complete ends the job as completed at wallMillis, in Unix milliseconds, if
// every occurrence is done. It reports whether it set the final state.
func (j *Job) Complete(wallMillis int64) bool {
	if j.doneOccurrences < j.Occurrences() {
		return false
	}
	return j.End(Completed, wallMillis)
}
