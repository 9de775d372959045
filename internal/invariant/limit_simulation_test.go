package invariant_test

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
	"github.com/crocusjunction/crocusjunction/internal/invariant"
	"github.com/crocusjunction/crocusjunction/internal/link"
	"github.com/crocusjunction/crocusjunction/internal/platform"
)

// The terms of the simulated fleet are short, so that holds expire often.
var terms = contract.LimitTerms{
	HoldPeriod:      30 * time.Second,
	RenewPeriod:     5 * time.Second,
	MaxWorkDuration: 10 * time.Second,
	LoanPeriod:      8 * time.Second,

	IdleWindow:      time.Minute,
	IdleWindowTight: 5 * time.Second,
}

const (
	service = "bookings"
	// unboundedSlots is the limit that the checker uses while the service has no
	// bound.
	unboundedSlots = 1 << 30
	// longestDeadline is the longest deadline of a simulated request.
	longestDeadline = 9 * time.Second
	// maxPropagation is how long a configuration change may take to reach a
	// process.
	maxPropagation = 4 * time.Second
)

// teams are the teams that send requests to the service.
var teams = []string{"depots", "crews"}

// faultMode is the fault of the platform calls during one action.
type faultMode int

const (
	noFault faultMode = iota
	outage
	loseAnswer
	loseAnswerThenOutage
	delayWrite
	delayWriteThenOutage
	loseWrite
	faultModes
)

// delayedWrite is a write that may take effect after its sender timed out.
type delayedWrite struct {
	key    string
	expect platform.Version
	value  []byte
}

// store is the simulated platform. Only one goroutine uses it.
type store struct {
	t       *rapid.T
	records map[string]platform.Record
	version platform.Version
	// mode is the fault of the current action. down is an outage that lasts
	// until a step ends it.
	mode    faultMode
	down    bool
	delayed []delayedWrite
	// beforeSwap runs once, between the read and the write of an action.
	beforeSwap func()
	platform.Store
}

func (s *store) unavailable() bool { return s.down || s.mode == outage }

func (s *store) Get(_ context.Context, key string) (platform.Record, error) {
	if s.unavailable() {
		return platform.Record{}, platform.ErrUnavailable
	}
	r, ok := s.records[key]
	if !ok {
		return r, platform.ErrNotFound
	}
	return r, nil
}

func (s *store) List(_ context.Context, prefix string) ([]platform.Record, error) {
	if s.unavailable() {
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
	if s.unavailable() {
		return 0, platform.ErrUnavailable
	}
	mode := s.mode
	switch mode {
	case loseAnswerThenOutage, delayWriteThenOutage:
		s.mode = outage
	case loseAnswer, delayWrite, loseWrite:
		s.mode = noFault
	}
	switch mode {
	case delayWrite, delayWriteThenOutage:
		s.delayed = append(s.delayed, delayedWrite{key, expect, value})
		return 0, platform.ErrOutcomeUnknown
	case loseWrite:
		return 0, platform.ErrOutcomeUnknown
	}
	version, err := s.write(key, expect, value)
	if err == nil && mode != noFault {
		err = platform.ErrOutcomeUnknown
	}
	return version, err
}

func (s *store) write(key string, expect platform.Version, value []byte) (platform.Version, error) {
	if s.records[key].Version != expect {
		return 0, platform.ErrConflict
	}
	s.checkAllotmentSum(key, value)
	s.version++
	s.records[key] = platform.Record{Key: key, Value: value, Version: s.version}
	return s.version, nil
}

// checkAllotmentSum fails the test if a write raises the sum of a team's
// allotment record above its limit.
func (s *store) checkAllotmentSum(key string, value []byte) {
	if !strings.HasPrefix(key, control.AllotmentPrefix) || strings.HasPrefix(key, control.ServiceAllotmentPrefix) {
		// The record of a service may exceed a new bound, because it includes
		// work that started before the bound was set.
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
	if s.unavailable() {
		return platform.ErrUnavailable
	}
	if s.records[key].Version != expect {
		return platform.ErrConflict
	}
	delete(s.records, key)
	s.version++
	return nil
}

// request is one request, from its Admit to its release.
type request struct {
	id, team string
	deadline time.Time
	reply    chan fleet.Admission
	started  bool
}

// process is one simulated entry instance with its own clock.
type process struct {
	fleet    *fleet.Fleet
	member   link.Member
	actions  []fleet.Action
	requests []*request
	// rate is the speed of the clock in millionths of the simulation's, and
	// offset its lead at the start.
	rate   int64
	offset time.Duration
	paused bool
	// loadDeadlines are the times, on the simulation's clock, by which pending
	// changes must reach the process.
	loadDeadlines []time.Duration
}

// message is a loan message that may be delivered again later.
type message struct {
	to    string
	event func() fleet.Event
}

// simulation is the simulated fleet: the processes, the platform and the work at
// the endpoints.
type simulation struct {
	t         *rapid.T
	store     *store
	processes map[string]*process
	elapsed   time.Duration
	objects   map[contract.Ref]contract.Object
	revision  uint64
	limits    *invariant.LimitChecker
	// bound is the bound of the service, 0 for none. boundFrom is when a new
	// bound takes effect, 0 if no new bound is pending.
	bound         int
	boundFrom     time.Duration
	incarnation   uint64
	lastRequestID int
	messages      []message
	// orphans are the requests that run at endpoints while their entry instance
	// is paused or after it was killed.
	orphans []*orphan
	// admitted counts the started requests. A run that starts none cannot violate
	// a limit.
	admitted int
	log      *logrus.Entry
}

// orphan is a request at an endpoint; it finishes at the elapsed time finishesAt.
type orphan struct {
	id, team   string
	finishesAt time.Duration
}

var simulationStart = time.Unix(1_800_000_000, 0)

func newSimulation(t *rapid.T) *simulation {
	discarded := logrus.New()
	discarded.SetOutput(io.Discard)
	sim := &simulation{
		t:         t,
		store:     &store{t: t, records: make(map[string]platform.Record)},
		processes: make(map[string]*process),
		objects:   make(map[contract.Ref]contract.Object),
		limits:    invariant.NewLimitChecker(maxPropagation+time.Second, terms.MaxWorkDuration+time.Second),
		log:       logrus.NewEntry(discarded),
	}
	sim.setBound(0)
	for _, team := range teams {
		sim.setLimit(team, 6)
	}
	for i := range 3 {
		sim.startProcess(fmt.Sprintf("entry-%d", i))
	}
	return sim
}

func (sim *simulation) processNames() []string {
	var list []string
	for name := range sim.processes {
		list = append(list, name)
	}
	sort.Strings(list)
	return list
}

func (sim *simulation) now() time.Time { return simulationStart.Add(sim.elapsed) }

func (p *process) now(sim *simulation) time.Time {
	return simulationStart.Add(p.offset + sim.elapsed*time.Duration(p.rate)/1_000_000)
}

// startProcess starts a process, which replaces one with the same name.
func (sim *simulation) startProcess(name string) *process {
	sim.incarnation += 10
	m := link.Member{ID: name, Incarnation: sim.incarnation, DataCentre: "north", Address: name}
	p := &process{
		fleet:  fleet.New(fleet.Options{Self: m, DataCentres: map[string]string{"north": "west"}, LimitTerms: terms, FreshnessHorizon: 10_000 * time.Hour}),
		member: m,
		rate:   rapid.Int64Range(995_600, 1_004_400).Draw(sim.t, "rate"),
		offset: time.Duration(rapid.Int64Range(0, 1000).Draw(sim.t, "offset")) * time.Hour,
	}
	sim.processes[name] = p
	sim.queueActions(p, p.fleet.Start(p.now(sim)))
	sim.loadConfig(p)
	return p
}

// queueActions queues the actions that concern limits and drops the others.
func (sim *simulation) queueActions(p *process, actions []fleet.Action) {
	for _, a := range actions {
		switch a.(type) {
		case fleet.SwapAllotment, fleet.RenewHold, fleet.ObserveHolders, fleet.ReclaimSlots, fleet.EndHold, fleet.RequestLoan, fleet.ReturnLoan:
			p.actions = append(p.actions, a)
		}
	}
}

// apply applies an event to a process and queues the resulting actions.
func (sim *simulation) apply(p *process, e fleet.Event) {
	if e == nil {
		return
	}
	sim.queueActions(p, e.Apply(p.fleet, p.now(sim)))
}

// commitObject commits a configuration object, which every process must load
// within maxPropagation.
func (sim *simulation) commitObject(o contract.Object) {
	sim.revision++
	o.Revision = sim.revision
	sim.objects[o.Ref] = o
	for _, p := range sim.processes {
		p.loadDeadlines = append(p.loadDeadlines, sim.elapsed+maxPropagation)
	}
}

// loadConfig applies the latest configuration to a process.
func (sim *simulation) loadConfig(p *process) {
	loaded := fleet.ConfigLoaded{SentAt: p.now(sim)}
	for _, o := range sim.objects {
		loaded.Objects = append(loaded.Objects, o)
	}
	loaded.Before = contract.Head{Revision: sim.revision, Flushed: sim.revision}
	loaded.After = loaded.Before
	sim.apply(p, loaded)
}

func (sim *simulation) setLimit(team string, slots int) {
	sim.commitObject(contract.Object{
		Ref: contract.Ref{Kind: contract.KindTeam, Name: team}, Team: &contract.Team{Name: team, UpperLimit: slots, Share: 1},
	})
	sim.limits.Add(invariant.LimitEvent{At: sim.now(), Kind: invariant.LimitSet, Team: team, Limit: slots})
}

// setBound sets the bound of the service in slots; 0 removes it.
func (sim *simulation) setBound(slots int) {
	d := &contract.Document{Service: service, Team: teams[0], Pool: "p", AcceptsFrom: teams[1:], MaxSlots: slots}
	sim.commitObject(contract.Object{Ref: contract.Ref{Kind: contract.KindDocument, Name: service}, Document: d})
	switch {
	case slots == 0:
		sim.bound, sim.boundFrom = 0, 0
		sim.setCheckedBound(unboundedSlots)
	case sim.bound == 0:
		// Work that starts without a bound is not recorded, so a new bound takes
		// effect only when all such work has ended.
		sim.bound, sim.boundFrom = slots, sim.elapsed+maxPropagation+terms.MaxWorkDuration
	case sim.boundFrom > 0:
		sim.bound = slots
	default:
		sim.bound = slots
		sim.setCheckedBound(slots)
	}
}

func (sim *simulation) setCheckedBound(slots int) {
	sim.limits.Add(invariant.LimitEvent{At: sim.now(), Kind: invariant.LimitSet, Team: service, Limit: slots})
}

// recordWork adds a start or a finish to the checker's trace, once for the team
// and once for the service.
func (sim *simulation) recordWork(kind invariant.LimitEventKind, team, id string) {
	sim.limits.Add(invariant.LimitEvent{At: sim.now(), Kind: kind, Team: team, Work: id})
	sim.limits.Add(invariant.LimitEvent{At: sim.now(), Kind: kind, Team: service, Work: id})
}

// deliverChanges makes a process load the pending configuration changes.
func (sim *simulation) deliverChanges(p *process) {
	if len(p.loadDeadlines) == 0 {
		return
	}
	p.loadDeadlines = nil
	sim.loadConfig(p)
}

// sendRandomRequest sends a request of a random team and duration to a process.
func (sim *simulation) sendRandomRequest(p *process) {
	run := time.Duration(rapid.Int64Range(1, int64(longestDeadline/time.Millisecond)).Draw(sim.t, "run")) * time.Millisecond
	sim.sendTeamRequest(p, rapid.SampledFrom(teams).Draw(sim.t, "team"), run)
}

func (sim *simulation) sendTeamRequest(p *process, team string, duration time.Duration) {
	sim.lastRequestID++
	r := &request{id: fmt.Sprint("w", sim.lastRequestID), team: team, deadline: p.now(sim).Add(duration), reply: make(chan fleet.Admission, 1)}
	p.requests = append(p.requests, r)
	sim.apply(p, fleet.Admit{RequestID: r.id, Team: team, Service: service, Deadline: r.deadline, Reply: r.reply})
}

// readReplies does what the traffic goroutines of a process do: it reads the
// replies to waiting requests, starts the requests that were admitted in time and
// releases the slots of those admitted too late.
func (sim *simulation) readReplies(p *process) {
	var remaining []*request
	var events []fleet.Event
	for _, r := range p.requests {
		if r.started {
			remaining = append(remaining, r)
			continue
		}
		select {
		case admission := <-r.reply:
			if admission.Refusal != nil {
				continue
			}
			now := p.now(sim)
			late := !now.Before(admission.StartBefore)
			if late || !now.Before(r.deadline) {
				events = append(events, fleet.Release{Team: r.team, Service: service})
				continue
			}
			r.started = true
			sim.admitted++
			sim.recordWork(invariant.WorkStarted, r.team, r.id)
			remaining = append(remaining, r)
		default:
			remaining = append(remaining, r)
		}
	}
	p.requests = remaining
	for _, e := range events {
		sim.apply(p, e)
	}
}

// finishRequest finishes a started request at the endpoint and releases its
// slot.
func (sim *simulation) finishRequest(p *process, r *request) {
	for i, other := range p.requests {
		if other == r {
			p.requests = append(p.requests[:i:i], p.requests[i+1:]...)
		}
	}
	sim.recordWork(invariant.WorkFinished, r.team, r.id)
	sim.apply(p, fleet.Release{Team: r.team, Service: service})
}

// advanceTime advances the time in small steps. Requests finish by their
// deadlines, and the processes perform their queued actions if runActions is set.
func (sim *simulation) advanceTime(d time.Duration, runActions bool) {
	const step = 250 * time.Millisecond
	for end := sim.elapsed + d; sim.elapsed < end; {
		sim.elapsed = min(end, sim.elapsed+step)
		sim.applyDueEvents()
		for _, name := range sim.processNames() {
			sim.tickProcess(sim.processes[name], runActions)
		}
	}
}

// applyDueEvents puts a pending bound into effect and finishes the orphans that
// are due.
func (sim *simulation) applyDueEvents() {
	if sim.boundFrom > 0 && sim.elapsed >= sim.boundFrom {
		sim.boundFrom = 0
		sim.setCheckedBound(sim.bound)
	}
	var remaining []*orphan
	for _, o := range sim.orphans {
		if sim.elapsed < o.finishesAt {
			remaining = append(remaining, o)
			continue
		}
		sim.recordWork(invariant.WorkFinished, o.team, o.id)
	}
	sim.orphans = remaining
}

func (sim *simulation) tickProcess(p *process, runActions bool) {
	now := p.now(sim)
	if p.paused {
		// The started requests are orphans, which applyDueEvents finishes. The
		// process releases their slots when it resumes.
		return
	}
	for _, r := range append([]*request(nil), p.requests...) {
		if r.started && !now.Before(r.deadline) {
			sim.finishRequest(p, r)
		}
	}
	if len(p.loadDeadlines) > 0 && sim.elapsed >= p.loadDeadlines[0]-time.Second {
		sim.deliverChanges(p)
	}
	if at := p.fleet.NextTick(); !at.IsZero() && !now.Before(at) {
		sim.queueActions(p, p.fleet.Tick(now))
	}
	if runActions {
		sim.runQueuedActions(p)
	}
	sim.readReplies(p)
}

// runQueuedActions performs the queued actions of a process without faults, 50
// at most.
func (sim *simulation) runQueuedActions(p *process) {
	for n := 0; len(p.actions) > 0 && n < 50; n++ {
		sim.runAction(p, 0, noFault, false)
	}
}

// runAction performs one queued action of a process with a fault. With
// interleave, another process performs an action between its read and its write.
func (sim *simulation) runAction(p *process, index int, mode faultMode, interleave bool) {
	a := p.actions[index]
	p.actions = append(p.actions[:index:index], p.actions[index+1:]...)
	if interleave {
		sim.store.beforeSwap = func() { sim.runOtherAction(p) }
	}
	sim.store.mode = mode
	runner := control.NewLimitRunner(sim.store, sim.log, func() time.Time { return p.now(sim) })
	runner.Sleep = func(context.Context, time.Duration) bool { return true }
	switch a := a.(type) {
	case fleet.RequestLoan:
		sim.requestLoan(p, a, mode)
	case fleet.ReturnLoan:
		sim.returnLoan(a, mode)
	default:
		e, ok := runner.Run(context.Background(), a)
		if !ok {
			sim.t.Fatalf("no runner for %T", a)
		}
		sim.apply(p, e)
	}
	sim.store.mode = noFault
	sim.store.beforeSwap = nil
}

// runOtherAction performs an action of another process without a fault.
func (sim *simulation) runOtherAction(p *process) {
	mode := sim.store.mode
	for _, name := range sim.processNames() {
		other := sim.processes[name]
		if other != p && !other.paused && len(other.actions) > 0 {
			sim.runAction(other, 0, noFault, false)
			break
		}
	}
	sim.store.mode = mode
}

// requestLoan sends a loan request to another process and applies its reply. The
// fault mode applies to the exchange: the request is not delivered, delivered
// only later, or its reply is lost.
func (sim *simulation) requestLoan(p *process, a fleet.RequestLoan, mode faultMode) {
	to, ok := sim.processes[a.To.ID]
	if !ok || to.paused || mode == outage || mode == loseWrite {
		sim.apply(p, fleet.LoanRefused{From: a.To, Limit: a.Limit, ID: a.ID, Unknown: true})
		return
	}
	sent := p.now(sim)
	loanRequested := func(reply chan contract.LoanReply) fleet.Event {
		return fleet.LoanRequested{From: p.member, Limit: a.Limit, Slots: a.Slots, ID: a.ID, Reply: reply}
	}
	sim.messages = append(sim.messages, message{to: a.To.ID, event: func() fleet.Event { return loanRequested(make(chan contract.LoanReply, 1)) }})
	if mode == delayWrite {
		sim.apply(p, fleet.LoanRefused{From: a.To, Limit: a.Limit, ID: a.ID, Unknown: true})
		return
	}
	reply := make(chan contract.LoanReply, 1)
	sim.apply(to, loanRequested(reply))
	answer := <-reply
	if mode != noFault {
		sim.apply(p, fleet.LoanRefused{From: a.To, Limit: a.Limit, ID: a.ID, Unknown: true})
		return
	}
	var result fleet.Event = fleet.LoanRefused{From: a.To, Limit: a.Limit, ID: a.ID}
	if answer.Slots > 0 {
		result = fleet.LoanGranted{From: a.To, Limit: a.Limit, ID: a.ID, Reply: answer, SentAt: sent}
		sim.messages = append(sim.messages, message{to: p.member.ID, event: func() fleet.Event { return result }})
	}
	sim.apply(p, result)
}

// returnLoan sends the return of a loan, which arrives only without a fault.
func (sim *simulation) returnLoan(a fleet.ReturnLoan, mode faultMode) {
	event := func() fleet.Event { return fleet.LoanReturned{Limit: a.Limit, ID: a.ID} }
	sim.messages = append(sim.messages, message{to: a.To.ID, event: event})
	to, ok := sim.processes[a.To.ID]
	if ok && !to.paused && mode == noFault {
		sim.apply(to, event())
	}
}

// killProcess removes a process. Its started requests become orphans.
func (sim *simulation) killProcess(p *process) {
	for _, r := range p.requests {
		if r.started && !p.paused {
			remaining := max(0, r.deadline.Sub(p.now(sim)))
			sim.orphans = append(sim.orphans, &orphan{id: r.id, team: r.team, finishesAt: sim.elapsed + remaining})
		}
	}
	delete(sim.processes, p.member.ID)
}
