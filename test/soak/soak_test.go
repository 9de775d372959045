// Package soak runs nodes as separate processes against the stand-in of the
// users' platform and injects faults from outside: proxies that delay, reset,
// cut one way or silence connections, signals that stop, pause and kill, and
// faults of the store and the workers. It checks what callers and workers see.
package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/standin/site"
	"github.com/crocusjunction/crocusjunction/platform"
)

const (
	host, prefix = "soak.example", "/soak/"
	nodeCount    = 3
	workerCount  = 5
	// settleTime is what the slowest chain of recovery takes after the last fault:
	// two leases of workers, a takeover and the jobs themselves.
	settleTime = 45 * time.Second
	// keyBound is the users' bound for a withdrawn key, with slack for this
	// machine's scheduling.
	keyBound = 5 * time.Second
)

// soak is one run.
type soak struct {
	t      *testing.T
	seed   uint64
	random *rand.Rand
	site   *site.Site
	binary string
	dir    string
	nodes  []*process
	client *http.Client

	mu       sync.Mutex
	accepted map[string]bool
	refused  map[string]bool
	unclear  map[string]bool
	faults   []string
}

// process is one node.
type process struct {
	name, front, ready, settings string
	store                        *proxy
	// cycle is held from the end of one process to the start of the next, so that
	// there is never a second one.
	cycle   sync.Mutex
	mu      sync.Mutex
	command *exec.Cmd
	log     *os.File
	ended   chan struct{}
}

func number(t *testing.T, variable string, otherwise uint64) uint64 {
	text := os.Getenv(variable)
	if text == "" {
		return otherwise
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// failedSeeds are seeds that have failed once. 129: two addresses of the test
// itself were the same; no fault of the nodes.
var failedSeeds = []uint64{129}

// TestSoak guards the promises to callers under faults that overlap.
// CROCUS_SOAK_SEED, CROCUS_SOAK_RUNS and CROCUS_SOAK_SECONDS choose longer runs.
func TestSoak(t *testing.T) {
	first := number(t, "CROCUS_SOAK_SEED", 1)
	seconds := number(t, "CROCUS_SOAK_SECONDS", 8)
	binary := filepath.Join(t.TempDir(), "crocusjunction")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/crocusjunction").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	seeds := append([]uint64(nil), failedSeeds...)
	for i := range number(t, "CROCUS_SOAK_RUNS", 1) {
		seeds = append(seeds, first+i)
	}
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			newSoak(t, seed, binary).run(time.Duration(seconds) * time.Second)
		})
	}
}

func newSoak(t *testing.T, seed uint64, binary string) *soak {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	work := func(payload, _ string, run int) (time.Duration, site.Outcome) {
		if strings.HasPrefix(payload, "flaky") && run%runsPerEpoch == 1 {
			return 50 * time.Millisecond, site.Failed
		}
		return time.Duration(50+len(payload)*7%400) * time.Millisecond, site.Done
	}
	s, err := site.Start(ctx, site.Options{
		Queues:  []site.Queue{{Name: "q", Host: host, Prefix: prefix, Service: "s", Attempts: 4}},
		Teams:   []site.Team{{Name: "team", Keys: []string{"good", "leaving"}, CPU: 30000}},
		Workers: map[string]int{"s": workerCount, "spare": 2}, SparePool: "spare",
		Zones: []string{"north", "south"}, CPU: 8000, MemoryMB: 16000, Work: work,
	})
	if err != nil {
		t.Fatal(err)
	}
	return &soak{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 7)), site: s, binary: binary, dir: t.TempDir(),
		client:   &http.Client{Timeout: 4 * time.Second},
		accepted: make(map[string]bool), refused: make(map[string]bool), unclear: make(map[string]bool),
	}
}

// runsPerEpoch separates the run numbers of two schedulers.
const runsPerEpoch = 1000

func (s *soak) run(length time.Duration) {
	for i := range nodeCount {
		s.nodes = append(s.nodes, s.newProcess(fmt.Sprintf("edge-%d", i+1)))
	}
	s.t.Cleanup(func() {
		for _, p := range s.nodes {
			p.cycle.Lock()
			p.end(syscall.SIGKILL)
			p.store.close()
			if s.t.Failed() {
				data, _ := os.ReadFile(p.log.Name())
				s.t.Logf("log of %s (tail):\n%s", p.name, data[max(0, len(data)-6000):])
			}
		}
		if s.t.Failed() {
			s.t.Logf("seed %d, faults:\n%s", s.seed, strings.Join(s.faults, "\n"))
		}
	})
	s.await("a node is ready", settleTime, func() bool { return s.readyNodes() > 0 })
	done := make(chan struct{})
	var callers sync.WaitGroup
	for i := range 3 {
		callers.Go(func() { s.call(i, done) })
	}
	end := time.Now().Add(length)
	withdrawn := time.Time{}
	for time.Now().Before(end) {
		s.fault()
		time.Sleep(time.Duration(200+s.random.IntN(1200)) * time.Millisecond)
		if withdrawn.IsZero() && time.Until(end) < length/2 {
			s.site.Configure([]site.Queue{{Name: "q", Host: host, Prefix: prefix, Service: "s", Attempts: 4}},
				[]site.Team{{Name: "team", Keys: []string{"good"}, CPU: 30000}})
			withdrawn = time.Now()
		}
	}
	close(done)
	callers.Wait()
	s.heal()
	time.Sleep(time.Until(withdrawn.Add(keyBound)))
	s.checkWithdrawn()
	s.checkJobs()
	s.checkRuns()
}

func (s *soak) newProcess(name string) *process {
	store, err := newProxy(s.site.StoreAddress())
	if err != nil {
		s.t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(s.dir, name+".log"))
	if err != nil {
		s.t.Fatal(err)
	}
	p := &process{name: name, front: s.freeAddress(), ready: s.freeAddress(), store: store, log: log, settings: filepath.Join(s.dir, name+".json")}
	port, err := site.FreePorts(site.NodePorts)
	if err != nil {
		s.t.Fatal(err)
	}
	data := bytes.ReplaceAll(s.site.Settings(name, "north", p.front, p.ready, port), []byte(s.site.StoreAddress()), []byte(store.address()))
	if err := os.WriteFile(p.settings, data, 0o600); err != nil {
		s.t.Fatal(err)
	}
	p.start(s)
	return p
}

func (s *soak) freeAddress() string {
	address, err := site.FreeAddress()
	if err != nil {
		s.t.Fatal(err)
	}
	return address
}

func (p *process) start(s *soak) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command = exec.Command(s.binary, "node")
	p.command.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settings)
	p.command.Stdout, p.command.Stderr = p.log, p.log
	if err := p.command.Start(); err != nil {
		s.t.Errorf("start %s: %v", p.name, err)
		return
	}
	ended := make(chan struct{})
	p.ended = ended
	go func(c *exec.Cmd) {
		_ = c.Wait()
		close(ended)
	}(p.command)
}

// end sends a signal to the process that was started last and waits for it.
func (p *process) end(signal syscall.Signal) {
	p.mu.Lock()
	command, ended := p.command, p.ended
	p.mu.Unlock()
	_ = command.Process.Signal(signal)
	select {
	case <-ended:
	case <-time.After(8 * time.Second):
		_ = command.Process.Kill()
		<-ended
	}
}

// restart ends the process and starts the next one after a pause, unless that is
// under way already.
func (p *process) restart(s *soak, signal syscall.Signal, pause time.Duration) {
	if !p.cycle.TryLock() {
		return
	}
	defer p.cycle.Unlock()
	p.end(signal)
	time.Sleep(pause)
	p.start(s)
}

// awaitRestart waits for a restart that is under way.
func (p *process) awaitRestart() {
	p.cycle.Lock()
	defer p.cycle.Unlock()
}

func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.command.Process.Signal(signal)
}

// fault injects one fault; it ends by itself after a while, so that faults
// overlap.
func (s *soak) fault() {
	p := s.nodes[s.random.IntN(len(s.nodes))]
	lasts := time.Duration(300+s.random.IntN(3500)) * time.Millisecond
	workers := s.site.Workers()
	if len(workers) == 0 {
		return
	}
	w := workers[s.random.IntN(len(workers))]
	later := func(undo func()) { time.AfterFunc(lasts, undo) }
	name := ""
	switch s.random.IntN(12) {
	case 0:
		name = "kill " + p.name
		go p.restart(s, syscall.SIGKILL, lasts/4)
	case 1:
		name = "stop " + p.name
		go p.restart(s, syscall.SIGTERM, 0)
	case 2:
		name = "pause " + p.name
		p.signal(syscall.SIGSTOP)
		later(func() { p.signal(syscall.SIGCONT) })
	case 3:
		name = "silence the store for " + p.name
		p.store.set(silent, 0)
		later(func() { p.store.set(forwards, 0); p.store.reset() })
	case 4:
		name = "cut answers of the store for " + p.name
		p.store.set(oneWay, 0)
		later(func() { p.store.set(forwards, 0); p.store.reset() })
	case 5:
		name = "reset the store's connections of " + p.name
		p.store.reset()
	case 6:
		name = "delay the store for " + p.name
		p.store.set(forwards, 60*time.Millisecond)
		later(func() { p.store.set(forwards, 0) })
	case 7:
		faults := []site.StoreFault{site.StoreBusy, site.StoreMany, site.StoreLossy, site.StoreLate}
		f := faults[s.random.IntN(len(faults))]
		name = fmt.Sprintf("store fault %d", f)
		s.site.Store.Fault(f, 0)
		later(func() { s.site.Store.Fault(site.StoreWell, 0) })
	case 8:
		name = "compact the store"
		s.site.Store.Compact()
	case 9:
		f := site.WorkerFault(1 + s.random.IntN(4))
		name = fmt.Sprintf("worker fault %d of %s", f, w.ID)
		w.Fault(f)
		later(func() { w.Fault(site.WorkerWell) })
	case 10:
		name = "restart worker " + w.ID
		w.Restart()
	case 11:
		name = "reload " + p.name
		p.signal(syscall.SIGHUP)
	}
	s.faults = append(s.faults, fmt.Sprintf("%s %s for %v", time.Now().Format("15:04:05.000"), name, lasts))
}

// heal ends every fault.
func (s *soak) heal() {
	time.Sleep(4 * time.Second)
	s.site.Store.Fault(site.StoreWell, 0)
	for _, w := range s.site.Workers() {
		w.Fault(site.WorkerWell)
	}
	for _, p := range s.nodes {
		p.store.set(forwards, 0)
		p.store.reset()
		p.signal(syscall.SIGCONT)
		p.awaitRestart()
	}
	s.await("every node is ready", settleTime, func() bool { return s.readyNodes() == nodeCount })
}

func (s *soak) readyNodes() int {
	n := 0
	for _, p := range s.nodes {
		if response, err := s.client.Get("http://" + p.ready + "/ready"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				n++
			}
		}
	}
	return n
}

func (s *soak) await(what string, patience time.Duration, holds func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(patience); !holds(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatalf("not seen in %v: %s", patience, what)
		}
	}
}

func (s *soak) request(p *process, method, id, key string, body []byte) (int, string) {
	r, err := http.NewRequest(method, "http://"+p.front+prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	r.Host = host
	r.Header.Set(platform.KeyHeader, key)
	r.Header.Set(platform.DeadlineHeader, "2500")
	response, err := s.client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(data)
}

// call submits jobs, each up to four times at different nodes.
func (s *soak) call(caller int, done <-chan struct{}) {
	random := rand.New(rand.NewPCG(s.seed, uint64(caller)))
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(60+random.IntN(120)) * time.Millisecond):
		}
		id := fmt.Sprintf("%08x%08x", caller+1, n)
		payload := "steady " + id
		if n%5 == 0 {
			payload = "flaky " + id
		}
		body, _ := json.Marshal(map[string]any{"spec": payload, "steps": []map[string]any{
			{"count": 1 + n%3, "cpu": 900, "mem-mb": 50, "est-runtime-ms": 200},
			{"count": 1, "cpu": 500, "mem-mb": 50, "est-runtime-ms": 100, "after": []int{0}},
		}})
		s.submit(id, body, random)
	}
}

func (s *soak) submit(id string, body []byte, random *rand.Rand) {
	onlyRefused := true
	for range 4 {
		status, _ := s.request(s.nodes[random.IntN(len(s.nodes))], "POST", id, "good", body)
		if status == http.StatusOK {
			s.note(s.accepted, id)
			return
		}
		onlyRefused = onlyRefused && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
	}
	if onlyRefused {
		s.note(s.refused, id)
		return
	}
	s.note(s.unclear, id)
}

func (s *soak) note(set map[string]bool, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set[id] = true
}

// checkWithdrawn checks that the key that was withdrawn works at no node.
func (s *soak) checkWithdrawn() {
	body := []byte(`{"spec":"x","steps":[{"count":1,"cpu":100}]}`)
	for i, p := range s.nodes {
		if status, text := s.request(p, "POST", fmt.Sprintf("ffff%012x", i), "leaving", body); status != http.StatusUnauthorized {
			s.t.Errorf("%s answers %d %s to a withdrawn key", p.name, status, text)
		}
	}
}

// checkJobs checks that each accepted job completes and is shown so by every
// node, and that no refused job was stored.
func (s *soak) checkJobs() {
	for id := range s.accepted {
		for _, p := range s.nodes {
			last := ""
			s.await("job "+id+" completed at "+p.name, settleTime, func() bool {
				_, last = s.request(p, "GET", id, "good", nil)
				return strings.Contains(last, "completed")
			})
		}
	}
	for id := range s.refused {
		if _, stored := s.site.Store.Get("cj/j/" + id); stored {
			s.t.Errorf("job %s was refused as not run and is stored", id)
		}
	}
	s.t.Logf("seed %d: %d accepted, %d refused, %d unclear, %d faults", s.seed, len(s.accepted), len(s.refused), len(s.unclear), len(s.faults))
}

// checkRuns checks that no task ran twice at a time, or again after an end that
// counted, and that none ran for a refused job.
func (s *soak) checkRuns() {
	byTask := make(map[string][]site.RunRecord)
	for _, r := range s.site.Runs() {
		byTask[r.Task] = append(byTask[r.Task], r)
		if s.refused[r.Task[:16]] {
			s.t.Errorf("%s ran for a job that was refused", r.Task)
		}
	}
	for task, runs := range byTask {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if overlaps(a, b) || overlaps(b, a) {
					s.t.Errorf("%s ran twice at a time: %+v, %+v", task, a, b)
				}
			}
		}
	}
}

func overlaps(a, b site.RunRecord) bool {
	return !b.Start.Before(a.Start) && (a.End.IsZero() || b.Start.Before(a.End))
}
