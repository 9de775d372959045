package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/zone"
)

// WorkerTask names a started task on a worker.
type WorkerTask struct{ Worker, StartID string }

// StartTask starts a task on a worker. The result is StartAnswered.
type StartTask struct {
	Term   uint64
	Task   machine.Task
	Worker string
	// StartID is the id under which the worker knows the attempt.
	StartID string
	// NotAfter is when the scheduler's lease ends: a start that was delayed in
	// this process beyond it is not sent.
	NotAfter time.Time
	Delay    time.Duration
}

// RenewTasks renews the leases of running tasks in one call. The result is
// TasksRenewed.
type RenewTasks struct {
	Term  uint64
	Tasks []WorkerTask
}

// CheckpointTask saves the progress of a task and ends its attempt. The result
// is CheckpointAnswered.
type CheckpointTask struct {
	Term uint64
	Task string
	On   WorkerTask
}

// ThrottleTask caps the cores of a task. There is no result: the usage that the
// worker reports shows the effect.
type ThrottleTask struct {
	On         WorkerTask
	MilliCores int64
}

// StopTasks ends tasks in one call. The result is StopAnswered.
type StopTasks struct {
	Term  uint64
	Tasks []WorkerTask
}

// WatchWorkers waits for changed workers. The result is WorkersSeen.
type WatchWorkers struct {
	Term       uint64
	DataCentre string
	After      uint64
	Delay      time.Duration
}

func (StartTask) isAction()      {}
func (RenewTasks) isAction()     {}
func (CheckpointTask) isAction() {}
func (ThrottleTask) isAction()   {}
func (StopTasks) isAction()      {}
func (WatchWorkers) isAction()   {}

// workersPause is the pause between watches of workers. It gathers the reports
// of many workers in one answer.
const workersPause = 500 * time.Millisecond

// round plans and carries out one placement round.
func (f *Fleet) round(s *scheduler, now time.Time) []Action {
	s.changed, s.waitExplained = false, false
	s.roundAt = now.Add(s.pause())
	rooms := f.teamRooms(s, now)
	s.plan = s.centre.Place(zone.Round{Now: now, Weights: f.teamWeights(), Room: rooms})
	for worker, task := range s.plan.Reservations {
		s.centre.Workers.Worker(worker).Reserve(task, now.Add(zone.ReserveTime))
	}
	var actions []Action
	var started []*machine.Task
	for _, step := range s.plan.Steps {
		if start, ok := step.(zone.Start); ok {
			if f.assign(s, start, now) {
				started = append(started, start.Task)
			}
			continue
		}
		actions = append(actions, f.carryOut(s, step, now)...)
	}
	actions = append(actions, f.wantSlots(s, rooms, now)...)
	return append(actions, s.record(started)...)
}

func (f *Fleet) teamWeights() map[string]int {
	weights := make(map[string]int)
	for _, o := range f.register.List(contract.KindTeam) {
		weights[o.Team.Name] = o.Team.Share
	}
	return weights
}

// teamRooms returns how many more tasks each team may start. A team whose
// adopted tasks do not all hold a slot starts nothing before they do.
func (f *Fleet) teamRooms(s *scheduler, now time.Time) map[string]int {
	for t := range s.unslotted {
		if f.takeSlot(t.Team, t.Service, now) == nil {
			delete(s.unslotted, t)
			s.slots[t] = true
		}
	}
	rooms := make(map[string]int)
	for _, o := range f.register.List(contract.KindTeam) {
		rooms[o.Team.Name] = f.slotRoom(o.Team.Name, now)
	}
	for t := range s.unslotted {
		rooms[t.Team] = 0
	}
	return rooms
}

// adopt charges a running task that another term started. It reports false when
// the worker is not known; the task holds a slot all the same.
func (f *Fleet) adopt(s *scheduler, t *machine.Task, worker string, now time.Time) bool {
	if !s.slots[t] {
		s.unslotted[t] = true
	}
	return s.centre.Workers.Occupy(t, worker, now) != nil
}

// assign starts a planned task in memory and reports whether it may be sent.
func (f *Fleet) assign(s *scheduler, step zone.Start, now time.Time) bool {
	t := step.Task
	refusal := f.mayStart(s, t, now)
	if refusal == nil {
		refusal = f.takeSlot(t.Team, t.Service, now)
	}
	if refusal != nil {
		f.explainWait(s, t, refusal, now)
		return false
	}
	if !t.Assign(step.Worker) {
		f.releaseSlot(t.Team, t.Service)
		return false
	}
	s.slots[t] = true
	s.centre.Workers.Occupy(t, step.Worker, now)
	s.ledger.Changed(t.ID)
	s.storing[t] = true
	f.explainTask(t, now, "start", step.Reason,
		Input{"worker", step.Worker},
		Input{"estimate", sizeText(step.Estimate)},
		Input{"use", fmt.Sprintf("%.4f", step.Use)},
		Input{"fair", fmt.Sprintf("%.4f", step.Fair)},
		Input{"waited", now.Sub(t.SubmittedAt).String()})
	return true
}

// explainWait records why planned starts are not sent, once a round: a stale
// configuration stops all of them.
func (f *Fleet) explainWait(s *scheduler, t *machine.Task, r *Refusal, now time.Time) {
	if s.waitExplained {
		return
	}
	s.waitExplained = true
	f.explainTask(t, now, "wait", r.Code+": "+r.Reason)
}

func sizeText(r machine.Resources) string {
	return fmt.Sprintf("%d millicores, %d MB, %d accelerators", r.MilliCores, r.MemoryMB, r.Accelerators)
}

func (f *Fleet) explainTask(t *machine.Task, now time.Time, action, reason string, inputs ...Input) {
	inputs = append(taskInputs(t), inputs...)
	f.Explain(Decision{At: now, Subject: Subject{SubjectTask, t.ID}, Action: action, Reason: reason, Inputs: inputs})
}

// carryOut turns a step that is no start into actions.
func (f *Fleet) carryOut(s *scheduler, step zone.PlacementStep, now time.Time) []Action {
	switch step := step.(type) {
	case zone.Checkpoint:
		if f.MayStart(&contract.Document{}, false, s.centre.Name, now) != nil {
			return nil
		}
		f.explainPreemption(step.Preemption, now, "checkpoint")
		if p := s.placement(step.Task); p != nil {
			p.Ending = true
		}
		on := WorkerTask{step.Worker, zone.StartID(step.Task)}
		return []Action{CheckpointTask{Term: s.term, Task: step.Task.ID, On: on}}
	case zone.Throttle:
		f.explainPreemption(step.Preemption, now, "throttle")
		s.centre.Workers.Throttle(step.Worker, step.Task.ID, step.MilliCores)
		s.changed = true
		return []Action{ThrottleTask{On: WorkerTask{step.Worker, zone.StartID(step.Task)}, MilliCores: step.MilliCores}}
	case zone.Stop:
		if f.MayStart(&contract.Document{}, false, s.centre.Name, now) != nil {
			return nil
		}
		f.explainPreemption(step.Preemption, now, "stop")
		return f.stop(s, []*machine.Task{step.Task})
	case zone.Refuse:
		f.explainTask(step.Task, now, "refuse", step.Reason)
		step.Task.Refuse(step.Reason, now)
		s.centre.Workers.Backlog().Remove(step.Task)
		s.ledger.Changed(step.Task.ID)
	case zone.Hold:
		f.explainTask(step.Task, now, "hold", step.Reason)
		step.Task.Hold(step.Reason)
		s.centre.Workers.Backlog().Remove(step.Task)
		s.ledger.Changed(step.Task.ID)
	}
	return nil
}

func (f *Fleet) explainPreemption(p zone.Preemption, now time.Time, action string) {
	reason := "its team is above its share"
	if p.For == "" {
		reason = "the worker has cores to spare again"
	}
	f.explainTask(p.Task, now, action, reason,
		Input{"for", p.For},
		Input{"worker", p.Worker},
		Input{"use", fmt.Sprintf("%.4f", p.Use)},
		Input{"fair", fmt.Sprintf("%.4f", p.Fair)},
		Input{"lost seconds", fmt.Sprintf("%.1f", p.Lost)})
}

func (s *scheduler) placement(t *machine.Task) *machine.Placement {
	if w := s.centre.Workers.Worker(t.Worker); w != nil {
		return w.Placement(t.ID)
	}
	return nil
}

// stop tells workers to end tasks, in one call.
func (f *Fleet) stop(s *scheduler, tasks []*machine.Task) []Action {
	var list []WorkerTask
	for _, t := range tasks {
		on := WorkerTask{t.Worker, zone.StartID(t)}
		if s.stopping[on.StartID] {
			continue
		}
		s.stopping[on.StartID] = true
		if p := s.placement(t); p != nil {
			p.Ending = true
		}
		list = append(list, on)
	}
	if len(list) == 0 {
		return nil
	}
	return []Action{StopTasks{Term: s.term, Tasks: list}}
}

// sendStart sends the start of an assigned task. A start that may not be sent
// any more goes back to the queue: it is certain that it was not sent.
func (f *Fleet) sendStart(s *scheduler, t *machine.Task, now time.Time) []Action {
	if t.Phase != machine.TaskRunning || s.sending[t] {
		return nil
	}
	if refusal := f.mayStart(s, t, now); refusal != nil {
		if t.Unsure() {
			s.retries[t] = now.Add(time.Second)
			return nil
		}
		f.backToQueue(s, t, now, refusal.Code+": "+refusal.Reason)
		return nil
	}
	s.sending[t] = true
	return []Action{StartTask{Term: s.term, Task: *t, Worker: t.Worker, StartID: zone.StartID(t), NotAfter: earliest(s.until, f.limits.hold.ValidUntil())}}
}

func (f *Fleet) backToQueue(s *scheduler, t *machine.Task, now time.Time, reason string) bool {
	worker := t.Worker
	if !t.NotStarted() {
		return false
	}
	f.explainTask(t, now, "requeue", reason, Input{"worker", worker})
	f.vacate(s, t, worker)
	s.centre.Workers.Backlog().Add(t)
	return true
}

// vacate ends the charge and the slot of a task.
func (f *Fleet) vacate(s *scheduler, t *machine.Task, worker string) {
	s.centre.Workers.Free(t.ID, worker)
	if s.slots[t] {
		delete(s.slots, t)
		f.releaseSlot(t.Team, t.Service)
	}
	delete(s.unslotted, t)
	delete(s.storing, t)
	delete(s.retries, t)
	delete(s.lost, t)
	s.ledger.Changed(t.ID)
	s.changed = true
}

// StartResult is what is known about a start.
type StartResult string

// Results of a start.
const (
	// StartDone means that the worker runs or ran the start id.
	StartDone StartResult = "started"
	// StartRefused means that this call started nothing.
	StartRefused StartResult = "refused"
	// StartNoWorker means that the worker does not exist any more.
	StartNoWorker StartResult = "no worker"
	StartUnknown  StartResult = "unknown"
)

// StartAnswered is the end of StartTask.
type StartAnswered struct {
	Term     uint64
	Task     string
	Attempt  int
	Result   StartResult
	Sequence uint64
	Reason   string
}

// Apply implements Event.
func (e StartAnswered) Apply(f *Fleet, now time.Time) []Action {
	s := f.scheduler(e.Term)
	if s == nil {
		return nil
	}
	t := s.ledger.Task(e.Task)
	if t == nil {
		return nil
	}
	delete(s.sending, t)
	if t.Phase != machine.TaskRunning || t.Attempts != e.Attempt {
		return nil
	}
	switch e.Result {
	case StartDone:
		t.Confirm()
		if p := s.placement(t); p != nil && e.Sequence > 0 {
			p.Since = e.Sequence
		}
	case StartUnknown:
		t.AnswerLost()
		s.retries[t] = now.Add(startRetry)
	case StartNoWorker:
		f.noWorker(s, t, e.Reason, now)
	default:
		actions := f.refusedStart(s, t, e.Reason, now)
		return append(actions, f.tickSchedule(now)...)
	}
	return f.tickSchedule(now)
}

// noWorker takes the answer that the worker of a start does not exist. An
// earlier start may have reached it: an idempotent task waits for the end of
// its lease then, another one is unknown.
func (f *Fleet) noWorker(s *scheduler, t *machine.Task, reason string, now time.Time) {
	switch {
	case f.backToQueue(s, t, now, reason):
	case t.Idempotent:
		s.lost[t] = now.Add(leaseEnd)
	default:
		f.lose(s, t, now, "the worker is gone and its answer to the start was lost")
	}
}

// refusedStart takes the worker's refusal of a start. An earlier start of the
// attempt may still arrive there: a stop bars the id of an idempotent task, so
// that it can go elsewhere; another one stays with the worker.
func (f *Fleet) refusedStart(s *scheduler, t *machine.Task, reason string, now time.Time) []Action {
	switch {
	case f.backToQueue(s, t, now, reason):
	case t.Idempotent:
		return f.stop(s, []*machine.Task{t})
	default:
		s.retries[t] = now.Add(refusedRetry)
	}
	return nil
}

// retryStarts sends starts again whose answer was lost. They go to the same
// worker under the same id, which the worker starts once.
func (f *Fleet) retryStarts(s *scheduler, now time.Time) []Action {
	var due []*machine.Task
	for t, at := range s.retries {
		if !now.Before(at) {
			due = append(due, t)
		}
	}
	slices.SortFunc(due, func(a, b *machine.Task) int { return cmp.Compare(a.ID, b.ID) })
	var actions []Action
	for _, t := range due {
		delete(s.retries, t)
		if t.Phase == machine.TaskRunning && t.Unsure() {
			actions = append(actions, f.sendStart(s, t, now)...)
		}
	}
	return actions
}

// lose takes the certain end of a task's lease on a worker that is gone.
func (f *Fleet) lose(s *scheduler, t *machine.Task, now time.Time, reason string) {
	worker := t.Worker
	t.Lose(reason, now)
	f.explainTask(t, now, string(t.Phase), reason, Input{"worker", worker})
	f.vacate(s, t, worker)
	if t.Phase == machine.TaskQueued {
		s.centre.Workers.Backlog().Add(t)
	}
}

func (f *Fleet) endLost(s *scheduler, now time.Time) []Action {
	var due []*machine.Task
	for t, at := range s.lost {
		if !now.Before(at) {
			due = append(due, t)
		}
	}
	slices.SortFunc(due, func(a, b *machine.Task) int { return cmp.Compare(a.ID, b.ID) })
	for _, t := range due {
		delete(s.lost, t)
		f.lose(s, t, now, "the worker is gone and the lease has ended")
	}
	return nil
}

// renewTasks renews the leases of all running tasks.
func (f *Fleet) renewTasks(s *scheduler, now time.Time) []Action {
	if now.Before(s.renewAt) {
		return nil
	}
	s.renewAt = now.Add(taskRenew)
	if !f.limits.hold.Valid(now) {
		// Others may take over the slots of this process once the tasks' leases
		// have ended.
		return nil
	}
	var list []WorkerTask
	for _, r := range s.centre.Workers.Racks() {
		for _, w := range r.Workers() {
			for _, p := range w.Placements() {
				list = append(list, WorkerTask{w.ID, zone.StartID(p.Task)})
			}
		}
	}
	if len(list) == 0 {
		return nil
	}
	return []Action{RenewTasks{Term: s.term, Tasks: list}}
}

// TasksRenewed is the end of RenewTasks.
type TasksRenewed struct {
	Term uint64
	OK   bool
}

// Apply implements Event. A failed renewal is repeated soon: the leases hold
// for TaskTTL after the last one.
func (e TasksRenewed) Apply(f *Fleet, now time.Time) []Action {
	if s := f.scheduler(e.Term); s != nil && !e.OK {
		s.renewAt = now.Add(RetryDelay)
	}
	return nil
}

// CheckpointAnswered is the end of CheckpointTask.
type CheckpointAnswered struct {
	Term       uint64
	Task       string
	StartID    string
	OK         bool
	Checkpoint string
}

// Apply implements Event.
func (e CheckpointAnswered) Apply(f *Fleet, now time.Time) []Action {
	s := f.scheduler(e.Term)
	if s == nil {
		return nil
	}
	t := s.ledger.Task(e.Task)
	if t == nil || t.Phase != machine.TaskRunning || zone.StartID(t) != e.StartID {
		return nil
	}
	if !e.OK {
		if p := s.placement(t); p != nil {
			p.Ending = false
		}
		return nil
	}
	f.interrupt(s, t, e.Checkpoint, now)
	return f.tickSchedule(now)
}

func (f *Fleet) interrupt(s *scheduler, t *machine.Task, checkpoint string, now time.Time) {
	worker := t.Worker
	t.Interrupt(checkpoint, now)
	f.explainTask(t, now, string(t.Phase), "its attempt ended before it was done",
		Input{"worker", worker}, Input{"checkpoint", t.Checkpoint})
	f.vacate(s, t, worker)
	if t.Phase == machine.TaskQueued {
		s.centre.Workers.Backlog().Add(t)
	}
}

// StopAnswered is the end of StopTasks.
type StopAnswered struct {
	Term  uint64
	Tasks []WorkerTask
	OK    bool
}

// Apply implements Event.
func (e StopAnswered) Apply(f *Fleet, now time.Time) []Action {
	s := f.scheduler(e.Term)
	if s == nil {
		return nil
	}
	for _, on := range e.Tasks {
		delete(s.stopping, on.StartID)
		id, _ := zone.ParseStartID(on.StartID)
		t := s.ledger.Task(id)
		if t == nil || zone.StartID(t) != on.StartID {
			continue
		}
		switch {
		case !e.OK:
			s.restops = append(s.restops, on)
			s.restopAt = now.Add(RetryDelay)
		case t.Final():
			f.vacate(s, t, on.Worker)
		default:
			f.interrupt(s, t, "", now)
		}
	}
	return f.tickSchedule(now)
}

// retryStops repeats stops that failed, in one call.
func (f *Fleet) retryStops(s *scheduler, now time.Time) []Action {
	if len(s.restops) == 0 || now.Before(s.restopAt) {
		return nil
	}
	var tasks []*machine.Task
	for _, on := range s.restops {
		id, _ := zone.ParseStartID(on.StartID)
		if t := s.ledger.Task(id); t != nil && t.Worker == on.Worker && zone.StartID(t) == on.StartID {
			tasks = append(tasks, t)
		}
	}
	s.restops = nil
	return f.stop(s, tasks)
}

// cancelBatch applies a wave of cancellations as one event: one pass over the
// ids, one call that stops what runs.
func (f *Fleet) cancelBatch(s *scheduler, cancels []zone.Cancel, now time.Time) []Action {
	var actions []Action
	for _, c := range cancels {
		list := s.ledger.Cancel(c, now)
		if len(list) == 0 {
			continue
		}
		f.Explain(Decision{
			At: now, Subject: Subject{SubjectTeam, c.Team}, Action: "cancel", Reason: "asked by the team",
			Inputs: []Input{{"asked", fmt.Sprint(len(c.IDs))}, {"cancelled", fmt.Sprint(len(list))}},
		})
		actions = append(actions, f.stopCancelled(s, list, now)...)
	}
	return actions
}

func (f *Fleet) stopCancelled(s *scheduler, list []zone.Cancelled, now time.Time) []Action {
	var running []*machine.Task
	for _, c := range list {
		if c.Worker == "" {
			s.centre.Workers.Backlog().Remove(c.Task)
			continue
		}
		if s.storing[c.Task] {
			f.vacate(s, c.Task, c.Worker)
			continue
		}
		running = append(running, c.Task)
	}
	return f.stop(s, running)
}

// slotsFree returns how many tasks an allotment lets start. Tasks use granted
// slots only: their leases are renewed for longer than a loan lasts.
func (f *Fleet) slotsFree(a *contract.Allotment, now time.Time) int {
	held := f.limits.hold.Valid(now)
	if !held || f.limits.stopping {
		return 0
	}
	if a.Limit().Unbounded {
		return a.Free(now, held)
	}
	return max(0, min(a.Free(now, held), a.Granted()-a.Lent()-a.Running()))
}

// takeSlot takes one slot of a team and of a service, for a task.
func (f *Fleet) takeSlot(team, service string, now time.Time) *Refusal {
	t, s := f.limits.of(f, team, service)
	for _, a := range []*contract.Allotment{t, s} {
		if f.slotsFree(a, now) == 0 {
			refusal := f.limitRefusal(now, a)
			return &refusal
		}
	}
	t.Start()
	s.Start()
	return nil
}

// releaseSlot gives a slot back. Requests that wait for it are served at the
// next tick.
func (f *Fleet) releaseSlot(team, service string) {
	t, s := f.limits.of(f, team, service)
	t.Finish()
	s.Finish()
	f.schedule.freed = append(f.schedule.freed, t, s)
}

// driveFreed serves requests that wait for slots which tasks gave back.
func (f *Fleet) driveFreed(now time.Time) []Action {
	freed := f.schedule.freed
	f.schedule.freed = nil
	seen := make(map[*contract.Allotment]bool, len(freed))
	var actions []Action
	for _, a := range freed {
		if !seen[a] {
			seen[a] = true
			actions = append(actions, f.drive(now, a)...)
		}
	}
	return actions
}

// slotRoom returns how many more slots a team could take.
func (f *Fleet) slotRoom(team string, now time.Time) int {
	return f.slotsFree(f.allotment(contract.Ref{Kind: contract.KindTeam, Name: team}), now)
}

// wantSlots asks for more slots for the queued tasks of each team and service
// that had none, not more than there are free slots on workers.
func (f *Fleet) wantSlots(s *scheduler, rooms map[string]int, now time.Time) []Action {
	wanted := make(map[contract.Ref]int)
	set := s.centre.Workers
	free := set.Slots() - set.Occupied()
	for team, room := range rooms {
		queue := set.Backlog().Queue(team)
		adopted := f.unslottedOf(s, team)
		if missing := min(queue.Urgent+queue.Normal, free) - room + adopted; missing > 0 && f.upperLimit(team) > 0 {
			wanted[contract.Ref{Kind: contract.KindTeam, Name: team}] = missing
			for _, service := range set.Backlog().Services(team) {
				wanted[contract.Ref{Kind: contract.KindDocument, Name: service}] += missing
			}
		}
	}
	f.schedule.wanted = wanted
	var actions []Action
	refs := make([]contract.Ref, 0, len(wanted))
	for ref := range wanted {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, func(a, b contract.Ref) int { return cmp.Compare(a.String(), b.String()) })
	for _, ref := range refs {
		a := f.allotment(ref)
		actions = append(actions, f.planSwap(now, a)...)
		// The answer to a swap in flight makes another round worth while.
		s.changed = s.changed || a.Pending()
	}
	return actions
}

func (f *Fleet) unslottedOf(s *scheduler, team string) int {
	n := 0
	for t := range s.unslotted {
		if t.Team == team {
			n++
		}
	}
	return n
}

// waitingFor returns the requests and tasks that wait for slots of a limit.
func (f *Fleet) waitingFor(ref contract.Ref) int {
	return f.limits.queue.Waiting(ref) + f.schedule.wanted[ref]
}

// upperLimit returns the upper limit of a team, 0 when it is not known.
func (f *Fleet) upperLimit(team string) int {
	if o, ok := f.register.Get(contract.Ref{Kind: contract.KindTeam, Name: team}); ok {
		return o.Team.UpperLimit
	}
	return 0
}

func (f *Fleet) releaseParting(now time.Time) {
	f.schedule.parting = slices.DeleteFunc(f.schedule.parting, func(p partingSlots) bool {
		if now.Before(p.until) {
			return false
		}
		for t := range p.tasks {
			f.releaseSlot(t.Team, t.Service)
		}
		return true
	})
}
