package fleet

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
)

// RenewHold renews the hold of this instance by writing its holder record. The
// result is HoldRenewed, HoldSuperseded or HoldFailed.
type RenewHold struct{ Record contract.HolderRecord }

func (RenewHold) isAction() {}

// ObserveHolders reads the records of all holders. The result is HoldersSeen or
// HoldersFailed.
type ObserveHolders struct{}

func (ObserveHolders) isAction() {}

// ReclaimSlots removes the entries of expired holders from all records of
// limits, and then their holder records. The result is SlotsReclaimed.
type ReclaimSlots struct{ Expired []contract.Holder }

func (ReclaimSlots) isAction() {}

// EndHold deletes the record of this holder after it returned all slots. The
// result is HoldEnded.
type EndHold struct{ Holder contract.Holder }

func (EndHold) isAction() {}

// renewHold starts a renewal when one is due.
func (f *Fleet) renewHold(now time.Time) []Action {
	if f.limits.stopping && f.limits.stopAnswered {
		return nil
	}
	record, due := f.limits.hold.Renew(now)
	if !f.limits.hold.InFlight() && !f.limits.hold.Superseded() {
		f.limits.tickBy(f.limits.hold.NextRenewalAt())
	}
	if !due {
		return nil
	}
	return []Action{RenewHold{Record: record}}
}

// HoldRenewed reports a renewal that is known to have taken effect.
type HoldRenewed struct {
	Written contract.HolderRecord
	// SentAt is when the write was sent.
	SentAt time.Time
}

// Apply implements Event.
func (e HoldRenewed) Apply(f *Fleet, now time.Time) []Action {
	f.limits.failingSince = time.Time{}
	old := f.limits.hold.Holder()
	if f.limits.hold.RecordRenewal(now, e.SentAt, e.Written) {
		f.dropExpiredSlots(now, old)
	}
	f.limits.tickBy(f.limits.hold.NextRenewalAt())
	actions := f.renewHold(now)
	for _, a := range f.limits.ordered {
		actions = append(actions, f.reconcileAllotment(now, a)...)
	}
	return actions
}

// dropExpiredSlots drops all slots that were held under an expired identity.
func (f *Fleet) dropExpiredSlots(now time.Time, old contract.Holder) {
	for _, a := range f.limits.ordered {
		a.RecordHoldExpiry(old)
	}
	f.recordDecision(Decision{
		At: now, Subject: Subject{Kind: SubjectInstance, Name: old.Instance}, Action: "lapse",
		Reason: "the hold expired before a renewal was confirmed; slots are acquired again under a new incarnation",
		Inputs: []Input{{Name: "old", Value: old.String()}, {Name: "new", Value: f.limits.hold.Holder().String()}},
	})
}

// HoldSuperseded reports that a later incarnation of this instance holds slots.
type HoldSuperseded struct{ Found contract.HolderRecord }

// Apply implements Event.
func (e HoldSuperseded) Apply(f *Fleet, now time.Time) []Action {
	f.limits.hold.RecordRefusal()
	f.recordDecision(Decision{
		At: now, Subject: Subject{Kind: SubjectInstance, Name: f.self.ID}, Action: "hold-refused",
		Reason: "a later incarnation of this instance holds slots; this one starts no work after its hold expires",
		Inputs: []Input{{Name: "found", Value: e.Found.Holder.String()}, {Name: "hold_until", Value: f.limits.hold.ValidUntil().Format(time.RFC3339)}},
	})
	return f.reconcileAllAllotments(now)
}

// HoldFailed reports a renewal that failed or whose outcome is unknown.
type HoldFailed struct{}

// Apply implements Event.
func (e HoldFailed) Apply(f *Fleet, now time.Time) []Action {
	f.limits.failingSince = earliest(f.limits.failingSince, now)
	f.limits.hold.RecordFailure(now)
	f.limits.tickBy(f.limits.hold.NextRenewalAt())
	return f.reconcileAllAllotments(now)
}

func (f *Fleet) reconcileAllAllotments(now time.Time) []Action {
	var actions []Action
	for _, a := range f.limits.ordered {
		actions = append(actions, f.reconcileAllotment(now, a)...)
	}
	return actions
}

// observeHolders reads the records of the other holders when that is due.
func (f *Fleet) observeHolders(now time.Time) []Action {
	if f.limits.observeInFlight || f.limits.stopping {
		return nil
	}
	if now.Before(f.limits.observeAt) {
		f.limits.tickBy(f.limits.observeAt)
		return nil
	}
	f.limits.observeInFlight = true
	f.limits.observeAt = now.Add(f.limits.terms.RenewPeriod)
	return []Action{ObserveHolders{}}
}

// HoldersSeen reports one read of all holder records.
type HoldersSeen struct {
	Records []contract.HolderRecord
	// SentAt is when the read was sent.
	SentAt time.Time
}

// Apply implements Event.
func (e HoldersSeen) Apply(f *Fleet, now time.Time) []Action {
	f.limits.failingSince = time.Time{}
	f.limits.observeInFlight = false
	f.limits.tickBy(f.limits.observeAt)
	expired := f.limits.watch.Observe(now, e.SentAt, e.Records)
	expired = f.excludeSelf(expired)
	if len(expired) == 0 || f.limits.reclaimInFlight || f.limits.stopping {
		f.limits.reclaimAt = time.Time{}
		return nil
	}
	if f.limits.reclaimAt.IsZero() {
		wait := time.Duration(f.limits.watch.Rank(f.self.ID, expired)) * f.limits.terms.RenewPeriod
		f.limits.reclaimAt = now.Add(wait)
	}
	if now.Before(f.limits.reclaimAt) {
		return nil
	}
	f.limits.reclaimInFlight = true
	return []Action{ReclaimSlots{Expired: expired}}
}

// excludeSelf returns the list without the current identity of this process.
func (f *Fleet) excludeSelf(list []contract.Holder) []contract.Holder {
	var others []contract.Holder
	for _, h := range list {
		if h != f.limits.hold.Holder() {
			others = append(others, h)
		}
	}
	return others
}

// HoldersFailed reports a failed read of the holder records.
type HoldersFailed struct{}

// Apply implements Event. It discards the earlier observations: a holder expires
// only after uninterrupted reads of an unchanged renewal counter.
func (e HoldersFailed) Apply(f *Fleet, now time.Time) []Action {
	f.limits.failingSince = earliest(f.limits.failingSince, now)
	f.limits.observeInFlight = false
	f.limits.watch.Reset()
	f.limits.tickBy(f.limits.observeAt)
	return nil
}

// SlotsReclaimed reports which holders were removed from all records.
type SlotsReclaimed struct {
	// Reclaimed is empty when the reclaim failed. A later read of the holder
	// records starts another reclaim.
	Reclaimed []contract.Holder
	// Freed is the number of slots that became free.
	Freed int
}

// Apply implements Event.
func (e SlotsReclaimed) Apply(f *Fleet, now time.Time) []Action {
	f.limits.reclaimInFlight = false
	f.limits.reclaimAt = time.Time{}
	f.limits.hold.RemoveFormer(e.Reclaimed)
	for _, h := range e.Reclaimed {
		f.recordDecision(Decision{
			At: now, Subject: Subject{Kind: SubjectInstance, Name: h.Instance}, Action: "reclaim",
			Reason: "its renewal counter did not change for the duration of the hold and the longest lease",
			Inputs: []Input{{Name: "holder", Value: h.String()}, intInput("freed", e.Freed)},
		})
	}
	return nil
}

// ReleaseResult is the answer to ReleaseAllotments.
type ReleaseResult struct {
	// Unreturned is the number of slots that could not be returned because the
	// platform failed or a loan was not returned. Other holders can reclaim them
	// after the hold expires.
	Unreturned int
}

// ReleaseAllotments starts the return of all slots at a planned stop. No request
// is admitted afterwards. Reply receives one answer after running requests have
// finished and all slots are returned, or after the return has failed; it must
// have a free buffer place.
type ReleaseAllotments struct{ Reply chan<- ReleaseResult }

// Apply implements Event.
func (e ReleaseAllotments) Apply(f *Fleet, now time.Time) []Action {
	f.limits.stopping = true
	f.limits.stopReplies = append(f.limits.stopReplies, e.Reply)
	f.refuseAllWaiting(now)
	var actions []Action
	for _, a := range f.limits.ordered {
		actions = append(actions, f.returnLoans(now, a, 0, f.limits.hold.Valid(now))...)
		actions = append(actions, f.planSwap(now, a)...)
	}
	return append(actions, f.finishStop(now)...)
}

// refuseAllWaiting refuses all queued requests at a planned stop.
func (f *Fleet) refuseAllWaiting(now time.Time) {
	for _, w := range f.limits.waiters {
		f.limits.queue.Remove(w)
		f.refuse(now, w.Request, Refusal{Code: CodeNotReady, Reason: "this entry instance is stopping", RetryAfter: minRetryAfter})
	}
}

// stopRetryTimeout is how long a planned stop retries while the platform fails.
// After it, other holders reclaim the slots when the hold has expired.
const stopRetryTimeout = 2 * time.Second

// finishStop ends the hold once all slots are returned. It answers
// ReleaseAllotments early when the slots cannot be returned.
func (f *Fleet) finishStop(now time.Time) []Action {
	if !f.limits.stopping || f.limits.stopAnswered {
		return nil
	}
	unreturned, all := 0, true
	for _, a := range f.limits.ordered {
		if a.Running() > 0 || a.Pending() {
			return nil
		}
		unreturned += a.Granted()
		all = all && a.HoldsNothing()
	}
	since := f.limits.failingSince
	failing := !since.IsZero() && now.Sub(since) >= stopRetryTimeout
	switch {
	case !all && !failing && f.limits.hold.Valid(now):
		return nil
	case !all || len(f.limits.hold.FormerHolders()) > 0:
		// The holder record stays, so that other holders can reclaim the
		// remaining slots.
		f.answerStop(unreturned)
		return nil
	case f.limits.endInFlight:
		return nil
	}
	f.limits.endInFlight = true
	return []Action{EndHold{Holder: f.limits.hold.Holder()}}
}

// HoldEnded reports that the record of this holder was deleted, or that the
// platform failed.
type HoldEnded struct{}

// Apply implements Event.
func (e HoldEnded) Apply(f *Fleet, now time.Time) []Action {
	f.answerStop(0)
	return nil
}

func (f *Fleet) answerStop(unreturned int) {
	f.limits.stopAnswered = true
	for _, reply := range f.limits.stopReplies {
		reply <- ReleaseResult{Unreturned: unreturned}
	}
	f.limits.stopReplies = nil
}
