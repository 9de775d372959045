package scheduler

import (
	"testing"

	"github.com/crocusjunction/crocusjunction/internal/machine/upkeep"
)

// TestUpkeepOfAnotherWave guards against a machine that counts as done for a
// wave because it is down for another one (hunt on seri-juri, mix, seed
// 685047378402: a wave was said to be completed too early).
func TestUpkeepOfAnotherWave(t *testing.T) {
	s, now := busy(4, 2, 0)
	down := s.duties.machines["mi-0"]
	down.State, down.Worker = upkeep.MachineUpkeep, ""
	s.duties.machines["mi-0"] = down
	w := upkeep.NewWave(upkeep.Order{Wave: 2, Machines: []string{"mi-0"}, AtOnce: 1}, now)
	s.stepWave(w, now)
	if w.Complete() || len(w.Begun()) != 0 {
		t.Error("a machine in another wave's upkeep counts as begun")
	}
	if w.Busy() != 1 {
		t.Errorf("%d machines busy, want 1: it may be this wave's upkeep, ordered by an earlier scheduler", w.Busy())
	}
}
