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

// startStandInEndpoint starts a stand-in endpoint on a free port.
func startStandInEndpoint(t *testing.T) machine.Endpoint {
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

// setFaults replaces the injected faults of a stand-in endpoint.
func setFaults(t *testing.T, e machine.Endpoint, faults string) {
	t.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + e.Address + standin.PathEndpointFaults)
	req.SetBodyString(faults)
	if err := fasthttp.Do(req, resp); err != nil || resp.StatusCode() != fasthttp.StatusOK {
		t.Fatalf("status %d, error %v", resp.StatusCode(), err)
	}
}

func send(c *endpointclient.Client, e machine.Endpoint, id string, number int, timeout time.Duration) traffic.SendResult {
	a := link.Attempt{RequestID: id, Number: number, Deadline: time.Now().Add(timeout)}
	return c.Send(context.Background(), e, a, []byte("body of "+id))
}

// TestFaultyAnswersAreDropped guards against an answer that reaches a caller
// although it names another request or is incomplete.
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
			e, client := startStandInEndpoint(t), endpointclient.New(time.Now)
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

// TestDeclinedRequestIsReported guards against an attempt that is reported as
// lost although the endpoint answered that it did not run the request.
func TestDeclinedRequestIsReported(t *testing.T) {
	e, client := startStandInEndpoint(t), endpointclient.New(time.Now)
	defer client.Close()
	setFaults(t, e, `{"mode":"not-run","leaving":true}`)
	if r := send(client, e, "r1", 1, 10*time.Second); r.End != link.AttemptDeclined || !r.Leaving {
		t.Errorf("end %d, leaving %v, error %v", r.End, r.Leaving, r.Err)
	}
}

// TestSilentConnectionIsClosed guards against a connection that is reused after
// an attempt on it reached its deadline without an answer.
func TestSilentConnectionIsClosed(t *testing.T) {
	e, client := startStandInEndpoint(t), endpointclient.New(time.Now)
	defer client.Close()
	setFaults(t, e, `{"mode":"silent","requests":1}`)
	if r := send(client, e, "r1", 1, 50*time.Millisecond); r.End != link.AttemptLost || !r.TimedOut {
		t.Fatalf("end %d, timed out %v, error %v", r.End, r.TimedOut, r.Err)
	}
	if r := send(client, e, "r2", 1, 10*time.Second); r.End != link.AttemptAnswered || r.ReusedConnection {
		t.Errorf("end %d, reused connection %v, error %v", r.End, r.ReusedConnection, r.Err)
	}
	if _, err := client.Probe(context.Background(), e.Address); err != nil {
		t.Errorf("probe: %v", err)
	}
}

// TestRefusedConnectionIsUnsent guards against a refused connection that is
// reported as an attempt that the endpoint may have run.
func TestRefusedConnectionIsUnsent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := endpointAt(l.Addr().String())
	_ = l.Close()
	client := endpointclient.New(time.Now)
	if r := send(client, e, "r1", 1, 10*time.Second); r.End != link.AttemptUnsent || !r.DialFailed {
		t.Errorf("end %d, dial failed %v", r.End, r.DialFailed)
	}
}

// startScriptedEndpoint starts an endpoint that calls serve in a goroutine for
// each connection. n counts the connections from 0.
func startScriptedEndpoint(t *testing.T, serve func(n int, c net.Conn)) machine.Endpoint {
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

// completeAnswer is a complete answer to attempt 1 of request r.
const completeAnswer = "HTTP/1.1 200 OK\r\nCrocus-Request-Id: r\r\nCrocus-Attempt: 1\r\nContent-Length: 2\r\n\r\nok"

// answerOnce reads one request and writes text as its answer. It returns false
// when the connection is closed.
func answerOnce(c net.Conn, r *bufio.Reader, text string) bool {
	var req fasthttp.Request
	if err := req.Read(r); err != nil {
		return false
	}
	_, err := c.Write([]byte(text))
	return err == nil
}

// TestClosedIdleConnectionIsNotUsed guards against a request that is written to
// an idle connection which the endpoint has already closed. The outcome of such a
// request would be unknown.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	closed := make(chan struct{})
	e := startScriptedEndpoint(t, func(n int, c net.Conn) {
		answerOnce(c, bufio.NewReader(c), completeAnswer)
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
	if r := send(client, e, "r", 1, 10*time.Second); r.End != link.AttemptAnswered || r.ReusedConnection {
		t.Errorf("end %d, reused connection %v, error %v", r.End, r.ReusedConnection, r.Err)
	}
}

// TestLateAnswerIsDropped guards against an answer that is delivered to a later
// attempt, and against one that arrives while the connection is idle and is
// delivered to the next request.
func TestLateAnswerIsDropped(t *testing.T) {
	ready := make(chan struct{})
	e := startScriptedEndpoint(t, func(n int, c net.Conn) {
		r := bufio.NewReader(c)
		answerOnce(c, r, completeAnswer)
		if n == 0 {
			_, _ = c.Write([]byte(completeAnswer))
			close(ready)
		}
		for answerOnce(c, r, completeAnswer) {
		}
	})
	client := endpointclient.New(time.Now)
	defer client.Close()
	first := send(client, e, "r", 1, 10*time.Second)
	<-ready
	if first.End == link.AttemptAnswered {
		if r := send(client, e, "r", 1, 10*time.Second); r.End != link.AttemptAnswered || r.ReusedConnection {
			t.Errorf("end %d, reused connection %v, error %v", r.End, r.ReusedConnection, r.Err)
		}
	}
	if r := send(client, e, "r", 2, 10*time.Second); !errors.Is(r.Err, endpointclient.ErrLateAnswer) {
		t.Errorf("answer to attempt 1 delivered to attempt 2: end %d, error %v", r.End, r.Err)
	}
}

// TestAnswerWithoutLengthIsRefused guards against a truncated answer that is
// accepted as complete because the endpoint declared no length.
func TestAnswerWithoutLengthIsRefused(t *testing.T) {
	e := startScriptedEndpoint(t, func(n int, c net.Conn) {
		answerOnce(c, bufio.NewReader(c), "HTTP/1.1 200 OK\r\nCrocus-Request-Id: r\r\nCrocus-Attempt: 1\r\n\r\ncut")
		_ = c.Close()
	})
	client := endpointclient.New(time.Now)
	if r := send(client, e, "r", 1, 10*time.Second); !errors.Is(r.Err, endpointclient.ErrShortAnswer) {
		t.Errorf("end %d, error %v", r.End, r.Err)
	}
}
