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

// TestCancelledSubmissionIsNotStoredLater guards against a job that starts after its
// cancellation was answered with 410, because the write of its submission was still under
// way.
func TestCancelledSubmissionIsNotStoredLater(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 2, succeedAfter(20*time.Millisecond))
	c.completeJob(jobID(9))
	id := jobID(1)
	c.site.Store.SetWriteFault(func(keys []string) site.StoreFault {
		if slices.Contains(keys, "cj/j/"+id) {
			return site.StoreHeld
		}
		return site.StoreNoFault
	})
	if a := c.nodes[0].submit(id, taskStep(1)); a.status != http.StatusGatewayTimeout {
		t.Fatalf("submission without an answer of the store: %+v", a)
	}
	cancelled := call("DELETE", c.nodes[1].frontAddress, quickHost, quickPath+id, teamKey, nil)
	if cancelled.status != http.StatusGone {
		t.Fatalf("cancel: %+v", cancelled)
	}
	c.site.Store.SetWriteFault(nil)
	for _, status := range c.site.Store.CarryOutHeld() {
		if status != http.StatusPreconditionFailed {
			t.Errorf("the store answered the late submission with %d", status)
		}
	}
	for _, n := range c.nodes {
		if a := n.submit(id, taskStep(1)); a.status != http.StatusGone {
			t.Errorf("submission after the cancellation: %+v", a)
		}
		if a := call("GET", n.frontAddress, quickHost, quickPath+id, teamKey, nil); a.status != http.StatusGone {
			t.Errorf("state after the cancellation: %+v", a)
		}
		if a := call("DELETE", n.frontAddress, quickHost, quickPath+id, teamKey, nil); a.status != http.StatusGone {
			t.Errorf("second cancellation: %+v", a)
		}
	}
	c.completeJob(jobID(2))
	for _, r := range c.site.Runs() {
		if r.Task[:16] == id {
			t.Errorf("run %+v of the cancelled submission", r)
		}
	}
}
