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

// servingView has members of pool main that serve and are healthy, four to a
// rack, and a wave over them. Two services need all members but headroom.
func servingView(members, headroom int) *Maintenance {
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

// carryOut takes the steps of a plan as done, except for the budget of one
// service, whose write is lost.
func carryOut(m *Maintenance, p Plan, without string) {
	for _, s := range p.Steps {
		if s.Budget == nil || s.Subject != without {
			m.Done(Outcome{Step: s, Result: StepDone, Revision: s.Revision + 1}, planStart)
		}
	}
}

func charges(m *Maintenance) int { return len(m.Budgets["a"].Charges) + len(m.Budgets["b"].Charges) }

func kinds(p Plan) string {
	text := ""
	for _, s := range p.Steps {
		text += string(s.Kind) + " "
	}
	return text
}

// TestChargeIsCancelledBeforeItIsReleased guards against a charge that is
// released while a planner with the old record can still drain on it, and
// against one that is never released.
func TestChargeIsCancelledBeforeItIsReleased(t *testing.T) {
	m := servingView(8, 1)
	carryOut(m, m.Plan(planStart), "")
	if n := charges(m); n != 2 {
		t.Fatalf("%d charges", n)
	}
	m.Waves["w"] = machine.Wave{Name: "w", Pools: []string{"main"}, State: machine.WavePaused, Started: planStart}
	p := m.Plan(planStart)
	if kinds(p) != "cancel " || p.Steps[0].Instance.Epoch != 2 {
		t.Fatalf("steps: %s", kinds(p))
	}
	carryOut(m, p, "")
	p = m.Plan(planStart)
	if kinds(p) != "budget budget " {
		t.Fatalf("steps: %s", kinds(p))
	}
	if carryOut(m, p, ""); charges(m) != 0 {
		t.Errorf("%d charges", charges(m))
	}
}

// TestHalfChargedStopIsCompletedOrRolledBack guards against a crash between the
// charges of two budgets that leaves one charge for ever.
func TestHalfChargedStopIsCompletedOrRolledBack(t *testing.T) {
	for _, raised := range []bool{false, true} {
		m := servingView(8, 1)
		carryOut(m, m.Plan(planStart), "b")
		if raised {
			m.Documents[1].MinAvailable = 8
		}
		p := m.Plan(planStart)
		carryOut(m, p, "")
		p = m.Plan(planStart)
		if raised {
			carryOut(m, p, "")
			if n := charges(m); n != 0 {
				t.Errorf("%d charges of a stop that b forbids", n)
			}
			continue
		}
		if kinds(p) != "drain " {
			t.Errorf("completed: %s", kinds(p))
		}
	}
}

// TestPoolIsSwappedAfterTheNewBudgetsCount guards against an instance that counts
// as available in its new pool before it is healthy there, when the write of a
// charge fails.
func TestPoolIsSwappedAfterTheNewBudgetsCount(t *testing.T) {
	m := servingView(8, 1)
	m.Waves = map[string]machine.Wave{}
	joining := machine.Instance{
		ID: "x", Pool: "spare", Phase: machine.PhaseMoving, Epoch: 3, Goal: machine.Goal{Kind: machine.GoalMove, Pool: "main"}, Revision: 1,
	}
	m.Instances["x"] = joining
	m.Observed["x"] = machine.Observed{ID: "x", Pool: "spare", State: machine.MachineDrained, Healthy: true, Operation: 2}
	for _, lost := range []string{"b", ""} {
		p := m.Plan(planStart)
		if text := kinds(p); strings.Contains(text, string(StepSwap)) {
			t.Fatalf("swapped with %d charges: %s", charges(m), text)
		}
		carryOut(m, p, lost)
	}
	if p := m.Plan(planStart); kinds(p) != "swap-pool " {
		t.Errorf("steps: %s", kinds(p))
	}
}

// TestWaveFinishesOneRackBeforeTheNext guards against a wave that spreads over
// all racks at once.
func TestWaveFinishesOneRackBeforeTheNext(t *testing.T) {
	m := servingView(16, 4)
	p := m.Plan(planStart)
	if len(p.Steps) != 2 || len(p.Steps[0].Budget.Charges) != 4 {
		t.Fatalf("steps: %s", kinds(p))
	}
	racks := make(map[string]bool)
	for id := range p.Steps[0].Budget.Charges {
		racks[m.Instances[id].Rack] = true
	}
	if len(racks) != 1 {
		t.Errorf("%d racks", len(racks))
	}
}

// benchmarkSizes are those of today, of the target and beyond it.
var benchmarkSizes = []int{50, 1200, 2400}

// BenchmarkMaintenancePlan derives the next steps in the middle of a wave.
func BenchmarkMaintenancePlan(b *testing.B) {
	for _, size := range benchmarkSizes {
		b.Run(fmt.Sprintf("workers=%d", size), func(b *testing.B) {
			m := servingView(size, size/10)
			carryOut(m, m.Plan(planStart), "")
			carryOut(m, m.Plan(planStart), "")
			steps := 0
			for b.Loop() {
				steps = len(m.Plan(planStart.Add(time.Second)).Steps)
			}
			b.ReportMetric(float64(steps), "steps")
		})
	}
}

// BenchmarkBudgetCharge takes charges until the budget forbids one.
func BenchmarkBudgetCharge(b *testing.B) {
	for _, size := range benchmarkSizes {
		b.Run(fmt.Sprintf("workers=%d", size), func(b *testing.B) {
			d := &contract.Document{Service: "a", Pool: "main", MinAvailable: size - size/10}
			taken := 0
			for b.Loop() {
				budget := contract.NewBudget(d, contract.BudgetRecord{}, nil)
				budget.Available = size
				for n := 0; budget.Ask(fmt.Sprint(n), 1) == contract.ChargeAllowed; n++ {
					budget.Take(fmt.Sprint(n), contract.Charge{Epoch: 1, Planned: true})
				}
				taken = len(budget.Record.Charges)
			}
			b.ReportMetric(float64(taken), "charges")
		})
	}
}

// TestWaveWaitsForMachinesWithoutRecord guards against a wave that is finished
// in the plan that first adopts the machines of its pool: none was rebooted.
func TestWaveWaitsForMachinesWithoutRecord(t *testing.T) {
	m := servingView(4, 2)
	clear(m.Instances)
	p := m.Plan(planStart)
	for _, s := range p.Steps {
		if s.Kind == StepFinish {
			t.Fatalf("the wave is finished before its machines are known: %s", kinds(p))
		}
	}
	for range 3 {
		carryOut(m, p, "")
		p = m.Plan(planStart)
	}
	if n := charges(m); n == 0 {
		t.Errorf("no machine is taken out for the wave: %s", kinds(p))
	}

	other := servingView(0, 0)
	other.Observed["x"] = machine.Observed{ID: "x", Pool: "reserve", State: machine.MachineServing, Healthy: true}
	if p := other.Plan(planStart); !strings.Contains(kinds(p), string(StepFinish)) {
		t.Errorf("a new machine of another pool keeps the wave open: %s", kinds(p))
	}
}
