package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
)

// TestReadyTasksStartAfterSeriesOfFaults guards against a job that is not started again
// after some order of losses, takeovers and reads, although everything is calm and its
// tasks have room. It was seen once, at the end of a day.
func TestReadyTasksStartAfterSeriesOfFaults(t *testing.T) {
	for seed := range faultSeeds(t) * 24 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newFleet(t, 7000+seed, 4, 6, 3)
			w.watchLiveness()
			w.runFor(time.Second)
			lasting := w.submit(1<<40, job.Spec{Steps: []job.Step{newLongRunningStep(4, 2, 1)}})
			ids := w.submitLoad(1, 200, 150*time.Millisecond)
			version := int64(1)
			for range 8 {
				f := faults[w.random.IntN(len(faults))]
				w.log("fault: %s", f.name)
				f.apply(w)
				if w.random.IntN(2) == 0 {
					version++
					w.store.put("config", w.config(version), 0)
				}
				w.runFor(time.Duration(w.random.IntN(5000)) * time.Millisecond)
			}
			w.runFor(50 * time.Second)
			w.expectEnded(ids)
			w.expectRunning(lasting)
		})
	}
}
