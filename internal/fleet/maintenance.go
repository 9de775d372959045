package fleet

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/zone"
)

// TTL and renewal period of the planner's lease. The holder renews the lease
// three times within its TTL. When the holder stops, another process can acquire
// the lease after at most PlannerTTL.
const (
	PlannerTTL         = 6 * time.Second
	plannerRenewPeriod = 2 * time.Second
)

// recordsReloadPeriod is the period in which the planner reads all records
// again, in addition to the reads after failed steps. At the target size one
// read is about 300 KB.
const recordsReloadPeriod = 5 * time.Minute

// Kinds of subjects of the planner's decisions, in addition to SubjectInstance.
const (
	SubjectBudget  SubjectKind = "budget"
	SubjectWave    SubjectKind = "wave"
	SubjectPlanner SubjectKind = "planner"
)

// planner is the maintenance planner of one process. It plans only while the
// process holds the planner's lease in the platform.
type planner struct {
	view *zone.Maintenance
	// term counts the acquisitions of the lease by this process. Results of
	// actions of an earlier term are dropped.
	term uint64
	// leaseHeld is true while this process holds the lease.
	leaseHeld bool
	lease     uint64
	// leaseUntil is when the lease expires by this process's clock, counted
	// from the time at which the last renewal was sent.
	leaseUntil    time.Time
	loaded        bool
	loadInFlight  bool
	stepsInFlight bool
	loadedAt      time.Time
	timer         *timer
	// configRevision is the revision of the configuration in the view.
	configRevision uint64
	status         PlannerStatus
	// lastRefusals are the reasons of the last plan's refusals, by instance.
	lastRefusals map[string]string
}

func newPlanner(t *timer) planner {
	return planner{timer: t, view: zone.NewMaintenance(zone.DefaultMaintenanceLimits()), lastRefusals: make(map[string]string)}
}

// isCurrent reports whether term is the current term of a held lease. Results of
// actions of other terms are dropped.
func (p *planner) isCurrent(term uint64) bool { return p.leaseHeld && p.term == term }

// PlannerStatus is the planner's report to operators. It is stored in the record
// planner/status whenever it changes.
type PlannerStatus struct {
	Holder string `json:"holder"`
	// SuspensionReason is the reason why planned disruption is suspended, empty
	// while it is not.
	SuspensionReason string `json:"hold,omitempty"`
	// FailedRepairs lists the instances whose repair failed and is not retried.
	FailedRepairs []string  `json:"given_up,omitempty"`
	Since         time.Time `json:"since"`
}

// AcquirePlannerLease waits until the planner's lease is free and acquires it. The
// result is PlannerLeaseAcquired or PlannerLeaseNotAcquired.
type AcquirePlannerLease struct {
	Holder string
	Delay  time.Duration
}

func (AcquirePlannerLease) isAction() {}

// RenewPlannerLease renews the planner's lease after Delay. The result is
// PlannerLeaseRenewed or PlannerLeaseLost.
type RenewPlannerLease struct {
	Term  uint64
	Lease uint64
	Delay time.Duration
}

func (RenewPlannerLease) isAction() {}

// LoadRecords reads all records of maintenance after Delay. The result is
// RecordsLoaded or RecordsFailed.
type LoadRecords struct {
	Term  uint64
	Delay time.Duration
}

func (LoadRecords) isAction() {}

// WatchOrders waits for new orders of operators and reads all orders. The result
// is OrdersSeen or OrdersFailed.
type WatchOrders struct {
	Term  uint64
	After uint64
	Delay time.Duration
}

func (WatchOrders) isAction() {}

// RunSteps runs a batch of steps. No step starts after Until, when the lease
// expires. The result is StepsRun.
type RunSteps struct {
	Term  uint64
	Until time.Time
	Steps []zone.MaintenanceStep
}

func (RunSteps) isAction() {}

// WritePlannerStatus writes the planner's status. The result of a failure is
// PlannerStatusFailed; success has no result.
type WritePlannerStatus struct {
	Term   uint64
	Status PlannerStatus
}

func (WritePlannerStatus) isAction() {}

// PlannerLeaseAcquired reports that this process acquired the planner's lease.
type PlannerLeaseAcquired struct {
	Lease uint64
	Until time.Time
}

// Apply implements Event. The new term starts with an empty view and reads all
// records before it plans.
func (e PlannerLeaseAcquired) Apply(f *Fleet, now time.Time) []Action {
	if f.departing {
		return nil
	}
	p := newPlanner(f.planner.timer)
	p.term, p.leaseHeld, p.lease, p.leaseUntil, p.loadInFlight = f.planner.term+1, true, e.Lease, e.Until, true
	f.planner = p
	f.recordDecision(Decision{At: now, Subject: Subject{SubjectPlanner, f.self.ID}, Action: "take", Reason: "acquired the planner's lease"})
	return []Action{
		RenewPlannerLease{Term: p.term, Lease: e.Lease, Delay: plannerRenewPeriod},
		LoadRecords{Term: p.term},
		WatchMachines{Term: p.term},
		WatchOrders{Term: p.term},
	}
}

// PlannerLeaseNotAcquired reports that the lease was not acquired: another process
// holds it or the platform did not answer. Delay is the delay before the next
// attempt.
type PlannerLeaseNotAcquired struct{ Delay time.Duration }

// Apply implements Event.
func (e PlannerLeaseNotAcquired) Apply(f *Fleet, now time.Time) []Action {
	if f.departing {
		return nil
	}
	return []Action{AcquirePlannerLease{Holder: f.plannerName(), Delay: e.Delay}}
}

// PlannerLeaseRenewed reports the end of a RenewPlannerLease, unless the lease was
// lost.
type PlannerLeaseRenewed struct {
	Term uint64
	// Until is when the lease expires, zero when the renewal failed or its outcome
	// is unknown.
	Until time.Time
}

// Apply implements Event.
func (e PlannerLeaseRenewed) Apply(f *Fleet, now time.Time) []Action {
	if !f.planner.isCurrent(e.Term) {
		return nil
	}
	expired := !now.Before(f.planner.leaseUntil)
	if e.Until.After(f.planner.leaseUntil) {
		f.planner.leaseUntil = e.Until
	}
	renew := RenewPlannerLease{Term: e.Term, Lease: f.planner.lease, Delay: plannerRenewPeriod}
	if !expired {
		return []Action{renew}
	}
	return append(f.planMaintenance(now), renew)
}

// PlannerLeaseLost reports that the lease has expired or was revoked.
type PlannerLeaseLost struct{ Term uint64 }

// Apply implements Event.
func (e PlannerLeaseLost) Apply(f *Fleet, now time.Time) []Action {
	if !f.planner.isCurrent(e.Term) {
		return nil
	}
	f.planner.leaseHeld = false
	f.planner.timer.set(time.Time{})
	f.recordDecision(Decision{At: now, Subject: Subject{SubjectPlanner, f.self.ID}, Action: "lose", Reason: "the planner's lease expired or was revoked"})
	return []Action{AcquirePlannerLease{Holder: f.plannerName()}}
}

// plannerName returns the name under which this process holds the planner's
// lease.
func (f *Fleet) plannerName() string { return f.self.ID }

// RecordsLoaded reports all records of maintenance. The budgets were read before
// the instances. A later swap of a budget succeeds only if the budget still has
// the revision that was read. Such a budget contains the charge of every instance
// that was charged when the instances were read.
type RecordsLoaded struct {
	Term      uint64
	Instances []machine.Instance
	Budgets   []contract.BudgetRecord
	Waves     []machine.Wave
	Moves     []machine.MoveOrder
}

// Apply implements Event.
func (e RecordsLoaded) Apply(f *Fleet, now time.Time) []Action {
	if !f.planner.isCurrent(e.Term) {
		return nil
	}
	view := f.planner.view
	view.SetRecords(e.Instances, e.Budgets, now)
	view.SetOrders(e.Waves, e.Moves)
	f.planner.loaded, f.planner.loadInFlight, f.planner.loadedAt = true, false, now
	return f.planMaintenance(now)
}

// RecordsFailed reports that the records could not be read.
type RecordsFailed struct{ Term uint64 }

// Apply implements Event.
func (e RecordsFailed) Apply(f *Fleet, now time.Time) []Action {
	if !f.planner.isCurrent(e.Term) {
		return nil
	}
	return []Action{LoadRecords{Term: e.Term, Delay: PlatformRetryDelay}}
}

// OrdersSeen reports all orders of operators.
type OrdersSeen struct {
	Term uint64
	// Version is the version of the key that every new order changes.
	Version uint64
	Waves   []machine.Wave
	Moves   []machine.MoveOrder
}

// Apply implements Event.
func (e OrdersSeen) Apply(f *Fleet, now time.Time) []Action {
	if !f.planner.isCurrent(e.Term) {
		return nil
	}
	next := WatchOrders{Term: e.Term, After: e.Version}
	if !f.planner.view.SetOrders(e.Waves, e.Moves) {
		return []Action{next}
	}
	return append(f.planMaintenance(now), next)
}

// OrdersFailed reports that the orders could not be read.
type OrdersFailed struct {
	Term  uint64
	After uint64
}

// Apply implements Event. The last orders that were read stay in force.
func (e OrdersFailed) Apply(f *Fleet, now time.Time) []Action {
	if !f.planner.isCurrent(e.Term) {
		return nil
	}
	return []Action{WatchOrders{Term: e.Term, After: e.After, Delay: PlatformRetryDelay}}
}

// StepsRun reports the outcomes of a batch of steps.
type StepsRun struct {
	Term     uint64
	Outcomes []zone.Outcome
}

// Apply implements Event. A step whose result is not StepDone makes the planner
// read all records before the next plan. A failed command does so only after a
// conflict on the instance's record. After any other failure, later plans send
// the command again, with a pause, until its effect is observed.
func (e StepsRun) Apply(f *Fleet, now time.Time) []Action {
	if !f.planner.isCurrent(e.Term) {
		return nil
	}
	f.planner.stepsInFlight = false
	reload := false
	for _, o := range e.Outcomes {
		if o.Result != zone.StepDone {
			f.recordStep(o.Step, string(o.Result), now)
		}
		if o.Result == zone.StepDone || o.Step.Command != nil {
			f.planner.view.ApplyOutcome(o, now)
		}
		sentAgain := o.Step.Command != nil && o.Result != zone.StepConflict
		reload = reload || o.Result != zone.StepDone && !sentAgain
	}
	if reload {
		f.planner.loadInFlight = true
		return []Action{LoadRecords{Term: e.Term, Delay: PlatformRetryDelay}}
	}
	return f.planMaintenance(now)
}

// planMaintenance plans the next batch of steps and starts it. Only one batch
// is in flight at a time, so that each plan is based on the results of the
// previous one.
func (f *Fleet) planMaintenance(now time.Time) []Action {
	p := &f.planner
	if !p.leaseHeld || !p.loaded || p.loadInFlight || p.stepsInFlight || !f.config.loaded || !now.Before(p.leaseUntil) {
		return nil
	}
	if !now.Before(p.loadedAt.Add(recordsReloadPeriod)) {
		p.loadInFlight = true
		return []Action{LoadRecords{Term: p.term}}
	}
	f.refreshView()
	plan := p.view.Plan(now)
	p.timer.set(plan.NextDue)
	p.timer.setEarlier(p.loadedAt.Add(recordsReloadPeriod))
	f.recordPlan(plan, now)
	actions := f.reportStatus(plan, now)
	if len(plan.Steps) == 0 {
		return actions
	}
	p.stepsInFlight = true
	p.timer.set(time.Time{})
	return append(actions, RunSteps{Term: p.term, Until: p.leaseUntil, Steps: plan.Steps})
}

// due reports whether the planner's timer is due.
func (p *planner) due(now time.Time) bool { return !p.timer.at.IsZero() && !now.Before(p.timer.at) }

// refreshView copies the configuration to the view when its revision changed.
func (f *Fleet) refreshView() {
	view := f.planner.view
	if f.planner.configRevision == f.register.Revision() && view.Documents != nil {
		return
	}
	f.planner.configRevision = f.register.Revision()
	view.Documents = []contract.Document{}
	for _, o := range f.register.List(contract.KindDocument) {
		view.Documents = append(view.Documents, *o.Document)
	}
	clear(view.Pools)
	for _, o := range f.register.List(contract.KindPool) {
		view.Pools[o.Pool.Name] = *o.Pool
	}
	clear(view.Out)
	for name, centre := range f.centres {
		if centre.Out {
			view.Out[name] = true
		}
	}
}

// recordPlan records the steps of a plan, and those refusals whose reason is
// new.
func (f *Fleet) recordPlan(plan zone.MaintenancePlan, now time.Time) {
	for _, step := range plan.Steps {
		f.recordStep(step, "", now)
	}
	refused := make(map[string]string, len(plan.Refusals))
	for _, r := range plan.Refusals {
		refused[r.Instance] = r.Reason
		if f.planner.lastRefusals[r.Instance] != r.Reason {
			f.recordDecision(Decision{
				At: now, Subject: Subject{SubjectInstance, r.Instance}, Action: "refuse", Reason: r.Reason, Inputs: inputsOf(r.Facts),
			})
		}
	}
	f.planner.lastRefusals = refused
}

func (f *Fleet) recordStep(s zone.MaintenanceStep, result string, now time.Time) {
	kind := SubjectInstance
	switch {
	case s.Budget != nil:
		kind = SubjectBudget
	case s.Wave != nil:
		kind = SubjectWave
	}
	d := Decision{At: now, Subject: Subject{kind, s.Subject}, Action: string(s.Kind), Reason: s.Reason, Inputs: inputsOf(s.Facts)}
	if result != "" {
		d.Action += " " + result
	}
	f.recordDecision(d)
}

func inputsOf(facts []zone.Fact) []Input {
	inputs := make([]Input, 0, len(facts))
	for _, fact := range facts {
		inputs = append(inputs, Input(fact))
	}
	return inputs
}

// reportStatus returns the action that writes the planner's status if the status
// changed.
func (f *Fleet) reportStatus(plan zone.MaintenancePlan, now time.Time) []Action {
	status := PlannerStatus{Holder: f.self.ID, SuspensionReason: plan.Hold, FailedRepairs: f.planner.view.FailedRepairs(), Since: now}
	old := f.planner.status
	if old.Holder == status.Holder && old.SuspensionReason == status.SuspensionReason && equalNames(old.FailedRepairs, status.FailedRepairs) {
		return nil
	}
	f.planner.status = status
	if old.SuspensionReason != status.SuspensionReason {
		reason := status.SuspensionReason
		if reason == "" {
			reason = "planned disruption is resumed"
		}
		f.recordDecision(Decision{At: now, Subject: Subject{SubjectPlanner, f.self.ID}, Action: "hold", Reason: reason})
	}
	return []Action{WritePlannerStatus{Term: f.planner.term, Status: status}}
}

// PlannerStatusFailed reports that the status could not be written.
type PlannerStatusFailed struct{ Term uint64 }

// Apply implements Event. The next plan, after PlatformRetryDelay at the
// latest, writes the status again.
func (e PlannerStatusFailed) Apply(f *Fleet, now time.Time) []Action {
	if f.planner.isCurrent(e.Term) {
		f.planner.status = PlannerStatus{}
		f.planner.timer.setEarlier(now.Add(PlatformRetryDelay))
	}
	return nil
}

func equalNames(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
