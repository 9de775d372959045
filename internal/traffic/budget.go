package traffic

import (
	"sync"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/link"
)

// budgets holds the retry budgets of the teams. They are state of the request
// path of this process, not of the fleet.
type budgets struct{ byTeam sync.Map }

func (b *budgets) of(team string, now time.Time) *teamBudget {
	if known, ok := b.byTeam.Load(team); ok {
		return known.(*teamBudget)
	}
	known, _ := b.byTeam.LoadOrStore(team, &teamBudget{budget: link.NewRetryBudget(now)})
	return known.(*teamBudget)
}

// teamBudget shares one retry budget between goroutines.
type teamBudget struct {
	mu     sync.Mutex
	budget *link.RetryBudget
}

func (b *teamBudget) earn(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Earn(now)
}

func (b *teamBudget) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Take(now)
}
