package fleet

import "time"

// Departure lists what a stopping instance must revoke after it has returned its
// slots.
type Departure struct {
	// Leases are the platform leases that this instance still holds: the planner's
	// lease and the lease of its own member record.
	Leases []uint64
}

// Depart ends the roles of the instance at the end of a planned stop: the
// instance stops planning maintenance, probing peers and renewing its member
// record. Reply must have a free buffer place.
type Depart struct{ Reply chan<- Departure }

// Apply implements Event.
func (e Depart) Apply(f *Fleet, now time.Time) []Action {
	f.departing = true
	var d Departure
	if f.peers.memberLease != 0 {
		d.Leases = append(d.Leases, f.peers.memberLease)
	}
	if f.planner.leaseHeld {
		d.Leases = append(d.Leases, f.planner.lease)
		f.planner.leaseHeld = false
		f.planner.timer.set(time.Time{})
	}
	f.peers.memberTimer.set(time.Time{})
	f.peers.probeTimer.set(time.Time{})
	e.Reply <- d
	return nil
}
