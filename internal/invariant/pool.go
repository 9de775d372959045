package invariant

import (
	"slices"

	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// PoolChecker checks I2 and I10: each instance belongs to exactly one pool, and a
// planned stop interrupts no request.
//
//   - Every record names one pool, and its epoch only increases.
//   - The pool of an instance changes only in three cases: the instance joins the
//     pool that is the goal of its move, it is filled after a repair, or it is
//     failed. In the first two cases its machine is out of service.
//   - An instance enters a phase only from one of the phase's predecessors.
//   - A fill names the pool of the instance record with the same epoch.
//   - A reboot interrupts no running request.
type PoolChecker struct {
	instances map[string]machine.Instance
	serving   map[string]bool
}

// NewPoolChecker returns a checker that starts with an empty fleet.
func NewPoolChecker() *PoolChecker {
	return &PoolChecker{instances: make(map[string]machine.Instance), serving: make(map[string]bool)}
}

// predecessors lists the phases that may precede each phase. It does not share
// code with the state machine that it checks.
var predecessors = map[machine.Phase][]machine.Phase{
	machine.PhaseServing:   {machine.PhaseFilling, machine.PhaseServing},
	machine.PhaseDraining:  {machine.PhaseServing},
	machine.PhaseMoving:    {machine.PhaseDraining},
	machine.PhaseRebooting: {machine.PhaseDraining, machine.PhaseFailed},
	machine.PhaseFilling:   {machine.PhaseDraining, machine.PhaseMoving, machine.PhaseRebooting, machine.PhaseFailed},
	machine.PhaseFailed: {
		machine.PhaseServing, machine.PhaseDraining, machine.PhaseMoving, machine.PhaseRebooting, machine.PhaseFilling, machine.PhaseFailed,
	},
}

// Add checks the next event. It returns a *Violation or nil.
func (c *PoolChecker) Add(e MaintenanceEvent) error {
	switch {
	case e.Instance != nil:
		old, known := c.instances[e.Instance.ID]
		c.instances[e.Instance.ID] = *e.Instance
		return c.checkRecord(e, old, known)
	case e.Deleted != "":
		delete(c.instances, e.Deleted)
	case e.Effect != nil:
		return c.checkEffect(e, *e.Effect)
	}
	return nil
}

// checkRecord checks a written instance record against the previous one.
func (c *PoolChecker) checkRecord(e MaintenanceEvent, old machine.Instance, known bool) error {
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
	if !slices.Contains(predecessors[next.Phase], old.Phase) {
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

// checkEffect records whether the machine serves, and checks reboots and fills.
func (c *PoolChecker) checkEffect(e MaintenanceEvent, effect MachineEffect) error {
	switch effect.Kind {
	case "serving", "up":
		c.serving[effect.Machine] = true
	case "drain", "drained", "ready", "down":
		c.serving[effect.Machine] = false
	case "reboot":
		c.serving[effect.Machine] = false
		if effect.Interrupted {
			return violation("I10", e.At, "reboot of %s interrupted running requests", effect.Machine)
		}
	case "fill":
		i, known := c.instances[effect.Machine]
		if known && effect.Operation == i.Epoch && effect.Pool != i.Pool {
			return violation("I2", e.At, "%s filled into %s while its record names %s", effect.Machine, effect.Pool, i.Pool)
		}
	}
	return nil
}
