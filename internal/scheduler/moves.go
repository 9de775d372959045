package scheduler

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine/upkeep"
)

// MoveAnswered is the answer to OrderMove.
type MoveAnswered struct {
	Machine, Pool string
	Fence         int64
	Outcome       DutyOutcome
	Refusal       upkeep.Refusal
}

// Apply implements Event.
func (e MoveAnswered) Apply(s *Scheduler, now time.Time) {}
