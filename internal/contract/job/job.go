package job

import (
	"slices"
	"time"
)

// Terms are what the queue promised when the job was accepted. They stay with
// the job, so that a queue that is removed later does not strand it.
type Terms struct {
	Queue     string        `cbor:"1,keyasint,omitempty"`
	Service   string        `cbor:"2,keyasint,omitempty"`
	Team      string        `cbor:"3,keyasint,omitempty"`
	Priority  int           `cbor:"4,keyasint,omitempty"`
	Attempts  int           `cbor:"5,keyasint,omitempty"`
	Stretch   float64       `cbor:"6,keyasint,omitempty"`
	Objective time.Duration `cbor:"7,keyasint,omitempty"`
	Advised   bool          `cbor:"8,keyasint,omitempty"`
}

// Job is one accepted piece of work. It is owned by one control thread.
type Job struct {
	ID    ID
	Terms Terms
	Spec  Spec
	// AcceptedAt is when a node took the job, in Unix milliseconds.
	AcceptedAt int64
	// Revision is the store's revision of the job's creation.
	Revision int64
	// Stored is the progress that the store is known to hold, StoredRevision its
	// revision there, 0 for none.
	Stored         Progress
	StoredRevision int64
	// CancelAsked is set when the store holds a cancellation.
	CancelAsked bool

	// progress is what this process has seen as the scheduler.
	progress Progress
	// version counts changes of progress; flushed is the version that the store
	// holds.
	version, flushed int64
	// placedVersion is that of the last change of progress.Placed.
	placedVersion int64

	chains      []time.Duration
	offsets     []int
	tasksPerRun int
	occurrences map[int]*Occurrence
	// completedRuns counts occurrences of which every task is done.
	completedRuns int
	// nextOccurrence is the number of the first occurrence that is not due yet.
	nextOccurrence int
	live           bool
	// started is set once a start has been sent.
	started bool
}

// New returns an accepted job without progress.
func New(id ID, terms Terms, spec Spec, acceptedAt, revision int64) *Job {
	j := &Job{ID: id, Terms: terms, Spec: spec, AcceptedAt: acceptedAt, Revision: revision}
	j.Stored.State = Queued
	for i := range spec.Steps {
		j.offsets = append(j.offsets, j.tasksPerRun)
		j.tasksPerRun += spec.Steps[i].Count
	}
	return j
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(1, j.Spec.Times) }

// Lasting reports whether the job runs until it is cancelled.
func (j *Job) Lasting() bool {
	return slices.ContainsFunc(j.Spec.Steps, func(s Step) bool { return s.Lasting })
}

// State returns what callers are shown: only what the store holds.
func (j *Job) State() State {
	if j.CancelAsked && !j.Stored.State.Final() {
		return Cancelled
	}
	return j.Stored.State
}

// Ended reports whether nothing of the job may start any more.
func (j *Job) Ended() bool { return j.progress.State.Final() }

// Began reports whether a task has started.
func (j *Job) Began() bool { return j.Stored.State != Queued }

// Lead builds the tasks from the stored progress. It is called when this
// process becomes the scheduler or learns of the job as the scheduler.
func (j *Job) Lead() {
	j.live = true
	j.progress = j.Stored.clone()
	j.version, j.flushed, j.placedVersion = 0, 0, 0
	j.occurrences = make(map[int]*Occurrence)
	j.completedRuns, j.nextOccurrence = 0, 0
	j.started = j.Began()
}

// Follow drops what only the scheduler needs.
func (j *Job) Follow() {
	j.live = false
	j.occurrences = nil
	j.progress = Progress{}
}

// ordinal numbers a task through all occurrences and steps.
func (j *Job) ordinal(n TaskName) int {
	return n.Occurrence*j.tasksPerRun + j.offsets[n.Step] + n.Index
}

// DueAt returns when an occurrence is due, in Unix milliseconds.
func (j *Job) DueAt(occurrence int) int64 {
	if j.Spec.Times == 0 {
		return j.AcceptedAt
	}
	return j.Spec.First + int64(occurrence)*j.Spec.Interval.Milliseconds()
}

// OpenDue creates the occurrences that are due at wall, in Unix milliseconds,
// and returns the new ones.
func (j *Job) OpenDue(wall int64) []*Occurrence {
	var opened []*Occurrence
	for j.nextOccurrence < j.Occurrences() && (j.Spec.Times == 0 || j.DueAt(j.nextOccurrence) <= wall) {
		if o := j.open(j.nextOccurrence); o != nil {
			opened = append(opened, o)
		}
		j.nextOccurrence++
	}
	return opened
}

// NextDue returns the due time of the next occurrence in Unix milliseconds and
// whether there is one.
func (j *Job) NextDue() (int64, bool) {
	if j.nextOccurrence >= j.Occurrences() {
		return 0, false
	}
	return j.DueAt(j.nextOccurrence), true
}

// open builds an occurrence; it returns nil when all its tasks are done.
func (j *Job) open(number int) *Occurrence {
	o := &Occurrence{Job: j, Number: number, steps: make([]stepState, len(j.Spec.Steps))}
	for s := range j.Spec.Steps {
		o.steps[s].tasks = make([]Task, j.Spec.Steps[s].Count)
		for i := range o.steps[s].tasks {
			t := &o.steps[s].tasks[i]
			t.Occurrence, t.Step, t.Index = o, s, i
			if j.progress.done(j.ordinal(t.Name())) {
				t.done = true
			} else {
				o.steps[s].open++
				o.open++
			}
		}
	}
	if o.open == 0 {
		j.completedRuns++
		return nil
	}
	j.occurrences[number] = o
	return o
}

// Task returns the task of a name, nil when the job has no such task or its
// occurrence is not open.
func (j *Job) Task(n TaskName) *Task {
	o := j.occurrences[n.Occurrence]
	if o == nil || n.Step >= len(o.steps) || n.Index >= len(o.steps[n.Step].tasks) {
		return nil
	}
	return &o.steps[n.Step].tasks[n.Index]
}

// Open calls f for each open occurrence in order of their numbers.
func (j *Job) Open(f func(*Occurrence)) {
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

// EachTask calls f for each task of the open occurrences.
func (j *Job) EachTask(f func(*Task)) {
	j.Open(func(o *Occurrence) {
		for step := range o.steps {
			tasks := o.steps[step].tasks
			for i := range tasks {
				f(&tasks[i])
			}
		}
	})
}

// changed notes that progress differs from what the store holds.
func (j *Job) changed() { j.version++ }

// Version returns the number of the last change of progress.
func (j *Job) Version() int64 { return j.version }

// Dirty reports whether the store lacks progress.
func (j *Job) Dirty() bool { return j.live && j.version > j.flushed }

// Durable reports whether the store holds progress up to a version.
func (j *Job) Durable(version int64) bool { return j.flushed >= version }

// Unflushed returns a copy of the progress to store and its version.
func (j *Job) Unflushed() (Progress, int64) {
	if j.Ended() {
		return Progress{State: j.progress.State, EndedAt: j.progress.EndedAt}, j.version
	}
	return j.progress.clone(), j.version
}

// Flushed notes that the store holds the progress of a version.
func (j *Job) Flushed(p Progress, version, revision int64) {
	j.Stored, j.StoredRevision = p, revision
	j.flushed = max(j.flushed, version)
}

// Begin notes that a task has started.
func (j *Job) Begin() {
	if j.progress.State == Queued {
		j.progress.State = Running
		j.changed()
	}
}

// FirstStart reports whether this start is the first of the job, as far as this
// process knows.
func (j *Job) FirstStart() bool {
	first := !j.started
	j.started = true
	return first
}

// End sets the final state unless there is one.
func (j *Job) End(state State, wall int64) bool {
	if j.progress.State.Final() {
		return false
	}
	j.progress.State = state
	j.progress.EndedAt = wall
	j.changed()
	return true
}

// Complete ends the job as completed when every occurrence is done.
func (j *Job) Complete(wall int64) bool {
	if j.completedRuns < j.Occurrences() {
		return false
	}
	return j.End(Completed, wall)
}
