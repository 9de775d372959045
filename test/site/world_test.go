// Package site runs nodes against the stand-in of the users' platform.
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
	// patience bounds every wait of these tests; nothing asserts a shorter time.
	patience = 20 * time.Second
)

// world is a site with nodes, run in this process.
type world struct {
	t     *testing.T
	site  *site.Site
	nodes []*runningNode
}

type runningNode struct {
	name, front, ready, metrics string
	stop                        context.CancelFunc
	done                        chan error
	log                         *lockedBuffer
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func quickQueue() site.Queue {
	return site.Queue{Name: "quick", Host: quickHost, Prefix: quickPath, Service: "quick", Attempts: 3}
}

// caller belongs to the team of newWorld.
var caller = site.Caller{Queue: quickQueue(), Key: teamKey}

func team(keys ...string) site.Team { return site.Team{Name: "depots", Keys: keys, CPU: 20000} }

// newWorld starts a site with four workers and the given number of nodes.
func newWorld(t *testing.T, nodes int, work site.Work) *world {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s, err := site.Start(ctx, site.Options{
		Queues: []site.Queue{quickQueue()}, Teams: []site.Team{team(teamKey)},
		Workers: map[string]int{"quick": 4, "spare": 1}, SparePool: "spare",
		Zones: []string{"north", "south"}, CPU: 8000, MemoryMB: 16000, Work: work,
	})
	if err != nil {
		t.Fatal(err)
	}
	w := &world{t: t, site: s}
	for i := range nodes {
		w.startNode(fmt.Sprintf("edge-%d", i+1))
	}
	for _, n := range w.nodes {
		w.await("node "+n.name+" ready", func() bool { return get(n.ready, "/ready").status == http.StatusOK })
	}
	return w
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := site.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func (w *world) startNode(name string) *runningNode {
	w.t.Helper()
	n := &runningNode{name: name, front: freeAddress(w.t), ready: freeAddress(w.t), done: make(chan error, 1), log: &lockedBuffer{}}
	port, err := site.FreePorts(site.NodePorts)
	if err != nil {
		w.t.Fatal(err)
	}
	n.metrics = fmt.Sprintf("127.0.0.1:%d", port)
	file := w.site.Settings(name, "north", n.front, n.ready, port)
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	go func() { n.done <- node.RunSettings(ctx, file, nil, n.log) }()
	w.nodes = append(w.nodes, n)
	w.t.Cleanup(func() {
		stop()
		<-n.done
		if w.t.Failed() {
			w.t.Logf("log of %s:\n%s", name, n.log)
		}
	})
	return n
}

// await waits until a condition holds.
func (w *world) await(what string, holds func() bool) {
	w.t.Helper()
	deadline := time.Now().Add(patience)
	for !holds() {
		if time.Now().After(deadline) {
			w.t.Fatalf("not seen in %v: %s", patience, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

type answer struct {
	status int
	body   string
	err    error
}

func call(method, address, host, path, key string, body []byte) answer {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	if host != "" {
		request.Host = host
	}
	request.Header.Set(platform.KeyHeader, key)
	request.Header.Set(platform.DeadlineHeader, "3000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, string(data), err}
}

func get(address, path string) answer { return call("GET", address, "", path, "", nil) }

// submit hands a job in at a node.
func (n *runningNode) submit(id string, steps ...site.Step) answer {
	status, err := caller.Submit(n.front, id, "payload of "+id, steps...)
	return answer{status: status, err: err}
}

// state returns the state that the node shows, empty for none.
func (n *runningNode) state(id string) string {
	state, _ := caller.State(n.front, id)
	return state
}

func tasks(count int, after ...int) site.Step {
	return site.Step{Count: count, MilliCores: 1000, MemoryMB: 100, Estimate: 50 * time.Millisecond, After: after}
}

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// fixedWork makes every task take the same time and end done.
func fixedWork(d time.Duration) site.Work {
	return func(string, string, int) (time.Duration, site.Outcome) { return d, site.Done }
}

// checkRuns checks that no task ran twice at a time or again after it ended
// done, and that each got its own job's payload.
func (w *world) checkRuns() {
	w.t.Helper()
	byTask := make(map[string][]site.RunRecord)
	for _, r := range w.site.Runs() {
		byTask[r.Task] = append(byTask[r.Task], r)
		if want := "payload of " + r.Task[:16]; r.Payload != want {
			w.t.Errorf("task %s got %q, want %q", r.Task, r.Payload, want)
		}
	}
	for task, runs := range byTask {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if overlap(a, b) || overlap(b, a) {
					w.t.Errorf("task %s ran twice at a time: %+v and %+v", task, a, b)
				}
				if a.How == "done" && b.Start.After(a.End) || b.How == "done" && a.Start.After(b.End) {
					w.t.Errorf("task %s ran again after it had ended done: %+v and %+v", task, a, b)
				}
			}
		}
	}
}

func overlap(a, b site.RunRecord) bool {
	return !b.Start.Before(a.Start) && (a.End.IsZero() || b.Start.Before(a.End))
}
