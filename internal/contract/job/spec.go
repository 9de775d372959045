// Package job models one accepted job: its specification, its tasks and their
// runs, and the progress that must survive the loss of every process. It does
// no I/O and reads no clock; callers pass the time in.
package job

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// ID identifies a job. The caller chooses it; it has 16 hexadecimal digits.
type ID string

// idLength is the number of digits of an ID.
const idLength = 16

// ParseID returns s as an ID, and false when it is not 16 hexadecimal digits.
func ParseID(s string) (ID, bool) {
	if len(s) != idLength {
		return "", false
	}
	for i := range len(s) {
		c := s[i]
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return "", false
		}
	}
	return ID(s), true
}

// Bounds of one job. They limit the memory of the scheduler, which holds all
// unfinished jobs, and the size of a job's progress in the store.
const (
	MaxSteps        = 64
	MaxTasksPerStep = 4096
	// MaxTasksPerOccurrence bounds the tasks of all steps in one occurrence. A task
	// takes about 150 bytes while its occurrence is open.
	MaxTasksPerOccurrence = 8192
	MaxOccurrences        = 100_000
	// MaxTasks bounds the tasks of all occurrences. The progress holds a bit for each.
	MaxTasks        = 1 << 20
	MaxPayloadBytes = 4000
)

// maxOpenTasks is the number of open tasks of a job from which no further occurrence
// opens. Without it, a job whose occurrences are all overdue would open them at once.
const maxOpenTasks = 2 * MaxTasksPerOccurrence

// Spec is the specification of a job that the caller submitted.
type Spec struct {
	// Payload is passed to the workers unchanged.
	Payload string `cbor:"1,keyasint,omitempty"`
	Steps   []Step `cbor:"2,keyasint,omitempty"`
	// Times is the number of occurrences, 0 for a job that runs once and is due
	// as soon as it is accepted.
	Times int `cbor:"3,keyasint,omitempty"`
	// FirstDue is the due time of occurrence 0 in Unix milliseconds.
	FirstDue int64 `cbor:"4,keyasint,omitempty"`
	// Interval is the time between due times.
	Interval time.Duration `cbor:"5,keyasint,omitempty"`
}

// Step is a group of identical tasks.
type Step struct {
	// Count is the number of tasks in each occurrence.
	Count int `cbor:"1,keyasint,omitempty"`
	// Need is the amount of resources that one task uses on a worker.
	Need machine.Resources `cbor:"2,keyasint,omitempty"`
	// Estimate is the caller's rough estimate of a task's run time.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists the numbers of earlier steps that must complete before this one
	// starts.
	After []int `cbor:"4,keyasint,omitempty"`
	// Gang means that the tasks start together and fail together.
	Gang bool `cbor:"5,keyasint,omitempty"`
	// SameRack means that a gang is placed in one rack if any has capacity for it.
	// A gang that spans racks takes longer.
	SameRack bool `cbor:"6,keyasint,omitempty"`
	// Speculative means that a task may have several runs at the same time.
	Speculative bool `cbor:"7,keyasint,omitempty"`
	// LongRunning means that the tasks run until the job is cancelled.
	LongRunning bool `cbor:"8,keyasint,omitempty"`
	// Checkpoints means that a run can resume from a checkpoint.
	Checkpoints bool `cbor:"9,keyasint,omitempty"`
	// Filler means that the tasks run on spare processor time: their processor
	// need does not count against the worker's capacity, and the scheduler
	// throttles them by the tail latency of the worker's serving tasks.
	Filler bool `cbor:"10,keyasint,omitempty"`
	// Label is a label that the worker must have, empty for any worker.
	Label string `cbor:"11,keyasint,omitempty"`
	// Rack is the rack that holds the tasks' data, empty for no preference.
	Rack string `cbor:"12,keyasint,omitempty"`
	// MaxPerWorker is the largest number of the step's tasks of one occurrence
	// that may run on the same worker, 0 for no bound.
	MaxPerWorker int `cbor:"13,keyasint,omitempty"`
	// Image names the program that the tasks run.
	Image string `cbor:"14,keyasint,omitempty"`
	// LatencyObjective is the upper bound of a serving task's tail latency, 0 for
	// none.
	LatencyObjective time.Duration `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is the number of the step's long-running tasks that
	// planned maintenance may make unavailable at the same time, 0 for no
	// bound.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// CountedNeed returns the resources that a task of the step counts against the
// capacity of a worker.
func (s *Step) CountedNeed() machine.Resources {
	if !s.Filler {
		return s.Need
	}
	return machine.Resources{MemoryMB: s.Need.MemoryMB, Accelerators: s.Need.Accelerators}
}

// SpecError reports an invalid part of a job's specification and what is
// accepted instead.
type SpecError struct{ Field, Accepted string }

// Error implements error.
func (e *SpecError) Error() string {
	return fmt.Sprintf("job: %s is not accepted; accepted: %s", e.Field, e.Accepted)
}

// Check validates the specification and returns a SpecError for its first
// invalid part.
func (s *Spec) Check() error {
	if len(s.Payload) > MaxPayloadBytes {
		return &SpecError{"spec", fmt.Sprintf("at most %d bytes", MaxPayloadBytes)}
	}
	if err := s.CheckStructure(); err != nil {
		return err
	}
	if n := s.tasksPerOccurrence(); n > MaxTasksPerOccurrence {
		return &SpecError{"steps", fmt.Sprintf("at most %d tasks in all steps", MaxTasksPerOccurrence)}
	} else if n*max(1, s.Times) > MaxTasks {
		return &SpecError{"times", fmt.Sprintf("at most %d tasks in all occurrences", MaxTasks)}
	}
	return nil
}

func (s *Spec) tasksPerOccurrence() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n
}

// OpenTasks returns the largest number of tasks that the job can have open.
func (s *Spec) OpenTasks() int {
	tasks := 0
	for i := range s.Steps {
		tasks += s.Steps[i].Count
	}
	return min(tasks*max(1, s.Times), maxOpenTasks)
}

// CheckStructure checks what decisions about a job rely on, and returns a SpecError
// for the first part that does not hold. A stored job may be of another version of
// the program, whose other bounds differ from those of Check.
func (s *Spec) CheckStructure() error {
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return &SpecError{"steps", fmt.Sprintf("1 to %d steps", MaxSteps)}
	}
	if s.Times < 0 || s.Times > MaxOccurrences || s.Interval < 0 {
		return &SpecError{"times", fmt.Sprintf("0 to %d occurrences at an interval of 0 or more", MaxOccurrences)}
	}
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return err
		}
	}
	return nil
}

func (s *Step) validate(number int) error {
	field := "step " + strconv.Itoa(number)
	switch {
	case s.Count < 1 || s.Count > MaxTasksPerStep:
		return &SpecError{field, fmt.Sprintf("1 to %d tasks", MaxTasksPerStep)}
	case s.Need.MilliCores < 0 || s.Need.MemoryMB < 0 || s.Need.Accelerators < 0:
		return &SpecError{field, "0 or more of each resource"}
	case s.MaxPerWorker < 0 || s.MaxUnavailable < 0:
		return &SpecError{field, "bounds of 0 or more"}
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= number {
			return &SpecError{field, "dependencies on earlier steps only"}
		}
	}
	return nil
}

// TaskName identifies a task in the whole fleet.
type TaskName struct {
	Job                     ID
	Occurrence, Step, Index int
}

// String returns the name as "job.occurrence.step.index", the form that workers
// use.
func (n TaskName) String() string {
	return string(n.Job) + "." + strconv.Itoa(n.Occurrence) + "." + strconv.Itoa(n.Step) + "." + strconv.Itoa(n.Index)
}

// ParseTaskName parses the form that String returns.
func ParseTaskName(s string) (TaskName, bool) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskName{}, false
	}
	id, ok := ParseID(parts[0])
	if !ok {
		return TaskName{}, false
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return TaskName{}, false
		}
		numbers[i] = n
	}
	return TaskName{id, numbers[0], numbers[1], numbers[2]}, true
}
