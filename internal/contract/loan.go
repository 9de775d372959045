package contract

import "time"

// minLoanPeriod is the shortest period of a loan. A shorter loan could end
// before its reply has arrived and work has started.
const minLoanPeriod = 2 * time.Second

// loanStartMargin is how long before StartBefore the borrower stops admitting
// work under a loan, so that admitted work is sent in time.
const loanStartMargin = time.Second

// Loan is a number of slots that one holder, the borrower, uses out of the
// entry of another, the lender. Neither side writes it to the platform.
type Loan struct {
	// ID is the transfer id, chosen by the borrower.
	ID    string
	Slots int
	// Peer is the instance id of the other side.
	Peer string
	// StartBefore is the end of the period in which the borrower may start work.
	StartBefore time.Time
	// EndsAt is when all work started under the loan has ended. The lender adds
	// the clock margin.
	EndsAt time.Time
}

// LoanReply is a lender's reply to a loan request.
type LoanReply struct {
	// Slots is 0 when the loan was refused.
	Slots int
	// Period is how long the borrower may start work, counted from when it sent
	// its request.
	Period time.Duration
	// Reason explains a refusal.
	Reason string
}

// loanBook holds the loans of one allotment, lent and borrowed, by transfer id.
type loanBook struct {
	lent     map[string]Loan
	borrowed map[string]Loan
	// ended maps the transfer ids of lent loans that have ended to the time until
	// which a late copy of their request is refused.
	ended map[string]time.Time
	// requestID is the transfer id of the loan request in flight, empty when there
	// is none.
	requestID string
}

func newLoanBook() loanBook {
	return loanBook{
		lent:     make(map[string]Loan),
		borrowed: make(map[string]Loan),
		ended:    make(map[string]time.Time),
	}
}

// expire removes the loans that have ended.
func (b *loanBook) expire(now time.Time) {
	for id, l := range b.lent {
		if !now.Before(l.EndsAt) {
			delete(b.lent, id)
			b.ended[id] = l.EndsAt.Add(l.EndsAt.Sub(l.StartBefore))
		}
	}
	for id, l := range b.borrowed {
		if !now.Before(l.EndsAt) {
			delete(b.borrowed, id)
		}
	}
	for id, until := range b.ended {
		if !now.Before(until) {
			delete(b.ended, id)
		}
	}
}

// lentSlots returns the number of own slots that borrowers may be using.
func (b *loanBook) lentSlots() int {
	sum := 0
	for _, l := range b.lent {
		sum += l.Slots
	}
	return sum
}

// startableSlots returns the number of borrowed slots in which work may start
// at now.
func (b *loanBook) startableSlots(now time.Time) int {
	sum := 0
	for _, l := range b.borrowed {
		if now.Before(l.StartBefore.Add(-loanStartMargin)) {
			sum += l.Slots
		}
	}
	return sum
}

// earliestStartBefore returns the earliest StartBefore of the borrowed loans
// under which work may start at now, the zero time when there is none.
func (b *loanBook) earliestStartBefore(now time.Time) time.Time {
	var first time.Time
	for _, l := range b.borrowed {
		if now.Before(l.StartBefore.Add(-loanStartMargin)) && (first.IsZero() || l.StartBefore.Before(first)) {
			first = l.StartBefore
		}
	}
	return first
}

// occupiedSlots returns the number of borrowed slots in which work may be
// running.
func (b *loanBook) occupiedSlots(now time.Time) int {
	sum := 0
	for _, l := range b.borrowed {
		if now.Before(l.EndsAt) {
			sum += l.Slots
		}
	}
	return sum
}

// recordLent records a lent loan and returns the reply. The caller has checked
// that the slots are free.
func (b *loanBook) recordLent(now time.Time, id, borrower string, slots int, period time.Duration, terms LimitTerms) LoanReply {
	end := now.Add(period)
	b.lent[id] = Loan{
		ID: id, Slots: slots, Peer: borrower, StartBefore: end,
		EndsAt: now.Add(addClockMargin(period + terms.MaxWorkDuration)),
	}
	return LoanReply{Slots: slots, Period: period}
}

// repeatedReply returns the reply to a repeated request, and false when the
// transfer id is not known.
func (b *loanBook) repeatedReply(now time.Time, id string) (LoanReply, bool) {
	if l, ok := b.lent[id]; ok {
		left := l.StartBefore.Sub(now)
		if left < minLoanPeriod {
			return LoanReply{Reason: "the loan is about to end"}, true
		}
		return LoanReply{Slots: l.Slots, Period: left}, true
	}
	if _, ok := b.ended[id]; ok {
		return LoanReply{Reason: "the loan was returned"}, true
	}
	return LoanReply{}, false
}

// recordReturn ends a lent loan. It also records an unknown transfer id, since
// the return may arrive before the request.
func (b *loanBook) recordReturn(now time.Time, id string, terms LimitTerms) {
	delete(b.lent, id)
	b.ended[id] = now.Add(addClockMargin(terms.LoanPeriod + terms.MaxWorkDuration))
}

// recordBorrowed records a borrowed loan. Its period counts from sentAt, when
// the request was sent.
func (b *loanBook) recordBorrowed(id, lender string, sentAt time.Time, reply LoanReply, terms LimitTerms) {
	start := sentAt.Add(reply.Period)
	b.borrowed[id] = Loan{
		ID: id, Slots: reply.Slots, Peer: lender, StartBefore: start,
		EndsAt: start.Add(terms.MaxWorkDuration),
	}
}
