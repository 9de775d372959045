// Package rig2 plays the scripts of the second review: it starts nodes as
// separate processes against small stand-ins of the users' platform on loopback
// addresses, and records what was sent, answered and run.
package rig2

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/standin/site"
	"github.com/valyala/fasthttp"
)

const (
	host, prefix, apiKey = "review.example", "/review/", "key-of-the-team"
	service, team        = "service", "team"
	workerCPU            = 32_000
)

// deployment is a running deployment with its stand-ins.
type deployment struct {
	store   *site.Store
	dir     string
	binary  string
	trouble bool
	// teamCap is the tenant's cap in milli-cores.
	teamCap int64
	started time.Time
	client  *http.Client
	nodes   []*node
	workers []*worker

	mu     sync.Mutex
	record strings.Builder
	runs   []*run
	// judge decides about a call of a node to the store, nil to answer all. Seen is called
	// after the answer to a write. Both are called with mu held.
	judge func(node string, keys []string) verdict
	seen  func(node string, keys []string, status int)
}

// verdict is what the store does with one call.
type verdict int

const (
	answer verdict = iota
	// loseAnswer carries the call out and does not answer it.
	loseAnswer
	// turnAway neither carries the call out nor answers it.
	turnAway
)

// silence is how long a connection stays open after a call that is not answered. The
// nodes give up long before.
const silence = 20 * time.Second

// serveStore passes a node's calls to the store as judge decides.
func (d *deployment) serveStore(name string) fasthttp.RequestHandler {
	return func(c *fasthttp.RequestCtx) {
		var keys []string
		if string(c.Path()) == "/kv-txn" {
			var body struct {
				Puts []struct {
					Key string `json:"key"`
				} `json:"puts"`
			}
			_ = json.Unmarshal(c.PostBody(), &body)
			for _, p := range body.Puts {
				keys = append(keys, p.Key)
			}
		}
		v := answer
		d.mu.Lock()
		if d.judge != nil {
			v = d.judge(name, keys)
		}
		d.mu.Unlock()
		if v != turnAway {
			d.store.Serve(c)
		}
		if v == answer {
			d.mu.Lock()
			if d.seen != nil && keys != nil {
				d.seen(name, keys, c.Response.StatusCode())
			}
			d.mu.Unlock()
			return
		}
		time.Sleep(silence)
		c.HijackSetNoResponse(true)
		c.Hijack(func(conn net.Conn) { _ = conn.Close() })
	}
}

// leader returns the name of the node that holds the scheduler's lease.
func (d *deployment) leader() string {
	item, ok := d.store.Get("cj/leader")
	if !ok {
		return ""
	}
	var value struct {
		Holder string `json:"holder"`
	}
	_ = json.Unmarshal(item.Value, &value)
	return value.Holder
}

// restart stops a node with SIGTERM and starts it again when it has exited.
func (d *deployment) restart(name string) error {
	for _, n := range d.nodes {
		if n.name != name {
			continue
		}
		d.note("TROUBLE: %s gets SIGTERM", name)
		_ = n.command.Process.Signal(syscall.SIGTERM)
		<-n.exited
		d.note("TROUBLE: %s starts again", name)
		return d.run(n)
	}
	return errNotRun
}

// node is one node process.
type node struct {
	name, front, ready, settings string
	command                      *exec.Cmd
	exited                       chan struct{}
}

// newDeployment starts the stand-ins and the nodes, and waits until all nodes are ready.
func newDeployment(nodes, workers int, teamCap int64) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		store: site.NewStore(), dir: dir, binary: os.Getenv("REVIEW_NODE"), trouble: os.Getenv("TROUBLE") != "0",
		teamCap: teamCap, started: time.Now(), client: &http.Client{Timeout: 4 * time.Second},
	}
	d.note("trouble %v", d.trouble)
	d.store.SetFault(site.StoreNoFault, 4*time.Millisecond)
	machines, err := serve(d.serveMachines)
	if err != nil {
		return d, err
	}
	d.configure()
	zones := []string{"a", "b", "c"}
	for i := range workers {
		w := &worker{
			d: d, id: fmt.Sprintf("w-%d", i+1), service: service, zone: zones[i%len(zones)], rack: fmt.Sprintf("r-%d", i/4),
			machine: fmt.Sprintf("m-%d", i+1), capacity: workerCPU, address: "127.0.0.1:0",
		}
		if err := w.start(); err != nil {
			return d, err
		}
		d.workers = append(d.workers, w)
	}
	for i := range nodes {
		name := fmt.Sprintf("edge-%d", i+1)
		storeAddress, err := serve(d.serveStore(name))
		if err != nil {
			return d, err
		}
		if err := d.startNode(name, zones[i%len(zones)], storeAddress, machines); err != nil {
			return d, err
		}
	}
	if !d.await(20*time.Second, func() bool {
		for _, n := range d.nodes {
			if !site.Ready(n.ready) {
				return false
			}
		}
		_, ok := d.store.Get("cj/leader")
		return ok
	}) {
		return d, fmt.Errorf("the nodes did not become ready")
	}
	time.Sleep(3 * time.Second)
	return d, nil
}

func serve(handler fasthttp.RequestHandler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// configure writes the only version of the configuration.
func (d *deployment) configure() {
	d.store.Put("op/config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "queue", "host": host, "prefix": prefix, "kind": "non_idempotent", "timeout-ms": 3000, "target-duration-ms": 600,
			"priority": 1, "service": service, "attempts": 3, "stretch": 1.6,
		}},
		"services": []any{map[string]any{"name": service, "admission-check": true}},
		"tenants":  []any{map[string]any{"name": team, "api-keys": []string{apiKey}, "weight": 10, "cap": map[string]int64{"cpu": d.teamCap}}},
		"limits":   map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
}

// serveMachines answers the list of machines. No script lets a machine be ordered.
func (d *deployment) serveMachines(c *fasthttp.RequestCtx) {
	if string(c.Path()) != "/machines" {
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	rows := []any{}
	for _, w := range d.workers {
		w.mu.Lock()
		row := map[string]any{
			"machine": w.machine, "pool": w.service, "state": "up", "zone": w.zone, "labels": []string{"a", w.rack},
			"capacity": map[string]int64{"cpu": w.capacity, "mem-mb": 65536, "gpu": 0}, "id": w.id,
		}
		if !w.up {
			row["state"], row["id"] = "down", ""
		}
		w.mu.Unlock()
		rows = append(rows, row)
	}
	body, _ := json.Marshal(map[string]any{"machines": rows, "next-token": ""})
	c.SetContentType("application/json")
	c.SetBody(body)
}

// startNode starts a node with settings like those of a small deployment.
func (d *deployment) startNode(name, zone, store, machines string) error {
	n := &node{name: name, settings: filepath.Join(d.dir, name+".json")}
	var err error
	if n.front, err = site.FreeAddress(); err != nil {
		return err
	}
	if n.ready, err = site.FreeAddress(); err != nil {
		return err
	}
	port, err := site.FreePorts(site.NodePorts)
	if err != nil {
		return err
	}
	settings, err := json.Marshal(map[string]any{
		"node-id": name, "role": "node", "machine-class": "edge", "serves": []string{"edge", "control_plane"}, "ip": "127.0.0.1", "zone": zone, "region": "r",
		"zones":        map[string]string{"a": "r", "b": "r", "c": "r"},
		"listen-addrs": map[string]string{"front": n.front, "readiness": n.ready},
		"port-range":   []int{port, port + site.NodePorts - 1}, "orders": "call", "heartbeat-ms": heartbeat.Milliseconds(),
		"limits":    map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": 284, "max-fds": 4100},
		"platform":  map[string]any{"address": store, "form": "kv", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1 << 20, "min-ttl-ms": 1000},
		"cloud-api": map[string]any{"address": machines, "rate-per-s": 64.0, "duties": []string{}, "duty-per-s": 64.0},
		"bounds": map[string]any{
			"stable-ms": 3000, "ack-ms": 4000, "drain-ms": 2000, "grace-s": 6, "config-apply-ms": 2000, "revoke-ms": 5000, "max-hold-ms": maxHold.Milliseconds(),
			"stop-timeout-ms": 400, "cancel_ms": 3000, "visible_ms": 3000, "finish_s": 14, "status_s": 120, "lease-ms": 3000, "fencing-enforced": false,
		},
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.settings, settings, 0o600); err != nil {
		return err
	}
	d.nodes = append(d.nodes, n)
	return d.run(n)
}

// run starts the process of a node.
func (d *deployment) run(n *node) error {
	log, err := os.OpenFile(filepath.Join(d.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.command = exec.Command(d.binary, "node")
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "CROCUSJUNCTION_CONFIG=" + n.settings}
	n.command.Stdout, n.command.Stderr = log, log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		return err
	}
	exited, command := make(chan struct{}), n.command
	n.exited = exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// stop ends the nodes and removes the temporary folder.
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

// note adds a line to the record.
func (d *deployment) note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noteLocked(format, args...)
}

func (d *deployment) noteLocked(format string, args ...any) {
	fmt.Fprintf(&d.record, "%8.3f s  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

// addRun records a run that has ended.
func (d *deployment) addRun(r *run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs = append(d.runs, r)
}

// await waits until condition holds, and reports whether it did within limit.
func (d *deployment) await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// payload is the text of a job whose tasks need a number of milli-cores and run for a
// time for each step, 0 until they are stopped.
func payload(cpu int64, durations ...time.Duration) string {
	text := strconv.FormatInt(cpu, 10)
	for _, d := range durations {
		text += " " + strconv.FormatInt(d.Milliseconds(), 10)
	}
	return text
}

// taskOf parses the payload of a task. Its name ends with the numbers of its step and its
// index.
func taskOf(text, name string) task {
	fields, parts := strings.Fields(text), strings.Split(name, ".")
	number := func(list []string, i int) int64 {
		if i >= len(list) {
			return 0
		}
		n, _ := strconv.ParseInt(list[i], 10, 64)
		return n
	}
	step := int(number(parts, 2))
	return task{time.Duration(number(fields, 1+step)) * time.Millisecond, number(fields, 0)}
}

// call sends a client's request and records its answer. Status 0 means none.
func (d *deployment) call(n *node, method, id string, body any) (int, string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	r, err := http.NewRequest(method, "http://"+n.front+prefix+id, bytes.NewReader(data))
	if err != nil {
		return 0, ""
	}
	r.Host = host
	r.Header.Set("Key", apiKey)
	r.Header.Set("Request-Deadline", "3000")
	r.Header.Set("Content-Type", "application/json")
	response, err := d.client.Do(r)
	if err != nil {
		d.note("client: %s %s at %s: no answer", method, id, n.name)
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	d.note("client: %s %s at %s: %d %s", method, id, n.name, response.StatusCode, text)
	return response.StatusCode, string(text)
}

// submit submits a job of one step.
func (d *deployment) submit(id string, count int, cpu int64, duration time.Duration, more map[string]any) bool {
	step := map[string]any{"count": count, "cpu": cpu, "mem-mb": 64}
	if duration > 0 {
		step["est-runtime-ms"] = duration.Milliseconds()
	}
	for k, v := range more {
		step[k] = v
	}
	return d.post(id, map[string]any{"spec": payload(cpu, duration), "steps": []any{step}})
}

// post submits a job, and retries like a client.
func (d *deployment) post(id string, body map[string]any) bool {
	for i := range 5 {
		if status, _ := d.call(d.nodes[i%len(d.nodes)], "POST", id, body); status == 200 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// where returns the worker that runs a task and since when, nil if none does.
func (d *deployment) where(name string) (*worker, time.Time) {
	for _, w := range d.workers {
		if since, ok := w.runsOn()[name]; ok {
			return w, since
		}
	}
	return nil, time.Time{}
}

// inUse returns the milli-cores in use on all workers that are up.
func (d *deployment) inUse() int64 {
	var sum int64
	for _, w := range d.workers {
		w.mu.Lock()
		sum += w.inUse()
		w.mu.Unlock()
	}
	return sum
}

// finish writes the record and returns the exit status.
func (d *deployment) finish(path, broken string) int {
	if broken != "" {
		d.note("RULE BROKEN: %s", broken)
	} else {
		d.note("the rule held")
	}
	d.stop()
	d.mu.Lock()
	text := d.record.String()
	d.mu.Unlock()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if broken != "" {
		fmt.Println(broken)
		return 1
	}
	return 0
}
