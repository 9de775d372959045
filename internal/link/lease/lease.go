// Package lease decides how long this process may rely on what the store told
// it: the lease of the scheduler and the age of the configuration. Times come
// from a clock that counts suspension, so that a process that wakes up finds
// both expired.
package lease

import "time"

// Margins of the scheduler's lease.
const (
	// TTL is the life of the scheduler's lease in the store, a little above the
	// least that the users' store grants. It bounds how long nothing starts after
	// the scheduler is lost without a trace.
	TTL = 1100 * time.Millisecond
	// RenewEvery is the time between renewals, whether or not the last one has
	// been answered. Two in a row may be lost within TTL, and each may take 240
	// ms, 60 times as long as usual.
	RenewEvery = 300 * time.Millisecond
	// Margin covers the difference in rate between two clocks (2% of TTL) and the
	// time from a check to the order on the wire.
	Margin = 150 * time.Millisecond
	// DutyAge is the greatest age of the last renewal at which orders for machines
	// are given. It is well below TTL, so that a successor, which must keep a
	// distance from the last such order, has waited for most of it already.
	DutyAge = 600 * time.Millisecond
)

// Authority is this process's right to give orders as the scheduler.
type Authority struct {
	// Fence is the fencing token, 0 while this process is not the scheduler.
	Fence int64
	// Lease names the lease in the store.
	Lease int64
	// Epoch counts the schedulers that there have been.
	Epoch int
	// Since is when this process became the scheduler.
	Since time.Time
	until time.Time
	// renewedAt is when the newest renewal was sent.
	renewedAt time.Time
}

// Grant starts an authority. SentAt is when the lease was asked for.
func Grant(fence, lease int64, epoch int, sentAt time.Time, ttl time.Duration, now time.Time) Authority {
	a := Authority{Fence: fence, Lease: lease, Epoch: epoch, Since: now}
	a.Renew(sentAt, ttl)
	return a
}

// Held reports whether this process is the scheduler as far as it knows.
func (a *Authority) Held() bool { return a.Fence != 0 }

// Renew extends the authority by a renewal that was sent at sentAt.
func (a *Authority) Renew(sentAt time.Time, ttl time.Duration) {
	if until := sentAt.Add(ttl - Margin); until.After(a.until) {
		a.until, a.renewedAt = until, sentAt
	}
}

// DutyUntil returns the time from which no order for a machine may be given.
func (a *Authority) DutyUntil() time.Time { return a.renewedAt.Add(DutyAge) }

// DutyFrom returns when a new authority may give its first order for a machine.
// Turn is the least time between the orders of two holders. After a lapse the
// last holder gave none for TTL less DutyAge; one that left in order may have
// given one just before.
func (a *Authority) DutyFrom(turn time.Duration, left bool) time.Time {
	if left {
		return a.Since.Add(turn + Margin)
	}
	return a.Since.Add(turn + Margin - (TTL - DutyAge))
}

// Until returns the time from which no order may be given.
func (a *Authority) Until() time.Time { return a.until }

// Valid reports whether orders may be given.
func (a *Authority) Valid(now time.Time) bool { return a.Held() && now.Before(a.until) }

// Freshness is how recent a copy of a part of the store is.
type Freshness struct{ asOf time.Time }

// Read notes that a reading sent at sentAt is complete and applied.
func (f *Freshness) Read(sentAt time.Time) {
	if sentAt.After(f.asOf) {
		f.asOf = sentAt
	}
}

// Known reports whether there was a reading.
func (f *Freshness) Known() bool { return !f.asOf.IsZero() }

// AsOf returns the time up to which the copy is complete.
func (f *Freshness) AsOf() time.Time { return f.asOf }

// Age returns how old the copy is; it is very large when nothing was ever read.
func (f *Freshness) Age(now time.Time) time.Duration { return now.Sub(f.asOf) }
