package node

import "sync/atomic"

// unreachableAfter is the number of calls without an answer, in succession and on any
// connection, after which the store counts as unreachable. Two watches fail about once
// in 250 ms each while the store cannot be reached, so this takes about a second.
const unreachableAfter = 3

// storeHealth tracks whether the store answers this node. It is safe for concurrent
// use.
type storeHealth struct{ failures atomic.Int32 }

func (h *storeHealth) recordAnswer()  { h.failures.Store(0) }
func (h *storeHealth) recordFailure() { h.failures.Add(1) }

// unreachable reports whether the store is known not to answer. A caller's write is
// then refused at once: the caller reaches another node sooner than this node's
// attempts time out.
func (h *storeHealth) unreachable() bool { return h.failures.Load() >= unreachableAfter }
