package scheduler

import (
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine/upkeep"
)

func noStack() []byte { return nil }

// poisonSpec is a job whose second step depends on a step that does not exist, which
// makes every decision about the job panic.
func poisonSpec() job.Spec {
	return job.Spec{Steps: []job.Step{newStep(1, 500, 100), newStep(1, 500, 100, 7)}}
}

// containedFailures returns the number of failures that all nodes have contained.
func (w *simulation) containedFailures() int64 {
	n := int64(0)
	for _, node := range w.nodes {
		n += node.state.counts.Contained
	}
	return n
}

// TestPoisonedJobIsQuarantined guards against one stored record that makes each
// scheduler in turn fail: the second one must not fail on it again, other jobs
// complete, and starts resume within a second.
func TestPoisonedJobIsQuarantined(t *testing.T) {
	for seed := range uint64(10) {
		w := newFleet(t, seed, 3, 5, 1)
		w.runFor(2 * time.Second)
		ids := w.submitLoad(1, 40, 100*time.Millisecond)
		w.runFor(time.Second)
		poison := w.submit(1<<40, poisonSpec())
		w.runFor(time.Second)
		if w.containedFailures() != 1 {
			w.fail("%d failures contained a second after the poisoned job, want 1", w.containedFailures())
		}
		led := false
		w.withLeader(func(*simNode) { led = true })
		if !led {
			w.fail("no active scheduler a second after the failure")
		}
		w.withLeader(func(n *simNode) { n.kill(time.Second) })
		w.runFor(30 * time.Second)
		w.expectEnded(ids)
		if w.containedFailures() != 1 || w.state(poison) != job.Queued {
			w.fail("%d failures contained in all, poisoned job %s; want 1 and queued", w.containedFailures(), w.state(poison))
		}
	}
}

// TestQuarantinedJobIsLifted guards against a job that stays out of use, or whose
// tasks run twice, after operators have lifted its quarantine.
func TestQuarantinedJobIsLifted(t *testing.T) {
	w := newFleet(t, 4, 2, 3, 0)
	w.runFor(time.Second)
	r := jobRecord("0000000000000001")
	w.store.put(quarantineKey(r), QuarantineRead{r}, 0)
	w.runFor(200 * time.Millisecond)
	id := w.submit(1, job.Spec{Steps: []job.Step{newStep(2, 1000, 200)}})
	w.runFor(3 * time.Second)
	if w.state(id) != job.Queued {
		w.fail("the quarantined job is %s", w.state(id))
	}
	w.store.remove(quarantineKey(r))
	w.runFor(3 * time.Second)
	w.expectEnded([]job.ID{id})
}

// TestRunningJobIsQuarantined guards against runs of a quarantined job that go on or
// start again.
func TestRunningJobIsQuarantined(t *testing.T) {
	w := newFleet(t, 5, 2, 3, 0)
	w.runFor(time.Second)
	id := w.submit(1, job.Spec{Steps: []job.Step{newLongRunningStep(2, 1, 0)}})
	w.runFor(2 * time.Second)
	w.expectRunning(id)
	r := jobRecord(id)
	w.store.put(quarantineKey(r), QuarantineRead{r}, 0)
	w.runFor(3 * time.Second)
	for i := range 2 {
		if name := (job.TaskName{Job: id, Index: i}); w.runsTask(name.String()) {
			w.fail("task %s of the quarantined job runs", name)
		}
	}
	w.cancel(id)
	w.store.remove(quarantineKey(r))
	w.runFor(3 * time.Second)
	w.expectEnded([]job.ID{id})
}

// TestOtherRecordsAreQuarantined guards against the quarantine of a worker or a wave
// that is ignored, and against one that is still in force after it was lifted.
func TestOtherRecordsAreQuarantined(t *testing.T) {
	w := newFleet(t, 6, 1, 1, 0)
	workerRecord := Record{WorkerRecord, w.listMachines()[0].Worker}
	wave := waveRecord(1)
	for _, r := range []Record{workerRecord, wave} {
		w.store.put(quarantineKey(r), QuarantineRead{r}, 0)
	}
	w.runFor(time.Second)
	w.store.put("wave", upkeep.Order{Wave: 1, Machines: []string{"m-0"}, MaxConcurrent: 1, Deadline: 20 * time.Second}, 0)
	id := w.submit(1, job.Spec{Steps: []job.Step{newStep(1, 1000, 100)}})
	w.runFor(4 * time.Second)
	if w.state(id) != job.Queued || w.machines["m-0"].waves[1] {
		w.fail("job %s, upkeep %v with worker and wave in quarantine", w.state(id), w.machines["m-0"].waves[1])
	}
	for _, r := range []Record{workerRecord, wave} {
		w.store.remove(quarantineKey(r))
	}
	w.runFor(20 * time.Second)
	w.expectEnded([]job.ID{id})
	if !w.machines["m-0"].waves[1] {
		w.fail("the wave has not reached its machine after its quarantine was lifted")
	}
}

// failingEvent panics without a subject.
type failingEvent struct{}

func (failingEvent) Apply(*Scheduler, time.Time) { panic("unexpected") }

// TestFailureWithoutSubject guards against an unexpected error that ends the process,
// against one that quarantines an uninvolved record, and against a node that fails
// again and again while it holds the lease.
func TestFailureWithoutSubject(t *testing.T) {
	w := newFleet(t, 8, 2, 3, 0)
	w.runFor(time.Second)
	ids := w.submitLoad(1, 20, 100*time.Millisecond)
	w.runFor(time.Second)
	w.withLeader(func(n *simNode) { n.apply(failingEvent{}) })
	w.runFor(20 * time.Second)
	w.expectEnded(ids)
	for _, n := range w.nodes {
		if len(n.state.quarantine.records) > 0 {
			w.fail("%s has quarantined %v", n.name, n.state.quarantine.records)
		}
	}
	g, now := NewGuard(Options{NodeName: "node"}, noStack), w.now
	for range 10 {
		g.Apply(failingEvent{}, now)
	}
	if yields := g.Scheduler().election.yieldUntil.Sub(now); yields != maxYield {
		t.Errorf("after 10 failures the node yields the lease for %v, want %v", yields, maxYield)
	}
}

// TestQuarantineIsBounded guards against a defect that takes every record out of use.
func TestQuarantineIsBounded(t *testing.T) {
	g, now := NewGuard(Options{NodeName: "node"}, noStack), time.UnixMilli(1_700_000_000_000)
	for i := range 2 * maxQuarantined {
		g.Scheduler().subject = jobRecord(job.ID(rune('a' + i)))
		g.contain("defect", Tick{}, now)
	}
	if n := len(g.Scheduler().quarantine.records); n != maxQuarantined {
		t.Errorf("%d records quarantined, want %d", n, maxQuarantined)
	}
}
