package fleet

import (
	"testing"
	"time"
)

// TestTickRunsOnlyDueTimers guards against a timer that fires early, fires twice
// for one due time, or is lost because another one was due first.
func TestTickRunsOnlyDueTimers(t *testing.T) {
	start := time.Unix(1000, 0)
	f := New(Options{})
	runs := map[string]int{}
	first := f.timers.register(func(time.Time) []Action { runs["first"]++; return nil })
	second := f.timers.register(func(time.Time) []Action { runs["second"]++; return nil })
	first.set(start.Add(2 * time.Second))
	second.set(start.Add(time.Second))
	second.setEarlier(start.Add(3 * time.Second))
	if got := f.NextTick(); !got.Equal(start.Add(time.Second)) {
		t.Fatalf("next tick %v", got)
	}
	f.Tick(start.Add(time.Second))
	f.Tick(start.Add(time.Second))
	if runs["first"] != 0 || runs["second"] != 1 {
		t.Errorf("after 1 s: %v", runs)
	}
	f.Tick(f.NextTick())
	if runs["first"] != 1 || runs["second"] != 1 {
		t.Errorf("after 2 s: %v", runs)
	}
	if !f.NextTick().IsZero() {
		t.Errorf("next tick %v after all timers fired", f.NextTick())
	}
}
