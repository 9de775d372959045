package settings

import (
	"fmt"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
)

// Limits are the terms on which entry instances hold slots. All instances of a
// fleet must use the same values: an instance with a shorter hold would reclaim
// slots that another instance still uses.
type Limits struct {
	// HoldMS is how long an instance may keep starting work with its slots while
	// it cannot reach the platform, in milliseconds. Default 30 minutes.
	HoldMS int64 `json:"hold_ms,omitempty"`
	// RenewMS is the interval between renewals of a hold, in milliseconds. Default
	// 1 minute.
	RenewMS int64 `json:"renew_ms,omitempty"`
	// LongestLeaseMS bounds the deadline of a request, in milliseconds. Default
	// 65 s.
	LongestLeaseMS int64 `json:"longest_lease_ms,omitempty"`
	// LoanMS is how long the borrower of slots may start work with them, in
	// milliseconds. Default 1 minute.
	LoanMS int64 `json:"loan_ms,omitempty"`
}

// minRenewalsPerHold is the least number of renewal intervals in a hold, so
// that one failed renewal does not let the hold expire.
const minRenewalsPerHold = 3

// Terms returns the limits as contract terms. Fields that are 0 get their defaults.
func (l Limits) Terms() contract.LimitTerms {
	terms := contract.DefaultLimitTerms()
	for _, field := range []struct {
		ms  int64
		set *time.Duration
	}{{l.HoldMS, &terms.HoldPeriod}, {l.RenewMS, &terms.RenewPeriod}, {l.LongestLeaseMS, &terms.MaxWorkDuration}, {l.LoanMS, &terms.LoanPeriod}} {
		if field.ms != 0 {
			*field.set = time.Duration(field.ms) * time.Millisecond
		}
	}
	return terms
}

func (l Limits) check(c *checker) {
	for field, ms := range map[string]int64{
		"limits.hold_ms": l.HoldMS, "limits.renew_ms": l.RenewMS,
		"limits.longest_lease_ms": l.LongestLeaseMS, "limits.loan_ms": l.LoanMS,
	} {
		c.require(ms >= 0, field, fmt.Sprint(ms), "0 for the default or a number of milliseconds")
	}
	terms := l.Terms()
	c.require(terms.HoldPeriod >= minRenewalsPerHold*terms.RenewPeriod, "limits.hold_ms", terms.HoldPeriod.String(),
		fmt.Sprintf("at least %d renewal periods of %s", minRenewalsPerHold, terms.RenewPeriod))
}
