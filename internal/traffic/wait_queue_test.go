package traffic

import (
	"testing"

	"pgregory.net/rapid"
)

// TestTeamsTakeTurns guards against starvation: a team with many waiting requests
// must not delay the single request of another team beyond its turn.
func TestTeamsTakeTurns(t *testing.T) {
	var q waitQueue
	for range 100 {
		q.join(newWaiter("large"))
	}
	small := newWaiter("small")
	q.join(small)
	q.wakeNext()
	q.wakeNext()
	if len(small.woken) != 1 {
		t.Error("the request of the small team was not woken in its turn")
	}
}

// TestWaitQueueKeepsEveryWaiter guards against waiters that are lost or woken
// twice, over random sequences of join, wakeNext, requeueFirst and remove.
func TestWaitQueueKeepsEveryWaiter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q waitQueue
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
				if wasEmpty := q.join(w); wasEmpty != (before == 0) {
					t.Fatalf("join reported an empty queue: %v, with %d waiters queued", wasEmpty, before)
				}
				queued[w] = true
			case 1:
				q.wakeNext()
				collect()
				if len(queued) != max(before-1, 0) {
					t.Fatalf("%d waiters queued after wakeNext, %d before", len(queued), before)
				}
			case 2:
				if len(woken) > 0 {
					q.requeueFirst(woken[0])
					queued[woken[0]] = true
					woken = woken[1:]
				}
			case 3:
				if len(woken) > 0 {
					q.remove(woken[0])
					woken = woken[1:]
					collect()
				}
			}
			if int(q.waiting.Load()) != len(queued) || q.empty() != (len(queued) == 0) {
				t.Fatalf("queue counts %d waiters, %d are queued", q.waiting.Load(), len(queued))
			}
		}
	})
}
