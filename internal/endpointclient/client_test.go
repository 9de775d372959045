package endpointclient_test

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusjunction/crocusjunction/internal/endpointclient"
	"github.com/crocusjunction/crocusjunction/internal/link"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/standin"
	"github.com/crocusjunction/crocusjunction/internal/traffic"
)

func startStandin(t *testing.T) machine.Endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := standin.NewEndpoint(0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(l)
	}()
	t.Cleanup(func() {
		_ = server.Shutdown(context.Background())
		<-done
	})
	return endpointAt(l.Addr().String())
}

func endpointAt(address string) machine.Endpoint {
	return machine.Endpoint{ID: "e1", Service: "bookings", Address: address, Connections: 4}
}

// post replaces the faults of a stand-in.
func setFaults(t *testing.T, e machine.Endpoint, body string) {
	t.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + e.Address + standin.PathEndpointFaults)
	req.SetBodyString(body)
	if err := fasthttp.Do(req, resp); err != nil || resp.StatusCode() != fasthttp.StatusOK {
		t.Fatalf("status %d, error %v", resp.StatusCode(), err)
	}
}

func send(c *endpointclient.Client, e machine.Endpoint, id string, number int, wait time.Duration) traffic.SendResult {
	a := link.Attempt{RequestID: id, Number: number, Deadline: time.Now().Add(wait)}
	return c.Send(context.Background(), e, a, []byte("body of "+id))
}

// TestFaultyAnswersAreDropped guards against an answer that belongs to another
// request, or that is not whole, reaching a caller.
func TestFaultyAnswersAreDropped(t *testing.T) {
	cases := []struct {
		mode standin.EndpointFaultMode
		want error
	}{
		{standin.FaultCrossed, endpointclient.ErrForeignAnswer},
		{standin.FaultShort, endpointclient.ErrShortAnswer},
		{standin.FaultLong, endpointclient.ErrLongAnswer},
		{standin.FaultClose, nil},
	}
	for _, c := range cases {
		t.Run(string(c.mode), func(t *testing.T) {
			e, client := startStandin(t), endpointclient.New(time.Now)
			defer client.Close()
			if r := send(client, e, "r1", 1, 10*time.Second); r.Err != nil || string(r.Body) != "body of r1" {
				t.Fatalf("body %q, error %v", r.Body, r.Err)
			}
			setFaults(t, e, `{"mode":"`+string(c.mode)+`","requests":1}`)
			r := send(client, e, "r2", 1, 10*time.Second)
			if r.End != link.AttemptLost || r.Err == nil || c.want != nil && !errors.Is(r.Err, c.want) {
				t.Errorf("end %d, error %v", r.End, r.Err)
			}
			if r = send(client, e, "r3", 1, 10*time.Second); r.Err != nil || string(r.Body) != "body of r3" {
				t.Errorf("next request: body %q, error %v", r.Body, r.Err)
			}
			counts := client.Dropped.Counts()
			if total := counts.Foreign + counts.Short + counts.Long + counts.Late; c.want != nil && total != 1 {
				t.Errorf("dropped answers %+v", counts)
			}
		})
	}
}

// TestDeclinedRequest guards against an endpoint's true "not run" that is
// reported as unknown.
func TestDeclinedRequest(t *testing.T) {
	e, client := startStandin(t), endpointclient.New(time.Now)
	defer client.Close()
	setFaults(t, e, `{"mode":"not-run","leaving":true}`)
	if r := send(client, e, "r1", 1, 10*time.Second); r.End != link.AttemptDeclined || !r.Leaving {
		t.Errorf("end %d, leaving %v, error %v", r.End, r.Leaving, r.Err)
	}
}

// TestSilentConnectionIsClosed guards against a connection that went silent and
// is used for the next request.
func TestSilentConnectionIsClosed(t *testing.T) {
	e, client := startStandin(t), endpointclient.New(time.Now)
	defer client.Close()
	setFaults(t, e, `{"mode":"silent","requests":1}`)
	if r := send(client, e, "r1", 1, 50*time.Millisecond); r.End != link.AttemptLost || !r.Silent {
		t.Fatalf("end %d, silent %v, error %v", r.End, r.Silent, r.Err)
	}
	if r := send(client, e, "r2", 1, 10*time.Second); r.End != link.AttemptAnswered || r.KeptConnection {
		t.Errorf("end %d, kept connection %v, error %v", r.End, r.KeptConnection, r.Err)
	}
	if _, err := client.Probe(context.Background(), e.Address); err != nil {
		t.Errorf("probe: %v", err)
	}
}

// TestNothingListens guards against a refused connection that is reported as a
// request that may have run.
func TestNothingListens(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := endpointAt(l.Addr().String())
	_ = l.Close()
	client := endpointclient.New(time.Now)
	if r := send(client, e, "r1", 1, 10*time.Second); r.End != link.AttemptUnsent || !r.NoConnection {
		t.Errorf("end %d, no connection %v", r.End, r.NoConnection)
	}
}

// scripted accepts connections and hands each to serve in order of arrival.
func scripted(t *testing.T, serve func(n int, c net.Conn)) machine.Endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(n, c)
		}
	}()
	return endpointAt(l.Addr().String())
}

// whole is the answer to attempt 1 of request r.
const whole = "HTTP/1.1 200 OK\r\nCrocus-Request-Id: r\r\nCrocus-Attempt: 1\r\nContent-Length: 2\r\n\r\nok"

// answerWith reads one request and writes text. It returns false at the end of
// the connection.
func answerWith(c net.Conn, r *bufio.Reader, text string) bool {
	var req fasthttp.Request
	if err := req.Read(r); err != nil {
		return false
	}
	_, err := c.Write([]byte(text))
	return err == nil
}

// TestClosedKeptConnectionIsNotUsed guards against a request that is written to
// a kept connection which the endpoint has already closed, and whose outcome
// would be unknown.
func TestClosedKeptConnectionIsNotUsed(t *testing.T) {
	closed := make(chan struct{})
	e := scripted(t, func(n int, c net.Conn) {
		answerWith(c, bufio.NewReader(c), whole)
		_ = c.Close()
		if n == 0 {
			close(closed)
		}
	})
	client := endpointclient.New(time.Now)
	defer client.Close()
	if r := send(client, e, "r", 1, 10*time.Second); r.End != link.AttemptAnswered {
		t.Fatalf("end %d, error %v", r.End, r.Err)
	}
	<-closed
	if r := send(client, e, "r", 1, 10*time.Second); r.End != link.AttemptAnswered || r.KeptConnection {
		t.Errorf("end %d, kept connection %v, error %v", r.End, r.KeptConnection, r.Err)
	}
}

// TestLateAnswerIsDropped guards against an answer to an earlier attempt, and
// against one that arrives while the connection is idle.
func TestLateAnswerIsDropped(t *testing.T) {
	ready := make(chan struct{})
	e := scripted(t, func(n int, c net.Conn) {
		r := bufio.NewReader(c)
		answerWith(c, r, whole)
		if n == 0 {
			_, _ = c.Write([]byte(whole))
			close(ready)
		}
		for answerWith(c, r, whole) {
		}
	})
	client := endpointclient.New(time.Now)
	defer client.Close()
	first := send(client, e, "r", 1, 10*time.Second)
	<-ready
	if first.End == link.AttemptAnswered {
		if r := send(client, e, "r", 1, 10*time.Second); r.End != link.AttemptAnswered || r.KeptConnection {
			t.Errorf("end %d, kept connection %v, error %v", r.End, r.KeptConnection, r.Err)
		}
	}
	if r := send(client, e, "r", 2, 10*time.Second); !errors.Is(r.Err, endpointclient.ErrLateAnswer) {
		t.Errorf("answer to attempt 1 given to attempt 2: end %d, error %v", r.End, r.Err)
	}
}

// TestAnswerWithoutLength guards against a cut answer that passes for a whole
// one because the endpoint declared no length.
func TestAnswerWithoutLength(t *testing.T) {
	e := scripted(t, func(n int, c net.Conn) {
		answerWith(c, bufio.NewReader(c), "HTTP/1.1 200 OK\r\nCrocus-Request-Id: r\r\nCrocus-Attempt: 1\r\n\r\ncut")
		_ = c.Close()
	})
	client := endpointclient.New(time.Now)
	if r := send(client, e, "r", 1, 10*time.Second); !errors.Is(r.Err, endpointclient.ErrShortAnswer) {
		t.Errorf("end %d, error %v", r.End, r.Err)
	}
}
