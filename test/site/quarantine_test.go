package site

import (
	"bytes"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/command"
)

// run runs a command of crocusjunction and returns what it prints.
func (c *cluster) run(args ...string) (string, error) {
	var out bytes.Buffer
	root := command.New()
	root.Writer = &out
	err := root.Run(c.t.Context(), append([]string{"crocusjunction"}, args...))
	return out.String(), err
}

// operatorSettings writes a node's settings file for operators' commands, which use
// only the store's address.
func (c *cluster) operatorSettings() string {
	c.t.Helper()
	path := filepath.Join(c.t.TempDir(), "settings.json")
	if err := os.WriteFile(path, c.site.NodeSettings("operator", "north", "127.0.0.1:1", "127.0.0.1:1", 1), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return path
}

// TestOperatorsHandleQuarantine guards against a job in quarantine that runs, that
// operators do not see, or that they can neither release nor end.
func TestOperatorsHandleQuarantine(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 2, succeedAfter(60*time.Millisecond))
	settings := c.operatorSettings()
	released, ended := jobID(1), jobID(2)
	for _, id := range []string{released, ended} {
		c.site.Store.Put("cj/q/job/"+id, map[string]string{"error": "out of range", "node": "edge-9"})
	}
	c.waitFor("both nodes have read the quarantine", func() bool {
		return strings.Contains(get(c.nodes[0].metricsAddress, "/metrics").body, "crocusjunction_records_quarantined 2") &&
			strings.Contains(get(c.nodes[1].metricsAddress, "/metrics").body, "crocusjunction_records_quarantined 2")
	})
	others := []string{jobID(3), jobID(4)}
	for _, id := range append(others, released, ended) {
		if a := c.nodes[0].submit(id, taskStep(2)); a.status != http.StatusOK {
			t.Fatalf("submit %s: %+v", id, a)
		}
	}
	for _, id := range others {
		c.waitFor("other jobs complete", func() bool { return c.nodes[1].state(id) == "completed" })
	}
	if state := c.nodes[1].state(released); state != "queued" {
		t.Errorf("job in quarantine is %q", state)
	}
	if out, err := c.run("quarantine", "list", "--settings", settings); err != nil || !strings.Contains(out, "job/"+released) || !strings.Contains(out, "out of range") {
		t.Errorf("list: %q, error %v", out, err)
	}
	if _, err := c.run("quarantine", "release", "--settings", settings, "job/"+released); err != nil {
		t.Errorf("release: %v", err)
	}
	if _, err := c.run("quarantine", "end", "--settings", settings, ended); err != nil {
		t.Errorf("end: %v", err)
	}
	if _, err := c.run("quarantine", "end", "--settings", settings, others[0]); err == nil {
		t.Error("a job outside the quarantine was ended")
	}
	c.waitFor("the released job completes", func() bool { return c.nodes[0].state(released) == "completed" })
	c.waitFor("the ended job is cancelled", func() bool { return c.nodes[0].state(ended) == "cancelled" })
	c.checkRuns()
	if runs := len(c.site.Runs()); runs != 6 {
		t.Errorf("%d runs, want 6", runs)
	}
}

// TestBegunJobStaysInQuarantine guards against a task that runs a second time because
// its end was not recorded while its job was in quarantine.
func TestBegunJobStaysInQuarantine(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 1, succeedAfter(time.Hour))
	settings := c.operatorSettings()
	id := jobID(1)
	if a := c.nodes[0].submit(id, taskStep(1)); a.status != http.StatusOK {
		t.Fatalf("submit: %+v", a)
	}
	c.waitFor("the job runs", func() bool { return c.nodes[0].state(id) == "running" })
	c.site.Store.Put("cj/q/job/"+id, map[string]string{"error": "out of range"})
	if _, err := c.run("quarantine", "release", "--settings", settings, "job/"+id); err == nil || !strings.Contains(err.Error(), "can only be ended") {
		t.Errorf("release of a begun job: %v", err)
	}
}

// TestMalformedStoredJobIsIgnored guards against a stored job of another origin that
// ends the processes which read it.
func TestMalformedStoredJobIsIgnored(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 2, succeedAfter(30*time.Millisecond))
	c.site.Store.Put("cj/j/"+jobID(1), "not a job")
	c.site.Store.Put("cj/leader-of-another-kind", "unknown")
	c.site.Store.Put("cj/q/malformed", "unknown")
	if a := c.nodes[0].submit(jobID(2), taskStep(2)); a.status != http.StatusOK {
		t.Fatalf("submit: %+v", a)
	}
	c.waitFor("other jobs complete", func() bool { return c.nodes[1].state(jobID(2)) == "completed" })
	c.waitFor("the malformed job is logged", func() bool { return strings.Contains(c.nodes[0].log.String(), "entry not decoded") })
}
