package fleet

import (
	"fmt"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
)

// Refusal codes. A refusal always means that the work did not run.
const (
	CodeNotReady       = "not-ready"
	CodeUnknownService = "unknown-service"
	CodeKeyRefused     = "key-refused"
	CodeUpperLimit     = "upper-limit"
	CodeNoEndpoint     = "no-endpoint"
	CodeDeadline       = "deadline"
	CodeBadRequest     = "bad-request"
	CodeOverloaded     = "overloaded"
	CodeStale          = "stale-configuration"
	// CodePlatform means that a claim needs the platform, which is not
	// reachable.
	CodePlatform = "platform-unavailable"
	// CodeKeyReused means that an idempotency key belongs to another body.
	CodeKeyReused = "idempotency-key-reused"
	// CodeTicketRefused means that a ticket is forged or belongs to another
	// team.
	CodeTicketRefused = "ticket-refused"
	// CodeFirstNotRun means that the call which this one repeats was not run.
	CodeFirstNotRun = "first-not-run"
)

// Refusal says why work was not run.
type Refusal struct {
	Code   string `json:"code"`
	Reason string `json:"reason"`
	// RetryAfter is when a repeat may succeed; 0 means that it will not.
	RetryAfter time.Duration `json:"-"`
}

// Admission is the answer to Admit. Every Admit gets exactly one.
type Admission struct {
	// Refusal is nil when the work may start.
	Refusal *Refusal
	// StartBefore is until when the work may be sent. The sender checks it
	// against the clock right before it sends, since the process may have been
	// paused after the admission.
	StartBefore time.Time
}

// startWindow is how long an admission may be used. A process that was paused
// longer than that must ask again: the limit may have been lowered meanwhile.
const startWindow = 2 * time.Second

// Admit asks for one slot of a team, and of a service that has a bound, before a
// request is sent. Reply must have a free buffer place, since the control thread
// does not wait. A request may wait until Deadline while more slots are on
// their way.
type Admit struct {
	// RequestID names the request in explanations.
	RequestID string
	Team      string
	Service   string
	// NonIdempotent is the caller's wish; the document may say the same.
	NonIdempotent bool
	// Deadline bounds the wait and must bound the run.
	Deadline time.Time
	Reply    chan<- Admission
}

// Apply implements Event.
func (e Admit) Apply(f *Fleet, now time.Time) []Action {
	if refusal := f.mayAdmit(e.RequestID, e.Service, e.NonIdempotent, now); refusal != nil {
		e.Reply <- Admission{Refusal: refusal}
		return nil
	}
	if longest := f.limits.terms.LongestLease; e.Deadline.Sub(now) > longest {
		f.refuse(now, e, Refusal{Code: CodeBadRequest, Reason: "the deadline is further away than the longest lease of " + longest.String()})
		return nil
	}
	actions := f.refreshLimits(now)
	team, service := f.limits.of(f, e.Team, e.Service)
	if !f.limits.queue.Queued(e.Team, e.Service) && f.admit(now, e, team, service) {
		return append(actions, f.prefetch(now, team, service)...)
	}
	return append(actions, f.wait(now, e, team, service)...)
}

// CancelAdmit withdraws an Admit that may still wait. Its place is free at once
// and its reply is a refusal, unless it was answered before.
type CancelAdmit struct{ Reply chan<- Admission }

// Apply implements Event.
func (e CancelAdmit) Apply(f *Fleet, now time.Time) []Action {
	w, ok := f.limits.waiters[e.Reply]
	if !ok {
		return nil
	}
	f.limits.queue.Remove(w)
	f.refuse(now, w.Request, Refusal{Code: CodeDeadline, Reason: "the caller gave up while it waited for a slot"})
	return nil
}

// Release gives back the slot of a finished request.
type Release struct {
	Team    string
	Service string
	// Until keeps the slot occupied while an endpoint may go on with a request
	// whose outcome is unknown. The zero time gives it back at once.
	Until time.Time
}

// Apply implements Event.
func (e Release) Apply(f *Fleet, now time.Time) []Action {
	if now.Before(e.Until) {
		f.limits.kept = append(f.limits.kept, e)
		f.limits.wakeBy(e.Until)
		return nil
	}
	return f.release(now, e)
}

// releaseKept gives back the slots whose time is over.
func (f *Fleet) releaseKept(now time.Time) []Action {
	var actions []Action
	kept := f.limits.kept
	f.limits.kept = nil
	for _, e := range kept {
		if now.Before(e.Until) {
			f.limits.kept = append(f.limits.kept, e)
			f.limits.wakeBy(e.Until)
			continue
		}
		actions = append(actions, f.release(now, e)...)
	}
	return actions
}

func (f *Fleet) release(now time.Time, e Release) []Action {
	team, service := f.limits.of(f, e.Team, e.Service)
	team.Finish()
	service.Finish()
	return append(f.drive(now, team), f.drive(now, service)...)
}

// admit starts the request when its team and its service have a free slot.
func (f *Fleet) admit(now time.Time, e Admit, team, service *contract.Allotment) bool {
	held := f.limits.hold.Valid(now)
	if f.limits.stopping || team.Free(now, held) == 0 || service.Free(now, held) == 0 {
		return false
	}
	team.Start()
	service.Start()
	until := f.limits.hold.ValidUntil()
	start := earliest(team.StartBefore(now, until), service.StartBefore(now, until))
	e.Reply <- Admission{StartBefore: earliest(start, now.Add(startWindow))}
	return true
}

// prefetch asks for more slots ahead of a shortage.
func (f *Fleet) prefetch(now time.Time, team, service *contract.Allotment) []Action {
	if team.Busy() && service.Busy() {
		return nil
	}
	return append(f.planSwap(now, team), f.planSwap(now, service)...)
}

// wait queues a request that cannot start, and refuses it at once when no more
// slots are on their way.
func (f *Fleet) wait(now time.Time, e Admit, team, service *contract.Allotment) []Action {
	if f.limits.stopping {
		f.refuse(now, e, Refusal{Code: CodeNotReady, Reason: "this entry instance is stopping", RetryAfter: retryFloor})
		return nil
	}
	if !now.Before(e.Deadline) {
		f.refuse(now, e, deadlineRefusal())
		return nil
	}
	w := f.limits.queue.Push(e.Team, e.Service, e.Deadline, e)
	if w == nil {
		f.refuse(now, e, Refusal{Code: CodeOverloaded, Reason: "too many requests wait for a slot", RetryAfter: retryFloor})
		return nil
	}
	f.limits.waiters[e.Reply] = w
	f.limits.wakeBy(e.Deadline)
	return append(f.drive(now, team), f.drive(now, service)...)
}

// drive brings the requests that wait for an allotment, its swaps and its loans
// forward after any change.
func (f *Fleet) drive(now time.Time, a *contract.Allotment) []Action {
	actions := f.refreshLimits(now)
	f.serveWaiting(now, a)
	actions = append(actions, f.planSwap(now, a)...)
	actions = append(actions, f.planLoan(now, a)...)
	if !a.Busy() && !f.limits.awaitsHold(now) {
		f.refuseWaiting(now, a)
	}
	return actions
}

// serveWaiting starts waiting requests, the earliest first.
func (f *Fleet) serveWaiting(now time.Time, a *contract.Allotment) {
	held := f.limits.hold.Valid(now)
	free := func(team, service string) bool {
		t, s := f.limits.of(f, team, service)
		return t.Free(now, held) > 0 && s.Free(now, held) > 0
	}
	for a.Free(now, held) > 0 && !f.limits.stopping {
		w := f.limits.queue.Next(a.Ref(), free)
		if w == nil {
			return
		}
		if !now.Before(w.Deadline) {
			f.refuse(now, w.Request, deadlineRefusal())
			continue
		}
		delete(f.limits.waiters, w.Request.Reply)
		if refusal := f.mayAdmit(w.Request.RequestID, w.Service, w.Request.NonIdempotent, now); refusal != nil {
			w.Request.Reply <- Admission{Refusal: refusal}
			continue
		}
		team, service := f.limits.of(f, w.Team, w.Service)
		f.admit(now, w.Request, team, service)
	}
}

// refuseWaiting refuses the requests that no swap and no loan can serve.
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
		w := f.limits.queue.Expired(now)
		if w == nil {
			break
		}
		f.refuse(now, w.Request, deadlineRefusal())
	}
	f.limits.wakeBy(f.limits.queue.NextDeadline())
}

// refuse answers a request that is not or no longer queued, and records why.
func (f *Fleet) refuse(now time.Time, e Admit, r Refusal) {
	delete(f.limits.waiters, e.Reply)
	e.Reply <- Admission{Refusal: &r}
	f.ExplainRefusal(e.RequestID, e.Service, &r, now)
}

func deadlineRefusal() Refusal {
	return Refusal{Code: CodeDeadline, Reason: "the deadline passed while the request waited for a slot"}
}

// retryFloor is the shortest pause that a refusal asks for.
const retryFloor = 100 * time.Millisecond

// limitRefusal explains why no slot of the allotment is free.
func (f *Fleet) limitRefusal(now time.Time, a *contract.Allotment) Refusal {
	r := Refusal{Code: CodeUpperLimit, RetryAfter: max(retryFloor, a.RetryAt().Sub(now))}
	limit := a.Limit()
	switch {
	case !f.limits.hold.Valid(now):
		r.Code = CodeNotReady
		r.Reason = "this entry instance has no hold: the platform did not confirm a renewal"
	case !a.Settled():
		r.Reason = fmt.Sprintf("the limit of %s was changed to %d and is not settled", a.Ref(), limit.Slots)
	default:
		r.Reason = fmt.Sprintf("%s has no free slot: limit %d across the fleet", a.Ref(), limit.Slots)
	}
	record := a.Record()
	r.Reason += fmt.Sprintf("; this instance holds %d, borrows %d, runs %d; all holders hold %d",
		a.Granted(), a.Borrowed(now), a.Running(), record.Sum())
	return r
}

// earliest returns the earlier time; the zero time means no bound.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
