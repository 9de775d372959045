package zone

import (
	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// PlacementStep is one step of a plan. Package fleet turns steps into actions.
type PlacementStep interface{ isPlacementStep() }

// Start starts a task on a worker.
type Start struct {
	Task   *machine.Task
	Worker string
	// Estimate is the expected size that was placed.
	Estimate machine.Resources
	Reason   string
	// Use and Fair are the team's before the start.
	Use, Fair float64
}

// Preemption is what the steps that make room for another task share.
type Preemption struct {
	// Task is the running task that gives way on Worker.
	Task   *machine.Task
	Worker string
	// For is the task that gets the room.
	For string
	// Use and Fair are those of the team that gives way.
	Use, Fair float64
	// Lost is the work that is lost, in seconds of run time.
	Lost float64
}

// Checkpoint saves the progress of a task and ends its attempt.
type Checkpoint struct{ Preemption }

// Throttle caps the cores of a task.
type Throttle struct {
	Preemption
	// MilliCores is the cap; 0 lifts it.
	MilliCores int64
}

// Stop ends the attempt of an idempotent task without saving its progress.
type Stop struct{ Preemption }

// Refuse ends a queued task that can never run.
type Refuse struct {
	Task   *machine.Task
	Reason string
}

// Hold keeps a task queued for its owner: it failed wherever it could run.
type Hold struct {
	Task   *machine.Task
	Reason string
}

func (Start) isPlacementStep()      {}
func (Checkpoint) isPlacementStep() {}
func (Throttle) isPlacementStep()   {}
func (Stop) isPlacementStep()       {}
func (Refuse) isPlacementStep()     {}
func (Hold) isPlacementStep()       {}

// PlacementPlan is the result of one placement round. It changes nothing by itself.
type PlacementPlan struct {
	Steps  []PlacementStep
	Shares []contract.Share
	// Reservations are the workers to reserve, by worker, for the task whose room is
	// being freed there.
	Reservations map[string]string
}
