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
	reply := h.replies.Get().(chan fleet.Admission)
	admit := fleet.Admit{
		RequestID: j.ID, Team: j.team, Service: j.Service, NonIdempotent: j.NonIdempotent, Deadline: j.Deadline, Reply: reply,
	}
	if err := h.parts.Control.SendTraffic(ctx, admit); err != nil {
		return &fleet.Refusal{Code: fleet.CodeNotReady, Reason: err.Error(), RetryAfter: time.Second}
	}
	admission := h.await(ctx, reply)
	// Every admission is answered once, so that the channel is empty again.
	h.replies.Put(reply)
	if admission.Refusal != nil {
		return admission.Refusal
	}
	j.admitted, j.startBefore = true, admission.StartBefore
	return nil
}

// readmit asks again for a slot whose admission may not be used any more,
// because the request waited for an endpoint, the process was paused, or the slot
// is still occupied by a lost attempt.
func (h *Handler) readmit(ctx context.Context, j *job) *fleet.Refusal {
	h.release(j)
	if refusal := h.admit(ctx, j); refusal != nil {
		return refusal
	}
	if j.late(h.parts.Clock()) {
		// A second lapse within one step means that the process was paused again
		// or that the hold ends now. Trying on could go round without end.
		return &fleet.Refusal{Code: fleet.CodeNotReady, Reason: "the admission lapsed before it could be used", RetryAfter: time.Second}
	}
	return nil
}

// release gives back the slot, if the request holds one. While an endpoint may go
// on with a lost attempt, the slot stays occupied until the caller's deadline, so
// that a retry or another request does not run above the limit.
func (h *Handler) release(j *job) {
	if !j.admitted {
		return
	}
	release := fleet.Release{Team: j.team, Service: j.Service}
	if j.lost {
		release.Until = j.Deadline
	}
	j.admitted, j.lost = false, false
	_ = h.parts.Control.SendTraffic(context.Background(), release)
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
