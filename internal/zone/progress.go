package zone

import (
	"fmt"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// progress takes every instance one step further in what its record says.
func (p *planning) progress() {
	for _, i := range p.list {
		o := p.Observed[i.ID]
		switch i.Phase {
		case machine.PhaseServing:
			p.serving(i, o)
		case machine.PhaseDraining:
			p.draining(i, o)
		case machine.PhaseMoving:
			p.moving(i, o)
		case machine.PhaseRebooting:
			p.rebooting(i, o)
		case machine.PhaseFilling:
			p.filling(i, o)
		case machine.PhaseFailed:
			p.failed(i, o)
		}
	}
}

// serving detects a failure. While planned disruption is held the view may be
// wrong, so a failure must last for the grace period. A data centre that is out
// counts as unavailable as a whole; its members are not judged.
func (p *planning) serving(i *machine.Instance, o machine.Observed) {
	after := p.Limits.DetectAfter
	if p.plan.Hold != "" {
		after = p.Limits.Grace
	}
	if p.Out[i.DataCentre] || !p.passed(o.DownSince(), after) {
		return
	}
	p.write(StepFail, i.Fail(p.now, "not healthy for "+after.String()), seenFacts(o)...)
}

func seenFacts(o machine.Observed) []Fact {
	return []Fact{{"state", string(o.State)}, {"healthy", fmt.Sprint(o.Healthy)}, {"missing", fmt.Sprint(o.Missing)}}
}

// lost reports whether an instance that is on its way out failed.
func (p *planning) lost(i *machine.Instance, o machine.Observed) bool {
	if !p.passed(o.BadSince, p.Limits.DetectAfter) {
		return false
	}
	p.write(StepFail, i.Fail(p.now, "failed while "+string(i.Phase)), seenFacts(o)...)
	return true
}

func (p *planning) draining(i *machine.Instance, o machine.Observed) {
	switch {
	case p.lost(i, o):
	case o.Took(i.Epoch) && o.State == machine.MachineDrained:
		p.drained(i)
	case !o.Took(i.Epoch) && p.short(i.Pool):
		p.write(StepRecall, i.Recall(p.now, "a service has too few instances for the drain"))
	case p.passed(i.Since, p.Limits.DrainTimeout):
		p.write(StepGiveUp, i.GiveUp(p.now, "drain not finished after "+p.Limits.DrainTimeout.String()))
	default:
		p.command(i, o, "drain for "+string(i.Goal.Kind))
	}
}

// short reports whether a service of the pool has fewer instances available than
// its minimum.
func (p *planning) short(pool string) bool {
	return slices.ContainsFunc(p.budgets[pool], (*contract.Budget).Short)
}

func (p *planning) drained(i *machine.Instance) {
	if i.Goal.Kind == machine.GoalMove {
		p.write(StepMove, i.To(machine.PhaseMoving, p.now, "drained, moves to "+i.Goal.Pool))
		return
	}
	p.write(StepReboot, i.Reboot(p.now, "drained"))
}

// moving swaps the pool once every service of the new pool counts the instance,
// so that it is never taken for an available member before it is healthy.
func (p *planning) moving(i *machine.Instance, o machine.Observed) {
	if p.lost(i, o) {
		return
	}
	for _, b := range p.budgets[i.Goal.Pool] {
		c, ok := p.Budgets[b.Record.Service].Charges[i.ID]
		if !ok || c.Epoch != i.Epoch {
			return
		}
	}
	p.write(StepSwap, i.Join(p.now, "moved from "+i.Pool), Fact{"from", i.Pool}, Fact{"to", i.Goal.Pool})
}

func (p *planning) rebooting(i *machine.Instance, o machine.Observed) {
	switch {
	case o.Took(i.Epoch) && o.State == machine.MachineReady && o.Healthy:
		p.write(StepFill, i.Refill(p.poolAfterRepair(i), p.now, "rebooted"), Fact{"pool", i.Pool})
	case p.passed(i.Since, p.Limits.BootTimeout):
		p.write(StepFail, i.Fail(p.now, "not back "+p.Limits.BootTimeout.String()+" after its reboot"), seenFacts(o)...)
	default:
		p.command(i, o, "reboot for "+string(i.Goal.Kind))
	}
}

func (p *planning) filling(i *machine.Instance, o machine.Observed) {
	switch {
	case o.Took(i.Epoch) && o.Up() && o.Pool == i.Pool:
		p.write(StepServe, i.Serve(p.now, "seen healthy"))
	case p.passed(i.Since, p.Limits.FillTimeout):
		p.write(StepFail, i.Fail(p.now, "not in service "+p.Limits.FillTimeout.String()+" after its fill"), seenFacts(o)...)
	default:
		p.command(i, o, "fill into "+i.Pool)
	}
}

// poolAfterRepair returns the pool that a rebooted instance fills: the spare
// pool when the instance was replaced meanwhile.
func (p *planning) poolAfterRepair(i *machine.Instance) string {
	pool := p.pool(i.Pool)
	if i.Goal.Kind != machine.GoalRepair || pool.Surplus(p.borrow(pool)) <= p.reassigned[i.Pool] {
		return i.Pool
	}
	p.reassigned[i.Pool]++
	return pool.Spare
}

// failed brings an instance back: at once when it is healthy by itself, else by
// a reboot within the limits of repair.
func (p *planning) failed(i *machine.Instance, o machine.Observed) {
	switch {
	case o.Up() || o.Took(i.Epoch) && o.Healthy:
		p.write(StepFill, i.To(machine.PhaseFilling, p.now, "came back by itself"))
	case o.Idle() && (i.Attempts == 0 || p.passed(i.Since, p.patience(i))):
		p.write(StepFill, i.To(machine.PhaseFilling, p.now, "healthy and not in service"))
	case o.Missing && p.passed(i.Since, p.Limits.RetireAfter):
		p.touched[i.ID] = true
		p.plan.Steps = append(p.plan.Steps, Step{
			Kind: StepRetire, Subject: i.ID, Revision: i.Revision, Reason: "not listed for " + p.Limits.RetireAfter.String(),
		})
	case !o.Missing:
		p.repair(i, o)
	}
}

// repair drains a failed instance and reboots it once the answer to the drain
// shows that it is still unhealthy.
func (p *planning) repair(i *machine.Instance, o machine.Observed) {
	if p.Out[i.DataCentre] || i.Attempts >= p.Limits.MaxAttempts || !p.passed(i.Since, p.patience(i)) {
		return
	}
	if o.Took(i.Epoch) {
		p.write(StepReboot, i.Reboot(p.now, "repair"), seenFacts(o)...)
		return
	}
	if !p.inRepair(i, o) {
		if p.repairs >= max(1, len(p.Instances)*p.Limits.RepairPercent/100) {
			p.refuse(i.ID, "other repairs are under way", Fact{"repairs", fmt.Sprint(p.repairs)})
			return
		}
		if p.rackRepairs[i.Domain()] > 0 && p.correlated(i) {
			p.refuse(i.ID, "another repair in the rack is under way", Fact{"rack", i.Domain()})
			return
		}
		p.repairs++
		p.rackRepairs[i.Domain()]++
	}
	p.command(i, o, "drain before repair")
}

// correlated reports whether the failure is one of several in a rack or data
// centre, or planned disruption is held.
func (p *planning) correlated(i *machine.Instance) bool {
	centre := i.DataCentre
	return p.plan.Hold != "" ||
		p.rackDown[i.Domain()] >= p.Limits.RackFailures ||
		p.centreDown[centre] >= p.Limits.HoldCount && p.centreDown[centre]*100 >= p.centreSize[centre]*p.Limits.CentrePercent
}

// maxDoublings bounds the pause between repairs, to 32 times the grace period.
const maxDoublings = 5

// patience is how long a failed instance is left alone before its repair. It
// doubles with every attempt that did not help.
func (p *planning) patience(i *machine.Instance) time.Duration {
	if i.Attempts > 0 {
		return p.Limits.Grace << min(i.Attempts-1, maxDoublings)
	}
	if p.correlated(i) {
		return p.Limits.Grace
	}
	return 0
}

// replaceable reports whether an instance that failed is to be replaced from the
// spare pool.
func (p *planning) replaceable(i *machine.Instance) bool {
	repaired := i.Phase == machine.PhaseRebooting && i.Goal.Kind == machine.GoalRepair
	if i.Phase != machine.PhaseFailed && !repaired || p.Out[i.DataCentre] {
		return false
	}
	return !p.correlated(i) || p.passed(i.FailedAt, p.Limits.Grace)
}
