package scheduler

import (
	"hash/fnv"
	"time"
)

// A node with little processor time may acquire the lease while all stronger nodes are
// down, frozen or cut off. It cannot schedule a large fleet in time, so it hands the
// lease over when a stronger node asks for it.

const (
	// handoverDelay is how long a scheduler has held the lease when a stronger node
	// asks for it.
	handoverDelay = 2 * time.Second
	// handoverJitter spreads the requests of the stronger nodes, so that usually one
	// of them asks.
	handoverJitter = time.Second
	// handoverRetryDelay is the delay before a request is repeated.
	handoverRetryDelay = 3 * time.Second
)

// RequestHandover asks the holder of the lease to hand it over. It has no result of its
// own: the holder reads the request as HandoverRead and releases the lease.
type RequestHandover struct{ Fence int64 }

func (RequestHandover) isAction() {}

// HandoverRead carries the stored request to the holder with the fencing token Fence.
type HandoverRead struct{ Fence int64 }

func (c HandoverRead) apply(s *Scheduler, now time.Time) {
	e := &s.election
	e.handoverAsked = max(e.handoverAsked, c.Fence)
	a := e.authority
	if !a.Held() || a.Fence != c.Fence || s.options.CPUShare >= sufficientCPUShare {
		return
	}
	s.stepDown("a node with more processor time asks for the lease", now)
	e.yieldUntil = now.Add(minYield)
	s.act(ReleaseLease{a.LeaseID, a.Fence, a.Epoch})
}

// stepHandover asks a holder with little processor time for the lease if this node has
// enough.
func (s *Scheduler) stepHandover(now time.Time) {
	e := &s.election
	h := e.holder
	weak := h.CPUShare > 0 && h.CPUShare < sufficientCPUShare
	if h.Fence == 0 || !weak || s.options.CPUShare < sufficientCPUShare || e.stopping || e.handoverAsked >= h.Fence {
		return
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(s.options.NodeName))
	at := laterOf(e.holderSeenAt.Add(handoverDelay+handoverJitter*time.Duration(hash.Sum32()%100)/100), laterOf(e.handoverAt, e.yieldUntil))
	if now.Before(at) {
		s.requestTick(at)
		return
	}
	if s.fresh[JobsPart].Age(now) > MaxCopyAge || s.fresh[OperatorPart].Age(now) > MaxCopyAge {
		s.requestTick(now.Add(handoverRetryDelay))
		e.handoverAt = now.Add(handoverRetryDelay)
		return
	}
	e.handoverAt = now.Add(handoverRetryDelay)
	s.act(RequestHandover{Fence: h.Fence})
}
