package fleet

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/link"
)

// maxLenders is the number of holders that are asked for a loan between two
// swaps of a limit.
const maxLenders = 3

// RequestLoan asks another holder for a loan. The result is LoanGranted or
// LoanRefused.
type RequestLoan struct {
	To    link.Member
	Limit contract.Ref
	Slots int
	// ID is the transfer id. It makes the request idempotent: a repeated request
	// returns the same loan.
	ID string
}

func (RequestLoan) isAction()     {}
func (RequestLoan) isPeerAction() {}

// ReturnLoan returns a loan to its lender. It has no result: when the message is
// lost, the lender keeps the slots reserved until the loan expires.
type ReturnLoan struct {
	To    link.Member
	Limit contract.Ref
	ID    string
}

func (ReturnLoan) isAction()     {}
func (ReturnLoan) isPeerAction() {}

// LoanRequested reports a loan request of another holder. Reply must have a free
// buffer place.
type LoanRequested struct {
	From  link.Member
	Limit contract.Ref
	Slots int
	ID    string
	Reply chan<- contract.LoanReply
}

// Apply implements Event.
func (e LoanRequested) Apply(f *Fleet, now time.Time) []Action {
	if _, known := f.register.Get(e.Limit); !known || f.limits.stopping {
		e.Reply <- contract.LoanReply{Reason: "the lender is stopping or does not know the limit"}
		return nil
	}
	actions := f.refreshLimits(now)
	a := f.allotment(e.Limit)
	waiting := f.waitingFor(e.Limit)
	reply := a.Lend(now, e.ID, e.From.ID, e.Slots, waiting, f.limits.hold.ValidUntil())
	e.Reply <- reply
	if reply.Slots > 0 {
		f.recordLoan(now, e.Limit, "lend", e.From.ID, reply.Slots)
	}
	return actions
}

// LoanGranted reports that a lender granted a loan.
type LoanGranted struct {
	From  link.Member
	Limit contract.Ref
	ID    string
	Reply contract.LoanReply
	// SentAt is when the request was sent. The period of the loan starts then.
	SentAt time.Time
}

// Apply implements Event.
func (e LoanGranted) Apply(f *Fleet, now time.Time) []Action {
	if !strings.HasPrefix(e.ID, f.transferPrefix()) {
		// An earlier process of this instance requested the loan, and its work
		// may still run on the borrowed slots. The loan must not be returned.
		return nil
	}
	a := f.allotment(e.Limit)
	if !a.Borrow(now, e.ID, e.From.ID, e.SentAt, e.Reply) {
		return append(f.reconcileAllotment(now, a), ReturnLoan{To: e.From, Limit: e.Limit, ID: e.ID})
	}
	f.recordLoan(now, e.Limit, "borrow", e.From.ID, e.Reply.Slots)
	return f.reconcileAllotment(now, a)
}

// LoanRefused reports that a loan was refused or that the outcome of the request
// is unknown.
type LoanRefused struct {
	From  link.Member
	Limit contract.Ref
	ID    string
	// Unknown is true when the lender may have granted the loan.
	Unknown bool
}

// Apply implements Event.
func (e LoanRefused) Apply(f *Fleet, now time.Time) []Action {
	a := f.allotment(e.Limit)
	var actions []Action
	if a.RecordLoanFailure(e.ID) && e.Unknown {
		actions = append(actions, ReturnLoan{To: e.From, Limit: e.Limit, ID: e.ID})
	}
	return append(actions, f.reconcileAllotment(now, a)...)
}

// LoanReturned reports that the borrower returned a loan. It may arrive more
// than once, late, or before the loan request.
type LoanReturned struct {
	Limit contract.Ref
	ID    string
}

// Apply implements Event.
func (e LoanReturned) Apply(f *Fleet, now time.Time) []Action {
	if _, known := f.register.Get(e.Limit); !known {
		return nil
	}
	a := f.allotment(e.Limit)
	a.LoanReturned(now, e.ID)
	return f.reconcileAllotment(now, a)
}

// planLoan requests a loan from the next lender when the last swap granted fewer
// slots than are needed.
func (f *Fleet) planLoan(now time.Time, a *contract.Allotment) []Action {
	ref := a.Ref()
	slots := a.LoanSlotsWanted(now, f.limits.queue.Waiting(ref), f.limits.hold.Valid(now))
	if slots == 0 || f.limits.stopping {
		return nil
	}
	lender, ok := f.nextLender(a)
	if !ok {
		return nil
	}
	f.limits.loanRequests++
	id := f.transferPrefix() + strconv.FormatUint(f.limits.loanRequests, 10)
	a.LoanRequested(id)
	return []Action{RequestLoan{To: lender, Limit: ref, Slots: slots, ID: id}}
}

// transferPrefix returns the prefix of the transfer ids of this process.
func (f *Fleet) transferPrefix() string {
	return fmt.Sprintf("%s/%d/", f.self.ID, f.self.Incarnation)
}

// nextLender returns the lender to ask next: the holder with the most slots that
// was not asked since the last swap. Holders in this instance's data centre come
// first.
func (f *Fleet) nextLender(a *contract.Allotment) (link.Member, bool) {
	asked := f.limits.askedLenders[a.Ref()]
	if len(asked) >= maxLenders {
		return link.Member{}, false
	}
	record := a.Record()
	entries := append([]contract.AllotmentEntry(nil), record.Entries...)
	inOwnDataCentre := func(e contract.AllotmentEntry) bool {
		holderRecord, _ := f.limits.watch.Record(e.Holder.Instance)
		return holderRecord.DataCentre == f.self.DataCentre
	}
	sort.SliceStable(entries, func(i, j int) bool {
		if inOwnDataCentre(entries[i]) != inOwnDataCentre(entries[j]) {
			return inOwnDataCentre(entries[i])
		}
		return entries[i].Slots > entries[j].Slots
	})
	for _, e := range entries {
		holderRecord, ok := f.limits.watch.Record(e.Holder.Instance)
		if !ok || holderRecord.Holder != e.Holder || e.Holder.Instance == f.self.ID || asked[e.Holder.Instance] {
			continue
		}
		f.markAsked(a.Ref(), e.Holder.Instance)
		return link.Member{ID: e.Holder.Instance, Incarnation: e.Holder.Incarnation, DataCentre: holderRecord.DataCentre, Address: holderRecord.Address}, true
	}
	return link.Member{}, false
}

func (f *Fleet) markAsked(ref contract.Ref, instance string) {
	if f.limits.askedLenders[ref] == nil {
		f.limits.askedLenders[ref] = make(map[string]bool)
	}
	f.limits.askedLenders[ref][instance] = true
}

// returnLoans returns the loans that an allotment does not need.
func (f *Fleet) returnLoans(now time.Time, a *contract.Allotment, waiting int, holdValid bool) []Action {
	var actions []Action
	for _, loan := range a.TakeIdleLoans(now, waiting, holdValid) {
		r, ok := f.limits.watch.Record(loan.Peer)
		if !ok {
			continue
		}
		to := link.Member{ID: loan.Peer, Incarnation: r.Holder.Incarnation, DataCentre: r.DataCentre, Address: r.Address}
		actions = append(actions, ReturnLoan{To: to, Limit: a.Ref(), ID: loan.ID})
	}
	return actions
}

func (f *Fleet) recordLoan(now time.Time, ref contract.Ref, action, peer string, slots int) {
	f.recordDecision(Decision{
		At: now, Subject: subjectOf(ref), Action: action, Reason: "a holder had too few slots",
		Inputs: []Input{{Name: "peer", Value: peer}, intInput("slots", slots)},
	})
}
