package upkeep

import "time"

// orderBurst is the time whose orders may be sent at once. It is the interval at which
// machine operations are planned, so that a plan neither waits for the next one nor
// exceeds the rate for longer.
const orderBurst = 100 * time.Millisecond

// OrderRate paces orders for machines at the rate that the machines service accepts. It
// refuses orders above that rate, or leaves them without an answer, and then it is not
// known whether they take effect.
type OrderRate struct {
	perSecond, allowance float64
	updatedAt            time.Time
}

// NewOrderRate returns a rate of perSecond orders a second, 0 for no limit.
func NewOrderRate(perSecond float64) OrderRate { return OrderRate{perSecond: perSecond} }

// Take reports whether an order may be sent now, and counts it if so.
func (r *OrderRate) Take(now time.Time) bool {
	if r.perSecond <= 0 {
		return true
	}
	burst := max(1, r.perSecond*orderBurst.Seconds())
	if r.updatedAt.IsZero() {
		r.allowance = burst
	} else {
		r.allowance = min(burst, r.allowance+r.perSecond*now.Sub(r.updatedAt).Seconds())
	}
	r.updatedAt = now
	if r.allowance < 1 {
		return false
	}
	r.allowance--
	return true
}
