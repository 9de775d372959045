package contract

import (
	"sort"
	"time"
)

// Expire removes the loans that have ended, so that lent slots count as free
// again.
func (a *Allotment) Expire(now time.Time) { a.loans.expire(now) }

// Lend returns the reply to another holder's loan request. Waiting is the
// number of the lender's own requests that wait for a slot, holdUntil the end
// of its hold. A repeated request with the same id does not lend again.
func (a *Allotment) Lend(now time.Time, id, borrower string, slots, waiting int, holdUntil time.Time) LoanReply {
	a.loans.expire(now)
	if reply, ok := a.loans.repeatedReply(now, id); ok {
		return reply
	}
	period := min(a.terms.LoanPeriod, holdUntil.Sub(now))
	if period < minLoanPeriod {
		return LoanReply{Reason: "the lender's hold is about to expire"}
	}
	if a.state != limitSettled || a.limit.Unbounded {
		return LoanReply{Reason: "the limit has changed and the slots held are not yet known to be within it"}
	}
	if a.pending != nil && a.pending.Purpose != SwapRaise {
		return LoanReply{Reason: "the lender is returning slots"}
	}
	// Borrowed slots are not lent again: only the lender knows when a loan ends.
	idle := a.granted - a.loans.lentSlots() - a.running - waiting
	lent := min(slots, idle)
	if lent <= 0 {
		return LoanReply{Reason: "no idle slots"}
	}
	return a.loans.recordLent(now, id, borrower, lent, period, a.terms)
}

// LoanSlotsWanted returns the number of slots to ask another holder for, 0 for
// none. A loan is wanted when requests wait and the last raise gained nothing
// or failed, or when the hold has expired, so that no raise is possible.
func (a *Allotment) LoanSlotsWanted(now time.Time, waiting int, holdValid bool) int {
	if a.loans.requestID != "" || a.pending != nil || holdValid && !a.raiseFailed || a.state != limitSettled || a.limit.Unbounded {
		return 0
	}
	missing := waiting - a.Free(now, holdValid)
	if missing <= 0 {
		return 0
	}
	return missing + max(1, missing/firstHeadroomDivisor)
}

// LoanRequested records the transfer id of the loan request that is now in flight.
func (a *Allotment) LoanRequested(id string) { a.loans.requestID = id }

// Borrow records the reply to a loan request that was sent at sentAt, and
// reports whether the loan is in use. When it returns false, the caller must
// return any slots granted: the request is no longer in flight, or the loan has
// ended.
func (a *Allotment) Borrow(now time.Time, id, lender string, sentAt time.Time, reply LoanReply) bool {
	if a.loans.requestID != id {
		_, known := a.loans.borrowed[id]
		return known
	}
	a.loans.requestID = ""
	if reply.Slots <= 0 || !now.Before(sentAt.Add(reply.Period)) {
		return false
	}
	a.loans.recordBorrowed(id, lender, sentAt, reply, a.terms)
	return true
}

// RecordLoanFailure records that a loan request failed, and reports whether it
// was the one in flight.
func (a *Allotment) RecordLoanFailure(id string) bool {
	if a.loans.requestID != id {
		return false
	}
	a.loans.requestID = ""
	return true
}

// LoanReturned ends a lent loan. It may be called again for the same id, and
// before the request of the loan arrives.
func (a *Allotment) LoanReturned(now time.Time, id string) { a.loans.recordReturn(now, id, a.terms) }

// TakeIdleLoans removes and returns the borrowed loans that are no longer
// needed, because running work and waiting requests fit into the remaining
// slots. The caller returns them to their lenders.
func (a *Allotment) TakeIdleLoans(now time.Time, waiting int, holdValid bool) []Loan {
	a.loans.expire(now)
	own := 0
	if holdValid {
		own = a.granted - a.loans.lentSlots()
	}
	need := a.running + waiting
	var idle []Loan
	for _, l := range a.loans.borrowedByEnd() {
		rest := own + a.loans.occupiedSlots(now) - l.Slots
		if need <= rest {
			delete(a.loans.borrowed, l.ID)
			idle = append(idle, l)
		}
	}
	return idle
}

// borrowedByEnd returns the borrowed loans in the order in which they end.
func (b *loanBook) borrowedByEnd() []Loan {
	list := make([]Loan, 0, len(b.borrowed))
	for _, l := range b.borrowed {
		list = append(list, l)
	}
	sort.Slice(list, func(i, j int) bool {
		if !list[i].EndsAt.Equal(list[j].EndsAt) {
			return list[i].EndsAt.Before(list[j].EndsAt)
		}
		return list[i].ID < list[j].ID
	})
	return list
}
