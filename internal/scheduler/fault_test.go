package scheduler

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/machine/upkeep"
)

func step(count int, cpu int64, ms int, after ...int) job.Step {
	return job.Step{Count: count, Need: machine.Resources{MilliCores: cpu, MemoryMB: 512}, Estimate: time.Duration(ms) * time.Millisecond, After: after}
}

func lasting(count, perWorker, mayMiss int) job.Step {
	s := step(count, 500, 0)
	s.Lasting, s.MaxPerWorker, s.MayMiss = true, perWorker, mayMiss
	return s
}

// fleetOf returns a world with machines in both pools.
func fleetOf(t *testing.T, seed uint64, nodes, machines, spares int) *world {
	w := newWorld(t, seed, nodes)
	for i := range machines {
		w.addMachine(i, "s")
	}
	for i := range spares {
		w.addMachine(machines+i, "spare")
	}
	return w
}

// load submits a job every gap for a time.
func (w *world) load(from int, count int, gap time.Duration) []job.ID {
	var ids []job.ID
	for i := range count {
		number := from + i
		id := job.ID(fmt.Sprintf("%016x", number))
		ids = append(ids, id)
		w.after(time.Duration(i)*gap, func() {
			spec := job.Spec{Payload: "p", Steps: []job.Step{step(1+w.random.IntN(4), 500+int64(w.random.IntN(2000)), 100+w.random.IntN(600))}}
			spec.Steps[0].Speculative = w.random.IntN(3) == 0
			if w.random.IntN(2) == 0 {
				spec.Steps = append(spec.Steps, step(1+w.random.IntN(3), 800, 100+w.random.IntN(300), 0))
			}
			if w.random.IntN(6) == 0 {
				spec.Times, spec.First, spec.Interval = 3, w.now.UnixMilli()+500, 700*time.Millisecond
			}
			w.submit(number, spec)
			if w.random.IntN(8) == 0 {
				w.after(time.Duration(w.random.IntN(1500))*time.Millisecond, func() { w.cancel(id) })
			}
		})
	}
	return ids
}

// expectEnded checks that every job has ended.
func (w *world) expectEnded(ids []job.ID) {
	w.t.Helper()
	for _, id := range ids {
		if !w.state(id).Final() {
			w.fail("job %s is still %s at the end", id, w.state(id))
		}
	}
}

// expectRunning checks that every task of a lasting job runs.
func (w *world) expectRunning(id job.ID) {
	w.t.Helper()
	for i := range w.jobs[id].Steps[0].Count {
		name := job.TaskName{Job: id, Index: i}
		if !w.working(name.String()) {
			w.fail("LOST: %s is to last and does not run", name)
		}
	}
}

// fault is one kind of trouble for the matrix.
type fault struct {
	name  string
	apply func(w *world)
}

// faults lists every kind of trouble that the matrix combines.
var faults = []fault{
	{"none", func(*world) {}},
	{"scheduler killed", func(w *world) { w.leader(func(n *simNode) { n.kill(time.Second) }) }},
	{"scheduler leaves", func(w *world) {
		w.leader(func(n *simNode) {
			n.apply(Leave{})
			n.later(2*time.Second, func() { n.kill(time.Second) })
		})
	}},
	{"scheduler frozen past its lease", func(w *world) { w.leader(func(n *simNode) { n.freeze(4 * time.Second) }) }},
	{"scheduler cut from the store", func(w *world) {
		w.leader(func(n *simNode) {
			n.cut = true
			w.after(5*time.Second, func() { n.cut = false })
		})
	}},
	{"all nodes lose power", func(w *world) {
		w.powerLoss = true
		for _, n := range w.nodes {
			n.kill(1200 * time.Millisecond)
		}
		w.powerLoss = false
	}},
	{"scheduler loses power", func(w *world) {
		w.powerLoss = true
		w.leader(func(n *simNode) { n.kill(4 * time.Second) })
		w.powerLoss = false
	}},
	{"scheduler taken for ended", func(w *world) {
		for _, n := range w.nodes {
			n.apply(HolderLost{Fence: n.state.election.holder.Fence, Reason: "mistaken"})
		}
	}},
	{"store down", func(w *world) {
		w.store.down = true
		w.after(4500*time.Millisecond, func() { w.store.down = false })
	}},
	{"answers lost", func(w *world) {
		w.lossy = 0.2
		w.after(5*time.Second, func() { w.lossy = 0 })
	}},
	{"orders carried out late", func(w *world) {
		w.late = 0.08
		w.after(5*time.Second, func() { w.late = 0 })
	}},
	{"worker crashes", func(w *world) {
		for _, x := range w.anyWorkers(2) {
			w.crash(x.d.ID)
		}
	}},
	{"workers silent", func(w *world) {
		for _, x := range w.anyWorkers(2) {
			x.silent = true
			w.after(time.Duration(2+w.random.IntN(7))*time.Second, func() { x.silent = false })
		}
	}},
	{"worker fails all", func(w *world) {
		for _, x := range w.anyWorkers(1) {
			x.failing = true
			w.after(4*time.Second, func() { x.failing = false })
		}
	}},
	{"data centre out", func(w *world) {
		w.store.put("out", CentreChanged{"z1", true}, 0)
		w.after(4*time.Second, func() { w.store.put("out", CentreChanged{"z1", false}, 0) })
	}},
}

// leader calls f with the scheduler, if there is one.
func (w *world) leader(f func(*simNode)) {
	for _, n := range w.nodes {
		if n.state.Leading() && !n.down {
			f(n)
			return
		}
	}
}

func (w *world) anyWorkers(count int) []*simWorker {
	var list []*simWorker
	for _, m := range w.listMachines() {
		if x := w.workerOf(m.Worker); x != nil && m.Pool == "s" {
			list = append(list, x)
		}
	}
	w.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(count, len(list))]
}

// playPair plays a day with two faults, the second of which may come before the
// first has ended.
func playPair(t *testing.T, seed uint64, first, second fault) {
	w := fleetOf(t, seed, 3, 5, 3)
	w.runFor(time.Second)
	keep := w.submit(1<<40, job.Spec{Steps: []job.Step{lasting(3, 1, 1)}})
	ids := w.load(1, 60, 120*time.Millisecond)
	w.store.put("wave", upkeep.Order{Wave: 1, Machines: []string{"m-0", "m-1", "m-2", "m-5", "m-6"}, AtOnce: 2, Deadline: 20 * time.Second}, 0)
	w.runFor(2 * time.Second)
	first.apply(w)
	w.runFor(time.Duration(200+w.random.IntN(3000)) * time.Millisecond)
	second.apply(w)
	w.runFor(60 * time.Second)
	w.expectEnded(ids)
	w.expectRunning(keep)
	for _, name := range []string{"m-0", "m-1", "m-2", "m-5", "m-6"} {
		if !w.machines[name].waves[1] {
			w.fail("wave 1 has not reached %s", name)
		}
	}
}

// TestFaultMatrix plays every pair of faults and guards the rules of
// docs/PROOFS.md. CROCUS_FAULT_SEEDS plays each pair that many times: one run of a task at a time, order, team and worker limits,
// attempts, durable ends, waves within their cap, and no job left behind.
func TestFaultMatrix(t *testing.T) {
	seeds := uint64(1)
	if text := os.Getenv("CROCUS_FAULT_SEEDS"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		seeds = n
	}
	for i, first := range faults {
		for k, second := range faults {
			t.Run(first.name+" then "+second.name, func(t *testing.T) {
				t.Parallel()
				for seed := range seeds {
					playPair(t, seed*1000+uint64(i*len(faults)+k), first, second)
				}
			})
		}
	}
}

// TestAdvisedQueue guards against tasks that start without a valid ticket, and
// against jobs that stand still because tickets expire.
func TestAdvisedQueue(t *testing.T) {
	for seed := range uint64(5) {
		w := fleetOf(t, seed, 2, 6, 2)
		w.advised = true
		w.store.put("config", w.config(2), 0)
		w.runFor(time.Second)
		ids := w.load(1, 30, 200*time.Millisecond)
		w.runFor(3 * time.Second)
		w.leader(func(n *simNode) { n.kill(time.Second) })
		w.runFor(40 * time.Second)
		w.expectEnded(ids)
	}
}

// TestGangRunsTogether guards against gangs of which only a part is started.
func TestGangRunsTogether(t *testing.T) {
	w := fleetOf(t, 7, 2, 4, 0)
	w.runFor(time.Second)
	gang := step(6, 1500, 400)
	gang.Gang, gang.SameRack = true, true
	ids := []job.ID{w.submit(1, job.Spec{Steps: []job.Step{gang}}), w.submit(2, job.Spec{Steps: []job.Step{gang, step(2, 500, 100, 0)}})}
	w.runFor(30 * time.Second)
	w.expectEnded(ids)
}

// TestCopyOfSpeculativeTask guards against a speculative task that waits for the
// end of a silent worker's lease.
func TestCopyOfSpeculativeTask(t *testing.T) {
	w := fleetOf(t, 3, 1, 3, 0)
	w.runFor(time.Second)
	spec := step(3, 1500, 1500)
	spec.Speculative = true
	id := w.submit(1, job.Spec{Steps: []job.Step{spec}})
	w.runFor(200 * time.Millisecond)
	for _, x := range w.workers {
		if len(x.live) > 0 {
			x.silent = true
			break
		}
	}
	w.runFor(4500 * time.Millisecond)
	if w.state(id) != job.Completed {
		w.fail("the job is %s before the silent worker's lease has ended", w.state(id))
	}
}

// TestKilledSchedulerIsReplaced guards against work that stands still until the
// lease of a killed scheduler lapses, and against orders for machines that come
// too soon after those of the killed one.
func TestKilledSchedulerIsReplaced(t *testing.T) {
	for seed := range uint64(10) {
		w := fleetOf(t, seed, 3, 4, 2)
		w.runFor(2 * time.Second)
		w.leader(func(n *simNode) { n.kill(3 * time.Second) })
		w.runFor(400 * time.Millisecond)
		led := false
		w.leader(func(n *simNode) {
			led = true
			if n.state.duties.notBefore.Before(w.now.Add(3*time.Second - 400*time.Millisecond)) {
				w.fail("orders for machines %v after the kill", n.state.duties.notBefore.Sub(w.now))
			}
		})
		if !led {
			w.fail("no scheduler 400 ms after the kill")
		}
	}
}

// TestRoomIsUsedAtOnce guards against free room that waits for the next look at
// a queue while tasks wait.
func TestRoomIsUsedAtOnce(t *testing.T) {
	const tasks, work = 40, 300 * time.Millisecond
	w := fleetOf(t, 5, 1, 1, 0)
	w.runFor(time.Second)
	var ids []job.ID
	for i := range tasks {
		ids = append(ids, w.submit(i+1, job.Spec{Steps: []job.Step{step(1, 4000, int(work.Milliseconds()))}}))
	}
	// Two tasks have room at a time.
	w.runFor(tasks / 2 * work * 3 / 2)
	w.expectEnded(ids)
}

// TestLapsedEntriesAfterAnOutage guards against workers that answer and get no
// work after an outage of the store until their entries are back.
func TestLapsedEntriesAfterAnOutage(t *testing.T) {
	w := fleetOf(t, 9, 1, 2, 0)
	w.runFor(time.Second)
	w.store.down = true
	w.after(2*time.Second, func() {
		for id, x := range w.workers {
			w.store.remove("worker/" + id)
			w.after(1800*time.Millisecond, func() { w.store.put("worker/"+id, x.d, 0) })
		}
		w.store.down = false
	})
	w.runFor(2 * time.Second)
	id := w.submit(1, job.Spec{Steps: []job.Step{step(2, 1000, 200)}})
	w.runFor(1200 * time.Millisecond)
	if w.state(id) != job.Completed {
		w.fail("the job is %s while both workers answer", w.state(id))
	}
}

// TestListOfMachinesSkipsSome guards against a wave that is said to be completed
// without machines that a list lacked for a moment: its pages are no snapshot.
func TestListOfMachinesSkipsSome(t *testing.T) {
	for seed := range uint64(20) {
		w := fleetOf(t, seed, 2, 5, 3)
		w.skipping = true
		w.runFor(time.Second)
		names := []string{"m-0", "m-1", "m-2", "m-3", "m-5", "m-6"}
		w.store.put("wave", upkeep.Order{Wave: 1, Machines: names, AtOnce: 2, Deadline: 20 * time.Second}, 0)
		w.runFor(5 * time.Second)
		w.leader(func(n *simNode) { n.kill(time.Second) })
		w.runFor(50 * time.Second)
		for _, name := range names {
			if !w.machines[name].waves[1] {
				w.fail("wave 1 has not reached %s", name)
			}
		}
	}
}

// TestPlacedOccurrenceThatOpensLater guards against an occurrence that an earlier
// scheduler, whose clock was ahead, had placed, and that opens when every worker
// has answered already: its tasks would never be settled.
func TestPlacedOccurrenceThatOpensLater(t *testing.T) {
	w := fleetOf(t, 11, 1, 2, 0)
	spec := job.Spec{Steps: []job.Step{step(1, 1000, 100)}, Times: 2, First: w.now.UnixMilli(), Interval: 3 * time.Second}
	id := w.submit(1, spec)
	progress := job.Progress{State: job.Running, Placed: map[int][]string{1: {w.listMachines()[0].Worker}}}
	w.store.put("s/"+string(id), progress, 0)
	w.runFor(6 * time.Second)
	w.expectEnded([]job.ID{id})
}

// TestHeldStartIsGivenUp guards against a start that is sent after the store has
// confirmed its placement although its data centre was taken out meanwhile.
func TestHeldStartIsGivenUp(t *testing.T) {
	for _, out := range []bool{false, true} {
		s, now := busy(1, 1, 1)
		s.placeRound(now)
		s.stepFlush(now)
		var stored ProgressStored
		for _, a := range s.actions {
			if p, ok := a.(StoreProgress); ok {
				stored = ProgressStored{Fence: p.Fence, Writes: p.Writes, Revision: 10}
			}
		}
		s.out["z"] = out
		sent := 0
		for _, a := range s.Apply(stored, now) {
			if _, ok := a.(StartTask); ok {
				sent++
			}
		}
		if out && sent > 0 || !out && sent != 6 {
			t.Errorf("out %v: %d starts sent", out, sent)
		}
	}
}
