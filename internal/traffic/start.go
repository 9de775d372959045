package traffic

import (
	"context"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// explainTimeout bounds the wait of a refused request for a place in the queue.
const explainTimeout = 100 * time.Millisecond

// mayStart checks a request against a view at the moment before it is sent.
// Between admission and this moment the process may have been paused, the key
// withdrawn or the data centre taken out. It returns nil when the request may
// start in the data centre of e.
func (h *Handler) mayStart(j *job, view *fleet.Snapshot, e machine.Endpoint) *fleet.Refusal {
	refusal := j.authenticate(view)
	if refusal == nil {
		refusal = view.MayStart(j.document, j.idempotent(), e.DataCentre, h.parts.Clock())
	}
	return h.explained(j, refusal)
}

// explained records a refusal for the operators and returns it.
func (h *Handler) explained(j *job, refusal *fleet.Refusal) *fleet.Refusal {
	if refusal == nil {
		return nil
	}
	// A full queue may drop the explanation, never the refusal.
	ctx, cancel := context.WithTimeout(context.Background(), explainTimeout)
	defer cancel()
	_ = h.parts.Control.Send(ctx, fleet.RefusedAtStart{RequestID: j.ID, Service: j.Service, Refusal: refusal})
	return refusal
}
