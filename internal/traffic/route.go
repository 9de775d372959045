package traffic

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// reserve picks an endpoint from the newest view and takes one of its places.
// While all endpoints are at their bounds it waits until the caller's deadline.
// The caller must give the endpoint back.
func (h *Handler) reserve(j *job, avoid string) (machine.Endpoint, *fleet.Refusal) {
	g := h.gates.of(j.Service)
	if g.empty() {
		if e, refusal := h.pick(j, avoid); refusal != nil || e.Load != nil {
			return e, refusal
		}
	}
	w := newWaiter()
	first := g.join(w)
	for {
		if first {
			e, refusal := h.pick(j, avoid)
			if refusal != nil || e.Load != nil {
				g.leave(w)
				return e, refusal
			}
		}
		if !w.wait(j.Deadline.Sub(h.parts.Clock())) {
			g.leave(w)
			reason := "all endpoints of service " + j.Service + " were busy until the deadline"
			return machine.Endpoint{}, &fleet.Refusal{Code: fleet.CodeOverloaded, Reason: reason, RetryAfter: time.Second}
		}
		g.rejoin(w)
		first = true
	}
}

// giveBack frees the place of an endpoint and wakes the next waiting request.
func (h *Handler) giveBack(service string, e machine.Endpoint) {
	e.Load.Release()
	h.gates.of(service).wake()
}

// pick reads the newest view and takes a place at one endpoint. The result has
// no Load when all endpoints are busy. The view is read as late as this, so that
// an endpoint or a data centre that left since gets nothing.
func (h *Handler) pick(j *job, avoid string) (machine.Endpoint, *fleet.Refusal) {
	if !h.parts.Clock().Before(j.Deadline) {
		return machine.Endpoint{}, deadlinePassed()
	}
	view := h.parts.Control.Snapshot()
	set := view.Endpoints(j.Service)
	e, ok := h.pickFromSet(set, avoid)
	if !ok {
		if len(set.Near)+len(set.Far)+len(set.LastResort) > 0 {
			return machine.Endpoint{}, nil
		}
		refusal := j.authenticate(view)
		if refusal == nil {
			refusal = view.NoEndpoint(j.document, h.parts.Clock())
		}
		return machine.Endpoint{}, h.explained(j, refusal)
	}
	refusal := h.mayStart(j, view, e)
	if refusal == nil && j.late(h.parts.Clock()) {
		refusal = errLate
	}
	if refusal != nil {
		h.giveBack(j.Service, e)
		return machine.Endpoint{}, refusal
	}
	return e, nil
}

// pickFromSet prefers the own data centre. Suspect endpoints get a request only
// when there is no other endpoint, not when the others are busy.
func (h *Handler) pickFromSet(set fleet.EndpointSet, avoid string) (machine.Endpoint, bool) {
	if e, ok := h.pickFrom(set.Near, avoid); ok {
		return e, true
	}
	if e, ok := h.pickFrom(set.Far, avoid); ok {
		return e, true
	}
	if len(set.Near)+len(set.Far) > 0 {
		return machine.Endpoint{}, false
	}
	return h.pickFrom(set.LastResort, avoid)
}

// pickFrom takes a place at the less loaded of two random endpoints, at any
// other when both are at their bounds, and at the one to avoid only when no
// other has a place.
func (h *Handler) pickFrom(list []machine.Endpoint, avoid string) (machine.Endpoint, bool) {
	if len(list) == 0 {
		return machine.Endpoint{}, false
	}
	start := h.parts.Random.IntN(len(list))
	first := &list[start]
	if len(list) > 1 {
		second := &list[(start+1+h.parts.Random.IntN(len(list)-1))%len(list)]
		if second.Load.Running() < first.Load.Running() {
			first, second = second, first
		}
		for _, e := range []*machine.Endpoint{first, second} {
			if e.ID != avoid && e.Load.Acquire(e.Bound()) {
				return *e, true
			}
		}
	}
	var avoided *machine.Endpoint
	for i := range list {
		e := &list[(start+i)%len(list)]
		if e.ID == avoid {
			avoided = e
			continue
		}
		if e.Load.Acquire(e.Bound()) {
			return *e, true
		}
	}
	if avoided != nil && avoided.Load.Acquire(avoided.Bound()) {
		return *avoided, true
	}
	return machine.Endpoint{}, false
}
