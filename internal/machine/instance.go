package machine

import (
	"fmt"
	"slices"
	"time"
)

// Phase is the state of an instance as its record states it.
type Phase string

// Phases of an instance.
const (
	PhaseServing   Phase = "serving"
	PhaseDraining  Phase = "draining"
	PhaseMoving    Phase = "moving"
	PhaseRebooting Phase = "rebooting"
	PhaseFailed    Phase = "failed"
	PhaseFilling   Phase = "filling"
)

// transitions lists the phases that may follow each phase. Serving follows
// itself when a planned stop is cancelled before its drain.
var transitions = map[Phase][]Phase{
	PhaseServing:   {PhaseServing, PhaseDraining, PhaseFailed},
	PhaseDraining:  {PhaseMoving, PhaseRebooting, PhaseFilling, PhaseFailed},
	PhaseMoving:    {PhaseFilling, PhaseFailed},
	PhaseRebooting: {PhaseFilling, PhaseFailed},
	PhaseFilling:   {PhaseServing, PhaseFailed},
	PhaseFailed:    {PhaseFailed, PhaseRebooting, PhaseFilling},
}

// GoalKind is the reason why an instance is out of service.
type GoalKind string

// Kinds of goals. The empty kind means none.
const (
	GoalMove   GoalKind = "move"
	GoalReboot GoalKind = "reboot"
	GoalRepair GoalKind = "repair"
)

// Goal is what the planner does with an instance that is out of service.
type Goal struct {
	Kind GoalKind `json:"kind,omitempty"`
	// Pool is the target pool of a move.
	Pool string `json:"pool,omitempty"`
	// Wave is the wave that a reboot belongs to.
	Wave string `json:"wave,omitempty"`
	// Lent marks a move out of the spare pool that the planner initiated.
	Lent bool `json:"lent,omitempty"`
}

// Instance is the value of the record instance/<id>. Pool names the only pool
// to which the instance belongs.
type Instance struct {
	ID         string `json:"id"`
	DataCentre string `json:"datacentre"`
	Rack       string `json:"rack"`
	Pool       string `json:"pool"`
	Phase      Phase  `json:"phase"`
	// Epoch grows with every transition. It numbers the commands to the
	// platform, which ignores a command below the highest number that it has
	// received, and it ties a budget charge to the state from which it was
	// planned.
	Epoch uint64 `json:"epoch"`
	Goal  Goal   `json:"goal,omitzero"`
	// Since is when the phase began, on the clock of the planner that wrote it.
	Since time.Time `json:"since"`
	// FailedAt is when the instance failed, zero once it serves again.
	FailedAt time.Time `json:"failed_at,omitzero"`
	// Attempts counts the consecutive repairs that failed.
	Attempts int `json:"attempts,omitempty"`
	// RebootedAt is when the last reboot began. It counts for every wave that
	// started before, so that overlapping waves share their reboots.
	RebootedAt time.Time `json:"rebooted_at,omitzero"`
	// DrainAbandonedAt is when the last drain was abandoned. Waves that started
	// before skip the instance; a move is retried after
	// zone.MaintenanceLimits.DrainRetryDelay.
	DrainAbandonedAt time.Time `json:"gave_up,omitzero"`
	// Lent is true while the instance replaces a member of its pool. It returns
	// to the spare pool once it is surplus.
	Lent bool `json:"lent,omitempty"`
	// Reason explains the last transition.
	Reason string `json:"reason,omitempty"`
	// Revision is the platform's version of the record from which this value
	// was read.
	Revision uint64 `json:"-"`
}

// Domain returns the failure domain of the instance, "data centre/rack".
func (i *Instance) Domain() string { return i.DataCentre + "/" + i.Rack }

// To returns the record in its next phase. It panics if the state machine has
// no such transition.
func (i Instance) To(p Phase, now time.Time, reason string) Instance {
	if !slices.Contains(transitions[i.Phase], p) {
		panic(fmt.Sprintf("instance %s: no transition from %s to %s", i.ID, i.Phase, p))
	}
	i.Phase, i.Since, i.Reason = p, now, reason
	i.Epoch++
	return i
}

// Drain returns the record of an instance whose drain begins.
func (i Instance) Drain(g Goal, now time.Time, reason string) Instance {
	i.Goal = g
	return i.To(PhaseDraining, now, reason)
}

// Cancel returns the record of a serving instance whose planned stop is
// cancelled before its drain. The higher epoch makes all older plans fail.
func (i Instance) Cancel(now time.Time, reason string) Instance {
	return i.To(PhaseServing, now, reason)
}

// AbandonDrain returns the record of an instance whose drain timed out. The
// instance returns to service, so that no request is cut off.
func (i Instance) AbandonDrain(now time.Time, reason string) Instance {
	i.DrainAbandonedAt, i.Goal = now, Goal{}
	return i.To(PhaseFilling, now, reason)
}

// Recall returns the record of an instance that is needed in service again and
// whose drain has not been observed to begin.
func (i Instance) Recall(now time.Time, reason string) Instance {
	i.Goal = Goal{}
	return i.To(PhaseFilling, now, reason)
}

// Join returns the record of a moving instance in its new pool. It is the only
// transition that moves a working instance to another pool.
func (i Instance) Join(now time.Time, reason string) Instance {
	i.Pool, i.Lent = i.Goal.Pool, i.Goal.Lent
	return i.To(PhaseFilling, now, reason)
}

// Fail returns the record of an instance that failed. A failure during a reboot
// or fill counts as a failed repair.
func (i Instance) Fail(now time.Time, reason string) Instance {
	if i.Phase == PhaseRebooting || i.Phase == PhaseFilling {
		i.Attempts++
	}
	i.Goal = Goal{Kind: GoalRepair}
	if i.FailedAt.IsZero() {
		i.FailedAt = now
	}
	return i.To(PhaseFailed, now, reason)
}

// Keep returns the record of an instance on loan that becomes a permanent
// member of its pool.
func (i Instance) Keep(now time.Time, reason string) Instance {
	i.Lent = false
	return i.To(PhaseServing, now, reason)
}

// Reassign returns the record of a failed instance in another pool. No drain is
// needed, since the instance does not serve.
func (i Instance) Reassign(pool string, now time.Time, reason string) Instance {
	since := i.Since
	i.Pool, i.Lent = pool, false
	next := i.To(PhaseFailed, now, reason)
	next.Since = since
	return next
}

// Reboot returns the record of a drained or failed instance whose reboot
// begins.
func (i Instance) Reboot(now time.Time, reason string) Instance {
	i.RebootedAt = now
	return i.To(PhaseRebooting, now, reason)
}

// Refill returns the record of a rebooted instance that is filled into the
// given pool. No drain is needed, since the instance does not serve yet.
func (i Instance) Refill(pool string, now time.Time, reason string) Instance {
	if pool != i.Pool {
		i.Pool, i.Lent = pool, false
	}
	return i.To(PhaseFilling, now, reason)
}

// Serve returns the record of an instance that was observed healthy after its
// fill.
func (i Instance) Serve(now time.Time, reason string) Instance {
	i.Goal, i.Attempts, i.FailedAt = Goal{}, 0, time.Time{}
	return i.To(PhaseServing, now, reason)
}

// MachineState is the state of an instance as the platform reports it.
type MachineState string

// States of a machine.
const (
	MachineServing   MachineState = "serving"
	MachineDraining  MachineState = "draining"
	MachineDrained   MachineState = "drained"
	MachineRebooting MachineState = "rebooting"
	// MachineReady means that the machine has booted and is not in service.
	MachineReady MachineState = "ready"
	MachineDown  MachineState = "down"
)

// Observed is the planner's last observation of an instance in the platform's
// list, which lags.
type Observed struct {
	ID, DataCentre, Rack string
	// Pool is the platform's label, which is set after the record.
	Pool    string
	State   MachineState
	Healthy bool
	// Operation is the highest command number that the platform has accepted
	// for the instance. An observation shows the effect of a command only if it
	// carries the command's number.
	Operation uint64
	// Missing is true if the list no longer contains the instance.
	Missing bool
	// UnhealthySince is when the current period began in which every
	// observation of this planner shows the instance as unhealthy or missing;
	// zero while it is healthy.
	UnhealthySince time.Time
	// NotServingSince is when the current period began in which every
	// observation shows the instance as not in service or missing; zero while it
	// is in service.
	NotServingSince time.Time
}

// Next returns the observation n, which follows o, with UnhealthySince and
// NotServingSince set. Each start time is copied from o while its condition
// persists.
func (o Observed) Next(n Observed, now time.Time) Observed {
	n.UnhealthySince = since(o.UnhealthySince, n.Missing || !n.Healthy, now)
	n.NotServingSince = since(o.NotServingSince, n.Missing || n.State != MachineServing, now)
	return n
}

func since(start time.Time, active bool, now time.Time) time.Time {
	if !active {
		return time.Time{}
	}
	if start.IsZero() {
		return now
	}
	return start
}

// Up reports whether the instance is observed in service and healthy.
func (o *Observed) Up() bool { return o.UnhealthySince.IsZero() && o.NotServingSince.IsZero() }

// Idle reports whether the instance is observed healthy, runs no requests and
// waits to be filled.
func (o *Observed) Idle() bool {
	return o.UnhealthySince.IsZero() && (o.State == MachineReady || o.State == MachineDrained)
}

// DownSince returns the time since which the instance is not up, zero while it
// is.
func (o *Observed) DownSince() time.Time {
	if o.UnhealthySince.IsZero() || !o.NotServingSince.IsZero() && o.NotServingSince.Before(o.UnhealthySince) {
		return o.NotServingSince
	}
	return o.UnhealthySince
}

// ReflectsCommand reports whether the observation was made after the platform
// accepted the command with the given number and before it accepted a later
// one.
func (o *Observed) ReflectsCommand(epoch uint64) bool { return !o.Missing && o.Operation == epoch }

// CommandKind names a command to the platform's machines.
type CommandKind string

// Kinds of commands.
const (
	CommandDrain  CommandKind = "drain"
	CommandReboot CommandKind = "reboot"
	CommandFill   CommandKind = "fill"
)

// Command is an idempotent command to a machine of the platform.
type Command struct {
	Kind     CommandKind
	Instance string
	// Pool is the label that a fill sets.
	Pool string
	// Operation is the epoch of the record from which the command follows.
	Operation uint64
}

// Command returns the command that the phase of the record requires, or false
// if it requires none. A failed instance is drained before it is rebooted: the
// answer to the drain is newer than the failure and shows whether the instance
// has recovered.
func (i *Instance) Command() (Command, bool) {
	c := Command{Instance: i.ID, Pool: i.Pool, Operation: i.Epoch}
	switch i.Phase {
	case PhaseDraining, PhaseFailed:
		c.Kind = CommandDrain
	case PhaseRebooting:
		c.Kind = CommandReboot
	case PhaseFilling:
		c.Kind = CommandFill
	default:
		return Command{}, false
	}
	return c, true
}
