package upkeep

import (
	"testing"
	"time"
)

// TestWorkerOfDownMachineHasNotEnded guards against treating runs as ended
// because their machine is reported as down: it may be partitioned and still run
// them.
func TestWorkerOfDownMachineHasNotEnded(t *testing.T) {
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
		{"reported as down", Machine{State: MachineDown}, "i-1", false},
		{"no worker before", Machine{State: MachineUp, Worker: "i-2"}, "", false},
	} {
		if got := c.machine.WorkerEnded(c.worker); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestRequiredConcurrencyMeetsDeadline guards against waves that miss their
// deadline because too few machines are down for upkeep at the same time early
// in the wave.
func TestRequiredConcurrencyMeetsDeadline(t *testing.T) {
	now := time.UnixMilli(0)
	machines := make([]string, 24)
	for i := range machines {
		machines[i] = string(rune('a' + i))
	}
	w := NewWave(Order{Machines: machines, MaxConcurrent: 9, Deadline: 28 * time.Second}, now)
	if got := w.RequiredConcurrency(now, 4*time.Second, 4*time.Second); got != 4 {
		t.Errorf("concurrency %d at the start, want 4", got)
	}
	if got := w.RequiredConcurrency(now.Add(16*time.Second), 4*time.Second, 4*time.Second); got != 9 {
		t.Errorf("concurrency %d shortly before the deadline, want MaxConcurrent, 9", got)
	}
	for _, m := range w.Members[:20] {
		m.Phase = Finished
	}
	if got := w.RequiredConcurrency(now.Add(8*time.Second), 4*time.Second, 4*time.Second); got != 1 {
		t.Errorf("concurrency %d with four machines left, want 1", got)
	}
}

// TestMissingMachineIsJudgedByListsOfOneTerm guards against a wave that is completed
// without a machine, because two lists of different terms of one process lacked it and
// nobody read the lists in between.
func TestMissingMachineIsJudgedByListsOfOneTerm(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	w := NewWave(Order{Wave: 1, Machines: []string{"m"}, MaxConcurrent: 1, Deadline: time.Minute}, now)
	m := w.Members[0]
	if m.RecordMissing(now) {
		t.Error("the machine counts as removed by its first missing entry")
	}
	w.Reset()
	later := now.Add(20 * time.Second)
	if m.RecordMissing(later) {
		t.Error("the machine counts as removed by one list of the later term")
	}
	if !m.RecordMissing(later.Add(removalDelay)) {
		t.Error("the machine does not count as removed although every list of the term lacks it")
	}
}
