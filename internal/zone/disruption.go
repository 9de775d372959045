package zone

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// planDisruption plans the voluntary stops: operators' moves, returns of
// surplus instances, replacements from the spare pool, and waves.
func (p *maintenancePlanner) planDisruption() {
	if p.plan.Hold != "" {
		return
	}
	p.planMoves()
	for _, name := range slices.Sorted(maps.Keys(p.Pools)) {
		p.balancePool(p.lookupPool(name))
	}
	for _, name := range slices.Sorted(maps.Keys(p.Waves)) {
		if w := p.Waves[name]; w.State == machine.WaveRunning {
			p.planWave(&w)
		}
	}
}

func (p *maintenancePlanner) lookupPool(name string) *machine.Pool {
	order := p.Pools[name]
	return &machine.Pool{Name: name, Spare: order.Spare, Target: order.Target, Members: p.members[name]}
}

// planStop plans the drain of a serving instance. It charges every service of
// the pool first; a later plan starts the drain once all charges are read back
// from the records. It reports whether the stop proceeds.
func (p *maintenancePlanner) planStop(i *machine.Instance, goal machine.Goal, reason string) bool {
	if p.activeStops[i.ID] || p.touched[i.ID] || !p.stoppable(i) {
		return false
	}
	budgets := p.budgets[i.Pool]
	charged := 0
	for _, b := range budgets {
		switch b.CheckPlanned(i.ID, i.Epoch) {
		case contract.ChargeForbidden:
			p.refuse(i.ID, "the budget of "+b.Record.Service+" forbids a "+string(goal.Kind), budgetFacts(b)...)
			return false
		case contract.ChargeHeld:
			charged++
		}
	}
	p.activeStops[i.ID] = true
	if charged == len(budgets) {
		p.writeInstance(StepDrain, i.Drain(goal, p.now, reason), p.allBudgetFacts(budgets)...)
		return true
	}
	for _, b := range budgets {
		if !b.ChargedAt(i.ID, i.Epoch) {
			b.ChargePlanned(i.ID, contract.Charge{Epoch: i.Epoch, Reason: reason, Planned: true, At: p.now})
		}
	}
	return true
}

// stoppable reports whether a planned stop of the instance may begin.
func (p *maintenancePlanner) stoppable(i *machine.Instance) bool {
	o, ok := p.Observed[i.ID]
	retryAllowed := i.DrainAbandonedAt.IsZero() || p.elapsed(i.DrainAbandonedAt, p.Limits.DrainRetryDelay)
	return ok && i.Phase == machine.PhaseServing && o.Up() && !p.Out[i.DataCentre] && retryAllowed
}

func (p *maintenancePlanner) allBudgetFacts(budgets []*contract.Budget) []Fact {
	var facts []Fact
	for _, b := range budgets {
		facts = append(facts, budgetFacts(b)...)
	}
	return facts
}

// hasCharge reports whether a budget record charges the serving instance in its
// current epoch.
func (p *maintenancePlanner) hasCharge(i *machine.Instance) bool {
	for _, b := range p.budgets[i.Pool] {
		c, ok := p.Budgets[b.Record.Service].Charges[i.ID]
		if ok && c.Epoch == i.Epoch && i.Phase == machine.PhaseServing {
			return true
		}
	}
	return false
}

// cancelStops rolls back stops that were charged, in part or in full, and are
// no longer wanted or allowed. The instance record gets a higher epoch first; a
// later plan releases the charges.
func (p *maintenancePlanner) cancelStops() {
	for _, i := range p.sortedInstances {
		if !p.activeStops[i.ID] && !p.touched[i.ID] && p.hasCharge(i) {
			p.writeInstance(StepCancel, i.Cancel(p.now, "charged stop is no longer wanted or allowed"))
		}
	}
}

// planMoves plans the moves that operators ordered.
func (p *maintenancePlanner) planMoves() {
	for _, id := range slices.Sorted(maps.Keys(p.Moves)) {
		order := p.Moves[id]
		i, ok := p.Instances[id]
		if ok && i.Pool != order.Pool {
			p.planStop(&i, machine.Goal{Kind: machine.GoalMove, Pool: order.Pool}, "move to "+order.Pool+" ordered by "+order.Author)
		}
	}
}

// balancePool replaces failed members from the spare pool and returns surplus
// members to it.
func (p *maintenancePlanner) balancePool(pool *machine.Pool) {
	if pool.Spare == "" || pool.Target == 0 {
		return
	}
	var failed, onLoan []*machine.Instance
	for _, i := range pool.Members {
		if p.replaceable(i) {
			failed = append(failed, i)
		}
		if i.Lent && i.Phase == machine.PhaseServing {
			onLoan = append(onLoan, i)
		}
	}
	extra := p.extraMembers(pool)
	p.drawSpares(pool, pool.SparesNeeded(len(failed), extra, p.incoming[pool.Name]))
	surplus := pool.Surplus(extra) - p.reassigned[pool.Name]
	for _, i := range failed[:max(0, min(surplus, len(failed)))] {
		if i.Phase == machine.PhaseFailed && !p.touched[i.ID] {
			p.writeInstance(StepReplace, i.Reassign(pool.Spare, p.now, "replaced in "+pool.Name))
		}
	}
	p.returnSurplus(pool, onLoan, surplus-len(failed), extra)
}

// returnSurplus returns surplus members on loan to the spare pool. Members on
// loan become permanent if the pool has no surplus and needs no extra members.
func (p *maintenancePlanner) returnSurplus(pool *machine.Pool, onLoan []*machine.Instance, surplus, extra int) {
	goal := machine.Goal{Kind: machine.GoalMove, Pool: pool.Spare}
	for n, i := range p.chargedFirst(onLoan) {
		if n < surplus {
			p.planStop(i, goal, "surplus of "+pool.Name)
			continue
		}
		if extra == 0 && pool.Surplus(0) == 0 && !p.touched[i.ID] && !p.activeStops[i.ID] {
			p.writeInstance(StepKeep, i.Keep(p.now, "replaces a failed member"))
		}
	}
}

// drawSpares plans the moves of up to count instances out of the spare pool.
func (p *maintenancePlanner) drawSpares(pool *machine.Pool, count int) {
	goal := machine.Goal{Kind: machine.GoalMove, Pool: pool.Name, Lent: true}
	for _, i := range p.chargedFirst(p.members[pool.Spare]) {
		if count <= 0 {
			return
		}
		if _, ordered := p.Moves[i.ID]; ordered {
			continue
		}
		if p.planStop(i, goal, "replacement for "+pool.Name) {
			count--
		}
	}
	if count > 0 {
		p.refuse("pool "+pool.Name, fmt.Sprintf("%d replacements are missing in the spare pool %s", count, pool.Spare))
	}
}

// chargedFirst returns the instances with those that are already charged first,
// so that a new planner continues the stops that its predecessor began.
func (p *maintenancePlanner) chargedFirst(list []*machine.Instance) []*machine.Instance {
	var charged, rest []*machine.Instance
	for _, i := range list {
		if p.hasCharge(i) {
			charged = append(charged, i)
			continue
		}
		rest = append(rest, i)
	}
	return append(charged, rest...)
}

// extraMembers returns how many members beyond its target the pool needs for a
// wave, because its budgets leave no headroom at the target size or, if
// smaller, at the current size.
func (p *maintenancePlanner) extraMembers(pool *machine.Pool) int {
	minAvailable := 0
	for _, b := range p.budgets[pool.Name] {
		minAvailable = max(minAvailable, b.Record.MinAvailable)
	}
	permanent := 0
	for _, i := range pool.Members {
		if !i.Lent {
			permanent++
		}
	}
	if min(pool.Target, permanent) > minAvailable {
		return 0
	}
	for _, w := range p.Waves {
		if w.State != machine.WaveRunning || len(p.pendingReboots(&w, pool.Name)) == 0 {
			continue
		}
		if w.OneByOne {
			return 1
		}
		return p.Limits.ExtraMembers
	}
	return 0
}

// pendingReboots returns the members of one pool that the wave still has to
// reboot, including those that are out of service for it.
func (p *maintenancePlanner) pendingReboots(w *machine.Wave, pool string) []*machine.Instance {
	var list []*machine.Instance
	for _, i := range p.members[pool] {
		if w.NeedsReboot(i, p.Pools[pool].Spare) && i.Attempts < p.Limits.MaxAttempts {
			list = append(list, i)
		}
	}
	return list
}

// planWave plans as many stops as the budgets allow, one failure domain after
// the other.
func (p *maintenancePlanner) planWave(w *machine.Wave) {
	var pending []*machine.Instance
	openDomains := make(map[string]bool)
	out := 0
	for _, pool := range w.Pools {
		for _, i := range p.pendingReboots(w, pool) {
			serving := i.Phase == machine.PhaseServing
			if serving {
				pending = append(pending, i)
			} else {
				out++
			}
			if !serving || p.hasCharge(i) {
				openDomains[i.Domain()] = true
			}
		}
	}
	// A budget that forbids one stop in a pool forbids the others too.
	exhausted := make(map[string]bool)
	for _, i := range p.chargedFirst(w.Order(pending, openDomains)) {
		if w.OneByOne && out > 0 {
			return
		}
		if exhausted[i.Pool] && !p.hasCharge(i) || !p.belowNoServiceLimit(i.Pool) {
			continue
		}
		if p.planStop(i, machine.Goal{Kind: machine.GoalReboot, Wave: w.Name}, "wave "+w.Name) {
			out++
			continue
		}
		exhausted[i.Pool] = p.noHeadroom(i.Pool)
	}
}

// noHeadroom reports whether a budget of the pool has no headroom left.
func (p *maintenancePlanner) noHeadroom(pool string) bool {
	for _, b := range p.budgets[pool] {
		if b.Headroom() < 1 {
			return true
		}
	}
	return false
}

// belowNoServiceLimit reports whether another member of a pool may be taken out
// under NoServicePercent. Pools with a service are bounded by their budgets
// instead.
func (p *maintenancePlanner) belowNoServiceLimit(pool string) bool {
	if len(p.budgets[pool]) > 0 {
		return true
	}
	out := 0
	for _, i := range p.members[pool] {
		if i.Phase != machine.PhaseServing || p.activeStops[i.ID] {
			out++
		}
	}
	return out < max(1, len(p.members[pool])*p.Limits.NoServicePercent/100)
}

// finishOrders completes waves and moves that have nothing left to do.
func (p *maintenancePlanner) finishOrders() {
	for _, name := range slices.Sorted(maps.Keys(p.Waves)) {
		w := p.Waves[name]
		if w.State != machine.WaveRunning || p.waveOpen(&w) {
			continue
		}
		next := w.Finish(p.now)
		p.plan.Steps = append(p.plan.Steps, MaintenanceStep{
			Kind: StepFinish, Subject: name, Revision: w.Revision, Wave: &next,
			Reason: "every member of " + strings.Join(w.Pools, ", ") + " is done",
		})
	}
	for _, id := range slices.Sorted(maps.Keys(p.Moves)) {
		order := p.Moves[id]
		i, ok := p.Instances[id]
		if ok && (i.Pool != order.Pool || i.Phase != machine.PhaseServing) {
			continue
		}
		p.plan.Steps = append(p.plan.Steps, MaintenanceStep{
			Kind: StepFinish, Subject: id, Revision: order.Revision, Move: &order, Reason: "instance is in " + order.Pool,
		})
	}
}

// waveOpen reports whether a wave has work left. Machines of its pools without
// a record still have to be adopted and rebooted.
func (p *maintenancePlanner) waveOpen(w *machine.Wave) bool {
	for _, pool := range w.Pools {
		if len(p.pendingReboots(w, pool)) > 0 {
			return true
		}
	}
	for _, i := range p.sortedInstances {
		if i.Goal.Wave == w.Name && i.Attempts < p.Limits.MaxAttempts {
			return true
		}
	}
	return slices.ContainsFunc(p.unrecorded(), func(id string) bool { return w.Covers(p.poolNameOf(p.Observed[id])) })
}
