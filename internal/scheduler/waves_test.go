package scheduler

import (
	"testing"

	"github.com/crocusjunction/crocusjunction/internal/machine/upkeep"
)

// TestMachineInUpkeepOfAnotherWave guards against a machine that counts as done for
// one wave because it is in upkeep for another, so that the first wave is reported
// as completed too early (found by a random search: seri-juri, mix, seed
// 685047378402).
func TestMachineInUpkeepOfAnotherWave(t *testing.T) {
	s, now := newLoadedScheduler(4, 2, 0)
	down := s.machineOps.machines["mi-0"]
	down.State, down.Worker = upkeep.MachineUpkeep, ""
	s.machineOps.machines["mi-0"] = down
	w := upkeep.NewWave(upkeep.Order{Wave: 2, Machines: []string{"mi-0"}, MaxConcurrent: 1}, now)
	s.stepWave(w, now)
	if w.Complete() || len(w.BegunMembers()) != 0 {
		t.Error("a machine in another wave's upkeep counts as begun")
	}
	if w.BusyCount() != 1 {
		t.Errorf("%d machines busy, want 1: an earlier scheduler may have ordered this upkeep for this wave", w.BusyCount())
	}
}
