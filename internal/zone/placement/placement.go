// Package placement chooses workers for the tasks of one step among data
// centres and racks. It does no I/O and reads no clock.
package placement

import (
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// Pool are the workers of one service on which tasks may start now.
type Pool struct {
	workers []*worker.Worker
	now     time.Time
}

// NewPool returns a pool of the given workers, which must all be usable.
func NewPool(workers []*worker.Worker, now time.Time) *Pool {
	return &Pool{workers: workers, now: now}
}

// Workers returns the workers of the pool; the caller must not change the list.
func (p *Pool) Workers() []*worker.Worker { return p.workers }

// Empty reports whether no worker has a free core.
func (p *Pool) Empty() bool {
	for _, w := range p.workers {
		if free := w.Free(); free.MilliCores > 0 && free.MemoryMB > 0 {
			return false
		}
	}
	return true
}

// Weights of a candidate, in milli-cores of free room. Each outweighs the ones
// below it on workers of up to a thousand cores.
const (
	weightFailed  = 1 << 34
	weightSuspect = 1 << 32
	// weightSlow is for a worker that is cold or away from the data.
	weightSlow = 1 << 30
)

// Choose returns the worker for a task, nil when none of the allowed ones fits.
// It prefers workers without recent failures, then warm ones in the rack of the
// data, then the fullest worker, so that wide tasks keep room.
func (p *Pool) Choose(t *job.Task, allowed func(*worker.Worker) bool) *worker.Worker {
	spec := t.Spec()
	var best *worker.Worker
	var bestCost int64
	for _, w := range p.workers {
		if !w.Fits(spec) || !w.HasLabel(spec.Label) || !allowed(w) {
			continue
		}
		if spec.MaxPerWorker > 0 && w.CountStep(t.Occurrence, t.Step) >= spec.MaxPerWorker {
			continue
		}
		if cost := p.cost(w, t); best == nil || cost < bestCost {
			best, bestCost = w, cost
		}
	}
	return best
}

func (p *Pool) cost(w *worker.Worker, t *job.Task) int64 {
	spec := t.Spec()
	cost := w.Free().MilliCores
	if w.ID == t.FailedOn {
		cost += weightFailed
	}
	if w.Suspect() {
		cost += weightSuspect
	}
	if spec.Rack != "" && w.Rack() != spec.Rack {
		cost += weightSlow
	}
	if p.now.Before(w.ColdUntil) {
		cost += weightSlow
	}
	if spec.Lasting {
		// The tasks of a step spread over data centres, and no worker holds more of
		// them than need be, so that a loss takes few. Apart from that they stay
		// together and leave machines idle.
		cost += int64(p.inCentre(w.Zone, t)) * weightCentre
		if !w.HoldsLasting() && p.holdingLasting() >= lastingWorkers {
			cost += weightOpen
		}
		cost += int64(max(0, w.CountStep(t.Occurrence, t.Step)+1-lastingTogether)) * weightCrowded
	}
	return cost
}

// lastingTogether is how many lasting tasks of a step share a worker before
// another one is preferred.
const lastingTogether = 2

// lastingWorkers is the number of workers of a pool that take lasting tasks
// before another one does. A pool keeps that many machines anyway; further ones
// cannot be switched off while they hold lasting tasks.
const lastingWorkers = 3

// weightOpen keeps the other workers free of lasting tasks.
const weightOpen = 1 << 29

// holdingLasting returns how many workers of the pool hold lasting tasks.
func (p *Pool) holdingLasting() int {
	n := 0
	for _, w := range p.workers {
		if w.HoldsLasting() {
			n++
		}
	}
	return n
}

// weightCentre spreads them over data centres before that.
const weightCentre = 1 << 24

// inCentre returns how many tasks of the same step a data centre holds.
func (p *Pool) inCentre(dataCentre string, t *job.Task) int {
	n := 0
	for _, w := range p.workers {
		if w.Zone == dataCentre {
			n += w.CountStep(t.Occurrence, t.Step)
		}
	}
	return n
}

// weightCrowded spreads the lasting tasks of a step before free room counts.
const weightCrowded = 1 << 20

// ChooseGang returns a worker for each task of a gang, or false when not all
// fit. A gang that works best in one rack gets one if any rack has room.
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

// chooseAll fits the tasks in order, most free room first.
func (p *Pool) chooseAll(tasks []job.Task, allowed func(*worker.Worker) bool) ([]*worker.Worker, bool) {
	spec := tasks[0].Spec()
	chosen := make([]*worker.Worker, 0, len(tasks))
	for _, w := range p.workers {
		if !w.HasLabel(spec.Label) || !allowed(w) {
			continue
		}
		free := w.Free()
		for held := 0; len(chosen) < len(tasks) && spec.Room().FitsIn(free); held++ {
			if spec.MaxPerWorker > 0 && held >= spec.MaxPerWorker {
				break
			}
			free = free.Minus(spec.Room())
			chosen = append(chosen, w)
		}
	}
	return chosen, len(chosen) == len(tasks)
}
