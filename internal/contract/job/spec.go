// Package job holds one accepted piece of work: what its team asked for, the
// tasks it consists of, their runs, and the progress that must survive the
// loss of every process. It does no I/O and reads no clock.
package job

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// ID is the caller's name of a job, 16 hexadecimal digits.
type ID string

// idLength is the number of digits of an ID.
const idLength = 16

// ParseID checks the form of an ID.
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

// Bounds of one job. They protect the memory of the scheduler, which holds all
// unfinished jobs.
const (
	MaxSteps        = 64
	MaxTasksPerStep = 4096
	MaxOccurrences  = 100_000
	MaxPayloadBytes = 4000
)

// Spec is what the caller asked for.
type Spec struct {
	// Payload is passed to the workers as it is.
	Payload string `cbor:"1,keyasint,omitempty"`
	Steps   []Step `cbor:"2,keyasint,omitempty"`
	// Times is the number of occurrences, 0 for a job that runs once at once.
	Times int `cbor:"3,keyasint,omitempty"`
	// First is the due time of occurrence 0 in Unix milliseconds.
	First int64 `cbor:"4,keyasint,omitempty"`
	// Interval is the time between due times.
	Interval time.Duration `cbor:"5,keyasint,omitempty"`
}

// Step is a group of equal tasks.
type Step struct {
	Count int `cbor:"1,keyasint,omitempty"`
	// Need is what one task occupies on a worker.
	Need machine.Resources `cbor:"2,keyasint,omitempty"`
	// Estimate is the caller's rough estimate of a task's run time.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists earlier steps that must have completed.
	After []int `cbor:"4,keyasint,omitempty"`
	// Gang tasks run only all together.
	Gang bool `cbor:"5,keyasint,omitempty"`
	// SameRack gangs take longer when they span racks.
	SameRack bool `cbor:"6,keyasint,omitempty"`
	// Speculative tasks may run in several copies.
	Speculative bool `cbor:"7,keyasint,omitempty"`
	// Lasting tasks run until the job is cancelled.
	Lasting bool `cbor:"8,keyasint,omitempty"`
	// Checkpoints means that a run can resume from saved progress.
	Checkpoints bool `cbor:"9,keyasint,omitempty"`
	// Fills means that the step's processor need is not counted against a worker.
	Fills bool `cbor:"10,keyasint,omitempty"`
	// Label must be among the worker's labels, if not empty.
	Label string `cbor:"11,keyasint,omitempty"`
	// Rack is where the data lies, empty for anywhere.
	Rack string `cbor:"12,keyasint,omitempty"`
	// MaxPerWorker bounds the step's tasks of one occurrence on one worker, 0 for
	// no bound.
	MaxPerWorker int `cbor:"13,keyasint,omitempty"`
	// Image names what the tasks run.
	Image string `cbor:"14,keyasint,omitempty"`
	// LatencyObjective is the bound of a serving task's tail latency, 0 for none.
	LatencyObjective time.Duration `cbor:"15,keyasint,omitempty"`
	// MayMiss is how many lasting tasks planned work may take away at a time; 0
	// means that there is no bound.
	MayMiss int `cbor:"16,keyasint,omitempty"`
}

// Room returns what a task of the step counts for on a worker.
func (s *Step) Room() machine.Resources {
	if !s.Fills {
		return s.Need
	}
	return machine.Resources{MemoryMB: s.Need.MemoryMB, Accelerators: s.Need.Accelerators}
}

// SpecError says which part of a job is not accepted.
type SpecError struct{ Field, Accepted string }

// Error implements error.
func (e *SpecError) Error() string {
	return fmt.Sprintf("job: %s is not accepted; accepted: %s", e.Field, e.Accepted)
}

// Check returns a SpecError for the first part that is not accepted.
func (s *Spec) Check() error {
	if len(s.Payload) > MaxPayloadBytes {
		return &SpecError{"spec", fmt.Sprintf("at most %d bytes", MaxPayloadBytes)}
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return &SpecError{"steps", fmt.Sprintf("1 to %d steps", MaxSteps)}
	}
	if s.Times < 0 || s.Times > MaxOccurrences || s.Interval < 0 {
		return &SpecError{"times", fmt.Sprintf("0 to %d occurrences with an interval that is not negative", MaxOccurrences)}
	}
	for i := range s.Steps {
		if err := s.Steps[i].check(i); err != nil {
			return err
		}
	}
	return nil
}

func (s *Step) check(number int) error {
	field := "step " + strconv.Itoa(number)
	switch {
	case s.Count < 1 || s.Count > MaxTasksPerStep:
		return &SpecError{field, fmt.Sprintf("1 to %d tasks", MaxTasksPerStep)}
	case s.Need.MilliCores < 0 || s.Need.MemoryMB < 0 || s.Need.Accelerators < 0:
		return &SpecError{field, "needs that are not negative"}
	case s.MaxPerWorker < 0 || s.MayMiss < 0:
		return &SpecError{field, "bounds that are not negative"}
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= number {
			return &SpecError{field, "only earlier steps to wait for"}
		}
	}
	return nil
}

// TaskName identifies a task across the fleet.
type TaskName struct {
	Job                     ID
	Occurrence, Step, Index int
}

// String returns the name in the form that workers use.
func (n TaskName) String() string {
	return string(n.Job) + "." + strconv.Itoa(n.Occurrence) + "." + strconv.Itoa(n.Step) + "." + strconv.Itoa(n.Index)
}

// ParseTaskName reads the form that String writes.
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
