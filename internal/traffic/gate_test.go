package traffic

import (
	"testing"

	"pgregory.net/rapid"
)

// TestTeamsTakeTurns guards against a team with many waiting requests that holds
// up the single request of a small team.
func TestTeamsTakeTurns(t *testing.T) {
	var g gate
	for range 100 {
		g.join(newWaiter("large"))
	}
	small := newWaiter("small")
	g.join(small)
	g.wake()
	g.wake()
	if len(small.woken) != 1 {
		t.Error("the small team was not woken in its turn")
	}
}

// TestGateKeepsEveryWaiter guards against a waiter that is lost or woken twice,
// over random orders of joining, waking, joining again and leaving.
func TestGateKeepsEveryWaiter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var g gate
		queued := map[*waiter]bool{}
		var woken []*waiter
		collect := func() {
			for w := range queued {
				if len(w.woken) > 0 {
					<-w.woken
					delete(queued, w)
					woken = append(woken, w)
				}
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			before := len(queued)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				w := newWaiter(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"))
				if alone := g.join(w); alone != (before == 0) {
					t.Fatalf("alone %v with %d in the queue", alone, before)
				}
				queued[w] = true
			case 1:
				g.wake()
				collect()
				if len(queued) != max(before-1, 0) {
					t.Fatalf("%d in the queue after a wake, %d before", len(queued), before)
				}
			case 2:
				if len(woken) > 0 {
					g.rejoin(woken[0])
					queued[woken[0]] = true
					woken = woken[1:]
				}
			case 3:
				if len(woken) > 0 {
					g.leave(woken[0])
					woken = woken[1:]
					collect()
				}
			}
			if int(g.waiting.Load()) != len(queued) || g.empty() != (len(queued) == 0) {
				t.Fatalf("counted %d, in the queue %d", g.waiting.Load(), len(queued))
			}
		}
	})
}
