// Package tasks checks the queue and the scheduler of tasks under faults.
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
	"github.com/crocusjunction/crocusjunction/internal/link"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/proof"
	"github.com/crocusjunction/crocusjunction/internal/proptest"
	"github.com/crocusjunction/crocusjunction/internal/standin"
	"github.com/crocusjunction/crocusjunction/internal/telemetry"
	"github.com/crocusjunction/crocusjunction/internal/zone"
)

// The world of this file runs several fleets against one store and one set of
// workers in simulated time, with lost answers, kills, pauses, lost workers and
// a data centre that is taken out. Actions and events pass by value as in
// package control.

const (
	worldTeam    = "depots"
	worldLimit   = 20
	worldCentre  = "north"
	worldLatency = 40 * time.Millisecond
	worldPoll    = 200 * time.Millisecond
	worldFaults  = 60 * time.Second
	worldEnd     = 10 * time.Minute
)

func TestMain(m *testing.M) { proptest.Main(m, "rapid.checks", "60") }

type timed struct {
	at  time.Time
	seq int
	run func()
}

type timeline []timed

func (h timeline) Len() int { return len(h) }
func (h timeline) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}
func (h timeline) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timeline) Push(x any)   { *h = append(*h, x.(timed)) }
func (h *timeline) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

type cell struct {
	value   any
	version uint64
}

// worldTask is one attempt at a worker.
type worldTask struct {
	report machine.TaskReport
	task   machine.Task
	until  time.Time
	ends   time.Time
}

type worldWorker struct {
	id       string
	sequence uint64
	tasks    map[string]*worldTask
	gone     bool
	bad      bool
}

// process is one entry instance of the world.
type process struct {
	w     *world
	id    string
	fleet *fleet.Fleet
	dead  bool
	// pausedUntil delays everything that the process does.
	pausedUntil time.Time
	tickAt      time.Time
}

type world struct {
	t       *rapid.T
	now     time.Time
	queue   timeline
	seq     int
	cells   map[string]cell
	version uint64
	// leases maps a key to the end of its lease.
	leases  map[string]time.Time
	workers []*worldWorker
	procs   []*process
	serial  int
	config  contract.Head
	objects []contract.Object
	checker proof.TaskChecker
	ids     []string
	// lossy is the share in percent of calls whose answer or effect is lost.
	lossy int
	// twice breaks the rule that a worker starts an id once.
	twice bool
	// reports is the lagging list of workers.
	reports []machine.WorkerReport
	// limits performs the actions on slots against a store of their own.
	limits *control.LimitRunner
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.Unix(1000, 0), cells: make(map[string]cell), leases: make(map[string]time.Time),
		checker: proof.TaskChecker{Grace: 6 * time.Second, Limits: map[string]int{worldTeam: worldLimit}},
	}
	clock := func() time.Time { return w.now }
	w.limits = control.NewLimitRunner(standin.NewStore(clock), telemetry.NewLog("panic").WithField("test", "tasks"), clock)
	for i := range 4 {
		w.workers = append(w.workers, &worldWorker{id: fmt.Sprintf("w%d", i), tasks: make(map[string]*worldTask)})
	}
	w.workers[3].bad = rapid.Bool().Draw(t, "bad worker")
	w.commit(contract.Object{Ref: contract.Ref{Kind: contract.KindTeam, Name: worldTeam}, Team: &contract.Team{Name: worldTeam, UpperLimit: worldLimit, Share: 1}})
	w.commit(contract.Object{
		Ref:      contract.Ref{Kind: contract.KindDocument, Name: "records"},
		Document: &contract.Document{Service: "records", Team: worldTeam, Pool: "main", Idempotent: true},
	})
	w.report()
	return w
}

func (w *world) commit(o contract.Object) {
	w.config = w.config.Append(contract.Change{ID: fmt.Sprint(w.config.Revision + 1), Author: "op", Object: o})
	w.config.Flushed = w.config.Revision
	o.Revision = w.config.Revision
	w.objects = append(w.objects, o)
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, timed{w.now.Add(d), w.seq, run})
}

func (w *world) run(until time.Time) {
	for len(w.queue) > 0 && !w.queue[0].at.After(until) {
		next := heap.Pop(&w.queue).(timed)
		w.now = next.at
		next.run()
	}
	w.now = until
}

func (w *world) chance(percent int, what string) bool {
	return percent > 0 && rapid.IntRange(0, 99).Draw(w.t, what) < percent
}

// report publishes the state of the workers as it is now; it is read later, so
// that it lags.
func (w *world) report() {
	w.advance()
	var list []machine.WorkerReport
	for _, on := range w.workers {
		r := machine.WorkerReport{ID: on.id, Rack: "r" + on.id, Capacity: machine.Resources{MilliCores: 16_000, MemoryMB: 16_000}, Sequence: on.sequence, Gone: on.gone}
		for _, t := range on.tasks {
			r.Tasks = append(r.Tasks, t.report)
		}
		slices.SortFunc(r.Tasks, func(a, b machine.TaskReport) int { return strings.Compare(a.StartID, b.StartID) })
		list = append(list, r)
	}
	w.after(time.Second, func() { w.reports = list })
	w.after(500*time.Millisecond, w.report)
}

// advance ends attempts that are finished or whose lease has ended.
func (w *world) advance() {
	for _, on := range w.workers {
		for _, t := range on.tasks {
			if t.report.State != machine.ReportRunning {
				continue
			}
			switch {
			case on.bad:
				w.end(on, t, machine.ReportFailed)
			case !w.now.Before(t.ends):
				w.end(on, t, machine.ReportDone)
			case !w.now.Before(t.until):
				w.end(on, t, machine.ReportStopped)
			}
		}
	}
}

func (w *world) end(on *worldWorker, t *worldTask, state machine.ReportState) {
	t.report.State = state
	on.sequence++
	w.checker.Take(proof.TaskEvent{At: w.now, Kind: proof.TaskEnded, Task: t.task.ID, Team: t.task.Team, Worker: on.id, State: string(state)})
}

func (w *world) worker(id string) *worldWorker {
	for _, on := range w.workers {
		if on.id == id && !on.gone {
			return on
		}
	}
	return nil
}

func (w *world) spawn(id string) *process {
	w.serial++
	p := &process{w: w, id: id}
	p.fleet = fleet.New(fleet.Options{
		Self:        link.Member{ID: id, Incarnation: uint64(w.serial), DataCentre: worldCentre, Address: "127.0.0.1:1"},
		DataCentres: map[string]string{worldCentre: "west"},
		LimitTerms:  worldTerms(),
	})
	w.procs = append(w.procs, p)
	p.start(p.fleet.Start(w.now))
	return p
}

// worldTerms has a hold of one minute in place of 30, so that slots of a killed
// process come back within the simulated time.
func worldTerms() contract.LimitTerms {
	terms := contract.DefaultLimitTerms()
	terms.Hold, terms.RenewEvery = time.Minute, 10*time.Second
	return terms
}

// deliver applies an event when the process is awake.
func (p *process) deliver(e fleet.Event) {
	if p.dead || e == nil {
		return
	}
	if p.w.now.Before(p.pausedUntil) {
		p.w.after(p.pausedUntil.Sub(p.w.now), func() { p.deliver(e) })
		return
	}
	p.start(e.Apply(p.fleet, p.w.now))
}

func (p *process) start(actions []fleet.Action) {
	for _, a := range actions {
		p.w.after(worldLatency/2+delayOf(a), func() { p.perform(a) })
	}
	p.arm()
}

func (p *process) arm() {
	at := p.fleet.NextWake()
	if at.IsZero() || at.Equal(p.tickAt) {
		return
	}
	p.tickAt = at
	p.w.after(max(at.Sub(p.w.now), 0), func() {
		if p.dead || !p.tickAt.Equal(at) {
			return
		}
		if p.w.now.Before(p.pausedUntil) {
			p.tickAt = time.Time{}
			p.w.after(p.pausedUntil.Sub(p.w.now), p.arm)
			return
		}
		p.tickAt = time.Time{}
		p.start(p.fleet.Tick(p.w.now))
	})
}

func delayOf(a fleet.Action) time.Duration {
	switch a := a.(type) {
	case fleet.LoadConfig:
		return a.Delay
	case fleet.WatchHead:
		return a.Delay
	case fleet.SeekScheduler:
		return a.Delay
	case fleet.KeepScheduler:
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

// perform runs an action once the process is awake. A request that left the
// process arrives even when the process is dead or paused by then.
func (p *process) perform(a fleet.Action) {
	if p.dead {
		return
	}
	if p.w.now.Before(p.pausedUntil) {
		p.w.after(p.pausedUntil.Sub(p.w.now), func() { p.perform(a) })
		return
	}
	sent := p.w.now
	if s, ok := a.(fleet.StartTask); ok && sent.After(s.NotAfter) {
		p.deliver(fleet.StartAnswered{Term: s.Term, Task: s.Task.ID, Attempt: s.Task.Attempts, Result: fleet.StartRefused, Reason: "late"})
		return
	}
	travel := worldLatency / 2
	if p.w.chance(p.w.lossy/2, "slow call") {
		travel = time.Duration(rapid.IntRange(100, 2500).Draw(p.w.t, "travel")) * time.Millisecond
	}
	p.w.after(travel, func() { p.arrive(a, sent) })
}

// arrive carries out a call at the platform and sends its answer.
func (p *process) arrive(a fleet.Action, sent time.Time) {
	w := p.w
	lossy := w.lossy
	switch a.(type) {
	case fleet.LoadConfig, fleet.WatchHead, fleet.SwapAllotment, fleet.RenewHold, fleet.ObserveHolders, fleet.ReclaimSlots:
		// The spread of configuration and the limits have their own tests.
		lossy = 0
	}
	if w.chance(lossy, "call lost") {
		p.answer(p.lost(a))
		return
	}
	e := p.call(a, sent)
	if e == nil {
		return
	}
	if w.chance(lossy, "answer lost") {
		e = p.lost(a)
	}
	p.answer(e)
}

func (p *process) answer(e fleet.Event) {
	p.w.after(worldLatency/2, func() { p.deliver(e) })
}

// lost is what a process sees when a call or its answer is lost.
func (p *process) lost(a fleet.Action) fleet.Event {
	switch a := a.(type) {
	case fleet.LoadConfig, fleet.WatchHead:
		return fleet.ConfigFailed{}
	case fleet.RegisterQueue:
		return fleet.QueueRegistered{DataCentre: a.DataCentre, Queue: a.Queue}
	case fleet.WriteGroup:
		return fleet.GroupEnded{Ref: a.Ref, Outcome: zone.GroupUnknown}
	case fleet.SeekScheduler:
		return fleet.SchedulerBusy{}
	case fleet.KeepScheduler:
		return fleet.SchedulerKept{Term: a.Term}
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

func (w *world) get(key string) cell {
	if until, ok := w.leases[key]; ok && !w.now.Before(until) {
		delete(w.leases, key)
		w.put(key, nil)
	}
	return w.cells[key]
}

func (w *world) put(key string, value any) uint64 {
	if value == nil {
		delete(w.cells, key)
		return 0
	}
	w.version++
	w.cells[key] = cell{value, w.version}
	return w.version
}

// call carries out an action and returns its result; nil means that the call
// still waits.
func (p *process) call(a fleet.Action, sent time.Time) fleet.Event {
	w := p.w
	switch a := a.(type) {
	case fleet.LoadConfig:
		return fleet.ConfigLoaded{Before: w.config, After: w.config, Objects: w.objects, Version: w.config.Revision, SentAt: sent}
	case fleet.WatchHead:
		if a.After == w.config.Revision && w.now.Sub(sent) < time.Second {
			w.after(worldPoll, func() { p.arriveAgain(a, sent) })
			return nil
		}
		return fleet.HeadSeen{Changed: a.After != w.config.Revision, Head: w.config, Version: w.config.Revision, SentAt: sent}
	case fleet.RegisterQueue:
		queues, _ := w.get("roster").value.([]string)
		if !slices.Contains(queues, a.Queue) {
			w.put("roster", append(slices.Clone(queues), a.Queue))
		}
		return fleet.QueueRegistered{DataCentre: a.DataCentre, Queue: a.Queue, OK: true, SentAt: sent}
	case fleet.DropQueue:
		queues, _ := w.get("roster").value.([]string)
		w.put("roster", slices.DeleteFunc(slices.Clone(queues), func(q string) bool { return q == a.Queue }))
		return nil
	case fleet.WriteGroup:
		return w.writeGroup(a)
	case fleet.SeekScheduler:
		if c := w.get("scheduler"); c.version != 0 {
			w.after(worldPoll, func() { p.arriveAgain(a, sent) })
			return nil
		}
		w.put("scheduler", a.Holder)
		w.leases["scheduler"] = w.now.Add(fleet.SchedulerTTL)
		return fleet.SchedulerElected{Lease: w.version, SentAt: sent}
	case fleet.KeepScheduler:
		if w.get("scheduler").version != a.Lease {
			return fleet.SchedulerKept{Term: a.Term, Lost: true}
		}
		w.leases["scheduler"] = w.now.Add(fleet.SchedulerTTL)
		return fleet.SchedulerKept{Term: a.Term, OK: true, SentAt: sent}
	case fleet.LoadQueue:
		return w.loadQueue(a)
	case fleet.WatchRoster:
		c := w.get("roster")
		if c.version == a.After && w.now.Sub(sent) < 2*time.Second {
			w.after(worldPoll, func() { p.arriveAgain(a, sent) })
			return nil
		}
		queues, _ := c.value.([]string)
		return fleet.RosterSeen{Term: a.Term, OK: true, Version: c.version, Queues: queues}
	case fleet.WatchSegment:
		c := w.get(a.Ref.Key())
		if c.version == 0 && w.now.Sub(sent) < 2*time.Second {
			w.after(worldPoll, func() { p.arriveAgain(a, sent) })
			return nil
		}
		return segmentSeen(a.Term, a.Ref, c)
	case fleet.SealQueue:
		if w.get(a.Ref.Key()).version == 0 {
			w.put(a.Ref.Key(), zone.Segment{Group: "seal", SealedBy: a.SealedBy})
		}
		return segmentSeen(a.Term, a.Ref, w.get(a.Ref.Key()))
	case fleet.WriteSegment:
		return w.writeSegment(a)
	case fleet.RemoveSegments:
		for _, r := range a.Removals {
			if w.get(r.Key).version == r.Version {
				w.put(r.Key, nil)
			}
		}
		return nil
	}
	return p.callWorkers(a, sent)
}

// arriveAgain goes on with a call that waits at the platform.
func (p *process) arriveAgain(a fleet.Action, sent time.Time) {
	if e := p.call(a, sent); e != nil {
		p.answer(e)
	}
}

func segmentSeen(term uint64, ref zone.SegmentRef, c cell) fleet.Event {
	seen := fleet.SegmentSeen{Term: term, OK: true, Ref: ref, Found: c.version != 0, Version: c.version}
	if s, ok := c.value.(zone.Segment); ok {
		seen.Segment = s.Clone()
	}
	return seen
}

func (w *world) writeGroup(a fleet.WriteGroup) fleet.Event {
	outcome := zone.GroupWritten
	if c := w.get(a.Ref.Key()); c.version == 0 {
		w.put(a.Ref.Key(), a.Segment.Clone())
	} else if stored := c.value.(zone.Segment); stored.SealedBy != "" {
		outcome = zone.GroupSealed
	} else if stored.Group != a.Segment.Group {
		outcome = zone.GroupTaken
	}
	return fleet.GroupEnded{Ref: a.Ref, Outcome: outcome}
}

func (w *world) loadQueue(a fleet.LoadQueue) fleet.Event {
	loaded := fleet.QueueLoaded{Term: a.Term, OK: true}
	c := w.get("roster")
	loaded.Queues, _ = c.value.([]string)
	loaded.RosterVersion = c.version
	var keys []string
	for key := range w.cells {
		if strings.HasPrefix(key, "queue/") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		ref, _ := zone.ParseSegmentKey(key)
		s := w.cells[key].value.(zone.Segment)
		loaded.Segments = append(loaded.Segments, fleet.StoredSegment{Ref: ref, Segment: s.Clone(), Version: w.cells[key].version})
	}
	return loaded
}

// writeSegment follows the runner: a conflict is resolved by the stamp.
func (w *world) writeSegment(a fleet.WriteSegment) fleet.Event {
	stored := fleet.SegmentStored{Term: a.Term, Key: a.Write.Key, Stamp: a.Write.Segment.Stamp}
	c := w.get(a.Write.Key)
	found, _ := c.value.(zone.Segment)
	own, _, _ := strings.Cut(stored.Stamp, "/")
	holder, _, _ := strings.Cut(found.Stamp, "/")
	switch {
	case found.Stamp == stored.Stamp:
		stored.OK, stored.Version = true, c.version
	case c.version == a.Write.Version || own == holder:
		stored.OK, stored.Version = true, w.put(a.Write.Key, a.Write.Segment.Clone())
	default:
		stored.Conflict = true
	}
	return stored
}

func (p *process) callWorkers(a fleet.Action, sent time.Time) fleet.Event {
	w := p.w
	w.advance()
	switch a := a.(type) {
	case fleet.WatchWorkers:
		if len(w.reports) == 0 {
			w.after(worldPoll, func() { p.arriveAgain(a, sent) })
			return nil
		}
		return fleet.WorkersSeen{Term: a.Term, OK: true, Version: 1, Workers: w.reports}
	case fleet.StartTask:
		return w.startTask(a)
	case fleet.RenewTasks:
		for _, on := range a.Tasks {
			if t := w.attempt(on); t != nil && t.report.State == machine.ReportRunning {
				t.until = w.now.Add(fleet.TaskTTL)
			}
		}
		return fleet.TasksRenewed{Term: a.Term, OK: true}
	case fleet.CheckpointTask:
		answered := fleet.CheckpointAnswered{Term: a.Term, Task: a.Task, StartID: a.On.StartID}
		if t := w.attempt(a.On); t != nil && t.report.State == machine.ReportRunning {
			t.report.Checkpoint = "saved"
			w.end(w.worker(a.On.Worker), t, machine.ReportCheckpointed)
			answered.OK, answered.Checkpoint = true, "saved"
		}
		return answered
	case fleet.StopTasks:
		for _, on := range a.Tasks {
			w.stop(on)
		}
		return fleet.StopAnswered{Term: a.Term, Tasks: a.Tasks, OK: true}
	}
	e, _ := w.limits.Run(context.Background(), a)
	return e
}

func (w *world) attempt(on fleet.WorkerTask) *worldTask {
	if worker := w.worker(on.Worker); worker != nil {
		return worker.tasks[on.StartID]
	}
	return nil
}

func (w *world) stop(on fleet.WorkerTask) {
	worker := w.worker(on.Worker)
	if worker == nil {
		return
	}
	t := worker.tasks[on.StartID]
	if t == nil {
		worker.tasks[on.StartID] = &worldTask{report: machine.TaskReport{StartID: on.StartID, State: machine.ReportStopped}}
		worker.sequence++
		return
	}
	if t.report.State == machine.ReportRunning {
		w.end(worker, t, machine.ReportStopped)
	}
}

func (w *world) startTask(a fleet.StartTask) fleet.Event {
	answered := fleet.StartAnswered{Term: a.Term, Task: a.Task.ID, Attempt: a.Task.Attempts}
	on := w.worker(a.Worker)
	if on == nil {
		answered.Result = fleet.StartNoWorker
		return answered
	}
	if on.tasks[a.StartID] != nil && !w.twice {
		answered.Result, answered.Sequence = fleet.StartDone, on.sequence
		return answered
	}
	running := 0
	for _, t := range on.tasks {
		if t.report.State == machine.ReportRunning {
			running++
		}
	}
	if running >= machine.WorkerSlots {
		answered.Result, answered.Reason = fleet.StartRefused, "full"
		return answered
	}
	runs := time.Duration(rapid.IntRange(1, 20).Draw(w.t, "run time")) * time.Second
	on.tasks[a.StartID] = &worldTask{
		report: machine.TaskReport{StartID: a.StartID, State: machine.ReportRunning}, task: a.Task, until: w.now.Add(fleet.TaskTTL), ends: w.now.Add(runs),
	}
	on.sequence++
	w.checker.Take(proof.TaskEvent{At: w.now, Kind: proof.TaskStarted, Task: a.Task.ID, Team: a.Task.Team, Worker: on.id, Idempotent: a.Task.Idempotent})
	answered.Result, answered.Sequence = fleet.StartDone, on.sequence
	return answered
}

// submit hands in tasks at a process; accepted ones join the trace.
func (p *process) submit(n int) {
	w := p.w
	var tasks []machine.Task
	for range n {
		tasks = append(tasks, machine.Task{
			Team: worldTeam, Service: "records", Declared: machine.Resources{MilliCores: 1000, MemoryMB: 1000},
			Idempotent: rapid.Bool().Draw(w.t, "idempotent"), Checkpoints: true, Urgent: rapid.IntRange(0, 4).Draw(w.t, "urgent") == 0,
		})
	}
	reply := make(chan fleet.TaskAnswer, 1)
	p.deliver(fleet.SubmitTasks{Tasks: tasks, Reply: reply})
	var take func()
	take = func() {
		select {
		case answer := <-reply:
			if answer.Outcome != zone.GroupWritten {
				return
			}
			for i, id := range answer.IDs {
				w.ids = append(w.ids, id)
				w.checker.Take(proof.TaskEvent{At: w.now, Kind: proof.TaskAccepted, Task: id, Team: worldTeam, Idempotent: tasks[i].Idempotent})
			}
		default:
			if !p.dead {
				w.after(worldLatency, take)
			}
		}
	}
	take()
}

func (p *process) cancel(ids []string) {
	reply := make(chan fleet.TaskAnswer, 1)
	p.deliver(fleet.CancelTasks{DataCentre: worldCentre, Team: worldTeam, IDs: ids, Reply: reply})
}

// fault draws one thing that happens to the world.
func (w *world) fault() {
	p := w.procs[rapid.IntRange(0, len(w.procs)-1).Draw(w.t, "process")]
	switch rapid.SampledFrom([]string{"submit", "submit", "submit", "cancel", "kill", "pause", "lose worker", "out", "back"}).Draw(w.t, "happens") {
	case "submit":
		if !p.dead {
			p.submit(rapid.IntRange(1, 8).Draw(w.t, "tasks"))
		}
	case "cancel":
		if !p.dead && len(w.ids) > 0 {
			from := rapid.IntRange(0, len(w.ids)-1).Draw(w.t, "from")
			p.cancel(slices.Clone(w.ids[from:min(from+4, len(w.ids))]))
		}
	case "kill":
		if !p.dead {
			p.dead = true
			w.spawn(p.id)
		}
	case "pause":
		p.pausedUntil = w.now.Add(time.Duration(rapid.IntRange(1, 15).Draw(w.t, "pause")) * time.Second)
	case "lose worker":
		w.loseWorker()
	case "out":
		w.order(true)
	case "back":
		w.order(false)
	}
}

// loseWorker takes one worker away. Its tasks run on until their leases end.
func (w *world) loseWorker() {
	on := w.workers[rapid.IntRange(0, 1).Draw(w.t, "worker")]
	if on.gone {
		return
	}
	on.gone = true
	for _, t := range on.tasks {
		if t.report.State == machine.ReportRunning {
			w.after(t.until.Sub(w.now), func() {
				if t.report.State == machine.ReportRunning {
					w.end(on, t, machine.ReportStopped)
				}
			})
		}
	}
}

func (w *world) order(out bool) {
	object := contract.Object{Ref: contract.Ref{Kind: contract.KindDataCentre, Name: worldCentre}, DataCentre: &contract.DataCentreOrder{Name: worldCentre, Out: out}}
	w.commit(object)
	kind := proof.TaskCentreIn
	if out {
		kind = proof.TaskCentreOut
	}
	w.checker.Take(proof.TaskEvent{At: w.now, Kind: kind})
}

// show feeds the stored states of all tasks to the checker.
func (w *world) show() {
	for _, c := range w.cells {
		if s, ok := c.value.(zone.Segment); ok {
			for _, t := range s.Tasks {
				w.checker.Take(proof.TaskEvent{At: w.now, Kind: proof.TaskShown, Task: t.ID, State: string(t.Phase)})
			}
		}
	}
}

// play runs the world with faults, then without, and returns the violations.
func (w *world) play() []proof.TaskViolation {
	w.spawn("a")
	w.run(w.now.Add(2 * time.Second))
	w.spawn("b")
	end := w.now.Add(worldFaults)
	w.lossy = rapid.IntRange(0, 20).Draw(w.t, "lossy")
	for w.now.Before(end) {
		w.fault()
		w.run(w.now.Add(time.Duration(rapid.IntRange(100, 4000).Draw(w.t, "pause between")) * time.Millisecond))
		w.show()
	}
	w.lossy = 0
	w.order(false)
	for range 20 {
		w.run(w.now.Add((worldEnd - worldFaults) / 20))
		w.show()
	}
	return w.checker.Finish(w.now)
}

// TestTasksUnderFaults guards invariants I4, I5 and I8 for tasks, and accepted
// tasks against loss, under lost calls and answers, kills, pauses, lost and bad
// workers, and a data centre that is taken out.
func TestTasksUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for _, v := range w.play() {
			t.Fatal(v)
		}
	})
}
