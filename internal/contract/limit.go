package contract

import (
	"strconv"
	"time"
)

// LimitTerms are the durations that all holders of slots rely on. Every entry
// instance of a fleet must run with the same terms.
type LimitTerms struct {
	// HoldPeriod is how long a holder may start work, counted from when it sent
	// its last successful renewal. It is long, so that a data centre that is
	// cut off from the platform keeps serving with the slots that it holds.
	HoldPeriod time.Duration
	// RenewPeriod is the period of renewals and of reads of the other holders'
	// records.
	RenewPeriod time.Duration
	// MaxWorkDuration is the longest time from the start of work to its end.
	MaxWorkDuration time.Duration
	// LoanPeriod is how long the borrower of a loan may start work with it.
	LoanPeriod time.Duration
	// IdleWindow is the length of the window after which a holder returns the
	// slots above the window's peak demand and a reserve. IdleWindowTight replaces
	// it while little of the limit is free.
	IdleWindow, IdleWindowTight time.Duration
}

// DefaultLimitTerms returns the terms given on the design page. MaxWorkDuration
// is the longest deadline of a request, 60 s, plus a margin for ending it.
// IdleWindow exceeds the 12 minutes in which, at the target size, the queues of
// 140 teams peak once each, one after another, so that a team keeps its slots
// from one peak to the next. Loans cover a shortage of other teams in between.
func DefaultLimitTerms() LimitTerms {
	return LimitTerms{
		HoldPeriod:      30 * time.Minute,
		RenewPeriod:     time.Minute,
		MaxWorkDuration: 65 * time.Second,
		LoanPeriod:      time.Minute,

		IdleWindow:      15 * time.Minute,
		IdleWindowTight: time.Minute,
	}
}

// clockMarginDivisor divides a duration to give the largest difference that two
// clocks may show over it: 1%.
const clockMarginDivisor = 100

// addClockMargin returns how long to wait on the local clock until at least d
// has passed on the clock of every other process.
func addClockMargin(d time.Duration) time.Duration { return d + d/clockMarginDivisor }

// ReclaimAfter returns how long a holder's renewal counter must stay unchanged
// before its slots may be reclaimed: its hold has expired by then, and all work
// started under it has ended.
func (t LimitTerms) ReclaimAfter() time.Duration {
	return addClockMargin(t.HoldPeriod + t.MaxWorkDuration)
}

// Limit is the number of slots that a team or a service may use at a time
// across the fleet, as of one revision of its configuration object.
type Limit struct {
	Slots    int    `json:"slots" cbor:"slots"`
	Revision uint64 `json:"revision" cbor:"revision"`
	// Unbounded is true for a service whose document sets no MaxSlots.
	Unbounded bool `json:"unbounded,omitempty" cbor:"unbounded,omitempty"`
}

// Allows reports whether sum slots are within the limit.
func (l Limit) Allows(sum int) bool { return l.Unbounded || sum <= l.Slots }

// newer returns the limit with the higher revision, l when they are equal.
func (l Limit) newer(other Limit) Limit {
	if other.Revision > l.Revision {
		return other
	}
	return l
}

// Holder identifies a holder of slots: one incarnation of an entry instance. An
// instance whose hold expired continues as a new incarnation, so that the slots
// of the old one can be reclaimed at any later time.
type Holder struct {
	Instance    string `json:"instance" cbor:"instance"`
	Incarnation uint64 `json:"incarnation" cbor:"incarnation"`
}

// String returns "instance/incarnation".
func (h Holder) String() string {
	return h.Instance + "/" + strconv.FormatUint(h.Incarnation, 10)
}
