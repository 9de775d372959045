package clients

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/standin/site"
	"github.com/crocusjunction/crocusjunction/platform"
)

const (
	// memoryMB and maxDescriptors are the limits in the settings of each process, and the
	// bounds that the tests check. They were fixed against b6a618f for nodes and 40ee975
	// for entry instances, which exceed one of them in most cases.
	memoryMB       = 96
	maxDescriptors = 384
	// clientCount is the number of connections of each attack.
	clientCount = 400
	// maxBodyBytes is the limit in the configuration that the stand-in writes.
	maxBodyBytes = 262144

	host, prefix, key = "quick.example", "/quick/", "key-1"
	// otherKey is the key of another team.
	otherKey = "key-2"
)

// nodeProcess is one node that runs as a process.
type nodeProcess struct {
	*process
	site *site.Site
	// front, ready, metrics and peers are the addresses of its servers.
	front, ready, metrics, peers string
}

// startNode starts a stand-in site and a node, and waits until the node is ready and
// schedules.
func startNode(t *testing.T) *nodeProcess {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s, err := site.Start(ctx, site.Options{
		Queues:  []site.Queue{{Name: "quick", Host: host, Prefix: prefix, Service: "quick", Attempts: 3}},
		Teams:   []site.Team{{Name: "depots", Keys: []string{key}, CPU: 20000}, {Name: "crafts", Keys: []string{otherKey}, CPU: 20000}},
		Workers: map[string]int{"quick": 3, "spare": 1}, SparePool: "spare",
		Zones: []string{"north"}, CPU: 8000, MemoryMB: 16000,
		RunBehavior: func(string, string, int) (time.Duration, site.Outcome) { return 5 * time.Millisecond, site.Done },
	})
	if err != nil {
		t.Fatal(err)
	}
	n := startNodeAt(t, s, "edge-1")
	n.waitUntilScheduling()
	return n
}

// startNodeAt starts a node at a stand-in site and waits until it is ready.
func startNodeAt(t *testing.T, s *site.Site, name string) *nodeProcess {
	t.Helper()
	n := &nodeProcess{site: s, front: freeAddress(t), ready: freeAddress(t)}
	port, err := site.FreePorts(site.NodePorts)
	if err != nil {
		t.Fatal(err)
	}
	n.metrics = net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
	n.peers = net.JoinHostPort("127.0.0.1", strconv.Itoa(port+1))
	settings := writeFile(t, "settings.json", withLimits(t, s.NodeSettings(name, "north", n.front, n.ready, port)))
	n.process = startProcess(t, platform.SettingsVariable+"="+settings, "node")
	n.waitFor("the node is ready", func() bool { return site.Ready(n.ready) })
	return n
}

func (n *nodeProcess) waitUntilScheduling() {
	n.t.Helper()
	n.waitFor("the node schedules", func() bool { return strings.Contains(n.readLog(), "scheduling begins") })
}

// withLimits adds the machine's limits to a settings file.
func withLimits(t *testing.T, file []byte) []byte {
	t.Helper()
	var settings map[string]any
	if err := json.Unmarshal(file, &settings); err != nil {
		t.Fatal(err)
	}
	// After SIGTERM, the servers are shut down 2.5 s later, and the process ends at the
	// latest after 6 s.
	settings["bounds"].(map[string]any)["grace-s"] = 6
	settings["limits"] = map[string]any{"memory-mb": memoryMB, "max-fds": maxDescriptors, "cpu-share": 1}
	data, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// target returns what clients of the callers' address send.
func (n *nodeProcess) target(address string) target {
	return target{
		address: address, maxBody: maxBodyBytes, body: ordinaryJob,
		header: fmt.Sprintf("Host: %s\r\nKey: %s\r\nRequest-Deadline: 3000\r\n", host, key),
		path:   func(client int) string { return fmt.Sprintf("%s%016x", prefix, client+1) },
	}
}

// checkServes checks that the node accepts an ordinary job.
func (n *nodeProcess) checkServes() { n.checkServesTeam(key) }

// checkServesTeam checks that the node accepts an ordinary job of the team with a key.
func (n *nodeProcess) checkServesTeam(key string) {
	n.t.Helper()
	client := &http.Client{Timeout: 4 * time.Second}
	defer client.CloseIdleConnections()
	attempt := 0
	n.waitFor("an ordinary job is accepted", func() bool {
		attempt++
		status, _ := submitAs(client, n.front, key, fmt.Sprintf("%016x", 1<<32+attempt), ordinaryJob)
		return status == http.StatusOK
	})
	n.waitFor("the node is ready again", func() bool { return site.Ready(n.ready) })
}

const ordinaryJob = `{"spec":"x","steps":[{"count":1,"cpu":100,"mem-mb":10,"est-runtime-ms":5}]}`

// submit sends a job with a body of the given content and returns the HTTP status.
func submit(client *http.Client, address, id, body string) (int, error) {
	return submitAs(client, address, key, id, body)
}

func submitAs(client *http.Client, address, key, id, body string) (int, error) {
	request := newRequest(http.MethodPost, "http://"+address+prefix+id, []byte(body), platform.KeyHeader, key, platform.DeadlineHeader, "3000")
	request.Host = host
	return send(client, request)
}
