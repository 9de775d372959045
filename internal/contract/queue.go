package contract

import (
	"container/heap"
	"time"
)

// Bounds of an admission queue. A waiting request takes about 300 bytes.
const (
	MaxWaiting        = 4096
	MaxWaitingPerTeam = 512
)

// Waiter is one request that waits for a slot of its team and its service.
type Waiter[T any] struct {
	Team, Service string
	Deadline      time.Time
	Request       T
	// place orders the waiters by arrival.
	place uint64
	gone  bool
	lane  *lane[T]
	// index is the place in the heap of deadlines.
	index int
}

// AdmissionQueue holds the requests of an entry instance that wait for slots.
// Requests of one team and service are served in the order of arrival, and a
// request never overtakes an earlier one that could start in its place.
type AdmissionQueue[T any] struct {
	lanes     map[laneKey]*lane[T]
	byLimit   map[Ref][]*lane[T]
	waiting   map[Ref]int
	total     int
	next      uint64
	deadlines deadlineHeap[T]
}

type laneKey struct{ team, service string }

type lane[T any] struct {
	laneKey
	waiters []*Waiter[T]
	live    int
}

// NewAdmissionQueue returns an empty queue.
func NewAdmissionQueue[T any]() *AdmissionQueue[T] {
	return &AdmissionQueue[T]{
		lanes:   make(map[laneKey]*lane[T]),
		byLimit: make(map[Ref][]*lane[T]),
		waiting: make(map[Ref]int),
	}
}

// Len returns the number of waiting requests.
func (q *AdmissionQueue[T]) Len() int { return q.total }

// Waiting returns the number of requests that wait for a slot of the limit.
func (q *AdmissionQueue[T]) Waiting(limit Ref) int { return q.waiting[limit] }

// Queued reports whether a request of the team waits for the service.
func (q *AdmissionQueue[T]) Queued(team, service string) bool {
	l := q.lanes[laneKey{team, service}]
	return l != nil && l.live > 0
}

// Push adds a request, or returns nil when the queue is full.
func (q *AdmissionQueue[T]) Push(team, service string, deadline time.Time, request T) *Waiter[T] {
	if q.total >= MaxWaiting || q.waiting[teamRef(team)] >= MaxWaitingPerTeam {
		return nil
	}
	q.next++
	w := &Waiter[T]{Team: team, Service: service, Deadline: deadline, Request: request, place: q.next}
	w.lane = q.lane(laneKey{team, service})
	w.lane.waiters = append(w.lane.waiters, w)
	heap.Push(&q.deadlines, w)
	q.count(w, 1)
	return w
}

func (q *AdmissionQueue[T]) lane(key laneKey) *lane[T] {
	if l, ok := q.lanes[key]; ok {
		return l
	}
	l := &lane[T]{laneKey: key}
	q.lanes[key] = l
	for _, ref := range []Ref{teamRef(key.team), serviceRef(key.service)} {
		q.byLimit[ref] = append(q.byLimit[ref], l)
	}
	return l
}

func (q *AdmissionQueue[T]) count(w *Waiter[T], n int) {
	q.total += n
	w.lane.live += n
	q.waiting[teamRef(w.Team)] += n
	q.waiting[serviceRef(w.Service)] += n
}

// Remove takes a request out and reports whether it was still waiting.
func (q *AdmissionQueue[T]) Remove(w *Waiter[T]) bool {
	if w.gone {
		return false
	}
	w.gone = true
	q.count(w, -1)
	heap.Remove(&q.deadlines, w.index)
	w.lane.compact()
	return true
}

// compactAbove is the number of removed requests that a lane may hold besides
// as many waiting ones.
const compactAbove = 64

// compact drops removed requests, so that a wave of cancellations behind a
// request that still waits takes no memory.
func (l *lane[T]) compact() {
	if len(l.waiters) <= 2*l.live+compactAbove {
		return
	}
	kept := make([]*Waiter[T], 0, l.live)
	for _, w := range l.waiters {
		if !w.gone {
			kept = append(kept, w)
		}
	}
	l.waiters = kept
}

// Next removes and returns the earliest request that waits for the limit and
// whose team and service pass the check; nil when there is none.
func (q *AdmissionQueue[T]) Next(limit Ref, pass func(team, service string) bool) *Waiter[T] {
	var first *Waiter[T]
	for _, l := range q.byLimit[limit] {
		w := l.head()
		if w == nil || first != nil && first.place < w.place || !pass(l.team, l.service) {
			continue
		}
		first = w
	}
	if first != nil {
		q.Remove(first)
	}
	return first
}

// head drops removed requests and returns the first one that is left.
func (l *lane[T]) head() *Waiter[T] {
	for len(l.waiters) > 0 && l.waiters[0].gone {
		l.waiters[0] = nil
		l.waiters = l.waiters[1:]
	}
	if len(l.waiters) == 0 {
		return nil
	}
	return l.waiters[0]
}

// Expired removes and returns a request whose deadline has passed; nil when
// there is none.
func (q *AdmissionQueue[T]) Expired(now time.Time) *Waiter[T] {
	at := q.NextDeadline()
	if at.IsZero() || now.Before(at) {
		return nil
	}
	w := q.deadlines[0]
	q.Remove(w)
	return w
}

// NextDeadline returns the earliest deadline, the zero time when nothing waits.
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
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *deadlineHeap[T]) Push(x any) {
	w := x.(*Waiter[T])
	w.index = len(*h)
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
