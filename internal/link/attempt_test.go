package link

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/crocusjunction/crocusjunction/internal/proptest"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// TestNonIdempotentIsSentOnce guards against a non-idempotent request that is
// sent again after a lost attempt, and against an attempt that begins or ends
// after the caller's deadline.
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
				t.Fatal("non-idempotent request sent again after a lost attempt")
			}
			if !now.Before(deadline) || a.Deadline.After(deadline) || !a.Deadline.After(now) {
				t.Fatalf("attempt at %v ends at %v, caller's deadline %v", now, a.Deadline, deadline)
			}
			end := AttemptEnd(rapid.IntRange(0, 3).Draw(t, "end"))
			plan.End(end)
			if end == AttemptLost {
				lost++
			}
			if plan.MayHaveRun() != (lost > 0) {
				t.Fatalf("MayHaveRun is %v after %d lost attempts", plan.MayHaveRun(), lost)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "took")) * time.Millisecond)
			if plan.Retry(now) == RetryForbidden {
				break
			}
		}
		if plan.Attempts() > MaxAttempts {
			t.Fatalf("%d attempts, more than MaxAttempts", plan.Attempts())
		}
	})
}

// TestAttemptLeavesTimeForRetry guards against an endpoint that does not answer
// and uses up the whole deadline of an idempotent request.
func TestAttemptLeavesTimeForRetry(t *testing.T) {
	plan := NewAttemptPlan("r1", true, start.Add(time.Second))
	a, _ := plan.Begin(start)
	if left := start.Add(time.Second).Sub(a.Deadline); left != 500*time.Millisecond {
		t.Errorf("%v left for a retry, want half of the deadline", left)
	}
	plan = NewAttemptPlan("r1", false, start.Add(time.Second))
	if a, _ = plan.Begin(start); !a.Deadline.Equal(start.Add(time.Second)) {
		t.Errorf("non-idempotent attempt ends at %v, want the caller's deadline", a.Deadline)
	}
}

// TestRetryBudgetBound guards against more retries than a tenth of the requests
// plus the minimum rate, for random sequences of requests, pauses and retries.
func TestRetryBudgetBound(t *testing.T) {
	proptest.Check(t, 20261204, func(t *rapid.T) {
		budget, now := NewRetryBudget(start), start
		requests, retries := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				requests++
				budget.AddRequest(now)
			}
			if budget.TakeRetry(now) {
				retries++
			}
			bound := retryFloorMaxTokens + retryRatio*float64(requests) + retryFloorPerSecond*now.Sub(start).Seconds()
			if float64(retries) > bound+1e-6 {
				t.Fatalf("%d retries for %d requests in %v", retries, requests, now.Sub(start))
			}
		}
	})
}

// TestBackOffGrowsWithJitter guards against retries of many callers at the same
// time, and against a delay above its bound.
func TestBackOffGrowsWithJitter(t *testing.T) {
	for n := 1; n < 12; n++ {
		low, high := BackOff(n, 0), BackOff(n, 0.999)
		if low <= 0 || high > backOffMax || high <= low {
			t.Errorf("attempt %d: delay from %v to %v", n, low, high)
		}
	}
}

// TestConnectionIsNotReusedAfterLoss guards against a connection that is reused
// after a lost attempt, so that the late answer reaches the next request, and
// against one that is reused after MaxIdle.
func TestConnectionIsNotReusedAfterLoss(t *testing.T) {
	proptest.Check(t, 20261204, func(t *rapid.T) {
		c, now := NewConnection(start), start
		for {
			idle := time.Duration(rapid.IntRange(0, 6000).Draw(t, "idle")) * time.Millisecond
			now = now.Add(idle)
			used := c.uses > 0
			if !c.Begin(now) {
				if !used || idle < MaxIdle {
					t.Fatalf("connection refused after %v idle", idle)
				}
				return
			}
			if used && idle >= MaxIdle {
				t.Fatalf("connection reused after %v idle", idle)
			}
			end := AttemptEnd(rapid.IntRange(0, 3).Draw(t, "end"))
			if keep := c.EndAttempt(now, end, false); keep != (end == AttemptAnswered || end == AttemptDeclined) {
				t.Fatalf("outcome %d: keep %v", end, keep)
			} else if !keep {
				if c.Begin(now) {
					t.Fatal("closed connection reused")
				}
				return
			}
		}
	})
}
