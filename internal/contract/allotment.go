package contract

import "time"

// Pauses between swaps of one allotment.
const (
	// settlePause is the pause between two swaps under a lowered limit while the
	// recorded sum is still above it.
	settlePause = 200 * time.Millisecond
	// firstBackoff and maxBackoff bound the pause after a raise that gained
	// nothing.
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// outagePause is the pause after a swap that failed.
	outagePause = time.Second
)

// confirmation says whether the allotment is known to be within its limit.
type confirmation int

const (
	// confirmed means that the recorded sum was seen within the limit.
	confirmed confirmation = iota
	// confirmRaise means that the limit changed upwards since. A limit that was
	// raised and lowered again between two looks also appears so, hence starts
	// wait for the answer of one swap.
	confirmRaise
	// confirmLower means that the recorded sum may be above the limit.
	confirmLower
)

// Allotment is the part of one limit that this entry instance holds. It is
// owned by the control thread.
//
// Invariant: the running work of this instance, without what runs in borrowed
// slots, and the slots lent to others fit into the entry that the platform
// records for it, from before the entry is lowered until after it is raised.
type Allotment struct {
	ref     Ref
	terms   LimitTerms
	limit   Limit
	confirm confirmation
	// granted is the smallest number of slots that the entry can have.
	granted int
	running int
	// adopt is true while work is running that was started without a limit.
	adopt bool
	// former are lapsed identities of this process that may have entries.
	former   []Holder
	sequence uint64
	pending  *SwapRequest
	// unlowered is what was granted before the pending swap lowered it.
	unlowered int
	// uncertain is true while a failed swap may still take effect. Only a write
	// of the record rules that out.
	uncertain bool
	loans     loanBook
	record    AllotmentRecord
	size      sizer
	retryAt   time.Time
	backoff   time.Duration
	// short is true when the last raise gained nothing.
	short bool
}

// NewAllotment returns an allotment that holds nothing of the limit of ref.
func NewAllotment(ref Ref, terms LimitTerms) *Allotment {
	return &Allotment{ref: ref, terms: terms, loans: newLoanBook(), limit: Limit{Unbounded: true}}
}

// Ref returns the team or document that the limit belongs to.
func (a *Allotment) Ref() Ref { return a.ref }

// Limit returns the newest known limit.
func (a *Allotment) Limit() Limit { return a.limit }

// Record returns the record as last seen.
func (a *Allotment) Record() AllotmentRecord { return a.record }

// Granted returns the slots of this holder that the platform records.
func (a *Allotment) Granted() int { return a.granted }

// Running returns the slots in use.
func (a *Allotment) Running() int { return a.running }

// Lent returns the slots that other holders may use.
func (a *Allotment) Lent() int { return a.loans.lentSlots() }

// Borrowed returns the slots of other holders in which work may be started.
func (a *Allotment) Borrowed(now time.Time) int { return a.loans.startable(now) }

// Settled reports whether the recorded sum is known to be within the limit.
func (a *Allotment) Settled() bool { return a.confirm == confirmed }

// Pending reports whether a swap is in flight.
func (a *Allotment) Pending() bool { return a.pending != nil }

// Busy reports whether a swap or a loan request is in flight.
func (a *Allotment) Busy() bool { return a.pending != nil || a.loans.asked != "" }

// Returned reports whether the platform is known to record nothing for this
// holder.
func (a *Allotment) Returned() bool {
	return a.granted == 0 && a.pending == nil && !a.uncertain && len(a.former) == 0
}

// Quiet reports whether nothing is held, runs, or is on its way, so that there
// is nothing to review.
func (a *Allotment) Quiet() bool {
	return a.running == 0 && a.loans.asked == "" && len(a.loans.borrowed) == 0 && len(a.loans.lent) == 0 && a.Returned()
}

// RetryAt returns when the next raise may be tried.
func (a *Allotment) RetryAt() time.Time { return a.retryAt }

// SetLimit takes the limit as the configuration or a record states it. Starts
// wait until a swap has confirmed a changed limit.
func (a *Allotment) SetLimit(l Limit) {
	if l.Revision <= a.limit.Revision || l == a.limit {
		return
	}
	old := a.limit
	a.limit = l
	switch {
	case l.Unbounded:
		a.confirm = confirmed
	case old.Unbounded:
		// Work that runs already was not recorded.
		a.adopt = a.adopt || a.running > a.granted
		a.confirm = confirmLower
	case a.confirm == confirmed && l.Slots >= old.Slots:
		a.confirm = confirmRaise
	default:
		a.confirm = confirmLower
	}
	if a.granted == 0 && a.running == 0 && len(a.loans.borrowed) == 0 {
		// Nothing can start before a raise, which looks at the limit itself.
		a.confirm = confirmed
	}
	a.retryAt = time.Time{}
}

// Free returns the number of slots in which work may start at now. Held says
// whether the holder's hold is valid.
func (a *Allotment) Free(now time.Time, held bool) int {
	if a.limit.Unbounded {
		return maxInt
	}
	if a.confirm != confirmed {
		return 0
	}
	usable := a.loans.startable(now)
	if held {
		usable += a.granted - a.loans.lentSlots()
	}
	return max(0, usable-a.running)
}

const maxInt = int(^uint(0) >> 1)

// StartBefore returns until when work that Start just admitted may be sent. A
// process that was paused in between must not send it.
func (a *Allotment) StartBefore(now, holdUntil time.Time) time.Time {
	if a.limit.Unbounded {
		return time.Time{}
	}
	if now.Before(holdUntil) && a.running <= a.granted-a.loans.lentSlots() {
		return holdUntil
	}
	return a.loans.firstEnd(now)
}

// Start takes one slot. The caller has checked Free.
func (a *Allotment) Start() {
	a.running++
	a.size.observe(a.running)
}

// Finish gives a slot back.
func (a *Allotment) Finish() {
	if a.running == 0 {
		panic("contract: finish of work that was not started in " + a.ref.String())
	}
	a.running--
}

// floor returns the slots of the entry that running work and loans occupy.
func (a *Allotment) floor(now time.Time) int {
	if a.limit.Unbounded {
		return a.loans.lentSlots()
	}
	return max(0, a.running-a.loans.occupied(now)) + a.loans.lentSlots()
}

// Plan returns the swap that is due, nil when none is. Waiting is the number of
// requests that wait for a slot; stopping is true during a planned stop.
func (a *Allotment) Plan(now time.Time, holder Holder, waiting int, held, stopping bool) *SwapRequest {
	a.loans.expire(now)
	// A pause after a raise that gained nothing does not delay a return.
	pausing := now.Before(a.retryAt) && (!stopping || a.backoff == 0)
	if a.pending != nil || !held || pausing {
		return nil
	}
	switch {
	case stopping:
		return a.planReturn(now, holder)
	case a.limit.Unbounded:
		return a.planLower(now, holder, a.loans.lentSlots())
	case a.confirm != confirmed || len(a.former) > 0:
		return a.request(now, holder, SwapSettle, a.running+waiting+a.loans.lentSlots(), 0)
	}
	if request := a.planRaise(now, holder, waiting); request != nil {
		return request
	}
	if a.uncertain {
		return a.request(now, holder, SwapLower, a.granted, 0)
	}
	return nil
}

func (a *Allotment) planRaise(now time.Time, holder Holder, waiting int) *SwapRequest {
	demand := a.running + waiting - a.loans.startable(now) + a.loans.lentSlots()
	a.size.observe(a.running + waiting)
	free := a.Free(now, true)
	ahead := free*lowShare < a.granted && a.record.Room() > 0
	if waiting <= free && !ahead || a.limit.Slots == 0 {
		return nil
	}
	return a.request(now, holder, SwapRaise, max(0, demand), a.size.raise(now, a.running+waiting))
}

// planReturn gives the whole entry back once nothing runs in it, so that a stop
// needs one swap for each allotment.
func (a *Allotment) planReturn(now time.Time, holder Holder) *SwapRequest {
	if a.floor(now) > 0 || a.running > 0 {
		return nil
	}
	return a.planLower(now, holder, 0)
}

// planLower lowers the entry to keep. The own use is bounded from now on,
// whatever the outcome of the swap.
func (a *Allotment) planLower(now time.Time, holder Holder, keep int) *SwapRequest {
	keep = max(keep, a.floor(now))
	if keep >= a.granted && len(a.former) == 0 && !a.uncertain {
		return nil
	}
	before := a.granted
	a.granted = min(a.granted, keep)
	request := a.request(now, holder, SwapLower, keep, 0)
	a.unlowered = before
	return request
}

// Review looks for idle slots to return. The fleet calls it regularly.
func (a *Allotment) Review(now time.Time, holder Holder, waiting int, held bool) *SwapRequest {
	demand := a.running + waiting + a.loans.lentSlots()
	a.size.observe(demand)
	window := a.terms.IdleAfter
	if a.record.Room()*tightShare < a.limit.Slots {
		window = a.terms.IdleAfterTight
	}
	keep, ended := a.size.roll(now, demand, window)
	surplus := a.granted - keep
	if !ended || !held || a.pending != nil || a.confirm != confirmed || surplus <= 0 {
		return nil
	}
	if keep > 0 && surplus < max(1, a.granted/reserveShare) {
		return nil
	}
	return a.planLower(now, holder, keep)
}

func (a *Allotment) request(now time.Time, holder Holder, purpose SwapPurpose, want, headroom int) *SwapRequest {
	a.sequence++
	a.pending = &SwapRequest{
		Purpose: purpose, Holder: holder, Former: append([]Holder(nil), a.former...), Limit: a.limit,
		Sequence: a.sequence, Want: want, Headroom: headroom, Floor: a.floor(now), Adopt: a.adopt,
		Force: a.uncertain,
	}
	return a.pending
}

// Swapped takes the record that is known to carry the effect of the pending
// swap, and returns the number of slots gained.
func (a *Allotment) Swapped(now time.Time, holder Holder, sequence uint64, record AllotmentRecord) int {
	done := a.pending
	if done == nil || done.Sequence != sequence {
		return 0
	}
	a.pending = nil
	a.uncertain = false
	a.record = record
	if done.Holder != holder {
		// The hold lapsed while the swap was in flight.
		return 0
	}
	before := a.granted
	a.granted = record.Entry(holder).Slots
	a.former = without(a.former, done.Former)
	a.adopt = false
	a.SetLimit(record.Limit)
	a.settle(now, record)
	gained := a.granted - before
	if done.Purpose == SwapRaise {
		a.backOff(now, gained)
	}
	return gained
}

// settle compares the recorded sum with the limit.
func (a *Allotment) settle(now time.Time, record AllotmentRecord) {
	if a.limit.Unbounded {
		a.confirm = confirmed
		return
	}
	if record.Limit.Revision < a.limit.Revision {
		// The limit changed while the swap was in flight.
		changed := confirmRaise
		if record.Limit.Unbounded || a.limit.Slots < record.Limit.Slots {
			changed = confirmLower
		}
		a.confirm = max(a.confirm, changed)
		return
	}
	if a.limit.Allows(record.Sum()) {
		a.confirm = confirmed
		return
	}
	a.confirm = confirmLower
	a.retryAt = now.Add(settlePause)
}

func (a *Allotment) backOff(now time.Time, gained int) {
	if gained > 0 {
		a.backoff = 0
		a.short = false
		return
	}
	a.short = true
	a.backoff = min(max(firstBackoff, 2*a.backoff), maxBackoff)
	a.retryAt = now.Add(a.backoff)
}

// Failed takes the failure of the pending swap. Unless it is known to have no
// effect, it may take effect later: a raise is not used, and a lowered entry
// stays lowered in use.
func (a *Allotment) Failed(now time.Time, holder Holder, sequence uint64, noEffect bool) {
	done := a.pending
	if done == nil || done.Sequence != sequence {
		return
	}
	a.pending = nil
	if noEffect && done.Purpose == SwapLower && done.Holder == holder {
		a.granted = a.unlowered
	}
	a.uncertain = a.uncertain || !noEffect
	a.short = true
	a.backoff = 0
	a.retryAt = now.Add(outagePause)
	if a.confirm == confirmRaise {
		// Without the platform, the holder goes on with the slots it has.
		a.confirm = confirmed
	}
}

// Lapse takes the end of the hold of an identity. Its slots cannot be used any
// more; the next swap takes over what is left of them.
func (a *Allotment) Lapse(old Holder) {
	if a.granted > 0 || a.pending != nil || a.uncertain {
		a.former = append(a.former, old)
	}
	a.granted = 0
}

func without(list, gone []Holder) []Holder {
	var kept []Holder
	for _, h := range list {
		if !contains(gone, h) {
			kept = append(kept, h)
		}
	}
	return kept
}
