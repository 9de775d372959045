package scheduler

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/link/lease"
	"github.com/crocusjunction/crocusjunction/internal/machine/upkeep"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// simNode is one simulated node: its scheduler, how far it has read the store, and
// its faults.
type simNode struct {
	w            *simulation
	name         string
	guard        *Guard
	cpuShare     float64
	state        *Scheduler
	incarnation  int
	seenRevision int64
	frozen       bool
	cutOff       bool
	// Orders for machines that the node sends before ordersHeldUntil reach the machines
	// service then, unless its process lives to close their connections.
	ordersHeldUntil time.Time
	down            bool
	deferred        []func()
	timerSet        time.Time
	syncing         bool
	watched         WatchHolder
}

func (w *simulation) addNode(name string) {
	n := &simNode{w: w, name: name, cpuShare: sufficientCPUShare}
	w.nodes = append(w.nodes, n)
	n.boot()
}

func (n *simNode) boot() {
	n.incarnation++
	n.down, n.seenRevision, n.syncing, n.watched = false, 0, false, WatchHolder{}
	n.guard = NewGuard(Options{
		NodeName: n.name, ProcessID: n.process(), CPUShare: n.cpuShare, TaskLease: 5600 * time.Millisecond, MaxTaskLease: 6 * time.Second,
		StatusRetention: time.Minute, MachineOpGap: 3 * time.Second, RemoteFactor: n.w.remoteFactor, ShareHalfLife: n.w.shareHalfLife, IgnoreCycles: n.w.ignoreCycles,
		MachineOrdersPerSecond: n.w.machineOrdersPerSecond,
	}, noStack)
	n.state = n.guard.Scheduler()
	n.later(n.w.latency(), n.poll)
}

// process identifies the running process of the node.
func (n *simNode) process() string { return fmt.Sprintf("%s/%d", n.name, n.incarnation) }

// checkWatched reports HolderEnded to the node if the process that it watches has
// ended, as the watch connection does.
func (n *simNode) checkWatched() {
	target := n.watched
	if target.Address == "" {
		return
	}
	for _, other := range n.w.nodes {
		if other.name == target.Address && (other.down || other.process() != target.Process) {
			n.later(n.w.latency(), func() { n.apply(HolderEnded{Fence: target.Fence, Reason: "test"}) })
		}
	}
}

// later calls run after d unless the node's process has ended by then. A frozen node
// calls it when it resumes.
func (n *simNode) later(d time.Duration, run func()) {
	incarnation := n.incarnation
	n.w.after(d, func() {
		if n.incarnation != incarnation || n.down {
			return
		}
		if n.frozen {
			n.deferred = append(n.deferred, run)
			return
		}
		run()
	})
}

func (n *simNode) kill(downtime time.Duration) {
	n.down = true
	n.incarnation++
	n.deferred = nil
	n.w.log("%s killed", n.name)
	if !n.w.powerLoss {
		for _, other := range n.w.nodes {
			other.checkWatched()
		}
	}
	n.w.after(downtime, func() {
		n.frozen = false
		n.boot()
		for _, other := range n.w.nodes {
			other.checkWatched()
		}
	})
}

func (n *simNode) freeze(d time.Duration) {
	n.frozen = true
	n.w.log("%s frozen", n.name)
	incarnation := n.incarnation
	n.w.after(d, func() {
		if n.incarnation != incarnation {
			return
		}
		n.frozen = false
		n.w.log("%s resumes", n.name)
		deferred := n.deferred
		n.deferred = nil
		for _, run := range deferred {
			run()
		}
	})
}

// poll reads the changes of all parts of the store repeatedly.
func (n *simNode) poll() {
	sentAt, copyNumber := n.w.now, n.state.CopyNumber()
	if n.cutOff || n.w.store.down {
		n.later(100*time.Millisecond, n.poll)
		return
	}
	n.later(2*n.w.latency(), func() {
		for _, part := range []Part{OperatorPart, JobsPart, WorkersPart} {
			n.apply(Synced{Copy: copyNumber, Part: part, Changes: n.w.store.changes(part, n.seenRevision), Revision: n.w.store.revision, SentAt: sentAt})
		}
		n.seenRevision = n.w.store.revision
		if n.state.CopyNumber() != copyNumber {
			n.seenRevision = 0
		}
		n.later(20*time.Millisecond, n.poll)
	})
}

func (n *simNode) apply(e Event) {
	if n.down {
		return
	}
	actions := n.guard.Apply(e, n.w.now)
	if next := n.guard.Scheduler(); next != n.state {
		n.state, n.seenRevision, n.timerSet = next, 0, time.Time{}
	}
	for _, a := range actions {
		n.perform(a)
	}
	at := n.state.NextTick()
	if at.IsZero() || at.Equal(n.timerSet) {
		return
	}
	n.timerSet = at
	n.later(max(at.Sub(n.w.now), time.Millisecond), func() { n.apply(Tick{}) })
}

func (n *simNode) reply(e Event) { n.later(n.w.latency(), func() { n.apply(e) }) }

// call simulates a call to another process, on which effect runs. When the answer
// arrives, answered runs on the node. If the answer is lost or the call is carried
// out late, lost runs on the node after a timeout.
func (n *simNode) call(effect func(), answered, lost func()) {
	w := n.w
	switch p := w.random.Float64(); {
	case p < w.lateRate:
		w.after(time.Duration(500+w.random.IntN(6000))*time.Millisecond, effect)
		n.later(600*time.Millisecond, lost)
	case p < w.lateRate+w.lossRate:
		w.after(w.latency(), effect)
		n.later(600*time.Millisecond, lost)
	default:
		w.after(w.latency(), func() {
			effect()
			n.later(w.latency(), answered)
		})
	}
}

func (n *simNode) perform(a Action) {
	w := n.w
	switch a := a.(type) {
	case LogLine:
		if a.Text != "pool" {
			w.log("%s: %s %v", n.name, a.Text, a.Fields)
		}
	case AcquireLease:
		n.acquireLease(a)
	case WatchHolder:
		n.watched = a
		n.checkWatched()
	case RenewLease:
		n.renew(a)
	case ReleaseLease:
		w.after(w.latency(), func() {
			if w.store.write(a.Fence, map[string]any{"left": LeaseReleaseRead{a.Epoch}}, nil) {
				w.store.endLease(a.Lease)
			}
		})
	case RequestHandover:
		w.after(w.latency(), func() { w.store.write(a.Fence, map[string]any{"handover": HandoverRead(a)}, nil) })
	case StoreQuarantine:
		w.after(w.latency(), func() {
			if a.Record.Kind != "" {
				w.store.put(quarantineKey(a.Record), QuarantineRead{a.Record}, 0)
			}
			if a.Release != nil {
				n.perform(*a.Release)
			}
		})
	case PollWorker:
		n.pollWorker(a)
	case StartTask:
		n.startTask(a)
	case StopRun:
		if w.now.Before(a.NotAfter) {
			var ok, fenced bool
			n.call(func() { ok, fenced = w.workerOf(a.Target.ID).stop(a) },
				func() { n.apply(StopAnswered{Worker: a.Target.ID, Run: a.Run, Fence: a.Fence, OK: ok, Fenced: fenced}) },
				func() { n.apply(StopAnswered{Worker: a.Target.ID, Run: a.Run, Fence: a.Fence}) })
		}
	case StoreProgress:
		n.storeProgress(a)
	case StoreRoster:
		n.writeRecord(a.Fence, "roster", a.Members, a.Expected, func(r RecordResult) Event { return RosterStored{a.Fence, a.Members, r} })
	case StoreSilences:
		n.writeRecord(a.Fence, "silent", SilencesRead{Left: a.Left}, a.Expected, func(r RecordResult) Event { return SilencesStored{a.Fence, a.Left, r} })
	case ReadProgress:
		listed := ProgressListed{Fence: a.Fence}
		n.storeCall(func() {
			listed.OK, listed.Progress = true, w.store.progress()
		}, func() { n.apply(listed) }, func() { n.apply(ProgressListed{Fence: a.Fence}) })
	case StorePending:
		n.writeRecord(a.Fence, "pending", PendingRead{Counts: a.Counts, AsOf: a.AsOf}, a.Expected, func(r RecordResult) Event { return PendingStored{a.Fence, r} })
	case StoreRooms:
		n.writeRecord(a.Fence, "room", RoomsRead{Fence: a.Fence, Rooms: a.Rooms, AsOf: a.AsOf}, a.Expected, func(r RecordResult) Event { return RoomsStored{a.Fence, r} })
	case StoreUse:
		n.writeRecord(a.Fence, "usage", UseRead{Used: a.Used, At: a.At}, a.Expected, func(r RecordResult) Event { return UseStored{a.Fence, r} })
	case StoreTurns:
		w.cycleWrites++
		n.writeRecord(a.Fence, "turns", TurnsRead{WrittenAt: a.WrittenAt, Histories: a.Histories}, a.Expected, func(r RecordResult) Event { return TurnsStored{a.Fence, r} })
	case StoreMachineOrders:
		if w.loseMachineOrderLists {
			n.reply(MachineOrdersStored{a.Fence, a.Orders, RecordResult{Outcome: StoreFailed}})
			return
		}
		n.writeRecord(a.Fence, "orders", MachineOrdersRead{Epoch: a.Epoch, Orders: a.Orders}, a.Expected, func(r RecordResult) Event {
			return MachineOrdersStored{a.Fence, a.Orders, r}
		})
	case ListMachines:
		n.later(2*w.latency(), func() {
			list := w.listMachines()
			if w.omitMachines {
				skip := w.random.IntN(len(list))
				list = slices.Delete(list, skip, skip+1)
			}
			n.apply(MachinesListed{OK: true, Machines: list, SentAt: w.now})
		})
	case OrderUpkeep:
		n.machineOp(a.Machine, "", a.Wave, a.Fence, a.NotAfter, func(o MachineOpOutcome, r upkeep.Refusal) Event {
			return UpkeepAnswered{a.Machine, a.Wave, a.Fence, o, r}
		})
	case OrderMove:
		n.machineOp(a.Machine, a.Pool, 0, a.Fence, a.NotAfter, func(o MachineOpOutcome, r upkeep.Refusal) Event {
			return MoveAnswered{a.Machine, a.Pool, a.Fence, o, r}
		})
	case PublishWave:
		if a.Completed {
			w.checkWave(a.Wave)
		}
		progress := WaveProgressRead{Wave: a.Wave, Begun: a.Begun, Completed: a.Completed}
		n.writeRecord(a.Fence, "wave/"+strconv.FormatInt(a.Wave, 10), progress, a.Expected, func(r RecordResult) Event {
			return WavePublished{a.Wave, a.Fence, a.Completed, len(a.Begun), r}
		})
	case RequestAdvice:
		n.advise(a)
	case SetPace:
		n.call(func() { w.workerOf(a.Target.ID).setPace(a) }, func() {}, func() {})
	case RemoveJobs, RemoveCancels, CloseWorker, JobMeasured, RefusalCounted:
	default:
		w.fail("action %T is not simulated", a)
	}
}

// writeRecord simulates a write of one of the scheduler's records. Answer returns the
// event of its result.
func (n *simNode) writeRecord(fence int64, key string, value any, expected int64, answer func(RecordResult) Event) {
	var result RecordResult
	if key == n.w.lateRecord {
		n.w.after(lateRecordDelay, func() { n.w.store.writeRecord(fence, key, value, expected) })
		n.later(600*time.Millisecond, func() { n.apply(answer(RecordResult{Outcome: StoreFailed})) })
		return
	}
	n.storeCall(func() { result = n.w.store.writeRecord(fence, key, value, expected) },
		func() { n.apply(answer(result)) }, func() { n.apply(answer(RecordResult{Outcome: StoreFailed})) })
}

// storeCall simulates a call to the store, which may be down or unreachable.
func (n *simNode) storeCall(effect, answered, lost func()) {
	if n.cutOff || n.w.store.down {
		n.later(100*time.Millisecond, lost)
		return
	}
	n.call(effect, answered, lost)
}

func (n *simNode) acquireLease(a AcquireLease) {
	sentAt := n.w.now
	var e Event = LeaseRefused{"lost"}
	n.storeCall(func() { e = n.w.store.claimLease(n, a, sentAt) }, func() { n.apply(e) }, func() { n.apply(e) })
}

func (n *simNode) renew(a RenewLease) {
	sentAt := n.w.now
	outcome := RenewUnknown
	n.storeCall(func() { outcome = n.w.store.renewLease(a.Lease) },
		func() {
			n.apply(LeaseRenewed{Lease: a.Lease, Outcome: outcome, SentAt: sentAt, TTL: lease.TTL})
		},
		func() { n.apply(LeaseRenewed{Lease: a.Lease, Outcome: RenewUnknown, SentAt: sentAt}) })
}

func (n *simNode) pollWorker(a PollWorker) {
	w := n.w
	e := WorkerAnswered{Worker: a.Target.ID, Fence: a.Request.Fence, SentAt: w.now, Outcome: PollUnanswered}
	if !w.now.Before(a.NotAfter) {
		e.Outcome = PollNotSent
		n.reply(e)
		return
	}
	target := w.workerOf(a.Target.ID)
	if target == nil || target.silent {
		n.later(a.Request.Wait+700*time.Millisecond, func() { n.apply(e) })
		return
	}
	n.call(func() { target.answerPoll(a.Request, &e) }, func() { n.apply(e) }, func() {
		n.apply(WorkerAnswered{Worker: a.Target.ID, Fence: a.Request.Fence, SentAt: e.SentAt, Outcome: PollUnanswered})
	})
}

func (n *simNode) startTask(a StartTask) {
	w := n.w
	e := StartAnswered{Worker: a.Target.ID, Fence: a.Order.Fence, Run: worker.RunKey{Task: a.Order.Task, Number: a.Order.Run}}
	if !w.now.Before(a.NotAfter) {
		e.Outcome, e.Refusal = StartNotDone, worker.RefusedUnsent
		n.reply(e)
		return
	}
	lost := e
	lost.Outcome = StartUnknown
	target := w.workerOf(a.Target.ID)
	if target == nil || target.silent {
		n.later(600*time.Millisecond, func() { n.apply(lost) })
		return
	}
	n.call(func() { target.start(a.Order, &e) }, func() { n.apply(e) }, func() { n.apply(lost) })
}

func (n *simNode) storeProgress(a StoreProgress) {
	e := ProgressStored{Fence: a.Fence, Writes: a.Writes, Outcome: StoreFailed}
	effect := func() { n.w.store.writeProgress(a, &e) }
	lost := func() { n.apply(ProgressStored{Fence: a.Fence, Writes: a.Writes, Outcome: StoreFailed}) }
	n.storeCall(effect, func() { n.apply(e) }, lost)
}

// advise answers as the advice service. It approves the workers whose machine has an
// even number.
func (n *simNode) advise(a RequestAdvice) {
	w := n.w
	e := AdviceAnswered{Step: a.Step, Workers: a.Workers, Fence: a.Fence, SentAt: w.now, OK: true, Tickets: make(map[string]string), Validity: 2 * time.Second}
	for _, id := range a.Workers {
		if w.approved(id) {
			e.Tickets[id] = a.Step + "@" + id
			w.tickets[a.Step+"@"+id] = w.now.Add(2*time.Second + 50*time.Millisecond)
		}
	}
	n.later(20*time.Millisecond, func() { n.apply(e) })
}

func (w *simulation) approved(id string) bool {
	var machineNumber, sequence int
	_, err := fmt.Sscanf(id, "i-m-%d-%d", &machineNumber, &sequence)
	return err == nil && machineNumber%2 == 0
}
