package lease

import (
	"testing"
	"time"
)

var start = time.UnixMilli(1_700_000_000_000)

// TestAuthorityEndsBeforeTheLease guards against orders that a scheduler gives
// when a successor may already hold the lease.
func TestAuthorityEndsBeforeTheLease(t *testing.T) {
	a := Grant(7, 1, 2, start, TTL, start.Add(100*time.Millisecond))
	if !a.Valid(start.Add(TTL - SafetyMargin - time.Millisecond)) {
		t.Error("not valid before the end of the lease less its margin")
	}
	if a.Valid(start.Add(TTL - SafetyMargin)) {
		t.Error("valid at the end of the lease less its margin")
	}
	a.Renew(start.Add(time.Second), TTL)
	a.Renew(start.Add(500*time.Millisecond), TTL)
	if got, want := a.Until(), start.Add(time.Second+TTL-SafetyMargin); !got.Equal(want) {
		t.Errorf("an older renewal changed the end to %v, want %v", got, want)
	}
}

// TestMachineOrdersKeepMinimumTime guards against orders of two successive
// schedulers for one machine that are less than the minimum time minGap apart,
// both after the first scheduler's lease expired and after that scheduler
// released it.
func TestMachineOrdersKeepMinimumTime(t *testing.T) {
	const minGap = 3 * time.Second
	old := Grant(7, 1, 0, start, TTL, start)
	lastOrder := old.MachineOpsUntil()
	afterExpiry := Grant(9, 2, 1, start.Add(TTL), TTL, start.Add(TTL))
	if first := afterExpiry.MachineOpsFrom(minGap, false); first.Sub(lastOrder) < minGap {
		t.Errorf("after an expired lease the orders are %v apart", first.Sub(lastOrder))
	}
	releasedAt := start.Add(200 * time.Millisecond)
	afterRelease := Grant(9, 2, 1, releasedAt, TTL, releasedAt)
	if first := afterRelease.MachineOpsFrom(minGap, true); first.Sub(releasedAt) < minGap {
		t.Errorf("after a released lease the orders are %v apart", first.Sub(releasedAt))
	}
}

// TestLateReadDoesNotChangeAge guards against a late answer to an earlier read
// that changes the age of a copy.
func TestLateReadDoesNotChangeAge(t *testing.T) {
	var f Freshness
	f.RecordRead(start.Add(time.Second))
	f.RecordRead(start)
	if got := f.Age(start.Add(3 * time.Second)); got != 2*time.Second {
		t.Errorf("age %v, want 2s", got)
	}
}
