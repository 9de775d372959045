package clients

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/standin/site"
)

// TestOrdinaryCallersAreNotRefused guards against limits that ordinary callers reach:
// many at a time, on connections that they keep open and use again.
func TestOrdinaryCallersAreNotRefused(t *testing.T) {
	const callers, requests = 150, 4
	n := startNode(t)
	body := strings.Replace(ordinaryJob, `"x"`, `"`+strings.Repeat("x", 4000)+`"`, 1)
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for j := range requests {
				if _, err := submit(client, n.front, fmt.Sprintf("%016x", 1+i*requests+j), body); err != nil {
					t.Errorf("caller %d, request %d: %v", i, j, err)
				}
			}
		})
	}
	group.Wait()
	if refused := n.metric("crocusjunction_clients_refused_total"); refused != "" {
		t.Errorf("ordinary callers were refused:\n%s", refused)
	}
}

// metric returns the lines of the node's metrics that begin with name.
func (n *nodeProcess) metric(name string) string {
	response, err := http.Get("http://" + n.metrics + "/metrics")
	if err != nil {
		n.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		n.t.Fatal(err)
	}
	var lines []string
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, name) {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "")
}

// configureLimits replaces limits in the configuration.
func (n *nodeProcess) configureLimits(limits map[string]int) {
	n.t.Helper()
	item, ok := n.site.Store.Get("op/config")
	if !ok {
		n.t.Fatal("no configuration is stored")
	}
	var config map[string]any
	if err := json.Unmarshal(item.Value, &config); err != nil {
		n.t.Fatal(err)
	}
	config["version"] = config["version"].(float64) + 1
	for name, value := range limits {
		config["limits"].(map[string]any)[name] = value
	}
	n.site.Store.Put("op/config", config)
}

// TestLimitsChangeAtRunTime guards against limits of the configuration that a running node
// does not apply, and against a refusal with a status that does not promise that the job
// never runs.
func TestLimitsChangeAtRunTime(t *testing.T) {
	n := startNode(t)
	client := &http.Client{Timeout: waitTimeout}
	padded := func(length int) string { return ordinaryJob + strings.Repeat(" ", length-len(ordinaryJob)) }
	next := 0
	post := func(length int) int {
		next++
		status, err := submit(client, n.front, fmt.Sprintf("%016x", next), padded(length))
		if err != nil {
			t.Logf("%d bytes: %v", length, err)
		}
		return status
	}
	if status := post(2000); status != http.StatusOK {
		t.Errorf("2,000 bytes: status %d", status)
	}
	n.configureLimits(map[string]int{"max-body-bytes": 1000})
	n.waitFor("a body over the new limit is refused", func() bool { return post(2000) == http.StatusServiceUnavailable })
	n.configureLimits(map[string]int{"max-body-bytes": 600_000})
	n.waitFor("a body within the new limit is accepted", func() bool { return post(500_000) == http.StatusOK })
}

// TestStopDuringAttack guards against a process that does not end after SIGTERM while
// clients hold connections, and against closing the connection of a request that is
// being served then.
func TestStopDuringAttack(t *testing.T) {
	n := startNode(t)
	to := n.target(n.front)
	var held []net.Conn
	defer func() {
		for _, c := range held {
			_ = c.Close()
		}
	}()
	for i := range 90 {
		c, err := net.Dial("tcp4", n.front)
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, c)
		switch i % 3 {
		case 0:
			_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", to.head("POST", i, ""), len(ordinaryJob)+1, ordinaryJob)
		case 1:
			_, _ = fmt.Fprint(c, to.head("POST", i, ""))
		}
	}
	// The store does not answer the write of the job, so that the request is served until
	// its deadline. The shutdown of the servers begins before that.
	n.site.Store.SetWriteFault(func(keys []string) site.StoreFault {
		for _, k := range keys {
			if strings.HasPrefix(k, "cj/j/") {
				return site.StoreDoneSilently
			}
		}
		return site.StoreNoFault
	})
	n.signal(syscall.SIGTERM)
	time.Sleep(500 * time.Millisecond)
	status, err := submit(&http.Client{Timeout: waitTimeout}, n.front, "00000000000000ff", ordinaryJob)
	if err != nil || status != http.StatusGatewayTimeout && status != http.StatusOK {
		t.Errorf("status %d, %v; want 504 or 200", status, err)
	}
	select {
	case <-n.exited:
	case <-time.After(waitTimeout):
		t.Fatal("the process has not ended")
	}
	if code := n.command.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}
