package fleet

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
)

// reviewPeriod is the period of the review that returns idle slots and loans and
// retries failed swaps.
const reviewPeriod = time.Second

// limitState holds this process's slots of the limits of teams and services,
// its hold (the lease on these slots), and the requests that wait for a slot.
type limitState struct {
	terms      contract.LimitTerms
	hold       *contract.Hold
	watch      *contract.HolderWatch
	allotments map[contract.Ref]*contract.Allotment
	// ordered lists the allotments in the order of their creation, so that
	// decisions do not depend on the order of a map.
	ordered []*contract.Allotment
	queue   *contract.AdmissionQueue[Admit]
	waiters map[chan<- Admission]*contract.Waiter[Admit]
	// delayedReleases are the releases that are delayed because the outcome of
	// their request is unknown. Their number is bounded by the slots that this
	// instance holds.
	delayedReleases []Release
	// askedLenders are the instances that were asked for a loan since the last
	// swap, by limit.
	askedLenders map[contract.Ref]map[string]bool
	// loanRequests numbers the loan requests of this process.
	loanRequests uint64
	// observeInFlight is true while an ObserveHolders is in flight.
	observeInFlight bool
	// observeAt and reviewAt are when the next read of other holders and the
	// next review of allotments are due.
	observeAt time.Time
	reviewAt  time.Time
	timer     *timer
	// configPending is true until a changed configuration has been applied to the
	// allotments.
	configPending   bool
	reclaimInFlight bool
	// reclaimAt is when this instance reclaims the slots of expired holders. The
	// delay depends on its rank, so that instances do not reclaim at the same
	// time.
	reclaimAt   time.Time
	stopping    bool
	endInFlight bool
	stopReplies []chan<- ReleaseResult
	// failingSince is when the first call of the current series of failed calls
	// to the platform failed; zero after a successful call.
	failingSince time.Time
	stopAnswered bool
}

func newLimitState(f *Fleet, o Options) limitState {
	terms := o.LimitTerms
	if terms == (contract.LimitTerms{}) {
		terms = contract.DefaultLimitTerms()
	}
	holder := contract.Holder{Instance: o.Self.ID, Incarnation: o.Self.Incarnation}
	return limitState{
		timer:        f.timers.register(f.tickLimits),
		terms:        terms,
		hold:         contract.NewHold(holder, o.Self.DataCentre, o.Self.Address, terms),
		watch:        contract.NewHolderWatch(terms),
		allotments:   make(map[contract.Ref]*contract.Allotment),
		queue:        contract.NewAdmissionQueue[Admit](),
		waiters:      make(map[chan<- Admission]*contract.Waiter[Admit]),
		askedLenders: make(map[contract.Ref]map[string]bool),
	}
}

// allotmentsOf returns the allotments of a team and a service.
func (l *limitState) allotmentsOf(f *Fleet, team, service string) (t, s *contract.Allotment) {
	t = f.allotment(contract.Ref{Kind: contract.KindTeam, Name: team})
	s = f.allotment(contract.Ref{Kind: contract.KindDocument, Name: service})
	return t, s
}

// tickBy requests a tick not later than at. The zero time has no effect.
func (l *limitState) tickBy(at time.Time) {
	if !at.IsZero() {
		l.timer.setEarlier(at)
	}
}

// awaitingHold reports whether the hold is not valid and a renewal that may
// validate it is in flight.
func (l *limitState) awaitingHold(now time.Time) bool {
	return !l.hold.Valid(now) && l.hold.InFlight()
}

// allotment returns the allotment of a limit and creates it on first use.
// Allotments are never deleted, because the sequence numbers of their swaps
// must not restart under the same holder.
func (f *Fleet) allotment(ref contract.Ref) *contract.Allotment {
	a, ok := f.limits.allotments[ref]
	if !ok {
		a = contract.NewAllotment(ref, f.limits.terms)
		a.SetLimit(f.configuredLimit(ref))
		f.limits.allotments[ref] = a
		f.limits.ordered = append(f.limits.ordered, a)
	}
	return a
}

// configuredLimit returns the limit in the configuration. It is 0 slots for a
// team that does not exist.
func (f *Fleet) configuredLimit(ref contract.Ref) contract.Limit {
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
	if !f.limits.configPending {
		return nil
	}
	f.limits.configPending = false
	var actions []Action
	for _, a := range f.limits.ordered {
		before := a.Limit()
		a.SetLimit(f.configuredLimit(a.Ref()))
		if after := a.Limit(); after != before {
			f.recordLimitChange(now, a, before, after)
			actions = append(actions, f.reconcileAllotment(now, a)...)
		}
	}
	return actions
}

func (f *Fleet) recordLimitChange(now time.Time, a *contract.Allotment, before, after contract.Limit) {
	if before.Slots == after.Slots && before.Unbounded == after.Unbounded {
		return
	}
	f.recordDecision(Decision{
		At: now, Subject: subjectOf(a.Ref()), Action: "limit",
		Reason: "the limit changed from " + limitText(before) + " to " + limitText(after),
		Inputs: []Input{intInput("held", a.Granted()), intInput("running", a.Running())},
	})
}

// tickLimits runs the due work on limits: expiry, delayed releases, the renewal
// of the hold, the read of other holders and the review of allotments.
func (f *Fleet) tickLimits(now time.Time) []Action {
	actions := f.refreshLimits(now)
	f.expireWaiting(now)
	actions = append(actions, f.runDelayedReleases(now)...)
	actions = append(actions, f.renewHold(now)...)
	actions = append(actions, f.observeHolders(now)...)
	if !now.Before(f.limits.reviewAt) {
		f.limits.reviewAt = now.Add(reviewPeriod)
		actions = append(actions, f.reviewAllotments(now)...)
	}
	f.limits.tickBy(f.limits.reviewAt)
	f.limits.tickBy(f.limits.queue.NextDeadline())
	return actions
}

// reviewAllotments returns idle slots and loans and retries failed swaps.
func (f *Fleet) reviewAllotments(now time.Time) []Action {
	var actions []Action
	holder, holdValid := f.limits.hold.Holder(), f.limits.hold.Valid(now)
	for _, a := range f.limits.ordered {
		waiting := f.waitingFor(a.Ref())
		if waiting == 0 && a.Idle() {
			continue
		}
		actions = append(actions, f.returnLoans(now, a, waiting, holdValid)...)
		if f.limits.stopping || !f.limits.failingSince.IsZero() {
			// While the platform fails, idle slots are kept: they can still be
			// lent to other holders.
			actions = append(actions, f.reconcileAllotment(now, a)...)
			continue
		}
		if request := a.Review(now, holder, waiting, holdValid); request != nil {
			actions = append(actions, f.startSwap(now, a, request))
		}
		actions = append(actions, f.reconcileAllotment(now, a)...)
	}
	return append(actions, f.finishStop(now)...)
}

// planSwap returns the swap of an allotment when one is due.
func (f *Fleet) planSwap(now time.Time, a *contract.Allotment) []Action {
	waiting := f.waitingFor(a.Ref())
	holdValid := f.limits.hold.Valid(now)
	request := a.Plan(now, f.limits.hold.Holder(), waiting, holdValid, f.limits.stopping)
	if request == nil {
		if !a.Settled() && now.Before(a.RetryAt()) {
			f.limits.reviewAt = earliest(f.limits.reviewAt, a.RetryAt())
			f.limits.tickBy(f.limits.reviewAt)
		}
		return nil
	}
	return []Action{f.startSwap(now, a, request)}
}

func (f *Fleet) startSwap(now time.Time, a *contract.Allotment, request *contract.SwapRequest) Action {
	delete(f.limits.askedLenders, a.Ref())
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
	a.RecordSwap(now, f.limits.hold.Holder(), e.Sequence, e.Record)
	return append(f.reconcileAllotment(now, a), f.finishStop(now)...)
}

// AllotmentFailed reports a request that failed. Its effect is unknown unless
// NoEffect is set.
type AllotmentFailed struct {
	Limit    contract.Ref
	Sequence uint64
	// NoEffect is true when no write of the request has taken or can still take
	// effect.
	NoEffect bool
}

// Apply implements Event.
func (e AllotmentFailed) Apply(f *Fleet, now time.Time) []Action {
	f.limits.failingSince = earliest(f.limits.failingSince, now)
	a := f.allotment(e.Limit)
	a.RecordSwapFailure(now, f.limits.hold.Holder(), e.Sequence, e.NoEffect)
	return append(f.reconcileAllotment(now, a), f.finishStop(now)...)
}
