// Package clients attacks one node process with clients that exceed its limits, and
// checks that the process stays alive, within its memory and its file descriptors,
// and that it answers an ordinary request afterwards.
package clients

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
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/standin/site"
	"github.com/crocusjunction/crocusjunction/platform"
)

const (
	// memoryMB and maxDescriptors are the limits in the node's settings, and the bounds
	// that the tests check. They were fixed against b6a618f, which exceeds one of them
	// in most cases.
	memoryMB       = 96
	maxDescriptors = 384
	// clientCount is the number of connections of each attack.
	clientCount = 400
	// maxBodyBytes is the limit in the configuration that the stand-in writes.
	maxBodyBytes = 262144
	// waitTimeout is the timeout of every wait, far above the expected times.
	waitTimeout = 20 * time.Second

	host, prefix, key = "quick.example", "/quick/", "key-1"
)

// binary is the path of the program, which TestMain builds once.
var binary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "clients")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "crocusjunction")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/crocusjunction").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// nodeProcess is one node that runs as a process and is the scheduler.
type nodeProcess struct {
	t       *testing.T
	site    *site.Site
	command *exec.Cmd
	log     string
	exited  chan struct{}
	// front, ready and metrics are the addresses of its servers.
	front, ready, metrics string
	// peakDescriptors is the highest number of open descriptors that was seen.
	peakDescriptors atomic.Int64
}

// startNode starts a stand-in site and a node, and waits until the node is ready and
// schedules.
func startNode(t *testing.T) *nodeProcess {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s, err := site.Start(ctx, site.Options{
		Queues:  []site.Queue{{Name: "quick", Host: host, Prefix: prefix, Service: "quick", Attempts: 3}},
		Teams:   []site.Team{{Name: "depots", Keys: []string{key}, CPU: 20000}},
		Workers: map[string]int{"quick": 3, "spare": 1}, SparePool: "spare",
		Zones: []string{"north"}, CPU: 8000, MemoryMB: 16000,
		RunBehavior: func(string, string, int) (time.Duration, site.Outcome) { return 5 * time.Millisecond, site.Done },
	})
	if err != nil {
		t.Fatal(err)
	}
	n := &nodeProcess{t: t, site: s, exited: make(chan struct{}), front: freeAddress(t), ready: freeAddress(t)}
	port, err := site.FreePorts(site.NodePorts)
	if err != nil {
		t.Fatal(err)
	}
	n.metrics = net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
	dir := t.TempDir()
	settings := filepath.Join(dir, "settings.json")
	n.log = filepath.Join(dir, "log")
	if err := os.WriteFile(settings, withLimits(t, s.NodeSettings("edge-1", "north", n.front, n.ready, port)), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(n.log)
	if err != nil {
		t.Fatal(err)
	}
	n.command = exec.Command(binary, "node")
	n.command.Env = append(os.Environ(), platform.SettingsVariable+"="+settings)
	n.command.Stdout, n.command.Stderr = log, log
	if err := n.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = n.command.Wait()
		close(n.exited)
	}()
	t.Cleanup(func() {
		_ = n.command.Process.Kill()
		<-n.exited
		_ = log.Close()
		if t.Failed() {
			t.Logf("end of the node's log:\n%s", tail(n.readLog(), 20))
		}
	})
	n.waitFor("the node is ready", func() bool { return site.Ready(n.ready) })
	n.waitFor("the node schedules", func() bool { return strings.Contains(n.readLog(), "scheduling begins") })
	return n
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := site.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
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

func tail(text string, lines int) string {
	all := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

func (n *nodeProcess) readLog() string {
	data, err := os.ReadFile(n.log)
	if err != nil {
		n.t.Fatal(err)
	}
	return string(data)
}

// waitFor waits until the condition holds and fails the test after waitTimeout.
func (n *nodeProcess) waitFor(description string, condition func() bool) {
	n.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			n.t.Fatalf("timed out after %v waiting until %s", waitTimeout, description)
		}
	}
}

// procFile returns the path of a file of the node in /proc.
func (n *nodeProcess) procFile(name string) string {
	return filepath.Join("/proc", strconv.Itoa(n.command.Process.Pid), name)
}

// watchDescriptors samples the number of open descriptors until ctx is done.
func (n *nodeProcess) watchDescriptors(ctx context.Context) {
	for ctx.Err() == nil {
		entries, err := os.ReadDir(n.procFile("fd"))
		if err == nil && int64(len(entries)) > n.peakDescriptors.Load() {
			n.peakDescriptors.Store(int64(len(entries)))
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// peakMemoryKB returns the peak resident memory of the node.
func (n *nodeProcess) peakMemoryKB() int {
	data, err := os.ReadFile(n.procFile("status"))
	if err != nil {
		n.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(data), "VmHWM:")
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	if err != nil {
		n.t.Fatal(err)
	}
	return kb
}

// checkBounds checks that the node is alive and has stayed within its limits, and that
// it accepts an ordinary job.
func (n *nodeProcess) checkBounds() {
	n.t.Helper()
	select {
	case <-n.exited:
		n.t.Fatalf("the process has ended: %v", n.command.ProcessState)
	default:
	}
	kb, descriptors := n.peakMemoryKB(), n.peakDescriptors.Load()
	n.t.Logf("peak resident memory %.1f MB, peak descriptors %d", float64(kb)/1024, descriptors)
	if kb > memoryMB*1024 {
		n.t.Errorf("peak resident memory %d KB exceeds the machine's %d KB", kb, memoryMB*1024)
	}
	if descriptors > maxDescriptors {
		n.t.Errorf("%d open descriptors exceed the limit of %d", descriptors, maxDescriptors)
	}
	client := &http.Client{Timeout: 4 * time.Second}
	defer client.CloseIdleConnections()
	attempt := 0
	n.waitFor("an ordinary job is accepted", func() bool {
		attempt++
		status, _ := submit(client, n.front, fmt.Sprintf("%016x", 1<<32+attempt), ordinaryJob)
		return status == http.StatusOK
	})
	n.waitFor("the node is ready again", func() bool { return site.Ready(n.ready) })
}

const ordinaryJob = `{"spec":"x","steps":[{"count":1,"cpu":100,"mem-mb":10,"est-runtime-ms":5}]}`

// submit sends a job with a body of the given content and returns the HTTP status.
func submit(client *http.Client, address, id, body string) (int, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+prefix+id, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err
	}
	request.Host = host
	request.Header.Set(platform.KeyHeader, key)
	request.Header.Set(platform.DeadlineHeader, "3000")
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	// The connection is used again only if the answer was read to its end.
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return response.StatusCode, err
	}
	return response.StatusCode, response.Body.Close()
}
