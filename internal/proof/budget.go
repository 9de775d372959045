package proof

import (
	"fmt"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// MachineEffect is one effect on a machine as it happened.
type MachineEffect struct {
	Machine string
	// Kind is drain, drained, reboot, ready, fill, serving, down or up.
	Kind string
	Pool string
	// Operation is the number of the command that caused the effect, 0 for none.
	Operation uint64
	// Cut is true for a reboot that cut off running requests.
	Cut bool
}

// MaintenanceEvent is one event of a maintenance trace. Exactly one of the
// fields besides At is set.
type MaintenanceEvent struct {
	At time.Time
	// Instance is a record that was written.
	Instance *machine.Instance
	// Deleted is the id of a record that was deleted.
	Deleted string
	// Budget is a budget record that was written.
	Budget *contract.BudgetRecord
	Effect *MachineEffect
}

// Violation is a broken invariant.
type Violation struct {
	Invariant string
	At        time.Time
	What      string
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("%s violated at %s: %s", v.Invariant, v.At.Format(time.RFC3339), v.What)
}

// Budgets checks I1: every service's availability budget holds.
//
//   - A planned drain takes effect only on an instance that every service of its
//     pool has charged.
//   - A planned charge leaves at least the minimum of members available.
//   - A charge is released only when the instance is gone, in another pool, or
//     serving and seen healthy.
//   - A moved instance is charged by every service of its new pool when it joins.
//   - At a planned drain the minimum of members besides the drained one is in
//     service in truth, except for failures younger than Blind. A change of the
//     minimum or of the data centres out counts after settingsNotice.
type Budgets struct {
	// Blind is how long a failure may stay unknown to the planner.
	Blind     time.Duration
	instances map[string]machine.Instance
	budgets   map[string]contract.BudgetRecord
	// earlier holds each budget as it was before its settings last changed.
	earlier map[string]earlierBudget
	// downSince holds since when a machine is not in service; zero while it is.
	downSince map[string]time.Time
	// failed holds the machines that are out of service without a command.
	failed map[string]bool
}

// settingsNotice is how long a drain whose record is written may still begin
// after the settings of a budget changed: the command follows in the next plan.
const settingsNotice = 5 * time.Second

type earlierBudget struct {
	record contract.BudgetRecord
	until  time.Time
}

// NewBudgets returns a checker of an empty fleet.
func NewBudgets(blind time.Duration) *Budgets {
	return &Budgets{
		Blind:     blind,
		instances: make(map[string]machine.Instance),
		budgets:   make(map[string]contract.BudgetRecord),
		earlier:   make(map[string]earlierBudget),
		downSince: make(map[string]time.Time),
		failed:    make(map[string]bool),
	}
}

// Add takes the next event. It returns a *Violation or nil.
func (c *Budgets) Add(e MaintenanceEvent) error {
	switch {
	case e.Instance != nil:
		old := c.instances[e.Instance.ID]
		c.instances[e.Instance.ID] = *e.Instance
		return c.joined(e.At, old, *e.Instance)
	case e.Deleted != "":
		delete(c.instances, e.Deleted)
	case e.Budget != nil:
		return c.budget(e.At, *e.Budget)
	case e.Effect != nil:
		return c.effect(e.At, *e.Effect)
	}
	return nil
}

func (c *Budgets) joined(at time.Time, old, next machine.Instance) error {
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
	return &Violation{Invariant: invariant, At: at, What: fmt.Sprintf(format, args...)}
}

func (c *Budgets) budget(at time.Time, next contract.BudgetRecord) error {
	old := c.budgets[next.Service]
	c.budgets[next.Service] = next
	if old.Service != "" && (old.MinAvailable != next.MinAvailable || !slices.Equal(old.Out, next.Out)) {
		c.earlier[next.Service] = earlierBudget{record: old, until: at.Add(settingsNotice)}
	}
	for id, charge := range old.Charges {
		if _, kept := next.Charges[id]; !kept {
			if err := c.released(at, next, id, charge); err != nil {
				return err
			}
		}
	}
	added := false
	for id, charge := range next.Charges {
		i := c.instances[id]
		takes := charge.Planned && i.Pool == next.Pool && i.Phase == machine.PhaseServing
		added = added || takes && old.Charges[id] != charge
	}
	if available := c.available(next); added && available < next.MinAvailable {
		return violation("I1", at, "budget %s: a planned charge leaves %d available, minimum %d", next.Service, available, next.MinAvailable)
	}
	return nil
}

// available counts the members that the records show in service.
func (c *Budgets) available(b contract.BudgetRecord) int {
	out := make(map[string]bool)
	for _, centre := range b.Out {
		out[centre] = true
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

func (c *Budgets) released(at time.Time, b contract.BudgetRecord, id string, charge contract.Charge) error {
	i, ok := c.instances[id]
	joins := i.Phase == machine.PhaseMoving && i.Goal.Pool == b.Pool
	if !ok || i.Pool != b.Pool && !joins {
		return nil
	}
	if i.Phase != machine.PhaseServing || i.Epoch <= charge.Epoch {
		return violation("I1", at, "budget %s: charge of %s released while it is %s at epoch %d, charged at %d",
			b.Service, id, i.Phase, i.Epoch, charge.Epoch)
	}
	if since := c.downSince[id]; !since.IsZero() && at.Sub(since) > c.Blind {
		return violation("I1", at, "budget %s: charge of %s released %s after it went down", b.Service, id, at.Sub(since))
	}
	return nil
}

func (c *Budgets) effect(at time.Time, e MachineEffect) error {
	switch e.Kind {
	case "serving", "up":
		c.downSince[e.Machine] = time.Time{}
		c.failed[e.Machine] = false
	case "down":
		c.leave(e.Machine, at)
		c.failed[e.Machine] = true
	case "drain":
		wasUp := c.downSince[e.Machine].IsZero()
		c.leave(e.Machine, at)
		if i := c.instances[e.Machine]; wasUp && i.Phase != machine.PhaseFailed {
			return c.planned(at, i, e)
		}
	case "reboot":
		c.leave(e.Machine, at)
	}
	return nil
}

func (c *Budgets) leave(id string, at time.Time) {
	if c.downSince[id].IsZero() {
		c.downSince[id] = at
	}
}

// planned checks the drain of an instance that was in service.
func (c *Budgets) planned(at time.Time, i machine.Instance, e MachineEffect) error {
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
		earlier := c.earlier[service]
		if at.Before(earlier.until) && c.inService(earlier.record, at) >= earlier.record.MinAvailable {
			continue
		}
		if up := c.inService(b, at); up < b.MinAvailable {
			return violation("I1", at, "%s drained while %d members of %s are in service, minimum %d", i.ID, up, b.Pool, b.MinAvailable)
		}
	}
	return nil
}

// inService counts the members that serve in truth. A failure that the planner
// cannot know yet counts as in service.
func (c *Budgets) inService(b contract.BudgetRecord, at time.Time) int {
	out := make(map[string]bool)
	for _, centre := range b.Out {
		out[centre] = true
	}
	n := 0
	for id, i := range c.instances {
		if i.Pool != b.Pool || out[i.DataCentre] {
			continue
		}
		since := c.downSince[id]
		if since.IsZero() || c.failed[id] && at.Sub(since) <= c.Blind {
			n++
		}
	}
	return n
}
