package peer

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/link"
)

// Timeouts of loan exchanges. A caller's request without a free slot waits for
// the loan, so the timeout of the loan request is short.
const (
	loanRequestTimeout = 500 * time.Millisecond
	loanReturnTimeout  = 2 * time.Second
)

// loanRequest is the message that requests slots of a limit.
type loanRequest struct {
	Limit contract.Ref `cbor:"limit"`
	Slots int          `cbor:"slots"`
	ID    string       `cbor:"id"`
}

// loanReply is the reply to a loanRequest. Slots is 0 when the lender refuses.
type loanReply struct {
	Slots    int    `cbor:"slots"`
	PeriodMS int64  `cbor:"period_ms"`
	Reason   string `cbor:"reason,omitempty"`
}

// loanReturn is the message with which the borrower ends a loan.
type loanReturn struct {
	Limit contract.Ref `cbor:"limit"`
	ID    string       `cbor:"id"`
}

// handleLoanRequest asks the control thread for the loan that another instance
// requests and returns the encoded loanReply.
func handleLoanRequest(ctx context.Context, c EventSender, from link.Member, body []byte) ([]byte, error) {
	var request loanRequest
	replies := make(chan contract.LoanReply, 1)
	reply, err := askControl(ctx, c, body, &request, replies, func() fleet.Event {
		return fleet.LoanRequested{From: from, Limit: request.Limit, Slots: request.Slots, ID: request.ID, Reply: replies}
	})
	if err != nil {
		return nil, err
	}
	return EncodeBody(loanReply{Slots: reply.Slots, PeriodMS: reply.Period.Milliseconds(), Reason: reply.Reason})
}

// handleLoanReturn tells the control thread that another instance returns a loan.
// The reply confirms that the event was queued, not that it was applied.
func handleLoanReturn(ctx context.Context, c EventSender, body []byte) ([]byte, error) {
	var message loanReturn
	if err := DecodeBody(body, &message); err != nil {
		return nil, err
	}
	if err := c.Send(ctx, fleet.LoanReturned{Limit: message.Limit, ID: message.ID}); err != nil {
		return nil, err
	}
	return EncodeBody(true)
}

func (r *Runner) requestLoan(ctx context.Context, a fleet.RequestLoan) fleet.Event {
	timeoutCtx, cancel := context.WithTimeout(ctx, loanRequestTimeout)
	defer cancel()
	sentAt := r.clock()
	var reply loanReply
	_, err := r.call(timeoutCtx, a.To, KindLoanRequest, loanRequest{Limit: a.Limit, Slots: a.Slots, ID: a.ID}, &reply)
	if err != nil {
		r.log.WithError(err).Debugf("limits: loan request to %s for %s failed", a.To.ID, a.Limit)
		return fleet.LoanRefused{From: a.To, Limit: a.Limit, ID: a.ID, Unknown: !errors.Is(err, ErrNotSent)}
	}
	if reply.Slots <= 0 {
		r.log.Debugf("limits: %s refused a loan for %s: %s", a.To.ID, a.Limit, reply.Reason)
		return fleet.LoanRefused{From: a.To, Limit: a.Limit, ID: a.ID}
	}
	period := time.Duration(reply.PeriodMS) * time.Millisecond
	return fleet.LoanGranted{
		From: a.To, Limit: a.Limit, ID: a.ID, SentAt: sentAt,
		Reply: contract.LoanReply{Slots: reply.Slots, Period: period},
	}
}

func (r *Runner) returnLoan(ctx context.Context, a fleet.ReturnLoan) {
	timeoutCtx, cancel := context.WithTimeout(ctx, loanReturnTimeout)
	defer cancel()
	var accepted bool
	if _, err := r.call(timeoutCtx, a.To, KindLoanReturn, loanReturn{Limit: a.Limit, ID: a.ID}, &accepted); err != nil {
		r.log.WithError(err).Debugf("limits: return of loan %s to %s failed; the loan ends when its period expires", a.ID, a.To.ID)
	}
}
