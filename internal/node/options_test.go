package node

import (
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
	"github.com/crocusjunction/crocusjunction/platform"
)

// TestTaskOfSilentWorkerRestartsInTime guards against task leases that are so long that
// a long-lasting task whose worker has failed does not run again, after a takeover,
// within the 7 s of calm that the users expect.
func TestTaskOfSilentWorkerRestartsInTime(t *testing.T) {
	for _, allowed := range []time.Duration{3 * time.Second, 6 * time.Second, 10 * time.Second, 30 * time.Second} {
		o := schedulerOptions(platform.Settings{Bounds: platform.Bounds{MaxTaskLease: allowed}}, "")
		wait := o.MaxTaskLease*(100+worker.ClockError+1)/100 + worker.LeaseMargin
		if wait >= 7*time.Second || o.TaskLease >= o.MaxTaskLease || o.MaxTaskLease > allowed {
			t.Errorf("leases of up to %v allowed: a takeover waits %v for a lease of %v", allowed, wait, o.TaskLease)
		}
	}
}
