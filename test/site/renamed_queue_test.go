package site

import (
	"net/http"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/standin/site"
)

// TestJobsOfRenamedQueueStayReachable guards against jobs that are unknown, missing from
// the length of the queue or not cancelled because operators gave their queue another name.
func TestJobsOfRenamedQueueStayReachable(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 2, func(string, string, int) (time.Duration, site.Outcome) { return 0, site.Done })
	running, waiting := jobID(60), jobID(61)
	tooLarge := site.Step{Count: 1, MilliCores: 9000, MemoryMB: 10}
	if a := c.nodes[0].submit(running, site.Step{Count: 2, MilliCores: 500, MemoryMB: 10, LongRunning: true}); a.status != http.StatusOK {
		t.Fatalf("submit: %+v", a)
	}
	if a := c.nodes[0].submit(waiting, tooLarge); a.status != http.StatusOK {
		t.Fatalf("submit: %+v", a)
	}
	queueLength := func(n *testNode) string {
		return call("GET", n.frontAddress, quickHost, quickPath, teamKey, nil).body
	}
	for _, n := range c.nodes {
		c.waitFor("the job is running at "+n.name, func() bool { return n.state(running) == "running" })
		c.waitFor("one job waits at "+n.name, func() bool { return queueLength(n) == `{"pending":1}` })
	}

	renamed, other := quickQueue(), quickQueue()
	renamed.Name, other.Name, other.Prefix = "quick-2", "other", "/other/"
	c.site.Configure([]site.Queue{renamed, other}, []site.Team{testTeam(teamKey)})
	for _, n := range c.nodes {
		c.waitFor("the new name is in force at "+n.name, func() bool {
			return call("GET", n.frontAddress, quickHost, other.Prefix, teamKey, nil).status == http.StatusOK
		})
		if state := n.state(running); state != "running" {
			t.Errorf("%s shows the running job as %q", n.name, state)
		}
		if got := queueLength(n); got != `{"pending":1}` {
			t.Errorf("%s answers %s for the length of the renamed queue", n.name, got)
		}
		if a := call("GET", n.frontAddress, quickHost, other.Prefix+running, teamKey, nil); a.status != http.StatusGone {
			t.Errorf("%s shows the job in another queue: %+v", n.name, a)
		}
	}
	if a := call("DELETE", c.nodes[1].frontAddress, quickHost, quickPath+running, teamKey, nil); a.status != http.StatusOK {
		t.Errorf("cancel: %+v", a)
	}
	c.waitFor("no task is running", func() bool {
		for _, worker := range c.site.Workers() {
			if len(worker.ActiveRuns()) > 0 {
				return false
			}
		}
		return true
	})
}
