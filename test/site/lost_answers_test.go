package site

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/standin/site"
)

// progressOf returns the key of a job's progress.
func progressOf(id string) string { return "cs/" + id }

// TestJobsProceedAfterLostAnswersToProgressWrites guards against a scheduler that takes
// the revision of one job in a refused write for that of another, whose writes are
// refused from then on.
func TestJobsProceedAfterLostAnswersToProgressWrites(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 1, succeedAfter(200*time.Millisecond))
	c.completeJob(jobID(9))
	ids := []string{jobID(1), jobID(2)}
	lost := make(map[string]bool)
	c.site.Store.SetWriteFault(func(keys []string) site.StoreFault {
		for _, id := range ids {
			if slices.Contains(keys, progressOf(id)) && !lost[id] {
				lost[id] = true
				return site.StoreDoneSilently
			}
		}
		return site.StoreNoFault
	})
	for _, id := range ids {
		if a := c.nodes[0].submit(id, taskStep(1)); a.status != http.StatusOK {
			t.Fatalf("submit: %+v", a)
		}
		time.Sleep(40 * time.Millisecond)
	}
	for _, id := range ids {
		c.waitFor("job "+id+" is completed", func() bool { return c.nodes[0].state(id) == "completed" })
	}
	c.checkRuns()
}

// completeJob runs a job of one task, so that afterwards a node is the scheduler and has
// met the workers.
func (c *cluster) completeJob(id string) {
	c.t.Helper()
	if a := c.nodes[0].submit(id, taskStep(1)); a.status != http.StatusOK {
		c.t.Fatalf("submit: %+v", a)
	}
	c.waitFor("job "+id+" is completed", func() bool { return c.nodes[0].state(id) == "completed" })
}
