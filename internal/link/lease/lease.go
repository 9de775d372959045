// Package lease tracks how long this process may act as the scheduler under its
// lease in the store, and how old its copies of parts of the store are. Callers
// pass times of a clock that also advances while the system is suspended, so
// that after a suspension the lease counts as expired and the copies as old.
package lease

import "time"

// Durations of the scheduler's lease.
const (
	// TTL is the time to live of the scheduler's lease in the store, slightly
	// above the minimum that the users' store grants. It bounds how long no task
	// starts after the scheduler has failed without releasing the lease.
	TTL = 1100 * time.Millisecond
	// RenewEvery is the period of renewals, whether or not the last one has been
	// answered. Within TTL two successive renewals may be lost, and each may take
	// 240 ms, 60 times the usual time.
	RenewEvery = 300 * time.Millisecond
	// SafetyMargin covers the difference in rate between two clocks (2% of TTL)
	// and the time from the check of the authority until the order is sent.
	SafetyMargin = 150 * time.Millisecond
	// MachineOpMaxAge is the greatest age of the last successful renewal at
	// which orders for machines may be given. It is well below TTL, so that a
	// scheduler gives no such order during the last TTL - MachineOpMaxAge before
	// its lease expires. This time counts towards the delay of the successor's
	// first order.
	MachineOpMaxAge = 600 * time.Millisecond
)

// Authority is this process's right to give orders as the scheduler. It is
// owned by the control thread.
type Authority struct {
	// Fence is the fencing token, 0 while this process is not the scheduler.
	Fence int64
	// LeaseID is the id of the lease in the store.
	LeaseID int64
	// Epoch is the number of schedulers before this one.
	Epoch int
	// Since is when this process became the scheduler.
	Since      time.Time
	validUntil time.Time
	// renewalSentAt is when the last successful renewal was sent.
	renewalSentAt time.Time
}

// Grant returns the authority of a process that became the scheduler at now.
// The request for the lease was sent at sentAt and granted for ttl.
func Grant(fence, lease int64, epoch int, sentAt time.Time, ttl time.Duration, now time.Time) Authority {
	a := Authority{Fence: fence, LeaseID: lease, Epoch: epoch, Since: now}
	a.Renew(sentAt, ttl)
	return a
}

// Held reports whether this process has been granted the authority. Unlike
// Valid, it does not check whether the lease may have expired.
func (a *Authority) Held() bool { return a.Fence != 0 }

// Renew extends the authority after a successful renewal for ttl that was sent
// at sentAt. A renewal that was sent before the last one has no effect.
func (a *Authority) Renew(sentAt time.Time, ttl time.Duration) {
	if until := sentAt.Add(ttl - SafetyMargin); until.After(a.validUntil) {
		a.validUntil, a.renewalSentAt = until, sentAt
	}
}

// MachineOpsUntil returns the time from which no order for a machine may be given
// unless the lease is renewed.
func (a *Authority) MachineOpsUntil() time.Time { return a.renewalSentAt.Add(MachineOpMaxAge) }

// MachineOpsFrom returns the time from which a new scheduler may give orders for
// machines. MinGap is the minimum time between the orders of two schedulers.
// Released is true when the previous scheduler released its lease: it may have
// given an order just before. When its lease expired instead, it gave none
// during the last TTL - MachineOpMaxAge, which counts towards minGap.
func (a *Authority) MachineOpsFrom(minGap time.Duration, released bool) time.Time {
	if released {
		return a.Since.Add(minGap + SafetyMargin)
	}
	return a.Since.Add(minGap + SafetyMargin - (TTL - MachineOpMaxAge))
}

// Until returns the time from which no order may be given unless the lease is
// renewed.
func (a *Authority) Until() time.Time { return a.validUntil }

// Valid reports whether this process may give orders as the scheduler at now.
func (a *Authority) Valid(now time.Time) bool { return a.Held() && now.Before(a.validUntil) }

// Freshness tracks how recent this process's copy of a part of the store is.
type Freshness struct{ asOf time.Time }

// RecordRead records that a read sent at sentAt has been applied completely. A
// read that was sent before the last one has no effect.
func (f *Freshness) RecordRead(sentAt time.Time) {
	if sentAt.After(f.asOf) {
		f.asOf = sentAt
	}
}

// Known reports whether any read has been applied.
func (f *Freshness) Known() bool { return !f.asOf.IsZero() }

// AsOf returns the time up to which the copy includes all changes, the zero
// time before the first read.
func (f *Freshness) AsOf() time.Time { return f.asOf }

// Age returns the age of the copy at now, the largest Duration before the first
// read.
func (f *Freshness) Age(now time.Time) time.Duration { return now.Sub(f.asOf) }
