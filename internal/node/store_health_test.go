package node

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/crocusjunction/crocusjunction/internal/asynclog"
	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/ingress"
)

// TestWriteIsRefusedWhileStoreIsUnreachable guards against a caller that waits until
// its deadline, and learns no outcome, at a node which knows that it does not reach the
// store; and against a refusal after a single failure or after the store has answered.
func TestWriteIsRefusedWhileStoreIsUnreachable(t *testing.T) {
	var health storeHealth
	// A deadline in the past makes a write that is attempted end as unknown.
	store := jobStore{nil, newBootClock(), asynclog.New(io.Discard, logrus.Fields{}), &health}
	accept := func() ingress.WriteResult { return store.Accept(&job.Job{ID: "1"}, time.Time{}) }
	for i := range unreachableAfter {
		if got := accept(); got != ingress.WriteUnknown {
			t.Errorf("after %d failures: result %v, want an attempt", i, got)
		}
		health.recordFailure(store.clock.Now())
	}
	if got := accept(); got != ingress.NotStored {
		t.Errorf("after %d failures: result %v, want a refusal", unreachableAfter, got)
	}
	health.recordAnswer()
	if got := accept(); got != ingress.WriteUnknown {
		t.Errorf("after an answer: result %v, want an attempt", got)
	}
}

// TestAttemptsOutlastOutage guards against callers whose few attempts are used up while
// the store is down, because each is refused at once and returns after a second, and
// against a long delay where only this node has lost the store.
func TestAttemptsOutlastOutage(t *testing.T) {
	const attempts = 5
	var health storeHealth
	start := time.UnixMilli(1_700_000_000_000)
	if got := health.retryAfter(start); got != minRetryAfter {
		t.Errorf("with a store that answers: %v", got)
	}
	health.recordFailure(start)
	at := start.Add(300 * time.Millisecond)
	for i := range attempts - 1 {
		delay := health.retryAfter(at)
		if i == 0 && delay != minRetryAfter {
			t.Errorf("the first refusal asks to return after %v", delay)
		}
		at = at.Add(delay)
	}
	// Outages of the users' store last up to 5 s.
	if lasted := at.Sub(start); lasted < 5*time.Second {
		t.Errorf("%d attempts end %v after the beginning of the outage", attempts, lasted)
	}
}
