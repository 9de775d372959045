package traffic

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// waitQueues holds one waitQueue for each service. It is safe for concurrent
// use.
type waitQueues struct{ byService sync.Map }

// forService returns the queue of a service and creates it on first use.
func (q *waitQueues) forService(service string) *waitQueue {
	if value, ok := q.byService.Load(service); ok {
		return value.(*waitQueue)
	}
	value, _ := q.byService.LoadOrStore(service, new(waitQueue))
	return value.(*waitQueue)
}

// waitQueue queues the requests for one service while all its endpoints are at
// their concurrency bounds. Each attempt that ends wakes the next request. Teams
// are served round robin, so that a team with many waiting requests does not
// delay the others; within a team the order is first in, first out. It is safe
// for concurrent use.
//
// Invariant: while the queue is not empty, either an endpoint is reserved whose
// release will wake the next waiter, or a woken waiter has not yet been removed
// or requeued. To maintain this, the waiter that joins an empty queue tries once
// more to reserve an endpoint.
type waitQueue struct {
	mu sync.Mutex
	// teams are the teams with waiting requests, in the order of their turns.
	teams []*teamQueue
	// waiting is the number of queued waiters. It is read without the lock.
	waiting atomic.Int32
}

// teamQueue holds the waiters of one team in order of arrival.
type teamQueue struct {
	team    string
	waiters []*waiter
}

// waiter is one request in a waitQueue.
type waiter struct {
	team string
	// woken has a buffer of one, so that a wake-up does not block.
	woken chan struct{}
}

func newWaiter(team string) *waiter { return &waiter{team: team, woken: make(chan struct{}, 1)} }

// wait blocks until the waiter is woken or d has passed, and reports whether it
// was woken.
func (w *waiter) wait(d time.Duration) bool {
	if d <= 0 {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-w.woken:
		return true
	case <-timer.C:
		return false
	}
}

func (q *waitQueue) empty() bool { return q.waiting.Load() == 0 }

// join adds w behind the other waiters of its team and reports whether the queue
// was empty before.
func (q *waitQueue) join(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := q.teamIndex(w.team)
	if i < 0 {
		q.teams = append(q.teams, &teamQueue{team: w.team})
		i = len(q.teams) - 1
	}
	q.teams[i].waiters = append(q.teams[i].waiters, w)
	return q.waiting.Add(1) == 1
}

// requeueFirst puts a woken waiter back at the front of the queue, so that it
// keeps its turn when another request has reserved the free endpoint first.
func (q *waitQueue) requeueFirst(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	tq := &teamQueue{team: w.team}
	if i := q.teamIndex(w.team); i >= 0 {
		tq = q.teams[i]
		q.teams = slices.Delete(q.teams, i, i+1)
	}
	tq.waiters = slices.Insert(tq.waiters, 0, w)
	q.teams = slices.Insert(q.teams, 0, tq)
	q.waiting.Add(1)
}

// remove removes w from the queue, if it is still queued, and wakes the next
// waiter: more than one place may be free, and a waiter that timed out may have
// consumed a wake-up.
func (q *waitQueue) remove(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := q.teamIndex(w.team); i >= 0 {
		tq := q.teams[i]
		if j := slices.Index(tq.waiters, w); j >= 0 {
			tq.waiters = slices.Delete(tq.waiters, j, j+1)
			q.waiting.Add(-1)
		}
		if len(tq.waiters) == 0 {
			q.teams = slices.Delete(q.teams, i, i+1)
		}
	}
	q.wakeNextLocked()
}

// teamIndex returns the index of a team in q.teams, or -1 when none of its
// requests waits. The caller must hold q.mu.
func (q *waitQueue) teamIndex(name string) int {
	return slices.IndexFunc(q.teams, func(t *teamQueue) bool { return t.team == name })
}

// wakeNext wakes the first waiter of the team whose turn it is, if any.
func (q *waitQueue) wakeNext() {
	if q.empty() {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wakeNextLocked()
}

// wakeNextLocked removes the first waiter of the team whose turn it is from the
// queue and wakes it. The team moves to the end of the turn order. The caller
// must hold q.mu.
func (q *waitQueue) wakeNextLocked() {
	if len(q.teams) == 0 {
		return
	}
	tq := q.teams[0]
	q.teams = slices.Delete(q.teams, 0, 1)
	w := tq.waiters[0]
	tq.waiters = slices.Delete(tq.waiters, 0, 1)
	if len(tq.waiters) > 0 {
		q.teams = append(q.teams, tq)
	}
	q.waiting.Add(-1)
	w.woken <- struct{}{}
}
