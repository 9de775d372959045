package lease

import (
	"testing"
	"time"
)

var start = time.UnixMilli(1_700_000_000_000)

// TestAuthorityEndsBeforeTheLease guards against orders that are given after a
// successor may hold the lease.
func TestAuthorityEndsBeforeTheLease(t *testing.T) {
	a := Grant(7, 1, 2, start, TTL, start.Add(100*time.Millisecond))
	if !a.Valid(start.Add(TTL - Margin - time.Millisecond)) {
		t.Error("not valid within the lease")
	}
	if a.Valid(start.Add(TTL - Margin)) {
		t.Error("valid at the end of the lease less its margin")
	}
	a.Renew(start.Add(time.Second), TTL)
	a.Renew(start.Add(500*time.Millisecond), TTL)
	if got, want := a.Until(), start.Add(time.Second+TTL-Margin); !got.Equal(want) {
		t.Errorf("an older renewal moved the end to %v, want %v", got, want)
	}
}

// TestDistanceBetweenHolders guards against orders for one machine by two
// holders that are closer than the users' least distance, after a lapse and
// after a scheduler that left in order.
func TestDistanceBetweenHolders(t *testing.T) {
	const turn = 3 * time.Second
	old := Grant(7, 1, 0, start, TTL, start)
	lastDuty := old.DutyUntil()
	lapsed := Grant(9, 2, 1, start.Add(TTL), TTL, start.Add(TTL))
	if first := lapsed.DutyFrom(turn, false); first.Sub(lastDuty) < turn {
		t.Errorf("after a lapse orders are %v apart", first.Sub(lastDuty))
	}
	leftAt := start.Add(200 * time.Millisecond)
	next := Grant(9, 2, 1, leftAt, TTL, leftAt)
	if first := next.DutyFrom(turn, true); first.Sub(leftAt) < turn {
		t.Errorf("after a scheduler that left, orders are %v apart", first.Sub(leftAt))
	}
}

// TestFreshnessNeverGoesBack guards against a late answer that makes a copy look
// older or newer than it is.
func TestFreshnessNeverGoesBack(t *testing.T) {
	var f Freshness
	f.Read(start.Add(time.Second))
	f.Read(start)
	if got := f.Age(start.Add(3 * time.Second)); got != 2*time.Second {
		t.Errorf("age %v, want 2s", got)
	}
}
