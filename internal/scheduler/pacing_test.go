package scheduler

import "testing"

// TestPaceFollowsServingLoad guards against filler tasks that keep a serving task
// over its latency objective, and against filler tasks that never return to full
// speed.
func TestPaceFollowsServingLoad(t *testing.T) {
	for _, c := range []struct {
		pace int
		load float64
		want int
	}{
		{100, 0.5, 100}, {100, 0.7, 100}, {100, 0.9, 75}, {100, 1, 0}, {25, 0.9, 0}, {0, 0.9, 0}, {0, 0.5, 25}, {90, 0.1, 100},
	} {
		if got := nextPace(c.pace, c.load); got != c.want {
			t.Errorf("pace %d at load %.1f changes to %d, want %d", c.pace, c.load, got, c.want)
		}
	}
}
