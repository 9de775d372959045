package contract

import "time"

// minLoanPeriod is the shortest loan: a shorter one would end before a message
// and a start are done.
const minLoanPeriod = 2 * time.Second

// startMargin is how long before the end of a loan its taker stops starting
// work, so that admitted work is sent before the end.
const startMargin = time.Second

// Loan is a number of slots that one holder uses out of the entry of another.
// Neither side writes it to the platform.
type Loan struct {
	// ID is the transfer id, chosen by the taker.
	ID    string
	Slots int
	// Peer is the other side.
	Peer string
	// StartBefore is the end of the period in which the taker may start work.
	StartBefore time.Time
	// EndsAt is when all work that was started with the loan is over. The giver
	// adds the clock margin.
	EndsAt time.Time
}

// LoanReply is the answer of a giver.
type LoanReply struct {
	// Slots is 0 when the loan was refused.
	Slots int
	// Period is how long the taker may start work, counted from when the taker
	// sent its request.
	Period time.Duration
	// Reason explains a refusal.
	Reason string
}

// loanBook holds the loans of one allotment, given and taken.
type loanBook struct {
	lent     map[string]Loan
	borrowed map[string]Loan
	// ended holds the transfer ids of loans that were returned, until no copy of
	// their request can be answered usefully any more.
	ended map[string]time.Time
	// asked is the transfer id of the loan request in flight, empty when there
	// is none.
	asked string
}

func newLoanBook() loanBook {
	return loanBook{
		lent:     make(map[string]Loan),
		borrowed: make(map[string]Loan),
		ended:    make(map[string]time.Time),
	}
}

// expire forgets loans that are over.
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

// lentSlots are the slots that others may be using.
func (b *loanBook) lentSlots() int {
	sum := 0
	for _, l := range b.lent {
		sum += l.Slots
	}
	return sum
}

// startable are the borrowed slots that work may be started with.
func (b *loanBook) startable(now time.Time) int {
	sum := 0
	for _, l := range b.borrowed {
		if now.Before(l.StartBefore.Add(-startMargin)) {
			sum += l.Slots
		}
	}
	return sum
}

// firstEnd returns the earliest end of a startable loan.
func (b *loanBook) firstEnd(now time.Time) time.Time {
	var first time.Time
	for _, l := range b.borrowed {
		if now.Before(l.StartBefore.Add(-startMargin)) && (first.IsZero() || l.StartBefore.Before(first)) {
			first = l.StartBefore
		}
	}
	return first
}

// occupied are the borrowed slots that work may still be running in.
func (b *loanBook) occupied(now time.Time) int {
	sum := 0
	for _, l := range b.borrowed {
		if now.Before(l.EndsAt) {
			sum += l.Slots
		}
	}
	return sum
}

// lend records a loan. The caller has checked that the slots are free.
func (b *loanBook) lend(now time.Time, id, taker string, slots int, period time.Duration, terms LimitTerms) LoanReply {
	end := now.Add(period)
	b.lent[id] = Loan{
		ID: id, Slots: slots, Peer: taker, StartBefore: end,
		EndsAt: now.Add(widen(period + terms.LongestLease)),
	}
	return LoanReply{Slots: slots, Period: period}
}

// repeated answers a request whose transfer id is known.
func (b *loanBook) repeated(now time.Time, id string) (LoanReply, bool) {
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

// returned ends a loan at the giver. An unknown id is remembered too: the
// request of the loan may arrive after its return.
func (b *loanBook) returned(now time.Time, id string, terms LimitTerms) {
	delete(b.lent, id)
	b.ended[id] = now.Add(widen(terms.LoanPeriod + terms.LongestLease))
}

// borrow records a granted loan at the taker.
func (b *loanBook) borrow(id, giver string, sentAt time.Time, reply LoanReply, terms LimitTerms) {
	start := sentAt.Add(reply.Period)
	b.borrowed[id] = Loan{
		ID: id, Slots: reply.Slots, Peer: giver, StartBefore: start,
		EndsAt: start.Add(terms.LongestLease),
	}
}
