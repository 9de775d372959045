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

// workers returns two workers in each of three data centres.
func workers() []*worker.Worker {
	var list []*worker.Worker
	for i := range 6 {
		zone := fmt.Sprintf("z%d", i/2)
		list = append(list, worker.New(worker.Description{
			ID: fmt.Sprintf("i-%d", i), Service: "s", Zone: zone, Labels: []string{"a", "r-" + zone},
			Capacity: machine.Resources{MilliCores: 8000, MemoryMB: 8000},
		}))
	}
	return list
}

// place starts every task of a job's first step and returns the workers.
func place(t *testing.T, list []*worker.Worker, id job.ID, step job.Step) []*worker.Worker {
	t.Helper()
	j := job.New(id, job.Terms{}, job.Spec{Steps: []job.Step{step}}, 0, 1)
	j.Lead()
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

// TestLastingTasksSpreadOverDataCentres guards against a data centre whose loss
// takes every task of a step.
func TestLastingTasksSpreadOverDataCentres(t *testing.T) {
	chosen := place(t, workers(), "5c0e7a21d94b36f8", job.Step{Count: 5, Need: machine.Resources{MilliCores: 1000, MemoryMB: 500}, Lasting: true})
	inZone := make(map[string]int)
	for _, w := range chosen {
		inZone[w.Zone]++
	}
	for zone, n := range inZone {
		if n > 2 {
			t.Errorf("%d of 5 tasks in %s", n, zone)
		}
	}
}

// TestConstraintsOfAStep guards against tasks on workers that lack a label, hold
// too many of the step, or have no room.
func TestConstraintsOfAStep(t *testing.T) {
	need := machine.Resources{MilliCores: 3000, MemoryMB: 100}
	apart := place(t, workers(), "5c0e7a21d94b36f8", job.Step{Count: 7, Need: need, MaxPerWorker: 1})
	seen := make(map[*worker.Worker]bool)
	for i, w := range apart {
		if i < 6 && (w == nil || seen[w]) || i == 6 && w != nil {
			t.Errorf("task %d on %v, with one a worker on six workers", i, w)
		}
		seen[w] = true
	}
	for _, w := range place(t, workers(), "5c0e7a21d94b36f9", job.Step{Count: 2, Need: need, Label: "gpu"}) {
		if w != nil {
			t.Errorf("a task that needs a label is on %s", w.ID)
		}
	}
	room := place(t, workers(), "5c0e7a21d94b36fa", job.Step{Count: 13, Need: need})
	if room[11] == nil || room[12] != nil {
		t.Error("twelve tasks of three cores fit on six workers of eight cores, not thirteen")
	}
	near := place(t, workers(), "5c0e7a21d94b36fb", job.Step{Count: 2, Need: need, Rack: "r-z2"})
	for _, w := range near {
		if w.Rack() != "r-z2" {
			t.Errorf("a task is on rack %s, away from its data", w.Rack())
		}
	}
}

// TestLastingTasksLeaveMachinesFree guards against lasting tasks that keep every
// machine of a grown pool from being switched off.
func TestLastingTasksLeaveMachinesFree(t *testing.T) {
	list := workers()
	for i := range 2 {
		place(t, list, job.ID(fmt.Sprintf("%016x", i+1)), job.Step{Count: 9, Need: machine.Resources{MilliCores: 500, MemoryMB: 100}, Lasting: true})
	}
	holding := 0
	for _, w := range list {
		if w.HoldsLasting() {
			holding++
		}
	}
	if holding > lastingWorkers {
		t.Errorf("%d workers hold lasting tasks", holding)
	}
}

// TestColdWorkerComesLast guards against tasks on a worker that is slow after its
// start while a warm one has room.
func TestColdWorkerComesLast(t *testing.T) {
	list := workers()[:2]
	list[0].ColdUntil = now.Add(time.Second)
	chosen := place(t, list, "5c0e7a21d94b36f8", job.Step{Count: 8, Need: machine.Resources{MilliCores: 1000, MemoryMB: 500}})
	for i, w := range chosen {
		if w != list[1] {
			t.Errorf("task %d is on the cold worker", i)
		}
	}
}
