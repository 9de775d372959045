package link

import "time"

// Bounds of the attempts of one request.
const (
	// MaxAttempts is the largest number of attempts of one request, including
	// those that sent nothing.
	MaxAttempts = 4
	// minAttemptTime is the shortest useful time for an attempt. With less than
	// twice this time left, an attempt gets all of it and none is kept for a
	// retry.
	minAttemptTime = 50 * time.Millisecond
)

// Attempt is one attempt to send a request to one endpoint.
type Attempt struct {
	RequestID string
	// Number counts from 1. The endpoint repeats it in its answer.
	Number int
	// Deadline is the end of the attempt, at the latest the caller's deadline.
	Deadline time.Time
	// NewConnection means that the attempt must open a new connection.
	NewConnection bool
}

// AttemptEnd is the outcome of an attempt.
type AttemptEnd int

// Outcomes of an attempt.
const (
	// AttemptAnswered means that a complete answer to this attempt arrived.
	AttemptAnswered AttemptEnd = iota
	// AttemptUnsent means that no byte of the request can have reached an
	// endpoint.
	AttemptUnsent
	// AttemptDeclined means that the endpoint answered that it did not run the
	// request.
	AttemptDeclined
	// AttemptLost means that bytes of the request may have been sent, but no valid
	// answer arrived.
	AttemptLost
)

// RetryCost says whether a request may be retried and whether the retry needs a
// token.
type RetryCost int

// Costs of a retry.
const (
	RetryForbidden RetryCost = iota
	// RetryFree means that the retry needs no token, since the last attempt put no
	// load on an endpoint.
	RetryFree
	// RetryNeedsToken means that the retry needs a token of the team's
	// RetryBudget.
	RetryNeedsToken
)

// AttemptPlan decides how often and until when one request is attempted. It is
// not safe for concurrent use.
//
// Invariant: a non-idempotent request is not sent again after a lost attempt.
type AttemptPlan struct {
	requestID  string
	idempotent bool
	// deadline is the caller's deadline.
	deadline time.Time
	// lastNumber is the number of the last attempt, 0 before the first.
	lastNumber int
	mayHaveRun bool
	lastEnd    AttemptEnd
}

// NewAttemptPlan returns the plan of a request before its first attempt.
func NewAttemptPlan(requestID string, idempotent bool, deadline time.Time) AttemptPlan {
	return AttemptPlan{requestID: requestID, idempotent: idempotent, deadline: deadline}
}

// Begin returns the next attempt. It returns false when the caller's deadline
// has passed, when MaxAttempts is reached, or when the request must not be sent
// again. The caller reports the outcome with End.
func (p *AttemptPlan) Begin(now time.Time) (Attempt, bool) {
	if !now.Before(p.deadline) || p.lastNumber >= MaxAttempts || p.resendForbidden() {
		return Attempt{}, false
	}
	p.lastNumber++
	return Attempt{RequestID: p.requestID, Number: p.lastNumber, Deadline: p.attemptDeadline(now)}, true
}

// resendForbidden reports whether the request is non-idempotent and may have
// run, so that it must not be sent again.
func (p *AttemptPlan) resendForbidden() bool { return p.mayHaveRun && !p.idempotent }

// attemptDeadline returns the deadline of the attempt that begins at now. An
// attempt of an idempotent request gets half of the remaining time, so that an
// endpoint that does not answer leaves time for a retry. A non-idempotent
// request gets all of it, since it is not sent again after a lost attempt.
func (p *AttemptPlan) attemptDeadline(now time.Time) time.Time {
	remaining := p.deadline.Sub(now)
	if !p.idempotent || p.lastNumber >= MaxAttempts || remaining < 2*minAttemptTime {
		return p.deadline
	}
	return now.Add(remaining / 2)
}

// End records the outcome of the attempt.
func (p *AttemptPlan) End(end AttemptEnd) {
	p.lastEnd = end
	if end == AttemptLost {
		p.mayHaveRun = true
	}
}

// Retry returns whether another attempt may follow at now, and whether it needs
// a token.
func (p *AttemptPlan) Retry(now time.Time) RetryCost {
	if p.lastEnd == AttemptAnswered || p.lastNumber >= MaxAttempts || !now.Before(p.deadline) || p.resendForbidden() {
		return RetryForbidden
	}
	if p.lastEnd == AttemptUnsent {
		return RetryFree
	}
	return RetryNeedsToken
}

// MayHaveRun reports whether an endpoint may have run the request in a lost
// attempt. While it is false, the outcome "not run" may be reported.
func (p *AttemptPlan) MayHaveRun() bool { return p.mayHaveRun }

// Attempts returns the number of attempts that Begin has returned.
func (p *AttemptPlan) Attempts() int { return p.lastNumber }
