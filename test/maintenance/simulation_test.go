// Package maintenance tests the planner in simulated time: several processes
// with the real control state and runner use one stand-in for the platform, and
// the test sets the clock.
package maintenance

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/invariant"
	"github.com/crocusjunction/crocusjunction/internal/link"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/platform"
	"github.com/crocusjunction/crocusjunction/internal/standin"
	"github.com/crocusjunction/crocusjunction/internal/zone"
)

// maxDetectionDelay bounds the time from a failure to its detection by the
// planner: the lag of the machine list, the time for which the planner must observe
// an instance as unhealthy before it records the failure, and one tick for each
// call in between.
const maxDetectionDelay = 60 * time.Second

// startTime is the first time of the simulated clock.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simulation is a stand-in platform, the processes that can be the planner, and
// the checkers of invariants.
type simulation struct {
	now       time.Time
	tick      time.Duration
	store     *standin.Store
	orders    *control.Orders
	processes []*process
	// objects is the configuration, and revision its latest revision.
	objects  map[contract.Ref]contract.Object
	revision uint64
	budgets  *invariant.BudgetChecker
	pools    *invariant.PoolChecker
	// seenVersions are the versions, by key, in which records were last added to
	// the checkers.
	seenVersions map[string]platform.Version
	// instances are the instance records as last written, by instance ID.
	instances map[string]machine.Instance
	// moves, drains and reboots count the changes of pool, drains and reboots of all
	// instances.
	moves, drains, reboots int
	// joinedPools has the key "instance pool" for every pool that an instance was
	// moved to.
	joinedPools map[string]bool
	// bytesTransferred is the size of the keys and values of the records that
	// processes have read or written.
	bytesTransferred int64
	// outSince is the time at which a machine went out of service, for each machine
	// that still is out of service. totalOutTime is the sum of the durations for
	// which machines were out of service, without those that have not ended.
	outSince      map[string]time.Time
	totalOutTime  time.Duration
	checksEnabled bool
	// err is the first violation that a checker found, or the first error in
	// decoding a record. The simulation stops at it.
	err error
}

// newSimulation returns a simulation without machines and processes whose clock
// advances by tick.
func newSimulation(tick time.Duration) *simulation {
	sim := &simulation{
		now: startTime, tick: tick, objects: make(map[contract.Ref]contract.Object), checksEnabled: true,
		budgets: invariant.NewBudgetChecker(maxDetectionDelay), pools: invariant.NewPoolChecker(),
		seenVersions: make(map[string]platform.Version), instances: make(map[string]machine.Instance),
		outSince:    make(map[string]time.Time),
		joinedPools: make(map[string]bool),
	}
	clock := func() time.Time { return sim.now }
	sim.store = standin.NewStore(clock)
	sim.store.RecordMachineEffects()
	sim.store.SetMachineOptions(standin.MachineOptions{DrainMS: 60_000, RebootMS: 180_000, FillMS: 20_000, LagMS: 5_000})
	sim.orders = control.NewOrders(sim.store, clock)
	return sim
}

// process is a process that can hold the planner lease.
type process struct {
	sim        *simulation
	name       string
	dataCentre string
	fleet      *fleet.Fleet
	runner     *control.MaintenanceRunner
	dueActions []dueAction
	batch      *stepBatch
	paused     bool
	// pausedAt is when the process was paused. The clock of the process shows this
	// time until it resumes.
	pausedAt time.Time
	// callsUntilCrash is the number of further calls with an effect before the
	// process crashes; -1 means never. The process crashes before the call, or after
	// its effect if crashAfterEffect is set.
	callsUntilCrash  int
	crashAfterEffect bool
	crashed          bool
	// callsUntilLoss is the number of further calls with an effect before the
	// answer to one is lost; -1 means never.
	callsUntilLoss int
	// stepsUntilPause is the number of further steps before the process is paused;
	// -1 means never.
	stepsUntilPause int
}

// dueAction is an action and the time at which it runs.
type dueAction struct {
	at     time.Time
	action fleet.Action
}

// stepBatch is a RunSteps action that is in progress, with the outcomes of the
// steps that were run.
type stepBatch struct {
	action   fleet.RunSteps
	outcomes []zone.Outcome
	failed   bool
}

// startProcess starts a process in a data centre.
func (sim *simulation) startProcess(name, centre string) *process {
	p := &process{sim: sim, name: name, dataCentre: centre, callsUntilCrash: -1, callsUntilLoss: -1, stepsUntilPause: -1}
	p.fleet = fleet.New(fleet.Options{
		Self:        link.Member{ID: name, Incarnation: uint64(sim.now.UnixNano()), DataCentre: centre},
		DataCentres: map[string]string{"dc0": "west", "dc1": "west", "dc2": "east", "dc3": "east", "dc4": "east"},
	})
	p.runner = control.NewMaintenanceRunner(&processStore{Store: sim.store, p: p}, p.currentTime)
	p.runner.MaxWatchTime = time.Nanosecond
	p.enqueue(p.fleet.Start(sim.now), false)
	sim.processes = append(sim.processes, p)
	return p
}

// currentTime is the clock of the process, which is stopped during a pause.
func (p *process) currentTime() time.Time {
	if p.paused {
		return p.pausedAt
	}
	return p.sim.now
}

// commitObject changes an object of the configuration and loads the
// configuration into every process that is not paused. A paused process loads
// it on resume.
func (sim *simulation) commitObject(o contract.Object) {
	sim.revision++
	o.Revision = sim.revision
	sim.objects[o.Ref] = o
	for _, p := range sim.processes {
		if !p.paused {
			p.loadConfig()
		}
	}
}

// loadConfig applies the current configuration to the process.
func (p *process) loadConfig() {
	head := contract.Head{Revision: p.sim.revision, Flushed: p.sim.revision}
	e := fleet.ConfigLoaded{Before: head, After: head}
	for _, o := range p.sim.objects {
		e.Objects = append(e.Objects, o)
	}
	p.enqueue(e.Apply(p.fleet, p.sim.now), false)
}

// enqueue queues each action for the time at which it is due. If the actions
// follow from the result of a watch (fromWatch), further watches are delayed at
// least to the next tick, because the stand-in answers a watch immediately.
func (p *process) enqueue(actions []fleet.Action, fromWatch bool) {
	for _, a := range actions {
		at := p.sim.now
		switch x := a.(type) {
		case fleet.LoadConfig:
			p.loadConfig()
			continue
		case fleet.WatchHead, fleet.WatchEndpoints:
			continue
		case fleet.AcquirePlannerLease:
			at = at.Add(max(x.Delay, p.sim.tick))
			x.Delay = 0
			a = x
		case fleet.RenewPlannerLease:
			at = at.Add(x.Delay)
			x.Delay = 0
			a = x
		case fleet.LoadRecords:
			at = at.Add(x.Delay)
			x.Delay = 0
			a = x
		case fleet.WatchOrders:
			at = watchTime(at, x.Delay, fromWatch, p.sim.tick)
			x.Delay = 0
			a = x
		case fleet.WatchMachines:
			at = watchTime(at, x.Delay, fromWatch, p.sim.tick)
			x.Delay = 0
			a = x
		}
		p.dueActions = append(p.dueActions, dueAction{at, a})
	}
}

// watchTime returns the time at which a watch runs: after delay, and if it
// follows another watch, a tick after at or later.
func watchTime(at time.Time, delay time.Duration, fromWatch bool, tick time.Duration) time.Time {
	if fromWatch {
		delay = max(delay, tick)
	}
	return at.Add(delay)
}

// run runs the due actions of the process and then its tick if that is due. It
// returns early after it has run limit steps of batches.
func (p *process) run(limit int) {
	for range 10_000 {
		if p.crashed || p.paused || p.sim.err != nil {
			return
		}
		if p.batch != nil {
			if limit == 0 {
				return
			}
			if p.stepsUntilPause == 0 {
				p.pause()
				return
			}
			p.stepsUntilPause--
			limit--
			p.runStep()
			continue
		}
		n := slices.IndexFunc(p.dueActions, func(d dueAction) bool { return !d.at.After(p.sim.now) })
		if n < 0 {
			break
		}
		a := p.dueActions[n].action
		p.dueActions = slices.Delete(p.dueActions, n, n+1)
		p.perform(a)
	}
	if p.crashed {
		return
	}
	if at := p.fleet.NextTick(); !at.IsZero() && !at.After(p.sim.now) {
		p.enqueue(p.fleet.Tick(p.sim.now), false)
	}
}

// perform runs an action of the process and applies its result. A RunSteps
// action only becomes the batch of the process; run runs its steps.
func (p *process) perform(a fleet.Action) {
	if steps, ok := a.(fleet.RunSteps); ok {
		p.batch = &stepBatch{action: steps}
		return
	}
	e, _ := p.runner.Run(context.Background(), a)
	if e == nil || p.crashed {
		return
	}
	p.apply(e)
}

// apply applies an event to the fleet and queues the actions that follow.
func (p *process) apply(e fleet.Event) {
	_, orders := e.(fleet.OrdersSeen)
	_, machines := e.(fleet.MachinesSeen)
	p.enqueue(e.Apply(p.fleet, p.sim.now), orders || machines)
}

// runStep runs the next step of the batch as the runner does: after a step with
// a budget has failed, further steps with a budget are not run.
func (p *process) runStep() {
	b := p.batch
	n := len(b.outcomes)
	if n == len(b.action.Steps) {
		p.batch = nil
		p.apply(fleet.StepsRun{Term: b.action.Term, Outcomes: b.outcomes})
		return
	}
	s := b.action.Steps[n]
	o := zone.Outcome{Step: s, Result: zone.StepFailed}
	if s.Budget == nil || !b.failed {
		o = p.runner.RunStep(context.Background(), s, b.action.Until)
		b.failed = b.failed || s.Budget != nil && o.Result != zone.StepDone
	}
	if !p.crashed {
		b.outcomes = append(b.outcomes, o)
	}
}

// advance advances the time by d, tick by tick, and runs all processes at each
// tick.
func (sim *simulation) advance(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end) && sim.err == nil; {
		sim.now = sim.now.Add(sim.tick)
		sim.observeEffects()
		for _, p := range sim.processes {
			p.run(1 << 20)
		}
	}
}

// pause pauses a process and stops its clock. This is worse than a real pause:
// with the stopped clock, the check of the lease before a step still passes
// when the process resumes.
func (p *process) pause() { p.paused, p.pausedAt = true, p.sim.now }

// resumeStale resumes a paused process. The process first finishes its batch
// with its stopped clock, and only then reads the current time and loads the
// configuration.
func (p *process) resumeStale() {
	for p.batch != nil && !p.crashed && len(p.batch.outcomes) < len(p.batch.action.Steps) {
		p.runStep()
	}
	p.paused, p.stepsUntilPause = false, -1
	p.loadConfig()
}

// replace ends the process and starts a new one with the same name.
func (p *process) replace() {
	p.crashed = true
	n := slices.Index(p.sim.processes, p)
	p.sim.processes = slices.Delete(p.sim.processes, n, n+1)
	next := p.sim.startProcess(p.name, p.dataCentre)
	next.loadConfig()
}

// processStore is the platform client of a process. It adds every write to the
// checkers and injects a crash or a lost answer at the call that the test has
// set.
type processStore struct {
	*standin.Store
	p *process
}

var errCrashed = errors.New("process has crashed")

// callWithFaults runs a call that has an effect.
func (s *processStore) callWithFaults(call func() error) error {
	if s.p.crashed {
		return errCrashed
	}
	crashes := s.p.callsUntilCrash == 0
	if s.p.callsUntilCrash >= 0 {
		s.p.callsUntilCrash--
	}
	if crashes && !s.p.crashAfterEffect {
		s.p.crashed = true
		return errCrashed
	}
	err := call()
	s.p.sim.observeEffects()
	if s.p.callsUntilLoss == 0 && err == nil {
		err = platform.ErrOutcomeUnknown
	}
	s.p.callsUntilLoss--
	if crashes {
		s.p.crashed = true
		return errCrashed
	}
	return err
}

func (s *processStore) Swap(ctx context.Context, key string, expect platform.Version, value []byte, lease platform.LeaseID) (platform.Version, error) {
	var version platform.Version
	s.p.sim.bytesTransferred += int64(len(key) + len(value))
	err := s.callWithFaults(func() (err error) {
		version, err = s.Store.Swap(ctx, key, expect, value, lease)
		s.p.sim.observeWrite(key)
		return err
	})
	return version, err
}

func (s *processStore) Delete(ctx context.Context, key string, expect platform.Version) error {
	return s.callWithFaults(func() error {
		err := s.Store.Delete(ctx, key, expect)
		s.p.sim.observeWrite(key)
		return err
	})
}

func (s *processStore) Drain(ctx context.Context, id string, operation uint64) error {
	return s.callWithFaults(func() error { return s.Store.Drain(ctx, id, operation) })
}

func (s *processStore) Reboot(ctx context.Context, id string, operation uint64) error {
	return s.callWithFaults(func() error { return s.Store.Reboot(ctx, id, operation) })
}

func (s *processStore) Fill(ctx context.Context, id, pool string, operation uint64) error {
	return s.callWithFaults(func() error { return s.Store.Fill(ctx, id, pool, operation) })
}

// observeWrite adds a record to the checkers if its version has changed.
func (sim *simulation) observeWrite(key string) {
	record, ok := sim.store.Peek(key)
	if record.Version == sim.seenVersions[key] {
		return
	}
	sim.seenVersions[key] = record.Version
	e := invariant.MaintenanceEvent{At: sim.now}
	switch {
	case strings.HasPrefix(key, control.InstancePrefix):
		if !ok {
			e.Deleted = strings.TrimPrefix(key, control.InstancePrefix)
			delete(sim.instances, e.Deleted)
			break
		}
		e.Instance = new(machine.Instance)
		sim.decode(record.Value, e.Instance)
		if old, known := sim.instances[e.Instance.ID]; known && old.Pool != e.Instance.Pool {
			sim.moves++
			sim.joinedPools[e.Instance.ID+" "+e.Instance.Pool] = true
		}
		sim.instances[e.Instance.ID] = *e.Instance
	case strings.HasPrefix(key, control.BudgetPrefix):
		e.Budget = new(contract.BudgetRecord)
		sim.decode(record.Value, e.Budget)
	default:
		return
	}
	sim.addToCheckers(e)
}

// decode decodes a record and sets err if that fails.
func (sim *simulation) decode(data []byte, into any) {
	if err := json.Unmarshal(data, into); err != nil && sim.err == nil {
		sim.err = err
	}
}

// observeEffects adds the new effects on machines to the checkers and counts
// them.
func (sim *simulation) observeEffects() {
	for _, e := range sim.store.TakeMachineEffects() {
		switch e.Kind {
		case "drain":
			sim.drains++
			sim.markOut(e.Machine, e.At)
		case "down":
			sim.markOut(e.Machine, e.At)
		case "serving", "up":
			if since, ok := sim.outSince[e.Machine]; ok {
				sim.totalOutTime += e.At.Sub(since)
				delete(sim.outSince, e.Machine)
			}
		case "reboot":
			sim.reboots++
		}
		sim.addToCheckers(invariant.MaintenanceEvent{At: e.At, Effect: &invariant.MachineEffect{
			Machine: e.Machine, Kind: e.Kind, Pool: e.Pool, Operation: e.Operation, Interrupted: e.Interrupted,
		}})
	}
}

// markOut records that a machine went out of service, unless it already is.
func (sim *simulation) markOut(id string, at time.Time) {
	if _, ok := sim.outSince[id]; !ok {
		sim.outSince[id] = at
	}
}

// addToCheckers adds an event to the checkers and records the first violation.
func (sim *simulation) addToCheckers(e invariant.MaintenanceEvent) {
	if !sim.checksEnabled || sim.err != nil {
		return
	}
	if err := sim.budgets.Add(e); err != nil {
		sim.err = err
		return
	}
	sim.err = sim.pools.Add(e)
}

// addFleet adds machines, pools and services. Every pool has a service with the
// given minimum and a second one with a minimum lower by one, so that a drain
// needs two budgets.
func (sim *simulation) addFleet(centres, racks, perRack int, pools []string, spares, minimum int) {
	var list []platform.Machine
	for c := range centres {
		for r := range racks {
			for m := range perRack {
				list = append(list, platform.Machine{
					ID:         fmt.Sprintf("i%d-%02d-%d", c, r, m),
					DataCentre: fmt.Sprintf("dc%d", c), Rack: fmt.Sprintf("r%02d", r), State: "serving", Healthy: true,
				})
			}
		}
	}
	sim.addMachines(list, pools, spares, minimum)
}

// addMachines adds the machines and configures the pools and services. It
// spreads the members of each pool over racks and data centres; the last
// machines are spares.
func (sim *simulation) addMachines(list []platform.Machine, pools []string, spares, minimum int) {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b platform.Machine) int {
		return strings.Compare(a.Rack+a.DataCentre+a.ID, b.Rack+b.DataCentre+b.ID)
	})
	membersPerPool := (len(sorted) - spares) / len(pools)
	for n := range sorted {
		sorted[n].Pool = "spare"
		if n < membersPerPool*len(pools) {
			sorted[n].Pool = pools[n%len(pools)]
		}
	}
	sim.store.AddMachines(sorted)
	sim.commitObject(contract.Object{Ref: contract.Ref{Kind: contract.KindTeam, Name: "team"}, Team: &contract.Team{Name: "team", UpperLimit: 9, Share: 1}})
	for _, pool := range pools {
		sim.commitObject(contract.Object{Ref: contract.Ref{Kind: contract.KindPool, Name: pool}, Pool: &contract.PoolOrder{Name: pool, Spare: "spare", Target: membersPerPool}})
		for n, service := range []string{"a-" + pool, "b-" + pool} {
			sim.setMinimum(service, pool, max(0, minimum-n))
		}
	}
}

// setMinimum sets the minimum of available instances of a service.
func (sim *simulation) setMinimum(service, pool string, minimum int) {
	sim.commitObject(contract.Object{Ref: contract.Ref{Kind: contract.KindDocument, Name: service},
		Document: &contract.Document{Service: service, Team: "team", Pool: pool, MinAvailable: minimum}})
}

// orderDataCentre takes a data centre out of service or brings it back.
func (sim *simulation) orderDataCentre(centre string, out bool) {
	sim.commitObject(contract.Object{Ref: contract.Ref{Kind: contract.KindDataCentre, Name: centre}, DataCentre: &contract.DataCentreOrder{Name: centre, Out: out}})
}

// setRackFaults sets the faults of all machines in a rack.
func (sim *simulation) setRackFaults(centre, rack string, f standin.MachineFaults) {
	for _, m := range sim.store.CurrentMachines() {
		if m.DataCentre == centre && m.Rack == rack {
			sim.store.SetMachineFaults(m.ID, f)
		}
	}
}

// unsettledReason returns why the fleet is not settled, or "" if it is: every
// instance serves in the pool of its record, no budget is charged and no order
// is open.
func (sim *simulation) unsettledReason() string {
	current := sim.store.CurrentMachines()
	for _, m := range current {
		i, ok := sim.instances[m.ID]
		if !ok || i.Phase != machine.PhaseServing || m.State != "serving" || !m.Healthy || i.Pool != m.Pool {
			return fmt.Sprintf("machine %+v, record %+v", m, i)
		}
	}
	if len(sim.instances) != len(current) {
		return fmt.Sprintf("%d records of %d machines", len(sim.instances), len(current))
	}
	budgets, err := sim.orders.Budgets(context.Background())
	if err != nil {
		return err.Error()
	}
	for _, b := range budgets {
		if len(b.Charges) > 0 {
			return fmt.Sprintf("charges %+v", b)
		}
	}
	waves, moves, err := control.ReadOrders(context.Background(), sim.store)
	if err != nil {
		return err.Error()
	}
	for _, wave := range waves {
		if wave.State == machine.WaveRunning {
			return fmt.Sprintf("wave %+v", wave)
		}
	}
	if len(moves) > 0 {
		return fmt.Sprintf("moves %+v", moves)
	}
	return ""
}

// settle advances until the fleet is settled or d has passed. It returns the
// reason why the fleet is not settled, if any.
func (sim *simulation) settle(d time.Duration) string {
	reason := ""
	for end := sim.now.Add(d); sim.now.Before(end) && sim.err == nil; {
		sim.advance(time.Minute)
		if reason = sim.unsettledReason(); reason == "" {
			return ""
		}
	}
	return reason
}

// mustStartWave starts a wave and fails the test if it is refused.
func (sim *simulation) mustStartWave(t testing.TB, name string, pools []string, oneByOne bool) {
	t.Helper()
	_, err := sim.orders.StartWave(context.Background(), machine.Wave{Name: name, Pools: pools, OneByOne: oneByOne, Author: "op"})
	if err != nil {
		t.Fatal(err)
	}
}

// mustSettle advances until the fleet is settled. It fails the test after d, or
// if a checker has found a violation.
func (sim *simulation) mustSettle(t testing.TB, d time.Duration) {
	t.Helper()
	reason := sim.settle(d)
	if sim.err != nil {
		t.Fatal(sim.err)
	}
	if reason != "" {
		t.Fatalf("fleet is not settled after %s: %s", d, reason)
	}
}

// replaceMachine removes a machine and adds a new one in the same rack.
func (sim *simulation) replaceMachine(id string) {
	for _, m := range sim.store.CurrentMachines() {
		if m.ID == id {
			sim.store.RemoveMachine(id)
			sim.store.AddMachines([]platform.Machine{{ID: id + "n", DataCentre: m.DataCentre, Rack: m.Rack, State: "ready", Healthy: true}})
		}
	}
}

// removeMachineWatch removes the watch of the machine list from the actions.
func removeMachineWatch(due []dueAction) []dueAction {
	return slices.DeleteFunc(due, func(d dueAction) bool {
		_, ok := d.action.(fleet.WatchMachines)
		return ok
	})
}
