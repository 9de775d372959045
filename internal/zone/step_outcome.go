package zone

import (
	"maps"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// StepResult is how a step ended.
type StepResult string

// Results of a step.
const (
	StepDone StepResult = "done"
	// StepConflict means that the record has another revision: the step was
	// planned from an outdated state and had no effect.
	StepConflict StepResult = "conflict"
	// StepUnknown means that the step may have taken effect.
	StepUnknown StepResult = "unknown"
	// StepFailed means that the platform refused the call, which had no effect.
	StepFailed StepResult = "failed"
	// StepExpired means that the planner's lease expired before the step started.
	StepExpired StepResult = "expired"
)

// Outcome is the step with its result.
type Outcome struct {
	Step   MaintenanceStep
	Result StepResult
	// Revision is the new revision of the record after a write.
	Revision uint64
}

// ApplyOutcome applies the effect of a step that succeeded.
func (m *Maintenance) ApplyOutcome(o Outcome, now time.Time) {
	s := o.Step
	switch {
	case s.Instance != nil:
		next := *s.Instance
		next.Revision = o.Revision
		m.Instances[next.ID] = next
	case s.Budget != nil:
		next := *s.Budget
		next.Revision = o.Revision
		m.Budgets[next.Service] = next
	case s.Wave != nil:
		next := *s.Wave
		next.Revision = o.Revision
		m.Waves[next.Name] = next
	case s.Command != nil:
		m.SentCommands[s.Subject] = SentCommand{Operation: s.Command.Operation, At: now}
	case s.Kind == StepRetire:
		delete(m.Instances, s.Subject)
		delete(m.Observed, s.Subject)
		delete(m.SentCommands, s.Subject)
	case s.Move != nil:
		delete(m.Moves, s.Subject)
	}
}

// SetOrders replaces the operators' orders and reports whether any was added,
// changed or removed. A wave that m holds at a higher revision stays, since the
// orders may have been read before the last step.
func (m *Maintenance) SetOrders(waves []machine.Wave, moves []machine.MoveOrder) bool {
	changed := len(waves) != len(m.Waves) || len(moves) != len(m.Moves)
	knownWaves, knownMoves := maps.Clone(m.Waves), maps.Clone(m.Moves)
	clear(m.Waves)
	for _, w := range waves {
		old := knownWaves[w.Name]
		if old.Revision > w.Revision {
			w = old
		}
		changed = changed || old.Revision != w.Revision
		m.Waves[w.Name] = w
	}
	clear(m.Moves)
	for _, o := range moves {
		changed = changed || knownMoves[o.Instance].Revision != o.Revision
		m.Moves[o.Instance] = o
	}
	return changed
}

// FailedRepairs returns the ids of the failed instances that reached MaxAttempts
// and are no longer repaired, in ascending order.
func (m *Maintenance) FailedRepairs() []string {
	var ids []string
	for id, i := range m.Instances {
		if i.Phase == machine.PhaseFailed && i.Attempts >= m.Limits.MaxAttempts {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
