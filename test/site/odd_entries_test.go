package site

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestOddWorkerEntriesAreIgnored guards against entries of another writer among those of
// the workers that end the nodes, hide the workers from them or are used as workers.
func TestOddWorkerEntriesAreIgnored(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 2, succeedAfter(60*time.Millisecond))
	c.completeJob(jobID(9))
	const valid = `{"service":"quick","zone":"north","state":"ready","labels":["a","r"],"address":"127.0.0.1:9","capacity":{"cpu":8000,"mem-mb":16000},"born":1}`
	deep := strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)
	for name, change := range map[string][2]string{
		"odd-deep": {`["a","r"]`, deep}, "odd-deep-field": {`"born":1`, `"x":` + deep + `,"born":1`},
		"odd-capacity": {`8000`, `9223372036854775807`}, "odd-float": {`8000`, `1e30`}, "odd-born": {`"born":1`, `"born":1e30`}, "odd-number": {`"born":1`, `"born":1e999`},
		"odd-port": {`:9"`, `:99999"`}, "odd-no-port": {`:9"`, `"`}, "odd-address": {`127.0.0.1:9`, `[::1`}, "odd-line\r\nX: y": {`a`, `a`}, "odd-text": {`{`, `%`},
	} {
		c.site.Store.PutBytes("servers/"+name, []byte(strings.Replace(valid, change[0], change[1], 1)))
	}
	for _, w := range c.site.Workers() {
		c.site.Store.PutBytes("servers/"+w.ID, []byte(strings.Replace(valid, ":9", ":99999", 1)))
	}
	for i := range 6 {
		if a := c.nodes[i%2].submit(jobID(i+1), taskStep(3)); a.status != http.StatusOK {
			t.Fatalf("submit: %+v", a)
		}
	}
	for i := range 6 {
		c.waitFor("job is completed", func() bool { return c.nodes[0].state(jobID(i+1)) == "completed" })
	}
	c.checkRuns()
	item, _ := c.site.Store.Get("cj/roster")
	var members []struct{ I, A string }
	if err := json.Unmarshal(item.Value, &members); err != nil || len(members) < 4 {
		t.Errorf("roster %s: %v", item.Value, err)
	}
	for _, m := range members {
		if strings.HasPrefix(m.I, "odd") || m.A == "127.0.0.1:99999" {
			t.Errorf("the roster has %+v", m)
		}
	}
	for _, n := range c.nodes {
		select {
		case err := <-n.done:
			t.Errorf("%s has ended: %v", n.name, err)
			n.done <- err
		default:
		}
	}
}
