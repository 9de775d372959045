// Package upkeep holds machines, the pools they are in, and waves of
// maintenance. It does no I/O and reads no clock.
package upkeep

import (
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// MachineState is what the platform says of a machine.
type MachineState string

// States of a machine.
const (
	MachineUp     MachineState = "up"
	MachineMoving MachineState = "moving"
	MachineUpkeep MachineState = "upkeep"
	MachineDown   MachineState = "down"
)

// Machine outlives the workers that run on it one after another.
type Machine struct {
	Name, Pool, DataCentre string
	Labels                 []string
	Capacity               machine.Resources
	State                  MachineState
	// Worker is the id of the worker on it, empty for none.
	Worker string
}

// Outlived reports whether a worker that was on the machine has ended for
// certain: another one is on it, or it is being moved or maintained. A machine
// that is only said to be down may be cut off and run on.
func (m Machine) Outlived(workerID string) bool {
	if workerID == "" || m.Worker == workerID {
		return false
	}
	return m.Worker != "" || m.State == MachineMoving || m.State == MachineUpkeep
}

// Refusal of an order for a machine. Nothing was done.
type Refusal string

// Reasons of a refusal.
const (
	// RefusedFence means that a newer holder has given orders.
	RefusedFence Refusal = "fence"
	// RefusedBusy means that the machine is not up or its worker is leaving.
	RefusedBusy Refusal = "busy"
	// RefusedWave means that the machine does not belong to the wave.
	RefusedWave Refusal = "wave"
	// RefusedUnknown means that there is no such machine or the pool does not
	// take it.
	RefusedUnknown Refusal = "unknown"
)

// Order is the operator's request for a wave of upkeep.
type Order struct {
	Wave     int64
	Machines []string
	// AtOnce is how many machines of the wave may be down for upkeep at a time.
	AtOnce   int
	Deadline time.Duration
}

// Phase is what is known of a machine's upkeep in a wave.
type Phase int

// Phases of a machine's upkeep.
const (
	// Waiting machines have had no order.
	Waiting Phase = iota
	// Draining machines get no new work.
	Draining
	// Ordered means that an order was sent and not answered for certain.
	Ordered
	// Down means that upkeep has begun.
	Down
	// Finished means that the machine has been seen up again, or never needs
	// upkeep any more.
	Finished
)

// Member is one machine of a wave.
type Member struct {
	Name  string
	Phase Phase
	// Since is when the phase began.
	Since time.Time
	// Away is true for a waiting member that is down for upkeep, perhaps of another
	// wave: it counts against the cap and not as begun.
	Away bool
	// MissingSince is when the first of the lists was read that all lack the
	// machine, zero if the last one has it.
	MissingSince time.Time
	// InFlight is true while an order is being sent.
	InFlight bool
	// RetryAt delays the next order after a refusal or a lost answer.
	RetryAt time.Time
}

// Wave is the progress of one order.
//
// Invariant: at most AtOnce members are Ordered or Down.
type Wave struct {
	Order
	// SeenAt is when this process learned of the order.
	SeenAt  time.Time
	Members []*Member
	// Announced is the state that operators were told last.
	Announced Announcement
	// Published is the number of begun members in the stored progress.
	Published int
	// Publishing is true while the state is being written; RetryAt delays the next
	// write.
	Publishing bool
	RetryAt    time.Time
}

// Announcement is what operators were told of a wave.
type Announcement int

// Announcements of a wave.
const (
	Unannounced Announcement = iota
	AnnouncedRunning
	AnnouncedCompleted
)

// NewWave returns a wave without progress.
func NewWave(o Order, now time.Time) *Wave {
	w := &Wave{Order: o, SeenAt: now}
	for _, name := range o.Machines {
		w.Members = append(w.Members, &Member{Name: name})
	}
	return w
}

// Reset forgets what only the scheduler knows. What began is kept: it is also
// in the store.
func (w *Wave) Reset() {
	for _, m := range w.Members {
		m.InFlight = false
		if m.Phase == Draining || m.Phase == Ordered {
			m.Phase = Waiting
		}
	}
	w.Publishing = false
}

// Begun returns the members whose upkeep has begun for certain.
func (w *Wave) Begun() []string {
	var names []string
	for _, m := range w.Members {
		if m.Phase >= Down {
			names = append(names, m.Name)
		}
	}
	return names
}

// Began takes over stored progress.
func (w *Wave) Began(names []string, now time.Time) {
	for _, m := range w.Members {
		if m.Phase < Down && slices.Contains(names, m.Name) {
			m.Phase, m.Since = Down, now
		}
	}
	w.Published = max(w.Published, len(names))
}

// Busy returns how many members may be down.
func (w *Wave) Busy() int {
	n := 0
	for _, m := range w.Members {
		if m.Phase == Ordered || m.Phase == Down || m.Away {
			n++
		}
	}
	return n
}

// Count returns how many members are in a phase.
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
func (w *Wave) Complete() bool { return len(w.Begun()) == len(w.Members) }

// goneAfter is how long every list must lack a machine that is gone. The pages
// of a list are no snapshot: one may skip a machine while others move.
const goneAfter = 2500 * time.Millisecond

// Missed notes that the list read at listedAt lacks the machine, and reports
// whether it is gone.
func (m *Member) Missed(listedAt time.Time) bool {
	if m.MissingSince.IsZero() {
		m.MissingSince = listedAt
	}
	return listedAt.Sub(m.MissingSince) >= goneAfter
}

// Enter moves a member to a phase.
func (m *Member) Enter(p Phase, now time.Time) {
	m.Phase, m.Since = p, now
}

// Pace returns how many members have to be in work at a time to meet the
// deadline, when each takes cycle and reserve is kept at the end.
func (w *Wave) Pace(now time.Time, cycle, reserve time.Duration) int {
	left := w.SeenAt.Add(w.Deadline - reserve).Sub(now)
	open := len(w.Members) - w.Count(Finished)
	if left <= cycle {
		return w.AtOnce
	}
	rounds := int(left / cycle)
	return min(w.AtOnce, (open+rounds-1)/rounds)
}
