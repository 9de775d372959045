package scheduler

import (
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine/upkeep"
)

// movedSince returns the machines that were moved to a pool at or after a time.
func (w *simulation) movedSince(pool string, since time.Time) int {
	n := 0
	for _, m := range w.machines {
		if m.pool == pool && !m.lastOpAt.Before(since) {
			n++
		}
	}
	return n
}

// TestMovesResumeAtTakeover guards against a takeover after which no machine moves for
// the whole gap between the orders of two schedulers, while jobs wait for machines
// that no scheduler has ordered.
func TestMovesResumeAtTakeover(t *testing.T) {
	for seed := range uint64(10) {
		w := newFleet(t, seed, 3, 3, 6)
		w.teamLimit.MilliCores = 1_000_000
		w.store.put("config", w.config(2), 0)
		w.runFor(2 * time.Second)
		w.withLeader(func(n *simNode) { n.kill(10 * time.Second) })
		killedAt := w.now
		for i := range 6 {
			w.submit(i+1, job.Spec{Steps: []job.Step{newStep(4, 3000, 3000)}})
		}
		w.runFor(1500 * time.Millisecond)
		if n := w.movedSince("s", killedAt); n == 0 {
			w.fail("no machine has moved 1.5 s after the takeover")
		}
	}
}

// TestOrderedMachinesWaitAfterTakeover guards against a new scheduler that orders a
// machine within the gap after an order of its predecessor. The simulation checks the
// gap at each order.
func TestOrderedMachinesWaitAfterTakeover(t *testing.T) {
	for seed := range uint64(20) {
		w := newFleet(t, seed, 3, 3, 6)
		w.teamLimit.MilliCores = 1_000_000
		w.store.put("config", w.config(2), 0)
		w.runFor(time.Second)
		var ids []job.ID
		for i := range 6 {
			ids = append(ids, w.submit(i+1, job.Spec{Steps: []job.Step{newStep(4, 3000, 3000)}}))
		}
		before := w.now
		for w.movedSince("s", before) == 0 && w.now.Sub(before) < 5*time.Second {
			w.runFor(10 * time.Millisecond)
		}
		w.withLeader(func(n *simNode) { n.kill(10 * time.Second) })
		for _, id := range ids {
			w.cancel(id)
		}
		w.runFor(6 * time.Second)
		if w.movedSince("spare", before) == 0 {
			w.fail("no machine was parked after the jobs were cancelled")
		}
	}
}

// TestMachinesAreStoredBeforeOrders guards against an order for a machine that the
// next scheduler does not know of, because the order was sent before the store held
// the machine.
func TestMachinesAreStoredBeforeOrders(t *testing.T) {
	w := newFleet(t, 1, 1, 3, 6)
	w.teamLimit.MilliCores = 1_000_000
	w.store.put("config", w.config(2), 0)
	w.runFor(time.Second)
	for i := range 6 {
		w.submit(i+1, job.Spec{Steps: []job.Step{newStep(4, 3000, 3000)}})
	}
	from := w.now
	w.loseMachineOrderLists = true
	w.runFor(time.Second)
	if n := w.movedSince("s", from); n != 0 {
		w.fail("%d machines were ordered while the store held none of them", n)
	}
	w.loseMachineOrderLists = false
	w.runFor(time.Second)
	if n := w.movedSince("s", from); n == 0 {
		w.fail("no machine was ordered after the store had confirmed the list")
	}
}

// TestWaveResumesAtTakeover guards against a wave that stands still after a takeover for
// the whole gap between the orders of two schedulers, and that misses its deadline for
// that. The simulation checks the wave's limit and the gap at each order.
func TestWaveResumesAtTakeover(t *testing.T) {
	for seed := range uint64(10) {
		w := newFleet(t, seed, 3, 3, 9)
		w.runFor(2 * time.Second)
		w.store.put("wave", upkeep.Order{Wave: 1, Machines: []string{"m-3", "m-4", "m-5", "m-6", "m-7", "m-8"}, MaxConcurrent: 3, Deadline: 20 * time.Second}, 0)
		w.runFor(400 * time.Millisecond)
		w.withLeader(func(n *simNode) { n.kill(20 * time.Second) })
		w.runFor(2600 * time.Millisecond)
		down := 0
		for _, m := range w.machines {
			if m.waves[1] {
				down++
			}
		}
		if down <= 3 {
			w.fail("%d machines of the wave had their upkeep 2.6 s after the takeover, want more than the first 3", down)
		}
	}
}

// TestOrdersHeldUpByCutComeFirst guards against a new scheduler that orders machines while
// orders of its predecessor are held up by a cut: they arrive after its own, because the
// predecessor was killed before it could close their connections.
func TestOrdersHeldUpByCutComeFirst(t *testing.T) {
	const cut, untilKill = 8 * time.Second, 850 * time.Millisecond
	for seed := range uint64(20) {
		w := newEmptySimulation(t, seed)
		w.machineOrdersPerSecond = 10
		w.addNodes(3)
		w.addMachines(3, 12)
		w.teamLimit.MilliCores = 1_000_000
		w.store.put("config", w.config(2), 0)
		w.runFor(2 * time.Second)
		var ids []job.ID
		submit := func() {
			for range 4 {
				ids = append(ids, w.submit(len(ids)+1, job.Spec{Steps: []job.Step{newStep(6, 3000, 1500)}}))
			}
		}
		submit()
		before := w.now
		for w.movedSince("s", before) == 0 && w.now.Sub(before) < 5*time.Second {
			w.runFor(time.Millisecond)
		}
		w.runFor(time.Duration(seed%10) * 100 * time.Millisecond)
		w.powerLoss = true
		w.withLeader(func(n *simNode) {
			n.cutOff, n.ordersHeldUntil = true, w.now.Add(cut)
			w.after(untilKill, func() { n.kill(3 * time.Second) })
			w.after(cut, func() { n.cutOff = false })
		})
		for range 6 {
			submit()
			w.runFor(1500 * time.Millisecond)
		}
		w.runFor(20 * time.Second)
		w.expectEnded(ids)
	}
}
