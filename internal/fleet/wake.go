package fleet

import "time"

// wakeFunc runs the due work of one part of the fleet. To be called again the
// part sets its next due time.
type wakeFunc func(now time.Time) []Action

// wake is the due time of one part; the zero time means none.
type wake struct {
	at  time.Time
	run wakeFunc
}

// wakes holds the due times of the parts of a fleet. The control thread has one
// timer, set to the earliest of them.
type wakes struct{ parts []*wake }

// register adds a part that is not due yet. Parts that are due together run in
// the order of registration.
func (w *wakes) register(run wakeFunc) *wake {
	part := &wake{run: run}
	w.parts = append(w.parts, part)
	return part
}

// next returns the earliest due time, the zero time when nothing is due.
func (w *wakes) next() time.Time {
	var earliest time.Time
	for _, part := range w.parts {
		if !part.at.IsZero() && (earliest.IsZero() || part.at.Before(earliest)) {
			earliest = part.at
		}
	}
	return earliest
}

// set replaces the due time; the zero time cancels it.
func (w *wake) set(at time.Time) { w.at = at }

// setEarlier brings the due time forward to at. A later time has no effect.
func (w *wake) setEarlier(at time.Time) {
	if w.at.IsZero() || at.Before(w.at) {
		w.at = at
	}
}

// Tick runs what is due at now. The control thread calls it at NextWake.
func (f *Fleet) Tick(now time.Time) []Action {
	var actions []Action
	for _, part := range f.wakes.parts {
		if part.at.IsZero() || part.at.After(now) {
			continue
		}
		part.at = time.Time{}
		actions = append(actions, part.run(now)...)
	}
	return actions
}

// NextWake returns the time of the next due Tick; the zero time means none.
func (f *Fleet) NextWake() time.Time { return f.wakes.next() }
