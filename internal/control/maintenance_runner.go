package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/platform"
	"github.com/crocusjunction/crocusjunction/internal/zone"
)

// Keys and key prefixes of maintenance in the platform's key-value service.
const (
	PlannerLeaseKey  = "lease/planner"
	PlannerStatusKey = "planner/status"
	InstancePrefix   = "instance/"
	BudgetPrefix     = "budget/"
	WavePrefix       = "order/wave/"
	MovePrefix       = "order/move/"
	// OrderHeadKey is written with every order, so that one watch reports new
	// orders of all kinds.
	OrderHeadKey = "order/head"
)

// Watch times of the planner's lease and of the orders.
const (
	plannerLeaseWait = 5 * time.Second
	orderWatchWait   = 10 * time.Second
)

// maxConcurrentSteps bounds the concurrent steps of one batch.
const maxConcurrentSteps = 16

// MaintenanceRunner performs the actions of maintenance: it acquires and renews
// the planner's lease, reads records and carries out the planner's steps.
type MaintenanceRunner struct {
	platform platform.Platform
	clock    func() time.Time
	// MaxWatchTime bounds the time of each watch. Zero keeps the default times.
	MaxWatchTime time.Duration
}

// NewMaintenanceRunner returns a runner that calls p and takes the time from
// clock.
func NewMaintenanceRunner(p platform.Platform, clock func() time.Time) *MaintenanceRunner {
	return &MaintenanceRunner{platform: p, clock: clock}
}

// Run performs an action of maintenance. The second result is false for other
// actions.
func (r *MaintenanceRunner) Run(ctx context.Context, a fleet.Action) (fleet.Event, bool) {
	switch a := a.(type) {
	case fleet.AcquirePlannerLease:
		return r.acquirePlannerLease(ctx, a), true
	case fleet.RenewPlannerLease:
		return r.renewPlannerLease(ctx, a), true
	case fleet.LoadRecords:
		return r.loadRecords(ctx, a), true
	case fleet.WatchOrders:
		return r.watchOrders(ctx, a), true
	case fleet.WatchMachines:
		return r.watchMachines(ctx, a), true
	case fleet.RunSteps:
		return r.runSteps(ctx, a), true
	case fleet.WritePlannerStatus:
		if r.writePlannerStatus(ctx, a.Status) != nil {
			return fleet.PlannerStatusFailed{Term: a.Term}, true
		}
		return nil, true
	default:
		return nil, false
	}
}

func (r *MaintenanceRunner) capWatchTime(d time.Duration) time.Duration {
	if r.MaxWatchTime > 0 {
		return min(d, r.MaxWatchTime)
	}
	return d
}

// plannerLease is the value of the planner's lease key.
type plannerLease struct {
	Holder string           `json:"holder"`
	Lease  platform.LeaseID `json:"lease"`
}

// acquirePlannerLease acquires the planner's lease when its key does not exist.
// Otherwise it waits for a change of the key.
func (r *MaintenanceRunner) acquirePlannerLease(ctx context.Context, a fleet.AcquirePlannerLease) fleet.Event {
	if !sleep(ctx, a.Delay) {
		return nil
	}
	record, err := r.platform.Get(ctx, PlannerLeaseKey)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return r.createPlannerLease(ctx, a.Holder)
	case err != nil:
		return fleet.PlannerLeaseNotAcquired{Delay: fleet.PlatformRetryDelay}
	}
	_, _ = r.platform.Watch(ctx, PlannerLeaseKey, record.Version, r.capWatchTime(plannerLeaseWait))
	return fleet.PlannerLeaseNotAcquired{}
}

// createPlannerLease creates the planner's lease key under a new lease. If the
// answer is lost, the key expires by itself, since nobody renews its lease.
func (r *MaintenanceRunner) createPlannerLease(ctx context.Context, holder string) fleet.Event {
	sent := r.clock()
	lease, err := r.platform.Grant(ctx, fleet.PlannerTTL)
	if err != nil {
		return fleet.PlannerLeaseNotAcquired{Delay: fleet.PlatformRetryDelay}
	}
	value, err := json.Marshal(plannerLease{Holder: holder, Lease: lease})
	if err != nil {
		return fleet.PlannerLeaseNotAcquired{Delay: fleet.PlatformRetryDelay}
	}
	if _, err := r.platform.Swap(ctx, PlannerLeaseKey, 0, value, lease); err != nil {
		return fleet.PlannerLeaseNotAcquired{Delay: fleet.PlatformRetryDelay}
	}
	return fleet.PlannerLeaseAcquired{Lease: uint64(lease), Until: sent.Add(fleet.PlannerTTL)}
}

// renewPlannerLease renews the planner's lease. After any error but
// ErrLeaseLost the control thread renews again; meanwhile the planner stops by
// its own clock when the lease expires.
func (r *MaintenanceRunner) renewPlannerLease(ctx context.Context, a fleet.RenewPlannerLease) fleet.Event {
	if !sleep(ctx, a.Delay) {
		return nil
	}
	sent := r.clock()
	switch err := r.platform.KeepAlive(ctx, platform.LeaseID(a.Lease)); {
	case err == nil:
		return fleet.PlannerLeaseRenewed{Term: a.Term, Until: sent.Add(fleet.PlannerTTL)}
	case errors.Is(err, platform.ErrLeaseLost):
		return fleet.PlannerLeaseLost{Term: a.Term}
	default:
		return fleet.PlannerLeaseRenewed{Term: a.Term}
	}
}

func (r *MaintenanceRunner) loadRecords(ctx context.Context, a fleet.LoadRecords) fleet.Event {
	if !sleep(ctx, a.Delay) {
		return nil
	}
	loaded, err := ReadMaintenanceRecords(ctx, r.platform)
	if err != nil {
		return fleet.RecordsFailed{Term: a.Term}
	}
	loaded.Term = a.Term
	return loaded
}

// ReadMaintenanceRecords reads all records of maintenance. It reads the budgets
// before the instances.
func ReadMaintenanceRecords(ctx context.Context, s platform.Store) (fleet.RecordsLoaded, error) {
	var loaded fleet.RecordsLoaded
	var err error
	if loaded.Budgets, err = ReadBudgets(ctx, s); err != nil {
		return loaded, err
	}
	if loaded.Instances, err = ReadInstances(ctx, s); err != nil {
		return loaded, err
	}
	loaded.Waves, loaded.Moves, err = ReadOrders(ctx, s)
	return loaded, err
}

// ReadInstances reads the records of all instances, ordered by id.
func ReadInstances(ctx context.Context, s platform.Store) ([]machine.Instance, error) {
	return listRecords(ctx, s, InstancePrefix, func(i *machine.Instance, v platform.Version) { i.Revision = uint64(v) })
}

// ReadBudgets reads the records of all budgets, ordered by service.
func ReadBudgets(ctx context.Context, s platform.Store) ([]contract.BudgetRecord, error) {
	return listRecords(ctx, s, BudgetPrefix, func(b *contract.BudgetRecord, v platform.Version) { b.Revision = uint64(v) })
}

// ReadOrders reads the waves and moves that operators ordered.
func ReadOrders(ctx context.Context, s platform.Store) ([]machine.Wave, []machine.MoveOrder, error) {
	waves, err := listRecords(ctx, s, WavePrefix, func(w *machine.Wave, v platform.Version) { w.Revision = uint64(v) })
	if err != nil {
		return nil, nil, err
	}
	moves, err := listRecords(ctx, s, MovePrefix, func(m *machine.MoveOrder, v platform.Version) { m.Revision = uint64(v) })
	return waves, moves, err
}

func listRecords[T any](ctx context.Context, s platform.Store, prefix string, setRevision func(*T, platform.Version)) ([]T, error) {
	records, err := s.List(ctx, prefix)
	if err != nil {
		return nil, errors.Wrap(err, "list "+prefix)
	}
	list := make([]T, len(records))
	for n, record := range records {
		if err := json.Unmarshal(record.Value, &list[n]); err != nil {
			return nil, errors.Wrapf(err, "decode %s", record.Key)
		}
		setRevision(&list[n], record.Version)
	}
	return list, nil
}

func (r *MaintenanceRunner) watchOrders(ctx context.Context, a fleet.WatchOrders) fleet.Event {
	if !sleep(ctx, a.Delay) {
		return nil
	}
	head, err := r.platform.Watch(ctx, OrderHeadKey, platform.Version(a.After), r.capWatchTime(orderWatchWait))
	if err != nil {
		return fleet.OrdersFailed{Term: a.Term, After: a.After}
	}
	waves, moves, err := ReadOrders(ctx, r.platform)
	if err != nil {
		return fleet.OrdersFailed{Term: a.Term, After: a.After}
	}
	return fleet.OrdersSeen{Term: a.Term, Version: uint64(head.Version), Waves: waves, Moves: moves}
}

func (r *MaintenanceRunner) watchMachines(ctx context.Context, a fleet.WatchMachines) fleet.Event {
	if !sleep(ctx, a.Delay) {
		return nil
	}
	list, err := r.platform.WatchMachines(ctx, a.After, r.capWatchTime(machinesWait))
	if err != nil {
		return fleet.MachinesFailed{Term: a.Term, After: a.After}
	}
	seen := fleet.MachinesSeen{Term: a.Term, Version: list.Version, Full: list.Full}
	for _, m := range list.Machines {
		seen.Machines = append(seen.Machines, toObserved(m))
	}
	return seen
}

func toObserved(m platform.Machine) machine.Observed {
	return machine.Observed{
		ID: m.ID, DataCentre: m.DataCentre, Rack: m.Rack, Pool: m.Pool,
		State: machine.MachineState(m.State), Healthy: m.Healthy, Operation: m.Operation, Missing: m.Gone,
	}
}

// runSteps carries out a batch of steps. Budgets are written one after the
// other in the given order up to the first that fails; the remaining budgets
// fail too. All other steps concern different records and run concurrently.
func (r *MaintenanceRunner) runSteps(ctx context.Context, a fleet.RunSteps) fleet.Event {
	outcomes := make([]zone.Outcome, len(a.Steps))
	group := new(errgroup.Group)
	group.SetLimit(maxConcurrentSteps)
	failed := false
	for n, step := range a.Steps {
		switch {
		case step.Budget != nil && failed:
			outcomes[n] = zone.Outcome{Step: step, Result: zone.StepFailed}
		case step.Budget != nil:
			outcomes[n] = r.RunStep(ctx, step, a.Until)
			failed = outcomes[n].Result != zone.StepDone
		default:
			group.Go(func() error {
				outcomes[n] = r.RunStep(ctx, step, a.Until)
				return nil
			})
		}
	}
	_ = group.Wait()
	return fleet.StepsRun{Term: a.Term, Outcomes: outcomes}
}

// RunStep carries out one step unless the planner's lease has expired at until.
// A write is a compare-and-swap. A command is sent only when the instance's
// record is still at the revision from which the command was derived.
func (r *MaintenanceRunner) RunStep(ctx context.Context, s zone.MaintenanceStep, until time.Time) zone.Outcome {
	outcome := zone.Outcome{Step: s, Result: zone.StepExpired}
	if !r.clock().Before(until) {
		return outcome
	}
	version, err := r.execute(ctx, s)
	outcome.Result, outcome.Revision = stepResult(err), uint64(version)
	return outcome
}

func (r *MaintenanceRunner) execute(ctx context.Context, s zone.MaintenanceStep) (platform.Version, error) {
	expect := platform.Version(s.Revision)
	switch {
	case s.Instance != nil:
		return r.swapRecord(ctx, InstancePrefix+s.Subject, expect, s.Instance)
	case s.Budget != nil:
		return r.swapRecord(ctx, BudgetPrefix+s.Subject, expect, s.Budget)
	case s.Wave != nil:
		return r.swapRecord(ctx, WavePrefix+s.Subject, expect, s.Wave)
	case s.Move != nil:
		return 0, r.platform.Delete(ctx, MovePrefix+s.Subject, expect)
	case s.Command != nil:
		return 0, r.sendIfUnchanged(ctx, *s.Command, expect)
	default:
		return 0, r.platform.Delete(ctx, InstancePrefix+s.Subject, expect)
	}
}

func (r *MaintenanceRunner) swapRecord(ctx context.Context, key string, expect platform.Version, value any) (platform.Version, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return 0, errors.Wrap(err, "encode "+key)
	}
	return r.platform.Swap(ctx, key, expect, data, 0)
}

// sendIfUnchanged sends a command when the instance's record has the expected
// version. If the process is paused between the check and the call, another
// planner may command the machine meanwhile; the platform then ignores the
// delayed command, because its operation number is lower.
func (r *MaintenanceRunner) sendIfUnchanged(ctx context.Context, c machine.Command, expect platform.Version) error {
	record, err := r.platform.Get(ctx, InstancePrefix+c.Instance)
	if err != nil {
		return err
	}
	if record.Version != expect {
		return platform.ErrConflict
	}
	err = r.sendCommand(ctx, c)
	if errors.Is(err, platform.ErrNotFound) {
		return errors.Wrap(platform.ErrUnavailable, "no machine "+c.Instance)
	}
	return err
}

func (r *MaintenanceRunner) sendCommand(ctx context.Context, c machine.Command) error {
	switch c.Kind {
	case machine.CommandDrain:
		return r.platform.Drain(ctx, c.Instance, c.Operation)
	case machine.CommandReboot:
		return r.platform.Reboot(ctx, c.Instance, c.Operation)
	default:
		return r.platform.Fill(ctx, c.Instance, c.Pool, c.Operation)
	}
}

func stepResult(err error) zone.StepResult {
	switch {
	case err == nil:
		return zone.StepDone
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrNotFound):
		return zone.StepConflict
	case errors.Is(err, platform.ErrOutcomeUnknown):
		return zone.StepUnknown
	default:
		return zone.StepFailed
	}
}

func (r *MaintenanceRunner) writePlannerStatus(ctx context.Context, s fleet.PlannerStatus) error {
	record, err := r.platform.Get(ctx, PlannerStatusKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	_, err = r.swapRecord(ctx, PlannerStatusKey, record.Version, s)
	return err
}
