package scheduler

import (
	"strings"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/machine/upkeep"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// checkStart checks the rules for a start at the moment a worker begins it.
func (w *world) checkStart(x *simWorker, o worker.StartOrder) {
	name := o.Task.String()
	spec, known := w.jobs[o.Task.Job]
	if !known {
		w.fail("UNASKED: %s starts, which nobody submitted", name)
	}
	step := spec.Steps[o.Task.Step]
	if until, known := w.tickets[o.Ticket]; w.advised && (!known || w.now.After(until) || !strings.HasSuffix(o.Ticket, "@"+x.d.ID)) {
		w.fail("ROUTE: %s starts on %s with ticket %q", name, x.d.ID, o.Ticket)
	}
	if w.acknowledged[name] {
		w.fail("TWICE: %s starts again after its end was taken note of", name)
	}
	used := machine.Resources{}
	for _, other := range w.workers {
		if other.dead {
			continue
		}
		for key, run := range other.live {
			if key == name && !step.Speculative {
				w.fail("TWICE: %s starts on %s while it runs on %s", name, x.d.ID, other.d.ID)
			}
			used = used.Plus(w.jobs[run.task.Job].Steps[run.task.Step].Need)
		}
	}
	if total := used.Plus(step.Need); total.MilliCores > w.caps.MilliCores {
		w.fail("QUOTA: %s brings the team to %d of %d milli-cores", name, total.MilliCores, w.caps.MilliCores)
	}
	onWorker := step.Room()
	same := 1
	for _, run := range x.live {
		onWorker = onWorker.Plus(w.jobs[run.task.Job].Steps[run.task.Step].Room())
		if run.task.Job == o.Task.Job && run.task.Step == o.Task.Step && run.task.Occurrence == o.Task.Occurrence {
			same++
		}
	}
	if !onWorker.FitsIn(x.d.Capacity) {
		w.fail("LIMIT: %s brings %s over its capacity", name, x.d.ID)
	}
	if step.MaxPerWorker > 0 && same > step.MaxPerWorker {
		w.fail("ROUTE: %d tasks of the step of %s on %s", same, name, x.d.ID)
	}
	for _, earlier := range step.After {
		for i := range spec.Steps[earlier].Count {
			before := job.TaskName{Job: o.Task.Job, Occurrence: o.Task.Occurrence, Step: earlier, Index: i}
			if !w.finished[before.String()] {
				w.fail("ORDER: %s starts before %s has ended", name, before)
			}
		}
	}
	if due := spec.First + int64(o.Task.Occurrence)*spec.Interval.Milliseconds(); spec.Times > 0 && w.now.UnixMilli() < due-250 {
		w.fail("ORDER: %s starts %d ms before its time", name, due-w.now.UnixMilli())
	}
	if at, cancelled := w.cancels[o.Task.Job]; cancelled && w.now.Sub(at) > cancelBound && w.calm() {
		w.fail("UNASKED: %s starts %v after its job was cancelled", name, w.now.Sub(at))
	}
}

// cancelBound is the users' bound for starts of a cancelled job.
const cancelBound = 3_000_000_000

// noticeBound is the users' bound after which a task that does not work counts
// as away, whatever the cause.
const noticeBound = 4_500_000_000

// turnBound is the users' least time between the orders of two holders.
const turnBound = 3_000_000_000

// calm reports whether every node reaches the store.
func (w *world) calm() bool {
	for _, n := range w.nodes {
		if n.frozen || n.cut || n.down {
			return false
		}
	}
	return !w.store.down && w.lossy == 0 && w.late == 0
}

// checkAcknowledged checks that an end is forgotten only when the store holds
// what follows from it.
func (w *world) checkAcknowledged(end worker.EndReport) {
	spec := w.jobs[end.Task.Job].Steps[end.Task.Step]
	if spec.Lasting || end.Reason != worker.EndDone {
		return
	}
	w.acknowledged[end.Task.String()] = true
	item, ok := w.store.present("s/" + string(end.Task.Job))
	if !ok {
		w.fail("LOST: the end of %s is forgotten and nothing of its job is stored", end.Task)
	}
	p := item.value.(job.Progress)
	j := job.New(end.Task.Job, w.terms[end.Task.Job], w.jobs[end.Task.Job], 0, 0)
	j.Stored = p
	j.Lead()
	j.OpenDue(1 << 60)
	if t := j.Task(end.Task); !p.State.Final() && t != nil && !t.Done() {
		w.fail("LOST: the end of %s is forgotten and not stored", end.Task)
	}
}

// checkShown checks a final state at the moment it can be shown.
func (w *world) checkShown(p ProgressWrite) {
	spec := w.jobs[p.Job]
	switch p.Progress.State {
	case job.Completed:
		for occurrence := range max(1, spec.Times) {
			for step := range spec.Steps {
				for i := range spec.Steps[step].Count {
					name := job.TaskName{Job: p.Job, Occurrence: occurrence, Step: step, Index: i}
					if !w.finished[name.String()] {
						w.fail("MIXED: %s is shown completed and %s has not ended done", p.Job, name)
					}
				}
			}
		}
	case job.Failed:
		worst := 0
		for name, n := range w.failed {
			if parsed, _ := job.ParseTaskName(name); parsed.Job == p.Job {
				worst = max(worst, n)
			}
		}
		if worst < w.terms[p.Job].Attempts {
			w.fail("LOST: %s is shown failed after %d failures", p.Job, worst)
		}
	case job.Cancelled:
		if _, asked := w.cancels[p.Job]; !asked {
			w.fail("LOST: %s is shown cancelled without cause", p.Job)
		}
	}
}

// checkDuty checks the rules for an order for a machine.
func (w *world) checkDuty(m *simMachine, holder string, wave, fence int64) {
	if fence < m.lastFence {
		w.fail("ONE: an order for %s under fence %d after %d", m.name, fence, m.lastFence)
	}
	if m.lastHolder != "" && m.lastHolder != holder && w.now.Sub(m.lastDuty) < turnBound {
		w.fail("ONE: %s orders %s %v after %s", holder, m.name, w.now.Sub(m.lastDuty), m.lastHolder)
	}
	m.lastFence, m.lastHolder, m.lastDuty = fence, holder, w.now
	if wave == 0 {
		return
	}
	item, _ := w.store.present("wave")
	order := item.value.(upkeep.Order)
	down := 0
	for _, other := range w.machines {
		if other.state == upkeep.MachineUpkeep && other.wave == wave {
			down++
		}
	}
	if down >= order.AtOnce {
		w.fail("LIMIT: upkeep of %s begins while %d machines of its wave are down", m.name, down)
	}
	w.checkAvailability(m)
}

// checkAvailability checks that an order leaves enough of each lasting step at
// work.
func (w *world) checkAvailability(m *simMachine) {
	x := w.workers[m.worker]
	if x == nil || !w.calm() {
		return
	}
	for _, run := range x.live {
		step := w.jobs[run.task.Job].Steps[run.task.Step]
		if !step.Lasting || step.MayMiss == 0 || w.now.Sub(run.began).Milliseconds() < 250 {
			continue
		}
		away := 0
		for i := range step.Count {
			other := job.TaskName{Job: run.task.Job, Occurrence: run.task.Occurrence, Step: run.task.Step, Index: i}
			gone, known := w.away[other.String()]
			if other != run.task && !w.working(other.String()) && known && (gone.ordered || w.now.Sub(gone.at) > noticeBound) {
				away++
			}
		}
		if away >= step.MayMiss {
			w.fail("AVAIL: %s is ended while %d others of its step are away", run.task, away)
		}
	}
}

func (w *world) working(name string) bool {
	for _, x := range w.workers {
		if run := x.live[name]; run != nil && !x.dead && w.now.Sub(run.began).Milliseconds() > 150 {
			return true
		}
	}
	return false
}

// checkWave checks that a wave which is said to be completed is.
func (w *world) checkWave(wave int64) {
	item, _ := w.store.present("wave")
	for _, name := range item.value.(upkeep.Order).Machines {
		if m := w.machines[name]; m != nil && !m.waves[wave] {
			w.fail("MIXED: wave %d is said to be completed without %s", wave, name)
		}
	}
}
