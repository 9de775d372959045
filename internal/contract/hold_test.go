package contract

import (
	"testing"
	"time"
)

// TestReclaimWaitsUntilHoldExpired guards against slots that are reclaimed
// before HoldPeriod, MaxWorkDuration and the clock margin have passed, counted
// from the last interruption of the observation.
func TestReclaimWaitsUntilHoldExpired(t *testing.T) {
	terms := DefaultLimitTerms()
	dead := HolderRecord{Holder: self, Counter: 7}
	due := (terms.HoldPeriod + terms.MaxWorkDuration) * 101 / 100
	observe := func(w *HolderWatch, now time.Time) int { return len(w.Observe(now, now, []HolderRecord{dead})) }
	cases := []struct {
		name      string
		interrupt func(w *HolderWatch, elapsed time.Duration)
		want      time.Duration
	}{
		{"uninterrupted", func(*HolderWatch, time.Duration) {}, due},
		{"a failed read", func(w *HolderWatch, elapsed time.Duration) {
			if elapsed == 10*time.Minute {
				w.Reset()
			}
		}, due + 10*time.Minute},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := NewHolderWatch(terms)
			for elapsed := time.Duration(0); elapsed < 2*time.Hour; elapsed += time.Minute {
				c.interrupt(w, elapsed)
				if observe(w, baseTime.Add(elapsed)) > 0 {
					if elapsed < c.want || elapsed >= c.want+time.Minute {
						t.Errorf("reclaimable after %s, want %s", elapsed, c.want)
					}
					return
				}
			}
			t.Error("not reclaimable after two hours")
		})
	}
	t.Run("a pause of the observer", func(t *testing.T) {
		w := NewHolderWatch(terms)
		observe(w, baseTime)
		if observe(w, baseTime.Add(due)) > 0 {
			t.Error("reclaimable after a pause without a read in between")
		}
	})
}

// TestExpiredHoldBecomesNewIncarnation guards against an instance that uses its
// slots again after its hold has expired, when others may have reclaimed them.
func TestExpiredHoldBecomesNewIncarnation(t *testing.T) {
	terms := DefaultLimitTerms()
	h := NewHold(self, "north", "", terms)
	first, _ := h.Renew(baseTime)
	h.RecordRenewal(baseTime, baseTime, first)
	if !h.Valid(baseTime.Add(terms.HoldPeriod-1)) || h.Valid(baseTime.Add(terms.HoldPeriod)) {
		t.Error("the hold does not expire when LimitTerms.HoldPeriod has passed since its renewal")
	}
	next, due := h.Renew(baseTime.Add(terms.HoldPeriod - time.Second))
	if !due {
		t.Fatal("no renewal is due")
	}
	if !h.RecordRenewal(baseTime.Add(terms.HoldPeriod), baseTime.Add(terms.HoldPeriod-time.Second), next) {
		t.Error("a renewal that was confirmed after the hold had expired extended it")
	}
	if h.Valid(baseTime.Add(terms.HoldPeriod)) || h.Holder() == self || len(h.FormerHolders()) != 1 {
		t.Errorf("after expiry: holder %s, former %v", h.Holder(), h.FormerHolders())
	}
}

// TestOldIncarnationCannotRenew guards against a replaced process that
// overwrites the record of its successor.
func TestOldIncarnationCannotRenew(t *testing.T) {
	old := HolderRecord{Holder: Holder{"entry-1", 1}, Counter: 5}
	current, ok := old.Replace(HolderRecord{Holder: Holder{"entry-1", 2}, Counter: 1})
	if !ok || len(current.Former) != 1 || current.Former[0] != 1 {
		t.Fatalf("record of the successor: %+v", current)
	}
	if _, ok := current.Replace(HolderRecord{Holder: Holder{"entry-1", 1}, Counter: 6}); ok {
		t.Error("the old incarnation replaced its successor")
	}
}
