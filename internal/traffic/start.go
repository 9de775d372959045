package traffic

import (
	"context"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// explainTimeout bounds the wait of a refused request for a place in the queue.
const explainTimeout = 100 * time.Millisecond

// mayStart checks a request against the newest snapshot at the moment before it
// is sent. Between admission and this moment the process may have been paused,
// the key withdrawn or the data centre taken out. It returns nil when the
// request may start.
func (h *Handler) mayStart(r Request, e machine.Endpoint) *fleet.Refusal {
	view := h.loop.Snapshot()
	document, _, refusal := authenticate(view, r)
	if refusal == nil {
		refusal = view.MayStart(document, document.Idempotent && !r.NonIdempotent, e.DataCentre, h.clock())
	}
	return h.explained(r, refusal)
}

// explained records a refusal for the operators and returns it.
func (h *Handler) explained(r Request, refusal *fleet.Refusal) *fleet.Refusal {
	if refusal == nil {
		return nil
	}
	// A full queue may drop the explanation, never the refusal.
	ctx, cancel := context.WithTimeout(context.Background(), explainTimeout)
	defer cancel()
	_ = h.loop.Send(ctx, fleet.RefusedAtStart{RequestID: r.ID, Service: r.Service, Refusal: refusal})
	return refusal
}
