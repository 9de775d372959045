package contract

import (
	"maps"
	"slices"
	"time"
)

// Charge records that one instance counts as unavailable in a service's budget.
type Charge struct {
	// Epoch is the epoch of the instance record from which the charge was planned.
	// A drain requires a charge with the epoch of the record, and a charge is
	// released only under a higher epoch, so that a planner with an outdated
	// record cannot drain the instance on a released charge.
	Epoch  uint64 `json:"epoch"`
	Reason string `json:"reason"`
	// Planned is false for a failure, which is charged even when the budget has
	// no headroom.
	Planned bool      `json:"planned"`
	At      time.Time `json:"at"`
}

// BudgetRecord is the platform's value of budget/<service>. It is changed only
// by compare-and-swap. It contains a copy of everything that the decision to
// charge depends on, so that the write of a planner with an outdated view
// fails.
type BudgetRecord struct {
	Service string `json:"service"`
	Pool    string `json:"pool"`
	// MinAvailable is the number of instances that must stay available.
	MinAvailable int `json:"min_available"`
	// Out lists the data centres that operators have taken out of service, sorted
	// by name. Their instances count as unavailable.
	Out []string `json:"out,omitempty"`
	// Charges maps the id of an instance to its charge.
	Charges map[string]Charge `json:"charges,omitempty"`
	// Revision is the platform's version of the record, 0 for a record that does
	// not exist yet.
	Revision uint64 `json:"-"`
}

// ChargeVerdict is the decision of a budget on a planned charge.
type ChargeVerdict string

// Verdicts of a budget.
const (
	ChargeAllowed ChargeVerdict = "allowed"
	// ChargeHeld means that the instance is already charged at the epoch.
	ChargeHeld ChargeVerdict = "held"
	// ChargeForbidden means that fewer instances than the minimum would stay
	// available.
	ChargeForbidden ChargeVerdict = "forbidden"
)

// Budget is a service's disruption budget: it limits how many instances of the
// pool may be unavailable at a time. It works on a copy of the record; Changed
// reports whether the copy must be written.
type Budget struct {
	Record BudgetRecord
	// Available is the number of instances of the pool that are in service, not
	// charged, observed as healthy and in a data centre that is in service. The
	// caller sets it.
	Available int
	changed   bool
}

// NewBudget returns the budget of the document's service. Its copy of the
// record is updated from the document and from out, the data centres that are
// out of service, sorted by name.
func NewBudget(d *Document, r BudgetRecord, out []string) *Budget {
	r.Charges = maps.Clone(r.Charges)
	if r.Charges == nil {
		r.Charges = make(map[string]Charge)
	}
	b := &Budget{Record: r}
	upToDate := r.Service == d.Service && r.Pool == d.Pool && r.MinAvailable == d.MinAvailable && slices.Equal(r.Out, out)
	if !upToDate || r.Revision == 0 {
		b.Record.Service, b.Record.Pool, b.Record.MinAvailable = d.Service, d.Pool, d.MinAvailable
		b.Record.Out = out
		b.changed = true
	}
	return b
}

// Changed reports whether the record differs from the one that was read.
func (b *Budget) Changed() bool { return b.changed }

// Headroom returns the number of available instances that may be charged.
func (b *Budget) Headroom() int { return max(0, b.Available-b.Record.MinAvailable) }

// ChargedAt reports whether the instance is charged at the given epoch.
func (b *Budget) ChargedAt(instance string, epoch uint64) bool {
	c, ok := b.Record.Charges[instance]
	return ok && c.Epoch == epoch
}

// Charged reports whether the instance is charged at any epoch.
func (b *Budget) Charged(instance string) bool {
	_, ok := b.Record.Charges[instance]
	return ok
}

// Short reports whether fewer instances are available than the minimum.
func (b *Budget) Short() bool { return b.Available < b.Record.MinAvailable }

// CheckPlanned returns whether the budget allows a planned charge of an
// available instance. It returns ChargeHeld only while at least the minimum of
// instances is available. After failures that leave fewer, even a charge that
// is already in the record is forbidden.
func (b *Budget) CheckPlanned(instance string, epoch uint64) ChargeVerdict {
	if b.ChargedAt(instance, epoch) && !b.Short() {
		return ChargeHeld
	}
	if b.Headroom() < 1 {
		return ChargeForbidden
	}
	return ChargeAllowed
}

// ChargePlanned adds a planned charge of an available instance, which the
// caller has checked with CheckPlanned.
func (b *Budget) ChargePlanned(instance string, c Charge) {
	b.put(instance, c)
	b.Available--
}

// ChargeUnavailable adds a charge for an instance that is already unavailable.
func (b *Budget) ChargeUnavailable(instance string, c Charge) { b.put(instance, c) }

func (b *Budget) put(instance string, c Charge) {
	b.Record.Charges[instance] = c
	b.changed = true
}

// Release removes the charge of an instance.
func (b *Budget) Release(instance string) {
	delete(b.Record.Charges, instance)
	b.changed = true
}
