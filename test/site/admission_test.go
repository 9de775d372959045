package site

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/standin/site"
)

// TestBurstIsRefusedTruthfully guards against a refused job that runs, against a retry of
// an accepted job that is refused, and against refusals that go on when there is room
// again.
func TestBurstIsRefusedTruthfully(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 2, succeedAfter(20*time.Second))
	work := site.Step{Count: 8, MilliCores: 1000, MemoryMB: 100, Estimate: 20 * time.Second}
	const accepted = 40
	for i := range accepted {
		if a := c.nodes[i%2].submit(jobID(i), work); a.status != http.StatusOK {
			t.Fatalf("submit %d: %+v", i, a)
		}
	}
	for _, n := range c.nodes {
		c.waitFor(n.name+" knows that there is too much work", func() bool {
			return strings.Contains(get(n.metricsAddress, "/metrics").body, "crocusjunction_admission_services 1")
		})
	}
	next, refused := accepted, make(map[*testNode]string)
	for _, n := range c.nodes {
		// A node accepts while its copy of the record is too old.
		c.waitFor(n.name+" refuses a job", func() bool {
			refused[n] = jobID(next)
			next++
			return n.submit(refused[n], work).status == http.StatusTooManyRequests
		})
		if a := n.submit(jobID(0), work); a.status != http.StatusOK {
			t.Errorf("%s: retry of an accepted job: %+v", n.name, a)
		}
		if body := get(n.metricsAddress, "/metrics").body; !strings.Contains(body, `crocusjunction_admission_refusals_total{cause="team-limit"}`) {
			t.Errorf("the metrics of %s lack the refusals", n.name)
		}
	}
	isRefused := func(id string) bool { return id == refused[c.nodes[0]] || id == refused[c.nodes[1]] }
	for i := range next {
		if id := jobID(i); !isRefused(id) {
			_, _ = teamCaller.Cancel(c.nodes[0].frontAddress, id)
		}
	}
	for _, r := range c.site.Runs() {
		if isRefused(r.Task[:16]) {
			t.Errorf("%s of a refused job has run", r.Task)
		}
	}
	for _, n := range c.nodes {
		c.waitFor(n.name+" accepts the job when there is room", func() bool { return n.submit(refused[n], work).status == http.StatusOK })
	}
}
