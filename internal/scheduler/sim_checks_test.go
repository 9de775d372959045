package scheduler

import (
	"strings"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/machine/upkeep"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// checkStart checks the rules for the start of a run when a worker starts it.
func (w *simulation) checkStart(x *simWorker, o worker.StartOrder) {
	name := o.Task.String()
	spec, known := w.jobs[o.Task.Job]
	if !known {
		w.fail("UNASKED: %s starts, but its job was not submitted", name)
	}
	step := spec.Steps[o.Task.Step]
	if until, known := w.tickets[o.Ticket]; w.requiresAdvice && (!known || w.now.After(until) || !strings.HasSuffix(o.Ticket, "@"+x.description.ID)) {
		w.fail("ROUTE: %s starts on %s with ticket %q", name, x.description.ID, o.Ticket)
	}
	if w.crashes[name] >= 3 {
		if w.furtherStarts[name]++; w.furtherStarts[name] >= 3 {
			w.fail("BUDGET: %s starts three times more after three workers have crashed under it", name)
		}
	}
	if w.acknowledged[name] {
		w.fail("TWICE: %s starts again after its end was acknowledged", name)
	}
	used := machine.Resources{}
	for _, other := range w.workers {
		if other.dead {
			continue
		}
		for key, run := range other.running {
			if key == name && !step.Speculative {
				w.fail("TWICE: %s starts on %s while it runs on %s", name, x.description.ID, other.description.ID)
			}
			used = used.Plus(w.jobs[run.task.Job].Steps[run.task.Step].Need)
		}
	}
	if total := used.Plus(step.Need); total.MilliCores > w.teamLimit.MilliCores {
		w.fail("QUOTA: %s brings the team to %d of %d milli-cores", name, total.MilliCores, w.teamLimit.MilliCores)
	}
	workerUse := step.CountedNeed()
	sameStep := 1
	for _, run := range x.running {
		workerUse = workerUse.Plus(w.jobs[run.task.Job].Steps[run.task.Step].CountedNeed())
		if run.task.Job == o.Task.Job && run.task.Step == o.Task.Step && run.task.Occurrence == o.Task.Occurrence {
			sameStep++
		}
	}
	if !workerUse.FitsIn(x.description.Capacity) {
		w.fail("LIMIT: %s brings %s over its capacity", name, x.description.ID)
	}
	if step.MaxPerWorker > 0 && sameStep > step.MaxPerWorker {
		w.fail("ROUTE: %d tasks of the step of %s on %s", sameStep, name, x.description.ID)
	}
	for _, earlier := range step.After {
		for i := range spec.Steps[earlier].Count {
			before := job.TaskName{Job: o.Task.Job, Occurrence: o.Task.Occurrence, Step: earlier, Index: i}
			if !w.finished[before.String()] {
				w.fail("ORDER: %s starts before %s has ended", name, before)
			}
		}
	}
	if due := spec.FirstDue + int64(o.Task.Occurrence)*spec.Interval.Milliseconds(); spec.Times > 0 && w.now.UnixMilli() < due-250 {
		w.fail("ORDER: %s starts %d ms before its time", name, due-w.now.UnixMilli())
	}
	if at, cancelled := w.cancels[o.Task.Job]; cancelled && w.now.Sub(at) > cancelBound && w.faultFree() {
		w.fail("UNASKED: %s starts %v after its job was cancelled", name, w.now.Sub(at))
	}
}

// cancelBound is the users' bound, in nanoseconds, after which no task of a cancelled
// job may start.
const cancelBound = 3_000_000_000

// unavailableBound is the users' bound, in nanoseconds, after which a task that
// does not run counts as unavailable, whatever the cause.
const unavailableBound = 4_500_000_000

// machineOpGapBound is the users' least time, in nanoseconds, between the
// machine operations of two holders of the scheduler lease.
const machineOpGapBound = 3_000_000_000

// faultFree reports whether every node runs and reaches the store, and no calls are
// lost or late.
func (w *simulation) faultFree() bool {
	for _, n := range w.nodes {
		if n.frozen || n.cutOff || n.down {
			return false
		}
	}
	return !w.store.down && w.lossRate == 0 && w.lateRate == 0
}

// checkAcknowledged checks that the store holds the effect of an end on its job
// when a worker discards the end.
func (w *simulation) checkAcknowledged(end worker.EndReport) {
	spec := w.jobs[end.Task.Job].Steps[end.Task.Step]
	if spec.LongRunning || end.Reason != worker.EndDone {
		return
	}
	w.acknowledged[end.Task.String()] = true
	item, ok := w.store.get("s/" + string(end.Task.Job))
	if !ok {
		w.fail("LOST: the end of %s is discarded and no progress of its job is stored", end.Task)
	}
	p := item.value.(job.Progress)
	j := job.New(end.Task.Job, w.terms[end.Task.Job], w.jobs[end.Task.Job], 0, 0)
	j.Stored = p
	j.StartLeading()
	j.OpenDue(1 << 60)
	if t := j.Task(end.Task); !p.State.Final() && t != nil && !t.Done() {
		w.fail("LOST: the end of %s is discarded and not stored", end.Task)
	}
}

// checkFinalState checks the final state of a job when it is stored. From then on,
// callers can read it.
func (w *simulation) checkFinalState(p ProgressWrite) {
	spec := w.jobs[p.Job]
	if p.Progress.State.Final() && w.ended[p.Job].IsZero() {
		w.ended[p.Job] = w.now
	}
	switch p.Progress.State {
	case job.Completed:
		for occurrence := range max(1, spec.Times) {
			for step := range spec.Steps {
				for i := range spec.Steps[step].Count {
					name := job.TaskName{Job: p.Job, Occurrence: occurrence, Step: step, Index: i}
					if !w.finished[name.String()] {
						w.fail("MIXED: %s is stored as completed and %s has not ended as done", p.Job, name)
					}
				}
			}
		}
	case job.Failed:
		worst, deadly := 0, false
		for name, n := range w.failed {
			if parsed, _ := job.ParseTaskName(name); parsed.Job == p.Job {
				worst = max(worst, n)
			}
		}
		for name := range w.deadly {
			parsed, _ := job.ParseTaskName(name)
			deadly = deadly || parsed.Job == p.Job && w.crashes[name] >= 2
		}
		// The users allow a job to be given up for a task that crashes its workers, when two
		// have crashed under it.
		if worst < w.terms[p.Job].Attempts && !deadly {
			w.fail("LOST: %s is stored as failed after %d failures", p.Job, worst)
		}
	case job.Cancelled:
		if _, asked := w.cancels[p.Job]; !asked {
			w.fail("LOST: %s is stored as cancelled but no cancellation was requested", p.Job)
		}
	}
}

// checkMachineFence checks the order of the fencing tokens of a machine's orders, also of
// those without effect.
func (w *simulation) checkMachineFence(m *simMachine, fence int64) {
	if fence < m.lastFence {
		w.fail("ONE: an order for %s under fence %d after %d", m.name, fence, m.lastFence)
	}
	m.lastFence = fence
}

// checkMachineOp checks the rules for a machine operation when it is carried out.
func (w *simulation) checkMachineOp(m *simMachine, holder string, wave, fence int64) {
	if m.lastHolder != "" && m.lastHolder != holder && w.now.Sub(m.lastOpAt) < machineOpGapBound {
		w.fail("ONE: %s orders %s %v after %s", holder, m.name, w.now.Sub(m.lastOpAt), m.lastHolder)
	}
	m.lastHolder, m.lastOpAt = holder, w.now
	if wave == 0 {
		return
	}
	item, _ := w.store.get("wave")
	order := item.value.(upkeep.Order)
	down := 0
	for _, other := range w.machines {
		if other.state == upkeep.MachineUpkeep && other.wave == wave {
			down++
		}
	}
	if down >= order.MaxConcurrent {
		w.fail("LIMIT: upkeep of %s begins while %d machines of its wave are down", m.name, down)
	}
	w.checkAvailability(m)
}

// checkAvailability checks that a machine operation leaves enough tasks of each
// long-running step available.
func (w *simulation) checkAvailability(m *simMachine) {
	x := w.workers[m.worker]
	if x == nil || !w.faultFree() {
		return
	}
	for _, run := range x.running {
		step := w.jobs[run.task.Job].Steps[run.task.Step]
		if !step.LongRunning || step.MaxUnavailable == 0 || w.now.Sub(run.startedAt).Milliseconds() < 250 {
			continue
		}
		unavailable := 0
		for i := range step.Count {
			other := job.TaskName{Job: run.task.Job, Occurrence: run.task.Occurrence, Step: run.task.Step, Index: i}
			last, known := w.absences[other.String()]
			if other != run.task && !w.runsTask(other.String()) && known && (last.ordered || w.now.Sub(last.at) > unavailableBound) {
				unavailable++
			}
		}
		if unavailable >= step.MaxUnavailable {
			w.fail("AVAIL: %s is ended while %d other tasks of its step are unavailable", run.task, unavailable)
		}
	}
}

func (w *simulation) runsTask(name string) bool {
	for _, x := range w.workers {
		if run := x.running[name]; run != nil && !x.dead && w.now.Sub(run.startedAt).Milliseconds() > 150 {
			return true
		}
	}
	return false
}

// checkWave checks that the upkeep of every machine of a wave has begun when the wave
// is reported as completed.
func (w *simulation) checkWave(wave int64) {
	item, _ := w.store.get("wave")
	for _, name := range item.value.(upkeep.Order).Machines {
		if m := w.machines[name]; m != nil && !m.waves[wave] {
			w.fail("MIXED: wave %d is reported as completed without %s", wave, name)
		}
	}
}
