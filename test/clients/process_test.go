// Package clients runs the programs that clients reach under crowds of clients, and
// checks that each process stays alive, within its memory and its file descriptors, and
// that it answers an ordinary request.
package clients

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/peer"
	"github.com/crocusjunction/crocusjunction/internal/standin/site"
)

// waitTimeout is the timeout of every wait, far above the expected times.
const waitTimeout = 20 * time.Second

var (
	// binary is the path of the program, which TestMain builds once.
	binary string
	// certificates is the directory with the certificates of the entry instances.
	certificates string
)

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "clients")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	certificates = filepath.Join(dir, "certificates")
	if err := peer.WriteTestCertificates(certificates, entryNames, time.Now(), time.Hour); err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "crocusjunction")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/crocusjunction").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is one process of the program. Its output goes to a file.
type process struct {
	t       *testing.T
	command *exec.Cmd
	log     string
	exited  chan struct{}
	// peakDescriptors is the highest number of open descriptors that was seen.
	peakDescriptors atomic.Int64
}

// startProcess starts the program and kills it when the test ends. Variable is an
// environment variable of the form NAME=VALUE.
func startProcess(t *testing.T, variable string, arguments ...string) *process {
	t.Helper()
	p := &process{t: t, exited: make(chan struct{}), log: filepath.Join(t.TempDir(), "log")}
	log, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	p.command = exec.Command(binary, arguments...)
	p.command.Env = append(os.Environ(), variable)
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.command.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		p.kill()
		_ = log.Close()
		if t.Failed() {
			t.Logf("%v, end of the log:\n%s", arguments, tail(p.readLog(), 20))
		}
	})
	return p
}

// kill ends the process with SIGKILL and waits for its exit.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := site.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// writeFile writes a file into a new directory and returns its path.
func writeFile(t *testing.T, name string, data []byte) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func tail(text string, lines int) string {
	all := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

func (p *process) readLog() string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		p.t.Fatal(err)
	}
	return string(data)
}

// waitFor waits until the condition holds and fails the test after waitTimeout.
func (p *process) waitFor(description string, condition func() bool) {
	p.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			p.t.Fatalf("timed out after %v waiting until %s", waitTimeout, description)
		}
	}
}

// procFile returns the path of a file of the process in /proc.
func (p *process) procFile(name string) string {
	return filepath.Join("/proc", strconv.Itoa(p.command.Process.Pid), name)
}

// watchDescriptors samples the number of open descriptors until ctx is done.
func (p *process) watchDescriptors(ctx context.Context) {
	for ctx.Err() == nil {
		entries, err := os.ReadDir(p.procFile("fd"))
		if err == nil && int64(len(entries)) > p.peakDescriptors.Load() {
			p.peakDescriptors.Store(int64(len(entries)))
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// peakMemoryKB returns the peak resident memory of the process.
func (p *process) peakMemoryKB() int {
	data, err := os.ReadFile(p.procFile("status"))
	if err != nil {
		p.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(data), "VmHWM:")
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	if err != nil {
		p.t.Fatal(err)
	}
	return kb
}

// checkBounds checks that the process is alive and has stayed within its limits.
func (p *process) checkBounds() {
	p.t.Helper()
	select {
	case <-p.exited:
		p.t.Fatalf("the process has ended: %v", p.command.ProcessState)
	default:
	}
	kb, descriptors := p.peakMemoryKB(), p.peakDescriptors.Load()
	p.t.Logf("peak resident memory %.1f MB, peak descriptors %d", float64(kb)/1024, descriptors)
	if kb > memoryMB*1024 {
		p.t.Errorf("peak resident memory %d KB exceeds the machine's %d KB", kb, memoryMB*1024)
	}
	if descriptors > maxDescriptors {
		p.t.Errorf("%d open descriptors exceed the limit of %d", descriptors, maxDescriptors)
	}
}

// send sends a request whose connection can be used again, and returns the HTTP status.
func send(client *http.Client, request *http.Request) (int, error) {
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

// newRequest returns a request with a body and a header of pairs of name and value.
func newRequest(method, url string, body []byte, header ...string) *http.Request {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	return request
}
