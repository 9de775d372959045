package contract

import (
	"container/heap"
	"time"
)

// Bounds of an admission queue, in requests. A waiting request takes about 300
// bytes.
const (
	MaxWaiting        = 4096
	MaxWaitingPerTeam = 512
)

// Waiter is one request that waits for a slot of its team and its service.
type Waiter[T any] struct {
	Team, Service string
	Deadline      time.Time
	Request       T
	// arrival is the number of the waiter in the order of arrival.
	arrival uint64
	// removed is true after Remove. The subqueue may still list the waiter.
	removed  bool
	subqueue *subqueue[T]
	// heapIndex is the waiter's index in the heap of deadlines.
	heapIndex int
}

// AdmissionQueue holds the requests of an entry instance that wait for slots.
// Requests of one team and service are served in the order of arrival, and a
// request never overtakes an earlier one that could start in its place. It is
// not safe for concurrent use.
type AdmissionQueue[T any] struct {
	subqueues map[subqueueKey]*subqueue[T]
	// byLimit holds the subqueues that each limit bounds.
	byLimit map[Ref][]*subqueue[T]
	// waiting is the number of waiting requests of each limit, total that of all.
	waiting map[Ref]int
	total   int
	// lastArrival is the last arrival number assigned.
	lastArrival uint64
	deadlines   deadlineHeap[T]
}

type subqueueKey struct{ team, service string }

// subqueue is the FIFO queue of one team and service.
type subqueue[T any] struct {
	subqueueKey
	// waiters are in order of arrival. Removed ones stay until head or compact
	// drops them.
	waiters []*Waiter[T]
	// waitingCount is the number of waiters that were not removed.
	waitingCount int
}

// NewAdmissionQueue returns an empty queue.
func NewAdmissionQueue[T any]() *AdmissionQueue[T] {
	return &AdmissionQueue[T]{
		subqueues: make(map[subqueueKey]*subqueue[T]),
		byLimit:   make(map[Ref][]*subqueue[T]),
		waiting:   make(map[Ref]int),
	}
}

// Len returns the number of waiting requests.
func (q *AdmissionQueue[T]) Len() int { return q.total }

// Waiting returns the number of requests that wait for a slot of the limit of a
// team or document.
func (q *AdmissionQueue[T]) Waiting(limit Ref) int { return q.waiting[limit] }

// Queued reports whether a request of the team waits for the service.
func (q *AdmissionQueue[T]) Queued(team, service string) bool {
	s := q.subqueues[subqueueKey{team, service}]
	return s != nil && s.waitingCount > 0
}

// Push adds a request and returns its waiter, nil when the queue or the team's
// part of it is full.
func (q *AdmissionQueue[T]) Push(team, service string, deadline time.Time, request T) *Waiter[T] {
	if q.total >= MaxWaiting || q.waiting[teamRef(team)] >= MaxWaitingPerTeam {
		return nil
	}
	q.lastArrival++
	w := &Waiter[T]{Team: team, Service: service, Deadline: deadline, Request: request, arrival: q.lastArrival}
	w.subqueue = q.subqueueFor(subqueueKey{team, service})
	w.subqueue.waiters = append(w.subqueue.waiters, w)
	heap.Push(&q.deadlines, w)
	q.adjustCounts(w, 1)
	return w
}

// subqueueFor returns the subqueue of a team and service, a new one if there is
// none.
func (q *AdmissionQueue[T]) subqueueFor(key subqueueKey) *subqueue[T] {
	if s, ok := q.subqueues[key]; ok {
		return s
	}
	s := &subqueue[T]{subqueueKey: key}
	q.subqueues[key] = s
	for _, ref := range []Ref{teamRef(key.team), serviceRef(key.service)} {
		q.byLimit[ref] = append(q.byLimit[ref], s)
	}
	return s
}

// adjustCounts adds n to all counts of waiting requests that include w.
func (q *AdmissionQueue[T]) adjustCounts(w *Waiter[T], n int) {
	q.total += n
	w.subqueue.waitingCount += n
	q.waiting[teamRef(w.Team)] += n
	q.waiting[serviceRef(w.Service)] += n
}

// Remove removes a request and reports whether it was still waiting.
func (q *AdmissionQueue[T]) Remove(w *Waiter[T]) bool {
	if w.removed {
		return false
	}
	w.removed = true
	q.adjustCounts(w, -1)
	heap.Remove(&q.deadlines, w.heapIndex)
	w.subqueue.compact()
	return true
}

// maxExtraRemoved is by how much the removed requests in a subqueue may
// outnumber the waiting ones before the removed ones are dropped.
const maxExtraRemoved = 64

// compact drops removed requests when there are many, so that cancelled
// requests behind one that still waits do not accumulate.
func (s *subqueue[T]) compact() {
	if len(s.waiters) <= 2*s.waitingCount+maxExtraRemoved {
		return
	}
	kept := make([]*Waiter[T], 0, s.waitingCount)
	for _, w := range s.waiters {
		if !w.removed {
			kept = append(kept, w)
		}
	}
	s.waiters = kept
}

// Next removes and returns the earliest request that waits for a slot of the
// limit, skipping each team and service for which admits returns false. It
// returns nil when there is none.
func (q *AdmissionQueue[T]) Next(limit Ref, admits func(team, service string) bool) *Waiter[T] {
	var first *Waiter[T]
	for _, s := range q.byLimit[limit] {
		w := s.head()
		if w == nil || first != nil && first.arrival < w.arrival || !admits(s.team, s.service) {
			continue
		}
		first = w
	}
	if first != nil {
		q.Remove(first)
	}
	return first
}

// head drops the removed requests at the front and returns the first waiting
// one, nil when there is none.
func (s *subqueue[T]) head() *Waiter[T] {
	for len(s.waiters) > 0 && s.waiters[0].removed {
		s.waiters[0] = nil
		s.waiters = s.waiters[1:]
	}
	if len(s.waiters) == 0 {
		return nil
	}
	return s.waiters[0]
}

// PopExpired removes and returns a request whose deadline has passed, nil when
// there is none.
func (q *AdmissionQueue[T]) PopExpired(now time.Time) *Waiter[T] {
	at := q.NextDeadline()
	if at.IsZero() || now.Before(at) {
		return nil
	}
	w := q.deadlines[0]
	q.Remove(w)
	return w
}

// NextDeadline returns the earliest deadline, the zero time when no request
// waits.
func (q *AdmissionQueue[T]) NextDeadline() time.Time {
	if len(q.deadlines) == 0 {
		return time.Time{}
	}
	return q.deadlines[0].Deadline
}

func teamRef(name string) Ref    { return Ref{Kind: KindTeam, Name: name} }
func serviceRef(name string) Ref { return Ref{Kind: KindDocument, Name: name} }

// deadlineHeap implements heap.Interface, earliest deadline first.
type deadlineHeap[T any] []*Waiter[T]

func (h deadlineHeap[T]) Len() int           { return len(h) }
func (h deadlineHeap[T]) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }

// Swap implements heap.Interface.
func (h deadlineHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *deadlineHeap[T]) Push(x any) {
	w := x.(*Waiter[T])
	w.heapIndex = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *deadlineHeap[T]) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return w
}
