// Package rig plays the cases of the review that are scripts: it starts nodes as
// separate processes against the project's stand-in for the users' platform and
// records what was sent, answered and run.
package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/standin/site"
	"github.com/valyala/fasthttp"
)

const (
	host, prefix, apiKey = "review.example", "/review/", "key-of-the-team"
	service              = "service"
	// storeDelay is the time that the store takes for an answer.
	storeDelay = 4 * time.Millisecond
	// lostAnswerHold is how long a connection stays open and silent after an answer
	// on it was lost. The nodes give up long before.
	lostAnswerHold = 20 * time.Second
)

// storeVerdict is what the store does with one call.
type storeVerdict int

const (
	answer storeVerdict = iota
	// loseAnswer carries the call out and never answers it.
	loseAnswer
	// neverDone neither carries the call out nor answers it.
	neverDone
	// doneLate carries the call out after deployment.lateDelay and never answers it.
	doneLate
)

// write is the body of a transaction of the store.
type write struct {
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
	} `json:"puts"`
	Deletes []string `json:"deletes"`
}

// keys returns the keys that a transaction changes.
func (w write) keys() []string {
	var keys []string
	for _, p := range w.Puts {
		keys = append(keys, p.Key)
	}
	return append(keys, w.Deletes...)
}

// deployment is a running site with its nodes.
type deployment struct {
	site    *site.Site
	dir     string
	binary  string
	trouble bool
	started time.Time
	client  *http.Client
	nodes   []*node

	mu     sync.Mutex
	record strings.Builder
	// judge decides about a call of a node to the store. It is called with mu held.
	judge     func(node, path string, keys []string) storeVerdict
	lateDelay time.Duration
}

// node is one node process. It reaches the store at its own address.
type node struct {
	name, front, ready, settings string
	command                      *exec.Cmd
	exited                       chan struct{}
}

// newDeployment starts the site and count nodes, and waits until all are ready.
func newDeployment(count, workers int, behavior site.RunBehavior) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		dir: dir, binary: os.Getenv("REVIEW_NODE"), trouble: os.Getenv("TROUBLE") != "0",
		started: time.Now(), client: &http.Client{Timeout: 5 * time.Second},
		judge: func(string, string, []string) storeVerdict { return answer },
	}
	d.site, err = site.Start(context.Background(), site.Options{
		Queues:  []site.Queue{{Name: "queue", Host: host, Prefix: prefix, Service: service, Attempts: 4}},
		Teams:   []site.Team{{Name: "team", Keys: []string{apiKey}, CPU: 200_000}},
		Workers: map[string]int{service: workers}, Zones: []string{"a", "b"}, CPU: 32_000, MemoryMB: 64_000, RunBehavior: behavior,
	})
	if err != nil {
		return nil, err
	}
	d.site.Store.SetFault(site.StoreNoFault, storeDelay)
	d.note("trouble %v", d.trouble)
	for i := range count {
		if err := d.startNode(fmt.Sprintf("edge-%d", i+1)); err != nil {
			return d, err
		}
	}
	return d, d.await(20*time.Second, func() bool {
		for _, n := range d.nodes {
			if !site.Ready(n.ready) {
				return false
			}
		}
		return d.leader() != ""
	})
}

// note adds a line to the record.
func (d *deployment) note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noteLocked(format, args...)
}

func (d *deployment) noteLocked(format string, args ...any) {
	fmt.Fprintf(&d.record, "%8.3f s  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

// since returns the time since the start, as in the record.
func (d *deployment) since(t time.Time) float64 { return t.Sub(d.started).Seconds() }

func (d *deployment) await(limit time.Duration, condition func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("not reached within %v", limit)
}

// leader returns the name of the node that is the scheduler.
func (d *deployment) leader() string {
	item, ok := d.site.Store.Get("cj/leader")
	if !ok {
		return ""
	}
	var value struct {
		Holder string `json:"holder"`
	}
	_ = json.Unmarshal(item.Value, &value)
	return value.Holder
}

// serveStore passes a node's calls to the store as judge decides.
func (d *deployment) serveStore(name string) fasthttp.RequestHandler {
	return func(c *fasthttp.RequestCtx) {
		path := string(c.Path())
		var w write
		if path == "/kv-txn" {
			_ = json.Unmarshal(c.PostBody(), &w)
		}
		d.mu.Lock()
		verdict, delay := d.judge(name, path, w.keys()), d.lateDelay
		if path == "/kv-txn" && verdict != answer {
			d.noteLocked("store: write of %s to %s: %s", name, strings.Join(w.keys(), " "), map[storeVerdict]string{
				loseAnswer: "done, answer lost", neverDone: "not done, no answer", doneLate: fmt.Sprintf("no answer, to be done %v later", delay),
			}[verdict])
		}
		d.mu.Unlock()
		switch verdict {
		case answer:
			d.site.Store.Serve(c)
			return
		case loseAnswer:
			d.site.Store.Serve(c)
		case doneLate:
			late := &fasthttp.RequestCtx{}
			c.Request.CopyTo(&late.Request)
			time.AfterFunc(delay, func() {
				d.site.Store.Serve(late)
				d.note("store: late write of %s to %s: status %d", name, strings.Join(w.keys(), " "), late.Response.StatusCode())
			})
		}
		time.Sleep(lostAnswerHold)
		c.HijackSetNoResponse(true)
		c.Hijack(func(conn net.Conn) { _ = conn.Close() })
	}
}

// startNode starts a node with settings like those of a small deployment.
func (d *deployment) startNode(name string) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	store := &fasthttp.Server{Handler: d.serveStore(name), NoDefaultServerHeader: true}
	go func() { _ = store.Serve(listener) }()
	n := &node{name: name, settings: filepath.Join(d.dir, name+".json"), exited: make(chan struct{})}
	if n.front, err = site.FreeAddress(); err != nil {
		return err
	}
	if n.ready, err = site.FreeAddress(); err != nil {
		return err
	}
	ports, err := site.FreePorts(site.NodePorts)
	if err != nil {
		return err
	}
	var settings map[string]any
	if err := json.Unmarshal(d.site.NodeSettings(name, "a", n.front, n.ready, ports), &settings); err != nil {
		return err
	}
	settings["platform"] = map[string]any{"address": listener.Addr().String(), "form": "kv", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1 << 20, "min-ttl-ms": 1000}
	settings["limits"] = map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": 284, "max-fds": 4100}
	settings["bounds"] = map[string]any{
		"config-apply-ms": 2000, "revoke-ms": 5000, "grace-s": 6, "max-hold-ms": 6000, "status_s": 120, "lease-ms": 3000,
		"cancel_ms": 3000, "visible_ms": 3000, "ack-ms": 4000, "stable-ms": 3000, "finish_s": 14,
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.settings, data, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(d.dir, name+".log"))
	if err != nil {
		return err
	}
	n.command = exec.Command(d.binary, "node")
	n.command.Env = append(os.Environ(), "CROCUSJUNCTION_CONFIG="+n.settings)
	n.command.Stdout, n.command.Stderr = log, log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		return err
	}
	go func() {
		_ = n.command.Wait()
		close(n.exited)
	}()
	d.nodes = append(d.nodes, n)
	return nil
}

// stop kills the nodes and removes the temporary folder.
func (d *deployment) stop() {
	for _, n := range d.nodes {
		_ = n.command.Process.Kill()
		<-n.exited
	}
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		for _, n := range d.nodes {
			data, _ := os.ReadFile(filepath.Join(d.dir, n.name+".log"))
			_ = os.WriteFile(filepath.Join(keep, n.name+".log"), data, 0o600)
		}
	}
	_ = os.RemoveAll(d.dir)
}

// call sends a caller's request and records its answer. Status 0 means none.
func (d *deployment) call(n *node, method, id string, body any) (int, string) {
	data, _ := json.Marshal(body)
	if body == nil {
		data = nil
	}
	r, err := http.NewRequest(method, "http://"+n.front+prefix+id, bytes.NewReader(data))
	if err != nil {
		return 0, ""
	}
	r.Host = host
	r.Header.Set("Key", apiKey)
	r.Header.Set("Request-Deadline", "3000")
	sent := time.Now()
	response, err := d.client.Do(r)
	if err != nil {
		d.note("%s %s at %s, sent %.3f s: no answer", method, id, n.name, d.since(sent))
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	d.note("%s %s at %s, sent %.3f s: %d %s", method, id, n.name, d.since(sent), response.StatusCode, text)
	return response.StatusCode, string(text)
}

// runsOf returns the runs of a job on all workers, in the order of their starts.
func (d *deployment) runsOf(id string) []site.RunRecord {
	var runs []site.RunRecord
	for _, r := range d.site.Runs() {
		if strings.HasPrefix(r.Task, id+".") {
			runs = append(runs, r)
		}
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].Start.Before(runs[j].Start) })
	return runs
}

// noteRuns records all runs of the given jobs.
func (d *deployment) noteRuns(ids ...string) {
	for _, id := range ids {
		runs := d.runsOf(id)
		if len(runs) == 0 {
			d.note("runs of %s: none", id)
		}
		for _, r := range runs {
			end := "still running"
			if !r.End.IsZero() {
				end = fmt.Sprintf("%s at %.3f s", r.EndState, d.since(r.End))
			}
			d.note("run %s %d on %s: started %.3f s, %s", r.Task, r.Run, r.Worker, d.since(r.Start), end)
		}
	}
}

// finish writes the record and returns the exit status: 1 if the rule was broken.
func (d *deployment) finish(path string, broken []string) int {
	for _, b := range broken {
		d.note("RULE BROKEN: %s", b)
	}
	if len(broken) == 0 {
		d.note("the rule held")
	}
	d.stop()
	if err := os.WriteFile(path, []byte(d.record.String()), 0o600); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if len(broken) > 0 {
		return 1
	}
	return 0
}
