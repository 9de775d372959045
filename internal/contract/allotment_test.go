package contract

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	depots   = Ref{Kind: KindTeam, Name: "depots"}
	self     = Holder{Instance: "entry-1", Incarnation: 1}
	baseTime = time.Unix(1_800_000_000, 0)
)

// performSwaps performs the swaps that an allotment plans against a record
// until it plans none, and returns their number.
func performSwaps(a *Allotment, record *AllotmentRecord, now time.Time, waiting int) int {
	swaps := 0
	for request := a.Plan(now, self, waiting, true, false); request != nil; request = a.Plan(now, self, waiting, true, false) {
		*record, _ = record.Apply(*request)
		a.RecordSwap(now, self, request.Sequence, *record)
		swaps++
	}
	return swaps
}

// TestBurstNeedsFewSwaps guards against raises that ask the platform for one
// slot at a time when a queue peaks at five times its mean.
func TestBurstNeedsFewSwaps(t *testing.T) {
	a := NewAllotment(depots, DefaultLimitTerms())
	a.SetLimit(Limit{Slots: 1000, Revision: 1})
	var record AllotmentRecord
	const mean = 20
	run := func(demand int, now time.Time) int {
		swaps := 0
		for a.Running() < demand {
			if a.Free(now, true) == 0 {
				swaps += performSwaps(a, &record, now, 1)
				continue
			}
			a.OccupySlot()
			swaps += performSwaps(a, &record, now, 0)
		}
		return swaps
	}
	run(mean, baseTime)
	if swaps := run(5*mean, baseTime.Add(time.Minute)); swaps > 6 {
		t.Errorf("a burst to five times the mean took %d swaps, want at most 6", swaps)
	}
	if free := record.FreeSlots(); free < 800 {
		t.Errorf("a burst to %d slots left %d for others, want at least 800", 5*mean, free)
	}
}

// TestRecurringBurstsNeedNoSwap guards against an allotment that returns its
// slots between two peaks of the same queue although the limit has free slots.
func TestRecurringBurstsNeedNoSwap(t *testing.T) {
	a := NewAllotment(depots, DefaultLimitTerms())
	a.SetLimit(Limit{Slots: 1000, Revision: 1})
	var record AllotmentRecord
	now := baseTime
	swaps := 0
	for minute := range 30 {
		before := swaps
		for range 50 {
			if a.Free(now, true) == 0 {
				swaps += performSwaps(a, &record, now, 1)
			}
			a.OccupySlot()
		}
		for range 50 {
			a.ReleaseSlot()
		}
		if minute > 0 && swaps != before {
			t.Fatalf("the burst of minute %d took %d swaps, want none", minute, swaps-before)
		}
		for range 60 {
			now = now.Add(time.Second)
			if request := a.Review(now, self, 0, true); request != nil {
				t.Fatalf("slots returned in minute %d: %+v", minute, *request)
			}
		}
	}
}

// TestIdleSlotsReturn guards against an idle holder that does not return its
// slots, or returns them late when few slots of the limit are free.
func TestIdleSlotsReturn(t *testing.T) {
	for _, c := range []struct {
		name   string
		limit  int
		within time.Duration
	}{
		{"many slots free", 1000, 2*DefaultLimitTerms().IdleWindow + time.Second},
		{"tight", 10, 2*DefaultLimitTerms().IdleWindowTight + time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := NewAllotment(depots, DefaultLimitTerms())
			a.SetLimit(Limit{Slots: c.limit, Revision: 1})
			var record AllotmentRecord
			for range 8 {
				performSwaps(a, &record, baseTime, 1)
				a.OccupySlot()
			}
			a.Review(baseTime, self, 0, true)
			for range 8 {
				a.ReleaseSlot()
			}
			for elapsed := time.Duration(0); elapsed <= c.within; elapsed += time.Second {
				now := baseTime.Add(elapsed)
				if request := a.Review(now, self, 0, true); request != nil {
					record, _ = record.Apply(*request)
					a.RecordSwap(now, self, request.Sequence, record)
				}
			}
			if record.Sum() != 0 {
				t.Errorf("%d slots are still held after %s", record.Sum(), c.within)
			}
		})
	}
}

// TestApplyNeverExceedsLimit guards against a swap that raises the sum of the
// entries above the limit, or lowers an entry below the slots in use.
func TestApplyNeverExceedsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record := AllotmentRecord{Limit: Limit{Slots: rapid.IntRange(0, 50).Draw(t, "limit"), Revision: 1}}
		for i := range rapid.IntRange(0, 5).Draw(t, "holders") {
			record.putEntry(AllotmentEntry{Holder: Holder{Instance: string(rune('a' + i))}, Slots: rapid.IntRange(0, 12).Draw(t, "slots"), Sequence: 1})
		}
		q := SwapRequest{
			Purpose:  rapid.SampledFrom([]SwapPurpose{SwapRaise, SwapLower, SwapSettle}).Draw(t, "purpose"),
			Holder:   Holder{Instance: "a"},
			Limit:    Limit{Slots: rapid.IntRange(0, 50).Draw(t, "new limit"), Revision: rapid.Uint64Range(0, 2).Draw(t, "revision")},
			Sequence: 2,
			Want:     rapid.IntRange(0, 60).Draw(t, "want"),
			Headroom: rapid.IntRange(0, 20).Draw(t, "headroom"),
		}
		own := record.Entry(q.Holder).Slots
		q.Floor = rapid.IntRange(0, own).Draw(t, "floor")
		next, changed := record.Apply(q)
		slots := next.Entry(q.Holder).Slots
		switch {
		case next.Sum() > record.Sum() && !next.Limit.Allows(next.Sum()):
			t.Fatalf("sum of the entries %d is above the limit %d", next.Sum(), next.Limit.Slots)
		case slots < q.Floor:
			t.Fatalf("entry of %d slots is below the %d in use", slots, q.Floor)
		case q.Purpose == SwapRaise && slots < own:
			t.Fatalf("a raise lowered the entry from %d to %d while it is in use", own, slots)
		case q.Purpose == SwapLower && slots > own:
			t.Fatalf("a lowering raised the entry from %d to %d", own, slots)
		case next.Limit.Revision < record.Limit.Revision:
			t.Fatal("an older revision of the limit replaced a newer one")
		case changed && slots > 0 && !next.Applied(q):
			t.Fatal("a changed record does not show the request as applied")
		}
	})
}

// TestLoweredLimitConverges guards against entries whose sum stays above a
// lowered limit, also when one holder has died and does not lower its entry.
func TestLoweredLimitConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record := AllotmentRecord{Limit: Limit{Slots: 1000, Revision: 1}}
		n := rapid.IntRange(1, 40).Draw(t, "holders")
		for i := range n {
			record.putEntry(AllotmentEntry{Holder: Holder{Instance: string(rune('A' + i))}, Slots: rapid.IntRange(1, 25).Draw(t, "slots")})
		}
		dead := record.Entries[0]
		limit := Limit{Slots: rapid.IntRange(dead.Slots, 1000).Draw(t, "limit"), Revision: 2}
		rounds := 0
		for ; record.Limit != limit || record.Sum() > limit.Slots; rounds++ {
			if rounds > 30 {
				t.Fatalf("after %d rounds %d slots are held with limit %d", rounds, record.Sum(), limit.Slots)
			}
			for i := range n {
				h := Holder{Instance: string(rune('A' + i))}
				if h != dead.Holder || n == 1 {
					record, _ = record.Apply(SwapRequest{Purpose: SwapSettle, Holder: h, Limit: limit, Sequence: 1})
				}
			}
		}
	})
}

// TestLoanIsIdempotent guards against a repeated loan request that lends a
// second time, and a late one that lends after the loan was returned.
func TestLoanIsIdempotent(t *testing.T) {
	terms := DefaultLimitTerms()
	a := NewAllotment(depots, terms)
	a.SetLimit(Limit{Slots: 10, Revision: 1})
	var record AllotmentRecord
	performSwaps(a, &record, baseTime, 8)
	until := baseTime.Add(terms.HoldPeriod)
	first := a.Lend(baseTime, "t1", "entry-2", 3, 0, until)
	again := a.Lend(baseTime.Add(time.Second), "t1", "entry-2", 3, 0, until)
	if first.Slots != 3 || again.Slots != 3 || a.Lent() != 3 {
		t.Errorf("first reply %+v, second reply %+v, %d slots lent", first, again, a.Lent())
	}
	if again.Period != first.Period-time.Second {
		t.Errorf("the period of the second reply is %s, that of the first %s", again.Period, first.Period)
	}
	a.LoanReturned(baseTime.Add(2*time.Second), "t1")
	if late := a.Lend(baseTime.Add(3*time.Second), "t1", "entry-2", 3, 0, until); late.Slots != 0 || a.Lent() != 0 {
		t.Errorf("a request after the return got %+v", late)
	}
	a.LoanReturned(baseTime, "t2")
	if late := a.Lend(baseTime.Add(time.Second), "t2", "entry-2", 3, 0, until); late.Slots != 0 {
		t.Errorf("a request that arrived after its return got %+v", late)
	}
}

// TestLoanEndsWithHold guards against a loan whose period exceeds the lender's
// hold.
func TestLoanEndsWithHold(t *testing.T) {
	terms := DefaultLimitTerms()
	a := NewAllotment(depots, terms)
	a.SetLimit(Limit{Slots: 10, Revision: 1})
	var record AllotmentRecord
	performSwaps(a, &record, baseTime, 8)
	if r := a.Lend(baseTime, "t1", "entry-2", 1, 0, baseTime.Add(20*time.Second)); r.Period != 20*time.Second {
		t.Errorf("period %s, want the 20s left of the hold", r.Period)
	}
	if r := a.Lend(baseTime, "t2", "entry-2", 1, 0, baseTime.Add(time.Second)); r.Slots != 0 {
		t.Errorf("a loan in the last second of the hold: %+v", r)
	}
}

// TestLateLowerCannotUndoRaise guards against a lowering swap of unknown outcome
// that takes effect late, when the holder already uses the larger entry of a
// later raise.
func TestLateLowerCannotUndoRaise(t *testing.T) {
	a := NewAllotment(depots, DefaultLimitTerms())
	a.SetLimit(Limit{Slots: 8, Revision: 1})
	var record AllotmentRecord
	performSwaps(a, &record, baseTime, 8)
	version := 0
	now := baseTime
	var late *SwapRequest
	for late == nil {
		now = now.Add(time.Second)
		late = a.Review(now, self, 0, true)
	}
	lateRecord, _ := record.Apply(*late)
	lateBaseVersion := version
	a.RecordSwapFailure(now, self, late.Sequence, false)
	if a.Granted() != late.Want {
		t.Fatalf("granted %d after a lowering to %d with unknown outcome", a.Granted(), late.Want)
	}
	now = now.Add(swapFailureDelay)
	raise := a.Plan(now, self, 8, true, false)
	next, changed := record.Apply(*raise)
	if changed {
		record = next
		version++
	}
	a.RecordSwap(now, self, raise.Sequence, record)
	if lateBaseVersion == version {
		record = lateRecord
	}
	if entry := record.Entry(self).Slots; a.Granted() > entry {
		t.Errorf("granted %d slots, but the entry has %d", a.Granted(), entry)
	}
}

// TestUseEndsBeforeReturn guards against work that starts in slots while a swap
// that returns them is in flight.
func TestUseEndsBeforeReturn(t *testing.T) {
	a := NewAllotment(depots, DefaultLimitTerms())
	a.SetLimit(Limit{Slots: 8, Revision: 1})
	var record AllotmentRecord
	performSwaps(a, &record, baseTime, 8)
	now := baseTime
	var request *SwapRequest
	for request == nil {
		now = now.Add(time.Second)
		request = a.Review(now, self, 0, true)
	}
	if free := a.Free(now, true); free > request.Want {
		t.Errorf("%d slots are free while the entry is lowered to %d", free, request.Want)
	}
	a.RecordSwapFailure(now, self, request.Sequence, true)
	if free := a.Free(now, true); free != 8 {
		t.Errorf("%d slots are free after a return that had no effect, want 8", free)
	}
}

// TestLenderWaitsForLoanedWork guards against a lender that uses lent slots
// again while the borrower's work may still run in them, because the borrower's
// clock is 1% slower.
func TestLenderWaitsForLoanedWork(t *testing.T) {
	terms := DefaultLimitTerms()
	a := NewAllotment(depots, terms)
	a.SetLimit(Limit{Slots: 8, Revision: 1})
	var record AllotmentRecord
	performSwaps(a, &record, baseTime, 8)
	reply := a.Lend(baseTime, "t1", "entry-2", 8, 0, baseTime.Add(terms.HoldPeriod))
	end := baseTime.Add((reply.Period + terms.MaxWorkDuration) * 101 / 100)
	for _, c := range []struct {
		at   time.Time
		free int
	}{{end.Add(-time.Millisecond), 0}, {end, 8}} {
		a.Plan(c.at, self, 0, true, false)
		if free := a.Free(c.at, true); free != c.free {
			t.Errorf("%d slots are free %s after lending, want %d", free, c.at.Sub(baseTime), c.free)
		}
	}
}
