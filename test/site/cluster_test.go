// Package site tests nodes that run in the test process against a stand-in for
// the users' platform.
package site

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/node"
	"github.com/crocusjunction/crocusjunction/internal/standin/site"
	"github.com/crocusjunction/crocusjunction/platform"
)

const (
	quickHost = "quick.example"
	quickPath = "/quick/"
	teamKey   = "key-1"
	// waitTimeout is the timeout of every wait in these tests. It is far above the
	// expected times, so that a slow machine does not fail a test.
	waitTimeout = 20 * time.Second
)

// cluster is a stand-in site and the nodes that run against it in this process.
type cluster struct {
	t     *testing.T
	site  *site.Site
	nodes []*testNode
}

// testNode is a node and the addresses of its listeners.
type testNode struct {
	name, frontAddress, readyAddress, metricsAddress string
	stop                                             context.CancelFunc
	done                                             chan error
	log                                              *syncBuffer
}

// syncBuffer collects a node's log; it is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *syncBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *syncBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func quickQueue() site.Queue {
	return site.Queue{Name: "quick", Host: quickHost, Prefix: quickPath, Service: "quick", Attempts: 3}
}

// teamCaller submits and reads jobs with the key of the team that startCluster
// configures.
var teamCaller = site.Caller{Queue: quickQueue(), Key: teamKey}

func testTeam(keys ...string) site.Team { return site.Team{Name: "depots", Keys: keys, CPU: 20000} }

// startCluster starts a site with four workers and a spare one, whose tasks run
// as behavior defines, and the given number of nodes. It waits until every node
// is ready.
func startCluster(t *testing.T, nodes int, behavior site.RunBehavior) *cluster {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s, err := site.Start(ctx, site.Options{
		Queues: []site.Queue{quickQueue()}, Teams: []site.Team{testTeam(teamKey)},
		Workers: map[string]int{"quick": 4, "spare": 1}, SparePool: "spare",
		Zones: []string{"north", "south"}, CPU: 8000, MemoryMB: 16000, RunBehavior: behavior,
	})
	if err != nil {
		t.Fatal(err)
	}
	c := &cluster{t: t, site: s}
	for i := range nodes {
		c.startNode(fmt.Sprintf("edge-%d", i+1))
	}
	for _, n := range c.nodes {
		c.waitFor("node "+n.name+" is ready", func() bool { return get(n.readyAddress, "/ready").status == http.StatusOK })
	}
	return c
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := site.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// startNode starts a node in zone north and stops it when the test ends.
func (c *cluster) startNode(name string) *testNode {
	c.t.Helper()
	n := &testNode{name: name, frontAddress: freeAddress(c.t), readyAddress: freeAddress(c.t), done: make(chan error, 1), log: &syncBuffer{}}
	port, err := site.FreePorts(site.NodePorts)
	if err != nil {
		c.t.Fatal(err)
	}
	n.metricsAddress = fmt.Sprintf("127.0.0.1:%d", port)
	file := c.site.NodeSettings(name, "north", n.frontAddress, n.readyAddress, port)
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	go func() { n.done <- node.RunSettings(ctx, file, nil, n.log) }()
	c.nodes = append(c.nodes, n)
	c.t.Cleanup(func() {
		stop()
		<-n.done
		if c.t.Failed() {
			c.t.Logf("log of %s:\n%s", name, n.log)
		}
	})
	return n
}

// waitFor waits until the condition holds and fails the test after waitTimeout.
func (c *cluster) waitFor(description string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			c.t.Fatalf("timed out after %v waiting until %s", waitTimeout, description)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// callResult is the result of an HTTP call.
type callResult struct {
	status int
	body   string
	err    error
}

func call(method, address, host, path, key string, body []byte) callResult {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return callResult{err: err}
	}
	if host != "" {
		request.Host = host
	}
	request.Header.Set(platform.KeyHeader, key)
	request.Header.Set(platform.DeadlineHeader, "3000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return callResult{response.StatusCode, string(data), err}
}

func get(address, path string) callResult { return call("GET", address, "", path, "", nil) }

// submit submits a job to the node.
func (n *testNode) submit(id string, steps ...site.Step) callResult {
	status, err := teamCaller.Submit(n.frontAddress, id, "payload of "+id, steps...)
	return callResult{status: status, err: err}
}

// state returns the state that the node reports for a job, or "" if it reports
// none.
func (n *testNode) state(id string) string {
	state, _ := teamCaller.State(n.frontAddress, id)
	return state
}

// taskStep returns a step of count equal tasks that starts after the given
// steps.
func taskStep(count int, after ...int) site.Step {
	return site.Step{Count: count, MilliCores: 1000, MemoryMB: 100, Estimate: 50 * time.Millisecond, After: after}
}

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// succeedAfter returns the behavior that every task succeeds after a duration.
func succeedAfter(duration time.Duration) site.RunBehavior {
	return func(string, string, int) (time.Duration, site.Outcome) { return duration, site.Done }
}

// checkRuns checks that no task had two runs at the same time or a further run
// after it was done, and that each run got the payload of its own job.
func (c *cluster) checkRuns() {
	c.t.Helper()
	byTask := make(map[string][]site.RunRecord)
	for _, r := range c.site.Runs() {
		byTask[r.Task] = append(byTask[r.Task], r)
		if want := "payload of " + r.Task[:16]; r.Payload != want {
			c.t.Errorf("task %s got %q, want %q", r.Task, r.Payload, want)
		}
	}
	for task, runs := range byTask {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if startsDuring(a, b) || startsDuring(b, a) {
					c.t.Errorf("task %s had two runs at the same time: %+v and %+v", task, a, b)
				}
				if a.EndState == "done" && b.Start.After(a.End) || b.EndState == "done" && a.Start.After(b.End) {
					c.t.Errorf("task %s ran again after it was done: %+v and %+v", task, a, b)
				}
			}
		}
	}
}

// startsDuring reports whether b started while a was running.
func startsDuring(a, b site.RunRecord) bool {
	return !b.Start.Before(a.Start) && (a.End.IsZero() || b.Start.Before(a.End))
}
