package scheduler

import (
	"testing"
	"time"
)

// leastDrainBound is the least bound of the users' sites after which nothing may start on
// a worker that drains, or by an old configuration.
const leastDrainBound = 2 * time.Second

// TestNoStartOnOldCopies guards against tasks that start on a worker that drains, in a
// data centre that was taken out, or for a cancelled job, because one part of the local
// copy is so old that it does not show it.
func TestNoStartOnOldCopies(t *testing.T) {
	for part := range partCount {
		s, now := newLoadedScheduler(2, 1, 2)
		later := now.Add(leastDrainBound)
		for other := range s.fresh {
			if Part(other) != part {
				s.fresh[other].RecordRead(later)
			}
		}
		running := func() int {
			n := 0
			for _, w := range s.workers.all() {
				n += len(w.Runs())
			}
			return n
		}
		s.place.roundNeeded = true
		s.stepPlace(later)
		if n := running(); n != 0 {
			t.Errorf("part %d is %v old and %d tasks are placed", part, leastDrainBound, n)
		}
		s.fresh[part].RecordRead(later)
		s.place.roundNeeded, s.place.nextAt = true, time.Time{}
		s.stepPlace(later)
		if running() == 0 {
			t.Errorf("part %d is fresh again and no task is placed", part)
		}
	}
}
