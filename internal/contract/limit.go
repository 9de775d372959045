package contract

import (
	"strconv"
	"time"
)

// LimitTerms are the durations that bind all holders of slots. Every entry
// instance of a fleet must run with the same terms.
type LimitTerms struct {
	// Hold is how long a holder may start work after it sent its last
	// successful renewal. It is long, so that a data centre that is cut off goes
	// on serving with the slots it holds.
	Hold time.Duration
	// RenewEvery is the period of renewals and of looks at other holders.
	RenewEvery time.Duration
	// LongestLease is the longest time from the start of work to its end.
	LongestLease time.Duration
	// LoanPeriod is how long the taker of a loan may start work with it.
	LoanPeriod time.Duration
	// IdleAfter is the window whose peak of demand decides at its end what is
	// returned. IdleAfterTight takes its place while little of the limit is
	// free.
	IdleAfter, IdleAfterTight time.Duration
}

// DefaultLimitTerms returns the terms of the design page. The longest lease
// covers the longest deadline of a request, 60 s, and a margin for its end. At
// the target size the queues of 140 teams that peak one after another come back
// to the first one after 12 minutes; with a window of 15 minutes each keeps its
// slots. Loans serve what is short meanwhile.
func DefaultLimitTerms() LimitTerms {
	return LimitTerms{
		Hold:         30 * time.Minute,
		RenewEvery:   time.Minute,
		LongestLease: 65 * time.Second,
		LoanPeriod:   time.Minute,

		IdleAfter:      15 * time.Minute,
		IdleAfterTight: time.Minute,
	}
}

// clockMargin is the divisor for the largest difference between the rates of
// two clocks: 1%.
const clockMargin = 100

// widen returns d on the fastest clock of another process.
func widen(d time.Duration) time.Duration { return d + d/clockMargin }

// ReclaimAfter is how long a renewal counter must be seen unchanged before the
// slots of its holder are free.
func (t LimitTerms) ReclaimAfter() time.Duration { return widen(t.Hold + t.LongestLease) }

// Limit is the number of slots that a team or a service may have running across
// the fleet, as of one revision of its configuration object.
type Limit struct {
	Slots    int    `json:"slots" cbor:"slots"`
	Revision uint64 `json:"revision" cbor:"revision"`
	// Unbounded is true for a service without a bound of its own.
	Unbounded bool `json:"unbounded,omitempty" cbor:"unbounded,omitempty"`
}

// Allows reports whether sum slots are within the limit.
func (l Limit) Allows(sum int) bool { return l.Unbounded || sum <= l.Slots }

// newer returns the limit of the higher revision, l when they are equal.
func (l Limit) newer(other Limit) Limit {
	if other.Revision > l.Revision {
		return other
	}
	return l
}

// Holder identifies the holder of slots: one incarnation of an entry instance.
// An instance whose hold lapsed goes on as a new incarnation, so that the slots
// of an old one can be reclaimed at any later time.
type Holder struct {
	Instance    string `json:"instance" cbor:"instance"`
	Incarnation uint64 `json:"incarnation" cbor:"incarnation"`
}

// String returns "instance/incarnation".
func (h Holder) String() string {
	return h.Instance + "/" + strconv.FormatUint(h.Incarnation, 10)
}
