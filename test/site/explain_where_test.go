package site

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/node"
)

// TestExplainWhere guards against a question about a job that starts or stores something,
// against answers of nodes that don't know the workers, and against errors that don't name
// the field at fault.
func TestExplainWhere(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 2, succeedAfter(60*time.Millisecond))
	file := filepath.Join(t.TempDir(), "job.json")
	if err := os.WriteFile(file, []byte(`{"spec":"p","steps":[{"count":3,"cpu":3000,"mem-mb":100,"est-runtime-ms":50},{"count":1,"after":[0]}]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	invalid := filepath.Join(t.TempDir(), "invalid.json")
	if err := os.WriteFile(invalid, []byte(`{"steps":[{"count":0}]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	where := func(n *testNode, args ...string) (string, error) {
		return c.run(append([]string{"explain", "where", "--node", n.metricsAddress}, args...)...)
	}
	var scheduler, other *testNode
	c.waitFor("the scheduler knows the workers and has parked the idle fourth one", func() bool {
		for i, n := range c.nodes {
			out, err := where(n, "--file", file, "--queue", "quick", "--team", "depots")
			if err == nil && strings.Contains(out, "3 of 3 workers usable") {
				scheduler, other = n, c.nodes[1-i]
			}
		}
		return scheduler != nil
	})
	out, err := where(scheduler, "--file", file, "--queue", "quick", "--team", "depots", "--json")
	var answer node.WhereAnswer
	if err != nil || json.Unmarshal([]byte(out), &answer) != nil || !answer.Accepted || len(answer.Where.Steps) != 2 {
		t.Fatalf("answer %s, error %v", out, err)
	}
	tasks := 0
	for _, start := range answer.Where.Steps[0].Starts {
		tasks += start.Tasks
	}
	if tasks != 3 || answer.Where.Steps[1].Blocked == "" || answer.Where.JobsAgeMS > 5000 {
		t.Errorf("%d of 3 tasks have a worker: %+v", tasks, answer.Where)
	}
	if out, err := where(scheduler, "--file", file, "--queue", "quick"); err != nil || !strings.Contains(out, "no") || !strings.Contains(out, "team:") {
		t.Errorf("a job without a team: %q, error %v", out, err)
	}
	for name, ask := range map[string]struct {
		node *testNode
		args []string
		want string
	}{
		"not the scheduler": {other, []string{"--file", file, "--queue", "quick", "--team", "depots"}, "ask " + scheduler.name},
		"unknown job":       {scheduler, []string{"--job", jobID(1)}, jobID(1)},
		"malformed id":      {scheduler, []string{"--job", "x"}, "--job"},
		"no queue":          {scheduler, []string{"--file", file}, "--queue"},
		"no file":           {scheduler, []string{"--file", file + "x", "--queue", "quick"}, "--file"},
		"invalid job":       {scheduler, []string{"--file", invalid, "--queue", "quick", "--team", "depots"}, "step 0"},
		"other address":     {&testNode{metricsAddress: scheduler.readyAddress}, []string{"--job", jobID(1)}, "--node"},
	} {
		if _, err := where(ask.node, ask.args...); err == nil || !strings.Contains(err.Error(), ask.want) {
			t.Errorf("%s: error %v, want one with %q", name, err, ask.want)
		}
	}
	if runs := len(c.site.Runs()); runs != 0 {
		t.Errorf("%d runs started", runs)
	}
}
