package zone

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// disrupt plans the stops that are not forced: operators' moves, returns of
// surplus instances, replacements from the spare pool, and waves.
func (p *planning) disrupt() {
	if p.plan.Hold != "" {
		return
	}
	p.moveOrders()
	for _, name := range slices.Sorted(maps.Keys(p.Pools)) {
		p.balance(p.pool(name))
	}
	for _, name := range slices.Sorted(maps.Keys(p.Waves)) {
		if w := p.Waves[name]; w.State == machine.WaveRunning {
			p.wave(&w)
		}
	}
}

func (p *planning) pool(name string) *machine.Pool {
	order := p.Pools[name]
	return &machine.Pool{Name: name, Spare: order.Spare, Target: order.Target, Members: p.members[name]}
}

// stop plans the drain of a serving instance. It charges every service of the
// pool first; the drain follows in a later plan, when all charges are read back
// from the records. It reports whether the stop goes on.
func (p *planning) stop(i *machine.Instance, g machine.Goal, reason string) bool {
	if p.kept[i.ID] || p.touched[i.ID] || !p.stoppable(i) {
		return false
	}
	budgets := p.budgets[i.Pool]
	held := 0
	for _, b := range budgets {
		switch b.Ask(i.ID, i.Epoch) {
		case contract.ChargeForbidden:
			p.refuse(i.ID, "the budget of "+b.Record.Service+" forbids a "+string(g.Kind), budgetFacts(b)...)
			return false
		case contract.ChargeHeld:
			held++
		}
	}
	p.kept[i.ID] = true
	if held == len(budgets) {
		p.write(StepDrain, i.Drain(g, p.now, reason), p.allowedBy(budgets)...)
		return true
	}
	for _, b := range budgets {
		if !b.Holds(i.ID, i.Epoch) {
			b.Take(i.ID, contract.Charge{Epoch: i.Epoch, Reason: reason, Planned: true, At: p.now})
		}
	}
	return true
}

// stoppable reports whether a planned stop of the instance may begin.
func (p *planning) stoppable(i *machine.Instance) bool {
	o, ok := p.Observed[i.ID]
	rested := i.GaveUp.IsZero() || p.passed(i.GaveUp, p.Limits.GiveUpPause)
	return ok && i.Phase == machine.PhaseServing && o.Up() && !p.Out[i.DataCentre] && rested
}

func (p *planning) allowedBy(budgets []*contract.Budget) []Fact {
	var facts []Fact
	for _, b := range budgets {
		facts = append(facts, budgetFacts(b)...)
	}
	return facts
}

// charged reports whether the records hold a charge for a stop of the serving
// instance in its present epoch.
func (p *planning) charged(i *machine.Instance) bool {
	for _, b := range p.budgets[i.Pool] {
		c, ok := p.Budgets[b.Record.Service].Charges[i.ID]
		if ok && c.Epoch == i.Epoch && i.Phase == machine.PhaseServing {
			return true
		}
	}
	return false
}

// cancel rolls back the stops that were charged, in part or in full, and are no
// longer wanted or no longer allowed. The record gets a higher epoch first; the
// charges are released in a later plan.
func (p *planning) cancel() {
	for _, i := range p.list {
		if !p.kept[i.ID] && !p.touched[i.ID] && p.charged(i) {
			p.write(StepCancel, i.Cancel(p.now, "charged stop is no longer wanted or allowed"))
		}
	}
}

// moveOrders carries out the operators' moves.
func (p *planning) moveOrders() {
	for _, id := range slices.Sorted(maps.Keys(p.Moves)) {
		order := p.Moves[id]
		i, ok := p.Instances[id]
		if ok && i.Pool != order.Pool {
			p.stop(&i, machine.Goal{Kind: machine.GoalMove, Pool: order.Pool}, "move to "+order.Pool+" ordered by "+order.Author)
		}
	}
}

// balance replaces failed members from the spare pool and gives surplus back.
func (p *planning) balance(pool *machine.Pool) {
	if pool.Spare == "" || pool.Target == 0 {
		return
	}
	var lost, lent []*machine.Instance
	for _, i := range pool.Members {
		if p.replaceable(i) {
			lost = append(lost, i)
		}
		if i.Lent && i.Phase == machine.PhaseServing {
			lent = append(lent, i)
		}
	}
	borrow := p.borrow(pool)
	p.draw(pool, pool.Draws(len(lost), borrow, p.incoming[pool.Name]))
	surplus := pool.Surplus(borrow) - p.reassigned[pool.Name]
	for _, i := range lost[:max(0, min(surplus, len(lost)))] {
		if i.Phase == machine.PhaseFailed && !p.touched[i.ID] {
			p.write(StepReplace, i.Reassign(pool.Spare, p.now, "replaced in "+pool.Name))
		}
	}
	p.giveBack(pool, lent, surplus-len(lost), borrow)
}

// giveBack returns surplus members on loan to the spare pool. Without surplus
// and borrow they stay for good.
func (p *planning) giveBack(pool *machine.Pool, lent []*machine.Instance, surplus, borrow int) {
	back := machine.Goal{Kind: machine.GoalMove, Pool: pool.Spare}
	for n, i := range p.heldFirst(lent) {
		if n < surplus {
			p.stop(i, back, "surplus of "+pool.Name)
			continue
		}
		if borrow == 0 && pool.Surplus(0) == 0 && !p.touched[i.ID] && !p.kept[i.ID] {
			p.write(StepKeep, i.Keep(p.now, "replaces a failed member"))
		}
	}
}

// draw moves up to count instances out of the spare pool.
func (p *planning) draw(pool *machine.Pool, count int) {
	goal := machine.Goal{Kind: machine.GoalMove, Pool: pool.Name, Lent: true}
	for _, i := range p.heldFirst(p.members[pool.Spare]) {
		if count <= 0 {
			return
		}
		if _, ordered := p.Moves[i.ID]; ordered {
			continue
		}
		if p.stop(i, goal, "replacement for "+pool.Name) {
			count--
		}
	}
	if count > 0 {
		p.refuse("pool "+pool.Name, fmt.Sprintf("%d replacements are missing in the spare pool %s", count, pool.Spare))
	}
}

// heldFirst returns the instances with those first that are charged already, so
// that a new planner goes on with the choice of the one before.
func (p *planning) heldFirst(list []*machine.Instance) []*machine.Instance {
	var held, rest []*machine.Instance
	for _, i := range list {
		if p.charged(i) {
			held = append(held, i)
			continue
		}
		rest = append(rest, i)
	}
	return append(held, rest...)
}

// borrow returns how many additional members a wave needs in the pool, because
// the budgets leave no headroom at the target size, or at the present size when
// that is smaller.
func (p *planning) borrow(pool *machine.Pool) int {
	most := 0
	for _, b := range p.budgets[pool.Name] {
		most = max(most, b.Record.MinAvailable)
	}
	own := 0
	for _, i := range pool.Members {
		if !i.Lent {
			own++
		}
	}
	if min(pool.Target, own) > most {
		return 0
	}
	for _, w := range p.Waves {
		if w.State != machine.WaveRunning || len(p.owed(&w, pool.Name)) == 0 {
			continue
		}
		if w.OneByOne {
			return 1
		}
		return p.Limits.Borrow
	}
	return 0
}

// owed returns the members of one pool that the wave still has to reboot, with
// those that it has taken out.
func (p *planning) owed(w *machine.Wave, pool string) []*machine.Instance {
	var list []*machine.Instance
	for _, i := range p.members[pool] {
		if w.Owes(i, p.Pools[pool].Spare) && i.Attempts < p.Limits.MaxAttempts {
			list = append(list, i)
		}
	}
	return list
}

// wave takes out as many instances as the budgets allow, failure domain by
// failure domain.
func (p *planning) wave(w *machine.Wave) {
	var owed []*machine.Instance
	open := make(map[string]bool)
	out := 0
	for _, pool := range w.Pools {
		for _, i := range p.owed(w, pool) {
			serving := i.Phase == machine.PhaseServing
			if serving {
				owed = append(owed, i)
			} else {
				out++
			}
			if !serving || p.charged(i) {
				open[i.Domain()] = true
			}
		}
	}
	// A pool whose budget forbids one stop forbids the rest too.
	full := make(map[string]bool)
	for _, i := range p.heldFirst(w.Order(owed, open)) {
		if w.OneByOne && out > 0 {
			return
		}
		if full[i.Pool] && !p.charged(i) || !p.roomIn(i.Pool) {
			continue
		}
		if p.stop(i, machine.Goal{Kind: machine.GoalReboot, Wave: w.Name}, "wave "+w.Name) {
			out++
			continue
		}
		full[i.Pool] = p.exhausted(i.Pool)
	}
}

// exhausted reports whether a budget of the pool has no headroom left.
func (p *planning) exhausted(pool string) bool {
	for _, b := range p.budgets[pool] {
		if b.Headroom() < 1 {
			return true
		}
	}
	return false
}

// roomIn bounds the part of a pool without a service that may be out.
func (p *planning) roomIn(pool string) bool {
	if len(p.budgets[pool]) > 0 {
		return true
	}
	out := 0
	for _, i := range p.members[pool] {
		if i.Phase != machine.PhaseServing || p.kept[i.ID] {
			out++
		}
	}
	return out < max(1, len(p.members[pool])*p.Limits.OpenPercent/100)
}

// finish ends waves and moves that are complete.
func (p *planning) finish() {
	for _, name := range slices.Sorted(maps.Keys(p.Waves)) {
		w := p.Waves[name]
		if w.State != machine.WaveRunning || p.open(&w) {
			continue
		}
		next := w.Finish(p.now)
		p.plan.Steps = append(p.plan.Steps, Step{
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
		p.plan.Steps = append(p.plan.Steps, Step{
			Kind: StepFinish, Subject: id, Revision: order.Revision, Move: &order, Reason: "instance is in " + order.Pool,
		})
	}
}

// open reports whether a wave has something left to do. A machine of its pools
// without a record is still to be adopted and rebooted.
func (p *planning) open(w *machine.Wave) bool {
	for _, pool := range w.Pools {
		if len(p.owed(w, pool)) > 0 {
			return true
		}
	}
	for _, i := range p.list {
		if i.Goal.Wave == w.Name && i.Attempts < p.Limits.MaxAttempts {
			return true
		}
	}
	return slices.ContainsFunc(p.unrecorded(), func(id string) bool { return w.Covers(p.poolOf(p.Observed[id])) })
}
