// Package e2e tests the system as separate processes on the loopback interface.
// This file has the helpers that build the program, start processes and send
// HTTP requests.
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

const (
	// waitTimeout bounds every wait of eventually.
	waitTimeout = 20 * time.Second
	// pollInterval is the interval at which eventually checks its condition.
	pollInterval = 20 * time.Millisecond
	// callTimeout bounds one HTTP call. It is longer than every deadline that the
	// tests give to a request.
	callTimeout = 15 * time.Second
)

// binaryPath is the program under test, built once for all tests.
var binaryPath string

// TestMain builds the program under test and writes the certificates.
func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

// runTests does the work of TestMain and returns the exit code, so that its
// deferred calls run before the process exits.
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

// testBinary returns the path of the program that TestMain has built.
func testBinary(t *testing.T) string {
	t.Helper()
	return binaryPath
}

// freeAddress returns a loopback address whose port was free for both TCP and
// UDP when it was checked. Entry instances serve HTTP on TCP and peers on UDP.
// The port is not reserved.
func freeAddress(t *testing.T) string {
	t.Helper()
	const attempts = 20
	for range attempts {
		if address, ok := freeTCPAndUDPAddress(t); ok {
			return address
		}
	}
	t.Fatal("no port is free for both TCP and UDP")
	return ""
}

// freeTCPAndUDPAddress returns an address that is free for TCP, and false if it
// is not free for UDP too.
func freeTCPAndUDPAddress(t *testing.T) (string, bool) {
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

// process is a child process; its output goes to log.
type process struct {
	t   *testing.T
	cmd *exec.Cmd
	log *os.File
}

// start starts a process and kills it when the test ends.
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

// cleanup kills the process if it still runs and prints its output if the test
// failed. SIGCONT comes first because the test may have stopped the process.
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

// kill ends the process with SIGKILL and waits for its exit.
func (p *process) kill() {
	p.t.Helper()
	if err := p.cmd.Process.Kill(); err != nil {
		p.t.Fatal(err)
	}
	_ = p.cmd.Wait()
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// freeze stops the process with SIGSTOP and waits until every thread has
// stopped, because the signal may take effect after the system call returns.
func (p *process) freeze() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	eventually(p.t, "every thread of the process is stopped", p.frozen)
}

// frozen reports whether /proc shows every thread in state T (stopped).
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
	eventually(t, "a listener accepts connections on "+address, func() bool {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			return false
		}
		_ = conn.Close()
		return true
	})
}

// eventually waits until the condition holds and fails the test after
// waitTimeout.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", description)
		}
		time.Sleep(pollInterval)
	}
}

// reply is the response to an HTTP request; outcome is its Crocus-Outcome
// header.
type reply struct {
	status  int
	outcome string
	body    []byte
}

// post sends a POST request. The headers are pairs of name and value.
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

// postJSON posts value as JSON and fails the test on a transport error.
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

// writeSettings writes value as a settings file and returns the file's path.
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

// url returns the URL of a path, given as a format, at an address.
func url(address, format string, args ...any) string {
	return "http://" + address + fmt.Sprintf(format, args...)
}
