package site

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/standin/site"
	"github.com/crocusjunction/crocusjunction/internal/trace"
)

// causeOf returns the cause of the job's outcome as the trace command derives it
// from the logs of all nodes.
func (c *cluster) causeOf(id string) string {
	c.t.Helper()
	collector := trace.NewCollector(id)
	for _, n := range c.nodes {
		if err := collector.Read(strings.NewReader(n.log.String())); err != nil {
			c.t.Fatal(err)
		}
	}
	return collector.Trace().Cause
}

// waitForCause waits until the cause in the logs contains all parts. Nodes write
// their logs asynchronously, so that the lines appear after the decision.
func (c *cluster) waitForCause(id string, parts ...string) {
	c.t.Helper()
	c.waitFor("the logs contain the cause "+strings.Join(parts, ", "), func() bool {
		cause := c.causeOf(id)
		for _, part := range parts {
			if !strings.Contains(cause, part) {
				return false
			}
		}
		return true
	})
}

// TestTraceFindsCause guards against logs from which the trace command cannot
// tell why a job was refused, was late or failed.
func TestTraceFindsCause(t *testing.T) {
	t.Parallel()
	t.Run("refused", func(t *testing.T) {
		c := startCluster(t, 2, succeedAfter(20*time.Millisecond))
		c.site.Store.SetFault(site.StoreUnavailable, 0)
		id := jobID(1)
		if a := c.nodes[0].submit(id, taskStep(1)); a.status != http.StatusServiceUnavailable {
			t.Fatalf("submit: %+v", a)
		}
		c.site.Store.SetFault(site.StoreNoFault, 0)
		c.waitForCause(id, "it was refused and has not run", "the store does not take the job")
	})
	t.Run("late", func(t *testing.T) {
		c := startCluster(t, 2, succeedAfter(6*time.Second))
		// The first job uses the team's whole CPU limit, so that the second one waits.
		if a := c.nodes[0].submit(jobID(2), taskStep(20)); a.status != http.StatusOK {
			t.Fatalf("submit: %+v", a)
		}
		c.waitFor("20 tasks were started", func() bool { return len(c.site.Runs()) >= 20 })
		id := jobID(3)
		if a := c.nodes[1].submit(id, taskStep(3)); a.status != http.StatusOK {
			t.Fatalf("submit: %+v", a)
		}
		c.waitFor("completed", func() bool { return c.nodes[0].state(id) == "completed" })
		c.waitForCause(id, "it completed", "first start after", "3 for their team's limit")
	})
	t.Run("failed", func(t *testing.T) {
		c := startCluster(t, 2, func(string, string, int) (time.Duration, site.Outcome) { return 20 * time.Millisecond, site.Failed })
		id := jobID(4)
		if a := c.nodes[0].submit(id, taskStep(1)); a.status != http.StatusOK {
			t.Fatalf("submit: %+v", a)
		}
		c.waitFor("failed", func() bool { return c.nodes[1].state(id) == "failed" })
		c.waitForCause(id, "a task used up its attempts", id+".0.0.0", "failures 3")
	})
}
