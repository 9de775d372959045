package site

import (
	"net/http"
	"testing"
	"time"
)

// TestStoppingNodeEndsConnections guards against callers that send further requests on a
// connection which the shutdown is about to close: such a request got no answer.
func TestStoppingNodeEndsConnections(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 1, succeedAfter(time.Millisecond))
	n := c.nodes[0]
	client := &http.Client{Transport: &http.Transport{}}
	request := func() *http.Response {
		t.Helper()
		r, err := http.NewRequest("GET", "http://"+n.frontAddress+quickPath+jobID(1), nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Host = quickHost
		r.Header.Set("Key", teamKey)
		response, err := client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		if err := response.Body.Close(); err != nil {
			t.Fatal(err)
		}
		return response
	}
	if request().Close {
		t.Error("a running node ends the connection")
	}
	n.stop()
	c.waitFor("readiness is withdrawn", func() bool { return get(n.readyAddress, "/ready").status == http.StatusServiceUnavailable })
	if response := request(); response.StatusCode != http.StatusGone || !response.Close {
		t.Errorf("status %d, the connection ends: %v", response.StatusCode, response.Close)
	}
}
