package fleet

import "time"

// timerFunc runs the due work of one part of the fleet. The due time is cleared
// before the call; the part sets it again for another call.
type timerFunc func(now time.Time) []Action

// timer is the timer of one part of the fleet. It is not due while at is zero.
type timer struct {
	at  time.Time
	run timerFunc
}

// timers holds the timers of the parts of a fleet. The control thread waits for
// the earliest of them.
type timers struct{ list []*timer }

// register adds a timer that is not due. Timers that are due together run in the
// order of registration.
func (ts *timers) register(run timerFunc) *timer {
	t := &timer{run: run}
	ts.list = append(ts.list, t)
	return t
}

// next returns the earliest due time, the zero time when there is none.
func (ts *timers) next() time.Time {
	var earliest time.Time
	for _, t := range ts.list {
		if !t.at.IsZero() && (earliest.IsZero() || t.at.Before(earliest)) {
			earliest = t.at
		}
	}
	return earliest
}

// set replaces the due time. The zero time stops the timer.
func (t *timer) set(at time.Time) { t.at = at }

// setEarlier sets the due time to at, unless the timer is due before that.
func (t *timer) setEarlier(at time.Time) {
	if t.at.IsZero() || at.Before(t.at) {
		t.at = at
	}
}

// Tick runs the work that is due at now. The control thread calls it at
// NextTick.
func (f *Fleet) Tick(now time.Time) []Action {
	var actions []Action
	for _, t := range f.timers.list {
		if t.at.IsZero() || t.at.After(now) {
			continue
		}
		t.at = time.Time{}
		actions = append(actions, t.run(now)...)
	}
	return actions
}

// NextTick returns when the next Tick is due, the zero time when none is.
func (f *Fleet) NextTick() time.Time {
	f.setTaskTimer()
	return f.timers.next()
}
