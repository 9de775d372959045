package traffic

import (
	"context"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
)

// admit takes a slot for the request. It may wait until the deadline while more
// slots are on their way. When it returns nil, release must follow. The slot may
// be used until job.startBefore.
func (h *Handler) admit(ctx context.Context, j *job) *fleet.Refusal {
	reply := make(chan fleet.Admission, 1)
	admit := fleet.Admit{
		RequestID: j.ID, Team: j.team, Service: j.Service, NonIdempotent: j.NonIdempotent, Deadline: j.Deadline, Reply: reply,
	}
	if err := h.parts.Control.SendTraffic(ctx, admit); err != nil {
		return &fleet.Refusal{Code: fleet.CodeNotReady, Reason: err.Error(), RetryAfter: time.Second}
	}
	admission := h.await(ctx, reply)
	if admission.Refusal != nil {
		return admission.Refusal
	}
	j.admitted, j.startBefore = true, admission.StartBefore
	return nil
}

// readmit asks again for a slot whose admission may not be used any more,
// because the request waited for an endpoint or the process was paused.
func (h *Handler) readmit(ctx context.Context, j *job) *fleet.Refusal {
	h.release(j)
	return h.admit(ctx, j)
}

// release gives back the slot, if the request holds one.
func (h *Handler) release(j *job) {
	if !j.admitted {
		return
	}
	j.admitted = false
	_ = h.parts.Control.SendTraffic(context.Background(), fleet.Release{Team: j.team, Service: j.Service})
}

// await returns the one reply of the control thread. A caller that gives up
// frees its place in the queue.
func (h *Handler) await(ctx context.Context, reply chan fleet.Admission) fleet.Admission {
	select {
	case admission := <-reply:
		return admission
	case <-ctx.Done():
		_ = h.parts.Control.SendTraffic(context.WithoutCancel(ctx), fleet.CancelAdmit{Reply: reply})
		return <-reply
	}
}

// late reports whether the slot may not be used any more at now: others may have
// reclaimed it, or its limit may have been lowered.
func (j *job) late(now time.Time) bool { return !now.Before(j.startBefore) }
