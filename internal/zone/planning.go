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

// planning is the working state of one call of Plan.
type planning struct {
	*Maintenance
	now  time.Time
	plan Plan
	// list holds all instances by failure domain.
	list []*machine.Instance
	// members holds the instances of each pool, by failure domain.
	members map[string][]*machine.Instance
	// budgets holds the budgets of the services of each pool, by service name.
	budgets  map[string][]*contract.Budget
	services []*contract.Budget
	// outs lists the data centres that are out, in order.
	outs []string
	// touched holds the instances whose record has a step in this plan.
	touched map[string]bool
	// kept holds the instances that are charged for a stop that goes on.
	kept map[string]bool
	// rackDown and centreDown count the unplanned failures of each domain.
	rackDown, centreDown, centreSize map[string]int
	repairs                          int
	// joining holds the instances that are about to join each pool.
	joining map[string][]*machine.Instance
	// incoming counts the replacements that are on their way into each pool.
	incoming    map[string]int
	rackRepairs map[string]int
	// reassigned counts the members that leave each pool in this plan.
	reassigned map[string]int
}

// Plan returns the next steps. It is a pure function of the view and the time.
// The steps of one plan are on different records, so that each can be carried
// out on its own.
func (m *Maintenance) Plan(now time.Time) Plan {
	p := &planning{
		Maintenance: m, now: now,
		members: make(map[string][]*machine.Instance), budgets: make(map[string][]*contract.Budget),
		touched: make(map[string]bool), kept: make(map[string]bool),
		rackDown: make(map[string]int), centreDown: make(map[string]int), centreSize: make(map[string]int),
		rackRepairs: make(map[string]int), reassigned: make(map[string]int), incoming: make(map[string]int), joining: make(map[string][]*machine.Instance),
	}
	p.index()
	if p.hold(); p.blind() {
		return p.plan
	}
	p.openBudgets()
	p.adopt()
	p.progress()
	p.disrupt()
	p.cancel()
	p.finish()
	p.closeBudgets()
	if n := m.Limits.StepsPerRound; len(p.plan.Steps) > n {
		p.plan.Steps = p.plan.Steps[:n]
	}
	return p.plan
}

// due reports whether t has come; otherwise the plan wakes at t at the latest.
func (p *planning) due(t time.Time) bool {
	if !p.now.Before(t) {
		return true
	}
	if p.plan.Wake.IsZero() || t.Before(p.plan.Wake) {
		p.plan.Wake = t
	}
	return false
}

// passed reports whether d has passed since start, which must not be zero.
func (p *planning) passed(start time.Time, d time.Duration) bool {
	return !start.IsZero() && p.due(start.Add(d))
}

// index groups the instances by pool and failure domain.
func (p *planning) index() {
	p.outs = slices.Sorted(maps.Keys(p.Out))
	p.list = make([]*machine.Instance, 0, len(p.Instances))
	for _, i := range p.Instances {
		p.list = append(p.list, &i)
	}
	machine.SortByDomain(p.list)
	for _, i := range p.list {
		p.members[i.Pool] = append(p.members[i.Pool], i)
		p.indexOne(i, p.Observed[i.ID])
	}
}

// indexOne counts what the instance adds to its pool and failure domain.
func (p *planning) indexOne(i *machine.Instance, o machine.Observed) {
	if i.Phase == machine.PhaseMoving {
		p.joining[i.Goal.Pool] = append(p.joining[i.Goal.Pool], i)
	}
	if i.Goal.Kind == machine.GoalMove && i.Goal.Lent && i.Phase != machine.PhaseFilling {
		p.incoming[i.Goal.Pool]++
	}
	p.centreSize[i.DataCentre]++
	if i.Phase == machine.PhaseFailed || i.Phase == machine.PhaseServing && !o.Up() {
		p.rackDown[i.Domain()]++
		p.centreDown[i.DataCentre]++
	}
	if p.inRepair(i, o) {
		p.repairs++
		p.rackRepairs[i.Domain()]++
	}
}

// inRepair reports whether a repair of the instance is under way.
func (p *planning) inRepair(i *machine.Instance, o machine.Observed) bool {
	if i.Goal.Kind != machine.GoalRepair {
		return false
	}
	asked := p.Sent[i.ID].Operation == i.Epoch || o.Took(i.Epoch)
	return i.Phase == machine.PhaseRebooting || i.Phase == machine.PhaseFailed && asked
}

// hold decides whether planned disruption has to stop because the view may be
// wrong or too much has failed.
func (p *planning) hold() {
	if p.blind() {
		p.plan.Hold = fmt.Sprintf("the list of machines is older than %s", p.Limits.ListSilence)
		return
	}
	total, down := 0, 0
	for centre, size := range p.centreSize {
		if !p.Out[centre] {
			total += size
			down += p.centreDown[centre]
		}
	}
	if down >= p.Limits.HoldCount && down*100 > total*p.Limits.HoldPercent {
		p.plan.Hold = fmt.Sprintf("%d of %d instances look failed, more than %d%%", down, total, p.Limits.HoldPercent)
	}
}

// blind reports whether the list is too old to act on. Nothing is done then,
// since every step rests on an observation.
func (p *planning) blind() bool {
	return p.ListedAt.IsZero() || p.passed(p.ListedAt, p.Limits.ListSilence)
}

// openBudgets brings every budget up to date: settings, charges of instances
// that are back or gone, and charges of instances that are out of service.
func (p *planning) openBudgets() {
	documents := slices.Clone(p.Documents)
	slices.SortFunc(documents, func(a, b contract.Document) int { return strings.Compare(a.Service, b.Service) })
	for _, d := range documents {
		b := contract.NewBudget(&d, p.Budgets[d.Service], p.outs)
		for id, c := range b.Record.Charges {
			if p.releasable(id, c, d.Pool) {
				b.Release(id)
			}
		}
		p.countOut(b)
		p.budgets[d.Pool] = append(p.budgets[d.Pool], b)
		p.services = append(p.services, b)
	}
}

// releasable reports whether a charge can end: the instance is gone or in
// another pool, or it is back in service under a higher epoch and seen healthy.
func (p *planning) releasable(id string, c contract.Charge, pool string) bool {
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

// countOut charges the members that are out of service and those about to join,
// and counts the available ones.
func (p *planning) countOut(b *contract.Budget) {
	for _, i := range p.members[b.Record.Pool] {
		o := p.Observed[i.ID]
		if i.Phase != machine.PhaseServing {
			if !b.Charged(i.ID) {
				b.Count(i.ID, contract.Charge{Epoch: i.Epoch, Reason: string(i.Phase) + ": " + i.Reason, At: p.now})
			}
			continue
		}
		if !b.Charged(i.ID) && o.Up() && !p.Out[i.DataCentre] {
			b.Available++
		}
	}
	for _, i := range p.joining[b.Record.Pool] {
		if !b.Holds(i.ID, i.Epoch) {
			b.Count(i.ID, contract.Charge{Epoch: i.Epoch, Reason: "joins from " + i.Pool, Planned: true, At: p.now})
		}
	}
}

// closeBudgets adds one write for each budget that changed, before all other
// steps and ordered by service name.
func (p *planning) closeBudgets() {
	var steps []Step
	for _, b := range p.services {
		if !b.Changed() {
			continue
		}
		record := b.Record
		steps = append(steps, Step{
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

// write adds the write of an instance record.
func (p *planning) write(kind StepKind, next machine.Instance, facts ...Fact) {
	p.touched[next.ID] = true
	p.plan.Steps = append(p.plan.Steps, Step{
		Kind: kind, Subject: next.ID, Revision: next.Revision, Instance: &next, Reason: next.Reason, Facts: facts,
	})
}

// command adds the command that the phase of the record calls for, unless the
// platform has taken it or it was sent a moment ago.
func (p *planning) command(i *machine.Instance, o machine.Observed, reason string) {
	c, ok := i.Command()
	if !ok || o.Missing || o.Operation >= i.Epoch {
		return
	}
	sent := p.Sent[i.ID]
	if sent.Operation == i.Epoch && !p.due(sent.At.Add(p.Limits.Resend)) {
		return
	}
	p.touched[i.ID] = true
	p.plan.Steps = append(p.plan.Steps, Step{
		Kind: StepCommand, Subject: i.ID, Revision: i.Revision, Command: &c, Reason: reason,
		Facts: []Fact{{"command", string(c.Kind)}, {"operation", fmt.Sprint(c.Operation)}},
	})
}

// adopt creates records for machines that have none.
func (p *planning) adopt() {
	for _, id := range p.unrecorded() {
		o := p.Observed[id]
		i := machine.Instance{
			ID: id, DataCentre: o.DataCentre, Rack: o.Rack, Pool: p.poolOf(o), Phase: machine.PhaseFilling,
			Epoch: o.Operation + 1, Since: p.now, Reason: "new machine",
		}
		if i.Pool == "" {
			p.refuse(id, "the machine has no pool label and no pool has a spare pool")
			continue
		}
		if o.Up() && o.Pool != "" {
			i.Phase, i.Reason = machine.PhaseServing, "machine in service with a pool label"
		}
		p.write(StepAdopt, i, Fact{"label", o.Pool})
	}
}

// unrecorded lists the machines that have no record yet, in order.
func (p *planning) unrecorded() []string {
	var list []string
	for id, o := range p.Observed {
		if _, ok := p.Instances[id]; !ok && !o.Missing {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// poolOf returns the pool of a new machine: its label, or a spare pool.
func (p *planning) poolOf(o machine.Observed) string {
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

func (p *planning) refuse(instance, reason string, facts ...Fact) {
	p.plan.Refusals = append(p.plan.Refusals, Refusal{Instance: instance, Reason: reason, Facts: facts})
}
