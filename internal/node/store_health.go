package node

import (
	"sync"
	"time"
)

const (
	// unreachableAfter is the number of reads without an answer, in succession, after
	// which the store counts as unreachable. Two watches fail about once in 250 ms each
	// while the store cannot be reached, so this takes about a second.
	unreachableAfter = 3
	// minRetryAfter and maxRetryAfter bound the delay after which a refused caller
	// should return.
	minRetryAfter = time.Second
	maxRetryAfter = 5 * time.Second
)

// storeHealth tracks whether the store answers this node. It is safe for concurrent
// use.
type storeHealth struct {
	mu       sync.Mutex
	failures int
	// failingSince is when the first of the failures was seen.
	failingSince time.Time
}

func (h *storeHealth) recordAnswer() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures = 0
}

func (h *storeHealth) recordFailure(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failures == 0 {
		h.failingSince = now
	}
	h.failures++
}

// unreachable reports whether the store is known not to answer. A caller's write is
// then refused at once: the caller reaches another node sooner than this node's
// attempts time out.
func (h *storeHealth) unreachable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failures >= unreachableAfter
}

// retryAfter returns the delay after which a refused caller should return: half of the
// time for which the store has not answered. The first attempts reach another node soon,
// where only this one is cut off; with a store that is down for everybody, a caller's
// few attempts last for several seconds instead of being used up while it is down.
func (h *storeHealth) retryAfter(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failures == 0 {
		return minRetryAfter
	}
	return min(max(now.Sub(h.failingSince)/2, minRetryAfter), maxRetryAfter)
}
