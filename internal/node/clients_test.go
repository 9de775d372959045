package node

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/asynclog"
	"github.com/crocusjunction/crocusjunction/internal/clientserver"
	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
	"github.com/crocusjunction/crocusjunction/internal/ingress"
	"github.com/crocusjunction/crocusjunction/internal/link/intake"
	"github.com/crocusjunction/crocusjunction/internal/scheduler"
	"github.com/crocusjunction/crocusjunction/platform"
)

// openControl is a control state with one public queue, openStore a store that takes
// every job.
type (
	openControl struct{ ingress.Control }
	openStore   struct{ ingress.Store }
)

func (openControl) View() ingress.View {
	queues := []policy.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", Public: true, Attempts: 1}}
	return ingress.View{Config: policy.New(1, queues, nil, nil, policy.RequestLimits{}), ConfigAsOf: time.Now()}
}

func (openControl) Job(context.Context, job.ID) (scheduler.JobView, error) {
	return scheduler.JobView{}, nil
}
func (openControl) Pending(context.Context, policy.QueueRef) (int, error) { return 0, nil }

func (openStore) Accept(*job.Job, time.Time) ingress.WriteResult { return ingress.Stored }
func (openStore) Cancel(job.ID, int64, time.Time) ingress.WriteResult {
	return ingress.Stored
}
func (openStore) Read(job.ID, time.Time) (scheduler.JobView, error) {
	return scheduler.JobView{}, nil
}
func (openStore) RetryAfter() time.Duration { return time.Second }

// newCallersServer returns a server for callers and its clients.
func newCallersServer(t testing.TB, contained platform.Contained) (*clientserver.Clients, *http.Server) {
	n := &node{log: asynclog.New(io.Discard, nil), clock: newBootClock()}
	n.loop = newControlLoop(scheduler.NewGuard(scheduler.Options{}, debug.Stack), n.clock, nil)
	n.clients = n.newClients()
	service := ingress.New(openControl{}, openStore{}, time.Now, time.Hour)
	server := n.newCallersServer(platform.CallersHandler(t.Context(), service, n.readBody, func(string, ingress.Answer, time.Duration) {}, contained))
	t.Cleanup(func() { _ = server.Close() })
	return n.clients, server
}

// recordedConn is a connection whose client has sent everything and reads nothing. It
// uses no port: thousands of fuzzed connections a second would use up those of the
// machine.
type recordedConn struct {
	net.Conn
	sent   *bytes.Reader
	closed chan struct{}

	mu       sync.Mutex
	received bytes.Buffer
}

// Read implements net.Conn.
func (c *recordedConn) Read(p []byte) (int, error) { return c.sent.Read(p) }

// Write implements net.Conn.
func (c *recordedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received.Write(p)
}

// Close implements net.Conn.
func (c *recordedConn) Close() error {
	close(c.closed)
	return nil
}

// RemoteAddr implements net.Conn.
func (c *recordedConn) RemoteAddr() net.Addr { return &net.TCPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 1} }

// LocalAddr implements net.Conn.
func (c *recordedConn) LocalAddr() net.Addr { return c.RemoteAddr() }

// SetDeadline, SetReadDeadline and SetWriteDeadline implement net.Conn: nothing blocks.
func (c *recordedConn) SetDeadline(time.Time) error      { return nil }
func (c *recordedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *recordedConn) SetWriteDeadline(time.Time) error { return nil }

// connListener accepts the connections of a channel.
type connListener struct {
	net.Listener
	connections chan net.Conn
}

// Accept implements net.Listener.
func (l connListener) Accept() (net.Conn, error) {
	if c, ok := <-l.connections; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

// Close implements net.Listener.
func (l connListener) Close() error { return nil }

// FuzzCallersConnection guards against bytes of a caller (heads, bodies, encodings) that
// make the handling fail, that are answered by something else than HTTP, or whose memory
// stays reserved after the connection has ended.
func FuzzCallersConnection(f *testing.F) {
	const request = "POST /q/00000000000000aa HTTP/1.1\r\nHost: h\r\n"
	const body = `{"spec":"x","steps":[{"count":1}]}`
	for _, seed := range []string{
		request + "Content-Length: 34\r\n\r\n" + body,
		request + "Content-Length: 34\r\n\r\n" + body + request + "Content-Length: 34\r\n\r\n" + body,
		request + "Transfer-Encoding: chunked\r\n\r\n22\r\n" + body + "\r\n0\r\nX: y\r\n\r\n",
		request + "Transfer-Encoding: chunked\r\n\r\n22;ext=1\r\n" + body + "\r\nfffffffffffffff0\r\n",
		request + "Transfer-Encoding: gzip, chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
		request + "Expect: 100-continue\r\nContent-Length: 10000000000\r\n\r\n",
		request + "Content-Type: multipart/form-data; boundary=b\r\nContent-Length: 9\r\n\r\n--b\r\n\r\n--",
		request + "Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\n\x1f\x8b\x08\x00",
		request + strings.Repeat("a:\r\n", 4000) + "\r\n",
		"DELETE /q/00000000000000aa HTTP/1.0\r\nHost: h:80\r\nConnection: keep-alive\r\nRequest-Deadline: 1e400\r\n\r\n",
		"GET http://H/q/ HTTP/1.1\r\nHost: other\r\n\r\n",
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		"\r\n\r\n\x00",
	} {
		f.Add([]byte(seed))
	}
	s, server := newCallersServer(f, func(cause any, _ []byte) { panic(cause) })
	l := connListener{connections: make(chan net.Conn)}
	f.Cleanup(func() { close(l.connections) })
	go func() { _ = server.Serve(s.Accepting(intake.Callers, l)) }()
	f.Fuzz(func(t *testing.T, sent []byte) {
		c := &recordedConn{sent: bytes.NewReader(sent), closed: make(chan struct{})}
		l.connections <- c
		select {
		case <-c.closed:
		case <-time.After(10 * time.Second):
			t.Fatal("the connection does not end")
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if answer := c.received.String(); answer != "" && !strings.HasPrefix(answer, "HTTP/1.") {
			t.Errorf("answered by %.40q", answer)
		}
		if connections, reserved := s.Used(); connections != 0 || reserved != 0 {
			t.Fatalf("%d connections and %d bytes remain", connections, reserved)
		}
	})
}

// TestRefusedByLengthBeforeBody guards against reading, or asking for, a body whose
// announced length is refused.
func TestRefusedByLengthBeforeBody(t *testing.T) {
	s, server := newCallersServer(t, func(cause any, _ []byte) { t.Error(cause) })
	l, err := s.Listen(t.Context(), intake.Callers, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(l) }()
	for _, fields := range []string{"", "Expect: 100-continue\r\n"} {
		c, err := net.Dial("tcp4", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(c, "POST /q/00000000000000aa HTTP/1.1\r\nHost: h\r\n"+fields+"Content-Length: 10000000000\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		if response.StatusCode != http.StatusServiceUnavailable || !response.Close || response.Header.Get("Retry-After") == "" {
			t.Errorf("status %d, the connection ends: %v, header %v", response.StatusCode, response.Close, response.Header)
		}
		_ = c.Close()
	}
}

// TestRefusalLogLine guards against refusals that the log does not show.
func TestRefusalLogLine(t *testing.T) {
	var out bytes.Buffer
	log := asynclog.New(&out, nil)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- log.Run(ctx) }()
	(&node{log: log}).logRefusals(map[intake.Reason]int64{intake.NoMemory: 5000}, 3, 4096)
	stop()
	<-done
	if line := out.String(); !strings.Contains(line, "clients: refused") || !strings.Contains(line, `"no-memory":5000`) {
		t.Errorf("logged %q", line)
	}
}
