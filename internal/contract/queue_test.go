package contract

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func admitAll(string, string) bool { return true }

// TestQueueServesInOrder guards against a request that overtakes an earlier one
// of its team and service, is served twice, or is lost.
func TestQueueServesInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewAdmissionQueue[int]()
		last := make(map[subqueueKey]int)
		waiting := make(map[int]*Waiter[int])
		names := []string{"a", "b", "c"}
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				team, service := rapid.SampledFrom(names).Draw(t, "team"), rapid.SampledFrom(names).Draw(t, "service")
				deadline := baseTime.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "deadline")) * time.Second)
				waiting[i] = q.Push(team, service, deadline, i+1)
			case 2:
				w := q.Next(teamRef(rapid.SampledFrom(names).Draw(t, "limit")), admitAll)
				if w == nil {
					continue
				}
				key := subqueueKey{w.Team, w.Service}
				if waiting[w.Request-1] == nil || last[key] > w.Request {
					t.Fatalf("request %d served after request %d", w.Request, last[key])
				}
				last[key] = w.Request
				delete(waiting, w.Request-1)
			case 3:
				for id, w := range waiting {
					if !q.Remove(w) || q.Remove(w) {
						t.Fatal("a waiting request was not removed exactly once")
					}
					delete(waiting, id)
					break
				}
			}
			if q.Len() != len(waiting) {
				t.Fatalf("%d requests waiting, want %d", q.Len(), len(waiting))
			}
		}
	})
}

// TestQueueIsBounded guards against requests that accumulate without bound,
// waiting or cancelled.
func TestQueueIsBounded(t *testing.T) {
	q := NewAdmissionQueue[int]()
	first := q.Push("a", "s", baseTime.Add(time.Hour), 0)
	for i := range MaxWaitingPerTeam - 1 {
		if q.Push("a", "s", baseTime, i) == nil {
			t.Fatalf("refused request %d", i)
		}
	}
	if q.Push("a", "s", baseTime, 0) != nil {
		t.Error("accepted more requests than the bound of a team")
	}
	for w := q.PopExpired(baseTime); w != nil; w = q.PopExpired(baseTime) {
		if w == first {
			t.Fatal("a request expired before its deadline")
		}
	}
	for range 10_000 {
		q.Remove(q.Push("a", "s", baseTime, 0))
	}
	if n := len(first.subqueue.waiters); n > maxExtraRemoved+2 || len(q.deadlines) != 1 {
		t.Errorf("%d requests and %d deadlines kept for one waiting request", n, len(q.deadlines))
	}
}

// TestBlockedServiceDoesNotBlockTeam guards against a service without free
// slots that blocks the requests of the same team for other services.
func TestBlockedServiceDoesNotBlockTeam(t *testing.T) {
	q := NewAdmissionQueue[string]()
	q.Push("a", "blocked", baseTime, "first")
	q.Push("a", "open", baseTime, "second")
	w := q.Next(teamRef("a"), func(_, service string) bool { return service == "open" })
	if w == nil || w.Request != "second" {
		t.Errorf("got waiter %v, want that of the second request", w)
	}
}
