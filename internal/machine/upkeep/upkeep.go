// Package upkeep models machines, the pools they belong to, and waves of
// maintenance. It does no I/O and reads no clock.
package upkeep

import (
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// MachineState is the state of a machine as the platform reports it.
type MachineState string

// States of a machine.
const (
	MachineUp     MachineState = "up"
	MachineMoving MachineState = "moving"
	MachineUpkeep MachineState = "upkeep"
	MachineDown   MachineState = "down"
)

// Machine is a physical machine. Different workers run on it over time.
type Machine struct {
	Name, Pool, DataCentre string
	Labels                 []string
	Capacity               machine.Resources
	State                  MachineState
	// Worker is the id of the worker that runs on the machine, empty for none.
	Worker string
}

// Rack returns the last label if the machine has at least two, else an empty string, as
// worker.Worker.Rack does.
func (m Machine) Rack() string {
	if len(m.Labels) < 2 {
		return ""
	}
	return m.Labels[len(m.Labels)-1]
}

// WorkerEnded reports whether the worker that ran on the machine is known to
// have ended: another worker runs there, or the machine is being moved or
// maintained. A machine that is only reported as down may be partitioned and
// still run its worker.
func (m Machine) WorkerEnded(workerID string) bool {
	if workerID == "" || m.Worker == workerID {
		return false
	}
	return m.Worker != "" || m.State == MachineMoving || m.State == MachineUpkeep
}

// Refusal is the reason why an order for a machine was rejected. The order had
// no effect.
type Refusal string

// Reasons of a refusal.
const (
	// RefusedFence means that an order with a higher fence was received before.
	RefusedFence Refusal = "fence"
	// RefusedBusy means that the machine is not up or its worker is leaving.
	RefusedBusy Refusal = "busy"
	// RefusedWave means that the machine does not belong to the wave.
	RefusedWave Refusal = "wave"
	// RefusedUnknown means that the machine does not exist or that the pool
	// does not accept it.
	RefusedUnknown Refusal = "unknown"
)

// Order is an operator's order for a wave of upkeep.
type Order struct {
	Wave     int64
	Machines []string
	// MaxConcurrent is the maximum number of machines of the wave that are down
	// for upkeep at the same time.
	MaxConcurrent int
	Deadline      time.Duration
}

// Phase is the known progress of a machine's upkeep in a wave.
type Phase int

// Phases of a machine's upkeep.
const (
	// Waiting means that no order was sent.
	Waiting Phase = iota
	// Draining means that the machine gets no new work.
	Draining
	// Ordered means that an order was sent and its result is not known.
	Ordered
	// Down means that upkeep has begun.
	Down
	// Finished means that the machine was up again after its upkeep, or that it
	// was removed and needs no upkeep.
	Finished
)

// Member is one machine of a wave.
type Member struct {
	Name  string
	Phase Phase
	// Since is when the phase began.
	Since time.Time
	// MaybeDown is true for a waiting member that is or may be down for upkeep,
	// for example of another wave. It counts against MaxConcurrent but not as
	// begun.
	MaybeDown bool
	// MissingSince is the time of the first of the consecutive lists that lack
	// the machine, zero if the last list contains it.
	MissingSince time.Time
	// InFlight is true while an order is being sent.
	InFlight bool
	// OrderSent means that an order was sent since the member entered its phase, so that
	// its upkeep may begin at any time.
	OrderSent bool
	// RetryAt is the earliest time of the next order after a refusal or an
	// unanswered order.
	RetryAt time.Time
}

// Wave is an order with its progress.
//
// Invariant: at most MaxConcurrent members are Ordered or Down.
type Wave struct {
	Order
	// SeenAt is when this process first read the order.
	SeenAt  time.Time
	Members []*Member
	// Announced is the state of the wave that was last published to operators.
	Announced Announcement
	// PublishedBegun is the number of begun members in the stored progress.
	PublishedBegun int
	// Revision is the revision of the stored progress, 0 if there is none.
	Revision int64
	// Publishing is true while the state is being written. RetryAt is the
	// earliest time of the next write.
	Publishing bool
	RetryAt    time.Time
}

// Announcement is a state of a wave that is published to operators.
type Announcement int

// Announcements of a wave.
const (
	Unannounced Announcement = iota
	AnnouncedRunning
	AnnouncedCompleted
)

// NewWave returns a wave without progress. Now is when the order was read.
func NewWave(o Order, now time.Time) *Wave {
	w := &Wave{Order: o, SeenAt: now}
	for _, name := range o.Machines {
		w.Members = append(w.Members, &Member{Name: name})
	}
	return w
}

// Reset discards the progress that was known only to the previous scheduler.
// Members whose upkeep has begun keep their phase, since that progress is also
// stored. No lists of machines are read until the next term.
func (w *Wave) Reset() {
	for _, m := range w.Members {
		m.InFlight, m.MissingSince = false, time.Time{}
		if m.Phase == Draining || m.Phase == Ordered {
			m.Phase, m.OrderSent = Waiting, false
		}
	}
	w.Publishing = false
}

// BegunMembers returns the names of the members whose upkeep is known to have
// begun.
func (w *Wave) BegunMembers() []string {
	var names []string
	for _, m := range w.Members {
		if m.Phase >= Down {
			names = append(names, m.Name)
		}
	}
	return names
}

// MergeBegun merges stored progress: the upkeep of the named members has begun.
func (w *Wave) MergeBegun(names []string, now time.Time) {
	for _, m := range w.Members {
		if m.Phase < Down && slices.Contains(names, m.Name) {
			m.Phase, m.Since = Down, now
		}
	}
	w.PublishedBegun = max(w.PublishedBegun, len(names))
}

// BusyCount returns the number of members that may be down.
func (w *Wave) BusyCount() int {
	n := 0
	for _, m := range w.Members {
		if m.Phase == Ordered || m.Phase == Down || m.MaybeDown {
			n++
		}
	}
	return n
}

// Count returns the number of members in a phase.
func (w *Wave) Count(p Phase) int {
	n := 0
	for _, m := range w.Members {
		if m.Phase == p {
			n++
		}
	}
	return n
}

// Complete reports whether the upkeep of every member has begun.
func (w *Wave) Complete() bool { return len(w.BegunMembers()) == len(w.Members) }

// removalDelay is how long every list must lack a machine before it counts as
// removed. The pages of a list are no snapshot: a page may skip a machine while
// others change their position.
const removalDelay = 2500 * time.Millisecond

// RecordMissing records that the list read at listedAt lacks the machine, and
// reports whether the machine counts as removed.
func (m *Member) RecordMissing(listedAt time.Time) bool {
	if m.MissingSince.IsZero() {
		m.MissingSince = listedAt
	}
	return listedAt.Sub(m.MissingSince) >= removalDelay
}

// EnterPhase sets the phase of the member and the time when it began.
func (m *Member) EnterPhase(p Phase, now time.Time) {
	m.Phase, m.Since, m.OrderSent = p, now, false
}

// RequiredConcurrency returns the number of members that must be in progress at
// the same time to finish reserve before the deadline, if each member takes
// cycle. It is at most MaxConcurrent.
func (w *Wave) RequiredConcurrency(now time.Time, cycle, reserve time.Duration) int {
	remaining := w.SeenAt.Add(w.Deadline - reserve).Sub(now)
	unfinished := len(w.Members) - w.Count(Finished)
	if remaining <= cycle {
		return w.MaxConcurrent
	}
	rounds := int(remaining / cycle)
	return min(w.MaxConcurrent, (unfinished+rounds-1)/rounds)
}
