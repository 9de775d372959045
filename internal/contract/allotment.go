package contract

import "time"

// Delays between swaps of one allotment.
const (
	// settleDelay is the delay between two swaps under a lowered limit while the
	// recorded sum is still above it.
	settleDelay = 200 * time.Millisecond
	// firstBackoff and maxBackoff bound the delay after a raise that gained
	// nothing.
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// swapFailureDelay is the delay after a swap that failed.
	swapFailureDelay = time.Second
)

// limitState says whether the recorded sum, the sum of all entries of the
// platform's record, is known to be within the limit. Work starts only in the
// state limitSettled.
type limitState int

const (
	// limitSettled means that the recorded sum is known to be within the limit.
	limitSettled limitState = iota
	// limitRaised means that the limit appears to have been raised. A limit that
	// was raised further and lowered again between two reads looks the same, so no
	// work starts until one swap has been answered or has failed.
	limitRaised
	// limitLowered means that the recorded sum may be above the limit.
	limitLowered
)

// Allotment is the part of one limit that this entry instance holds. It plans
// compare-and-swap requests (swaps) that change the instance's entry in the
// platform's AllotmentRecord; the caller performs them and reports the outcome
// to RecordSwap or RecordSwapFailure. It is owned by the control thread.
//
// Invariant: the running work of this instance, except work in borrowed slots,
// and the slots lent to others together fit into the entry that the platform
// records for the instance. Use is reduced before the entry is lowered and
// grows only after the entry is raised.
type Allotment struct {
	ref   Ref
	terms LimitTerms
	limit Limit
	state limitState
	// granted is the smallest number of slots that the recorded entry can have,
	// given that a swap of unknown outcome may still take effect.
	granted int
	// running is the number of slots in use, borrowed ones included.
	running int
	// adopt is true while work that started before the limit existed may exceed
	// the entry.
	adopt bool
	// former lists the expired identities of this process that may have entries.
	former []Holder
	// sequence is the number of the last swap request.
	sequence uint64
	// pending is the swap in flight, nil when there is none.
	pending *SwapRequest
	// grantedBeforeLower is the value of granted before the pending swap lowered
	// it.
	grantedBeforeLower int
	// outcomeUnknown is true while a failed swap may still take effect. Only a
	// later write of the record rules that out.
	outcomeUnknown bool
	loans          loanBook
	record         AllotmentRecord
	sizing         sizer
	retryAt        time.Time
	backoff        time.Duration
	// raiseFailed is true when the last raise gained nothing or the last swap
	// failed, so that only a loan can cover a shortage.
	raiseFailed bool
}

// NewAllotment returns an allotment without slots. Its limit is unbounded until
// SetLimit is called.
func NewAllotment(ref Ref, terms LimitTerms) *Allotment {
	return &Allotment{ref: ref, terms: terms, loans: newLoanBook(), limit: Limit{Unbounded: true}}
}

// Ref returns the team or the document that defines the limit.
func (a *Allotment) Ref() Ref { return a.ref }

// Limit returns the newest known limit.
func (a *Allotment) Limit() Limit { return a.limit }

// Record returns the platform's record after the last swap.
func (a *Allotment) Record() AllotmentRecord { return a.record }

// Granted returns the number of slots that the platform records for this
// holder, or less while the outcome of a swap is unknown.
func (a *Allotment) Granted() int { return a.granted }

// Running returns the number of slots in use, borrowed ones included.
func (a *Allotment) Running() int { return a.running }

// Lent returns the number of slots lent to other holders.
func (a *Allotment) Lent() int { return a.loans.lentSlots() }

// Borrowed returns the number of borrowed slots in which work may start at now.
func (a *Allotment) Borrowed(now time.Time) int { return a.loans.startableSlots(now) }

// Settled reports whether the recorded sum is known to be within the limit.
func (a *Allotment) Settled() bool { return a.state == limitSettled }

// Pending reports whether a swap is in flight.
func (a *Allotment) Pending() bool { return a.pending != nil }

// Busy reports whether a swap or a loan request is in flight.
func (a *Allotment) Busy() bool { return a.pending != nil || a.loans.requestID != "" }

// HoldsNothing reports whether the platform is known to record no slots for this
// holder and its former identities.
func (a *Allotment) HoldsNothing() bool {
	return a.granted == 0 && a.pending == nil && !a.outcomeUnknown && len(a.former) == 0
}

// Idle reports whether the allotment has no slots, no running work, no loans
// and no request in flight, so that it needs no Review.
func (a *Allotment) Idle() bool {
	return a.running == 0 && a.loans.requestID == "" && len(a.loans.borrowed) == 0 && len(a.loans.lent) == 0 && a.HoldsNothing()
}

// RetryAt returns the time until which Plan delays the next swap.
func (a *Allotment) RetryAt() time.Time { return a.retryAt }

// SetLimit sets the limit that the configuration or a record states, unless a
// newer one is known. After a change no work starts until a swap has confirmed
// that the recorded sum is within the limit.
func (a *Allotment) SetLimit(l Limit) {
	if l.Revision <= a.limit.Revision || l == a.limit {
		return
	}
	old := a.limit
	a.limit = l
	switch {
	case l.Unbounded:
		a.state = limitSettled
	case old.Unbounded:
		// Work that started without a limit is not recorded.
		a.adopt = a.adopt || a.running > a.granted
		a.state = limitLowered
	case a.state == limitSettled && l.Slots >= old.Slots:
		a.state = limitRaised
	default:
		a.state = limitLowered
	}
	if a.granted == 0 && a.running == 0 && len(a.loans.borrowed) == 0 {
		// No slots are held, so no work can start until a raise, and the raise
		// checks the limit.
		a.state = limitSettled
	}
	a.retryAt = time.Time{}
}

// Free returns the number of slots in which work may start at now. Only
// borrowed slots count while the holder's hold is not valid.
func (a *Allotment) Free(now time.Time, holdValid bool) int {
	if a.limit.Unbounded {
		return maxInt
	}
	if a.state != limitSettled {
		return 0
	}
	usable := a.loans.startableSlots(now)
	if holdValid {
		usable += a.granted - a.loans.lentSlots()
	}
	return max(0, usable-a.running)
}

const maxInt = int(^uint(0) >> 1)

// StartBefore returns the time until which the work that OccupySlot has just
// admitted may be sent, the zero time for no bound. A process that was paused
// beyond that time must not send it.
func (a *Allotment) StartBefore(now, holdUntil time.Time) time.Time {
	if a.limit.Unbounded {
		return time.Time{}
	}
	if now.Before(holdUntil) && a.running <= a.granted-a.loans.lentSlots() {
		return holdUntil
	}
	return a.loans.earliestStartBefore(now)
}

// OccupySlot occupies one slot. The caller must first check that Free is at
// least 1.
func (a *Allotment) OccupySlot() {
	a.running++
	a.sizing.recordDemand(a.running)
}

// ReleaseSlot frees one slot that OccupySlot occupied.
func (a *Allotment) ReleaseSlot() {
	if a.running == 0 {
		panic("contract: ReleaseSlot without OccupySlot on allotment " + a.ref.String())
	}
	a.running--
}

// floor returns the number of slots of the entry that running work and lent
// loans occupy.
func (a *Allotment) floor(now time.Time) int {
	if a.limit.Unbounded {
		return a.loans.lentSlots()
	}
	return max(0, a.running-a.loans.occupiedSlots(now)) + a.loans.lentSlots()
}

// Plan returns the swap that is due, nil when there is none. The caller sends
// it. Waiting is the number of requests that wait for a slot, stopping is true
// while the instance shuts down. No swap is due while holdValid is false.
func (a *Allotment) Plan(now time.Time, holder Holder, waiting int, holdValid, stopping bool) *SwapRequest {
	a.loans.expire(now)
	// The back-off after a raise that gained nothing does not delay the return of
	// slots at shutdown.
	delayed := now.Before(a.retryAt) && (!stopping || a.backoff == 0)
	if a.pending != nil || !holdValid || delayed {
		return nil
	}
	switch {
	case stopping:
		return a.planReturn(now, holder)
	case a.limit.Unbounded:
		return a.planLower(now, holder, a.loans.lentSlots())
	case a.state != limitSettled || len(a.former) > 0:
		return a.request(now, holder, SwapSettle, a.running+waiting+a.loans.lentSlots(), 0)
	}
	if request := a.planRaise(now, holder, waiting); request != nil {
		return request
	}
	if a.outcomeUnknown {
		return a.request(now, holder, SwapLower, a.granted, 0)
	}
	return nil
}

// planRaise returns a raise when more requests wait than slots are free, or
// when few slots are free and the limit has slots that no entry holds.
func (a *Allotment) planRaise(now time.Time, holder Holder, waiting int) *SwapRequest {
	demand := a.running + waiting - a.loans.startableSlots(now) + a.loans.lentSlots()
	a.sizing.recordDemand(a.running + waiting)
	free := a.Free(now, true)
	runningLow := free*lowFreeDivisor < a.granted && a.record.FreeSlots() > 0
	if waiting <= free && !runningLow || a.limit.Slots == 0 {
		return nil
	}
	return a.request(now, holder, SwapRaise, max(0, demand), a.sizing.raiseHeadroom(now, a.running+waiting))
}

// planReturn returns a swap that lowers the entry to 0, or nil while work is
// running or slots are lent, so that a shutdown takes one swap for each
// allotment.
func (a *Allotment) planReturn(now time.Time, holder Holder) *SwapRequest {
	if a.floor(now) > 0 || a.running > 0 {
		return nil
	}
	return a.planLower(now, holder, 0)
}

// planLower returns a swap that lowers the entry to keep, or to the occupied
// slots if they are more. The field granted is lowered immediately, whatever
// the outcome of the swap.
func (a *Allotment) planLower(now time.Time, holder Holder, keep int) *SwapRequest {
	keep = max(keep, a.floor(now))
	if keep >= a.granted && len(a.former) == 0 && !a.outcomeUnknown {
		return nil
	}
	before := a.granted
	a.granted = min(a.granted, keep)
	request := a.request(now, holder, SwapLower, keep, 0)
	a.grantedBeforeLower = before
	return request
}

// Review returns a swap that returns idle slots, nil when there are none to
// return. It must be called at regular intervals.
func (a *Allotment) Review(now time.Time, holder Holder, waiting int, holdValid bool) *SwapRequest {
	demand := a.running + waiting + a.loans.lentSlots()
	a.sizing.recordDemand(demand)
	window := a.terms.IdleWindow
	if a.record.FreeSlots()*tightFreeDivisor < a.limit.Slots {
		window = a.terms.IdleWindowTight
	}
	keep, ended := a.sizing.nextWindow(now, demand, window)
	surplus := a.granted - keep
	if !ended || !holdValid || a.pending != nil || a.state != limitSettled || surplus <= 0 {
		return nil
	}
	if keep > 0 && surplus < max(1, a.granted/reserveDivisor) {
		return nil
	}
	return a.planLower(now, holder, keep)
}

// request makes a swap request with the next sequence and marks it as pending.
func (a *Allotment) request(now time.Time, holder Holder, purpose SwapPurpose, want, headroom int) *SwapRequest {
	a.sequence++
	a.pending = &SwapRequest{
		Purpose: purpose, Holder: holder, Former: append([]Holder(nil), a.former...), Limit: a.limit,
		Sequence: a.sequence, Want: want, Headroom: headroom, Floor: a.floor(now), Adopt: a.adopt,
		Force: a.outcomeUnknown,
	}
	return a.pending
}

// RecordSwap records that the pending swap has taken effect. Record is the
// platform's record after it. RecordSwap returns by how many slots the entry grew;
// it ignores a sequence that is not pending.
func (a *Allotment) RecordSwap(now time.Time, holder Holder, sequence uint64, record AllotmentRecord) int {
	swap := a.pending
	if swap == nil || swap.Sequence != sequence {
		return 0
	}
	a.pending = nil
	a.outcomeUnknown = false
	a.record = record
	if swap.Holder != holder {
		// The hold expired while the swap was in flight.
		return 0
	}
	before := a.granted
	a.granted = record.Entry(holder).Slots
	a.former = exclude(a.former, swap.Former)
	a.adopt = false
	a.SetLimit(record.Limit)
	a.settle(now, record)
	gained := a.granted - before
	if swap.Purpose == SwapRaise {
		a.backOff(now, gained)
	}
	return gained
}

// settle updates the limit state from the recorded sum and the limit.
func (a *Allotment) settle(now time.Time, record AllotmentRecord) {
	if a.limit.Unbounded {
		a.state = limitSettled
		return
	}
	if record.Limit.Revision < a.limit.Revision {
		// The limit changed while the swap was in flight.
		changed := limitRaised
		if record.Limit.Unbounded || a.limit.Slots < record.Limit.Slots {
			changed = limitLowered
		}
		a.state = max(a.state, changed)
		return
	}
	if a.limit.Allows(record.Sum()) {
		a.state = limitSettled
		return
	}
	a.state = limitLowered
	a.retryAt = now.Add(settleDelay)
}

// backOff doubles the delay before the next raise when the last one gained
// nothing, and clears it otherwise.
func (a *Allotment) backOff(now time.Time, gained int) {
	if gained > 0 {
		a.backoff = 0
		a.raiseFailed = false
		return
	}
	a.raiseFailed = true
	a.backoff = min(max(firstBackoff, 2*a.backoff), maxBackoff)
	a.retryAt = now.Add(a.backoff)
}

// RecordSwapFailure records that the pending swap failed. NoEffect is true when
// the swap has not taken effect and cannot do so later. Otherwise it may have
// taken effect or still do so: the slots of a raise are not used, and granted
// stays lowered after a lowering.
func (a *Allotment) RecordSwapFailure(now time.Time, holder Holder, sequence uint64, noEffect bool) {
	swap := a.pending
	if swap == nil || swap.Sequence != sequence {
		return
	}
	a.pending = nil
	if noEffect && swap.Purpose == SwapLower && swap.Holder == holder {
		a.granted = a.grantedBeforeLower
	}
	a.outcomeUnknown = a.outcomeUnknown || !noEffect
	a.raiseFailed = true
	a.backoff = 0
	a.retryAt = now.Add(swapFailureDelay)
	if a.state == limitRaised {
		// While the platform is unreachable, the holder keeps using its slots.
		a.state = limitSettled
	}
}

// RecordHoldExpiry records that the hold of the identity old has expired. The
// slots of old can no longer be used. The next swap moves those that have not
// been reclaimed to the present identity.
func (a *Allotment) RecordHoldExpiry(old Holder) {
	if a.granted > 0 || a.pending != nil || a.outcomeUnknown {
		a.former = append(a.former, old)
	}
	a.granted = 0
}

// exclude returns list without the holders in excluded.
func exclude(list, excluded []Holder) []Holder {
	var kept []Holder
	for _, h := range list {
		if !contains(excluded, h) {
			kept = append(kept, h)
		}
	}
	return kept
}
