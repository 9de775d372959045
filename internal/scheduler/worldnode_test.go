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

// simNode is one node: a scheduler, its copy of the store, and its faults.
type simNode struct {
	w        *world
	name     string
	state    *Scheduler
	life     int
	seen     int64
	frozen   bool
	cut      bool
	down     bool
	waiting  []func()
	timerSet time.Time
	syncing  bool
	watched  WatchHolder
}

func (w *world) addNode(name string) {
	n := &simNode{w: w, name: name}
	w.nodes = append(w.nodes, n)
	n.boot()
}

func (n *simNode) boot() {
	n.life++
	n.down, n.seen, n.syncing, n.watched = false, 0, false, WatchHolder{}
	n.state = New(Terms{
		Self: n.name, Process: n.process(), ProcessorShare: ordinaryShare, Hold: 5600 * time.Millisecond, LongestHold: 6 * time.Second,
		StatusKept: time.Minute, DutyTurn: 3 * time.Second,
	})
	n.later(n.w.latency(), n.poll)
}

// process names this life of the node.
func (n *simNode) process() string { return fmt.Sprintf("%s/%d", n.name, n.life) }

// visit tells the node of the end of the process that it watches, as a
// connection does, if that process is gone already.
func (n *simNode) visit() {
	target := n.watched
	if target.Address == "" {
		return
	}
	for _, other := range n.w.nodes {
		if other.name == target.Address && (other.down || other.process() != target.Process) {
			n.later(n.w.latency(), func() { n.apply(HolderLost{Fence: target.Fence, Reason: "test"}) })
		}
	}
}

// later runs something in this life of the node; a frozen node runs it when it
// wakes.
func (n *simNode) later(d time.Duration, run func()) {
	life := n.life
	n.w.after(d, func() {
		if n.life != life || n.down {
			return
		}
		if n.frozen {
			n.waiting = append(n.waiting, run)
			return
		}
		run()
	})
}

func (n *simNode) kill(downtime time.Duration) {
	n.down = true
	n.life++
	n.waiting = nil
	n.w.log("%s killed", n.name)
	if !n.w.powerLoss {
		for _, other := range n.w.nodes {
			other.visit()
		}
	}
	n.w.after(downtime, func() {
		n.frozen = false
		n.boot()
		for _, other := range n.w.nodes {
			other.visit()
		}
	})
}

func (n *simNode) freeze(d time.Duration) {
	n.frozen = true
	n.w.log("%s frozen", n.name)
	life := n.life
	n.w.after(d, func() {
		if n.life != life {
			return
		}
		n.frozen = false
		n.w.log("%s wakes", n.name)
		waiting := n.waiting
		n.waiting = nil
		for _, run := range waiting {
			run()
		}
	})
}

// poll reads all parts of the store.
func (n *simNode) poll() {
	sentAt := n.w.now
	if n.cut || n.w.store.down {
		n.later(100*time.Millisecond, n.poll)
		return
	}
	n.later(2*n.w.latency(), func() {
		for _, part := range []Part{Operator, Jobs, Workers} {
			n.apply(Synced{Part: part, Changes: n.w.store.changes(part, n.seen), Revision: n.w.store.revision, SentAt: sentAt})
		}
		n.seen = n.w.store.revision
		n.later(20*time.Millisecond, n.poll)
	})
}

func (n *simNode) apply(e Event) {
	if n.down {
		return
	}
	for _, a := range n.state.Apply(e, n.w.now) {
		n.perform(a)
	}
	at := n.state.NextWake()
	if at.IsZero() || at.Equal(n.timerSet) {
		return
	}
	n.timerSet = at
	n.later(max(at.Sub(n.w.now), time.Millisecond), func() { n.apply(Tick{}) })
}

func (n *simNode) reply(e Event) { n.later(n.w.latency(), func() { n.apply(e) }) }

// call sends something that takes effect at its target, perhaps late, and
// reports whether the answer arrives.
func (n *simNode) call(effect func(), answered, lost func()) {
	w := n.w
	switch p := w.random.Float64(); {
	case p < w.late:
		w.after(time.Duration(500+w.random.IntN(6000))*time.Millisecond, effect)
		n.later(600*time.Millisecond, lost)
	case p < w.late+w.lossy:
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
	case Note:
		if a.Text != "pool" {
			w.log("%s: %s %v", n.name, a.Text, a.Fields)
		}
	case SeekLease:
		n.seek(a)
	case WatchHolder:
		n.watched = a
		n.visit()
	case RenewLease:
		n.renew(a)
	case EndLease:
		w.after(w.latency(), func() {
			if w.store.write(a.Fence, map[string]any{"left": LeftRead{a.Epoch}}, nil) {
				w.store.endLease(a.Lease)
			}
		})
	case AskWorker:
		n.ask(a)
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
		ok := false
		n.storeCall(func() { ok = w.store.write(a.Fence, map[string]any{"roster": a.Members}, nil) },
			func() { n.apply(RosterStored{a.Fence, a.Members, ok}) }, func() { n.apply(RosterStored{a.Fence, a.Members, false}) })
	case ListMachines:
		n.later(2*w.latency(), func() {
			list := w.listMachines()
			if w.skipping {
				skip := w.random.IntN(len(list))
				list = slices.Delete(list, skip, skip+1)
			}
			n.apply(MachinesListed{OK: true, Machines: list, SentAt: w.now})
		})
	case OrderUpkeep:
		n.duty(a.Machine, "", a.Wave, a.Fence, a.NotAfter, func(o DutyOutcome, r upkeep.Refusal) Event {
			return UpkeepAnswered{a.Machine, a.Wave, a.Fence, o, r}
		})
	case OrderMove:
		n.duty(a.Machine, a.Pool, 0, a.Fence, a.NotAfter, func(o DutyOutcome, r upkeep.Refusal) Event {
			return MoveAnswered{a.Machine, a.Pool, a.Fence, o, r}
		})
	case PublishWave:
		n.storeCall(func() {
			if a.Completed {
				w.checkWave(a.Wave)
			}
			w.store.write(a.Fence, map[string]any{"wave/" + strconv.FormatInt(a.Wave, 10): WaveProgressRead{a.Wave, a.Begun, a.Completed}}, nil)
		}, func() { n.apply(WavePublished{a.Wave, a.Completed, len(a.Begun), true}) },
			func() { n.apply(WavePublished{a.Wave, a.Completed, len(a.Begun), false}) })
	case AskAdvice:
		n.advise(a)
	case PaceRun:
		n.call(func() { w.workerOf(a.Target.ID).setPace(a) }, func() {}, func() {})
	case RemoveJobs, ForgetWorker, JobMeasured, RefusalCounted:
	default:
		w.fail("action %T is not simulated", a)
	}
}

// storeCall is a call to the store, which may be down or cut off.
func (n *simNode) storeCall(effect, answered, lost func()) {
	if n.cut || n.w.store.down {
		n.later(100*time.Millisecond, lost)
		return
	}
	n.call(effect, answered, lost)
}

func (n *simNode) seek(a SeekLease) {
	sentAt := n.w.now
	var e Event = LeaseRefused{"lost"}
	n.storeCall(func() { e = n.w.store.claim(n, a, sentAt) }, func() { n.apply(e) }, func() { n.apply(e) })
}

func (n *simNode) renew(a RenewLease) {
	sentAt := n.w.now
	outcome := RenewUnknown
	n.storeCall(func() { outcome = n.w.store.keep(a.Lease) },
		func() {
			n.apply(LeaseRenewed{Lease: a.Lease, Outcome: outcome, SentAt: sentAt, TTL: lease.TTL})
		},
		func() { n.apply(LeaseRenewed{Lease: a.Lease, Outcome: RenewUnknown, SentAt: sentAt}) })
}

func (n *simNode) ask(a AskWorker) {
	w := n.w
	e := WorkerAnswered{Worker: a.Target.ID, Fence: a.Question.Fence, SentAt: w.now, Outcome: AskUnknown}
	if !w.now.Before(a.NotAfter) {
		e.Outcome = AskNotSent
		n.reply(e)
		return
	}
	target := w.workerOf(a.Target.ID)
	if target == nil || target.silent {
		n.later(a.Question.Wait+700*time.Millisecond, func() { n.apply(e) })
		return
	}
	n.call(func() { target.hold(a.Question, &e) }, func() { n.apply(e) }, func() {
		n.apply(WorkerAnswered{Worker: a.Target.ID, Fence: a.Question.Fence, SentAt: e.SentAt, Outcome: AskUnknown})
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
	effect := func() { n.w.store.progress(a, &e) }
	lost := func() { n.apply(ProgressStored{Fence: a.Fence, Writes: a.Writes, Outcome: StoreFailed}) }
	n.storeCall(effect, func() { n.apply(e) }, lost)
}

// advise allows the workers whose machine has an even number.
func (n *simNode) advise(a AskAdvice) {
	w := n.w
	e := Advised{Step: a.Step, Workers: a.Workers, Fence: a.Fence, SentAt: w.now, OK: true, Tickets: make(map[string]string), Validity: 2 * time.Second}
	for _, id := range a.Workers {
		if w.advisable(id) {
			e.Tickets[id] = a.Step + "@" + id
			w.tickets[a.Step+"@"+id] = w.now.Add(2*time.Second + 50*time.Millisecond)
		}
	}
	n.later(20*time.Millisecond, func() { n.apply(e) })
}

func (w *world) advisable(id string) bool {
	var machineNumber, sequence int
	_, err := fmt.Sscanf(id, "i-m-%d-%d", &machineNumber, &sequence)
	return err == nil && machineNumber%2 == 0
}
