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
	// planned from an old state and had no effect.
	StepConflict StepResult = "conflict"
	// StepUnknown means that the step may have taken effect.
	StepUnknown StepResult = "unknown"
	// StepFailed means that the platform refused the call; it had no effect.
	StepFailed StepResult = "failed"
	// StepExpired means that the planner's lease ended before the step.
	StepExpired StepResult = "expired"
)

// Outcome is the result of one step.
type Outcome struct {
	Step   Step
	Result StepResult
	// Revision is the new revision of the record after a write.
	Revision uint64
}

// Done takes the effect of a step that succeeded into the view.
func (m *Maintenance) Done(o Outcome, now time.Time) {
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
		m.Sent[s.Subject] = Sent{Operation: s.Command.Operation, At: now}
	case s.Kind == StepRetire:
		delete(m.Instances, s.Subject)
		delete(m.Observed, s.Subject)
		delete(m.Sent, s.Subject)
	case s.Move != nil:
		delete(m.Moves, s.Subject)
	}
}

// SetOrders replaces the operators' orders and reports whether any is new,
// changed or gone. An order that the view has at a higher revision stays, since
// the orders may have been read before the last step.
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

// GivenUp returns the failed instances that repair no longer tries to bring
// back, ordered by id.
func (m *Maintenance) GivenUp() []string {
	var ids []string
	for id, i := range m.Instances {
		if i.Phase == machine.PhaseFailed && i.Attempts >= m.Limits.MaxAttempts {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
