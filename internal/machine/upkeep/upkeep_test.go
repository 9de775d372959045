package upkeep

import (
	"testing"
	"time"
)

// TestOutlivedNeedsProof guards against runs that are given up because their
// machine is only said to be down: it may be cut off and run on.
func TestOutlivedNeedsProof(t *testing.T) {
	for _, c := range []struct {
		name    string
		machine Machine
		worker  string
		want    bool
	}{
		{"same worker", Machine{State: MachineUp, Worker: "i-1"}, "i-1", false},
		{"another worker", Machine{State: MachineUp, Worker: "i-2"}, "i-1", true},
		{"in upkeep", Machine{State: MachineUpkeep}, "i-1", true},
		{"moving", Machine{State: MachineMoving}, "i-1", true},
		{"said to be down", Machine{State: MachineDown}, "i-1", false},
		{"no worker before", Machine{State: MachineUp, Worker: "i-2"}, "", false},
	} {
		if got := c.machine.Outlived(c.worker); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestPaceMeetsTheDeadline guards against waves that are left undone because
// they went too slowly at first.
func TestPaceMeetsTheDeadline(t *testing.T) {
	now := time.UnixMilli(0)
	machines := make([]string, 24)
	for i := range machines {
		machines[i] = string(rune('a' + i))
	}
	w := NewWave(Order{Machines: machines, AtOnce: 9, Deadline: 28 * time.Second}, now)
	if got := w.Pace(now, 4*time.Second, 4*time.Second); got != 4 {
		t.Errorf("pace %d at first, want 4", got)
	}
	if got := w.Pace(now.Add(16*time.Second), 4*time.Second, 4*time.Second); got != 9 {
		t.Errorf("pace %d when late, want all 9", got)
	}
	for _, m := range w.Members[:20] {
		m.Phase = Finished
	}
	if got := w.Pace(now.Add(8*time.Second), 4*time.Second, 4*time.Second); got != 1 {
		t.Errorf("pace %d when nearly done, want 1", got)
	}
}
