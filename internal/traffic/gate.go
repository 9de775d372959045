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
// their bounds. Each request that ends wakes the first in the queue.
//
// Invariant: while the queue is not empty, a request is running whose end wakes
// the queue, or a woken request has not yet left or joined again. The first in
// the queue keeps this up by looking for a place after it joined.
type gate struct {
	mu      sync.Mutex
	queue   []*waiter
	waiting atomic.Int32
}

// waiter is one request in the queue of a gate.
type waiter struct{ woken chan struct{} }

func newWaiter() *waiter { return &waiter{woken: make(chan struct{}, 1)} }

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

// join adds w at the end and reports whether it is the first.
func (g *gate) join(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue = append(g.queue, w)
	g.waiting.Add(1)
	return len(g.queue) == 1
}

// rejoin puts a woken waiter back at the front, so that it keeps its turn when
// its place was taken meanwhile.
func (g *gate) rejoin(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue = slices.Insert(g.queue, 0, w)
	g.waiting.Add(1)
}

// leave removes w and wakes the next, which may find a place as well.
func (g *gate) leave(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := slices.Index(g.queue, w); i >= 0 {
		g.queue = slices.Delete(g.queue, i, i+1)
		g.waiting.Add(-1)
	}
	g.wakeFirst()
}

// wake wakes the first waiter.
func (g *gate) wake() {
	if g.empty() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wakeFirst()
}

func (g *gate) wakeFirst() {
	if len(g.queue) == 0 {
		return
	}
	w := g.queue[0]
	g.queue = slices.Delete(g.queue, 0, 1)
	g.waiting.Add(-1)
	w.woken <- struct{}{}
}
