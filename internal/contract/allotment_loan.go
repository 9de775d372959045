package contract

import (
	"sort"
	"time"
)

// Lend answers a loan request of another holder. Waiting is the number of own
// requests that wait, holdUntil the end of the giver's hold.
func (a *Allotment) Lend(now time.Time, id, taker string, slots, waiting int, holdUntil time.Time) LoanReply {
	a.loans.expire(now)
	if reply, ok := a.loans.repeated(now, id); ok {
		return reply
	}
	period := min(a.terms.LoanPeriod, holdUntil.Sub(now))
	if period < minLoanPeriod {
		return LoanReply{Reason: "the giver's hold is about to end"}
	}
	if a.confirm != confirmed || a.limit.Unbounded {
		return LoanReply{Reason: "the limit changed and is not settled"}
	}
	if a.pending != nil && a.pending.Purpose != SwapRaise {
		return LoanReply{Reason: "the giver is returning slots"}
	}
	// Borrowed slots are not lent on: only the giver of a loan knows its end.
	own := a.granted - a.loans.lentSlots() - a.running - waiting
	n := min(slots, own)
	if n <= 0 {
		return LoanReply{Reason: "no idle slots"}
	}
	return a.loans.lend(now, id, taker, n, period, a.terms)
}

// LoanWanted returns the number of slots to ask another holder for; 0 means
// none. A loan is wanted when the last raise gained too little, or when the hold
// is over and there can be no raise.
func (a *Allotment) LoanWanted(now time.Time, waiting int, held bool) int {
	if a.loans.asked != "" || a.pending != nil || held && !a.short || a.confirm != confirmed || a.limit.Unbounded {
		return 0
	}
	missing := waiting - a.Free(now, held)
	if missing <= 0 {
		return 0
	}
	return missing + max(1, missing/firstChunk)
}

// AskLoan records the transfer id of the request in flight.
func (a *Allotment) AskLoan(id string) { a.loans.asked = id }

// Borrow takes a granted loan and reports whether it is of use. A loan that was
// not asked for, or no longer, must be returned.
func (a *Allotment) Borrow(now time.Time, id, giver string, sentAt time.Time, reply LoanReply) bool {
	if a.loans.asked != id {
		_, known := a.loans.borrowed[id]
		return known
	}
	a.loans.asked = ""
	if reply.Slots <= 0 || !now.Before(sentAt.Add(reply.Period)) {
		return false
	}
	a.loans.borrow(id, giver, sentAt, reply, a.terms)
	return true
}

// LoanFailed ends the loan request in flight without a loan. It reports whether
// the request was the one in flight.
func (a *Allotment) LoanFailed(id string) bool {
	if a.loans.asked != id {
		return false
	}
	a.loans.asked = ""
	return true
}

// LoanReturned ends a loan at the giver. Late and repeated returns change
// nothing else.
func (a *Allotment) LoanReturned(now time.Time, id string) { a.loans.returned(now, id, a.terms) }

// IdleLoans removes and returns the borrowed loans that are not needed any
// more: the work that runs and waits fits into the remaining slots.
func (a *Allotment) IdleLoans(now time.Time, waiting int, held bool) []Loan {
	a.loans.expire(now)
	own := 0
	if held {
		own = a.granted - a.loans.lentSlots()
	}
	need := a.running + waiting
	var idle []Loan
	for _, l := range a.loans.sorted() {
		rest := own + a.loans.occupied(now) - l.Slots
		if need <= rest {
			delete(a.loans.borrowed, l.ID)
			idle = append(idle, l)
		}
	}
	return idle
}

// sorted returns the borrowed loans, those that end first at the front.
func (b *loanBook) sorted() []Loan {
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
