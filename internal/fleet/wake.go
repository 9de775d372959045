package fleet

import "time"

// wakeFunc runs the due work of one part of the fleet. The due time is cleared
// before the call; the part sets it again for another call.
type wakeFunc func(now time.Time) []Action

// wake is the timer of one part of the fleet. It is not due while at is zero.
type wake struct {
	at  time.Time
	run wakeFunc
}

// wakes holds the timers of the parts of a fleet. The control thread waits for
// the earliest of them.
type wakes struct{ parts []*wake }

// register adds a timer that is not due. Timers that are due together run in the
// order of registration.
func (w *wakes) register(run wakeFunc) *wake {
	part := &wake{run: run}
	w.parts = append(w.parts, part)
	return part
}

// next returns the earliest due time, the zero time when there is none.
func (w *wakes) next() time.Time {
	var earliest time.Time
	for _, part := range w.parts {
		if !part.at.IsZero() && (earliest.IsZero() || part.at.Before(earliest)) {
			earliest = part.at
		}
	}
	return earliest
}

// set replaces the due time. The zero time stops the timer.
func (w *wake) set(at time.Time) { w.at = at }

// setEarlier moves the due time forward to at. It has no effect when the timer is
// due earlier.
func (w *wake) setEarlier(at time.Time) {
	if w.at.IsZero() || at.Before(w.at) {
		w.at = at
	}
}

// Tick runs the work that is due at now. The control thread calls it at
// NextWake.
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

// NextWake returns when the next Tick is due, the zero time when none is.
func (f *Fleet) NextWake() time.Time {
	f.armTasks()
	return f.wakes.next()
}
