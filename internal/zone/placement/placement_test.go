package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

var now = time.UnixMilli(1_700_000_000_000)

// testWorkers returns two workers in each of three data centres.
func testWorkers() []*worker.Worker {
	var list []*worker.Worker
	for i := range 6 {
		dataCentre := fmt.Sprintf("z%d", i/2)
		list = append(list, worker.New(worker.Description{
			ID: fmt.Sprintf("i-%d", i), Service: "s", DataCentre: dataCentre, Labels: []string{"a", "r-" + dataCentre},
			Capacity: machine.Resources{MilliCores: 8000, MemoryMB: 8000},
		}))
	}
	return list
}

// place adds a run for every task of a one-step job that finds a worker and
// returns the chosen worker of each task, nil where none fits.
func place(t *testing.T, list []*worker.Worker, id job.ID, step job.Step) []*worker.Worker {
	t.Helper()
	j := job.New(id, job.Terms{}, job.Spec{Steps: []job.Step{step}}, 0, 1)
	j.StartLeading()
	pool := NewPool(list, now)
	var chosen []*worker.Worker
	for _, o := range j.OpenDue(now.UnixMilli()) {
		tasks := o.Tasks(0)
		for i := range tasks {
			w := pool.Choose(&tasks[i], func(*worker.Worker) bool { return true })
			if w != nil {
				w.Add(&job.Run{Task: &tasks[i], Number: 1})
			}
			chosen = append(chosen, w)
		}
	}
	return chosen
}

// TestLongRunningTasksSpreadOverDataCentres guards against placing so many tasks
// of one step in a data centre that its loss stops them all.
func TestLongRunningTasksSpreadOverDataCentres(t *testing.T) {
	chosen := place(t, testWorkers(), "5c0e7a21d94b36f8", job.Step{Count: 5, Need: machine.Resources{MilliCores: 1000, MemoryMB: 500}, LongRunning: true})
	perDataCentre := make(map[string]int)
	for _, w := range chosen {
		perDataCentre[w.DataCentre]++
	}
	for dataCentre, n := range perDataCentre {
		if n > 2 {
			t.Errorf("%d of 5 long-running tasks are in %s", n, dataCentre)
		}
	}
}

// TestStepConstraints guards against tasks on workers that lack the step's
// label, already run the maximum of the step's tasks, or have no room.
func TestStepConstraints(t *testing.T) {
	need := machine.Resources{MilliCores: 3000, MemoryMB: 100}
	onePerWorker := place(t, testWorkers(), "5c0e7a21d94b36f8", job.Step{Count: 7, Need: need, MaxPerWorker: 1})
	seen := make(map[*worker.Worker]bool)
	for i, w := range onePerWorker {
		if i < 6 && (w == nil || seen[w]) || i == 6 && w != nil {
			t.Errorf("task %d is on %v; want one task on each of six workers and no seventh", i, w)
		}
		seen[w] = true
	}
	for _, w := range place(t, testWorkers(), "5c0e7a21d94b36f9", job.Step{Count: 2, Need: need, Label: "gpu"}) {
		if w != nil {
			t.Errorf("a task that requires a label is on %s, which lacks it", w.ID)
		}
	}
	packed := place(t, testWorkers(), "5c0e7a21d94b36fa", job.Step{Count: 13, Need: need})
	if packed[11] == nil || packed[12] != nil {
		t.Error("want exactly twelve tasks of three cores on six workers of eight cores")
	}
	nearData := place(t, testWorkers(), "5c0e7a21d94b36fb", job.Step{Count: 2, Need: need, Rack: "r-z2"})
	for _, w := range nearData {
		if w.Rack() != "r-z2" {
			t.Errorf("a task is on rack %s, outside the rack of its data", w.Rack())
		}
	}
}

// TestLongRunningTasksArePackedOnFewWorkers guards against long-running tasks
// spread so widely that no machine of a large pool can be switched off.
func TestLongRunningTasksArePackedOnFewWorkers(t *testing.T) {
	list := testWorkers()
	for i := range 2 {
		place(t, list, job.ID(fmt.Sprintf("%016x", i+1)), job.Step{Count: 9, Need: machine.Resources{MilliCores: 500, MemoryMB: 100}, LongRunning: true})
	}
	longRunning := 0
	for _, w := range list {
		if w.RunsLongRunningTask() {
			longRunning++
		}
	}
	if longRunning > preferredLongRunningWorkers {
		t.Errorf("%d workers run long-running tasks", longRunning)
	}
}

// TestWarmWorkerIsPreferred guards against tasks on a worker that is still
// slow after its start while a warm one has room.
func TestWarmWorkerIsPreferred(t *testing.T) {
	list := testWorkers()[:2]
	list[0].ColdUntil = now.Add(time.Second)
	chosen := place(t, list, "5c0e7a21d94b36f8", job.Step{Count: 8, Need: machine.Resources{MilliCores: 1000, MemoryMB: 500}})
	for i, w := range chosen {
		if w != list[1] {
			t.Errorf("task %d is on the cold worker", i)
		}
	}
}

// TestShortageThatRoomCannotEnd guards against waits that go on beside idle workers because
// of a task that can use none of them, now or later.
func TestShortageThatRoomCannotEnd(t *testing.T) {
	list := testWorkers()
	p, need := NewPool(list, now), machine.Resources{MilliCores: 1000}
	for name, c := range map[string]struct {
		step job.Step
		want bool
	}{
		"task":             {job.Step{Need: need, Count: 100}, true},
		"gang":             {job.Step{Need: need, Count: 48, Gang: true}, true},
		"gang of 49 cores": {job.Step{Need: need, Count: 49, Gang: true}, false},
		"label":            {job.Step{Need: need, Count: 1, Label: "gpu"}, false},
		"large task":       {job.Step{Need: need.Times(9), Count: 1}, false},
		"one per worker":   {job.Step{Need: need, Count: 7, MaxPerWorker: 1}, false},
	} {
		ws := NewWaits(2)
		ws.RecordShortage("s", p, &c.step)
		if ws.BeginRound(nil); ws.isCrowded(list[0]) != c.want {
			t.Errorf("%s: crowded is %v", name, !c.want)
		}
	}
}
