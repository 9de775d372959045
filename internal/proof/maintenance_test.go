package proof_test

import (
	"errors"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/proof"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func instance(id, pool string, phase machine.Phase, epoch uint64, goal machine.Goal) proof.MaintenanceEvent {
	return proof.MaintenanceEvent{At: start, Instance: &machine.Instance{ID: id, Pool: pool, Phase: phase, Epoch: epoch, Goal: goal}}
}

// budget is a write of the budget of pool "main" with a minimum of one and
// charges at epoch 1.
func budget(planned bool, charged ...string) proof.MaintenanceEvent {
	b := &contract.BudgetRecord{Service: "bookings", Pool: "main", MinAvailable: 1, Charges: make(map[string]contract.Charge)}
	for _, id := range charged {
		b.Charges[id] = contract.Charge{Epoch: 1, Planned: planned}
	}
	return proof.MaintenanceEvent{At: start, Budget: b}
}

func effect(kind, id, pool string, operation uint64, cut bool) proof.MaintenanceEvent {
	return proof.MaintenanceEvent{At: start, Effect: &proof.MachineEffect{Machine: id, Kind: kind, Pool: pool, Operation: operation, Cut: cut}}
}

func two() []proof.MaintenanceEvent {
	return []proof.MaintenanceEvent{
		instance("a", "main", machine.PhaseServing, 1, machine.Goal{}),
		instance("b", "main", machine.PhaseServing, 1, machine.Goal{}),
		budget(true),
	}
}

type checker interface{ Add(proof.MaintenanceEvent) error }

func feed(c checker, trace []proof.MaintenanceEvent) error {
	for _, e := range trace {
		if err := c.Add(e); err != nil {
			return err
		}
	}
	return nil
}

func expect(t *testing.T, invariant string, err error) {
	t.Helper()
	var v *proof.Violation
	if invariant == "" {
		if err != nil {
			t.Errorf("correct trace: %v", err)
		}
		return
	}
	if !errors.As(err, &v) || v.Invariant != invariant {
		t.Errorf("error %v, want a violation of %s", err, invariant)
	}
}

// TestBudgetsCheckerFindsViolations guards against a checker of I1 that accepts
// everything.
func TestBudgetsCheckerFindsViolations(t *testing.T) {
	draining := instance("a", "main", machine.PhaseDraining, 2, machine.Goal{})
	back := instance("a", "main", machine.PhaseServing, 5, machine.Goal{})
	late := budget(true)
	late.At = start.Add(time.Hour)
	cases := map[string]struct {
		trace     []proof.MaintenanceEvent
		violation string
	}{
		"charged drain":       {[]proof.MaintenanceEvent{budget(true, "a"), draining, effect("drain", "a", "", 2, false), effect("serving", "a", "", 0, false), back, late}, ""},
		"drain of a failure":  {[]proof.MaintenanceEvent{instance("a", "main", machine.PhaseFailed, 2, machine.Goal{}), effect("drain", "a", "", 2, false)}, ""},
		"drain uncharged":     {[]proof.MaintenanceEvent{draining, effect("drain", "a", "", 2, false)}, "I1"},
		"drain while serving": {[]proof.MaintenanceEvent{budget(true, "a"), effect("drain", "a", "", 2, false)}, "I1"},
		"late drain":          {[]proof.MaintenanceEvent{budget(true, "a"), draining, effect("drain", "a", "", 1, false)}, "I1"},
		"charge of the last":  {[]proof.MaintenanceEvent{budget(true, "a", "b")}, "I1"},
		"early release":       {[]proof.MaintenanceEvent{budget(true, "a"), draining, budget(true)}, "I1"},
		"release unchanged":   {[]proof.MaintenanceEvent{budget(true, "a"), budget(true)}, "I1"},
		"release while down":  {[]proof.MaintenanceEvent{budget(true, "a"), draining, effect("drain", "a", "", 2, false), back, late}, "I1"},
		"last in truth": {[]proof.MaintenanceEvent{
			{At: start.Add(-time.Hour), Effect: &proof.MachineEffect{Machine: "b", Kind: "down"}},
			budget(true, "a"), draining, effect("drain", "a", "", 2, false),
		}, "I1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			expect(t, c.violation, feed(proof.NewBudgets(time.Minute), append(two(), c.trace...)))
		})
	}
}

// TestPoolsCheckerFindsViolations guards against checkers of I2 and I10 that
// accept everything.
func TestPoolsCheckerFindsViolations(t *testing.T) {
	move := machine.Goal{Kind: machine.GoalMove, Pool: "other"}
	draining := instance("a", "main", machine.PhaseDraining, 2, move)
	moving := instance("a", "main", machine.PhaseMoving, 3, move)
	joined := instance("a", "other", machine.PhaseFilling, 4, move)
	drained := effect("drained", "a", "", 0, false)
	cases := map[string]struct {
		trace     []proof.MaintenanceEvent
		violation string
	}{
		"move":                {[]proof.MaintenanceEvent{draining, drained, moving, joined, effect("fill", "a", "other", 4, false)}, ""},
		"no pool":             {[]proof.MaintenanceEvent{instance("a", "", machine.PhaseServing, 2, machine.Goal{})}, "I2"},
		"old epoch":           {[]proof.MaintenanceEvent{instance("a", "main", machine.PhaseDraining, 1, move)}, "I2"},
		"skipped phase":       {[]proof.MaintenanceEvent{moving}, "I2"},
		"lost drain":          {[]proof.MaintenanceEvent{draining, instance("a", "main", machine.PhaseServing, 3, machine.Goal{})}, "I2"},
		"swap while serving":  {[]proof.MaintenanceEvent{instance("a", "other", machine.PhaseServing, 2, machine.Goal{})}, "I2"},
		"swap of another":     {[]proof.MaintenanceEvent{draining, moving, instance("a", "third", machine.PhaseFilling, 4, move)}, "I2"},
		"machine still in":    {[]proof.MaintenanceEvent{effect("serving", "a", "main", 0, false), draining, moving, joined}, "I2"},
		"fill of wrong label": {[]proof.MaintenanceEvent{draining, drained, moving, joined, effect("fill", "a", "main", 4, false)}, "I2"},
		"reboot that cuts":    {[]proof.MaintenanceEvent{effect("reboot", "a", "", 2, true)}, "I10"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			expect(t, c.violation, feed(proof.NewPools(), append(two(), c.trace...)))
		})
	}
}
