package fleet

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
)

// reviewEvery is the period in which idle slots and loans are returned and
// failed swaps are retried.
const reviewEvery = time.Second

// limitState holds this process's slots of the limits of teams and services,
// its hold (the lease on these slots), and the requests that wait for a slot.
type limitState struct {
	terms      contract.LimitTerms
	hold       *contract.Hold
	watch      *contract.HolderWatch
	allotments map[contract.Ref]*contract.Allotment
	// order lists the allotments by age, so that decisions do not depend on the
	// order of a map.
	order   []*contract.Allotment
	queue   *contract.AdmissionQueue[Admit]
	waiters map[chan<- Admission]*contract.Waiter[Admit]
	// kept are the releases that are delayed because the outcome of their
	// request is unknown. Their number is bounded by the slots that this
	// instance holds.
	kept []Release
	// asked are the instances that were asked for a loan since the last swap,
	// by limit.
	asked map[contract.Ref]map[string]bool
	// transfer numbers the loan requests of this process.
	transfer uint64
	// observing is true while an ObserveHolders is in flight.
	observing bool
	observeAt time.Time
	reviewAt  time.Time
	wake      *wake
	// configDue is true until a changed configuration has been applied to the
	// allotments.
	configDue   bool
	reclaiming  bool
	reclaimFrom time.Time
	stopping    bool
	ending      bool
	stopped     []chan<- Returned
	// failingSince is when the first call of the current series of failed calls
	// to the platform failed; zero after a successful call.
	failingSince time.Time
	returned     bool
}

func newLimitState(f *Fleet, o Options) limitState {
	terms := o.LimitTerms
	if terms == (contract.LimitTerms{}) {
		terms = contract.DefaultLimitTerms()
	}
	holder := contract.Holder{Instance: o.Self.ID, Incarnation: o.Self.Incarnation}
	return limitState{
		wake:       f.wakes.register(f.tickLimits),
		terms:      terms,
		hold:       contract.NewHold(holder, o.Self.DataCentre, o.Self.Address, terms),
		watch:      contract.NewHolderWatch(terms),
		allotments: make(map[contract.Ref]*contract.Allotment),
		queue:      contract.NewAdmissionQueue[Admit](),
		waiters:    make(map[chan<- Admission]*contract.Waiter[Admit]),
		asked:      make(map[contract.Ref]map[string]bool),
	}
}

// of returns the allotments of a team and a service.
func (l *limitState) of(f *Fleet, team, service string) (t, s *contract.Allotment) {
	t = f.allotment(contract.Ref{Kind: contract.KindTeam, Name: team})
	s = f.allotment(contract.Ref{Kind: contract.KindDocument, Name: service})
	return t, s
}

// wakeBy requests a tick not later than at. The zero time has no effect.
func (l *limitState) wakeBy(at time.Time) {
	if !at.IsZero() {
		l.wake.setEarlier(at)
	}
}

// awaitsHold reports whether the hold is not valid and a renewal that may
// validate it is in flight.
func (l *limitState) awaitsHold(now time.Time) bool {
	return !l.hold.Valid(now) && l.hold.InFlight()
}

// allotment returns the allotment of a limit and creates it on first use.
// Allotments are never deleted, because the sequence numbers of their swaps
// must not restart under the same holder.
func (f *Fleet) allotment(ref contract.Ref) *contract.Allotment {
	a, ok := f.limits.allotments[ref]
	if !ok {
		a = contract.NewAllotment(ref, f.limits.terms)
		a.SetLimit(f.limit(ref))
		f.limits.allotments[ref] = a
		f.limits.order = append(f.limits.order, a)
	}
	return a
}

// limit returns the limit in the configuration. It is 0 slots for a team that
// does not exist.
func (f *Fleet) limit(ref contract.Ref) contract.Limit {
	object, ok := f.register.Get(ref)
	switch {
	case ok && object.Team != nil:
		return contract.Limit{Slots: object.Team.UpperLimit, Revision: object.Revision}
	case ok && object.Document != nil && object.Document.MaxSlots > 0:
		return contract.Limit{Slots: object.Document.MaxSlots, Revision: object.Revision}
	case ok && object.Document != nil:
		return contract.Limit{Unbounded: true, Revision: object.Revision}
	case ref.Kind == contract.KindTeam:
		return contract.Limit{Revision: f.register.Revision()}
	default:
		return contract.Limit{Unbounded: true, Revision: f.register.Revision()}
	}
}

// refreshLimits applies a changed configuration to the allotments.
func (f *Fleet) refreshLimits(now time.Time) []Action {
	if !f.limits.configDue {
		return nil
	}
	f.limits.configDue = false
	var actions []Action
	for _, a := range f.limits.order {
		before := a.Limit()
		a.SetLimit(f.limit(a.Ref()))
		if after := a.Limit(); after != before {
			f.explainLimit(now, a, before, after)
			actions = append(actions, f.drive(now, a)...)
		}
	}
	return actions
}

func (f *Fleet) explainLimit(now time.Time, a *contract.Allotment, before, after contract.Limit) {
	if before.Slots == after.Slots && before.Unbounded == after.Unbounded {
		return
	}
	f.Explain(Decision{
		At: now, Subject: subjectOf(a.Ref()), Action: "limit",
		Reason: "the limit changed from " + limitText(before) + " to " + limitText(after),
		Inputs: []Input{number("held", a.Granted()), number("running", a.Running())},
	})
}

// tickLimits runs the due work on limits: expiry, delayed releases, the renewal
// of the hold, the read of other holders and the review of allotments.
func (f *Fleet) tickLimits(now time.Time) []Action {
	actions := f.refreshLimits(now)
	f.expireWaiting(now)
	actions = append(actions, f.releaseKept(now)...)
	actions = append(actions, f.renew(now)...)
	actions = append(actions, f.observe(now)...)
	if !now.Before(f.limits.reviewAt) {
		f.limits.reviewAt = now.Add(reviewEvery)
		actions = append(actions, f.reviewAllotments(now)...)
	}
	f.limits.wakeBy(f.limits.reviewAt)
	f.limits.wakeBy(f.limits.queue.NextDeadline())
	return actions
}

// reviewAllotments returns idle slots and loans and retries failed swaps.
func (f *Fleet) reviewAllotments(now time.Time) []Action {
	var actions []Action
	holder, held := f.limits.hold.Holder(), f.limits.hold.Valid(now)
	for _, a := range f.limits.order {
		waiting := f.waitingFor(a.Ref())
		if waiting == 0 && a.Quiet() {
			continue
		}
		actions = append(actions, f.returnLoans(now, a, waiting, held)...)
		if f.limits.stopping || !f.limits.failingSince.IsZero() {
			// While the platform fails, idle slots are kept: they can still be
			// lent to other holders.
			actions = append(actions, f.drive(now, a)...)
			continue
		}
		if request := a.Review(now, holder, waiting, held); request != nil {
			actions = append(actions, f.swapAction(now, a, request))
		}
		actions = append(actions, f.drive(now, a)...)
	}
	return append(actions, f.finishStop(now)...)
}

// planSwap returns the swap of an allotment when one is due.
func (f *Fleet) planSwap(now time.Time, a *contract.Allotment) []Action {
	waiting := f.waitingFor(a.Ref())
	held := f.limits.hold.Valid(now)
	request := a.Plan(now, f.limits.hold.Holder(), waiting, held, f.limits.stopping)
	if request == nil {
		if !a.Settled() && now.Before(a.RetryAt()) {
			f.limits.reviewAt = earliest(f.limits.reviewAt, a.RetryAt())
			f.limits.wakeBy(f.limits.reviewAt)
		}
		return nil
	}
	return []Action{f.swapAction(now, a, request)}
}

func (f *Fleet) swapAction(now time.Time, a *contract.Allotment, request *contract.SwapRequest) Action {
	delete(f.limits.asked, a.Ref())
	return SwapAllotment{Limit: a.Ref(), Request: *request}
}

// SwapAllotment applies a request to the platform's record of a limit. The
// result is AllotmentSwapped or AllotmentFailed.
type SwapAllotment struct {
	Limit   contract.Ref
	Request contract.SwapRequest
}

func (SwapAllotment) isAction() {}

// AllotmentSwapped reports a record that includes the effect of a request. The
// effect may be that nothing changed.
type AllotmentSwapped struct {
	Limit    contract.Ref
	Sequence uint64
	Record   contract.AllotmentRecord
}

// Apply implements Event.
func (e AllotmentSwapped) Apply(f *Fleet, now time.Time) []Action {
	f.limits.failingSince = time.Time{}
	a := f.allotment(e.Limit)
	a.Swapped(now, f.limits.hold.Holder(), e.Sequence, e.Record)
	return append(f.drive(now, a), f.finishStop(now)...)
}

// AllotmentFailed reports a request that failed. Its effect is unknown unless
// NoEffect is set.
type AllotmentFailed struct {
	Limit    contract.Ref
	Sequence uint64
	// NoEffect is true when no write of the request can take effect any more.
	NoEffect bool
}

// Apply implements Event.
func (e AllotmentFailed) Apply(f *Fleet, now time.Time) []Action {
	f.limits.failingSince = earliest(f.limits.failingSince, now)
	a := f.allotment(e.Limit)
	a.Failed(now, f.limits.hold.Holder(), e.Sequence, e.NoEffect)
	return append(f.drive(now, a), f.finishStop(now)...)
}
