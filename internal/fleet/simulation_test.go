package fleet_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/invariant"
	"github.com/crocusjunction/crocusjunction/internal/link"
)

// Times of simulated messages, calls and starts of work.
const (
	minLatency   = time.Millisecond
	latencySpan  = 5 * time.Millisecond
	probeTimeout = 900 * time.Millisecond
	watchTimeout = 700 * time.Millisecond
	// silentCallTimeout is when a call to a platform that does not answer fails.
	silentCallTimeout = watchTimeout + time.Second
	startPeriod       = 97 * time.Millisecond
)

// span is the time in which a fault is active.
type span struct{ from, to time.Time }

func (s span) active(at time.Time) bool { return !at.Before(s.from) && at.Before(s.to) }

// cut drops the messages from one data centre to another.
type cut struct {
	span
	from, to string
}

// outage makes the platform unreachable from a data centre, or from all when
// dataCentre is empty. In a silent outage calls time out, otherwise they are
// refused.
type outage struct {
	span
	dataCentre string
	silent     bool
}

// simulation simulates the fleets of several processes and one platform in
// virtual time. Messages have a random latency and can be lost, duplicated or
// late.
type simulation struct {
	random      *rand.Rand
	now         time.Time
	queue       stepQueue
	sequence    int
	processes   []*process
	dataCentres map[string]string

	cuts          []cut
	outages       []outage
	lossRate      float64
	duplicateRate float64

	// register, head, version, stored and watches are the state of the platform:
	// the committed configuration, its head with its version, the flushed
	// objects and the answers to pending watches.
	register *contract.Register
	head     contract.Head
	version  uint64
	stored   map[contract.Ref]contract.Object
	watches  []func()

	// configEvents, keyEvents and dataCentreEvents are the inputs of the checkers.
	configEvents     []invariant.ConfigEvent
	keyEvents        []invariant.KeyEvent
	dataCentreEvents []invariant.DataCentreEvent
	// writerDataCentres maps each revision to its writer's data centre.
	writerDataCentres map[uint64]string
	outcomes          []contract.ChangeResult
	started           int
}

// process is one simulated entry instance.
type process struct {
	sim      *simulation
	member   link.Member
	fleet    *fleet.Fleet
	snapshot *fleet.Snapshot
	pauses   []span
	tickAt   time.Time
	revision uint64
	objects  map[contract.Ref]uint64
	running  bool
}

// stepQueue is a heap of steps, ordered by time and then by creation.
type stepQueue []step

type step struct {
	at       time.Time
	sequence int
	run      func()
}

func (q stepQueue) Len() int { return len(q) }
func (q stepQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}
func (q stepQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *stepQueue) Push(x any)   { *q = append(*q, x.(step)) }
func (q *stepQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

var simulationStart = time.Unix(1_000_000, 0)

func newSimulation(seed uint64, dataCentres, perDataCentre int) *simulation {
	sim := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), now: simulationStart, dataCentres: make(map[string]string),
		register: contract.NewRegister(), stored: make(map[contract.Ref]contract.Object), writerDataCentres: make(map[uint64]string),
	}
	for i := range dataCentres {
		sim.dataCentres[dataCentreName(i)] = "west"
	}
	for i := range dataCentres {
		for j := range perDataCentre {
			sim.addProcess(fmt.Sprintf("entry-%d-%d", i, j), dataCentreName(i), nil)
		}
	}
	return sim
}

func dataCentreName(i int) string { return fmt.Sprintf("dc-%d", i) }

func (sim *simulation) addProcess(id, dataCentre string, seeds []link.Member) *process {
	p := &process{sim: sim, objects: make(map[contract.Ref]uint64), member: link.Member{ID: id, Incarnation: 1, DataCentre: dataCentre, Address: id}}
	p.fleet = fleet.New(fleet.Options{Self: p.member, DataCentres: sim.dataCentres, Seeds: seeds})
	p.snapshot = p.fleet.TakeSnapshot()
	sim.processes = append(sim.processes, p)
	return p
}

// after adds a step that runs after d.
func (sim *simulation) after(d time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.queue, step{at: sim.now.Add(d), sequence: sim.sequence, run: run})
}

// run advances the virtual time by d and runs the steps that are due.
func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.queue) > 0 && !sim.queue[0].at.After(end) {
		next := heap.Pop(&sim.queue).(step)
		sim.now = next.at
		next.run()
	}
	sim.now = end
}

func (sim *simulation) latency() time.Duration {
	return minLatency + time.Duration(sim.random.Int64N(int64(latencySpan)))
}

// start starts all processes.
func (sim *simulation) start() {
	for _, p := range sim.processes {
		p.start()
	}
}

func (p *process) start() {
	if p.running {
		return
	}
	p.running = true
	p.perform(p.fleet.Start(p.sim.now))
	p.publish()
	p.sim.after(startPeriod, p.startWorkPeriodically)
}

// pause suspends the process for a time. When it resumes, it tries to start work
// before it handles the messages that arrived during the pause.
func (p *process) pause(s span) {
	p.pauses = append(p.pauses, s)
	p.sim.after(s.to.Sub(p.sim.now), p.startWork)
}

// resumeIn returns the time until a paused process resumes, 0 when it runs.
func (p *process) resumeIn() time.Duration {
	for _, s := range p.pauses {
		if s.active(p.sim.now) {
			return s.to.Sub(p.sim.now)
		}
	}
	return 0
}

// schedule adds a step of the process after d. While the process is paused, the
// step waits until it resumes.
func (p *process) schedule(d time.Duration, run func()) {
	p.sim.after(d, func() {
		if wait := p.resumeIn(); wait > 0 {
			p.schedule(wait, run)
			return
		}
		run()
	})
}

func (p *process) apply(e fleet.Event) {
	p.perform(e.Apply(p.fleet, p.sim.now))
	p.publish()
}

// publish publishes the snapshot, records the revision and sets the timer, as the
// control thread does after each event.
func (p *process) publish() {
	if s := p.fleet.TakeSnapshot(); s != nil {
		p.snapshot = s
	}
	p.recordObjects()
	if p.snapshot.Revision != p.revision {
		p.revision = p.snapshot.Revision
		p.sim.configEvents = append(p.sim.configEvents, invariant.ConfigEvent{At: p.sim.now, Kind: invariant.ConfigApplied, Process: p.member.ID, Revision: p.revision})
	}
	at := p.fleet.NextTick()
	if at.IsZero() || at.Equal(p.tickAt) {
		return
	}
	p.tickAt = at
	p.schedule(max(at.Sub(p.sim.now), 0), func() {
		if p.tickAt.Equal(at) {
			p.tickAt = time.Time{}
			p.perform(p.fleet.Tick(p.sim.now))
			p.publish()
		}
	})
}

// recordObjects records the objects whose revision changed.
func (p *process) recordObjects() {
	for _, kind := range []contract.Kind{contract.KindTeam, contract.KindDocument, contract.KindKey, contract.KindDataCentre} {
		for _, o := range p.snapshot.Objects(kind) {
			if p.objects[o.Ref] == o.Revision {
				continue
			}
			p.objects[o.Ref] = o.Revision
			p.sim.configEvents = append(p.sim.configEvents, invariant.ConfigEvent{
				At: p.sim.now, Kind: invariant.ConfigObject, Process: p.member.ID, Object: o.Ref.String(), Revision: o.Revision,
			})
		}
	}
}

func (p *process) perform(actions []fleet.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case fleet.LoadConfig:
			p.schedule(a.Delay, p.loadConfig)
		case fleet.WatchHead:
			p.schedule(a.Delay, func() { p.watchHead(a.After) })
		case fleet.RenewMemberRecord:
			p.callPlatform(func() { p.schedule(p.sim.latency(), func() { p.apply(fleet.MemberRecordRenewed{Lease: 1}) }) },
				func() { p.apply(fleet.MemberRecordRenewed{}) })
		case fleet.ListMembers:
			p.callPlatform(p.listMembers, func() { p.apply(fleet.MembersFailed{}) })
		case fleet.SendProbe:
			p.sendProbe(a)
		case fleet.SendRelay:
			p.sendRelay(a.To, a.Relay, nil)
		case fleet.FetchChanges:
			p.fetchChanges(a)
		}
	}
}

// callPlatform simulates a call to the platform. It runs served at the platform
// when that is reachable, otherwise failed at the process.
func (p *process) callPlatform(served, failed func()) {
	sim := p.sim
	sim.after(sim.latency(), func() {
		for _, o := range sim.outages {
			if o.active(sim.now) && (o.dataCentre == "" || o.dataCentre == p.member.DataCentre) {
				wait := sim.latency()
				if o.silent {
					wait = silentCallTimeout
				}
				p.schedule(wait, failed)
				return
			}
		}
		served()
	})
}

func (sim *simulation) objects() []contract.Object {
	list := make([]contract.Object, 0, len(sim.stored))
	for _, o := range sim.stored {
		list = append(list, o)
	}
	return list
}

func (p *process) configFailed() { p.apply(fleet.ConfigFailed{}) }

func (p *process) loadConfig() {
	sim := p.sim
	p.callPlatform(func() {
		before := sim.head
		p.schedule(sim.latency(), func() {
			p.callPlatform(func() {
				objects := sim.objects()
				p.schedule(sim.latency(), func() {
					sent := sim.now
					p.callPlatform(func() {
						loaded := fleet.ConfigLoaded{Before: before, After: sim.head, Objects: objects, Version: sim.version, SentAt: sent}
						p.schedule(sim.latency(), func() { p.apply(loaded) })
					}, p.configFailed)
				})
			}, p.configFailed)
		})
	}, p.configFailed)
}

func (p *process) watchHead(after uint64) {
	sim := p.sim
	sent := sim.now
	p.callPlatform(func() {
		done := false
		answer := func() {
			if done {
				return
			}
			done = true
			seen := fleet.HeadSeen{Changed: sim.version != after, Head: sim.head, Version: sim.version, SentAt: sent}
			p.schedule(sim.latency(), func() { p.apply(seen) })
		}
		if sim.version != after {
			answer()
			return
		}
		sim.watches = append(sim.watches, answer)
		sim.after(watchTimeout, answer)
	}, p.configFailed)
}

func (p *process) listMembers() {
	var listed fleet.MembersListed
	for _, other := range p.sim.processes {
		if other.running {
			listed.Members = append(listed.Members, other.member)
		}
	}
	p.schedule(p.sim.latency(), func() { p.apply(listed) })
}

func (sim *simulation) runningProcess(id string) *process {
	for _, p := range sim.processes {
		if p.member.ID == id && p.running {
			return p
		}
	}
	return nil
}

// delivers reports whether a message that is sent now arrives.
func (sim *simulation) delivers(from, to *process) bool {
	for _, c := range sim.cuts {
		if c.active(sim.now) && c.from == from.member.DataCentre && c.to == to.member.DataCentre {
			return false
		}
	}
	return sim.random.Float64() >= sim.lossRate
}

// exchange sends a request to a peer and delivers its answer, which can arrive
// twice. It runs failed when no answer arrives within the timeout.
func (p *process) exchange(to link.Member, timeout time.Duration, request func(q *process, answer func(deliver func())), failed func()) {
	sim := p.sim
	ended := false
	p.schedule(timeout, func() {
		if !ended {
			ended = true
			failed()
		}
	})
	q := sim.runningProcess(to.ID)
	if q == nil || !sim.delivers(p, q) {
		return
	}
	answer := func(deliver func()) {
		if !sim.delivers(q, p) {
			return
		}
		p.schedule(sim.latency(), func() {
			if !ended {
				ended = true
				deliver()
				if sim.random.Float64() < sim.duplicateRate {
					p.schedule(time.Duration(sim.random.Int64N(int64(5*time.Second))), deliver)
				}
			}
		})
	}
	q.schedule(sim.latency(), func() { request(q, answer) })
}

func (p *process) sendProbe(a fleet.SendProbe) {
	sent := p.sim.now
	p.exchange(a.To, probeTimeout, func(q *process, answer func(func())) {
		reply := make(chan fleet.ProbeReply, 1)
		q.apply(fleet.ProbeReceived{From: p.member, Probe: a.Probe, Reply: reply})
		answered := fleet.ProbeAnswered{To: a.To, From: q.member, SentAt: sent, Reply: <-reply}
		answer(func() { p.apply(answered) })
	}, func() { p.apply(fleet.PeerFailed{To: a.To}) })
}

// sendRelay sends changes to a peer, which forwards them when the relay asks
// for it.
func (p *process) sendRelay(to link.Member, relay fleet.Relay, confirmed func()) {
	sent := p.sim.now
	p.exchange(to, 2*time.Second, func(q *process, answer func(func())) {
		reply := make(chan fleet.RelayPlan, 1)
		q.apply(fleet.RelayReceived{From: p.member, Relay: relay, Reply: reply})
		plan := <-reply
		for _, m := range plan.Forward {
			forwarded := relay
			forwarded.Forward = false
			q.sendRelay(m, forwarded, nil)
		}
		answered := fleet.RelayAnswered{To: to, SentAt: sent, Reply: fleet.RelayReply{Revision: plan.Revision}}
		answer(func() {
			p.apply(answered)
			if confirmed != nil {
				confirmed()
			}
		})
	}, func() { p.apply(fleet.PeerFailed{To: to}) })
}

func (p *process) fetchChanges(a fleet.FetchChanges) {
	p.exchange(a.From, 2*time.Second, func(q *process, answer func(func())) {
		reply := make(chan fleet.ChangesReply, 1)
		q.apply(fleet.ChangesRequested{Request: fleet.ChangesRequest{After: a.After}, Reply: reply})
		got := <-reply
		answer(func() { p.apply(fleet.ChangesFetched{From: a.From, Revision: got.Revision, Objects: got.Objects}) })
	}, func() { p.apply(fleet.FetchFailed{From: a.From}) })
}

// changeObject changes an object through a process. When the answer of the
// platform is lost, the process does not propagate the change.
func (p *process) changeObject(o contract.Object, lostAnswer bool) {
	sim := p.sim
	if !p.running || p.resumeIn() > 0 {
		return
	}
	p.callPlatform(func() {
		head, version := sim.head, sim.version
		base := uint64(0)
		for _, known := range sim.register.Objects() {
			if known.Ref == o.Ref {
				base = known.Revision
			}
		}
		change := contract.Change{ID: fmt.Sprintf("change-%d", sim.random.Uint64()), Author: p.member.ID, Base: base, Object: o}
		p.schedule(sim.latency(), func() {
			p.callPlatform(func() { sim.commitChange(p, head, version, change, lostAnswer) }, func() {})
		})
	}, func() {})
}

// commitChange swaps the head if it has not changed since it was read and the
// change is valid.
func (sim *simulation) commitChange(p *process, head contract.Head, version uint64, change contract.Change, lostAnswer bool) {
	if result, _ := sim.register.Validate(change); result != contract.ChangeAccepted || version != sim.version {
		sim.outcomes = append(sim.outcomes, contract.ChangeConflict)
		return
	}
	sim.outcomes = append(sim.outcomes, contract.ChangeAccepted)
	if len(head.Changes) == contract.RingSize {
		oldest := head.Changes[0].Object
		sim.stored[oldest.Ref] = oldest
		head.Flushed = oldest.Revision
	}
	sim.head = head.Append(change)
	sim.version++
	sim.register.ApplyHead(sim.head)
	sim.recordCommit(p, change)
	watching := sim.watches
	sim.watches = nil
	for _, answer := range watching {
		answer()
	}
	if lostAnswer {
		return
	}
	committed := sim.head
	p.schedule(sim.latency(), func() { p.propagate(committed) })
}

func (p *process) propagate(head contract.Head) {
	reply := make(chan fleet.PropagationPlan, 1)
	p.apply(fleet.HeadCommitted{Head: head, Reply: reply})
	plan := <-reply
	for _, dataCentre := range plan.DataCentres {
		for i, m := range dataCentre.Members {
			if dataCentre.Own || i == 0 {
				relay := plan.Relay
				relay.Forward = !dataCentre.Own
				p.sendRelay(m, relay, nil)
			}
		}
	}
}

// recordCommit records a committed change for the checkers.
func (sim *simulation) recordCommit(p *process, c contract.Change) {
	sim.writerDataCentres[sim.head.Revision] = p.member.DataCentre
	sim.configEvents = append(sim.configEvents, invariant.ConfigEvent{
		At: sim.now, Kind: invariant.ConfigAccepted, Revision: sim.head.Revision, Change: c.ID, BindingFrom: sim.now,
	})
	switch {
	case c.Object.Ref.Kind == contract.KindKey && c.Object.Deleted:
		sim.keyEvents = append(sim.keyEvents, invariant.KeyEvent{At: sim.now, Kind: invariant.KeyWithdrawn, Key: c.Object.Ref.Name})
	case c.Object.Ref.Kind == contract.KindKey:
		sim.keyEvents = append(sim.keyEvents, invariant.KeyEvent{At: sim.now, Kind: invariant.KeyGranted, Key: c.Object.Ref.Name, Team: c.Object.Key.Team})
	case c.Object.Ref.Kind == contract.KindDataCentre:
		kind := invariant.DataCentreBack
		if c.Object.DataCentre.Out {
			kind = invariant.DataCentreOut
		}
		sim.dataCentreEvents = append(sim.dataCentreEvents, invariant.DataCentreEvent{At: sim.now, Kind: kind, DataCentre: c.Object.Ref.Name})
	}
}

// startWorkPeriodically tries to start work every startPeriod.
func (p *process) startWorkPeriodically() {
	p.sim.after(startPeriod, p.startWorkPeriodically)
	if p.resumeIn() == 0 {
		p.startWork()
	}
}

// startWork tries to start work once in every data centre and records the result
// for every key in force.
func (p *process) startWork() {
	sim := p.sim
	document := p.snapshot.Document("bookings")
	if document == nil {
		return
	}
	for i := range len(sim.dataCentres) {
		dataCentre := dataCentreName(i)
		refusal := p.snapshot.CheckStart(document, true, dataCentre, sim.now)
		if refusal != nil {
			if refusal.Code == fleet.CodeDataCentreOut {
				sim.dataCentreEvents = append(sim.dataCentreEvents, invariant.DataCentreEvent{At: sim.now, Kind: invariant.DataCentreRefused, DataCentre: dataCentre, Process: p.member.ID})
			}
			continue
		}
		sim.started++
		sim.configEvents = append(sim.configEvents, invariant.ConfigEvent{At: sim.now, Kind: invariant.ConfigStarted, Process: p.member.ID, Revision: p.snapshot.Revision})
		sim.dataCentreEvents = append(sim.dataCentreEvents, invariant.DataCentreEvent{At: sim.now, Kind: invariant.DataCentreStarted, DataCentre: dataCentre, Process: p.member.ID})
		for _, o := range p.snapshot.Objects(contract.KindKey) {
			sim.keyEvents = append(sim.keyEvents, invariant.KeyEvent{At: sim.now, Kind: invariant.KeyStarted, Key: o.Key.ID, Team: o.Key.Team, Process: p.member.ID})
		}
	}
}

// setBindingTimes sets the times from which the checkers require changes to be
// in force. Without an outage a change is binding from its commit. In an outage
// the evidence of freshness comes from peers, so a change is binding once the
// last instance of the writer's data centre has applied it; before that, the
// answer to the operator names no time.
func (sim *simulation) setBindingTimes() {
	if len(sim.outages) == 0 {
		return
	}
	never := sim.now.Add(time.Hour)
	for i := range sim.configEvents {
		e := &sim.configEvents[i]
		if e.Kind != invariant.ConfigAccepted {
			continue
		}
		binding := sim.confirmedAt(sim.writerDataCentres[e.Revision], e.Revision, never)
		sim.moveCommitEvents(e.At, binding)
		e.BindingFrom = binding
	}
}

// confirmedAt returns when the last instance of a data centre applied a revision,
// or fallback when one of them has not applied it.
func (sim *simulation) confirmedAt(dataCentre string, revision uint64, fallback time.Time) time.Time {
	var latest time.Time
	for _, p := range sim.processes {
		if p.member.DataCentre != dataCentre || !p.running {
			continue
		}
		at := fallback
		for _, e := range sim.configEvents {
			if e.Kind == invariant.ConfigApplied && e.Process == p.member.ID && e.Revision >= revision {
				at = e.At
				break
			}
		}
		if at.After(latest) {
			latest = at
		}
	}
	return latest
}

// moveCommitEvents moves the withdrawal or data centre order of a commit to its
// binding time.
func (sim *simulation) moveCommitEvents(from, to time.Time) {
	for i := range sim.keyEvents {
		if sim.keyEvents[i].At.Equal(from) && sim.keyEvents[i].Kind == invariant.KeyWithdrawn {
			sim.keyEvents[i].At = to
		}
	}
	for i := range sim.dataCentreEvents {
		kind := sim.dataCentreEvents[i].Kind
		if sim.dataCentreEvents[i].At.Equal(from) && (kind == invariant.DataCentreOut || kind == invariant.DataCentreBack) {
			sim.dataCentreEvents[i].At = to
		}
	}
}
