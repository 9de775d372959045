// Package tasks tests the task queue and the task scheduler in simulated time
// under injected faults.
package tasks

import (
	"container/heap"
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/invariant"
	"github.com/crocusjunction/crocusjunction/internal/link"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/proptest"
	"github.com/crocusjunction/crocusjunction/internal/standin"
	"github.com/crocusjunction/crocusjunction/internal/telemetry"
	"github.com/crocusjunction/crocusjunction/internal/zone"
)

const (
	teamName   = "depots"
	teamLimit  = 20
	dataCentre = "north"
	// roundTrip is the time from a call to its answer without faults.
	roundTrip = 40 * time.Millisecond
	// pollInterval is how often a waiting watch reads the store again.
	pollInterval = 200 * time.Millisecond
	// faultPeriod is the part of simulatedTime in which faults are injected. The
	// rest lets the fleet recover and end its tasks.
	faultPeriod   = 60 * time.Second
	simulatedTime = 10 * time.Minute
)

func TestMain(m *testing.M) { proptest.Main(m, "rapid.checks", "60") }

// event is a function that runs at a point of simulated time. seq keeps the
// order of events at the same time.
type event struct {
	at  time.Time
	seq int
	run func()
}

// eventQueue is a heap of events with the next one first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// record is a stored value; version 0 means that the key does not exist.
type record struct {
	value   any
	version uint64
}

// taskRun is one run of a task on a worker. It ends at workEnd, or at leaseEnd
// if the lease is not renewed until then.
type taskRun struct {
	report   machine.TaskReport
	task     machine.Task
	leaseEnd time.Time
	workEnd  time.Time
}

// simWorker is a worker with its runs by start ID. A lost worker cannot be
// reached and is reported as gone; every run on a failing worker fails.
type simWorker struct {
	id       string
	sequence uint64
	runs     map[string]*taskRun
	lost     bool
	failing  bool
}

// process is one process of an entry instance. A killed process is replaced by a
// new one with the same ID.
type process struct {
	sim    *simulation
	id     string
	fleet  *fleet.Fleet
	killed bool
	// pausedUntil is the end of a pause, to which all actions and events of the
	// process are delayed.
	pausedUntil time.Time
	// nextTick is the time of the scheduled tick, zero for none.
	nextTick time.Time
}

// simulation runs several fleets against one store and one set of workers in
// simulated time. It loses calls and answers, kills and pauses processes, loses
// workers, and takes the data centre out of service. As in package control, the
// fleets and the store exchange only actions and events.
type simulation struct {
	t           *rapid.T
	now         time.Time
	events      eventQueue
	eventSeq    int
	records     map[string]record
	lastVersion uint64
	// leaseEnds is the end of the lease of each leased key.
	leaseEnds       map[string]time.Time
	workers         []*simWorker
	processes       []*process
	lastIncarnation int
	configHead      contract.Head
	configObjects   []contract.Object
	checker         invariant.TaskChecker
	acceptedIDs     []string
	// lossPercent is the probability in percent that a call is lost, and that the
	// answer to a call is lost. A call is slow with half this probability.
	lossPercent int
	// allowRepeatedStarts makes workers start a run again for a start ID that they
	// have already run, which violates their contract.
	allowRepeatedStarts bool
	// reports is the list of workers that the scheduler reads; it lags by a second.
	reports []machine.WorkerReport
	// limitRunner runs the actions on slots against a separate store without faults.
	limitRunner *control.LimitRunner
}

// newSimulation returns a simulation with four workers, of which one may be
// failing, and a configuration with a team and a document.
func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{
		t: t, now: time.Unix(1000, 0), records: make(map[string]record), leaseEnds: make(map[string]time.Time),
		checker: invariant.TaskChecker{Grace: 6 * time.Second, Limits: map[string]int{teamName: teamLimit}},
	}
	clock := func() time.Time { return sim.now }
	sim.limitRunner = control.NewLimitRunner(standin.NewStore(clock), telemetry.NewLog("panic").WithField("test", "tasks"), clock)
	for i := range 4 {
		sim.workers = append(sim.workers, &simWorker{id: fmt.Sprintf("w%d", i), runs: make(map[string]*taskRun)})
	}
	sim.workers[3].failing = rapid.Bool().Draw(t, "bad worker")
	sim.commitObject(contract.Object{Ref: contract.Ref{Kind: contract.KindTeam, Name: teamName}, Team: &contract.Team{Name: teamName, UpperLimit: teamLimit, Share: 1}})
	sim.commitObject(contract.Object{
		Ref:      contract.Ref{Kind: contract.KindDocument, Name: "records"},
		Document: &contract.Document{Service: "records", Team: teamName, Pool: "main", Idempotent: true},
	})
	sim.publishReports()
	return sim
}

// commitObject appends a change to the configuration. All data centres count as
// having confirmed it.
func (sim *simulation) commitObject(o contract.Object) {
	sim.configHead = sim.configHead.Append(contract.Change{ID: fmt.Sprint(sim.configHead.Revision + 1), Author: "op", Object: o})
	sim.configHead.Flushed = sim.configHead.Revision
	o.Revision = sim.configHead.Revision
	sim.configObjects = append(sim.configObjects, o)
}

// schedule queues a function to run after d.
func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.eventSeq++
	heap.Push(&sim.events, event{sim.now.Add(d), sim.eventSeq, run})
}

// runUntil runs the events up to the given time and sets the clock to it.
func (sim *simulation) runUntil(until time.Time) {
	for len(sim.events) > 0 && !sim.events[0].at.After(until) {
		next := heap.Pop(&sim.events).(event)
		sim.now = next.at
		next.run()
	}
	sim.now = until
}

// drawChance draws true with the given probability in percent.
func (sim *simulation) drawChance(percent int, what string) bool {
	return percent > 0 && rapid.IntRange(0, 99).Draw(sim.t, what) < percent
}

// publishReports records the current state of the workers every 500 ms. The
// scheduler can read each state one second later, because the platform's list
// of workers lags.
func (sim *simulation) publishReports() {
	sim.endDueRuns()
	var list []machine.WorkerReport
	for _, worker := range sim.workers {
		r := machine.WorkerReport{ID: worker.id, Rack: "r" + worker.id, Capacity: machine.Resources{MilliCores: 16_000, MemoryMB: 16_000}, Sequence: worker.sequence, Gone: worker.lost}
		for _, run := range worker.runs {
			r.Tasks = append(r.Tasks, run.report)
		}
		slices.SortFunc(r.Tasks, func(a, b machine.TaskReport) int { return strings.Compare(a.StartID, b.StartID) })
		list = append(list, r)
	}
	sim.schedule(time.Second, func() { sim.reports = list })
	sim.schedule(500*time.Millisecond, sim.publishReports)
}

// endDueRuns ends the runs whose work is done or whose lease has expired, and all
// runs on a failing worker.
func (sim *simulation) endDueRuns() {
	for _, worker := range sim.workers {
		for _, run := range worker.runs {
			if run.report.State != machine.ReportRunning {
				continue
			}
			switch {
			case worker.failing:
				sim.endRun(worker, run, machine.ReportFailed)
			case !sim.now.Before(run.workEnd):
				sim.endRun(worker, run, machine.ReportDone)
			case !sim.now.Before(run.leaseEnd):
				sim.endRun(worker, run, machine.ReportStopped)
			}
		}
	}
}

// endRun sets the final state of a run and reports it to the checker.
func (sim *simulation) endRun(worker *simWorker, run *taskRun, state machine.ReportState) {
	run.report.State = state
	worker.sequence++
	sim.checker.Add(invariant.TaskEvent{At: sim.now, Kind: invariant.TaskEnded, Task: run.task.ID, Team: run.task.Team, Worker: worker.id, State: string(state)})
}

// reachableWorker returns the worker, or nil if it is lost.
func (sim *simulation) reachableWorker(id string) *simWorker {
	for _, worker := range sim.workers {
		if worker.id == id && !worker.lost {
			return worker
		}
	}
	return nil
}

// startProcess starts a process with a new incarnation.
func (sim *simulation) startProcess(id string) *process {
	sim.lastIncarnation++
	p := &process{sim: sim, id: id}
	p.fleet = fleet.New(fleet.Options{
		Self:        link.Member{ID: id, Incarnation: uint64(sim.lastIncarnation), DataCentre: dataCentre, Address: "127.0.0.1:1"},
		DataCentres: map[string]string{dataCentre: "west"},
		LimitTerms:  limitTerms(),
	})
	sim.processes = append(sim.processes, p)
	p.perform(p.fleet.Start(sim.now))
	return p
}

// limitTerms returns terms with a hold of one minute instead of 30 minutes, so
// that the slots of a killed process are reclaimed within the simulated time.
func limitTerms() contract.LimitTerms {
	terms := contract.DefaultLimitTerms()
	terms.HoldPeriod, terms.RenewPeriod = time.Minute, 10*time.Second
	return terms
}

// deliver applies an event to the fleet of the process, at the end of a pause if
// the process is paused.
func (p *process) deliver(e fleet.Event) {
	if p.killed || e == nil {
		return
	}
	if p.sim.now.Before(p.pausedUntil) {
		p.sim.schedule(p.pausedUntil.Sub(p.sim.now), func() { p.deliver(e) })
		return
	}
	p.perform(e.Apply(p.fleet, p.sim.now))
}

// perform sends the actions, each after its delay, and schedules the next tick.
func (p *process) perform(actions []fleet.Action) {
	for _, a := range actions {
		p.sim.schedule(roundTrip/2+delayOf(a), func() { p.send(a) })
	}
	p.scheduleTick()
}

// scheduleTick schedules the next tick of the fleet. It replaces a tick that is
// scheduled for another time.
func (p *process) scheduleTick() {
	at := p.fleet.NextTick()
	if at.IsZero() || at.Equal(p.nextTick) {
		return
	}
	p.nextTick = at
	p.sim.schedule(max(at.Sub(p.sim.now), 0), func() {
		if p.killed || !p.nextTick.Equal(at) {
			return
		}
		if p.sim.now.Before(p.pausedUntil) {
			p.nextTick = time.Time{}
			p.sim.schedule(p.pausedUntil.Sub(p.sim.now), p.scheduleTick)
			return
		}
		p.nextTick = time.Time{}
		p.perform(p.fleet.Tick(p.sim.now))
	})
}

// delayOf returns the delay that the fleet has set for an action.
func delayOf(a fleet.Action) time.Duration {
	switch a := a.(type) {
	case fleet.LoadConfig:
		return a.Delay
	case fleet.WatchHead:
		return a.Delay
	case fleet.AcquireSchedulerLease:
		return a.Delay
	case fleet.RenewSchedulerLease:
		return a.Delay
	case fleet.LoadQueue:
		return a.Delay
	case fleet.WatchRoster:
		return a.Delay
	case fleet.WatchSegment:
		return a.Delay
	case fleet.WatchWorkers:
		return a.Delay
	case fleet.StartTask:
		return a.Delay
	}
	return 0
}

// send sends an action to the platform, at the end of a pause if the process is
// paused. A request that was sent arrives even if the process is killed or
// paused before it does. A start after its NotAfter is refused without a call.
func (p *process) send(a fleet.Action) {
	if p.killed {
		return
	}
	if p.sim.now.Before(p.pausedUntil) {
		p.sim.schedule(p.pausedUntil.Sub(p.sim.now), func() { p.send(a) })
		return
	}
	sent := p.sim.now
	if s, ok := a.(fleet.StartTask); ok && sent.After(s.NotAfter) {
		p.deliver(fleet.StartAnswered{Term: s.Term, Task: s.Task.ID, Attempt: s.Task.Attempts, Result: fleet.StartRefused, Reason: "late"})
		return
	}
	latency := roundTrip / 2
	if p.sim.drawChance(p.sim.lossPercent/2, "slow call") {
		latency = time.Duration(rapid.IntRange(100, 2500).Draw(p.sim.t, "travel")) * time.Millisecond
	}
	p.sim.schedule(latency, func() { p.deliverCall(a, sent) })
}

// deliverCall delivers a call to the platform, which executes it, and sends the
// answer to the process. The call or the answer may be lost.
func (p *process) deliverCall(a fleet.Action, sent time.Time) {
	sim := p.sim
	lossPercent := sim.lossPercent
	switch a.(type) {
	case fleet.LoadConfig, fleet.WatchHead, fleet.SwapAllotment, fleet.RenewHold, fleet.ObserveHolders, fleet.ReclaimSlots:
		// Other tests cover faults of configuration and limit calls.
		lossPercent = 0
	}
	if sim.drawChance(lossPercent, "call lost") {
		p.reply(p.lostCall(a))
		return
	}
	e := p.execute(a, sent)
	if e == nil {
		return
	}
	if sim.drawChance(lossPercent, "answer lost") {
		e = p.lostCall(a)
	}
	p.reply(e)
}

// reply delivers the answer to a call after half a round trip.
func (p *process) reply(e fleet.Event) {
	p.sim.schedule(roundTrip/2, func() { p.deliver(e) })
}

// lostCall returns the event that a process gets when a call or its answer is
// lost, or nil if it gets none.
func (p *process) lostCall(a fleet.Action) fleet.Event {
	switch a := a.(type) {
	case fleet.LoadConfig, fleet.WatchHead:
		return fleet.ConfigFailed{}
	case fleet.RegisterQueue:
		return fleet.QueueRegistered{DataCentre: a.DataCentre, Queue: a.Queue}
	case fleet.WriteGroup:
		return fleet.GroupEnded{Ref: a.Ref, Outcome: zone.GroupUnknown}
	case fleet.AcquireSchedulerLease:
		return fleet.SchedulerLeaseNotAcquired{}
	case fleet.RenewSchedulerLease:
		return fleet.SchedulerLeaseChecked{Term: a.Term}
	case fleet.LoadQueue:
		return fleet.QueueLoaded{Term: a.Term}
	case fleet.WatchRoster:
		return fleet.RosterSeen{Term: a.Term, Version: a.After}
	case fleet.WatchSegment:
		return fleet.SegmentSeen{Term: a.Term, Ref: a.Ref}
	case fleet.SealQueue:
		return fleet.SegmentSeen{Term: a.Term, Ref: a.Ref}
	case fleet.WriteSegment:
		return fleet.SegmentStored{Term: a.Term, Key: a.Write.Key, Stamp: a.Write.Segment.Stamp}
	case fleet.WatchWorkers:
		return fleet.WorkersSeen{Term: a.Term, Version: a.After}
	case fleet.StartTask:
		return fleet.StartAnswered{Term: a.Term, Task: a.Task.ID, Attempt: a.Task.Attempts, Result: fleet.StartUnknown}
	case fleet.RenewTasks:
		return fleet.TasksRenewed{Term: a.Term}
	case fleet.CheckpointTask:
		return fleet.CheckpointAnswered{Term: a.Term, Task: a.Task, StartID: a.On.StartID}
	case fleet.StopTasks:
		return fleet.StopAnswered{Term: a.Term, Tasks: a.Tasks}
	}
	return nil
}

// get returns the record of a key. It deletes a key whose lease has expired.
func (sim *simulation) get(key string) record {
	if until, ok := sim.leaseEnds[key]; ok && !sim.now.Before(until) {
		delete(sim.leaseEnds, key)
		sim.put(key, nil)
	}
	return sim.records[key]
}

// put stores a value and returns its version. The value nil deletes the key.
func (sim *simulation) put(key string, value any) uint64 {
	if value == nil {
		delete(sim.records, key)
		return 0
	}
	sim.lastVersion++
	sim.records[key] = record{value, sim.lastVersion}
	return sim.lastVersion
}

// execute runs an action at the platform and returns its result. It returns nil
// if the action has no result or waits at the platform and is retried later.
func (p *process) execute(a fleet.Action, sent time.Time) fleet.Event {
	sim := p.sim
	switch a := a.(type) {
	case fleet.LoadConfig:
		return fleet.ConfigLoaded{Before: sim.configHead, After: sim.configHead, Objects: sim.configObjects, Version: sim.configHead.Revision, SentAt: sent}
	case fleet.WatchHead:
		if a.After == sim.configHead.Revision && sim.now.Sub(sent) < time.Second {
			sim.schedule(pollInterval, func() { p.retry(a, sent) })
			return nil
		}
		return fleet.HeadSeen{Changed: a.After != sim.configHead.Revision, Head: sim.configHead, Version: sim.configHead.Revision, SentAt: sent}
	case fleet.RegisterQueue:
		queues, _ := sim.get("roster").value.([]string)
		if !slices.Contains(queues, a.Queue) {
			sim.put("roster", append(slices.Clone(queues), a.Queue))
		}
		return fleet.QueueRegistered{DataCentre: a.DataCentre, Queue: a.Queue, OK: true, SentAt: sent}
	case fleet.RemoveQueue:
		queues, _ := sim.get("roster").value.([]string)
		sim.put("roster", slices.DeleteFunc(slices.Clone(queues), func(q string) bool { return q == a.Queue }))
		return nil
	case fleet.WriteGroup:
		return sim.writeGroup(a)
	case fleet.AcquireSchedulerLease:
		if c := sim.get("scheduler"); c.version != 0 {
			sim.schedule(pollInterval, func() { p.retry(a, sent) })
			return nil
		}
		sim.put("scheduler", a.Holder)
		sim.leaseEnds["scheduler"] = sim.now.Add(fleet.SchedulerTTL)
		return fleet.SchedulerLeaseAcquired{Lease: sim.lastVersion, SentAt: sent}
	case fleet.RenewSchedulerLease:
		if sim.get("scheduler").version != a.Lease {
			return fleet.SchedulerLeaseChecked{Term: a.Term, Lost: true}
		}
		sim.leaseEnds["scheduler"] = sim.now.Add(fleet.SchedulerTTL)
		return fleet.SchedulerLeaseChecked{Term: a.Term, OK: true, SentAt: sent}
	case fleet.LoadQueue:
		return sim.loadQueue(a)
	case fleet.WatchRoster:
		c := sim.get("roster")
		if c.version == a.After && sim.now.Sub(sent) < 2*time.Second {
			sim.schedule(pollInterval, func() { p.retry(a, sent) })
			return nil
		}
		queues, _ := c.value.([]string)
		return fleet.RosterSeen{Term: a.Term, OK: true, Version: c.version, Queues: queues}
	case fleet.WatchSegment:
		c := sim.get(a.Ref.Key())
		if c.version == 0 && sim.now.Sub(sent) < 2*time.Second {
			sim.schedule(pollInterval, func() { p.retry(a, sent) })
			return nil
		}
		return segmentSeen(a.Term, a.Ref, c)
	case fleet.SealQueue:
		if sim.get(a.Ref.Key()).version == 0 {
			sim.put(a.Ref.Key(), zone.Segment{Group: "seal", SealedBy: a.SealedBy})
		}
		return segmentSeen(a.Term, a.Ref, sim.get(a.Ref.Key()))
	case fleet.WriteSegment:
		return sim.writeSegment(a)
	case fleet.RemoveSegments:
		for _, r := range a.Removals {
			if sim.get(r.Key).version == r.Version {
				sim.put(r.Key, nil)
			}
		}
		return nil
	}
	return p.executeAtWorkers(a, sent)
}

// retry executes a waiting call again and sends the answer if there is one.
func (p *process) retry(a fleet.Action, sent time.Time) {
	if e := p.execute(a, sent); e != nil {
		p.reply(e)
	}
}

// segmentSeen returns the result of reading a segment of the queue.
func segmentSeen(term uint64, ref zone.SegmentRef, c record) fleet.Event {
	seen := fleet.SegmentSeen{Term: term, OK: true, Ref: ref, Found: c.version != 0, Version: c.version}
	if s, ok := c.value.(zone.Segment); ok {
		seen.Segment = s.Clone()
	}
	return seen
}

// writeGroup creates a segment with a group of accepted tasks unless the segment
// was sealed or written by another group before.
func (sim *simulation) writeGroup(a fleet.WriteGroup) fleet.Event {
	outcome := zone.GroupWritten
	if c := sim.get(a.Ref.Key()); c.version == 0 {
		sim.put(a.Ref.Key(), a.Segment.Clone())
	} else if stored := c.value.(zone.Segment); stored.SealedBy != "" {
		outcome = zone.GroupSealed
	} else if stored.Group != a.Segment.Group {
		outcome = zone.GroupNumberTaken
	}
	return fleet.GroupEnded{Ref: a.Ref, Outcome: outcome}
}

// loadQueue reads the roster and all segments of the queue.
func (sim *simulation) loadQueue(a fleet.LoadQueue) fleet.Event {
	loaded := fleet.QueueLoaded{Term: a.Term, OK: true}
	c := sim.get("roster")
	loaded.Queues, _ = c.value.([]string)
	loaded.RosterVersion = c.version
	var keys []string
	for key := range sim.records {
		if strings.HasPrefix(key, "queue/") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		ref, _ := zone.ParseSegmentKey(key)
		s := sim.records[key].value.(zone.Segment)
		loaded.Segments = append(loaded.Segments, fleet.StoredSegment{Ref: ref, Segment: s.Clone(), Version: sim.records[key].version})
	}
	return loaded
}

// writeSegment resolves a version conflict as the runner in package control
// does: the write succeeds if the stored segment has a stamp of the same
// scheduler, and otherwise returns the conflict. A write that is already stored
// succeeds without an effect.
func (sim *simulation) writeSegment(a fleet.WriteSegment) fleet.Event {
	stored := fleet.SegmentStored{Term: a.Term, Key: a.Write.Key, Stamp: a.Write.Segment.Stamp}
	c := sim.get(a.Write.Key)
	found, _ := c.value.(zone.Segment)
	own, _, _ := strings.Cut(stored.Stamp, "/")
	holder, _, _ := strings.Cut(found.Stamp, "/")
	switch {
	case found.Stamp == stored.Stamp:
		stored.OK, stored.Version = true, c.version
	case c.version == a.Write.Version || own == holder:
		stored.OK, stored.Version = true, sim.put(a.Write.Key, a.Write.Segment.Clone())
	default:
		stored.Conflict = true
	}
	return stored
}

// executeAtWorkers executes the actions for workers. The limit runner runs the
// remaining actions, those on slots.
func (p *process) executeAtWorkers(a fleet.Action, sent time.Time) fleet.Event {
	sim := p.sim
	sim.endDueRuns()
	switch a := a.(type) {
	case fleet.WatchWorkers:
		if len(sim.reports) == 0 {
			sim.schedule(pollInterval, func() { p.retry(a, sent) })
			return nil
		}
		return fleet.WorkersSeen{Term: a.Term, OK: true, Version: 1, Workers: sim.reports}
	case fleet.StartTask:
		return sim.startTask(a)
	case fleet.RenewTasks:
		for _, on := range a.Tasks {
			if run := sim.findRun(on); run != nil && run.report.State == machine.ReportRunning {
				run.leaseEnd = sim.now.Add(fleet.TaskTTL)
			}
		}
		return fleet.TasksRenewed{Term: a.Term, OK: true}
	case fleet.CheckpointTask:
		answered := fleet.CheckpointAnswered{Term: a.Term, Task: a.Task, StartID: a.On.StartID}
		if run := sim.findRun(a.On); run != nil && run.report.State == machine.ReportRunning {
			run.report.Checkpoint = "saved"
			sim.endRun(sim.reachableWorker(a.On.Worker), run, machine.ReportCheckpointed)
			answered.OK, answered.Checkpoint = true, "saved"
		}
		return answered
	case fleet.StopTasks:
		for _, on := range a.Tasks {
			sim.stopRun(on)
		}
		return fleet.StopAnswered{Term: a.Term, Tasks: a.Tasks, OK: true}
	}
	e, _ := sim.limitRunner.Run(context.Background(), a)
	return e
}

// findRun returns the run with a start ID, or nil if the worker is lost or has
// no run with this ID.
func (sim *simulation) findRun(on fleet.WorkerTask) *taskRun {
	if worker := sim.reachableWorker(on.Worker); worker != nil {
		return worker.runs[on.StartID]
	}
	return nil
}

// stopRun stops a run. For an unknown start ID it records a stopped run, so
// that a late start request with this ID is not carried out.
func (sim *simulation) stopRun(on fleet.WorkerTask) {
	worker := sim.reachableWorker(on.Worker)
	if worker == nil {
		return
	}
	run := worker.runs[on.StartID]
	if run == nil {
		worker.runs[on.StartID] = &taskRun{report: machine.TaskReport{StartID: on.StartID, State: machine.ReportStopped}}
		worker.sequence++
		return
	}
	if run.report.State == machine.ReportRunning {
		sim.endRun(worker, run, machine.ReportStopped)
	}
}

// startTask starts a run of 1 to 20 s. It starts none if the worker already has
// a run with the start ID, or if all slots of the worker are in use.
func (sim *simulation) startTask(a fleet.StartTask) fleet.Event {
	answered := fleet.StartAnswered{Term: a.Term, Task: a.Task.ID, Attempt: a.Task.Attempts}
	worker := sim.reachableWorker(a.Worker)
	if worker == nil {
		answered.Result = fleet.StartNoWorker
		return answered
	}
	if worker.runs[a.StartID] != nil && !sim.allowRepeatedStarts {
		answered.Result, answered.Sequence = fleet.StartDone, worker.sequence
		return answered
	}
	running := 0
	for _, run := range worker.runs {
		if run.report.State == machine.ReportRunning {
			running++
		}
	}
	if running >= machine.WorkerSlots {
		answered.Result, answered.Reason = fleet.StartRefused, "full"
		return answered
	}
	duration := time.Duration(rapid.IntRange(1, 20).Draw(sim.t, "run time")) * time.Second
	worker.runs[a.StartID] = &taskRun{
		report: machine.TaskReport{StartID: a.StartID, State: machine.ReportRunning}, task: a.Task, leaseEnd: sim.now.Add(fleet.TaskTTL), workEnd: sim.now.Add(duration),
	}
	worker.sequence++
	sim.checker.Add(invariant.TaskEvent{At: sim.now, Kind: invariant.TaskStarted, Task: a.Task.ID, Team: a.Task.Team, Worker: worker.id, Idempotent: a.Task.Idempotent})
	answered.Result, answered.Sequence = fleet.StartDone, worker.sequence
	return answered
}

// submit submits n random tasks to the process and reports the accepted ones to
// the checker.
func (p *process) submit(n int) {
	sim := p.sim
	var tasks []machine.Task
	for range n {
		tasks = append(tasks, machine.Task{
			Team: teamName, Service: "records", Declared: machine.Resources{MilliCores: 1000, MemoryMB: 1000},
			Idempotent: rapid.Bool().Draw(sim.t, "idempotent"), Checkpoints: true, Urgent: rapid.IntRange(0, 4).Draw(sim.t, "urgent") == 0,
		})
	}
	answers := make(chan fleet.TaskAnswer, 1)
	p.deliver(fleet.SubmitTasks{Tasks: tasks, Reply: answers})
	var pollReply func()
	pollReply = func() {
		select {
		case answer := <-answers:
			if answer.Outcome != zone.GroupWritten {
				return
			}
			for i, id := range answer.IDs {
				sim.acceptedIDs = append(sim.acceptedIDs, id)
				sim.checker.Add(invariant.TaskEvent{At: sim.now, Kind: invariant.TaskAccepted, Task: id, Team: teamName, Idempotent: tasks[i].Idempotent})
			}
		default:
			if !p.killed {
				sim.schedule(roundTrip, pollReply)
			}
		}
	}
	pollReply()
}

// cancel sends the process a request to cancel tasks and ignores the answer.
func (p *process) cancel(ids []string) {
	answers := make(chan fleet.TaskAnswer, 1)
	p.deliver(fleet.CancelTasks{DataCentre: dataCentre, Team: teamName, IDs: ids, Reply: answers})
}

// injectFault applies one random fault or one random request of a caller or an
// operator.
func (sim *simulation) injectFault() {
	p := sim.processes[rapid.IntRange(0, len(sim.processes)-1).Draw(sim.t, "process")]
	switch rapid.SampledFrom([]string{"submit", "submit", "submit", "cancel", "kill", "pause", "lose worker", "out", "back"}).Draw(sim.t, "happens") {
	case "submit":
		if !p.killed {
			p.submit(rapid.IntRange(1, 8).Draw(sim.t, "tasks"))
		}
	case "cancel":
		if !p.killed && len(sim.acceptedIDs) > 0 {
			from := rapid.IntRange(0, len(sim.acceptedIDs)-1).Draw(sim.t, "from")
			p.cancel(slices.Clone(sim.acceptedIDs[from:min(from+4, len(sim.acceptedIDs))]))
		}
	case "kill":
		if !p.killed {
			p.killed = true
			sim.startProcess(p.id)
		}
	case "pause":
		p.pausedUntil = sim.now.Add(time.Duration(rapid.IntRange(1, 15).Draw(sim.t, "pause")) * time.Second)
	case "lose worker":
		sim.loseWorker()
	case "out":
		sim.orderDataCentre(true)
	case "back":
		sim.orderDataCentre(false)
	}
}

// loseWorker loses one of the first two workers. Its tasks keep running until
// their leases expire.
func (sim *simulation) loseWorker() {
	worker := sim.workers[rapid.IntRange(0, 1).Draw(sim.t, "worker")]
	if worker.lost {
		return
	}
	worker.lost = true
	for _, run := range worker.runs {
		if run.report.State == machine.ReportRunning {
			sim.schedule(run.leaseEnd.Sub(sim.now), func() {
				if run.report.State == machine.ReportRunning {
					sim.endRun(worker, run, machine.ReportStopped)
				}
			})
		}
	}
}

// orderDataCentre takes the data centre out of service or brings it back.
func (sim *simulation) orderDataCentre(out bool) {
	object := contract.Object{Ref: contract.Ref{Kind: contract.KindDataCentre, Name: dataCentre}, DataCentre: &contract.DataCentreOrder{Name: dataCentre, Out: out}}
	sim.commitObject(object)
	kind := invariant.TaskDataCentreBack
	if out {
		kind = invariant.TaskDataCentreOut
	}
	sim.checker.Add(invariant.TaskEvent{At: sim.now, Kind: kind})
}

// recordStoredTasks reports the stored states of all tasks to the checker.
func (sim *simulation) recordStoredTasks() {
	for _, c := range sim.records {
		if s, ok := c.value.(zone.Segment); ok {
			for _, t := range s.Tasks {
				sim.checker.Add(invariant.TaskEvent{At: sim.now, Kind: invariant.TaskShown, Task: t.ID, State: string(t.Phase)})
			}
		}
	}
}

// run runs the simulation for faultPeriod with faults and without faults for the
// rest of simulatedTime. It returns the violations that the checker found.
func (sim *simulation) run() []invariant.TaskViolation {
	sim.startProcess("a")
	sim.runUntil(sim.now.Add(2 * time.Second))
	sim.startProcess("b")
	end := sim.now.Add(faultPeriod)
	sim.lossPercent = rapid.IntRange(0, 20).Draw(sim.t, "lossy")
	for sim.now.Before(end) {
		sim.injectFault()
		sim.runUntil(sim.now.Add(time.Duration(rapid.IntRange(100, 4000).Draw(sim.t, "pause between")) * time.Millisecond))
		sim.recordStoredTasks()
	}
	sim.lossPercent = 0
	sim.orderDataCentre(false)
	for range 20 {
		sim.runUntil(sim.now.Add((simulatedTime - faultPeriod) / 20))
		sim.recordStoredTasks()
	}
	return sim.checker.Finish(sim.now)
}

// TestTasksUnderFaults guards against more running tasks than a team's limit
// (I4), starts in a data centre that is out of service (I5), second starts of
// non-idempotent tasks (I8), and the loss of accepted tasks. The faults are lost
// calls and answers, killed and paused processes, lost and failing workers, and
// a data centre that is taken out.
func TestTasksUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		for _, violation := range sim.run() {
			t.Fatal(violation)
		}
	})
}
