package pools

import (
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine"
)

var now = time.UnixMilli(1_700_000_000_000)

func idle(prefix string, n int) []Machine {
	list := make([]Machine, n)
	for i := range list {
		list[i] = Machine{Name: prefix + string(rune('a'+i)), DataCentre: "z", Capacity: machine.Resources{MilliCores: 10000, MemoryMB: 10000}, Idle: true}
	}
	return list
}

func demand(machines int64) machine.Resources {
	return machine.Resources{MilliCores: machines * 8500}
}

func count(moves []Move, from, to string) int {
	n := 0
	for _, m := range moves {
		if m.From == from && m.To == to {
			n++
		}
	}
	return n
}

// TestPoolInItsTurnGetsMachines guards against pools that queue work while
// machines stand by.
func TestPoolInItsTurnGetsMachines(t *testing.T) {
	p := NewPlanner()
	state := []Pool{
		{Name: "busy", Demand: demand(8), Machines: idle("b", 3)},
		{Name: "quiet", Machines: idle("q", 6)},
		{Name: "spare", Spare: true, Machines: idle("s", 2)},
	}
	if got := p.Plan(state, now); count(got, "spare", "busy") != 2 || len(got) != 2 {
		t.Errorf("first plan %v, want the two spare machines", got)
	}
	if got := p.Plan(state, now.Add(donateAfter)); count(got, "quiet", "busy") != 3 || count(got, "spare", "busy") != 2 {
		t.Errorf("plan %v, want three machines of the quiet pool besides, which keeps its floor", got)
	}
	state[0].Arriving = 5
	if got := p.Plan(state, now.Add(2*donateAfter)); count(got, "quiet", "busy")+count(got, "spare", "busy") != 0 {
		t.Errorf("plan %v counts machines on their way twice", got)
	}
}

// TestIdleMachinesAreParked guards against machines that are paid for and do
// nothing, and against parking between two jobs.
func TestIdleMachinesAreParked(t *testing.T) {
	p := NewPlanner()
	state := []Pool{{Name: "quiet", Machines: idle("q", 6)}, {Name: "spare", Spare: true}}
	if got := p.Plan(state, now); len(got) != 0 {
		t.Errorf("parked at once: %v", got)
	}
	if got := p.Plan(state, now.Add(parkAfter)); count(got, "quiet", "spare") != 3 {
		t.Errorf("plan %v, want all but the floor parked", got)
	}
	state[0].Machines[0].Idle, state[0].Machines[1].Idle, state[0].Machines[2].Idle, state[0].Machines[3].Idle = false, false, false, false
	for _, m := range p.Plan(state, now.Add(2*parkAfter)) {
		if m.Machine != "qe" && m.Machine != "qf" {
			t.Errorf("%v moves a machine that is in use", m)
		}
	}
}

// TestStuckTaskGetsAMachine guards against a lasting task that no machine of
// its pool can take while the demand looks small.
func TestStuckTaskGetsAMachine(t *testing.T) {
	p := NewPlanner()
	state := []Pool{{Name: "a", Stuck: true, Machines: idle("a", 3)}, {Name: "spare", Spare: true, Machines: idle("s", 1)}}
	if got := p.Plan(state, now); count(got, "spare", "a") != 1 {
		t.Errorf("plan %v, want one machine", got)
	}
	p.Refuse(Move{Machine: "sa", To: "a"})
	if got := p.Plan(state, now); len(got) != 0 {
		t.Errorf("plan %v repeats a move that was refused", got)
	}
}
