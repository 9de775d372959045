package zone

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// maintenancePlanner is the working state of one call of Plan.
type maintenancePlanner struct {
	*Maintenance
	now  time.Time
	plan MaintenancePlan
	// sortedInstances holds all instances, ordered by failure domain.
	sortedInstances []*machine.Instance
	// members holds the instances of each pool, ordered by failure domain.
	members map[string][]*machine.Instance
	// budgets holds the budgets of the services of each pool, ordered by
	// service name; orderedBudgets holds all of them.
	budgets        map[string][]*contract.Budget
	orderedBudgets []*contract.Budget
	// outDataCentres lists the data centres that are out of service, sorted by
	// name.
	outDataCentres []string
	// touched holds the instances that have a step in this plan.
	touched map[string]bool
	// activeStops holds the instances whose planned stop continues, so that
	// their charges stay.
	activeStops map[string]bool
	// failedInRack and failedInDataCentre count the unplanned failures of each
	// domain; dataCentreSize counts all instances of each data centre.
	failedInRack, failedInDataCentre, dataCentreSize map[string]int
	// repairs and repairsInRack count the repairs in progress.
	repairs int
	// joining holds the instances that are about to join each pool.
	joining map[string][]*machine.Instance
	// incoming counts the replacements that are moving into each pool.
	incoming      map[string]int
	repairsInRack map[string]int
	// reassigned counts the members that this plan moves out of each pool
	// without a drain.
	reassigned map[string]int
}

// Plan returns the next steps. It depends only on m and now, and modifies
// nothing. The steps of one plan concern different records, so that each can be
// carried out independently of the others.
func (m *Maintenance) Plan(now time.Time) MaintenancePlan {
	p := &maintenancePlanner{
		Maintenance: m, now: now,
		members: make(map[string][]*machine.Instance), budgets: make(map[string][]*contract.Budget),
		touched: make(map[string]bool), activeStops: make(map[string]bool),
		failedInRack: make(map[string]int), failedInDataCentre: make(map[string]int), dataCentreSize: make(map[string]int),
		repairsInRack: make(map[string]int), reassigned: make(map[string]int), incoming: make(map[string]int), joining: make(map[string][]*machine.Instance),
	}
	p.indexInstances()
	if p.checkHold(); p.listIsStale() {
		return p.plan
	}
	p.loadBudgets()
	p.adopt()
	p.advance()
	p.planDisruption()
	p.cancelStops()
	p.finishOrders()
	p.writeBudgets()
	if n := m.Limits.StepsPerRound; len(p.plan.Steps) > n {
		p.plan.Steps = p.plan.Steps[:n]
	}
	return p.plan
}

// due reports whether t has been reached. If not, it sets NextDue of the plan to
// t, unless NextDue is earlier.
func (p *maintenancePlanner) due(t time.Time) bool {
	if !p.now.Before(t) {
		return true
	}
	if p.plan.NextDue.IsZero() || t.Before(p.plan.NextDue) {
		p.plan.NextDue = t
	}
	return false
}

// elapsed reports whether d has passed since start. It is false if start is
// zero.
func (p *maintenancePlanner) elapsed(start time.Time, d time.Duration) bool {
	return !start.IsZero() && p.due(start.Add(d))
}

// indexInstances groups the instances by pool and failure domain.
func (p *maintenancePlanner) indexInstances() {
	p.outDataCentres = slices.Sorted(maps.Keys(p.Out))
	p.sortedInstances = make([]*machine.Instance, 0, len(p.Instances))
	for _, i := range p.Instances {
		p.sortedInstances = append(p.sortedInstances, &i)
	}
	machine.SortByDomain(p.sortedInstances)
	for _, i := range p.sortedInstances {
		p.members[i.Pool] = append(p.members[i.Pool], i)
		p.countInstance(i, p.Observed[i.ID])
	}
}

// countInstance adds the instance to the counters of its pool and failure
// domain.
func (p *maintenancePlanner) countInstance(i *machine.Instance, o machine.Observed) {
	if i.Phase == machine.PhaseMoving {
		p.joining[i.Goal.Pool] = append(p.joining[i.Goal.Pool], i)
	}
	if i.Goal.Kind == machine.GoalMove && i.Goal.Lent && i.Phase != machine.PhaseFilling {
		p.incoming[i.Goal.Pool]++
	}
	p.dataCentreSize[i.DataCentre]++
	if i.Phase == machine.PhaseFailed || i.Phase == machine.PhaseServing && !o.Up() {
		p.failedInRack[i.Domain()]++
		p.failedInDataCentre[i.DataCentre]++
	}
	if p.inRepair(i, o) {
		p.repairs++
		p.repairsInRack[i.Domain()]++
	}
}

// inRepair reports whether a repair of the instance is in progress.
func (p *maintenancePlanner) inRepair(i *machine.Instance, o machine.Observed) bool {
	if i.Goal.Kind != machine.GoalRepair {
		return false
	}
	commanded := p.SentCommands[i.ID].Operation == i.Epoch || o.ReflectsCommand(i.Epoch)
	return i.Phase == machine.PhaseRebooting || i.Phase == machine.PhaseFailed && commanded
}

// checkHold suspends planned disruption while the list of machines is stale or
// too many instances have failed.
func (p *maintenancePlanner) checkHold() {
	if p.listIsStale() {
		p.plan.Hold = fmt.Sprintf("the list of machines is older than %s", p.Limits.MaxListAge)
		return
	}
	total, failed := 0, 0
	for dataCentre, size := range p.dataCentreSize {
		if !p.Out[dataCentre] {
			total += size
			failed += p.failedInDataCentre[dataCentre]
		}
	}
	if failed >= p.Limits.HoldCount && failed*100 > total*p.Limits.HoldPercent {
		p.plan.Hold = fmt.Sprintf("%d of %d instances look failed, more than %d%%", failed, total, p.Limits.HoldPercent)
	}
}

// listIsStale reports whether the list is too old to act on. Every step depends
// on an observation, so nothing is planned then.
func (p *maintenancePlanner) listIsStale() bool {
	return p.ListedAt.IsZero() || p.elapsed(p.ListedAt, p.Limits.MaxListAge)
}

// loadBudgets brings every budget up to date with its document, releases the
// charges that releasable accepts, and charges the unavailable instances.
func (p *maintenancePlanner) loadBudgets() {
	documents := slices.Clone(p.Documents)
	slices.SortFunc(documents, func(a, b contract.Document) int { return strings.Compare(a.Service, b.Service) })
	for _, d := range documents {
		b := contract.NewBudget(&d, p.Budgets[d.Service], p.outDataCentres)
		for id, c := range b.Record.Charges {
			if p.releasable(id, c, d.Pool) {
				b.Release(id)
			}
		}
		p.chargeUnavailable(b)
		p.budgets[d.Pool] = append(p.budgets[d.Pool], b)
		p.orderedBudgets = append(p.orderedBudgets, b)
	}
}

// releasable reports whether a charge can be released: the instance was
// removed, is in another pool, or serves under a higher epoch and is observed
// healthy.
func (p *maintenancePlanner) releasable(id string, c contract.Charge, pool string) bool {
	i, ok := p.Instances[id]
	if !ok {
		return true
	}
	joins := i.Phase == machine.PhaseMoving && i.Goal.Pool == pool
	if i.Pool != pool && !joins {
		return true
	}
	o := p.Observed[id]
	return i.Phase == machine.PhaseServing && c.Epoch < i.Epoch && o.Up()
}

// chargeUnavailable charges the members that are out of service and the
// instances that are about to join, and counts the available members.
func (p *maintenancePlanner) chargeUnavailable(b *contract.Budget) {
	for _, i := range p.members[b.Record.Pool] {
		o := p.Observed[i.ID]
		if i.Phase != machine.PhaseServing {
			if !b.Charged(i.ID) {
				b.ChargeUnavailable(i.ID, contract.Charge{Epoch: i.Epoch, Reason: string(i.Phase) + ": " + i.Reason, At: p.now})
			}
			continue
		}
		if !b.Charged(i.ID) && o.Up() && !p.Out[i.DataCentre] {
			b.Available++
		}
	}
	for _, i := range p.joining[b.Record.Pool] {
		if !b.ChargedAt(i.ID, i.Epoch) {
			b.ChargeUnavailable(i.ID, contract.Charge{Epoch: i.Epoch, Reason: "joins from " + i.Pool, Planned: true, At: p.now})
		}
	}
}

// writeBudgets adds one write for each budget that changed, before all other
// steps and ordered by service name.
func (p *maintenancePlanner) writeBudgets() {
	var steps []MaintenanceStep
	for _, b := range p.orderedBudgets {
		if !b.Changed() {
			continue
		}
		record := b.Record
		steps = append(steps, MaintenanceStep{
			Kind: StepBudget, Subject: record.Service, Revision: record.Revision, Budget: &record,
			Reason: fmt.Sprintf("%d charges", len(record.Charges)), Facts: budgetFacts(b),
		})
	}
	p.plan.Steps = append(steps, p.plan.Steps...)
}

func budgetFacts(b *contract.Budget) []Fact {
	return []Fact{
		{"budget", b.Record.Service},
		{"available", fmt.Sprint(b.Available)},
		{"min_available", fmt.Sprint(b.Record.MinAvailable)},
		{"charges", fmt.Sprint(len(b.Record.Charges))},
	}
}

// writeInstance adds a step that writes an instance record.
func (p *maintenancePlanner) writeInstance(kind StepKind, next machine.Instance, facts ...Fact) {
	p.touched[next.ID] = true
	p.plan.Steps = append(p.plan.Steps, MaintenanceStep{
		Kind: kind, Subject: next.ID, Revision: next.Revision, Instance: &next, Reason: next.Reason, Facts: facts,
	})
}

// sendCommand adds the command that the phase of the record requires, unless
// the platform acknowledged it or it was sent less than ResendInterval ago.
func (p *maintenancePlanner) sendCommand(i *machine.Instance, o machine.Observed, reason string) {
	c, ok := i.Command()
	if !ok || o.Missing || o.Operation >= i.Epoch {
		return
	}
	sent := p.SentCommands[i.ID]
	if sent.Operation == i.Epoch && !p.due(sent.At.Add(p.Limits.ResendInterval)) {
		return
	}
	p.touched[i.ID] = true
	p.plan.Steps = append(p.plan.Steps, MaintenanceStep{
		Kind: StepCommand, Subject: i.ID, Revision: i.Revision, Command: &c, Reason: reason,
		Facts: []Fact{{"command", string(c.Kind)}, {"operation", fmt.Sprint(c.Operation)}},
	})
}

// adopt creates records for machines that have none.
func (p *maintenancePlanner) adopt() {
	for _, id := range p.unrecorded() {
		o := p.Observed[id]
		i := machine.Instance{
			ID: id, DataCentre: o.DataCentre, Rack: o.Rack, Pool: p.poolNameOf(o), Phase: machine.PhaseFilling,
			Epoch: o.Operation + 1, Since: p.now, Reason: "new machine",
		}
		if i.Pool == "" {
			p.refuse(id, "the machine has no pool label and no pool has a spare pool")
			continue
		}
		if o.Up() && o.Pool != "" {
			i.Phase, i.Reason = machine.PhaseServing, "machine in service with a pool label"
		}
		p.writeInstance(StepAdopt, i, Fact{"label", o.Pool})
	}
}

// unrecorded lists the machines that have no record, ordered by id.
func (p *maintenancePlanner) unrecorded() []string {
	var list []string
	for id, o := range p.Observed {
		if _, ok := p.Instances[id]; !ok && !o.Missing {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// poolNameOf returns the pool of a new machine: its label if it has one, else
// the first spare pool, empty if there is none.
func (p *maintenancePlanner) poolNameOf(o machine.Observed) string {
	if o.Pool != "" {
		return o.Pool
	}
	for _, name := range slices.Sorted(maps.Keys(p.Pools)) {
		if spare := p.Pools[name].Spare; spare != "" {
			return spare
		}
	}
	return ""
}

func (p *maintenancePlanner) refuse(instance, reason string, facts ...Fact) {
	p.plan.Refusals = append(p.plan.Refusals, Refusal{Instance: instance, Reason: reason, Facts: facts})
}
