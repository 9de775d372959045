package invariant_test

import (
	"errors"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/invariant"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

var maintenanceStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func instanceWritten(id, pool string, phase machine.Phase, epoch uint64, goal machine.Goal) invariant.MaintenanceEvent {
	return invariant.MaintenanceEvent{At: maintenanceStart, Instance: &machine.Instance{ID: id, Pool: pool, Phase: phase, Epoch: epoch, Goal: goal}}
}

// budgetWritten returns the write of a budget of pool "main" with a minimum of 1
// and the given charges at epoch 1.
func budgetWritten(planned bool, charged ...string) invariant.MaintenanceEvent {
	b := &contract.BudgetRecord{Service: "bookings", Pool: "main", MinAvailable: 1, Charges: make(map[string]contract.Charge)}
	for _, id := range charged {
		b.Charges[id] = contract.Charge{Epoch: 1, Planned: planned}
	}
	return invariant.MaintenanceEvent{At: maintenanceStart, Budget: b}
}

func machineEffect(kind, id, pool string, operation uint64, interrupted bool) invariant.MaintenanceEvent {
	return invariant.MaintenanceEvent{At: maintenanceStart, Effect: &invariant.MachineEffect{Machine: id, Kind: kind, Pool: pool, Operation: operation, Interrupted: interrupted}}
}

func twoServingInstances() []invariant.MaintenanceEvent {
	return []invariant.MaintenanceEvent{
		instanceWritten("a", "main", machine.PhaseServing, 1, machine.Goal{}),
		instanceWritten("b", "main", machine.PhaseServing, 1, machine.Goal{}),
		budgetWritten(true),
	}
}

// budgetWithMinimum returns the write of a budget with planned charges and the
// given minimum, some time after the start.
func budgetWithMinimum(after time.Duration, minimum int, charged ...string) invariant.MaintenanceEvent {
	e := budgetWritten(true, charged...)
	e.At, e.Budget.MinAvailable = maintenanceStart.Add(after), minimum
	return e
}

// drainAfter returns a drain by operation 2, some time after the start.
func drainAfter(after time.Duration, id string) invariant.MaintenanceEvent {
	e := machineEffect("drain", id, "", 2, false)
	e.At = maintenanceStart.Add(after)
	return e
}

type maintenanceChecker interface {
	Add(invariant.MaintenanceEvent) error
}

func addEvents(c maintenanceChecker, trace []invariant.MaintenanceEvent) error {
	for _, e := range trace {
		if err := c.Add(e); err != nil {
			return err
		}
	}
	return nil
}

func checkViolation(t *testing.T, violated string, err error) {
	t.Helper()
	var v *invariant.Violation
	if violated == "" {
		if err != nil {
			t.Errorf("correct trace: %v", err)
		}
		return
	}
	if !errors.As(err, &v) || v.Invariant != violated {
		t.Errorf("error %v, want a violation of %s", err, violated)
	}
}

// TestBudgetCheckerFindsViolations guards against a checker of I1 that accepts
// violating traces or rejects correct ones.
func TestBudgetCheckerFindsViolations(t *testing.T) {
	draining := instanceWritten("a", "main", machine.PhaseDraining, 2, machine.Goal{})
	back := instanceWritten("a", "main", machine.PhaseServing, 5, machine.Goal{})
	late := budgetWritten(true)
	late.At = maintenanceStart.Add(time.Hour)
	cases := map[string]struct {
		trace     []invariant.MaintenanceEvent
		violation string
	}{
		"charged drain":                       {[]invariant.MaintenanceEvent{budgetWritten(true, "a"), draining, machineEffect("drain", "a", "", 2, false), machineEffect("serving", "a", "", 0, false), back, late}, ""},
		"drain of a failed instance":          {[]invariant.MaintenanceEvent{instanceWritten("a", "main", machine.PhaseFailed, 2, machine.Goal{}), machineEffect("drain", "a", "", 2, false)}, ""},
		"drain uncharged":                     {[]invariant.MaintenanceEvent{draining, machineEffect("drain", "a", "", 2, false)}, "I1"},
		"drain while serving":                 {[]invariant.MaintenanceEvent{budgetWritten(true, "a"), machineEffect("drain", "a", "", 2, false)}, "I1"},
		"drain with an old operation":         {[]invariant.MaintenanceEvent{budgetWritten(true, "a"), draining, machineEffect("drain", "a", "", 1, false)}, "I1"},
		"charge of the last available member": {[]invariant.MaintenanceEvent{budgetWritten(true, "a", "b")}, "I1"},
		"early release":                       {[]invariant.MaintenanceEvent{budgetWritten(true, "a"), draining, budgetWritten(true)}, "I1"},
		"release without a drain":             {[]invariant.MaintenanceEvent{budgetWritten(true, "a"), budgetWritten(true)}, "I1"},
		"release while down":                  {[]invariant.MaintenanceEvent{budgetWritten(true, "a"), draining, machineEffect("drain", "a", "", 2, false), back, late}, "I1"},
		"joins uncharged": {[]invariant.MaintenanceEvent{
			instanceWritten("c", "other", machine.PhaseMoving, 3, machine.Goal{Kind: machine.GoalMove, Pool: "main"}),
			instanceWritten("c", "main", machine.PhaseFilling, 4, machine.Goal{Kind: machine.GoalMove, Pool: "main"}),
		}, "I1"},
		"drain after the grace of a raised minimum":  {[]invariant.MaintenanceEvent{budgetWithMinimum(0, 1, "a"), budgetWithMinimum(time.Second, 2, "a"), draining, drainAfter(time.Minute, "a")}, "I1"},
		"drain within the grace of a raised minimum": {[]invariant.MaintenanceEvent{budgetWithMinimum(0, 1, "a"), budgetWithMinimum(time.Second, 2, "a"), draining, drainAfter(2*time.Second, "a")}, ""},
		"drain of the only member in service": {[]invariant.MaintenanceEvent{
			{At: maintenanceStart.Add(-time.Hour), Effect: &invariant.MachineEffect{Machine: "b", Kind: "down"}},
			budgetWritten(true, "a"), draining, machineEffect("drain", "a", "", 2, false),
		}, "I1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			checkViolation(t, c.violation, addEvents(invariant.NewBudgetChecker(time.Minute), append(twoServingInstances(), c.trace...)))
		})
	}
}

// TestPoolCheckerFindsViolations guards against a checker of I2 and I10 that
// accepts violating traces or rejects correct ones.
func TestPoolCheckerFindsViolations(t *testing.T) {
	move := machine.Goal{Kind: machine.GoalMove, Pool: "other"}
	draining := instanceWritten("a", "main", machine.PhaseDraining, 2, move)
	moving := instanceWritten("a", "main", machine.PhaseMoving, 3, move)
	joined := instanceWritten("a", "other", machine.PhaseFilling, 4, move)
	drained := machineEffect("drained", "a", "", 0, false)
	cases := map[string]struct {
		trace     []invariant.MaintenanceEvent
		violation string
	}{
		"move":                             {[]invariant.MaintenanceEvent{draining, drained, moving, joined, machineEffect("fill", "a", "other", 4, false)}, ""},
		"no pool":                          {[]invariant.MaintenanceEvent{instanceWritten("a", "", machine.PhaseServing, 2, machine.Goal{})}, "I2"},
		"old epoch":                        {[]invariant.MaintenanceEvent{instanceWritten("a", "main", machine.PhaseDraining, 1, move)}, "I2"},
		"skipped phase":                    {[]invariant.MaintenanceEvent{moving}, "I2"},
		"serving without a fill":           {[]invariant.MaintenanceEvent{draining, instanceWritten("a", "main", machine.PhaseServing, 3, machine.Goal{})}, "I2"},
		"changes pool while serving":       {[]invariant.MaintenanceEvent{instanceWritten("a", "other", machine.PhaseServing, 2, machine.Goal{})}, "I2"},
		"joins another pool than its goal": {[]invariant.MaintenanceEvent{draining, moving, instanceWritten("a", "third", machine.PhaseFilling, 4, move)}, "I2"},
		"machine still serving":            {[]invariant.MaintenanceEvent{machineEffect("serving", "a", "main", 0, false), draining, moving, joined}, "I2"},
		"fill into the old pool":           {[]invariant.MaintenanceEvent{draining, drained, moving, joined, machineEffect("fill", "a", "main", 4, false)}, "I2"},
		"reboot interrupts requests":       {[]invariant.MaintenanceEvent{machineEffect("reboot", "a", "", 2, true)}, "I10"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			checkViolation(t, c.violation, addEvents(invariant.NewPoolChecker(), append(twoServingInstances(), c.trace...)))
		})
	}
}
