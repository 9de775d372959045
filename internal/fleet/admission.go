package fleet

import (
	"fmt"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
)

// Refusal codes. A refusal always means that the work did not run.
const (
	CodeNotReady           = "not-ready"
	CodeUnknownService     = "unknown-service"
	CodeKeyRefused         = "key-refused"
	CodeUpperLimit         = "upper-limit"
	CodeNoEndpoint         = "no-endpoint"
	CodeDeadline           = "deadline"
	CodeBadRequest         = "bad-request"
	CodeOverloaded         = "overloaded"
	CodeStaleConfiguration = "stale-configuration"
	// CodePlatformUnavailable means that the claim of an idempotency key failed
	// because the platform is unreachable.
	CodePlatformUnavailable = "platform-unavailable"
	// CodeIdempotencyKeyReused means that an idempotency key was used with
	// another body.
	CodeIdempotencyKeyReused = "idempotency-key-reused"
	// CodeTicketRefused means that a ticket is forged or belongs to another
	// team.
	CodeTicketRefused = "ticket-refused"
	// CodeFirstNotRun means that the call was a repeat of one that did not run.
	CodeFirstNotRun = "first-not-run"
)

// Refusal is the reason why work did not run.
type Refusal struct {
	Code   string `json:"code"`
	Reason string `json:"reason"`
	// RetryAfter is the delay after which a retry may succeed; 0 means that no
	// retry can succeed.
	RetryAfter time.Duration `json:"-"`
}

// Admission is the answer to Admit. Every Admit gets exactly one.
type Admission struct {
	// Refusal is nil when the work may start.
	Refusal *Refusal
	// StartBefore is the time after which the work must not be sent. The sender
	// checks it against the clock immediately before it sends, because the
	// process may have been paused after the admission.
	StartBefore time.Time
}

// admissionValidity is how long an admission is valid. A process that was
// paused for longer must ask again, because the limit may have been lowered
// meanwhile.
const admissionValidity = 2 * time.Second

// Admit acquires one slot of a team, and one of the service if it has a bound,
// before a request is sent. While a swap or a loan may bring more slots, the
// request waits in the queue until Deadline. Reply must have a free buffer place,
// since the control thread does not block.
type Admit struct {
	// RequestID is the subject of the decisions on the request.
	RequestID string
	Team      string
	Service   string
	// NonIdempotent is true when the caller declares the request as not
	// idempotent, whatever the document of the service declares.
	NonIdempotent bool
	// Deadline ends the wait for a slot. The caller must end the run by then.
	Deadline time.Time
	Reply    chan<- Admission
}

// Apply implements Event.
func (e Admit) Apply(f *Fleet, now time.Time) []Action {
	if refusal := f.checkService(e.RequestID, e.Service, e.NonIdempotent, now); refusal != nil {
		e.Reply <- Admission{Refusal: refusal}
		return nil
	}
	if longest := f.limits.terms.MaxWorkDuration; e.Deadline.Sub(now) > longest {
		f.refuse(now, e, Refusal{Code: CodeBadRequest, Reason: "the deadline is further away than the longest lease of " + longest.String()})
		return nil
	}
	actions := f.refreshLimits(now)
	team, service := f.limits.allotmentsOf(f, e.Team, e.Service)
	if !f.limits.queue.Queued(e.Team, e.Service) && f.admit(now, e, team, service) {
		return append(actions, f.prefetch(now, team, service)...)
	}
	return append(actions, f.enqueue(now, e, team, service)...)
}

// CancelAdmit withdraws an Admit. If the request is still queued, its place in
// the queue becomes free and it is refused; otherwise there is no effect.
type CancelAdmit struct{ Reply chan<- Admission }

// Apply implements Event.
func (e CancelAdmit) Apply(f *Fleet, now time.Time) []Action {
	w, ok := f.limits.waiters[e.Reply]
	if !ok {
		return nil
	}
	f.limits.queue.Remove(w)
	f.refuse(now, w.Request, Refusal{Code: CodeDeadline, Reason: "the caller cancelled the request while it waited for a slot"})
	return nil
}

// Release releases the slot of a finished request.
type Release struct {
	Team    string
	Service string
	// Until delays the release while an endpoint may still run a request whose
	// outcome is unknown. The zero time releases the slot immediately.
	Until time.Time
}

// Apply implements Event.
func (e Release) Apply(f *Fleet, now time.Time) []Action {
	if now.Before(e.Until) {
		f.limits.delayedReleases = append(f.limits.delayedReleases, e)
		f.limits.tickBy(e.Until)
		return nil
	}
	return f.release(now, e)
}

// runDelayedReleases runs the delayed releases that are due.
func (f *Fleet) runDelayedReleases(now time.Time) []Action {
	var actions []Action
	delayed := f.limits.delayedReleases
	f.limits.delayedReleases = nil
	for _, e := range delayed {
		if now.Before(e.Until) {
			f.limits.delayedReleases = append(f.limits.delayedReleases, e)
			f.limits.tickBy(e.Until)
			continue
		}
		actions = append(actions, f.release(now, e)...)
	}
	return actions
}

func (f *Fleet) release(now time.Time, e Release) []Action {
	team, service := f.limits.allotmentsOf(f, e.Team, e.Service)
	team.ReleaseSlot()
	service.ReleaseSlot()
	return append(f.reconcileAllotment(now, team), f.reconcileAllotment(now, service)...)
}

// admit starts the request when its team and its service have a free slot.
func (f *Fleet) admit(now time.Time, e Admit, team, service *contract.Allotment) bool {
	holdValid := f.limits.hold.Valid(now)
	if f.limits.stopping || team.Free(now, holdValid) == 0 || service.Free(now, holdValid) == 0 {
		return false
	}
	team.OccupySlot()
	service.OccupySlot()
	until := f.limits.hold.ValidUntil()
	start := earliest(team.StartBefore(now, until), service.StartBefore(now, until))
	e.Reply <- Admission{StartBefore: earliest(start, now.Add(admissionValidity))}
	return true
}

// prefetch requests more slots before a team or service has none left.
func (f *Fleet) prefetch(now time.Time, team, service *contract.Allotment) []Action {
	if team.Busy() && service.Busy() {
		return nil
	}
	return append(f.planSwap(now, team), f.planSwap(now, service)...)
}

// enqueue queues a request that has no free slot. The request is refused
// immediately when neither a swap nor a loan can bring more slots.
func (f *Fleet) enqueue(now time.Time, e Admit, team, service *contract.Allotment) []Action {
	if f.limits.stopping {
		f.refuse(now, e, Refusal{Code: CodeNotReady, Reason: "this entry instance is stopping", RetryAfter: minRetryAfter})
		return nil
	}
	if !now.Before(e.Deadline) {
		f.refuse(now, e, deadlineRefusal())
		return nil
	}
	w := f.limits.queue.Push(e.Team, e.Service, e.Deadline, e)
	if w == nil {
		f.refuse(now, e, Refusal{Code: CodeOverloaded, Reason: "too many requests wait for a slot", RetryAfter: minRetryAfter})
		return nil
	}
	f.limits.waiters[e.Reply] = w
	f.limits.tickBy(e.Deadline)
	return append(f.reconcileAllotment(now, team), f.reconcileAllotment(now, service)...)
}

// reconcileAllotment reconciles an allotment after a change: it expires loans,
// admits queued requests, and plans the next swap and loan. Queued requests are
// refused when neither can bring more slots.
func (f *Fleet) reconcileAllotment(now time.Time, a *contract.Allotment) []Action {
	actions := f.refreshLimits(now)
	a.Expire(now)
	f.admitWaiting(now, a)
	actions = append(actions, f.planSwap(now, a)...)
	actions = append(actions, f.planLoan(now, a)...)
	if !a.Busy() && !f.limits.awaitingHold(now) {
		f.refuseWaiting(now, a)
	}
	return actions
}

// admitWaiting admits queued requests while slots are free, oldest first.
func (f *Fleet) admitWaiting(now time.Time, a *contract.Allotment) {
	holdValid := f.limits.hold.Valid(now)
	free := func(team, service string) bool {
		t, s := f.limits.allotmentsOf(f, team, service)
		return t.Free(now, holdValid) > 0 && s.Free(now, holdValid) > 0
	}
	for a.Free(now, holdValid) > 0 && !f.limits.stopping {
		w := f.limits.queue.Next(a.Ref(), free)
		if w == nil {
			return
		}
		if !now.Before(w.Deadline) {
			f.refuse(now, w.Request, deadlineRefusal())
			continue
		}
		delete(f.limits.waiters, w.Request.Reply)
		if refusal := f.checkService(w.Request.RequestID, w.Service, w.Request.NonIdempotent, now); refusal != nil {
			w.Request.Reply <- Admission{Refusal: refusal}
			continue
		}
		team, service := f.limits.allotmentsOf(f, w.Team, w.Service)
		f.admit(now, w.Request, team, service)
	}
}

// refuseWaiting refuses the queued requests of an allotment without free slots.
func (f *Fleet) refuseWaiting(now time.Time, a *contract.Allotment) {
	if a.Free(now, f.limits.hold.Valid(now)) > 0 {
		return
	}
	for {
		w := f.limits.queue.Next(a.Ref(), func(string, string) bool { return true })
		if w == nil {
			return
		}
		f.refuse(now, w.Request, f.limitRefusal(now, a))
	}
}

// expireWaiting refuses the requests whose deadline has passed.
func (f *Fleet) expireWaiting(now time.Time) {
	for {
		w := f.limits.queue.PopExpired(now)
		if w == nil {
			break
		}
		f.refuse(now, w.Request, deadlineRefusal())
	}
	f.limits.tickBy(f.limits.queue.NextDeadline())
}

// refuse refuses a request that is not in the queue and records the reason.
func (f *Fleet) refuse(now time.Time, e Admit, r Refusal) {
	delete(f.limits.waiters, e.Reply)
	e.Reply <- Admission{Refusal: &r}
	f.recordRefusal(e.RequestID, e.Service, &r, now)
}

func deadlineRefusal() Refusal {
	return Refusal{Code: CodeDeadline, Reason: "the deadline passed while the request waited for a slot"}
}

// minRetryAfter is the shortest RetryAfter of a refused Admit for which a retry
// may succeed.
const minRetryAfter = 100 * time.Millisecond

// limitRefusal returns the refusal of a request for which the allotment has no
// free slot.
func (f *Fleet) limitRefusal(now time.Time, a *contract.Allotment) Refusal {
	r := Refusal{Code: CodeUpperLimit, RetryAfter: max(minRetryAfter, a.RetryAt().Sub(now))}
	limit := a.Limit()
	switch {
	case !f.limits.hold.Valid(now):
		r.Code = CodeNotReady
		r.Reason = "this entry instance has no valid hold: the platform did not confirm a renewal"
	case !a.Settled():
		r.Reason = fmt.Sprintf("the limit of %s was changed to %d; the slots of all holders are not confirmed to be within it yet", a.Ref(), limit.Slots)
	default:
		r.Reason = fmt.Sprintf("%s has no free slot: limit %d across the fleet", a.Ref(), limit.Slots)
	}
	record := a.Record()
	r.Reason += fmt.Sprintf("; this instance holds %d, borrows %d, runs %d; all holders hold %d",
		a.Granted(), a.Borrowed(now), a.Running(), record.Sum())
	return r
}

// earliest returns the earlier time. The zero time means no bound.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
