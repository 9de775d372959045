// Package maintenance runs the planner in simulated time: several processes
// with the real control state and runner over one stand-in platform, with a
// clock that the test sets.
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
	"github.com/crocusjunction/crocusjunction/internal/link"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/platform"
	"github.com/crocusjunction/crocusjunction/internal/proof"
	"github.com/crocusjunction/crocusjunction/internal/standin"
	"github.com/crocusjunction/crocusjunction/internal/zone"
)

// blind is how long a failure may stay unknown to the planner: the time of
// detection, the lag of the list and one tick for each call in between.
const blind = 60 * time.Second

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// world is a platform, the processes that may plan, and the checkers.
type world struct {
	now    time.Time
	tick   time.Duration
	store  *standin.Store
	orders *control.Orders
	procs  []*proc
	// objects is the configuration; revision is its last revision.
	objects  map[contract.Ref]contract.Object
	revision uint64
	budgets  *proof.Budgets
	pools    *proof.Pools
	// versions are the record versions that the checkers have seen.
	versions map[string]platform.Version
	// instances are the records as last written.
	instances map[string]machine.Instance
	// moves, drains and reboots count what was done to instances.
	moves, drains, reboots int
	// joined holds "instance pool" for every pool that an instance moved to.
	joined map[string]bool
	// bytes counts the keys and values of records that processes read or wrote.
	bytes int64
	// outSince holds since when each machine is out of service; outTime is the
	// sum of the finished times.
	outSince map[string]time.Time
	outTime  time.Duration
	checked  bool
	err      error
}

func newWorld(tick time.Duration) *world {
	w := &world{
		now: epoch, tick: tick, objects: make(map[contract.Ref]contract.Object), checked: true,
		budgets: proof.NewBudgets(blind), pools: proof.NewPools(),
		versions: make(map[string]platform.Version), instances: make(map[string]machine.Instance),
		outSince: make(map[string]time.Time),
		joined:   make(map[string]bool),
	}
	clock := func() time.Time { return w.now }
	w.store = standin.NewStore(clock)
	w.store.RecordEffects()
	w.store.SetParkOptions(standin.ParkOptions{DrainMS: 60_000, RebootMS: 180_000, FillMS: 20_000, LagMS: 5_000})
	w.orders = control.NewOrders(w.store, clock)
	return w
}

// proc is one process that may hold the planner's lease.
type proc struct {
	w      *world
	name   string
	centre string
	fleet  *fleet.Fleet
	runner *control.MaintenanceRunner
	due    []dueAction
	batch  *batch
	paused bool
	// clock is the time at which the process was paused.
	clock time.Time
	// crashAfter is the number of further calls until the process dies; -1 means
	// never. A crash is before a call, or after it when late is set.
	crashAfter int
	late       bool
	dead       bool
	// loseAfter is the number of further calls until one answer is lost; -1
	// means never.
	loseAfter int
	// pauseAfter is the number of further steps until the process is paused; -1
	// means never.
	pauseAfter int
}

type dueAction struct {
	at     time.Time
	action fleet.Action
}

// batch is a RunSteps under way, one step at a time.
type batch struct {
	action   fleet.RunSteps
	outcomes []zone.Outcome
	failed   bool
}

func (w *world) start(name, centre string) *proc {
	p := &proc{w: w, name: name, centre: centre, crashAfter: -1, loseAfter: -1, pauseAfter: -1}
	p.fleet = fleet.New(fleet.Options{
		Self:        link.Member{ID: name, Incarnation: uint64(w.now.UnixNano()), DataCentre: centre},
		DataCentres: map[string]string{"dc0": "west", "dc1": "west", "dc2": "east", "dc3": "east", "dc4": "east"},
	})
	p.runner = control.NewMaintenanceRunner(&tap{Store: w.store, p: p}, p.time)
	p.runner.Patience = time.Nanosecond
	p.add(p.fleet.Start(w.now), false)
	w.procs = append(w.procs, p)
	return p
}

func (p *proc) time() time.Time {
	if p.paused {
		return p.clock
	}
	return p.w.now
}

// configure puts an object and gives the new configuration to every process
// that is not paused; the others get it when they resume.
func (w *world) configure(o contract.Object) {
	w.revision++
	o.Revision = w.revision
	w.objects[o.Ref] = o
	for _, p := range w.procs {
		if !p.paused {
			p.learn()
		}
	}
}

func (p *proc) learn() {
	head := contract.Head{Revision: p.w.revision, Flushed: p.w.revision}
	e := fleet.ConfigLoaded{Before: head, After: head}
	for _, o := range p.w.objects {
		e.Objects = append(e.Objects, o)
	}
	p.add(e.Apply(p.fleet, p.w.now), false)
}

// add queues actions. A watch that ended is due again at the next tick.
func (p *proc) add(actions []fleet.Action, fromWatch bool) {
	for _, a := range actions {
		at := p.w.now
		switch x := a.(type) {
		case fleet.LoadConfig:
			p.learn()
			continue
		case fleet.WatchHead, fleet.WatchEndpoints:
			continue
		case fleet.SeekPlanner:
			at = at.Add(max(x.Delay, p.w.tick))
			x.Delay = 0
			a = x
		case fleet.KeepPlanner:
			at = at.Add(x.Delay)
			x.Delay = 0
			a = x
		case fleet.LoadRecords:
			at = at.Add(x.Delay)
			x.Delay = 0
			a = x
		case fleet.WatchOrders:
			at = later(at, x.Delay, fromWatch, p.w.tick)
			x.Delay = 0
			a = x
		case fleet.WatchMachines:
			at = later(at, x.Delay, fromWatch, p.w.tick)
			x.Delay = 0
			a = x
		}
		p.due = append(p.due, dueAction{at, a})
	}
}

func later(at time.Time, delay time.Duration, again bool, tick time.Duration) time.Time {
	if again {
		delay = max(delay, tick)
	}
	return at.Add(delay)
}

// run does everything that is due in the process, with at most limit steps of
// batches.
func (p *proc) run(limit int) {
	for range 10_000 {
		if p.dead || p.paused || p.w.err != nil {
			return
		}
		if p.batch != nil {
			if limit == 0 {
				return
			}
			if p.pauseAfter == 0 {
				p.pause()
				return
			}
			p.pauseAfter--
			limit--
			p.step()
			continue
		}
		n := slices.IndexFunc(p.due, func(d dueAction) bool { return !d.at.After(p.w.now) })
		if n < 0 {
			break
		}
		a := p.due[n].action
		p.due = slices.Delete(p.due, n, n+1)
		p.perform(a)
	}
	if p.dead {
		return
	}
	if at := p.fleet.NextWake(); !at.IsZero() && !at.After(p.w.now) {
		p.add(p.fleet.Tick(p.w.now), false)
	}
}

func (p *proc) perform(a fleet.Action) {
	if steps, ok := a.(fleet.RunSteps); ok {
		p.batch = &batch{action: steps}
		return
	}
	e, _ := p.runner.Run(context.Background(), a)
	if e == nil || p.dead {
		return
	}
	p.apply(e)
}

func (p *proc) apply(e fleet.Event) {
	_, orders := e.(fleet.OrdersSeen)
	_, machines := e.(fleet.MachinesSeen)
	p.add(e.Apply(p.fleet, p.w.now), orders || machines)
}

// step carries out the next step of the batch in the order of the runner.
func (p *proc) step() {
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
	if !p.dead {
		b.outcomes = append(b.outcomes, o)
	}
}

// advance moves the time on tick by tick.
func (w *world) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end) && w.err == nil; {
		w.now = w.now.Add(w.tick)
		w.observe()
		for _, p := range w.procs {
			p.run(1 << 20)
		}
	}
}

// pause freezes a process. Its clock stops too, which is worse than a real
// pause: checks of the lease before a step pass when it goes on.
func (p *proc) pause() { p.paused, p.clock = true, p.w.now }

// resumeStale lets a paused process finish its batch on the time of the pause,
// then gives it the present time.
func (p *proc) resumeStale() {
	for p.batch != nil && !p.dead && len(p.batch.outcomes) < len(p.batch.action.Steps) {
		p.step()
	}
	p.paused, p.pauseAfter = false, -1
	p.learn()
}

// kill ends the process and starts a new one in its place.
func (p *proc) kill() {
	p.dead = true
	n := slices.Index(p.w.procs, p)
	p.w.procs = slices.Delete(p.w.procs, n, n+1)
	fresh := p.w.start(p.name, p.centre)
	fresh.learn()
}

// tap is a process's view of the platform: it shows every write to the checkers
// and ends the process at the call that the test chose.
type tap struct {
	*standin.Store
	p *proc
}

var errDead = errors.New("process is dead")

// around performs a call that has an effect.
func (t *tap) around(call func() error) error {
	if t.p.dead {
		return errDead
	}
	dies := t.p.crashAfter == 0
	if t.p.crashAfter >= 0 {
		t.p.crashAfter--
	}
	if dies && !t.p.late {
		t.p.dead = true
		return errDead
	}
	err := call()
	t.p.w.observe()
	if t.p.loseAfter == 0 && err == nil {
		err = platform.ErrUnknown
	}
	t.p.loseAfter--
	if dies {
		t.p.dead = true
		return errDead
	}
	return err
}

func (t *tap) Swap(ctx context.Context, key string, expect platform.Version, value []byte, lease platform.LeaseID) (platform.Version, error) {
	var version platform.Version
	t.p.w.bytes += int64(len(key) + len(value))
	err := t.around(func() (err error) {
		version, err = t.Store.Swap(ctx, key, expect, value, lease)
		t.p.w.wrote(key)
		return err
	})
	return version, err
}

func (t *tap) Delete(ctx context.Context, key string, expect platform.Version) error {
	return t.around(func() error {
		err := t.Store.Delete(ctx, key, expect)
		t.p.w.wrote(key)
		return err
	})
}

func (t *tap) Drain(ctx context.Context, id string, operation uint64) error {
	return t.around(func() error { return t.Store.Drain(ctx, id, operation) })
}

func (t *tap) Reboot(ctx context.Context, id string, operation uint64) error {
	return t.around(func() error { return t.Store.Reboot(ctx, id, operation) })
}

func (t *tap) Fill(ctx context.Context, id, pool string, operation uint64) error {
	return t.around(func() error { return t.Store.Fill(ctx, id, pool, operation) })
}

// wrote shows the record to the checkers when it changed.
func (w *world) wrote(key string) {
	record, ok := w.store.Peek(key)
	if record.Version == w.versions[key] {
		return
	}
	w.versions[key] = record.Version
	e := proof.MaintenanceEvent{At: w.now}
	switch {
	case strings.HasPrefix(key, control.InstancePrefix):
		if !ok {
			e.Deleted = strings.TrimPrefix(key, control.InstancePrefix)
			delete(w.instances, e.Deleted)
			break
		}
		e.Instance = new(machine.Instance)
		w.decode(record.Value, e.Instance)
		if old, known := w.instances[e.Instance.ID]; known && old.Pool != e.Instance.Pool {
			w.moves++
			w.joined[e.Instance.ID+" "+e.Instance.Pool] = true
		}
		w.instances[e.Instance.ID] = *e.Instance
	case strings.HasPrefix(key, control.BudgetPrefix):
		e.Budget = new(contract.BudgetRecord)
		w.decode(record.Value, e.Budget)
	default:
		return
	}
	w.check(e)
}

func (w *world) decode(data []byte, into any) {
	if err := json.Unmarshal(data, into); err != nil && w.err == nil {
		w.err = err
	}
}

// observe shows the effects on machines to the checkers.
func (w *world) observe() {
	for _, e := range w.store.Effects() {
		switch e.Kind {
		case "drain":
			w.drains++
			w.leave(e.Machine, e.At)
		case "down":
			w.leave(e.Machine, e.At)
		case "serving", "up":
			if since, ok := w.outSince[e.Machine]; ok {
				w.outTime += e.At.Sub(since)
				delete(w.outSince, e.Machine)
			}
		case "reboot":
			w.reboots++
		}
		w.check(proof.MaintenanceEvent{At: e.At, Effect: &proof.MachineEffect{
			Machine: e.Machine, Kind: e.Kind, Pool: e.Pool, Operation: e.Operation, Cut: e.Cut,
		}})
	}
}

func (w *world) leave(id string, at time.Time) {
	if _, ok := w.outSince[id]; !ok {
		w.outSince[id] = at
	}
}

func (w *world) check(e proof.MaintenanceEvent) {
	if !w.checked || w.err != nil {
		return
	}
	if err := w.budgets.Add(e); err != nil {
		w.err = err
		return
	}
	w.err = w.pools.Add(e)
}

// fleetOf adds machines, pools and services. Every pool has a service with the
// given minimum and a second one with one instance less, so that a stop needs
// two budgets.
func (w *world) fleetOf(centres, racks, perRack int, pools []string, spares, minimum int) {
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
	w.fleetFrom(list, pools, spares, minimum)
}

// fleetFrom adds the machines. Members are spread over racks and data centres;
// the last machines are spares.
func (w *world) fleetFrom(list []platform.Machine, pools []string, spares, minimum int) {
	order := slices.Clone(list)
	slices.SortFunc(order, func(a, b platform.Machine) int {
		return strings.Compare(a.Rack+a.DataCentre+a.ID, b.Rack+b.DataCentre+b.ID)
	})
	per := (len(order) - spares) / len(pools)
	for n := range order {
		order[n].Pool = "spare"
		if n < per*len(pools) {
			order[n].Pool = pools[n%len(pools)]
		}
	}
	w.store.AddMachines(order)
	w.configure(contract.Object{Ref: contract.Ref{Kind: contract.KindTeam, Name: "team"}, Team: &contract.Team{Name: "team", UpperLimit: 9, Share: 1}})
	for _, pool := range pools {
		w.configure(contract.Object{Ref: contract.Ref{Kind: contract.KindPool, Name: pool}, Pool: &contract.PoolOrder{Name: pool, Spare: "spare", Target: per}})
		for n, service := range []string{"a-" + pool, "b-" + pool} {
			w.document(service, pool, max(0, minimum-n))
		}
	}
}

func (w *world) document(service, pool string, minimum int) {
	w.configure(contract.Object{Ref: contract.Ref{Kind: contract.KindDocument, Name: service},
		Document: &contract.Document{Service: service, Team: "team", Pool: pool, MinAvailable: minimum}})
}

func (w *world) takeOut(centre string, out bool) {
	w.configure(contract.Object{Ref: contract.Ref{Kind: contract.KindDataCentre, Name: centre}, DataCentre: &contract.DataCentreOrder{Name: centre, Out: out}})
}

func (w *world) rackFaults(centre, rack string, f standin.MachineFaults) {
	for _, m := range w.store.Truth() {
		if m.DataCentre == centre && m.Rack == rack {
			w.store.SetMachineFaults(m.ID, f)
		}
	}
}

// unsettled returns what keeps the fleet from rest, empty when every instance
// serves in the pool of its record, no charge is left and no order is open.
func (w *world) unsettled() string {
	truth := w.store.Truth()
	for _, m := range truth {
		i, ok := w.instances[m.ID]
		if !ok || i.Phase != machine.PhaseServing || m.State != "serving" || !m.Healthy || i.Pool != m.Pool {
			return fmt.Sprintf("machine %+v, record %+v", m, i)
		}
	}
	if len(w.instances) != len(truth) {
		return fmt.Sprintf("%d records of %d machines", len(w.instances), len(truth))
	}
	budgets, err := w.orders.Budgets(context.Background())
	if err != nil {
		return err.Error()
	}
	for _, b := range budgets {
		if len(b.Charges) > 0 {
			return fmt.Sprintf("charges %+v", b)
		}
	}
	waves, moves, err := control.ReadOrders(context.Background(), w.store)
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

// settle advances until the fleet is at rest or d has passed.
func (w *world) settle(d time.Duration) string {
	rest := ""
	for end := w.now.Add(d); w.now.Before(end) && w.err == nil; {
		w.advance(time.Minute)
		if rest = w.unsettled(); rest == "" {
			return ""
		}
	}
	return rest
}

func (w *world) wave(t testing.TB, name string, pools []string, oneByOne bool) {
	t.Helper()
	_, err := w.orders.StartWave(context.Background(), machine.Wave{Name: name, Pools: pools, OneByOne: oneByOne, Author: "op"})
	if err != nil {
		t.Fatal(err)
	}
}

func (w *world) mustRest(t testing.TB, d time.Duration) {
	t.Helper()
	rest := w.settle(d)
	if w.err != nil {
		t.Fatal(w.err)
	}
	if rest != "" {
		t.Fatalf("not at rest after %s: %s", d, rest)
	}
}

// swapMachine takes a machine away for ever and adds a new one in its rack.
func (w *world) swapMachine(id string) {
	for _, m := range w.store.Truth() {
		if m.ID == id {
			w.store.RemoveMachine(id)
			w.store.AddMachines([]platform.Machine{{ID: id + "n", DataCentre: m.DataCentre, Rack: m.Rack, State: "ready", Healthy: true}})
		}
	}
}

// withoutMachineWatch drops the watch of the list of machines.
func withoutMachineWatch(due []dueAction) []dueAction {
	return slices.DeleteFunc(due, func(d dueAction) bool {
		_, ok := d.action.(fleet.WatchMachines)
		return ok
	})
}
