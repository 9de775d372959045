// Package placement selects workers for the tasks of a job step, across data
// centres and racks. It does no I/O and reads no clock.
package placement

import (
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// Pool is the set of workers of one service that accept new tasks at one
// point in time.
type Pool struct {
	workers []*worker.Worker
	now     time.Time
	// awaited are the racks in which other tasks wait for room.
	awaited map[string]bool
}

// NewPool returns a pool of the given workers, each of which must be Usable
// at now.
func NewPool(workers []*worker.Worker, now time.Time) *Pool {
	return &Pool{workers: workers, now: now}
}

// AvoidAwaited makes tasks that do not prefer one of the racks use others where there is
// room, because tasks wait for room in these.
func (p *Pool) AvoidAwaited(racks map[string]bool) { p.awaited = racks }

// Workers returns the workers of the pool. The caller must not modify the
// slice.
func (p *Pool) Workers() []*worker.Worker { return p.workers }

// Empty reports whether no worker has both free cores and free memory.
func (p *Pool) Empty() bool {
	for _, w := range p.workers {
		if free := w.Free(); free.MilliCores > 0 && free.MemoryMB > 0 {
			return false
		}
	}
	return true
}

// Penalties of a candidate worker, in millicores. The cost of a worker is its
// free millicores plus its penalties, and the lowest cost wins. Each penalty
// outweighs those listed after it on workers of up to 1,000 cores.
const (
	failedWorkerPenalty = 1 << 34
	suspectPenalty      = 1 << 32
	// endangeredRunPenalty applies, for a task that may crash its worker, to each run
	// that a crash would end.
	endangeredRunPenalty = 1 << 31
	// slowPenalty applies to a worker that is cold or outside the rack of
	// the step's data.
	slowPenalty = 1 << 30
	// awaitedRackPenalty applies to a worker in a rack for which other tasks wait.
	awaitedRackPenalty = 1 << 28
)

// Choose returns the worker for a task, or nil when no allowed worker fits
// it. It prefers workers without recent failures, then warm workers in the
// rack of the data, then the worker with the least free cores, so that workers
// with many free cores stay available for large tasks.
func (p *Pool) Choose(t *job.Task, allowed func(*worker.Worker) bool) *worker.Worker {
	spec, isolation := t.Spec(), t.Isolation()
	avoidsAwaited := len(p.awaited) > 0 && !spec.LongRunning
	var best *worker.Worker
	var bestCost int64
	for _, w := range p.workers {
		if !w.Fits(spec) || !w.HasLabel(spec.Label) || !w.Admits(isolation, p.now) || !allowed(w) {
			continue
		}
		if spec.MaxPerWorker > 0 && w.CountStep(t.Occurrence, t.Step) >= spec.MaxPerWorker {
			continue
		}
		cost := p.cost(w, t, isolation)
		if avoidsAwaited && spec.Rack != w.Rack() && p.awaited[w.Rack()] {
			cost += awaitedRackPenalty
		}
		if best == nil || cost < bestCost {
			best, bestCost = w, cost
		}
	}
	if best == nil && isolation != job.NotIsolated {
		p.keepForSuspects(t, isolation, allowed)
	}
	return best
}

const (
	// keepTime is how long a worker is kept for tasks that must be isolated. It is
	// renewed while such tasks wait, and longer than the time between two rounds.
	keepTime = 400 * time.Millisecond
	// maxKeptPart is the part of a pool, one in this number, that may be kept for them.
	maxKeptPart = 4
)

// keepForSuspects keeps other tasks off a worker until a waiting task that must be isolated can
// start there. Without that, a pool under load never has a worker for it.
func (p *Pool) keepForSuspects(t *job.Task, isolation job.Isolation, allowed func(*worker.Worker) bool) {
	spec := t.Spec()
	kept := 0
	var best *worker.Worker
	bestObstacles := 0
	for _, w := range p.workers {
		if w.KeptForSuspects(p.now) {
			kept++
			w.KeepForSuspects(p.now.Add(keepTime))
			continue
		}
		if w.Isolated() || !spec.CountedNeed().FitsIn(w.Capacity) || !w.HasLabel(spec.Label) || !allowed(w) {
			continue
		}
		if obstacles := w.Obstacles(isolation); best == nil || obstacles < bestObstacles {
			best, bestObstacles = w, obstacles
		}
	}
	if best != nil && kept < max(1, len(p.workers)/maxKeptPart) {
		best.KeepForSuspects(p.now.Add(keepTime))
	}
}

func (p *Pool) cost(w *worker.Worker, t *job.Task, isolation job.Isolation) int64 {
	spec := t.Spec()
	cost := w.Free().MilliCores
	if w.ID == t.FailedOn {
		cost += failedWorkerPenalty
	}
	if w.Suspect() {
		cost += suspectPenalty
	}
	if isolation != job.NotIsolated {
		cost += int64(len(w.Runs())) * endangeredRunPenalty
		if t.LostAt(w.Address) {
			cost += failedWorkerPenalty
		}
	}
	if spec.Rack != "" && w.Rack() != spec.Rack {
		cost += slowPenalty
	}
	if p.now.Before(w.ColdUntil) {
		cost += slowPenalty
	}
	if spec.LongRunning {
		// Spreading the long-running tasks of a step over data centres and
		// workers limits how many of them one failure stops. Apart from that,
		// long-running tasks are packed onto few workers, so that the other
		// machines can be switched off.
		cost += int64(p.countInDataCentre(w.DataCentre, t)) * dataCentrePenalty
		if !w.RunsLongRunningTask() && p.workersWithLongRunning() >= preferredLongRunningWorkers {
			cost += newLongRunningWorkerPenalty
		}
		cost += int64(max(0, w.CountStep(t.Occurrence, t.Step)+1-preferredLongRunningTasksPerWorker)) * sameWorkerPenalty
	}
	return cost
}

// preferredLongRunningTasksPerWorker is the number of long-running tasks of one
// step that a worker takes before another worker is preferred.
const preferredLongRunningTasksPerWorker = 2

// preferredLongRunningWorkers is the number of workers of a pool that run
// long-running tasks before the penalty for using a further worker applies. A
// pool always keeps that many machines, and a machine cannot be switched off
// while it runs long-running tasks.
const preferredLongRunningWorkers = 3

// newLongRunningWorkerPenalty applies to a worker without long-running tasks
// once preferredLongRunningWorkers workers of the pool run long-running tasks.
const newLongRunningWorkerPenalty = 1 << 29

// workersWithLongRunning returns the number of workers of the pool that run
// long-running tasks.
func (p *Pool) workersWithLongRunning() int {
	n := 0
	for _, w := range p.workers {
		if w.RunsLongRunningTask() {
			n++
		}
	}
	return n
}

// dataCentrePenalty applies for each task of the same step in the data
// centre.
const dataCentrePenalty = 1 << 24

// countInDataCentre returns the number of runs of the task's step in a data
// centre.
func (p *Pool) countInDataCentre(dataCentre string, t *job.Task) int {
	n := 0
	for _, w := range p.workers {
		if w.DataCentre == dataCentre {
			n += w.CountStep(t.Occurrence, t.Step)
		}
	}
	return n
}

// sameWorkerPenalty applies for each task of the step on the worker above
// preferredLongRunningTasksPerWorker. It outweighs free cores.
const sameWorkerPenalty = 1 << 20

// ChooseGang returns a worker for each task of a gang, or false when not all
// of them fit. A gang whose step sets SameRack is placed in a single rack if
// one has room for all of it, otherwise across racks.
func (p *Pool) ChooseGang(tasks []job.Task, allowed func(*worker.Worker) bool) ([]*worker.Worker, bool) {
	if tasks[0].Spec().SameRack {
		for _, rack := range p.racks() {
			inRack := func(w *worker.Worker) bool { return w.Rack() == rack && allowed(w) }
			if chosen, ok := p.chooseAll(tasks, inRack); ok {
				return chosen, true
			}
		}
	}
	return p.chooseAll(tasks, allowed)
}

func (p *Pool) racks() []string {
	var racks []string
	for _, w := range p.workers {
		if !slices.Contains(racks, w.Rack()) {
			racks = append(racks, w.Rack())
		}
	}
	return racks
}

// chooseAll assigns the tasks to the workers in the order of the pool,
// filling each worker before the next one.
func (p *Pool) chooseAll(tasks []job.Task, allowed func(*worker.Worker) bool) ([]*worker.Worker, bool) {
	spec, isolation := tasks[0].Spec(), tasks[0].Isolation()
	chosen := make([]*worker.Worker, 0, len(tasks))
	for _, w := range p.workers {
		if !w.HasLabel(spec.Label) || !w.Admits(isolation, p.now) || !allowed(w) {
			continue
		}
		free := w.Free()
		for assigned := 0; len(chosen) < len(tasks) && spec.CountedNeed().FitsIn(free); assigned++ {
			if spec.MaxPerWorker > 0 && assigned >= spec.MaxPerWorker {
				break
			}
			free = free.Minus(spec.CountedNeed())
			chosen = append(chosen, w)
		}
	}
	return chosen, len(chosen) == len(tasks)
}
