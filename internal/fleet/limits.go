package fleet

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
)

// reviewEvery is the period in which idle slots, loans and retries are looked
// at.
const reviewEvery = time.Second

// limitState is what this process holds of the limits of teams and services.
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
	// kept are slots of requests whose outcome is unknown. Their number is
	// bounded by the slots that this instance holds.
	kept []Release
	// asked are the instances that were asked for a loan since the last swap.
	asked    map[contract.Ref]map[string]bool
	transfer uint64
	// observing is true while a read of other holders is in flight.
	observing   bool
	observeAt   time.Time
	reviewAt    time.Time
	wake        *wake
	configDue   bool
	reclaiming  bool
	reclaimFrom time.Time
	stopping    bool
	ending      bool
	stopped     []chan<- Returned
	// failingSince is when the platform began to fail; zero while it works.
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

// wakeBy asks for a tick not later than at; the zero time asks for none.
func (l *limitState) wakeBy(at time.Time) {
	if !at.IsZero() {
		l.wake.setEarlier(at)
	}
}

// awaitsHold reports whether the first renewal is still in flight.
func (l *limitState) awaitsHold(now time.Time) bool {
	return !l.hold.Valid(now) && l.hold.InFlight()
}

// allotment returns the allotment of a limit. Allotments are never dropped: the
// sequence of their swaps must not start again under the same identity.
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

// limit returns the limit that the configuration states. A team that does not
// exist may run nothing.
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

// refreshLimits passes a changed configuration on to the allotments.
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

// tickLimits runs what is due.
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

// reviewAllotments returns idle slots and loans and retries what failed.
func (f *Fleet) reviewAllotments(now time.Time) []Action {
	var actions []Action
	holder, held := f.limits.hold.Holder(), f.limits.hold.Valid(now)
	for _, a := range f.limits.order {
		waiting := f.limits.queue.Waiting(a.Ref())
		if waiting == 0 && a.Quiet() {
			continue
		}
		actions = append(actions, f.returnLoans(now, a, waiting, held)...)
		if f.limits.stopping || !f.limits.failingSince.IsZero() {
			// Idle slots are of use for loans while the platform fails.
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

// planSwap returns the swap of an allotment that is due.
func (f *Fleet) planSwap(now time.Time, a *contract.Allotment) []Action {
	waiting := f.limits.queue.Waiting(a.Ref())
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

// AllotmentSwapped reports the record that is known to carry the effect of a
// request, which may be none.
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

// AllotmentFailed reports a request whose effect is not known or which had none.
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
