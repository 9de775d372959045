package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/machine/upkeep"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// simWorker is one incarnation of a worker in virtual time.
type simWorker struct {
	w      *world
	d      worker.Description
	begun  time.Time
	rate   float64
	fence  int64
	until  time.Time
	live   map[string]*simRun
	barred map[string]int
	ends   []worker.EndReport
	next   int64
	silent bool
	// failing workers fail all that they start.
	failing bool
	dead    bool
}

// absence is when a task stopped working and whether it was ordered to.
type absence struct {
	at      time.Time
	ordered bool
}

type simRun struct {
	task  job.TaskName
	run   int
	began time.Time
	// pace is the share of full speed in percent.
	pace int
	// overSince is when a serving run's tail went over its objective beside runs
	// that fill, zero while it is below.
	overSince time.Time
}

// interfere sets how much tasks that fill add to the tail of serving ones at full
// pace, in parts of the objective.
func (w *world) interfere(share float64) { w.interference = share }

// tail returns the tail latency of a serving run: half of its objective alone,
// more beside tasks that fill. It checks that these do not harm it for long.
func (x *simWorker) tail(run *simRun) int {
	spec := x.w.jobs[run.task.Job].Steps[run.task.Step]
	if spec.LatencyObjective == 0 {
		return 0
	}
	pace := 0
	for _, other := range x.live {
		if x.w.jobs[other.task.Job].Steps[other.task.Step].Fills {
			pace = max(pace, other.pace)
		}
	}
	load := 0.5 + x.w.interference*float64(pace)/100
	if load < 1 || pace == 0 {
		run.overSince = time.Time{}
	} else if run.overSince.IsZero() {
		run.overSince = x.w.now
	} else if x.w.now.Sub(run.overSince) > impact {
		x.w.fail("HARM: %s is over its objective for %v beside tasks at %d%%", run.task, impact, pace)
	}
	return int(load * float64(spec.LatencyObjective.Milliseconds()))
}

// impact is how long a serving task may be harmed.
const impact = 4 * time.Second

func (x *simWorker) setPace(a PaceRun) {
	if x == nil || x.dead || x.silent || a.Fence < x.fence {
		return
	}
	if run := x.live[a.Run.Task.String()]; run != nil && run.run == a.Run.Number {
		run.pace = a.Percent
	}
}

func (w *world) addWorker(id, service, zone, rack string) *simWorker {
	x := &simWorker{
		w: w, begun: w.now, rate: 1 - 0.02*w.random.Float64(),
		live: make(map[string]*simRun), barred: make(map[string]int),
		d: worker.Description{
			ID: id, Service: service, Address: id, Zone: zone, Labels: []string{"a", rack},
			Capacity: machine.Resources{MilliCores: 8000, MemoryMB: 16384}, Born: w.now.UnixMilli(),
		},
	}
	w.workers[id] = x
	w.store.put("worker/"+id, x.d, 0)
	return x
}

func (w *world) workerOf(id string) *simWorker {
	x := w.workers[id]
	if x == nil || x.dead {
		return nil
	}
	return x
}

func (x *simWorker) clock() int64 {
	return int64(float64(x.w.now.Sub(x.begun).Milliseconds())*x.rate) + 1
}

// local returns the time at which the worker's clock shows a value.
func (x *simWorker) local(millis int64) time.Time {
	return x.w.now.Add(time.Duration(float64(millis-x.clock())/x.rate) * time.Millisecond)
}

func (x *simWorker) extend(untilMS int64) {
	until := x.local(untilMS)
	if longest := x.w.now.Add(time.Duration(float64(6*time.Second) / x.rate)); until.After(longest) {
		until = longest
	}
	if !until.After(x.until) {
		return
	}
	x.until = until
	x.w.after(until.Sub(x.w.now), func() {
		if !x.w.now.Before(x.until) {
			for _, name := range slices.Sorted(maps.Keys(x.live)) {
				x.end(name, worker.EndLapsed)
			}
		}
	})
}

func (x *simWorker) start(o worker.StartOrder, e *StartAnswered) {
	if x == nil || x.dead || x.silent {
		e.Outcome = StartUnknown
		return
	}
	name := o.Task.String()
	refuse := func(r worker.Refusal) { e.Outcome, e.Refusal = StartNotDone, r }
	switch {
	case o.Fence < x.fence:
		refuse(worker.RefusedFence)
		return
	case x.live[name] != nil && x.live[name].run == o.Run:
		e.ClockMillis = x.clock()
		return
	case o.Run <= x.barred[name] || x.live[name] != nil:
		x.fence = o.Fence
		refuse(worker.RefusedOld)
		return
	case x.clock() > o.EndsAt:
		x.fence = o.Fence
		refuse(worker.RefusedLate)
		return
	}
	x.fence = o.Fence
	x.extend(o.EndsAt)
	x.w.checkStart(x, o)
	run := &simRun{task: o.Task, run: o.Run, began: x.w.now, pace: 100}
	x.live[name] = run
	e.ClockMillis = x.clock()
	x.w.log("%s starts %s run %d", x.d.ID, name, o.Run)
	spec := x.w.jobs[o.Task.Job].Steps[o.Task.Step]
	if spec.Lasting && !x.failing {
		return
	}
	takes := time.Duration(float64(spec.Estimate) * (0.7 + 0.6*x.w.random.Float64()))
	how := worker.EndDone
	if x.failing || x.w.random.Float64() < 0.02 {
		how = worker.EndFailed
	}
	x.w.after(takes, func() {
		if x.live[name] == run {
			x.end(name, how)
		}
	})
}

func (x *simWorker) end(name string, how worker.EndReason) {
	run := x.live[name]
	delete(x.live, name)
	x.barred[name] = max(x.barred[name], run.run)
	x.next++
	x.ends = append(x.ends, worker.EndReport{Number: x.next, Task: run.task, Run: run.run, Reason: how})
	x.w.log("%s ends %s run %d %s", x.d.ID, name, run.run, how)
	step := x.w.jobs[run.task.Job].Steps[run.task.Step]
	if how == worker.EndDone && !step.Lasting {
		x.w.finished[name] = true
	}
	if how == worker.EndDone && step.Gang {
		x.w.endGang(run.task, step.Count)
	}
	if how == worker.EndFailed {
		x.w.failed[name]++
	}
	x.w.away[name] = absence{x.w.now, how == worker.EndStopped}
}

// endGang ends the other members of a gang together with one of them.
func (w *world) endGang(task job.TaskName, count int) {
	for i := range count {
		member := task
		member.Index = i
		w.finished[member.String()] = true
		for _, other := range w.workers {
			if other.live[member.String()] != nil && !other.dead {
				other.end(member.String(), worker.EndDone)
			}
		}
	}
}

func (x *simWorker) stop(a StopRun) (ok, fenced bool) {
	if x == nil || x.dead || x.silent {
		return false, false
	}
	if a.Fence < x.fence {
		return false, true
	}
	x.fence = a.Fence
	name := a.Run.Task.String()
	if run := x.live[name]; run != nil && run.run == a.Run.Number {
		x.w.after(50*time.Millisecond, func() {
			if x.live[name] == run {
				x.end(name, worker.EndStopped)
			}
		})
	}
	x.barred[name] = max(x.barred[name], a.Run.Number)
	return true, false
}

func (x *simWorker) hold(q worker.Question, e *WorkerAnswered) {
	if x.dead || x.silent {
		return
	}
	if q.Fence < x.fence {
		e.Outcome = AskFenced
		return
	}
	x.fence = q.Fence
	if q.HoldUntil > 0 {
		x.extend(q.HoldUntil)
	}
	x.ends = slices.DeleteFunc(x.ends, func(end worker.EndReport) bool {
		gone := end.Number <= q.Acknowledged
		if gone {
			x.w.log("%s forgets %d up to %d fence %d, born %d", x.d.ID, end.Number, q.Acknowledged, q.Fence, x.d.Born)
		}
		if gone {
			x.w.checkAcknowledged(end)
		}
		return gone
	})
	e.Outcome = AskAnswered
	e.Report = worker.Report{ClockMillis: x.clock(), Born: x.d.Born, Ended: slices.Clone(x.ends)}
	for _, name := range slices.Sorted(maps.Keys(x.live)) {
		run := x.live[name]
		percent := 0
		if x.w.now.Sub(run.began) > 200*time.Millisecond {
			percent = 100
		}
		e.Report.Running = append(e.Report.Running, worker.RunReport{Task: run.task, Run: run.run, Percent: percent, Measured: x.tail(run)})
	}
}

// crash ends everything on a worker and starts it again under the same id.
func (w *world) crash(id string) {
	old := w.workers[id]
	old.dead = true
	for name := range old.live {
		w.away[name] = absence{w.now, false}
	}
	old.live = make(map[string]*simRun)
	w.log("%s crashes", id)
	d := old.d
	w.after(time.Duration(200+w.random.IntN(2000))*time.Millisecond, func() { w.addWorker(id, d.Service, d.Zone, d.Labels[1]) })
}

// simMachine outlives its workers.
type simMachine struct {
	name, pool, worker, zone, rack string
	state                          upkeep.MachineState
	wave                           int64
	waves                          map[int64]bool
	lastFence                      int64
	lastHolder                     string
	lastDuty                       time.Time
}

func (w *world) addMachine(number int, pool string) {
	name := fmt.Sprintf("m-%d", number)
	m := &simMachine{name: name, pool: pool, state: upkeep.MachineUp, zone: fmt.Sprintf("z%d", number%3), rack: fmt.Sprintf("r%d", number/2), waves: make(map[int64]bool)}
	w.machines[name] = m
	w.renewWorker(m)
}

func (w *world) renewWorker(m *simMachine) {
	m.worker = ""
	if m.pool == "spare" {
		return
	}
	w.sequence++
	m.worker = fmt.Sprintf("i-%s-%d", m.name, w.sequence)
	w.addWorker(m.worker, m.pool, m.zone, m.rack)
}

func (w *world) listMachines() []upkeep.Machine {
	var list []upkeep.Machine
	for _, name := range slices.Sorted(maps.Keys(w.machines)) {
		m := w.machines[name]
		list = append(list, upkeep.Machine{
			Name: name, Pool: m.pool, State: m.state, DataCentre: m.zone, Worker: m.worker,
			Capacity: machine.Resources{MilliCores: 8000, MemoryMB: 16384},
		})
	}
	return list
}

// duty carries an order for a machine out.
func (n *simNode) duty(name, pool string, wave, fence int64, notAfter time.Time, event func(DutyOutcome, upkeep.Refusal) Event) {
	w := n.w
	if !w.now.Before(notAfter) {
		n.reply(event(DutyNotDone, ""))
		return
	}
	outcome, refusal := DutyDone, upkeep.Refusal("")
	effect := func() {
		m := w.machines[name]
		switch {
		case pool == "" && m.waves[wave] || pool == m.pool:
			return
		case m.state != upkeep.MachineUp:
			outcome, refusal = DutyNotDone, upkeep.RefusedBusy
			return
		}
		w.checkDuty(m, n.name, wave, fence)
		w.takeDown(m, pool, wave)
	}
	// Orders for machines are not carried out late on this platform; their answers
	// may be lost.
	lost := w.random.Float64() < w.lossy
	w.after(w.latency(), func() {
		effect()
		if lost {
			n.later(time.Second, func() { n.apply(event(DutyUnknown, "")) })
			return
		}
		n.later(w.latency(), func() { n.apply(event(outcome, refusal)) })
	})
}

func (w *world) takeDown(m *simMachine, pool string, wave int64) {
	w.log("machine %s goes down, pool %q wave %d", m.name, pool, wave)
	if old := w.workers[m.worker]; old != nil {
		old.dead = true
		for name := range old.live {
			w.away[name] = absence{w.now, true}
		}
		old.live = make(map[string]*simRun)
		w.store.remove("worker/" + m.worker)
	}
	m.worker = ""
	m.state = upkeep.MachineUpkeep
	if pool != "" {
		m.pool, m.state = pool, upkeep.MachineMoving
	} else {
		m.waves[wave], m.wave = true, wave
	}
	w.after(1500*time.Millisecond, func() {
		m.state = upkeep.MachineUp
		w.renewWorker(m)
	})
}
