package contract

import (
	"maps"
	"slices"
	"time"
)

// Charge is one instance that counts against a service's availability.
type Charge struct {
	// Epoch is the epoch of the instance record that the charge was planned
	// from. A drain needs a charge with the epoch of the record, and a charge is
	// released only under a higher epoch, so that a planner that still holds the
	// old record cannot drain on a released charge.
	Epoch  uint64 `json:"epoch"`
	Reason string `json:"reason"`
	// Planned is false for a failure, which is charged without being asked.
	Planned bool      `json:"planned"`
	At      time.Time `json:"at"`
}

// BudgetRecord is the value of the record budget/<service>. It is changed only
// by compare-and-swap. It repeats what the decision to charge depends on, so
// that a planner with an old view of it fails to write.
type BudgetRecord struct {
	Service string `json:"service"`
	Pool    string `json:"pool"`
	// MinAvailable is the number of instances that must stay available.
	MinAvailable int `json:"min_available"`
	// Out lists the data centres that operators took out, in order. Their
	// members count as unavailable.
	Out []string `json:"out,omitempty"`
	// Charges maps the id of an instance to its charge.
	Charges map[string]Charge `json:"charges,omitempty"`
	// Revision is the platform's version of the record, 0 before it exists.
	Revision uint64 `json:"-"`
}

// Verdict is the answer to a request for a charge.
type Verdict string

// Verdicts of a budget.
const (
	ChargeAllowed Verdict = "allowed"
	// ChargeHeld means that the instance is charged already.
	ChargeHeld Verdict = "held"
	// ChargeForbidden means that too few instances would stay available.
	ChargeForbidden Verdict = "forbidden"
)

// Budget is the promise to a service that enough instances of its pool stay
// available. It works on a copy of the record; Changed reports whether the copy
// has to be written.
type Budget struct {
	Record BudgetRecord
	// Available is the number of members of the pool that are in service,
	// uncharged, seen healthy and in a data centre that is not out.
	Available int
	changed   bool
}

// NewBudget returns the budget of the document's service with a private copy of
// the record, brought up to date with the document and the data centres out.
func NewBudget(d *Document, r BudgetRecord, out []string) *Budget {
	r.Charges = maps.Clone(r.Charges)
	if r.Charges == nil {
		r.Charges = make(map[string]Charge)
	}
	b := &Budget{Record: r}
	same := r.Service == d.Service && r.Pool == d.Pool && r.MinAvailable == d.MinAvailable && slices.Equal(r.Out, out)
	if !same || r.Revision == 0 {
		b.Record.Service, b.Record.Pool, b.Record.MinAvailable = d.Service, d.Pool, d.MinAvailable
		b.Record.Out = out
		b.changed = true
	}
	return b
}

// Changed reports whether the record differs from the one that was read.
func (b *Budget) Changed() bool { return b.changed }

// Headroom returns how many available instances may be taken out.
func (b *Budget) Headroom() int { return max(0, b.Available-b.Record.MinAvailable) }

// Holds reports whether the instance is charged at the given epoch.
func (b *Budget) Holds(instance string, epoch uint64) bool {
	c, ok := b.Record.Charges[instance]
	return ok && c.Epoch == epoch
}

// Charged reports whether the instance is charged at all.
func (b *Budget) Charged(instance string) bool {
	_, ok := b.Record.Charges[instance]
	return ok
}

// Short reports whether fewer instances are available than the minimum.
func (b *Budget) Short() bool { return b.Available < b.Record.MinAvailable }

// Ask reports whether a planned charge of an available instance fits. A charge
// that is held no longer fits when instances failed since it was taken.
func (b *Budget) Ask(instance string, epoch uint64) Verdict {
	if b.Holds(instance, epoch) && !b.Short() {
		return ChargeHeld
	}
	if b.Headroom() < 1 {
		return ChargeForbidden
	}
	return ChargeAllowed
}

// Take adds a planned charge of an available instance. The caller has asked.
func (b *Budget) Take(instance string, c Charge) {
	b.put(instance, c)
	b.Available--
}

// Count adds a charge for an instance that is unavailable anyway.
func (b *Budget) Count(instance string, c Charge) { b.put(instance, c) }

func (b *Budget) put(instance string, c Charge) {
	b.Record.Charges[instance] = c
	b.changed = true
}

// Release removes a charge.
func (b *Budget) Release(instance string) {
	delete(b.Record.Charges, instance)
	b.changed = true
}
