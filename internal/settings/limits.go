package settings

import (
	"fmt"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
)

// Limits are the terms on which entry instances hold slots. All instances of a
// fleet must use the same values: one that believes in a shorter hold would
// reclaim slots that another one still uses.
type Limits struct {
	// HoldMS is how long an instance that is cut off from the platform starts
	// work with the slots it holds. Default 30 minutes.
	HoldMS int64 `json:"hold_ms,omitempty"`
	// RenewMS is the period of renewals. Default 1 minute.
	RenewMS int64 `json:"renew_ms,omitempty"`
	// LongestLeaseMS bounds the deadline of a request. Default 65 s.
	LongestLeaseMS int64 `json:"longest_lease_ms,omitempty"`
	// LoanMS is the period of a loan. Default 1 minute.
	LoanMS int64 `json:"loan_ms,omitempty"`
}

// renewalsPerHold is the number of renewals that must fit into a hold, so that
// one failed renewal does not end it.
const renewalsPerHold = 3

// Terms returns the terms with the defaults filled in.
func (l Limits) Terms() contract.LimitTerms {
	terms := contract.DefaultLimitTerms()
	for _, field := range []struct {
		ms  int64
		set *time.Duration
	}{{l.HoldMS, &terms.Hold}, {l.RenewMS, &terms.RenewEvery}, {l.LongestLeaseMS, &terms.LongestLease}, {l.LoanMS, &terms.LoanPeriod}} {
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
		c.check(ms >= 0, field, fmt.Sprint(ms), "0 for the default or a number of milliseconds")
	}
	terms := l.Terms()
	c.check(terms.Hold >= renewalsPerHold*terms.RenewEvery, "limits.hold_ms", terms.Hold.String(),
		fmt.Sprintf("at least %d renewal periods of %s", renewalsPerHold, terms.RenewEvery))
}
