package scheduler

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// Bounds of the users' rule on work that could run: a job has nothing running for
// idleBound, after the store, the nodes and the workers have been calm for calmBound,
// although a ready task fits twice into the free room, its team has under half of its
// limit and the workers under half of their capacity in use.
const (
	idleBound       = 3 * time.Second
	calmBound       = 4 * time.Second
	livenessSamples = 250 * time.Millisecond
)

// liveness tracks since when each job could run and does not.
type liveness struct {
	calmSince time.Time
	idleSince map[job.ID]time.Time
}

// watchLiveness samples the simulation from now on.
func (w *simulation) watchLiveness() {
	l := &liveness{calmSince: w.now, idleSince: make(map[job.ID]time.Time)}
	var sample func()
	sample = func() {
		w.sampleLiveness(l)
		w.after(livenessSamples, sample)
	}
	w.after(livenessSamples, sample)
}

func (w *simulation) sampleLiveness(l *liveness) {
	if !w.calm() {
		l.calmSince = w.now
	}
	if w.now.Sub(l.calmSince) < calmBound {
		clear(l.idleSince)
		return
	}
	free, capacity, used := machine.Resources{}, machine.Resources{}, machine.Resources{}
	running := make(map[job.ID]bool)
	for _, x := range w.workers {
		if x.dead || x.description.Service != "s" || w.zoneOut(x.description.DataCentre) {
			continue
		}
		capacity, free = capacity.Plus(x.description.Capacity), free.Plus(x.description.Capacity)
		for _, run := range x.running {
			need := w.jobs[run.task.Job].Steps[run.task.Step].Need
			free, used = free.Minus(need), used.Plus(need)
			running[run.task.Job] = true
		}
	}
	lightlyLoaded := used.Plus(used).FitsIn(capacity) && used.Plus(used).FitsIn(machine.Resources{MilliCores: w.teamLimit.MilliCores, MemoryMB: capacity.MemoryMB})
	for id := range w.jobs {
		if running[id] || !lightlyLoaded || !w.readyTaskFitsTwice(id, free) {
			delete(l.idleSince, id)
			continue
		}
		since, known := l.idleSince[id]
		if !known {
			l.idleSince[id] = w.now
		} else if w.now.Sub(since) > idleBound {
			w.fail("LOST: job %s could run since %v and does not", id, w.now.Sub(since))
		}
	}
}

// calm reports whether no fault is under way. A worker that is down counts as one.
func (w *simulation) calm() bool {
	if !w.faultFree() {
		return false
	}
	for _, x := range w.workers {
		if x.silent || x.failing || x.dead && w.listedWorker(x.description.ID) {
			return false
		}
	}
	return true
}

func (w *simulation) listedWorker(id string) bool {
	_, listed := w.store.get("worker/" + id)
	return listed
}

func (w *simulation) zoneOut(zone string) bool {
	item, ok := w.store.get("out")
	change, _ := item.value.(DataCentreChanged)
	return ok && change.Out && change.DataCentre == zone
}

// readyTaskFitsTwice reports whether a job that has not ended has a task whose earlier
// steps have ended, and that fits twice into free.
func (w *simulation) readyTaskFitsTwice(id job.ID, free machine.Resources) bool {
	spec := w.jobs[id]
	if _, cancelled := w.cancels[id]; cancelled || spec.Times > 0 || w.state(id).Final() {
		return false
	}
	stepDone := func(step int) bool {
		for i := range spec.Steps[step].Count {
			if !w.finished[job.TaskName{Job: id, Step: step, Index: i}.String()] {
				return false
			}
		}
		return true
	}
	for step := range spec.Steps {
		if stepDone(step) {
			continue
		}
		ready := true
		for _, earlier := range spec.Steps[step].After {
			ready = ready && stepDone(earlier)
		}
		need := spec.Steps[step].Need
		if ready && need.Plus(need).FitsIn(free) {
			return true
		}
	}
	return false
}
