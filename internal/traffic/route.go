package traffic

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// reserveEndpoint chooses an endpoint for the next attempt and counts the attempt
// in the endpoint's load. While all endpoints are at their concurrency bounds, it
// waits in the service's queue until the request's deadline. avoid is the id of
// an endpoint to use only when no other has a free place; it may be empty. On
// success the caller must call releaseEndpoint.
func (h *Handler) reserveEndpoint(c *call, avoid string) (machine.Endpoint, *fleet.Refusal) {
	queue := h.waitQueues.forService(c.Service)
	if queue.empty() {
		if e, refusal := h.tryReserve(c, avoid); refusal != nil || e.Load != nil {
			return e, refusal
		}
	}
	waiter := newWaiter(c.team)
	atFront := queue.join(waiter)
	for {
		if atFront {
			e, refusal := h.tryReserve(c, avoid)
			if refusal != nil || e.Load != nil {
				queue.remove(waiter)
				return e, refusal
			}
		}
		if !waiter.wait(c.Deadline.Sub(h.deps.Clock())) {
			queue.remove(waiter)
			reason := "all endpoints of service " + c.Service + " were at their concurrency bounds until the deadline"
			return machine.Endpoint{}, &fleet.Refusal{Code: fleet.CodeOverloaded, Reason: reason, RetryAfter: time.Second}
		}
		queue.requeueFirst(waiter)
		atFront = true
	}
}

// releaseEndpoint ends the reservation of an endpoint and wakes the next request
// that waits for the service.
func (h *Handler) releaseEndpoint(service string, e machine.Endpoint) {
	e.Load.Release()
	h.waitQueues.forService(service).wakeNext()
}

// tryReserve reserves an endpoint from the newest snapshot without waiting. The
// endpoint's Load is nil when all endpoints are at their concurrency bounds. It
// does not reuse the snapshot of the admission, so that no attempt goes to an
// endpoint or a data centre that was taken out of service while the request
// waited.
func (h *Handler) tryReserve(c *call, avoid string) (machine.Endpoint, *fleet.Refusal) {
	if !h.deps.Clock().Before(c.Deadline) {
		return machine.Endpoint{}, deadlineRefusal()
	}
	snapshot := h.deps.Control.Snapshot()
	set := snapshot.Endpoints(c.Service)
	e, ok := h.reserveFromSet(set, avoid)
	if !ok {
		if len(set.Local)+len(set.Remote)+len(set.LastResort) > 0 {
			return machine.Endpoint{}, nil
		}
		refusal := c.authenticate(snapshot)
		if refusal == nil {
			refusal = snapshot.NoEndpointRefusal(c.document, h.deps.Clock())
		}
		return machine.Endpoint{}, h.recordRefusal(c, refusal)
	}
	refusal := h.checkStart(c, snapshot, e)
	if refusal == nil && c.admissionExpired(h.deps.Clock()) {
		refusal = errAdmissionExpired
	}
	if refusal != nil {
		h.releaseEndpoint(c.Service, e)
		return machine.Endpoint{}, refusal
	}
	return e, nil
}

// reserveFromSet reserves an endpoint of the instance's own data centre if it
// can, otherwise one of another data centre. Suspect endpoints are used only when
// the service has no others, not when the others are at their bounds.
func (h *Handler) reserveFromSet(set fleet.EndpointSet, avoid string) (machine.Endpoint, bool) {
	if e, ok := h.reserveFromList(set.Local, avoid); ok {
		return e, true
	}
	if e, ok := h.reserveFromList(set.Remote, avoid); ok {
		return e, true
	}
	if len(set.Local)+len(set.Remote) > 0 {
		return machine.Endpoint{}, false
	}
	return h.reserveFromList(set.LastResort, avoid)
}

// reserveFromList reserves the less loaded of two random endpoints. When both are
// at their bounds it reserves any other, and the endpoint to avoid only when no
// other has a free place.
func (h *Handler) reserveFromList(list []machine.Endpoint, avoid string) (machine.Endpoint, bool) {
	if len(list) == 0 {
		return machine.Endpoint{}, false
	}
	start := h.deps.Random.IntN(len(list))
	first := &list[start]
	if len(list) > 1 {
		second := &list[(start+1+h.deps.Random.IntN(len(list)-1))%len(list)]
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
