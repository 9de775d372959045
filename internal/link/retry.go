package link

import "time"

// Parameters of retry budgets. A retry takes one token.
const (
	// retryRatio is the number of tokens that each request adds to the budget of
	// its team.
	retryRatio = 0.1
	// retryFloorPerSecond is the number of tokens a second that is added to the
	// budget of a team independently of its requests. Without it a team with few
	// requests could hardly retry.
	retryFloorPerSecond = 1.0
	// retryFloorMaxTokens bounds the tokens that accumulate through
	// retryFloorPerSecond.
	retryFloorMaxTokens = 3.0
	// retryMaxTokens bounds all tokens of a team. Without it, the retries of many
	// simultaneous failures after a period without any could double the load on the
	// endpoints.
	retryMaxTokens = 10.0

	// backOffBase is the delay before the first retry, doubled for each further
	// one up to backOffMax.
	backOffBase = 10 * time.Millisecond
	backOffMax  = 500 * time.Millisecond
)

// RetryBudget is a token bucket that limits the retries of one team to a tenth
// of its requests plus a minimum rate. It is not safe for concurrent use.
type RetryBudget struct {
	tokens     float64
	refilledAt time.Time
}

// NewRetryBudget returns a budget with retryFloorMaxTokens tokens.
func NewRetryBudget(now time.Time) *RetryBudget {
	return &RetryBudget{tokens: retryFloorMaxTokens, refilledAt: now}
}

// AddRequest adds retryRatio tokens for one request of the team.
func (b *RetryBudget) AddRequest(now time.Time) {
	b.refill(now)
	b.tokens = min(b.tokens+retryRatio, retryMaxTokens)
}

// TakeRetry removes one token for a retry. It returns false when there is none.
func (b *RetryBudget) TakeRetry(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill adds the tokens that retryFloorPerSecond yields for the time since the
// last call.
func (b *RetryBudget) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	if b.tokens < retryFloorMaxTokens {
		b.tokens = min(b.tokens+elapsed.Seconds()*retryFloorPerSecond, retryFloorMaxTokens)
	}
}

// BackOff returns the delay before the retry that follows attempt number n,
// counted from 1. The random value in [0,1) spreads the retries of many callers
// over the second half of the delay.
func BackOff(n int, random float64) time.Duration {
	delay := backOffMax
	if shift := max(n-1, 0); shift < 6 {
		delay = min(backOffBase<<shift, backOffMax)
	}
	return delay/2 + time.Duration(random*float64(delay/2))
}
