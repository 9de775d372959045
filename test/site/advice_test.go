package site

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/standin/site"
)

// TestTasksStartOnSlowAdvice guards against tasks that never start because the answers of
// the advice service take most of the validity of their tickets, or longer than a call may.
func TestTasksStartOnSlowAdvice(t *testing.T) {
	t.Parallel()
	for name, advice := range map[string]site.Advice{
		"tickets short-lived":       {Decision: 400 * time.Millisecond, PerWorker: 300 * time.Millisecond, Validity: 1500 * time.Millisecond},
		"slow for each worker":      {Decision: 400 * time.Millisecond, PerWorker: 1500 * time.Millisecond, Validity: 20 * time.Second},
		"slow decision":             {Decision: 3500 * time.Millisecond, PerWorker: 10 * time.Millisecond, Validity: 1200 * time.Millisecond},
		"validity below a start's":  {Decision: 50 * time.Millisecond, PerWorker: 10 * time.Millisecond, Validity: 180 * time.Millisecond},
		"quick, tickets long-lived": {Decision: 50 * time.Millisecond, PerWorker: 10 * time.Millisecond, Validity: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, 2, succeedAfter(100*time.Millisecond))
			queue := quickQueue()
			queue.Advice = advice
			c.site.Configure([]site.Queue{queue}, []site.Team{testTeam(teamKey)})
			for _, n := range c.nodes {
				c.waitFor("the advice is in force at "+n.name, func() bool { return strings.Count(n.log.String(), "configuration applied") == 2 })
			}
			if a := c.nodes[0].submit(jobID(70), taskStep(4)); a.status != http.StatusOK {
				t.Fatalf("submit: %+v", a)
			}
			c.waitFor("the job is completed", func() bool { return c.nodes[0].state(jobID(70)) == "completed" })
			c.checkRuns()
		})
	}
}
