package link

import "time"

// Parameters of retry budgets.
const (
	// retryRatio is the share of a team's requests that may be retries.
	retryRatio = 0.1
	// retryFloor is the number of retries a second that a team may make however
	// few requests it sends. Without it a small team could never retry.
	retryFloor = 1.0
	// retryFloorBurst bounds the retries that the floor saves up.
	retryFloorBurst = 3.0
	// retryBurst bounds the retries that a team can save up, so that a wave of
	// failures after a quiet hour does not double the load.
	retryBurst = 10.0

	backOffBase = 10 * time.Millisecond
	backOffMax  = 500 * time.Millisecond
)

// RetryBudget bounds the retries of one team to a tenth of its requests plus a
// floor. It is not safe for concurrent use.
type RetryBudget struct {
	tokens  float64
	updated time.Time
}

// NewRetryBudget returns a budget that holds the floor's burst.
func NewRetryBudget(now time.Time) *RetryBudget {
	return &RetryBudget{tokens: retryFloorBurst, updated: now}
}

// Earn credits one request of the team.
func (b *RetryBudget) Earn(now time.Time) {
	b.refill(now)
	b.tokens = min(b.tokens+retryRatio, retryBurst)
}

// Take pays for one retry and reports whether the budget allowed it.
func (b *RetryBudget) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill adds what the floor gives for the time that has passed.
func (b *RetryBudget) refill(now time.Time) {
	passed := now.Sub(b.updated)
	if passed <= 0 {
		return
	}
	b.updated = now
	if b.tokens < retryFloorBurst {
		b.tokens = min(b.tokens+passed.Seconds()*retryFloor, retryFloorBurst)
	}
}

// BackOff returns the pause before the retry that follows attempt number n. The
// random value in [0,1) spreads retries of many callers over half of the pause.
func BackOff(n int, random float64) time.Duration {
	pause := backOffMax
	if shift := max(n-1, 0); shift < 6 {
		pause = min(backOffBase<<shift, backOffMax)
	}
	return pause/2 + time.Duration(random*float64(pause/2))
}
