package peer

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/link"
)

// Bounds of the exchanges of a loan. A request that finds no slot waits for the
// answer, so the first one is short.
const (
	loanTimeout   = 500 * time.Millisecond
	returnTimeout = 2 * time.Second
)

// loanRequest asks for slots of a limit.
type loanRequest struct {
	Limit contract.Ref `cbor:"limit"`
	Slots int          `cbor:"slots"`
	ID    string       `cbor:"id"`
}

// loanReply is the answer. Slots is 0 for a refusal.
type loanReply struct {
	Slots    int    `cbor:"slots"`
	PeriodMS int64  `cbor:"period_ms"`
	Reason   string `cbor:"reason,omitempty"`
}

// loanReturn ends a loan.
type loanReturn struct {
	Limit contract.Ref `cbor:"limit"`
	ID    string       `cbor:"id"`
}

// loanRequested hands a request to the control thread.
func loanRequested(ctx context.Context, c Control, from link.Member, body []byte) ([]byte, error) {
	var request loanRequest
	replies := make(chan contract.LoanReply, 1)
	reply, err := ask(ctx, c, body, &request, replies, func() fleet.Event {
		return fleet.LoanRequested{From: from, Limit: request.Limit, Slots: request.Slots, ID: request.ID, Reply: replies}
	})
	if err != nil {
		return nil, err
	}
	return EncodeBody(loanReply{Slots: reply.Slots, PeriodMS: reply.Period.Milliseconds(), Reason: reply.Reason})
}

// loanReturned hands a return to the control thread.
func loanReturned(ctx context.Context, c Control, body []byte) ([]byte, error) {
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
	limited, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	sent := r.clock()
	var reply loanReply
	_, err := r.call(limited, a.To, KindLoanRequest, loanRequest{Limit: a.Limit, Slots: a.Slots, ID: a.ID}, &reply)
	if err != nil {
		r.log.WithError(err).Debugf("limits: no loan from %s for %s", a.To.ID, a.Limit)
		return fleet.LoanRefused{From: a.To, Limit: a.Limit, ID: a.ID, Unknown: !errors.Is(err, ErrNotSent)}
	}
	if reply.Slots <= 0 {
		r.log.Debugf("limits: %s refused a loan for %s: %s", a.To.ID, a.Limit, reply.Reason)
		return fleet.LoanRefused{From: a.To, Limit: a.Limit, ID: a.ID}
	}
	period := time.Duration(reply.PeriodMS) * time.Millisecond
	return fleet.LoanGranted{
		From: a.To, Limit: a.Limit, ID: a.ID, SentAt: sent,
		Reply: contract.LoanReply{Slots: reply.Slots, Period: period},
	}
}

func (r *Runner) returnLoan(ctx context.Context, a fleet.ReturnLoan) {
	limited, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	var taken bool
	if _, err := r.call(limited, a.To, KindLoanReturn, loanReturn{Limit: a.Limit, ID: a.ID}, &taken); err != nil {
		r.log.WithError(err).Debugf("limits: loan %s of %s was not returned, it ends by itself", a.ID, a.To.ID)
	}
}
