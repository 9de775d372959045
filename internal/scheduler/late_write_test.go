package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine/upkeep"
)

// TestLateRosterWriteIsRefused guards against a write of the roster that is carried out
// seconds later and undoes a newer one: the next scheduler then does not know workers
// that run tasks, and starts these again.
func TestLateRosterWriteIsRefused(t *testing.T) {
	w := newFleet(t, 1, 2, 2, 0)
	w.runFor(time.Second)
	w.lateRecord = "roster"
	w.addMachine(2, "s")
	w.runFor(100 * time.Millisecond)
	w.lateRecord = ""
	w.addMachine(3, "s")
	w.runFor(lateRecordDelay)
	item, _ := w.store.get("roster")
	for _, name := range []string{"m-2", "m-3"} {
		id := w.machines[name].worker
		if !slices.ContainsFunc(item.value.([]RosterMember), func(m RosterMember) bool { return m.ID == id }) {
			w.fail("the stored roster lacks %s: %v", id, item.value)
		}
	}
}

// TestLateWaveStatusIsRefused guards against a completed wave that is shown as running
// again, and begun upkeep that the next scheduler does not know of.
func TestLateWaveStatusIsRefused(t *testing.T) {
	w := newFleet(t, 1, 2, 3, 0)
	w.runFor(time.Second)
	w.lateRecord = "wave/1"
	w.store.put("wave", upkeep.Order{Wave: 1, Machines: []string{"m-0", "m-1"}, MaxConcurrent: 2, Deadline: 20 * time.Second}, 0)
	w.runFor(300 * time.Millisecond)
	w.lateRecord = ""
	w.runFor(2 * lateRecordDelay)
	item, _ := w.store.get("wave/1")
	if p := item.value.(WaveProgressRead); !p.Completed || len(p.Begun) != 2 {
		w.fail("the stored progress of the wave is %+v", p)
	}
}

// TestLateMachineOrdersAreRefused guards against a stored list of ordered machines that
// loses one: the next scheduler then orders that machine too early.
func TestLateMachineOrdersAreRefused(t *testing.T) {
	w := newFleet(t, 1, 2, 3, 0)
	w.runFor(time.Second)
	w.lateRecord = "orders"
	w.store.put("wave", upkeep.Order{Wave: 1, Machines: []string{"m-0", "m-1", "m-2"}, MaxConcurrent: 1, Deadline: 20 * time.Second}, 0)
	w.runFor(300 * time.Millisecond)
	w.lateRecord = ""
	var newest MachineOrdersRead
	for range int(lateRecordDelay/(50*time.Millisecond)) + 10 {
		w.runFor(50 * time.Millisecond)
		item, _ := w.store.get("orders")
		stored := item.value.(MachineOrdersRead)
		for _, order := range newest.Orders {
			if !slices.Contains(stored.Orders, order) {
				w.fail("the stored list of orders %v lacks %v", stored.Orders, order)
			}
		}
		newest = stored
	}
}
