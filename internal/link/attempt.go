package link

import "time"

// Bounds of the attempts of one request.
const (
	// MaxAttempts bounds the attempts of one request, those included that sent
	// nothing.
	MaxAttempts = 4
	// minShare is the shortest time that is worth a retry of its own. Below
	// twice this value an attempt gets all the time that is left.
	minShare = 50 * time.Millisecond
)

// Attempt is one try of a request at one endpoint.
type Attempt struct {
	RequestID string
	// Number counts from 1. The endpoint repeats it in its answer.
	Number int
	// Deadline is the end of this attempt's share of the caller's deadline.
	Deadline time.Time
	// NewConnection forbids a connection that was used before.
	NewConnection bool
}

// AttemptEnd is what is known of an attempt that ended.
type AttemptEnd int

// Ends of an attempt.
const (
	// AttemptAnswered means that a complete answer to this attempt arrived.
	AttemptAnswered AttemptEnd = iota
	// AttemptUnsent means that no byte can have reached an endpoint.
	AttemptUnsent
	// AttemptDeclined means that the endpoint answered that it did not run the
	// request.
	AttemptDeclined
	// AttemptLost means that a byte may have left and no valid answer arrived.
	AttemptLost
)

// RetryCost says whether a request may be tried again and who pays for it.
type RetryCost int

// Costs of a retry.
const (
	RetryForbidden RetryCost = iota
	// RetryFree is for attempts that put no load on an endpoint.
	RetryFree
	// RetryPaid needs a token of the team's RetryBudget.
	RetryPaid
)

// AttemptPlan decides about the attempts of one request.
//
// Invariant: after an attempt was lost, a non-idempotent request is never sent
// again.
type AttemptPlan struct {
	requestID  string
	idempotent bool
	deadline   time.Time
	number     int
	mayHaveRun bool
	last       AttemptEnd
}

// NewAttemptPlan returns the plan of a request that was not tried yet.
func NewAttemptPlan(requestID string, idempotent bool, deadline time.Time) AttemptPlan {
	return AttemptPlan{requestID: requestID, idempotent: idempotent, deadline: deadline}
}

// Begin returns the next attempt. It returns false when the caller's deadline
// has passed, when the attempts are used up, or when the request must not be
// sent again.
func (p *AttemptPlan) Begin(now time.Time) (Attempt, bool) {
	if !now.Before(p.deadline) || p.number >= MaxAttempts || p.sentOnceOnly() {
		return Attempt{}, false
	}
	p.number++
	return Attempt{RequestID: p.requestID, Number: p.number, Deadline: p.share(now)}, true
}

// sentOnceOnly reports whether the one permitted send may have happened.
func (p *AttemptPlan) sentOnceOnly() bool { return p.mayHaveRun && !p.idempotent }

// share returns the deadline of the attempt that begins at now. An idempotent
// request keeps half of the remaining time for a retry, so that one silent
// connection does not use up the caller's deadline. A non-idempotent request
// has no second send to keep time for.
func (p *AttemptPlan) share(now time.Time) time.Time {
	left := p.deadline.Sub(now)
	if !p.idempotent || p.number >= MaxAttempts || left < 2*minShare {
		return p.deadline
	}
	return now.Add(left / 2)
}

// End records how the attempt ended.
func (p *AttemptPlan) End(end AttemptEnd) {
	p.last = end
	if end == AttemptLost {
		p.mayHaveRun = true
	}
}

// Retry reports whether another attempt may follow at now.
func (p *AttemptPlan) Retry(now time.Time) RetryCost {
	if p.last == AttemptAnswered || p.number >= MaxAttempts || !now.Before(p.deadline) || p.sentOnceOnly() {
		return RetryForbidden
	}
	if p.last == AttemptUnsent {
		return RetryFree
	}
	return RetryPaid
}

// MayHaveRun reports whether any attempt may have been run by an endpoint. When
// it is false, "not run" is a true outcome.
func (p *AttemptPlan) MayHaveRun() bool { return p.mayHaveRun }

// Attempts returns the number of attempts that began.
func (p *AttemptPlan) Attempts() int { return p.number }
