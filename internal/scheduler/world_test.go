package scheduler

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
	"github.com/crocusjunction/crocusjunction/internal/link/lease"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/machine/upkeep"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// world runs several schedulers against one store, workers and a machines
// service in virtual time, with seeded delays and faults. It checks the rules
// that must hold at every moment.
type world struct {
	t        *testing.T
	random   *rand.Rand
	now      time.Time
	timeline timeline
	sequence int

	nodes    []*simNode
	store    *simStore
	workers  map[string]*simWorker
	machines map[string]*simMachine
	jobs     map[job.ID]job.Spec
	terms    map[job.ID]job.Terms
	cancels  map[job.ID]time.Time
	finished map[string]bool
	failed   map[string]int
	// acknowledged are done tasks whose end was taken note of.
	acknowledged map[string]bool
	trace        []string
	away         map[string]absence
	tickets      map[string]time.Time
	advised      bool
	// lossy is the share of calls whose answer is lost, late of those that are
	// carried out after seconds.
	lossy, late float64
	caps        machine.Resources
}

type timed struct {
	at       time.Time
	sequence int
	run      func()
}

type timeline []timed

func (l timeline) Len() int { return len(l) }
func (l timeline) Less(i, j int) bool {
	return l[i].at.Before(l[j].at) || l[i].at.Equal(l[j].at) && l[i].sequence < l[j].sequence
}
func (l timeline) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *timeline) Push(x any)   { *l = append(*l, x.(timed)) }
func (l *timeline) Pop() any {
	old := *l
	last := old[len(old)-1]
	*l = old[:len(old)-1]
	return last
}

func newWorld(t *testing.T, seed uint64, nodes int) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.UnixMilli(1_700_000_000_000),
		workers: make(map[string]*simWorker), machines: make(map[string]*simMachine),
		jobs: make(map[job.ID]job.Spec), terms: make(map[job.ID]job.Terms), cancels: make(map[job.ID]time.Time),
		finished: make(map[string]bool), failed: make(map[string]int), acknowledged: make(map[string]bool), away: make(map[string]absence), tickets: make(map[string]time.Time),
		caps: machine.Resources{MilliCores: 24000},
	}
	w.store = newSimStore(w)
	for i := range nodes {
		w.addNode(fmt.Sprintf("node-%d", i))
	}
	w.store.put("config", w.config(1), 0)
	return w
}

func (w *world) config(version int64) *policy.Configuration {
	return policy.New(version,
		[]policy.Queue{{Name: "q", Service: "s", Attempts: 3, Stretch: 1.6, Objective: 600 * time.Millisecond, Advised: w.advised}},
		[]policy.Team{{Name: "team", Keys: []string{"k"}, Cap: w.caps}},
		[]policy.Service{{Name: "s", Guarded: true}, {Name: "spare", Spare: true}}, policy.RequestLimits{})
}

func (w *world) after(d time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.timeline, timed{w.now.Add(d), w.sequence, run})
}

// latency is the time of one way between two machines.
func (w *world) latency() time.Duration {
	return time.Duration(500+w.random.IntN(1500)) * time.Microsecond
}

func (w *world) runFor(d time.Duration) {
	end := w.now.Add(d)
	for len(w.timeline) > 0 && !w.timeline[0].at.After(end) {
		next := heap.Pop(&w.timeline).(timed)
		w.now = next.at
		next.run()
	}
	w.now = end
}

func (w *world) log(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%9.3f ", w.now.Sub(time.UnixMilli(1_700_000_000_000)).Seconds())+fmt.Sprintf(format, args...))
}

func (w *world) fail(format string, args ...any) {
	w.t.Helper()
	tail := w.trace[max(0, len(w.trace)-60):]
	w.t.Fatalf("%s\n%s", fmt.Sprintf(format, args...), strings.Join(tail, "\n"))
}

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
}

func (w *world) addNode(name string) {
	n := &simNode{w: w, name: name}
	w.nodes = append(w.nodes, n)
	n.boot()
}

func (n *simNode) boot() {
	n.life++
	n.down, n.seen, n.syncing = false, 0, false
	n.state = New(Terms{
		Self: n.name, Hold: 5600 * time.Millisecond, LongestHold: 6 * time.Second,
		StatusKept: time.Minute, DutyTurn: 3 * time.Second,
	})
	n.later(n.w.latency(), n.poll)
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
	n.w.after(downtime, func() { n.frozen = false; n.boot() })
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
		n.later(2*w.latency(), func() { n.apply(MachinesListed{OK: true, Machines: w.listMachines(), SentAt: w.now}) })
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
	case PaceRun, RemoveJobs, ForgetWorker:
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

// simStore is a store in virtual time.
type simStore struct {
	w        *world
	revision int64
	items    map[string]simItem
	leases   map[int64]time.Time
	nextID   int64
	down     bool
}

type simItem struct {
	value    any
	revision int64
	lease    int64
	removed  bool
}

func newSimStore(w *world) *simStore {
	return &simStore{w: w, revision: 1, items: make(map[string]simItem), leases: make(map[int64]time.Time)}
}

func (s *simStore) put(key string, value any, lease int64) int64 {
	s.revision++
	s.items[key] = simItem{value: value, revision: s.revision, lease: lease}
	return s.revision
}

func (s *simStore) remove(key string) {
	s.revision++
	s.items[key] = simItem{revision: s.revision, removed: true}
}

func (s *simStore) present(key string) (simItem, bool) {
	s.expire()
	item, ok := s.items[key]
	return item, ok && !item.removed
}

func (s *simStore) expire() {
	for id, until := range s.leases {
		if s.w.now.After(until) {
			s.endLease(id)
		}
	}
}

func (s *simStore) endLease(id int64) {
	delete(s.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if item := s.items[key]; item.lease == id && !item.removed {
			s.remove(key)
		}
	}
}

func (s *simStore) claim(n *simNode, a SeekLease, sentAt time.Time) Event {
	if _, taken := s.present("leader"); taken {
		return LeaseRefused{"taken"}
	}
	if epoch, ok := s.present("epoch"); ok && epoch.revision != a.EpochRevision {
		return LeaseRefused{"epoch"}
	}
	s.nextID++
	ttl := lease.TTL
	s.leases[s.nextID] = s.w.now.Add(ttl)
	s.put("epoch", EpochRead{Epoch: a.Epoch + 1}, 0)
	fence := s.put("leader", LeaderRead{Holder: n.name}, s.nextID)
	return LeaseGranted{Fence: fence, Lease: s.nextID, Epoch: a.Epoch, SentAt: sentAt, TTL: ttl}
}

func (s *simStore) keep(id int64) RenewOutcome {
	s.expire()
	if _, ok := s.leases[id]; !ok {
		return RenewEnded
	}
	s.leases[id] = s.w.now.Add(lease.TTL)
	return Renewed
}

// write performs a write that only the scheduler may do.
func (s *simStore) write(fence int64, puts map[string]any, expected map[string]int64) bool {
	if leader, ok := s.present("leader"); !ok || leader.revision != fence {
		return false
	}
	for key, revision := range expected {
		if item, ok := s.present(key); ok && item.revision != revision || !ok && revision != 0 {
			return false
		}
	}
	s.revision++
	for key, value := range puts {
		s.items[key] = simItem{value: value, revision: s.revision}
	}
	return true
}

func (s *simStore) progress(a StoreProgress, e *ProgressStored) {
	puts, expected := make(map[string]any), make(map[string]int64)
	for _, p := range a.Writes {
		puts["s/"+string(p.Job)], expected["s/"+string(p.Job)] = p.Progress, p.Expected
	}
	if s.write(a.Fence, puts, expected) {
		e.Outcome, e.Revision = StoreDone, s.revision
		for _, p := range a.Writes {
			s.w.checkShown(p)
		}
		return
	}
	if leader, ok := s.present("leader"); !ok || leader.revision != a.Fence {
		e.Outcome = StoreNotLeader
		return
	}
	e.Found = make(map[job.ID]int64)
	for _, p := range a.Writes {
		if item, ok := s.present("s/" + string(p.Job)); ok {
			e.Found[p.Job] = item.revision
		}
	}
}

// changes returns the changes of a part after a revision.
func (s *simStore) changes(part Part, after int64) []Change {
	s.expire()
	if s.revision == after {
		return nil
	}
	keys := make([]string, 0, len(s.items))
	for key, item := range s.items {
		if item.revision > after {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b string) int {
		if d := s.items[a].revision - s.items[b].revision; d != 0 {
			return int(d)
		}
		return strings.Compare(a, b)
	})
	var changes []Change
	for _, key := range keys {
		if of, c := s.decode(key, s.items[key]); of == part && c != nil {
			changes = append(changes, c)
		}
	}
	return changes
}

func (s *simStore) decode(key string, item simItem) (Part, Change) {
	switch value := item.value.(type) {
	case *policy.Configuration:
		return Operator, ConfigChanged{value}
	case upkeep.Order:
		return Operator, WaveOrdered{value}
	case CentreChanged:
		return Operator, value
	case LeaderRead:
		value.Fence = item.revision
		return Jobs, value
	case LeftRead:
		return Jobs, value
	case EpochRead:
		value.Revision = item.revision
		return Jobs, value
	case WaveProgressRead:
		return Jobs, value
	case []RosterMember:
		return Jobs, RosterRead{value, item.revision}
	case jobValue:
		return Jobs, JobAccepted{job.New(value.id, value.terms, value.spec, value.at, item.revision)}
	case job.Progress:
		return Jobs, ProgressRead{job.ID(strings.TrimPrefix(key, "s/")), value, item.revision}
	case cancelValue:
		return Jobs, CancelRead{value.id}
	case worker.Description:
		return Workers, WorkerListed{value}
	}
	if key == "leader" {
		return Jobs, LeaderRead{}
	}
	if id, ok := strings.CutPrefix(key, "worker/"); ok {
		return Workers, WorkerDelisted{id}
	}
	return Jobs, nil
}

type jobValue struct {
	id    job.ID
	terms job.Terms
	spec  job.Spec
	at    int64
}

type cancelValue struct{ id job.ID }

// submit stores a job as a node does that accepts it.
func (w *world) submit(number int, spec job.Spec) job.ID {
	id := job.ID(fmt.Sprintf("%016x", number))
	terms := job.Terms{Queue: "q", Service: "s", Team: "team", Attempts: 3, Stretch: 1.6, Objective: 600 * time.Millisecond}
	w.jobs[id], w.terms[id] = spec, terms
	w.store.put("j/"+string(id), jobValue{id, terms, spec, w.now.UnixMilli()}, 0)
	return id
}

func (w *world) cancel(id job.ID) {
	w.cancels[id] = w.now
	w.store.put("x/"+string(id), cancelValue{id}, 0)
}

func (w *world) state(id job.ID) job.State {
	item, ok := w.store.present("s/" + string(id))
	if !ok {
		return job.Queued
	}
	return item.value.(job.Progress).State
}
