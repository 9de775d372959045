package traffic

import (
	"context"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
)

// admit acquires a slot for the request from the control thread. While the
// instance waits for more slots, admit blocks until the request's deadline. After
// a nil result the caller must call release, and may send the request until
// call.startBefore.
func (h *Handler) admit(ctx context.Context, c *call) *fleet.Refusal {
	reply := h.admissionReplies.Get().(chan fleet.Admission)
	admit := fleet.Admit{
		RequestID: c.ID, Team: c.team, Service: c.Service, NonIdempotent: c.NonIdempotent, Deadline: c.Deadline, Reply: reply,
	}
	if err := h.deps.Control.SendTraffic(ctx, admit); err != nil {
		return &fleet.Refusal{Code: fleet.CodeNotReady, Reason: err.Error(), RetryAfter: time.Second}
	}
	admission := h.awaitAdmission(ctx, reply)
	// The control thread replies exactly once to each Admit, so the channel is
	// empty again and can be reused.
	h.admissionReplies.Put(reply)
	if admission.Refusal != nil {
		return admission.Refusal
	}
	c.admitted, c.startBefore = true, admission.StartBefore
	return nil
}

// readmit releases the slot and acquires another one. It is needed when the
// admission expired while the request waited for an endpoint or the process was
// paused, and when a lost attempt may still be running under the slot.
func (h *Handler) readmit(ctx context.Context, c *call) *fleet.Refusal {
	h.release(c)
	if refusal := h.admit(ctx, c); refusal != nil {
		return refusal
	}
	if c.admissionExpired(h.deps.Clock()) {
		// A new admission that has already expired means that the process was
		// paused again or that the instance's hold on its slots is expiring.
		// Acquiring another admission could repeat this indefinitely.
		return &fleet.Refusal{Code: fleet.CodeNotReady, Reason: "the admission expired before the request could be sent", RetryAfter: time.Second}
	}
	return nil
}

// release returns the slot of the request, if it has one. After a lost attempt,
// which the endpoint may still be running, the slot stays occupied until the
// request's deadline, so that a retry or another request does not exceed the
// limit.
func (h *Handler) release(c *call) {
	if !c.admitted {
		return
	}
	release := fleet.Release{Team: c.team, Service: c.Service}
	if c.attemptLost {
		release.Until = c.Deadline
	}
	c.admitted, c.attemptLost = false, false
	_ = h.deps.Control.SendTraffic(context.Background(), release)
}

// awaitAdmission returns the control thread's reply to an Admit. When ctx ends
// first, it cancels the Admit and returns the reply that follows: a refusal, or
// an admission that was granted before the cancellation.
func (h *Handler) awaitAdmission(ctx context.Context, reply chan fleet.Admission) fleet.Admission {
	select {
	case admission := <-reply:
		return admission
	case <-ctx.Done():
		_ = h.deps.Control.SendTraffic(context.WithoutCancel(ctx), fleet.CancelAdmit{Reply: reply})
		return <-reply
	}
}

// admissionExpired reports whether the slot must no longer be used at now: other
// instances may have reclaimed it, or its limit may have been lowered.
func (c *call) admissionExpired(now time.Time) bool { return !now.Before(c.startBefore) }
