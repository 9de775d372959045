package zone

import (
	"fmt"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// advance plans the next step of every instance in the phase that its record
// states.
func (p *maintenancePlanner) advance() {
	for _, i := range p.sortedInstances {
		o := p.Observed[i.ID]
		switch i.Phase {
		case machine.PhaseServing:
			p.advanceServing(i, o)
		case machine.PhaseDraining:
			p.advanceDraining(i, o)
		case machine.PhaseMoving:
			p.advanceMoving(i, o)
		case machine.PhaseRebooting:
			p.advanceRebooting(i, o)
		case machine.PhaseFilling:
			p.advanceFilling(i, o)
		case machine.PhaseFailed:
			p.advanceFailed(i, o)
		}
	}
}

// advanceServing records the failure of an instance that was unhealthy or not
// in service for DetectAfter. While planned disruption is suspended the
// observations may be wrong, so the time is Grace instead. In a data centre
// that is out of service, all members count as unavailable and no failures are
// detected.
func (p *maintenancePlanner) advanceServing(i *machine.Instance, o machine.Observed) {
	detectAfter := p.Limits.DetectAfter
	if p.plan.Hold != "" {
		detectAfter = p.Limits.Grace
	}
	if p.Out[i.DataCentre] || !p.elapsed(o.DownSince(), detectAfter) {
		return
	}
	p.writeInstance(StepFail, i.Fail(p.now, "not healthy for "+detectAfter.String()), observationFacts(o)...)
}

func observationFacts(o machine.Observed) []Fact {
	return []Fact{{"state", string(o.State)}, {"healthy", fmt.Sprint(o.Healthy)}, {"missing", fmt.Sprint(o.Missing)}}
}

// failIfUnhealthy records the failure of an instance that was unhealthy for
// DetectAfter during a drain or move, and reports whether it did.
func (p *maintenancePlanner) failIfUnhealthy(i *machine.Instance, o machine.Observed) bool {
	if !p.elapsed(o.UnhealthySince, p.Limits.DetectAfter) {
		return false
	}
	p.writeInstance(StepFail, i.Fail(p.now, "failed while "+string(i.Phase)), observationFacts(o)...)
	return true
}

func (p *maintenancePlanner) advanceDraining(i *machine.Instance, o machine.Observed) {
	switch {
	case p.failIfUnhealthy(i, o):
	case o.ReflectsCommand(i.Epoch) && o.State == machine.MachineDrained:
		p.afterDrain(i)
	case !o.ReflectsCommand(i.Epoch) && p.belowMinimum(i.Pool):
		p.writeInstance(StepRecall, i.Recall(p.now, "a service has too few instances for the drain"))
	case p.elapsed(i.Since, p.Limits.DrainTimeout):
		p.writeInstance(StepGiveUp, i.AbandonDrain(p.now, "drain not finished after "+p.Limits.DrainTimeout.String()))
	default:
		p.sendCommand(i, o, "drain for "+string(i.Goal.Kind))
	}
}

// belowMinimum reports whether a service of the pool has fewer available
// instances than its budget requires.
func (p *maintenancePlanner) belowMinimum(pool string) bool {
	return slices.ContainsFunc(p.budgets[pool], (*contract.Budget).Short)
}

func (p *maintenancePlanner) afterDrain(i *machine.Instance) {
	if i.Goal.Kind == machine.GoalMove {
		p.writeInstance(StepMove, i.To(machine.PhaseMoving, p.now, "drained, moves to "+i.Goal.Pool))
		return
	}
	p.writeInstance(StepReboot, i.Reboot(p.now, "drained"))
}

// advanceMoving advances an instance in the phase moving: it changes the pool
// once the disruption budget of every service of the new pool counts the
// instance as unavailable. Otherwise the instance would count as available there
// before it is healthy.
func (p *maintenancePlanner) advanceMoving(i *machine.Instance, o machine.Observed) {
	if p.failIfUnhealthy(i, o) {
		return
	}
	for _, b := range p.budgets[i.Goal.Pool] {
		c, ok := p.Budgets[b.Record.Service].Charges[i.ID]
		if !ok || c.Epoch != i.Epoch {
			return
		}
	}
	p.writeInstance(StepSwap, i.Join(p.now, "moved from "+i.Pool), Fact{"from", i.Pool}, Fact{"to", i.Goal.Pool})
}

func (p *maintenancePlanner) advanceRebooting(i *machine.Instance, o machine.Observed) {
	switch {
	case o.ReflectsCommand(i.Epoch) && o.State == machine.MachineReady && o.Healthy:
		p.writeInstance(StepFill, i.Refill(p.poolAfterRepair(i), p.now, "rebooted"), Fact{"pool", i.Pool})
	case p.elapsed(i.Since, p.Limits.BootTimeout):
		p.writeInstance(StepFail, i.Fail(p.now, "not back "+p.Limits.BootTimeout.String()+" after its reboot"), observationFacts(o)...)
	default:
		p.sendCommand(i, o, "reboot for "+string(i.Goal.Kind))
	}
}

func (p *maintenancePlanner) advanceFilling(i *machine.Instance, o machine.Observed) {
	switch {
	case o.ReflectsCommand(i.Epoch) && o.Up() && o.Pool == i.Pool:
		p.writeInstance(StepServe, i.Serve(p.now, "seen healthy"))
	case p.elapsed(i.Since, p.Limits.FillTimeout):
		p.writeInstance(StepFail, i.Fail(p.now, "not in service "+p.Limits.FillTimeout.String()+" after its fill"), observationFacts(o)...)
	default:
		p.sendCommand(i, o, "fill into "+i.Pool)
	}
}

// poolAfterRepair returns the pool that a rebooted instance joins: the spare
// pool if the instance was replaced in the meantime.
func (p *maintenancePlanner) poolAfterRepair(i *machine.Instance) string {
	pool := p.lookupPool(i.Pool)
	if i.Goal.Kind != machine.GoalRepair || pool.Surplus(p.extraMembers(pool)) <= p.reassigned[i.Pool] {
		return i.Pool
	}
	p.reassigned[i.Pool]++
	return pool.Spare
}

// advanceFailed returns an instance to service: immediately if it recovered by
// itself, otherwise through a reboot that the limits on repairs permit.
func (p *maintenancePlanner) advanceFailed(i *machine.Instance, o machine.Observed) {
	switch {
	case o.Up() || o.ReflectsCommand(i.Epoch) && o.Healthy:
		p.writeInstance(StepFill, i.To(machine.PhaseFilling, p.now, "came back by itself"))
	case o.Idle() && (i.Attempts == 0 || p.elapsed(i.Since, p.repairDelay(i))):
		p.writeInstance(StepFill, i.To(machine.PhaseFilling, p.now, "healthy and not in service"))
	case o.Missing && p.elapsed(i.Since, p.Limits.RetireAfter):
		p.touched[i.ID] = true
		p.plan.Steps = append(p.plan.Steps, MaintenanceStep{
			Kind: StepRetire, Subject: i.ID, Revision: i.Revision, Reason: "not listed for " + p.Limits.RetireAfter.String(),
		})
	case !o.Missing:
		p.repair(i, o)
	}
}

// repair drains a failed instance, and reboots it once an observation made
// after the drain shows that it is still unhealthy.
func (p *maintenancePlanner) repair(i *machine.Instance, o machine.Observed) {
	if p.Out[i.DataCentre] || i.Attempts >= p.Limits.MaxAttempts || !p.elapsed(i.Since, p.repairDelay(i)) {
		return
	}
	if o.ReflectsCommand(i.Epoch) {
		p.writeInstance(StepReboot, i.Reboot(p.now, "repair"), observationFacts(o)...)
		return
	}
	if !p.inRepair(i, o) {
		if p.repairs >= max(1, len(p.Instances)*p.Limits.RepairPercent/100) {
			p.refuse(i.ID, "other repairs are under way", Fact{"repairs", fmt.Sprint(p.repairs)})
			return
		}
		if p.repairsInRack[i.Domain()] > 0 && p.correlated(i) {
			p.refuse(i.ID, "another repair in the rack is under way", Fact{"rack", i.Domain()})
			return
		}
		p.repairs++
		p.repairsInRack[i.Domain()]++
	}
	p.sendCommand(i, o, "drain before repair")
}

// correlated reports whether the failure is one of several in a rack or data
// centre, or planned disruption is suspended.
func (p *maintenancePlanner) correlated(i *machine.Instance) bool {
	dataCentre := i.DataCentre
	return p.plan.Hold != "" ||
		p.failedInRack[i.Domain()] >= p.Limits.RackFailures ||
		p.failedInDataCentre[dataCentre] >= p.Limits.HoldCount && p.failedInDataCentre[dataCentre]*100 >= p.dataCentreSize[dataCentre]*p.Limits.CentrePercent
}

// maxRepairDelayDoublings bounds the delay between repairs to 32 grace periods.
const maxRepairDelayDoublings = 5

// repairDelay is the time from a failure to its repair. It doubles with each
// repair that failed.
func (p *maintenancePlanner) repairDelay(i *machine.Instance) time.Duration {
	if i.Attempts > 0 {
		return p.Limits.Grace << min(i.Attempts-1, maxRepairDelayDoublings)
	}
	if p.correlated(i) {
		return p.Limits.Grace
	}
	return 0
}

// replaceable reports whether the instance has failed and may be replaced from
// the spare pool.
func (p *maintenancePlanner) replaceable(i *machine.Instance) bool {
	inReboot := i.Phase == machine.PhaseRebooting && i.Goal.Kind == machine.GoalRepair
	if i.Phase != machine.PhaseFailed && !inReboot || p.Out[i.DataCentre] {
		return false
	}
	return !p.correlated(i) || p.elapsed(i.FailedAt, p.Limits.Grace)
}
