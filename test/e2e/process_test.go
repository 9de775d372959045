// Package e2e runs the system as separate processes on loopback. The helpers in
// this file start processes; the tests use them.
package e2e

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/crocusjunction/crocusjunction/internal/peer"
	"github.com/crocusjunction/crocusjunction/internal/standin/site"
)

// Timeouts of the test processes.
const (
	startTimeout = 20 * time.Second
	waitPause    = 20 * time.Millisecond
	callTimeout  = 15 * time.Second
)

// binaryPath is the program under test, built once for all tests.
var binaryPath string

// TestMain builds the program and writes the certificates before the tests run.
func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crocusjunction-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, "e2e:", err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	certificateDir = filepath.Join(dir, "certificates")
	if err := peer.WriteTestCertificates(certificateDir, testMembers, time.Now(), time.Hour); err != nil {
		fmt.Fprintln(os.Stderr, "e2e: certificates:", err)
		return 1
	}
	binaryPath = filepath.Join(dir, "crocusjunction")
	out, err := exec.Command("go", "build", "-o", binaryPath, "../../cmd/crocusjunction").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "e2e: build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// build returns the path of the program under test.
func build(t *testing.T) string {
	t.Helper()
	return binaryPath
}

// freeAddress returns a loopback address whose port was free for TCP and UDP a
// moment ago. Entry instances listen on UDP for their peers.
func freeAddress(t *testing.T) string {
	t.Helper()
	const attempts = 20
	for range attempts {
		if address, ok := tryAddress(t); ok {
			return address
		}
	}
	t.Fatal("no port is free for both TCP and UDP")
	return ""
}

func tryAddress(t *testing.T) (string, bool) {
	t.Helper()
	address, err := site.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	packets, err := net.ListenPacket("udp", address)
	if err != nil {
		return "", false
	}
	_ = packets.Close()
	return address, true
}

// process is one running program.
type process struct {
	t   *testing.T
	cmd *exec.Cmd
	log *os.File
}

// start runs the program until the test ends.
func start(t *testing.T, binary string, args ...string) *process {
	t.Helper()
	log, err := os.CreateTemp(t.TempDir(), "log")
	if err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, cmd: exec.Command(binary, args...), log: log}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.cleanup)
	return p
}

func (p *process) cleanup() {
	if p.cmd.ProcessState == nil {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	}
	if p.t.Failed() {
		data, _ := os.ReadFile(p.log.Name())
		p.t.Logf("%v:\n%s", p.cmd.Args, data)
	}
}

// kill ends the process without warning.
func (p *process) kill() {
	p.t.Helper()
	if err := p.cmd.Process.Kill(); err != nil {
		p.t.Fatal(err)
	}
	_ = p.cmd.Wait()
}

// signal sends a signal such as SIGSTOP.
func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// freeze stops the process with SIGSTOP and waits until every thread has
// stopped: the signal takes effect after the call returns.
func (p *process) freeze() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	eventually(p.t, "every thread has stopped", p.frozen)
}

// frozen reports whether the state of every thread in /proc is T (stopped).
func (p *process) frozen() bool {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	if err != nil || len(tasks) == 0 {
		return false
	}
	for _, path := range tasks {
		data, err := os.ReadFile(path)
		if err != nil {
			return false
		}
		// The state follows the command name, which ends with a parenthesis.
		_, fields, ok := strings.Cut(string(data), ") ")
		if !ok || !strings.HasPrefix(fields, "T") {
			return false
		}
	}
	return true
}

// waitListening waits until address accepts TCP connections.
func waitListening(t *testing.T, address string) {
	t.Helper()
	eventually(t, "listener on "+address, func() bool {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			return false
		}
		_ = conn.Close()
		return true
	})
}

// eventually waits until condition holds; it fails the test after startTimeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(startTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timeout: %s", what)
		}
		time.Sleep(waitPause)
	}
}

// reply is the answer to one HTTP call.
type reply struct {
	status  int
	outcome string
	body    []byte
}

// post sends a body with headers given as name, value pairs.
func post(t *testing.T, url string, body []byte, headers ...string) (reply, error) {
	t.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(url)
	req.SetBody(body)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	if err := fasthttp.DoTimeout(req, resp, callTimeout); err != nil {
		return reply{}, err
	}
	answer := append([]byte(nil), resp.Body()...)
	return reply{status: resp.StatusCode(), outcome: string(resp.Header.Peek("Crocus-Outcome")), body: answer}, nil
}

// postJSON sends value as JSON and fails the test on a transport error.
func postJSON(t *testing.T, url string, value any) reply {
	t.Helper()
	body, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	r, err := post(t, url, body)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// writeSettings writes a settings file and returns its path.
func writeSettings(t *testing.T, value any) string {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// url joins a host address and a path.
func url(address, format string, args ...any) string {
	return "http://" + address + fmt.Sprintf(format, args...)
}
