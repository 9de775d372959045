package traffic

import (
	"context"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
)

// admit takes a slot for the request. It may wait until the deadline while more
// slots are on their way. When it returns nil, release must follow.
func (h *Handler) admit(ctx context.Context, team string, r Request) *fleet.Refusal {
	reply := make(chan fleet.Admission, 1)
	admit := fleet.Admit{
		RequestID: r.ID, Team: team, Service: r.Service, NonIdempotent: r.NonIdempotent, Deadline: r.Deadline, Reply: reply,
	}
	if err := h.loop.SendTraffic(ctx, admit); err != nil {
		return &fleet.Refusal{Code: fleet.CodeNotReady, Reason: err.Error(), RetryAfter: time.Second}
	}
	admission := h.await(ctx, reply)
	if admission.Refusal != nil {
		return admission.Refusal
	}
	if late(admission, h.clock()) {
		h.release(team, r.Service)
		return &fleet.Refusal{Code: fleet.CodeNotReady, Reason: "the process was paused after it admitted the request", RetryAfter: time.Second}
	}
	return nil
}

// await returns the one reply of the control thread. A caller that gives up
// frees its place in the queue.
func (h *Handler) await(ctx context.Context, reply chan fleet.Admission) fleet.Admission {
	select {
	case admission := <-reply:
		return admission
	case <-ctx.Done():
		_ = h.loop.SendTraffic(context.WithoutCancel(ctx), fleet.CancelAdmit{Reply: reply})
		return <-reply
	}
}

// late reports whether the slot may not be used any more: the process was paused
// after the admission, and others may have reclaimed the slot.
func late(a fleet.Admission, now time.Time) bool { return !now.Before(a.StartBefore) }
