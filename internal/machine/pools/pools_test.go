package pools

import (
	"slices"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine"
)

var now = time.UnixMilli(1_700_000_000_000)

func idleMachines(prefix string, n int) []Machine {
	list := make([]Machine, n)
	for i := range list {
		list[i] = Machine{Name: prefix + string(rune('a'+i)), DataCentre: "z", Capacity: machine.Resources{MilliCores: 10000, MemoryMB: 10000}, Idle: true}
	}
	return list
}

func demandFor(machines int64) machine.Resources {
	return machine.Resources{MilliCores: machines * 8500}
}

func countMoves(moves []Move, from, to string) int {
	n := 0
	for _, m := range moves {
		if m.From == from && m.To == to {
			n++
		}
	}
	return n
}

// TestBusyPoolGetsMachines guards against pools that queue tasks while other
// pools have spare or excess machines.
func TestBusyPoolGetsMachines(t *testing.T) {
	p := NewPlanner()
	state := []Pool{
		{Name: "busy", Demand: demandFor(8), Machines: idleMachines("b", 3)},
		{Name: "quiet", Machines: idleMachines("q", 6)},
		{Name: "spare", Spare: true, Machines: idleMachines("s", 2)},
	}
	if got := p.Plan(state, now); countMoves(got, "spare", "busy") != 2 || len(got) != 2 {
		t.Errorf("first plan %v, want the two spare machines", got)
	}
	if got := p.Plan(state, now.Add(donateDelay)); countMoves(got, "quiet", "busy") != 3 || countMoves(got, "spare", "busy") != 2 {
		t.Errorf("plan %v, want three machines of the quiet pool in addition, which keeps the minimum", got)
	}
	state[0].Arriving = 5
	if got := p.Plan(state, now.Add(2*donateDelay)); countMoves(got, "quiet", "busy")+countMoves(got, "spare", "busy") != 0 {
		t.Errorf("plan %v replaces machines that are already arriving", got)
	}
}

// TestIdleMachinesAreParked guards against paying for idle machines, and
// against switching machines off between two jobs.
func TestIdleMachinesAreParked(t *testing.T) {
	p := NewPlanner()
	state := []Pool{{Name: "quiet", Machines: idleMachines("q", 6)}, {Name: "spare", Spare: true}}
	if got := p.Plan(state, now); len(got) != 0 {
		t.Errorf("parked without delay: %v", got)
	}
	if got := p.Plan(state, now.Add(parkDelay)); countMoves(got, "quiet", "spare") != 3 {
		t.Errorf("plan %v, want all machines above the minimum parked", got)
	}
	state[0].Machines[0].Idle, state[0].Machines[1].Idle, state[0].Machines[2].Idle, state[0].Machines[3].Idle = false, false, false, false
	for _, m := range p.Plan(state, now.Add(2*parkDelay)) {
		if m.Machine != "qe" && m.Machine != "qf" {
			t.Errorf("%v moves a machine that is not idle", m)
		}
	}
}

// TestBlockedTaskGetsMachine guards against a long-running task that waits
// indefinitely because no machine of its pool fits it and the demand of the
// pool is small.
func TestBlockedTaskGetsMachine(t *testing.T) {
	p := NewPlanner()
	state := []Pool{{Name: "a", HasBlockedTask: true, Machines: idleMachines("a", 3)}, {Name: "spare", Spare: true, Machines: idleMachines("s", 1)}}
	if got := p.Plan(state, now); countMoves(got, "spare", "a") != 1 {
		t.Errorf("plan %v, want one spare machine moved to the pool", got)
	}
	p.RecordRefusal(Move{Machine: "sa", To: "a"})
	if got := p.Plan(state, now); len(got) != 0 {
		t.Errorf("plan %v repeats a refused move", got)
	}
}

// TestMachinesLeaveTheLargestDataCentreFirst guards against a pool that loses its
// machines in one data centre while it keeps many in another.
func TestMachinesLeaveTheLargestDataCentreFirst(t *testing.T) {
	spare := Pool{Name: "spare", Spare: true}
	for i, dataCentre := range []string{"a", "b", "b", "b", "a", "c"} {
		spare.Machines = append(spare.Machines, Machine{
			Name: string(rune('0' + i)), DataCentre: dataCentre, Capacity: machine.Resources{MilliCores: 10000, MemoryMB: 10000}, Idle: i != 1,
		})
	}
	got := NewPlanner().Plan([]Pool{{Name: "busy", Demand: demandFor(4)}, spare}, now)
	want := []Move{{"2", "spare", "busy"}, {"3", "spare", "busy"}, {"0", "spare", "busy"}, {"4", "spare", "busy"}}
	if !slices.Equal(got, want) {
		t.Errorf("plan %v, want %v", got, want)
	}
}
