package fleet_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/link"
	"github.com/crocusjunction/crocusjunction/internal/proof"
)

// Times of simulated messages, calls and starts of work.
const (
	minLatency   = time.Millisecond
	latencySpan  = 5 * time.Millisecond
	probeTimeout = 900 * time.Millisecond
	watchWait    = 700 * time.Millisecond
	// hangTimeout is when a call to a platform that does not answer fails.
	hangTimeout = watchWait + time.Second
	startPeriod = 97 * time.Millisecond
)

// span is the time in which a fault is active.
type span struct{ from, to time.Time }

func (s span) holds(at time.Time) bool { return !at.Before(s.from) && at.Before(s.to) }

// cut drops the messages from one data centre to another.
type cut struct {
	span
	from, to string
}

// outage makes the platform unreachable from a data centre, or from all when
// centre is empty. In a silent outage calls time out, otherwise they are refused.
type outage struct {
	span
	centre string
	silent bool
}

// world simulates the fleets of several processes and one platform in virtual
// time. Messages have a random latency and can be lost, duplicated or late.
type world struct {
	random   *rand.Rand
	now      time.Time
	queue    timeline
	sequence int
	procs    []*process
	centres  map[string]string

	cuts       []cut
	outages    []outage
	loseShare  float64
	twiceShare float64

	truth    *contract.Register
	head     contract.Head
	version  uint64
	stored   map[contract.Ref]contract.Object
	watching []func()

	config   []proof.ConfigEvent
	keys     []proof.KeyEvent
	orders   []proof.CentreEvent
	writers  map[uint64]string
	outcomes []contract.ChangeResult
	started  int
}

// process is one simulated entry instance.
type process struct {
	w        *world
	member   link.Member
	fleet    *fleet.Fleet
	view     *fleet.Snapshot
	pauses   []span
	wakeAt   time.Time
	revision uint64
	objects  map[contract.Ref]uint64
	running  bool
}

// timeline is a heap of steps, ordered by time and then by creation.
type timeline []step

type step struct {
	at       time.Time
	sequence int
	run      func()
}

func (q timeline) Len() int { return len(q) }
func (q timeline) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}
func (q timeline) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timeline) Push(x any)   { *q = append(*q, x.(step)) }
func (q *timeline) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

var worldStart = time.Unix(1_000_000, 0)

func newWorld(seed uint64, centres, perCentre int) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), now: worldStart, centres: make(map[string]string),
		truth: contract.NewRegister(), stored: make(map[contract.Ref]contract.Object), writers: make(map[uint64]string),
	}
	for i := range centres {
		w.centres[centreName(i)] = "west"
	}
	for i := range centres {
		for j := range perCentre {
			w.addProcess(fmt.Sprintf("entry-%d-%d", i, j), centreName(i), nil)
		}
	}
	return w
}

func centreName(i int) string { return fmt.Sprintf("dc-%d", i) }

func (w *world) addProcess(id, centre string, seeds []link.Member) *process {
	p := &process{w: w, objects: make(map[contract.Ref]uint64), member: link.Member{ID: id, Incarnation: 1, DataCentre: centre, Address: id}}
	p.fleet = fleet.New(fleet.Options{Self: p.member, DataCentres: w.centres, Seeds: seeds})
	p.view = p.fleet.TakeSnapshot()
	w.procs = append(w.procs, p)
	return p
}

// after schedules a step.
func (w *world) after(d time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.queue, step{at: w.now.Add(d), sequence: w.sequence, run: run})
}

// run advances the virtual time by d and runs the steps that are due.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(step)
		w.now = next.at
		next.run()
	}
	w.now = end
}

func (w *world) latency() time.Duration {
	return minLatency + time.Duration(w.random.Int64N(int64(latencySpan)))
}

// start starts all processes.
func (w *world) start() {
	for _, p := range w.procs {
		p.start()
	}
}

func (p *process) start() {
	if p.running {
		return
	}
	p.running = true
	p.perform(p.fleet.Start(p.w.now))
	p.settle()
	p.w.after(startPeriod, p.tryStarts)
}

// pause suspends the process for a time. When it resumes, it tries to start work
// before it handles the messages that arrived during the pause.
func (p *process) pause(s span) {
	p.pauses = append(p.pauses, s)
	p.w.after(s.to.Sub(p.w.now), p.tryOnce)
}

// resumeIn returns the time until a paused process resumes, 0 when it runs.
func (p *process) resumeIn() time.Duration {
	for _, s := range p.pauses {
		if s.holds(p.w.now) {
			return s.to.Sub(p.w.now)
		}
	}
	return 0
}

// on schedules a step of the process after d. While the process is paused, the
// step waits until it resumes.
func (p *process) on(d time.Duration, run func()) {
	p.w.after(d, func() {
		if wait := p.resumeIn(); wait > 0 {
			p.on(wait, run)
			return
		}
		run()
	})
}

func (p *process) apply(e fleet.Event) {
	p.perform(e.Apply(p.fleet, p.w.now))
	p.settle()
}

// settle publishes the snapshot, records the revision and sets the timer, as the
// control thread does after each event.
func (p *process) settle() {
	if s := p.fleet.TakeSnapshot(); s != nil {
		p.view = s
	}
	p.traceObjects()
	if p.view.Revision != p.revision {
		p.revision = p.view.Revision
		p.w.config = append(p.w.config, proof.ConfigEvent{At: p.w.now, Kind: proof.ConfigApplied, Process: p.member.ID, Revision: p.revision})
	}
	at := p.fleet.NextWake()
	if at.IsZero() || at.Equal(p.wakeAt) {
		return
	}
	p.wakeAt = at
	p.on(max(at.Sub(p.w.now), 0), func() {
		if p.wakeAt.Equal(at) {
			p.wakeAt = time.Time{}
			p.perform(p.fleet.Tick(p.w.now))
			p.settle()
		}
	})
}

// traceObjects records the objects whose revision changed.
func (p *process) traceObjects() {
	for _, kind := range []contract.Kind{contract.KindTeam, contract.KindDocument, contract.KindKey, contract.KindDataCentre} {
		for _, o := range p.view.Objects(kind) {
			if p.objects[o.Ref] == o.Revision {
				continue
			}
			p.objects[o.Ref] = o.Revision
			p.w.config = append(p.w.config, proof.ConfigEvent{
				At: p.w.now, Kind: proof.ConfigObject, Process: p.member.ID, Object: o.Ref.String(), Revision: o.Revision,
			})
		}
	}
}

func (p *process) perform(actions []fleet.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case fleet.LoadConfig:
			p.on(a.Delay, p.load)
		case fleet.WatchHead:
			p.on(a.Delay, func() { p.watch(a.After) })
		case fleet.HoldMember:
			p.platform(func() { p.on(p.w.latency(), func() { p.apply(fleet.MemberHeld{Lease: 1}) }) },
				func() { p.apply(fleet.MemberHeld{}) })
		case fleet.ListMembers:
			p.platform(p.listMembers, func() { p.apply(fleet.MembersFailed{}) })
		case fleet.SendProbe:
			p.probe(a)
		case fleet.SendRelay:
			p.relay(a.To, a.Relay, nil)
		case fleet.FetchChanges:
			p.fetch(a)
		}
	}
}

// platform simulates a call to the platform. It runs served at the platform when
// that is reachable, otherwise failed at the process.
func (p *process) platform(served, failed func()) {
	w := p.w
	w.after(w.latency(), func() {
		for _, o := range w.outages {
			if o.holds(w.now) && (o.centre == "" || o.centre == p.member.DataCentre) {
				wait := w.latency()
				if o.silent {
					wait = hangTimeout
				}
				p.on(wait, failed)
				return
			}
		}
		served()
	})
}

func (w *world) objects() []contract.Object {
	list := make([]contract.Object, 0, len(w.stored))
	for _, o := range w.stored {
		list = append(list, o)
	}
	return list
}

func (p *process) configFailed() { p.apply(fleet.ConfigFailed{}) }

func (p *process) load() {
	w := p.w
	p.platform(func() {
		before := w.head
		p.on(w.latency(), func() {
			p.platform(func() {
				objects := w.objects()
				p.on(w.latency(), func() {
					sent := w.now
					p.platform(func() {
						loaded := fleet.ConfigLoaded{Before: before, After: w.head, Objects: objects, Version: w.version, SentAt: sent}
						p.on(w.latency(), func() { p.apply(loaded) })
					}, p.configFailed)
				})
			}, p.configFailed)
		})
	}, p.configFailed)
}

func (p *process) watch(after uint64) {
	w := p.w
	sent := w.now
	p.platform(func() {
		done := false
		answer := func() {
			if done {
				return
			}
			done = true
			seen := fleet.HeadSeen{Changed: w.version != after, Head: w.head, Version: w.version, SentAt: sent}
			p.on(w.latency(), func() { p.apply(seen) })
		}
		if w.version != after {
			answer()
			return
		}
		w.watching = append(w.watching, answer)
		w.after(watchWait, answer)
	}, p.configFailed)
}

func (p *process) listMembers() {
	var listed fleet.MembersListed
	for _, other := range p.w.procs {
		if other.running {
			listed.Members = append(listed.Members, other.member)
		}
	}
	p.on(p.w.latency(), func() { p.apply(listed) })
}

func (w *world) find(id string) *process {
	for _, p := range w.procs {
		if p.member.ID == id && p.running {
			return p
		}
	}
	return nil
}

// carries reports whether a message that is sent now arrives.
func (w *world) carries(from, to *process) bool {
	for _, c := range w.cuts {
		if c.holds(w.now) && c.from == from.member.DataCentre && c.to == to.member.DataCentre {
			return false
		}
	}
	return w.random.Float64() >= w.loseShare
}

// exchange sends a request to a peer and delivers its answer, which can arrive
// twice. It runs failed when no answer arrives within the timeout.
func (p *process) exchange(to link.Member, timeout time.Duration, request func(q *process, answer func(deliver func())), failed func()) {
	w := p.w
	ended := false
	p.on(timeout, func() {
		if !ended {
			ended = true
			failed()
		}
	})
	q := w.find(to.ID)
	if q == nil || !w.carries(p, q) {
		return
	}
	answer := func(deliver func()) {
		if !w.carries(q, p) {
			return
		}
		p.on(w.latency(), func() {
			if !ended {
				ended = true
				deliver()
				if w.random.Float64() < w.twiceShare {
					p.on(time.Duration(w.random.Int64N(int64(5*time.Second))), deliver)
				}
			}
		})
	}
	q.on(w.latency(), func() { request(q, answer) })
}

func (p *process) probe(a fleet.SendProbe) {
	sent := p.w.now
	p.exchange(a.To, probeTimeout, func(q *process, answer func(func())) {
		reply := make(chan fleet.ProbeReply, 1)
		q.apply(fleet.ProbeReceived{From: p.member, Probe: a.Probe, Reply: reply})
		answered := fleet.ProbeAnswered{To: a.To, From: q.member, SentAt: sent, Reply: <-reply}
		answer(func() { p.apply(answered) })
	}, func() { p.apply(fleet.PeerFailed{To: a.To}) })
}

// relay sends changes to a peer, which forwards them when the relay asks for it.
func (p *process) relay(to link.Member, relay fleet.Relay, confirmed func()) {
	sent := p.w.now
	p.exchange(to, 2*time.Second, func(q *process, answer func(func())) {
		reply := make(chan fleet.RelayPlan, 1)
		q.apply(fleet.RelayReceived{From: p.member, Relay: relay, Reply: reply})
		plan := <-reply
		for _, m := range plan.Forward {
			forwarded := relay
			forwarded.Spread = false
			q.relay(m, forwarded, nil)
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

func (p *process) fetch(a fleet.FetchChanges) {
	p.exchange(a.From, 2*time.Second, func(q *process, answer func(func())) {
		reply := make(chan fleet.ChangesReply, 1)
		q.apply(fleet.ChangesRequested{Request: fleet.ChangesRequest{After: a.After}, Reply: reply})
		got := <-reply
		answer(func() { p.apply(fleet.ChangesFetched{From: a.From, Revision: got.Revision, Objects: got.Objects}) })
	}, func() { p.apply(fleet.FetchFailed{From: a.From}) })
}

// operator changes an object through a process. When the answer of the platform
// is lost, the process does not propagate the change.
func (p *process) operator(o contract.Object, lostAnswer bool) {
	w := p.w
	if !p.running || p.resumeIn() > 0 {
		return
	}
	p.platform(func() {
		head, version := w.head, w.version
		base := uint64(0)
		for _, known := range w.truth.Objects() {
			if known.Ref == o.Ref {
				base = known.Revision
			}
		}
		change := contract.Change{ID: fmt.Sprintf("change-%d", w.random.Uint64()), Author: p.member.ID, Base: base, Object: o}
		p.on(w.latency(), func() {
			p.platform(func() { w.commit(p, head, version, change, lostAnswer) }, func() {})
		})
	}, func() {})
}

// commit swaps the head if it has not changed since it was read and the change
// is valid.
func (w *world) commit(p *process, head contract.Head, version uint64, change contract.Change, lostAnswer bool) {
	if result, _ := w.truth.Validate(change); result != contract.ChangeAccepted || version != w.version {
		w.outcomes = append(w.outcomes, contract.ChangeConflict)
		return
	}
	w.outcomes = append(w.outcomes, contract.ChangeAccepted)
	if len(head.Changes) == contract.RingSize {
		oldest := head.Changes[0].Object
		w.stored[oldest.Ref] = oldest
		head.Flushed = oldest.Revision
	}
	w.head = head.Append(change)
	w.version++
	w.truth.ApplyHead(w.head)
	w.accepted(p, change)
	watching := w.watching
	w.watching = nil
	for _, answer := range watching {
		answer()
	}
	if lostAnswer {
		return
	}
	committed := w.head
	p.on(w.latency(), func() { p.spread(committed) })
}

func (p *process) spread(head contract.Head) {
	reply := make(chan fleet.SpreadPlan, 1)
	p.apply(fleet.HeadCommitted{Head: head, Reply: reply})
	plan := <-reply
	for _, centre := range plan.Centres {
		for i, m := range centre.Members {
			if centre.Own || i == 0 {
				relay := plan.Relay
				relay.Spread = !centre.Own
				p.relay(m, relay, nil)
			}
		}
	}
}

// accepted records a committed change for the checkers.
func (w *world) accepted(p *process, c contract.Change) {
	w.writers[w.head.Revision] = p.member.DataCentre
	w.config = append(w.config, proof.ConfigEvent{
		At: w.now, Kind: proof.ConfigAccepted, Revision: w.head.Revision, Change: c.ID, Binding: w.now,
	})
	switch {
	case c.Object.Ref.Kind == contract.KindKey && c.Object.Deleted:
		w.keys = append(w.keys, proof.KeyEvent{At: w.now, Kind: proof.KeyWithdrawn, Key: c.Object.Ref.Name})
	case c.Object.Ref.Kind == contract.KindKey:
		w.keys = append(w.keys, proof.KeyEvent{At: w.now, Kind: proof.KeyGranted, Key: c.Object.Ref.Name, Team: c.Object.Key.Team})
	case c.Object.Ref.Kind == contract.KindDataCentre:
		kind := proof.CentreBack
		if c.Object.DataCentre.Out {
			kind = proof.CentreOut
		}
		w.orders = append(w.orders, proof.CentreEvent{At: w.now, Kind: kind, DataCentre: c.Object.Ref.Name})
	}
}

// tryStarts tries to start work every startPeriod.
func (p *process) tryStarts() {
	p.w.after(startPeriod, p.tryStarts)
	if p.resumeIn() == 0 {
		p.tryOnce()
	}
}

// tryOnce tries to start work once in every data centre and records the result
// for every key in force.
func (p *process) tryOnce() {
	w := p.w
	document := p.view.Document("bookings")
	if document == nil {
		return
	}
	for i := range len(w.centres) {
		centre := centreName(i)
		refusal := p.view.MayStart(document, true, centre, w.now)
		if refusal != nil {
			if refusal.Code == fleet.CodeCentreOut {
				w.orders = append(w.orders, proof.CentreEvent{At: w.now, Kind: proof.CentreRefused, DataCentre: centre, Process: p.member.ID})
			}
			continue
		}
		w.started++
		w.config = append(w.config, proof.ConfigEvent{At: w.now, Kind: proof.ConfigStarted, Process: p.member.ID, Revision: p.view.Revision})
		w.orders = append(w.orders, proof.CentreEvent{At: w.now, Kind: proof.CentreStarted, DataCentre: centre, Process: p.member.ID})
		for _, o := range p.view.Objects(contract.KindKey) {
			w.keys = append(w.keys, proof.KeyEvent{At: w.now, Kind: proof.KeyStarted, Key: o.Key.ID, Team: o.Key.Team, Process: p.member.ID})
		}
	}
}

// bind sets the times from which the checkers require changes to be in force.
// Without an outage a change is binding from its commit. In an outage the
// evidence of freshness comes from peers, so a change is binding once the last
// instance of the writer's data centre has applied it; only then does the answer
// to the operator name a time.
func (w *world) bind() {
	if len(w.outages) == 0 {
		return
	}
	never := w.now.Add(time.Hour)
	for i := range w.config {
		e := &w.config[i]
		if e.Kind != proof.ConfigAccepted {
			continue
		}
		bound := w.confirmedAt(w.writers[e.Revision], e.Revision, never)
		w.rebind(e.At, bound)
		e.Binding = bound
	}
}

// confirmedAt returns when all instances of a data centre had applied a
// revision, or never.
func (w *world) confirmedAt(centre string, revision uint64, never time.Time) time.Time {
	var latest time.Time
	for _, p := range w.procs {
		if p.member.DataCentre != centre || !p.running {
			continue
		}
		at := never
		for _, e := range w.config {
			if e.Kind == proof.ConfigApplied && e.Process == p.member.ID && e.Revision >= revision {
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

// rebind moves the withdrawal or data centre order of a commit to its binding
// time.
func (w *world) rebind(from, to time.Time) {
	for i := range w.keys {
		if w.keys[i].At.Equal(from) && w.keys[i].Kind == proof.KeyWithdrawn {
			w.keys[i].At = to
		}
	}
	for i := range w.orders {
		kind := w.orders[i].Kind
		if w.orders[i].At.Equal(from) && (kind == proof.CentreOut || kind == proof.CentreBack) {
			w.orders[i].At = to
		}
	}
}
