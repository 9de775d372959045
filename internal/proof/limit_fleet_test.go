package proof_test

import (
	"context"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/link"
	"github.com/crocusjunction/crocusjunction/internal/platform"
	"github.com/crocusjunction/crocusjunction/internal/proof"
)

// The terms of the simulated fleet are short, so that holds lapse often.
var terms = contract.LimitTerms{
	Hold:         30 * time.Second,
	RenewEvery:   5 * time.Second,
	LongestLease: 10 * time.Second,
	LoanPeriod:   8 * time.Second,

	IdleAfter:      time.Minute,
	IdleAfterTight: 5 * time.Second,
}

const (
	service = "bookings"
	// unbounded is the limit of the service for the checker while it has none.
	unbounded = 1 << 30
	// longestWork is the longest deadline of simulated work.
	longestWork = 9 * time.Second
	// grace is how long a simulated change may take to reach a process.
	grace = 4 * time.Second
)

// teams may both hand in work for the service.
var teams = []string{"depots", "crews"}

// faultMode is what happens to the platform calls of one action.
type faultMode int

const (
	works faultMode = iota
	outage
	loseAnswer
	loseAnswerThenOutage
	delayWrite
	delayWriteThenOutage
	loseWrite
	faultModes
)

// delayedWrite is a write whose sender already gave up on it.
type delayedWrite struct {
	key    string
	expect platform.Version
	value  []byte
}

// store is the simulated platform. It is used by one goroutine.
type store struct {
	t       *rapid.T
	records map[string]platform.Record
	version platform.Version
	mode    faultMode
	down    bool
	delayed []delayedWrite
	// beforeSwap runs once between the read and the write of an action.
	beforeSwap func()
	platform.Store
}

func (s *store) failing() bool { return s.down || s.mode == outage }

func (s *store) Get(_ context.Context, key string) (platform.Record, error) {
	if s.failing() {
		return platform.Record{}, platform.ErrUnavailable
	}
	r, ok := s.records[key]
	if !ok {
		return r, platform.ErrNotFound
	}
	return r, nil
}

func (s *store) List(_ context.Context, prefix string) ([]platform.Record, error) {
	if s.failing() {
		return nil, platform.ErrUnavailable
	}
	var list []platform.Record
	for key, r := range s.records {
		if strings.HasPrefix(key, prefix) {
			list = append(list, r)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list, nil
}

func (s *store) Swap(_ context.Context, key string, expect platform.Version, value []byte, _ platform.LeaseID) (platform.Version, error) {
	if hook := s.beforeSwap; hook != nil {
		s.beforeSwap = nil
		hook()
	}
	if s.failing() {
		return 0, platform.ErrUnavailable
	}
	mode := s.mode
	switch mode {
	case loseAnswerThenOutage, delayWriteThenOutage:
		s.mode = outage
	case loseAnswer, delayWrite, loseWrite:
		s.mode = works
	}
	switch mode {
	case delayWrite, delayWriteThenOutage:
		s.delayed = append(s.delayed, delayedWrite{key, expect, value})
		return 0, platform.ErrUnknown
	case loseWrite:
		return 0, platform.ErrUnknown
	}
	version, err := s.write(key, expect, value)
	if err == nil && mode != works {
		err = platform.ErrUnknown
	}
	return version, err
}

func (s *store) write(key string, expect platform.Version, value []byte) (platform.Version, error) {
	if s.records[key].Version != expect {
		return 0, platform.ErrConflict
	}
	s.checkSum(key, value)
	s.version++
	s.records[key] = platform.Record{Key: key, Value: value, Version: s.version}
	return s.version, nil
}

// checkSum fails the test when a write raises the sum of a record above its
// limit.
func (s *store) checkSum(key string, value []byte) {
	if !strings.HasPrefix(key, control.AllotmentPrefix) || strings.HasPrefix(key, control.ServiceAllotmentPrefix) {
		// The record of a service may take up work that ran before its bound.
		return
	}
	after, err := control.DecodeAllotment(value)
	if err != nil {
		s.t.Fatal(err)
	}
	var before contract.AllotmentRecord
	if old, ok := s.records[key]; ok {
		if before, err = control.DecodeAllotment(old.Value); err != nil {
			s.t.Fatal(err)
		}
	}
	if sum := after.Sum(); !after.Limit.Allows(sum) && sum > before.Sum() {
		s.t.Fatalf("swap of %s raises the sum from %d to %d above the limit %d", key, before.Sum(), sum, after.Limit.Slots)
	}
}

func (s *store) Delete(_ context.Context, key string, expect platform.Version) error {
	if s.failing() {
		return platform.ErrUnavailable
	}
	if s.records[key].Version != expect {
		return platform.ErrConflict
	}
	delete(s.records, key)
	s.version++
	return nil
}

// work is one request from its Admit to its end.
type work struct {
	id, team string
	deadline time.Time
	reply    chan fleet.Admission
	started  bool
}

// process is one simulated entry instance with a clock of its own.
type process struct {
	fleet   *fleet.Fleet
	member  link.Member
	actions []fleet.Action
	works   []*work
	// rate is the speed of the clock in millionths, offset its start.
	rate   int64
	offset time.Duration
	paused bool
	// heads are the times by which changes must have reached the process.
	heads []time.Duration
}

// message is a loan message that may arrive again, late.
type message struct {
	to    string
	event func() fleet.Event
}

// world is the whole simulated fleet.
type world struct {
	t         *rapid.T
	store     *store
	processes map[string]*process
	elapsed   time.Duration
	objects   map[contract.Ref]contract.Object
	revision  uint64
	limits    *proof.LimitChecker
	// bound is the bound of the service, 0 for none, and boundFrom when a new
	// one is in force; 0 when it is.
	bound       int
	boundFrom   time.Duration
	incarnation uint64
	nextWork    int
	messages    []message
	// orphans are works at endpoints whose entry instance was killed.
	orphans []*orphan
	// admitted counts starts; a run without any proves nothing.
	admitted int
	log      *logrus.Entry
}

type orphan struct {
	id, team string
	by       time.Duration
}

var start = time.Unix(1_800_000_000, 0)

func newWorld(t *rapid.T) *world {
	log := logrus.New()
	log.SetOutput(io.Discard)
	w := &world{
		t:         t,
		store:     &store{t: t, records: make(map[string]platform.Record)},
		processes: make(map[string]*process),
		objects:   make(map[contract.Ref]contract.Object),
		limits:    proof.NewLimitChecker(grace+time.Second, terms.LongestLease+time.Second),
		log:       logrus.NewEntry(log),
	}
	w.setBound(0)
	for _, team := range teams {
		w.setLimit(team, 6)
	}
	for i := range 3 {
		w.launch(fmt.Sprintf("entry-%d", i))
	}
	return w
}

func (w *world) names() []string {
	var list []string
	for name := range w.processes {
		list = append(list, name)
	}
	sort.Strings(list)
	return list
}

func (w *world) at() time.Time { return start.Add(w.elapsed) }

func (p *process) now(w *world) time.Time {
	return start.Add(p.offset + w.elapsed*time.Duration(p.rate)/1_000_000)
}

// launch starts an instance; one with the same name is replaced by it.
func (w *world) launch(name string) *process {
	w.incarnation += 10
	m := link.Member{ID: name, Incarnation: w.incarnation, DataCentre: "north", Address: name}
	p := &process{
		fleet:  fleet.New(fleet.Options{Self: m, DataCentres: map[string]string{"north": "west"}, LimitTerms: terms, Horizon: 10_000 * time.Hour}),
		member: m,
		rate:   rapid.Int64Range(995_600, 1_004_400).Draw(w.t, "rate"),
		offset: time.Duration(rapid.Int64Range(0, 1000).Draw(w.t, "offset")) * time.Hour,
	}
	w.processes[name] = p
	w.keep(p, p.fleet.Start(p.now(w)))
	w.load(p)
	return p
}

// keep queues the actions that concern limits.
func (w *world) keep(p *process, actions []fleet.Action) {
	for _, a := range actions {
		switch a.(type) {
		case fleet.SwapAllotment, fleet.RenewHold, fleet.ObserveHolders, fleet.ReclaimSlots, fleet.EndHold, fleet.RequestLoan, fleet.ReturnLoan:
			p.actions = append(p.actions, a)
		}
	}
}

func (w *world) apply(p *process, e fleet.Event) {
	if e == nil {
		return
	}
	w.keep(p, e.Apply(p.fleet, p.now(w)))
}

func (w *world) commit(o contract.Object) {
	w.revision++
	o.Revision = w.revision
	w.objects[o.Ref] = o
	for _, p := range w.processes {
		p.heads = append(p.heads, w.elapsed+grace)
	}
}

// load hands the newest configuration to a process.
func (w *world) load(p *process) {
	loaded := fleet.ConfigLoaded{SentAt: p.now(w)}
	for _, o := range w.objects {
		loaded.Objects = append(loaded.Objects, o)
	}
	loaded.Before = contract.Head{Revision: w.revision, Flushed: w.revision}
	loaded.After = loaded.Before
	w.apply(p, loaded)
}

func (w *world) setLimit(team string, slots int) {
	w.commit(contract.Object{
		Ref: contract.Ref{Kind: contract.KindTeam, Name: team}, Team: &contract.Team{Name: team, UpperLimit: slots, Share: 1},
	})
	w.limits.Add(proof.LimitEvent{At: w.at(), Kind: proof.LimitSet, Team: team, Limit: slots})
}

// setBound changes the slots of the service; 0 removes the bound.
func (w *world) setBound(slots int) {
	d := &contract.Document{Service: service, Team: teams[0], Pool: "p", AcceptsFrom: teams[1:], MaxSlots: slots}
	w.commit(contract.Object{Ref: contract.Ref{Kind: contract.KindDocument, Name: service}, Document: d})
	switch {
	case slots == 0:
		w.bound, w.boundFrom = 0, 0
		w.checkBound(unbounded)
	case w.bound == 0:
		// Nothing records the work that runs without a bound, so that a new bound
		// is in force once that work is over.
		w.bound, w.boundFrom = slots, w.elapsed+grace+terms.LongestLease
	case w.boundFrom > 0:
		w.bound = slots
	default:
		w.bound = slots
		w.checkBound(slots)
	}
}

func (w *world) checkBound(slots int) {
	w.limits.Add(proof.LimitEvent{At: w.at(), Kind: proof.LimitSet, Team: service, Limit: slots})
}

// trace tells the checker of a start or a finish, once for the team and once for
// the service.
func (w *world) trace(kind proof.LimitEventKind, team, id string) {
	w.limits.Add(proof.LimitEvent{At: w.at(), Kind: kind, Team: team, Work: id})
	w.limits.Add(proof.LimitEvent{At: w.at(), Kind: kind, Team: service, Work: id})
}

// deliverHeads lets a process learn of all changes.
func (w *world) deliverHeads(p *process) {
	if len(p.heads) == 0 {
		return
	}
	p.heads = nil
	w.load(p)
}

// admit sends a request to a process.
func (w *world) admit(p *process) {
	run := time.Duration(rapid.Int64Range(1, int64(longestWork/time.Millisecond)).Draw(w.t, "run")) * time.Millisecond
	w.admitOf(p, rapid.SampledFrom(teams).Draw(w.t, "team"), run)
}

func (w *world) admitOf(p *process, team string, run time.Duration) {
	w.nextWork++
	x := &work{id: fmt.Sprint("w", w.nextWork), team: team, deadline: p.now(w).Add(run), reply: make(chan fleet.Admission, 1)}
	p.works = append(p.works, x)
	w.apply(p, fleet.Admit{RequestID: x.id, Team: team, Service: service, Deadline: x.deadline, Reply: x.reply})
}

// collect lets the traffic goroutines of a process read their replies and send.
func (w *world) collect(p *process) {
	var left []*work
	var events []fleet.Event
	for _, x := range p.works {
		if x.started {
			left = append(left, x)
			continue
		}
		select {
		case admission := <-x.reply:
			if admission.Refusal != nil {
				continue
			}
			now := p.now(w)
			late := !now.Before(admission.StartBefore)
			if late || !now.Before(x.deadline) {
				events = append(events, fleet.Release{Team: x.team, Service: service})
				continue
			}
			x.started = true
			w.admitted++
			w.trace(proof.WorkStarted, x.team, x.id)
			left = append(left, x)
		default:
			left = append(left, x)
		}
	}
	p.works = left
	for _, e := range events {
		w.apply(p, e)
	}
}

// finish ends started work at the endpoint and releases its slot.
func (w *world) finish(p *process, x *work) {
	for i, known := range p.works {
		if known == x {
			p.works = append(p.works[:i:i], p.works[i+1:]...)
		}
	}
	w.trace(proof.WorkFinished, x.team, x.id)
	w.apply(p, fleet.Release{Team: x.team, Service: service})
}

// advance moves the time on in small steps; work ends by its deadline.
func (w *world) advance(d time.Duration, busy bool) {
	const step = 250 * time.Millisecond
	for end := w.elapsed + d; w.elapsed < end; {
		w.elapsed = min(end, w.elapsed+step)
		w.endOrphans()
		for _, name := range w.names() {
			w.tick(w.processes[name], busy)
		}
	}
}

func (w *world) endOrphans() {
	if w.boundFrom > 0 && w.elapsed >= w.boundFrom {
		w.boundFrom = 0
		w.checkBound(w.bound)
	}
	var left []*orphan
	for _, o := range w.orphans {
		if w.elapsed < o.by {
			left = append(left, o)
			continue
		}
		w.trace(proof.WorkFinished, o.team, o.id)
	}
	w.orphans = left
}

func (w *world) tick(p *process, busy bool) {
	now := p.now(w)
	if p.paused {
		// The endpoint finishes; the paused process learns of it later.
		return
	}
	for _, x := range append([]*work(nil), p.works...) {
		if x.started && !now.Before(x.deadline) {
			w.finish(p, x)
		}
	}
	if len(p.heads) > 0 && w.elapsed >= p.heads[0]-time.Second {
		w.deliverHeads(p)
	}
	if at := p.fleet.NextWake(); !at.IsZero() && !now.Before(at) {
		w.keep(p, p.fleet.Tick(now))
	}
	if busy {
		w.runAll(p)
	}
	w.collect(p)
}

// runAll performs the queued actions of a process without faults.
func (w *world) runAll(p *process) {
	for n := 0; len(p.actions) > 0 && n < 50; n++ {
		w.run(p, 0, works, false)
	}
}

// run performs one queued action with a fault.
func (w *world) run(p *process, index int, mode faultMode, interleave bool) {
	a := p.actions[index]
	p.actions = append(p.actions[:index:index], p.actions[index+1:]...)
	if interleave {
		w.store.beforeSwap = func() { w.interleaved(p) }
	}
	w.store.mode = mode
	runner := control.NewLimitRunner(w.store, w.log, func() time.Time { return p.now(w) })
	runner.Pause = func(context.Context, time.Duration) bool { return true }
	switch a := a.(type) {
	case fleet.RequestLoan:
		w.exchangeLoan(p, a, mode)
	case fleet.ReturnLoan:
		w.returnLoan(a, mode)
	default:
		e, ok := runner.Run(context.Background(), a)
		if !ok {
			w.t.Fatalf("no runner for %T", a)
		}
		w.apply(p, e)
	}
	w.store.mode = works
	w.store.beforeSwap = nil
}

// interleaved performs an action of another process between the read and the
// write of one action.
func (w *world) interleaved(p *process) {
	mode := w.store.mode
	for _, name := range w.names() {
		other := w.processes[name]
		if other != p && !other.paused && len(other.actions) > 0 {
			w.run(other, 0, works, false)
			break
		}
	}
	w.store.mode = mode
}

func (w *world) exchangeLoan(p *process, a fleet.RequestLoan, mode faultMode) {
	to, ok := w.processes[a.To.ID]
	if !ok || to.paused || mode == outage || mode == loseWrite {
		w.apply(p, fleet.LoanRefused{From: a.To, Limit: a.Limit, ID: a.ID, Unknown: true})
		return
	}
	sent := p.now(w)
	request := func(reply chan contract.LoanReply) fleet.Event {
		return fleet.LoanRequested{From: p.member, Limit: a.Limit, Slots: a.Slots, ID: a.ID, Reply: reply}
	}
	w.messages = append(w.messages, message{to: a.To.ID, event: func() fleet.Event { return request(make(chan contract.LoanReply, 1)) }})
	if mode == delayWrite {
		w.apply(p, fleet.LoanRefused{From: a.To, Limit: a.Limit, ID: a.ID, Unknown: true})
		return
	}
	reply := make(chan contract.LoanReply, 1)
	w.apply(to, request(reply))
	answer := <-reply
	if mode != works {
		w.apply(p, fleet.LoanRefused{From: a.To, Limit: a.Limit, ID: a.ID, Unknown: true})
		return
	}
	var result fleet.Event = fleet.LoanRefused{From: a.To, Limit: a.Limit, ID: a.ID}
	if answer.Slots > 0 {
		result = fleet.LoanGranted{From: a.To, Limit: a.Limit, ID: a.ID, Reply: answer, SentAt: sent}
		w.messages = append(w.messages, message{to: p.member.ID, event: func() fleet.Event { return result }})
	}
	w.apply(p, result)
}

func (w *world) returnLoan(a fleet.ReturnLoan, mode faultMode) {
	event := func() fleet.Event { return fleet.LoanReturned{Limit: a.Limit, ID: a.ID} }
	w.messages = append(w.messages, message{to: a.To.ID, event: event})
	to, ok := w.processes[a.To.ID]
	if ok && !to.paused && mode == works {
		w.apply(to, event())
	}
}

// kill ends a process; its started work goes on at the endpoint.
func (w *world) kill(p *process) {
	for _, x := range p.works {
		if x.started && !p.paused {
			left := max(0, x.deadline.Sub(p.now(w)))
			w.orphans = append(w.orphans, &orphan{id: x.id, team: x.team, by: w.elapsed + left})
		}
	}
	delete(w.processes, p.member.ID)
}
