package link

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/crocusjunction/crocusjunction/internal/proptest"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// TestNonIdempotentIsSentOnce guards against a second send of a non-idempotent
// request after a byte may have left, and against a send after the deadline.
func TestNonIdempotentIsSentOnce(t *testing.T) {
	proptest.Check(t, 20261204, func(t *rapid.T) {
		idempotent := rapid.Bool().Draw(t, "idempotent")
		deadline := start.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "deadline")) * time.Millisecond)
		plan, now := NewAttemptPlan("r1", idempotent, deadline), start
		lost := 0
		for {
			a, ok := plan.Begin(now)
			if !ok {
				break
			}
			if lost > 0 && !idempotent {
				t.Fatal("sent again after a lost attempt")
			}
			if !now.Before(deadline) || a.Deadline.After(deadline) || !a.Deadline.After(now) {
				t.Fatalf("attempt at %v with share until %v, caller's deadline %v", now, a.Deadline, deadline)
			}
			end := AttemptEnd(rapid.IntRange(0, 3).Draw(t, "end"))
			plan.End(end)
			if end == AttemptLost {
				lost++
			}
			if plan.MayHaveRun() != (lost > 0) {
				t.Fatalf("may have run: %v after %d lost attempts", plan.MayHaveRun(), lost)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "took")) * time.Millisecond)
			if plan.Retry(now) == RetryForbidden {
				break
			}
		}
		if plan.Attempts() > MaxAttempts {
			t.Fatalf("%d attempts", plan.Attempts())
		}
	})
}

// TestShareLeavesTimeForRetry guards against one silent connection that uses up
// the deadline of an idempotent request.
func TestShareLeavesTimeForRetry(t *testing.T) {
	plan := NewAttemptPlan("r1", true, start.Add(time.Second))
	a, _ := plan.Begin(start)
	if left := start.Add(time.Second).Sub(a.Deadline); left != 500*time.Millisecond {
		t.Errorf("%v left for a retry", left)
	}
	plan = NewAttemptPlan("r1", false, start.Add(time.Second))
	if a, _ = plan.Begin(start); !a.Deadline.Equal(start.Add(time.Second)) {
		t.Errorf("non-idempotent attempt ends at %v", a.Deadline)
	}
}

// TestRetryBudgetBound guards against retries above a tenth of the requests
// plus the floor, over random mixes of requests, pauses and retries.
func TestRetryBudgetBound(t *testing.T) {
	proptest.Check(t, 20261204, func(t *rapid.T) {
		budget, now := NewRetryBudget(start), start
		requests, retries := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				requests++
				budget.Earn(now)
			}
			if budget.Take(now) {
				retries++
			}
			bound := retryFloorBurst + retryRatio*float64(requests) + retryFloor*now.Sub(start).Seconds()
			if float64(retries) > bound+1e-6 {
				t.Fatalf("%d retries for %d requests in %v", retries, requests, now.Sub(start))
			}
		}
	})
}

// TestBackOffGrowsWithJitter guards against retries of many callers in step.
func TestBackOffGrowsWithJitter(t *testing.T) {
	for n := 1; n < 12; n++ {
		low, high := BackOff(n, 0), BackOff(n, 0.999)
		if low <= 0 || high > backOffMax || high <= low {
			t.Errorf("attempt %d: %v to %v", n, low, high)
		}
	}
}

// TestConnectionIsNotKeptAfterLoss guards against a late answer that reaches
// the next request on the same connection.
func TestConnectionIsNotKeptAfterLoss(t *testing.T) {
	proptest.Check(t, 20261204, func(t *rapid.T) {
		c, now := NewConnection(start), start
		for {
			idle := time.Duration(rapid.IntRange(0, 6000).Draw(t, "idle")) * time.Millisecond
			now = now.Add(idle)
			used := c.uses > 0
			if !c.Begin(now) {
				if !used || idle < MaxIdle {
					t.Fatalf("refused after %v idle", idle)
				}
				return
			}
			if used && idle >= MaxIdle {
				t.Fatalf("used after %v idle", idle)
			}
			end := AttemptEnd(rapid.IntRange(0, 3).Draw(t, "end"))
			if keep := c.End(now, end, false); keep != (end == AttemptAnswered || end == AttemptDeclined) {
				t.Fatalf("end %d: keep %v", end, keep)
			} else if !keep {
				if c.Begin(now) {
					t.Fatal("closed connection used")
				}
				return
			}
		}
	})
}
