package zone

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

var planStart = time.Unix(1_000_000, 0)

// newServingMaintenance returns a Maintenance in which all members of pool main
// serve and are healthy, four to a rack, with a running wave over the pool.
// Each of two services has the given headroom.
func newServingMaintenance(members, headroom int) *Maintenance {
	m := NewMaintenance(DefaultMaintenanceLimits())
	m.ListedAt = planStart
	for n := range members {
		id := fmt.Sprintf("i%05d", n)
		m.Instances[id] = machine.Instance{
			ID: id, DataCentre: fmt.Sprint(n / 4 % 5), Rack: fmt.Sprint(n / 4), Pool: "main", Phase: machine.PhaseServing, Epoch: 1, Revision: 1,
		}
		m.Observed[id] = machine.Observed{ID: id, Pool: "main", State: machine.MachineServing, Healthy: true}
	}
	for _, service := range []string{"a", "b"} {
		m.Documents = append(m.Documents, contract.Document{Service: service, Pool: "main", MinAvailable: members - headroom})
	}
	m.Waves["w"] = machine.Wave{Name: "w", Pools: []string{"main"}, State: machine.WaveRunning, Started: planStart}
	return m
}

// applyPlan applies all steps of a plan as successful, except for the budget
// write of the service lostBudget, which has no effect.
func applyPlan(m *Maintenance, p MaintenancePlan, lostBudget string) {
	for _, s := range p.Steps {
		if s.Budget == nil || s.Subject != lostBudget {
			m.ApplyOutcome(Outcome{Step: s, Result: StepDone, Revision: s.Revision + 1}, planStart)
		}
	}
}

func chargeCount(m *Maintenance) int {
	return len(m.Budgets["a"].Charges) + len(m.Budgets["b"].Charges)
}

func stepKinds(p MaintenancePlan) string {
	text := ""
	for _, s := range p.Steps {
		text += string(s.Kind) + " "
	}
	return text
}

// TestChargeIsReleasedAfterStopIsCancelled guards against releasing a charge
// too early: after a wave is paused, a planner that read the old instance record
// can still start the drain. It also guards against a charge that is never
// released.
func TestChargeIsReleasedAfterStopIsCancelled(t *testing.T) {
	m := newServingMaintenance(8, 1)
	applyPlan(m, m.Plan(planStart), "")
	if n := chargeCount(m); n != 2 {
		t.Fatalf("%d charges after the first plan, want 2", n)
	}
	m.Waves["w"] = machine.Wave{Name: "w", Pools: []string{"main"}, State: machine.WavePaused, Started: planStart}
	p := m.Plan(planStart)
	if stepKinds(p) != "cancel " || p.Steps[0].Instance.Epoch != 2 {
		t.Fatalf("steps after the pause: %s, want one cancellation at epoch 2", stepKinds(p))
	}
	applyPlan(m, p, "")
	p = m.Plan(planStart)
	if stepKinds(p) != "budget budget " {
		t.Fatalf("steps after the cancellation: %s, want two budget writes", stepKinds(p))
	}
	if applyPlan(m, p, ""); chargeCount(m) != 0 {
		t.Errorf("%d charges are left after their release", chargeCount(m))
	}
}

// TestHalfChargedStopIsCompletedOrRolledBack guards against a charge that stays
// indefinitely because the planner crashed between the writes of two budgets.
func TestHalfChargedStopIsCompletedOrRolledBack(t *testing.T) {
	for _, raised := range []bool{false, true} {
		m := newServingMaintenance(8, 1)
		applyPlan(m, m.Plan(planStart), "b")
		if raised {
			m.Documents[1].MinAvailable = 8
		}
		p := m.Plan(planStart)
		applyPlan(m, p, "")
		p = m.Plan(planStart)
		if raised {
			applyPlan(m, p, "")
			if n := chargeCount(m); n != 0 {
				t.Errorf("%d charges are left of a stop that the budget of b forbids", n)
			}
			continue
		}
		if stepKinds(p) != "drain " {
			t.Errorf("steps of a stop charged to both budgets: %s, want a drain", stepKinds(p))
		}
	}
}

// TestPoolSwapWaitsForCharges guards against an instance that counts as
// available in its new pool before it is healthy there, because the write of a
// charge failed.
func TestPoolSwapWaitsForCharges(t *testing.T) {
	m := newServingMaintenance(8, 1)
	m.Waves = map[string]machine.Wave{}
	joining := machine.Instance{
		ID: "x", Pool: "spare", Phase: machine.PhaseMoving, Epoch: 3, Goal: machine.Goal{Kind: machine.GoalMove, Pool: "main"}, Revision: 1,
	}
	m.Instances["x"] = joining
	m.Observed["x"] = machine.Observed{ID: "x", Pool: "spare", State: machine.MachineDrained, Healthy: true, Operation: 2}
	for _, lost := range []string{"b", ""} {
		p := m.Plan(planStart)
		if text := stepKinds(p); strings.Contains(text, string(StepSwap)) {
			t.Fatalf("pool swapped with %d charges: %s", chargeCount(m), text)
		}
		applyPlan(m, p, lost)
	}
	if p := m.Plan(planStart); stepKinds(p) != "swap-pool " {
		t.Errorf("steps with both charges stored: %s, want a pool swap", stepKinds(p))
	}
}

// TestWaveFinishesOneRackBeforeTheNext guards against a wave that stops
// instances of several racks at the same time.
func TestWaveFinishesOneRackBeforeTheNext(t *testing.T) {
	m := newServingMaintenance(16, 4)
	p := m.Plan(planStart)
	if len(p.Steps) != 2 || len(p.Steps[0].Budget.Charges) != 4 {
		t.Fatalf("steps: %s, want two budget writes with four charges each", stepKinds(p))
	}
	racks := make(map[string]bool)
	for id := range p.Steps[0].Budget.Charges {
		racks[m.Instances[id].Rack] = true
	}
	if len(racks) != 1 {
		t.Errorf("the wave stops instances of %d racks, want one", len(racks))
	}
}

// maintenanceBenchSizes are the current size of the fleet, the target size and
// twice the target.
var maintenanceBenchSizes = []int{50, 1200, 2400}

// BenchmarkMaintenancePlan plans the next steps in the middle of a wave.
func BenchmarkMaintenancePlan(b *testing.B) {
	for _, size := range maintenanceBenchSizes {
		b.Run(fmt.Sprintf("workers=%d", size), func(b *testing.B) {
			m := newServingMaintenance(size, size/10)
			applyPlan(m, m.Plan(planStart), "")
			applyPlan(m, m.Plan(planStart), "")
			steps := 0
			for b.Loop() {
				steps = len(m.Plan(planStart.Add(time.Second)).Steps)
			}
			b.ReportMetric(float64(steps), "steps")
		})
	}
}

// BenchmarkBudgetCharge adds charges until the budget forbids one.
func BenchmarkBudgetCharge(b *testing.B) {
	for _, size := range maintenanceBenchSizes {
		b.Run(fmt.Sprintf("workers=%d", size), func(b *testing.B) {
			d := &contract.Document{Service: "a", Pool: "main", MinAvailable: size - size/10}
			charges := 0
			for b.Loop() {
				budget := contract.NewBudget(d, contract.BudgetRecord{}, nil)
				budget.Available = size
				for n := 0; budget.CheckPlanned(fmt.Sprint(n), 1) == contract.ChargeAllowed; n++ {
					budget.ChargePlanned(fmt.Sprint(n), contract.Charge{Epoch: 1, Planned: true})
				}
				charges = len(budget.Record.Charges)
			}
			b.ReportMetric(float64(charges), "charges")
		})
	}
}

// TestWaveWaitsForMachinesWithoutRecord guards against finishing a wave in the
// plan that first adopts the machines of its pool, before any of them was
// rebooted.
func TestWaveWaitsForMachinesWithoutRecord(t *testing.T) {
	m := newServingMaintenance(4, 2)
	clear(m.Instances)
	p := m.Plan(planStart)
	for _, s := range p.Steps {
		if s.Kind == StepFinish {
			t.Fatalf("the wave is finished before its machines have records: %s", stepKinds(p))
		}
	}
	for range 3 {
		applyPlan(m, p, "")
		p = m.Plan(planStart)
	}
	if n := chargeCount(m); n == 0 {
		t.Errorf("no machine is taken out for the wave: %s", stepKinds(p))
	}

	other := newServingMaintenance(0, 0)
	other.Observed["x"] = machine.Observed{ID: "x", Pool: "reserve", State: machine.MachineServing, Healthy: true}
	if p := other.Plan(planStart); !strings.Contains(stepKinds(p), string(StepFinish)) {
		t.Errorf("a new machine of another pool keeps the wave from finishing: %s", stepKinds(p))
	}
}
