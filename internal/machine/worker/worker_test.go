package worker

import (
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

var now = time.UnixMilli(1_700_000_000_000)

func newWorker() *Worker {
	w := New(Description{ID: "i-1", Service: "s", DataCentre: "z", Labels: []string{"a", "r"}, Capacity: machine.Resources{MilliCores: 8000, MemoryMB: 8000}})
	w.Answered, w.Recorded = true, true
	return w
}

// TestOrphanedRunsOccupyResources guards against starts on resources that runs
// being stopped still occupy, and against resources that are not freed
// afterwards.
func TestOrphanedRunsOccupyResources(t *testing.T) {
	w := newWorker()
	key := RunKey{Task: job.TaskName{Job: "5c0e7a21d94b36f8"}, Number: 1}
	w.SetOrphanedRuns(map[RunKey]OrphanedRun{key: {CountedNeed: machine.Resources{MilliCores: 5000}}})
	w.SetOrphanedRuns(map[RunKey]OrphanedRun{key: {CountedNeed: machine.Resources{MilliCores: 3000}}})
	if free := w.Free().MilliCores; free != 5000 {
		t.Errorf("%d millicores are free beside an orphaned run that needs 3000 of 8000", free)
	}
	w.SetOrphanedRuns(nil)
	if free := w.Free(); free != w.Capacity {
		t.Errorf("%v is free without orphaned runs, want the whole capacity", free)
	}
}

// TestExpiryCoversSlowClock guards against restarting tasks while an order may
// still keep them running on a worker whose clock is slow.
func TestExpiryCoversSlowClock(t *testing.T) {
	const hold = 5600 * time.Millisecond
	w := newWorker()
	w.RecordClock(1000, now)
	w.ExtendExpiry(now, hold)
	slowLease := hold * 100 / (100 - ClockError)
	if w.Expired(now.Add(slowLease)) {
		t.Errorf("expired after %v; a worker with a slow clock keeps its runs for %v", slowLease, slowLease)
	}
	w.ExtendExpiry(now.Add(-time.Second), hold)
	if w.Expired(now.Add(slowLease)) {
		t.Error("an earlier order shortened the expiry of a later one")
	}
	if !w.Expired(now.Add(2 * hold)) {
		t.Error("not expired after twice the lease")
	}
}

// TestUnusableWorkers guards against starts on workers that must not get new
// tasks.
func TestUnusableWorkers(t *testing.T) {
	for name, change := range map[string]func(w *Worker){
		"not listed": func(w *Worker) { w.Listed = false }, "not heard": func(w *Worker) { w.Answered = false },
		"not recorded": func(w *Worker) { w.Recorded = false }, "draining": func(w *Worker) { w.Draining = true },
		"reserved": func(w *Worker) { w.Reserved = true }, "silent": func(w *Worker) { w.Silent = true },
	} {
		w := newWorker()
		if !w.Usable(now) {
			t.Fatal("a healthy worker is not usable")
		}
		if change(w); w.Usable(now) {
			t.Errorf("a worker that is %s is usable", name)
		}
	}
}
