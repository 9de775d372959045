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
		health.recordFailure()
	}
	if got := accept(); got != ingress.NotStored {
		t.Errorf("after %d failures: result %v, want a refusal", unreachableAfter, got)
	}
	health.recordAnswer()
	if got := accept(); got != ingress.WriteUnknown {
		t.Errorf("after an answer: result %v, want an attempt", got)
	}
}
