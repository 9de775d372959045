package traffic

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// gates holds one gate for each service that has a document.
type gates struct{ byService sync.Map }

func (g *gates) of(service string) *gate {
	if known, ok := g.byService.Load(service); ok {
		return known.(*gate)
	}
	known, _ := g.byService.LoadOrStore(service, new(gate))
	return known.(*gate)
}

// gate is the queue of requests for one service that found all endpoints at
// their bounds. Each request that ends wakes the next in the queue. Teams take
// turns, so that a team with many waiting requests does not hold up the others;
// within a team the order is that of arrival.
//
// Invariant: while the queue is not empty, a request is running whose end wakes
// the queue, or a woken request has not yet left or joined again. The first in
// the queue keeps this up by looking for a place after it joined.
type gate struct {
	mu sync.Mutex
	// teams are those with waiting requests, the next to wake first.
	teams   []*teamQueue
	waiting atomic.Int32
}

type teamQueue struct {
	team    string
	waiters []*waiter
}

// waiter is one request in the queue of a gate.
type waiter struct {
	team  string
	woken chan struct{}
}

func newWaiter(team string) *waiter { return &waiter{team: team, woken: make(chan struct{}, 1)} }

// wait returns true when the waiter was woken and false after d.
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

func (g *gate) empty() bool { return g.waiting.Load() == 0 }

// join adds w at the end of its team and reports whether it is the only one.
func (g *gate) join(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := g.find(w.team)
	if i < 0 {
		g.teams = append(g.teams, &teamQueue{team: w.team})
		i = len(g.teams) - 1
	}
	g.teams[i].waiters = append(g.teams[i].waiters, w)
	return g.waiting.Add(1) == 1
}

// rejoin puts a woken waiter back at the front, so that it keeps its turn when
// its place was taken meanwhile.
func (g *gate) rejoin(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := &teamQueue{team: w.team}
	if i := g.find(w.team); i >= 0 {
		q = g.teams[i]
		g.teams = slices.Delete(g.teams, i, i+1)
	}
	q.waiters = slices.Insert(q.waiters, 0, w)
	g.teams = slices.Insert(g.teams, 0, q)
	g.waiting.Add(1)
}

// leave removes w and wakes the next, which may find a place as well.
func (g *gate) leave(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := g.find(w.team); i >= 0 {
		q := g.teams[i]
		if j := slices.Index(q.waiters, w); j >= 0 {
			q.waiters = slices.Delete(q.waiters, j, j+1)
			g.waiting.Add(-1)
		}
		if len(q.waiters) == 0 {
			g.teams = slices.Delete(g.teams, i, i+1)
		}
	}
	g.wakeFirst()
}

// find returns the index of a team, -1 when none of its requests waits.
func (g *gate) find(team string) int {
	return slices.IndexFunc(g.teams, func(q *teamQueue) bool { return q.team == team })
}

// wake wakes the next waiter.
func (g *gate) wake() {
	if g.empty() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wakeFirst()
}

// wakeFirst takes the first waiter of the team whose turn it is out of the queue
// and wakes it. The team goes to the end.
func (g *gate) wakeFirst() {
	if len(g.teams) == 0 {
		return
	}
	q := g.teams[0]
	g.teams = slices.Delete(g.teams, 0, 1)
	w := q.waiters[0]
	q.waiters = slices.Delete(q.waiters, 0, 1)
	if len(q.waiters) > 0 {
		g.teams = append(g.teams, q)
	}
	g.waiting.Add(-1)
	w.woken <- struct{}{}
}
