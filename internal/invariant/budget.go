package invariant

import (
	"fmt"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// MachineEffect is one command to a machine or one change of its state, as
// observed at the machine.
type MachineEffect struct {
	Machine string
	// Kind is drain, reboot or fill for a command, and drained, ready, serving,
	// down or up for a state change.
	Kind string
	Pool string
	// Operation is the operation number of the command, 0 for a state change.
	Operation uint64
	// Interrupted is true for a reboot that interrupted running requests.
	Interrupted bool
}

// MaintenanceEvent is one event of a maintenance trace. Exactly one of the
// fields besides At is set.
type MaintenanceEvent struct {
	At time.Time
	// Instance is an instance record that was written.
	Instance *machine.Instance
	// Deleted is the id of an instance whose record was deleted.
	Deleted string
	// Budget is a budget record that was written.
	Budget *contract.BudgetRecord
	Effect *MachineEffect
}

// Violation is an event that violates an invariant, such as "I1".
type Violation struct {
	Invariant string
	At        time.Time
	Detail    string
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("%s violated at %s: %s", v.Invariant, v.At.Format(time.RFC3339), v.Detail)
}

// BudgetChecker checks I1: planned disruption respects the availability budget of
// every service.
//
//   - A planned drain takes effect only on an instance that every service of its
//     pool has charged.
//   - After a planned charge, at least the minimum number of members is
//     available according to the records.
//   - A charge is released only if the record of the instance was deleted, if the
//     instance is in another pool and not moving into this one, or if it is
//     serving again and its machine has not been down for longer than
//     MaxDetectionDelay.
//   - An instance that moves is charged by every service of its new pool when it
//     joins.
//   - At a planned drain, at least the minimum number of members besides the
//     drained one is actually in service. A failure counts only after
//     MaxDetectionDelay; a change of the minimum or of the data centres taken out
//     counts only after settingsGrace.
type BudgetChecker struct {
	// MaxDetectionDelay is how long a failure may go undetected by the planner.
	MaxDetectionDelay time.Duration
	instances         map[string]machine.Instance
	budgets           map[string]contract.BudgetRecord
	// previous holds each budget as it was before its settings last changed.
	previous map[string]previousBudget
	// downSince holds the time since which a machine has been out of service,
	// zero while it is in service.
	downSince map[string]time.Time
	// failed marks the machines that went out of service without a command.
	failed map[string]bool
}

// settingsGrace is how long after a change of a budget's settings a drain may
// begin under the previous settings. The planner writes the record of a drain
// first and sends its command with the next plan.
const settingsGrace = 5 * time.Second

// previousBudget is a budget with the end of its settingsGrace.
type previousBudget struct {
	record contract.BudgetRecord
	until  time.Time
}

// NewBudgetChecker returns a checker that starts with an empty fleet.
func NewBudgetChecker(maxDetectionDelay time.Duration) *BudgetChecker {
	return &BudgetChecker{
		MaxDetectionDelay: maxDetectionDelay,
		instances:         make(map[string]machine.Instance),
		budgets:           make(map[string]contract.BudgetRecord),
		previous:          make(map[string]previousBudget),
		downSince:         make(map[string]time.Time),
		failed:            make(map[string]bool),
	}
}

// Add checks the next event. It returns a *Violation or nil.
func (c *BudgetChecker) Add(e MaintenanceEvent) error {
	switch {
	case e.Instance != nil:
		old := c.instances[e.Instance.ID]
		c.instances[e.Instance.ID] = *e.Instance
		return c.checkJoin(e.At, old, *e.Instance)
	case e.Deleted != "":
		delete(c.instances, e.Deleted)
	case e.Budget != nil:
		return c.checkBudget(e.At, *e.Budget)
	case e.Effect != nil:
		return c.checkEffect(e.At, *e.Effect)
	}
	return nil
}

// checkJoin checks that an instance that joins a new pool is charged there.
func (c *BudgetChecker) checkJoin(at time.Time, old, next machine.Instance) error {
	if old.Phase != machine.PhaseMoving || next.Phase != machine.PhaseFilling {
		return nil
	}
	for service, b := range c.budgets {
		if _, charged := b.Charges[next.ID]; b.Pool == next.Pool && !charged {
			return violation("I1", at, "%s joins %s without a charge of %s", next.ID, next.Pool, service)
		}
	}
	return nil
}

func violation(invariant string, at time.Time, format string, args ...any) error {
	return &Violation{Invariant: invariant, At: at, Detail: fmt.Sprintf(format, args...)}
}

// checkBudget checks the charges that a written budget adds and releases.
func (c *BudgetChecker) checkBudget(at time.Time, next contract.BudgetRecord) error {
	old := c.budgets[next.Service]
	c.budgets[next.Service] = next
	if old.Service != "" && (old.MinAvailable != next.MinAvailable || !slices.Equal(old.Out, next.Out)) {
		c.previous[next.Service] = previousBudget{record: old, until: at.Add(settingsGrace)}
	}
	for id, charge := range old.Charges {
		if _, kept := next.Charges[id]; !kept {
			if err := c.checkRelease(at, next, id, charge); err != nil {
				return err
			}
		}
	}
	added := false
	for id, charge := range next.Charges {
		i := c.instances[id]
		reduces := charge.Planned && i.Pool == next.Pool && i.Phase == machine.PhaseServing
		added = added || reduces && old.Charges[id] != charge
	}
	if available := c.countAvailable(next); added && available < next.MinAvailable {
		return violation("I1", at, "budget %s: a planned charge leaves %d available, minimum %d", next.Service, available, next.MinAvailable)
	}
	return nil
}

// countAvailable returns the number of members that are available according to
// the records.
func (c *BudgetChecker) countAvailable(b contract.BudgetRecord) int {
	out := make(map[string]bool)
	for _, dataCentre := range b.Out {
		out[dataCentre] = true
	}
	n := 0
	for id, i := range c.instances {
		_, charged := b.Charges[id]
		if i.Pool == b.Pool && i.Phase == machine.PhaseServing && !charged && !out[i.DataCentre] {
			n++
		}
	}
	return n
}

// checkRelease checks the release of one charge.
func (c *BudgetChecker) checkRelease(at time.Time, b contract.BudgetRecord, id string, charge contract.Charge) error {
	i, ok := c.instances[id]
	joins := i.Phase == machine.PhaseMoving && i.Goal.Pool == b.Pool
	if !ok || i.Pool != b.Pool && !joins {
		return nil
	}
	if i.Phase != machine.PhaseServing || i.Epoch <= charge.Epoch {
		return violation("I1", at, "budget %s: charge of %s released while it is %s at epoch %d, charged at %d",
			b.Service, id, i.Phase, i.Epoch, charge.Epoch)
	}
	if since := c.downSince[id]; !since.IsZero() && at.Sub(since) > c.MaxDetectionDelay {
		return violation("I1", at, "budget %s: charge of %s released %s after it went down", b.Service, id, at.Sub(since))
	}
	return nil
}

// checkEffect records whether the machine is in service, and checks drains.
func (c *BudgetChecker) checkEffect(at time.Time, e MachineEffect) error {
	switch e.Kind {
	case "serving", "up":
		c.downSince[e.Machine] = time.Time{}
		c.failed[e.Machine] = false
	case "down":
		c.markOutOfService(e.Machine, at)
		c.failed[e.Machine] = true
	case "drain":
		wasUp := c.downSince[e.Machine].IsZero()
		c.markOutOfService(e.Machine, at)
		if i := c.instances[e.Machine]; wasUp && i.Phase != machine.PhaseFailed {
			return c.checkPlannedDrain(at, i, e)
		}
	case "reboot":
		c.markOutOfService(e.Machine, at)
	}
	return nil
}

func (c *BudgetChecker) markOutOfService(id string, at time.Time) {
	if c.downSince[id].IsZero() {
		c.downSince[id] = at
	}
}

// checkPlannedDrain checks the drain of an instance that was in service.
func (c *BudgetChecker) checkPlannedDrain(at time.Time, i machine.Instance, e MachineEffect) error {
	if i.Phase != machine.PhaseDraining || e.Operation != 0 && e.Operation != i.Epoch {
		return violation("I1", at, "%s drained by operation %d while its record is %s at epoch %d", e.Machine, e.Operation, i.Phase, i.Epoch)
	}
	for service, b := range c.budgets {
		if b.Pool != i.Pool {
			continue
		}
		if _, charged := b.Charges[i.ID]; !charged {
			return violation("I1", at, "%s drained without a charge of %s", i.ID, service)
		}
		previous := c.previous[service]
		if at.Before(previous.until) && c.countInService(previous.record, at) >= previous.record.MinAvailable {
			continue
		}
		if up := c.countInService(b, at); up < b.MinAvailable {
			return violation("I1", at, "%s drained while %d members of %s are in service, minimum %d", i.ID, up, b.Pool, b.MinAvailable)
		}
	}
	return nil
}

// countInService returns the number of members that are actually in service. A
// member that failed within MaxDetectionDelay counts as in service, because the
// planner may not have detected the failure yet.
func (c *BudgetChecker) countInService(b contract.BudgetRecord, at time.Time) int {
	out := make(map[string]bool)
	for _, dataCentre := range b.Out {
		out[dataCentre] = true
	}
	n := 0
	for id, i := range c.instances {
		if i.Pool != b.Pool || out[i.DataCentre] {
			continue
		}
		since := c.downSince[id]
		if since.IsZero() || c.failed[id] && at.Sub(since) <= c.MaxDetectionDelay {
			n++
		}
	}
	return n
}
