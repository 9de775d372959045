package proof

import (
	"slices"

	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// Pools checks I2 and I10: each instance belongs to exactly one pool, and a
// planned stop cuts off no request.
//
//   - Every record names one pool and its epoch only grows.
//   - The pool of an instance changes only while it moves and its machine is out
//     of service, while it is failed, or when it is filled after a repair.
//   - A phase follows only from a phase that leads to it.
//   - A fill labels the machine with the pool of the record it follows from.
//   - A reboot cuts off no running request.
type Pools struct {
	instances map[string]machine.Instance
	serving   map[string]bool
}

// NewPools returns a checker of an empty fleet.
func NewPools() *Pools {
	return &Pools{instances: make(map[string]machine.Instance), serving: make(map[string]bool)}
}

// follows lists the phases that may precede each phase, kept apart from the
// state machine that it checks.
var follows = map[machine.Phase][]machine.Phase{
	machine.PhaseServing:   {machine.PhaseFilling, machine.PhaseServing},
	machine.PhaseDraining:  {machine.PhaseServing},
	machine.PhaseMoving:    {machine.PhaseDraining},
	machine.PhaseRebooting: {machine.PhaseDraining, machine.PhaseFailed},
	machine.PhaseFilling:   {machine.PhaseDraining, machine.PhaseMoving, machine.PhaseRebooting, machine.PhaseFailed},
	machine.PhaseFailed: {
		machine.PhaseServing, machine.PhaseDraining, machine.PhaseMoving, machine.PhaseRebooting, machine.PhaseFilling, machine.PhaseFailed,
	},
}

// Add takes the next event. It returns a *Violation or nil.
func (c *Pools) Add(e MaintenanceEvent) error {
	switch {
	case e.Instance != nil:
		old, known := c.instances[e.Instance.ID]
		c.instances[e.Instance.ID] = *e.Instance
		return c.record(e, old, known)
	case e.Deleted != "":
		delete(c.instances, e.Deleted)
	case e.Effect != nil:
		return c.effect(e, *e.Effect)
	}
	return nil
}

func (c *Pools) record(e MaintenanceEvent, old machine.Instance, known bool) error {
	next := *e.Instance
	if next.Pool == "" {
		return violation("I2", e.At, "%s is in no pool", next.ID)
	}
	if !known {
		return nil
	}
	if next.Epoch <= old.Epoch {
		return violation("I2", e.At, "%s goes from epoch %d to %d", next.ID, old.Epoch, next.Epoch)
	}
	if !slices.Contains(follows[next.Phase], old.Phase) {
		return violation("I2", e.At, "%s goes from %s to %s", next.ID, old.Phase, next.Phase)
	}
	if next.Pool == old.Pool {
		return nil
	}
	moved := old.Phase == machine.PhaseMoving && next.Phase == machine.PhaseFilling && old.Goal.Pool == next.Pool
	replaced := old.Phase == machine.PhaseFailed && next.Phase == machine.PhaseFailed
	repaired := old.Phase == machine.PhaseRebooting && next.Phase == machine.PhaseFilling && old.Goal.Kind == machine.GoalRepair
	if !moved && !replaced && !repaired {
		return violation("I2", e.At, "%s changes from pool %s to %s while %s", next.ID, old.Pool, next.Pool, old.Phase)
	}
	if !replaced && c.serving[next.ID] {
		return violation("I2", e.At, "%s changes from pool %s to %s while its machine serves", next.ID, old.Pool, next.Pool)
	}
	return nil
}

func (c *Pools) effect(e MaintenanceEvent, effect MachineEffect) error {
	switch effect.Kind {
	case "serving", "up":
		c.serving[effect.Machine] = true
	case "drain", "drained", "ready", "down":
		c.serving[effect.Machine] = false
	case "reboot":
		c.serving[effect.Machine] = false
		if effect.Cut {
			return violation("I10", e.At, "the reboot of %s cut off requests", effect.Machine)
		}
	case "fill":
		i, known := c.instances[effect.Machine]
		if known && effect.Operation == i.Epoch && effect.Pool != i.Pool {
			return violation("I2", e.At, "%s filled into %s while its record names %s", effect.Machine, effect.Pool, i.Pool)
		}
	}
	return nil
}
