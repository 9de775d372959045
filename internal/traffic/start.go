package traffic

import (
	"context"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// recordRefusalTimeout bounds the wait for a place in the control thread's queue.
const recordRefusalTimeout = 100 * time.Millisecond

// checkStart returns nil when the request may start in the data centre of e,
// otherwise the refusal. It is called directly before each attempt, because since
// the admission the process may have been paused, the key withdrawn or the data
// centre taken out of service.
func (h *Handler) checkStart(c *call, snapshot *fleet.Snapshot, e machine.Endpoint) *fleet.Refusal {
	refusal := c.authenticate(snapshot)
	if refusal == nil {
		refusal = snapshot.CheckStart(c.document, c.idempotent(), e.DataCentre, h.deps.Clock())
	}
	return h.recordRefusal(c, refusal)
}

// recordRefusal queues a refusal for the control thread, where operators can look
// it up with the explain command, and returns it.
func (h *Handler) recordRefusal(c *call, refusal *fleet.Refusal) *fleet.Refusal {
	if refusal == nil {
		return nil
	}
	// When the queue is full, only the record is lost; the caller still gets the
	// refusal.
	ctx, cancel := context.WithTimeout(context.Background(), recordRefusalTimeout)
	defer cancel()
	_ = h.deps.Control.Send(ctx, fleet.RequestRefused{RequestID: c.ID, Service: c.Service, Refusal: refusal})
	return refusal
}
