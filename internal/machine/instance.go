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

// phaseAfter lists the phases that may follow each phase. Serving follows
// itself when a planned stop is cancelled before its drain.
var phaseAfter = map[Phase][]Phase{
	PhaseServing:   {PhaseServing, PhaseDraining, PhaseFailed},
	PhaseDraining:  {PhaseMoving, PhaseRebooting, PhaseFilling, PhaseFailed},
	PhaseMoving:    {PhaseFilling, PhaseFailed},
	PhaseRebooting: {PhaseFilling, PhaseFailed},
	PhaseFilling:   {PhaseServing, PhaseFailed},
	PhaseFailed:    {PhaseFailed, PhaseRebooting, PhaseFilling},
}

// GoalKind names why an instance is out of service.
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
	// Pool is the pool that a move ends in.
	Pool string `json:"pool,omitempty"`
	// Wave is the wave that a reboot belongs to.
	Wave string `json:"wave,omitempty"`
	// Lent marks a move out of the spare pool that the planner started itself.
	Lent bool `json:"lent,omitempty"`
}

// Instance is the value of the record instance/<id>. It belongs to exactly one
// pool, the one named here.
type Instance struct {
	ID         string `json:"id"`
	DataCentre string `json:"datacentre"`
	Rack       string `json:"rack"`
	Pool       string `json:"pool"`
	Phase      Phase  `json:"phase"`
	// Epoch grows with every change of phase. It numbers the commands to the
	// platform, which ignores a command below the highest number it has seen,
	// and it binds a budget charge to the state that it was planned from.
	Epoch uint64 `json:"epoch"`
	Goal  Goal   `json:"goal,omitzero"`
	// Since is when the phase began, by the clock of the planner that wrote it.
	Since time.Time `json:"since"`
	// FailedAt is when the instance failed; zero once it serves again.
	FailedAt time.Time `json:"failed_at,omitzero"`
	// Attempts counts repairs in a row that did not bring the instance back.
	Attempts int `json:"attempts,omitempty"`
	// RebootedAt is when the last reboot began. It counts for every wave that
	// started before, so that waves that overlap share their reboots.
	RebootedAt time.Time `json:"rebooted_at,omitzero"`
	// GaveUp is when the last drain was given up. Waves that started before pass
	// the instance over; a move is tried again after a pause.
	GaveUp time.Time `json:"gave_up,omitzero"`
	// Lent is true while the instance stands in for a member of its pool and
	// belongs back in the spare pool once it is surplus.
	Lent bool `json:"lent,omitempty"`
	// Reason explains the last change.
	Reason string `json:"reason,omitempty"`
	// Revision is the platform's version of the record that this value was read
	// from.
	Revision uint64 `json:"-"`
}

// Domain returns the failure domain of the instance, "data centre/rack".
func (i *Instance) Domain() string { return i.DataCentre + "/" + i.Rack }

// To returns the record with its next phase. A transition that the state
// machine does not have is a broken invariant.
func (i Instance) To(p Phase, now time.Time, reason string) Instance {
	if !slices.Contains(phaseAfter[i.Phase], p) {
		panic(fmt.Sprintf("instance %s: no transition from %s to %s", i.ID, i.Phase, p))
	}
	i.Phase, i.Since, i.Reason = p, now, reason
	i.Epoch++
	return i
}

// Drain returns the record of the instance that starts to leave service.
func (i Instance) Drain(g Goal, now time.Time, reason string) Instance {
	i.Goal = g
	return i.To(PhaseDraining, now, reason)
}

// Cancel returns the record of a serving instance whose planned stop is given
// up before its drain. The higher epoch makes every older plan fail.
func (i Instance) Cancel(now time.Time, reason string) Instance {
	return i.To(PhaseServing, now, reason)
}

// GiveUp returns the record of an instance that did not finish its drain. It
// goes back to service, so that no request is cut off.
func (i Instance) GiveUp(now time.Time, reason string) Instance {
	i.GaveUp, i.Goal = now, Goal{}
	return i.To(PhaseFilling, now, reason)
}

// Recall returns the record of an instance whose drain was not seen to begin and
// that is needed in service after all.
func (i Instance) Recall(now time.Time, reason string) Instance {
	i.Goal = Goal{}
	return i.To(PhaseFilling, now, reason)
}

// Join returns the record of a moving instance in its new pool. It is the one
// write that changes the pool of an instance that serves.
func (i Instance) Join(now time.Time, reason string) Instance {
	i.Pool, i.Lent = i.Goal.Pool, i.Goal.Lent
	return i.To(PhaseFilling, now, reason)
}

// Fail returns the record of an instance that stopped by itself.
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

// Keep returns the record of an instance on loan that stays in its pool.
func (i Instance) Keep(now time.Time, reason string) Instance {
	i.Lent = false
	return i.To(PhaseServing, now, reason)
}

// Reassign returns the record of a failed instance in another pool. It needs no
// drain, since the instance does not serve.
func (i Instance) Reassign(pool string, now time.Time, reason string) Instance {
	since := i.Since
	i.Pool, i.Lent = pool, false
	next := i.To(PhaseFailed, now, reason)
	next.Since = since
	return next
}

// Reboot returns the record of an instance that is drained or failed and is now
// rebooted.
func (i Instance) Reboot(now time.Time, reason string) Instance {
	i.RebootedAt = now
	return i.To(PhaseRebooting, now, reason)
}

// Refill returns the record of a rebooted instance that fills the given pool. It
// needs no drain, since the instance does not serve yet.
func (i Instance) Refill(pool string, now time.Time, reason string) Instance {
	if pool != i.Pool {
		i.Pool, i.Lent = pool, false
	}
	return i.To(PhaseFilling, now, reason)
}

// Serve returns the record of an instance that was seen healthy after its fill.
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
	// MachineReady means booted and not yet in service.
	MachineReady MachineState = "ready"
	MachineDown  MachineState = "down"
)

// Observed is what the planner last saw of an instance in the platform's list,
// which lags.
type Observed struct {
	ID, DataCentre, Rack string
	// Pool is the platform's label. It follows the record.
	Pool    string
	State   MachineState
	Healthy bool
	// Operation is the highest command number that the platform has taken for
	// the instance. An observation proves the effect of a command only when it
	// carries the command's number.
	Operation uint64
	// Missing is true when the list no longer has the instance.
	Missing bool
	// BadSince is when this planner first saw the instance unhealthy or missing
	// in a row; zero while it is healthy.
	BadSince time.Time
	// IdleSince is the same for an instance that is not in service.
	IdleSince time.Time
}

// Next returns the observation n that follows o, with the times since when the
// instance looks bad carried over.
func (o Observed) Next(n Observed, now time.Time) Observed {
	n.BadSince = since(o.BadSince, n.Missing || !n.Healthy, now)
	n.IdleSince = since(o.IdleSince, n.Missing || n.State != MachineServing, now)
	return n
}

func since(before time.Time, holds bool, now time.Time) time.Time {
	if !holds {
		return time.Time{}
	}
	if before.IsZero() {
		return now
	}
	return before
}

// Up reports whether the instance is seen in service and healthy.
func (o *Observed) Up() bool { return o.BadSince.IsZero() && o.IdleSince.IsZero() }

// Idle reports whether the instance is seen healthy, has no requests and waits to
// be filled.
func (o *Observed) Idle() bool {
	return o.BadSince.IsZero() && (o.State == MachineReady || o.State == MachineDrained)
}

// DownSince returns since when the instance is not up, zero while it is.
func (o *Observed) DownSince() time.Time {
	if o.BadSince.IsZero() || !o.IdleSince.IsZero() && o.IdleSince.Before(o.BadSince) {
		return o.IdleSince
	}
	return o.BadSince
}

// Took reports whether the observation was made after the platform took the
// command with the given number.
func (o *Observed) Took(epoch uint64) bool { return !o.Missing && o.Operation == epoch }

// CommandKind names a command to the platform's machines.
type CommandKind string

// Kinds of commands.
const (
	CommandDrain  CommandKind = "drain"
	CommandReboot CommandKind = "reboot"
	CommandFill   CommandKind = "fill"
)

// Command is one idempotent command to a machine of the platform.
type Command struct {
	Kind     CommandKind
	Instance string
	// Pool is the label that a fill sets.
	Pool string
	// Operation is the epoch of the record that the command follows from.
	Operation uint64
}

// Command returns the command that the phase of the record calls for. A failed
// instance is drained before it is rebooted: the answer to the drain is newer
// than the failure, and shows whether the instance came back meanwhile.
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
