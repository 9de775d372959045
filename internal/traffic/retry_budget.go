package traffic

import (
	"sync"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/link"
)

// retryBudgets holds the retry budget of each team for the requests of this
// process. Budgets are not shared between processes. It is safe for concurrent
// use.
type retryBudgets struct{ byTeam sync.Map }

// forTeam returns the budget of a team and creates it on first use.
func (b *retryBudgets) forTeam(team string, now time.Time) *teamRetryBudget {
	if value, ok := b.byTeam.Load(team); ok {
		return value.(*teamRetryBudget)
	}
	value, _ := b.byTeam.LoadOrStore(team, &teamRetryBudget{budget: link.NewRetryBudget(now)})
	return value.(*teamRetryBudget)
}

// teamRetryBudget is a retry budget that is safe for concurrent use.
type teamRetryBudget struct {
	mu     sync.Mutex
	budget *link.RetryBudget
}

// addRequest credits the budget for one request of the team.
func (b *teamRetryBudget) addRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.AddRequest(now)
}

// takeRetry deducts the token of one retry. It returns false when there is none.
func (b *teamRetryBudget) takeRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.TakeRetry(now)
}
