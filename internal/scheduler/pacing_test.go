package scheduler

import "testing"

// TestPaceFollowsTheServingTasks guards against tasks that fill and keep a
// serving task over its objective, and against ones that never get back to
// speed.
func TestPaceFollowsTheServingTasks(t *testing.T) {
	for _, c := range []struct {
		pace int
		load float64
		want int
	}{
		{100, 0.5, 100}, {100, 0.7, 100}, {100, 0.9, 75}, {100, 1, 0}, {25, 0.9, 0}, {0, 0.9, 0}, {0, 0.5, 25}, {90, 0.1, 100},
	} {
		if got := nextPace(c.pace, c.load); got != c.want {
			t.Errorf("pace %d at load %.1f goes to %d, want %d", c.pace, c.load, got, c.want)
		}
	}
}
