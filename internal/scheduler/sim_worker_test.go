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

// simWorker is one incarnation of a simulated worker.
type simWorker struct {
	w           *simulation
	description worker.Description
	startedAt   time.Time
	clockRate   float64
	fence       int64
	leaseUntil  time.Time
	running     map[string]*simRun
	// stoppedRuns maps a task to its highest run that was stopped or has ended. The
	// worker refuses starts up to that number.
	stoppedRuns map[string]int
	ends        []worker.EndReport
	lastEnd     int64
	silent      bool
	// failing makes every run that starts on the worker fail.
	failing bool
	dead    bool
}

// absence records when a task stopped running and whether a scheduler ordered it.
type absence struct {
	at      time.Time
	ordered bool
}

type simRun struct {
	task      job.TaskName
	run       int
	startedAt time.Time
	// pace is in percent of full speed.
	pace int
	// overSince is when the tail latency of a serving run went over its objective
	// because of filler runs, zero while it is below.
	overSince time.Time
}

// setInterference sets what filler tasks at full pace add to the tail latency of
// serving tasks, as a fraction of the objective.
func (w *simulation) setInterference(share float64) { w.interference = share }

// tailLatency returns the tail latency of a serving run in ms: half of its
// objective without filler runs on the worker, more with them. It checks that
// the filler runs do not keep it over its objective for longer than
// maxOverObjective.
func (x *simWorker) tailLatency(run *simRun) int {
	spec := x.w.jobs[run.task.Job].Steps[run.task.Step]
	if spec.LatencyObjective == 0 {
		return 0
	}
	pace := 0
	for _, other := range x.running {
		if x.w.jobs[other.task.Job].Steps[other.task.Step].Filler {
			pace = max(pace, other.pace)
		}
	}
	load := 0.5 + x.w.interference*float64(pace)/100
	if load < 1 || pace == 0 {
		run.overSince = time.Time{}
	} else if run.overSince.IsZero() {
		run.overSince = x.w.now
	} else if x.w.now.Sub(run.overSince) > maxOverObjective {
		x.w.fail("HARM: %s is over its objective for more than %v beside filler tasks at %d%%", run.task, maxOverObjective, pace)
	}
	return int(load * float64(spec.LatencyObjective.Milliseconds()))
}

// maxOverObjective is how long filler tasks may keep a serving task over its latency
// objective.
const maxOverObjective = 4 * time.Second

func (x *simWorker) setPace(a SetPace) {
	if x == nil || x.dead || x.silent || a.Fence < x.fence {
		return
	}
	if run := x.running[a.Run.Task.String()]; run != nil && run.run == a.Run.Number {
		run.pace = a.Percent
	}
}

func (w *simulation) addWorker(id, service, zone, rack string) *simWorker {
	x := &simWorker{
		w: w, startedAt: w.now, clockRate: 1 - 0.02*w.random.Float64(),
		running: make(map[string]*simRun), stoppedRuns: make(map[string]int),
		description: worker.Description{
			ID: id, Service: service, Address: id, DataCentre: zone, Labels: []string{"a", rack},
			Capacity: machine.Resources{MilliCores: 8000, MemoryMB: 16384}, StartedMillis: w.now.UnixMilli(),
		},
	}
	w.workers[id] = x
	w.store.put("worker/"+id, x.description, 0)
	return x
}

func (w *simulation) workerOf(id string) *simWorker {
	x := w.workers[id]
	if x == nil || x.dead {
		return nil
	}
	return x
}

func (x *simWorker) clock() int64 {
	return int64(float64(x.w.now.Sub(x.startedAt).Milliseconds())*x.clockRate) + 1
}

// timeAt returns the virtual time at which the worker's clock shows millis.
func (x *simWorker) timeAt(millis int64) time.Time {
	return x.w.now.Add(time.Duration(float64(millis-x.clock())/x.clockRate) * time.Millisecond)
}

func (x *simWorker) extendLease(untilMS int64) {
	until := x.timeAt(untilMS)
	if longest := x.w.now.Add(time.Duration(float64(6*time.Second) / x.clockRate)); until.After(longest) {
		until = longest
	}
	if !until.After(x.leaseUntil) {
		return
	}
	x.leaseUntil = until
	x.w.after(until.Sub(x.w.now), func() {
		if !x.w.now.Before(x.leaseUntil) {
			for _, name := range slices.Sorted(maps.Keys(x.running)) {
				x.endRun(name, worker.EndLapsed)
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
	case x.running[name] != nil && x.running[name].run == o.Run:
		e.ClockMillis = x.clock()
		return
	case o.Run <= x.stoppedRuns[name] || x.running[name] != nil:
		x.fence = o.Fence
		refuse(worker.RefusedStaleRun)
		return
	case x.clock() > o.EndsAt:
		x.fence = o.Fence
		refuse(worker.RefusedExpired)
		return
	}
	x.fence = o.Fence
	x.extendLease(o.EndsAt)
	x.w.checkStart(x, o)
	run := &simRun{task: o.Task, run: o.Run, startedAt: x.w.now, pace: 100}
	x.running[name] = run
	e.ClockMillis = x.clock()
	x.w.log("%s starts %s run %d", x.description.ID, name, o.Run)
	if x.w.deadly[name] {
		x.w.after(x.w.crashDelay, func() {
			if x.running[name] == run {
				x.w.crashes[name]++
				x.w.crash(x.description.ID)
			}
		})
		return
	}
	spec := x.w.jobs[o.Task.Job].Steps[o.Task.Step]
	if spec.LongRunning && !x.failing {
		return
	}
	duration := time.Duration(float64(spec.Estimate) * (0.7 + 0.6*x.w.random.Float64()))
	if spec.Rack != "" && spec.Rack != x.description.Labels[1] && x.w.remoteFactor > 0 {
		duration = time.Duration(float64(duration) * x.w.remoteFactor)
	}
	reason := worker.EndDone
	if x.failing || x.w.random.Float64() < 0.02 {
		reason = worker.EndFailed
	}
	x.w.after(duration, func() {
		if x.running[name] == run {
			x.endRun(name, reason)
		}
	})
}

func (x *simWorker) endRun(name string, reason worker.EndReason) {
	run := x.running[name]
	delete(x.running, name)
	x.stoppedRuns[name] = max(x.stoppedRuns[name], run.run)
	x.lastEnd++
	x.ends = append(x.ends, worker.EndReport{Number: x.lastEnd, Task: run.task, Run: run.run, Reason: reason})
	x.w.log("%s ends %s run %d %s", x.description.ID, name, run.run, reason)
	step := x.w.jobs[run.task.Job].Steps[run.task.Step]
	if reason == worker.EndDone && !step.LongRunning {
		x.w.finished[name] = true
	}
	if reason == worker.EndDone && step.Gang {
		x.w.endGang(run.task, step.Count)
	}
	if reason == worker.EndFailed {
		x.w.failed[name]++
	}
	x.w.absences[name] = absence{x.w.now, reason == worker.EndStopped}
}

// endGang ends all tasks of a gang as done together with one of them.
func (w *simulation) endGang(task job.TaskName, count int) {
	for i := range count {
		member := task
		member.Index = i
		w.finished[member.String()] = true
		for _, other := range w.workers {
			if other.running[member.String()] != nil && !other.dead {
				other.endRun(member.String(), worker.EndDone)
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
	if run := x.running[name]; run != nil && run.run == a.Run.Number {
		x.w.after(50*time.Millisecond, func() {
			if x.running[name] == run {
				x.endRun(name, worker.EndStopped)
			}
		})
	}
	x.stoppedRuns[name] = max(x.stoppedRuns[name], a.Run.Number)
	return true, false
}

func (x *simWorker) answerPoll(q worker.PollRequest, e *WorkerAnswered) {
	if x.dead || x.silent {
		return
	}
	if q.Fence < x.fence {
		e.Outcome = PollFenced
		return
	}
	x.fence = q.Fence
	if q.HoldUntil > 0 {
		x.extendLease(q.HoldUntil)
	}
	x.ends = slices.DeleteFunc(x.ends, func(end worker.EndReport) bool {
		acknowledged := end.Number <= q.Acknowledged
		if acknowledged {
			x.w.log("%s discards end %d, acknowledged up to %d, fence %d, born %d", x.description.ID, end.Number, q.Acknowledged, q.Fence, x.description.StartedMillis)
		}
		if acknowledged {
			x.w.checkAcknowledged(end)
		}
		return acknowledged
	})
	e.Outcome = PollAnswered
	e.Report = worker.Report{ClockMillis: x.clock(), StartedMillis: x.description.StartedMillis, Ended: slices.Clone(x.ends)}
	for _, name := range slices.Sorted(maps.Keys(x.running)) {
		run := x.running[name]
		percent := 0
		if x.w.now.Sub(run.startedAt) > 200*time.Millisecond {
			percent = 100
		}
		e.Report.Running = append(e.Report.Running, worker.RunReport{Task: run.task, Run: run.run, Percent: percent, Measured: x.tailLatency(run)})
	}
}

// crash ends all runs on a worker and starts a new incarnation under the same id
// after a random delay.
func (w *simulation) crash(id string) {
	old := w.workers[id]
	old.dead = true
	for name := range old.running {
		w.absences[name] = absence{w.now, false}
	}
	old.running = make(map[string]*simRun)
	w.log("%s crashes", id)
	d := old.description
	downtime := w.downtime
	if downtime == 0 {
		downtime = time.Duration(200+w.random.IntN(2000)) * time.Millisecond
	}
	w.after(downtime, func() { w.addWorker(id, d.Service, d.DataCentre, d.Labels[1]) })
}

// simMachine is a simulated machine. It gets a new worker after each upkeep or move.
type simMachine struct {
	name, pool, worker, zone, rack string
	state                          upkeep.MachineState
	wave                           int64
	waves                          map[int64]bool
	lastFence                      int64
	lastHolder                     string
	lastOpAt                       time.Time
}

func (w *simulation) addMachine(number int, pool string) {
	name := fmt.Sprintf("m-%d", number)
	m := &simMachine{name: name, pool: pool, state: upkeep.MachineUp, zone: fmt.Sprintf("z%d", number%3), rack: fmt.Sprintf("r%d", number/2), waves: make(map[int64]bool)}
	w.machines[name] = m
	w.renewWorker(m)
}

func (w *simulation) renewWorker(m *simMachine) {
	m.worker = ""
	if m.pool == "spare" {
		return
	}
	w.sequence++
	m.worker = fmt.Sprintf("i-%s-%d", m.name, w.sequence)
	w.addWorker(m.worker, m.pool, m.zone, m.rack)
}

func (w *simulation) listMachines() []upkeep.Machine {
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

// machineOp simulates an order for a machine operation: a move if pool is set,
// upkeep for wave otherwise. The function event returns the result for the
// node.
func (n *simNode) machineOp(name, pool string, wave, fence int64, notAfter time.Time, event func(MachineOpOutcome, upkeep.Refusal) Event) {
	w := n.w
	if !w.now.Before(notAfter) {
		n.reply(event(MachineOpNotDone, ""))
		return
	}
	outcome, refusal := MachineOpDone, upkeep.Refusal("")
	effect := func() {
		m := w.machines[name]
		w.checkMachineFence(m, fence)
		switch {
		case pool == "" && m.waves[wave] || pool == m.pool:
			return
		case m.state != upkeep.MachineUp:
			outcome, refusal = MachineOpNotDone, upkeep.RefusedBusy
			return
		}
		w.checkMachineOp(m, n.name, wave, fence)
		w.takeDown(m, pool, wave)
	}
	if w.now.Before(n.ordersHeldUntil) {
		n.holdMachineOp(effect, func() { n.apply(event(MachineOpUnknown, "")) })
		return
	}
	// Beside that, the platform never carries out machine operations late, but their
	// answers may be lost.
	lost := w.random.Float64() < w.lossRate
	w.after(w.latency(), func() {
		effect()
		if lost {
			n.later(time.Second, func() { n.apply(event(MachineOpUnknown, "")) })
			return
		}
		n.later(w.latency(), func() { n.apply(event(outcome, refusal)) })
	})
}

// holdMachineOp carries out an order when the cut that holds it up is over. A process that
// is still there when the order times out resets its connection, and the order is lost.
func (n *simNode) holdMachineOp(effect, timedOut func()) {
	lost := false
	n.later(time.Second, func() {
		lost = true
		timedOut()
	})
	n.w.after(n.ordersHeldUntil.Sub(n.w.now)+n.w.latency(), func() {
		if !lost {
			effect()
		}
	})
}

func (w *simulation) takeDown(m *simMachine, pool string, wave int64) {
	w.log("machine %s goes down, pool %q wave %d", m.name, pool, wave)
	if old := w.workers[m.worker]; old != nil {
		old.dead = true
		for name := range old.running {
			w.absences[name] = absence{w.now, true}
		}
		old.running = make(map[string]*simRun)
		w.store.remove("worker/" + m.worker)
	}
	m.worker = ""
	m.state = upkeep.MachineUpkeep
	if pool != "" {
		w.moves++
		m.pool, m.state = pool, upkeep.MachineMoving
	} else {
		m.waves[wave], m.wave = true, wave
	}
	w.after(1500*time.Millisecond, func() {
		m.state = upkeep.MachineUp
		w.renewWorker(m)
	})
}
