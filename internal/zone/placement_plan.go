package zone

import (
	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// PlacementStep is one step of a placement plan. Package fleet turns steps into
// actions.
type PlacementStep interface{ isPlacementStep() }

// Start starts a task on a worker.
type Start struct {
	Task   *machine.Task
	Worker string
	// Estimate is the expected size of the task that the plan used.
	Estimate machine.Resources
	Reason   string
	// Use and Fair are the use and the fair share of the team before the start.
	Use, Fair float64
}

// Preemption holds what Checkpoint, Throttle and Stop have in common.
type Preemption struct {
	// Task is the preempted task, which runs on Worker.
	Task   *machine.Task
	Worker string
	// Beneficiary is the id of the task that gets the freed capacity.
	Beneficiary string
	// Use and Fair are the use and the fair share of the preempted task's team.
	Use, Fair float64
	// LostSeconds is the progress that is discarded, in seconds of run time.
	LostSeconds float64
}

// Checkpoint saves the progress of a task and ends its attempt.
type Checkpoint struct{ Preemption }

// Throttle caps the cores of a task.
type Throttle struct {
	Preemption
	// MilliCores is the cap; 0 removes it.
	MilliCores int64
}

// Stop ends the attempt of an idempotent task without saving its progress.
type Stop struct{ Preemption }

// Refuse fails a queued task that can never run.
type Refuse struct {
	Task   *machine.Task
	Reason string
}

// Hold removes a task that failed on every worker from the queue until its
// owner acts.
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

// PlacementPlan is the result of one placement round. Computing it changes no
// state.
type PlacementPlan struct {
	Steps  []PlacementStep
	Shares []contract.Share
	// Reservations holds, for each worker to be reserved, the id of the task for
	// which capacity is being freed there.
	Reservations map[string]string
}
