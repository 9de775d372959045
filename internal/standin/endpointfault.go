package standin

import (
	"fmt"
	"net"

	"github.com/valyala/fasthttp"

	"github.com/crocusjunction/crocusjunction/internal/endpointclient"
)

// PathEndpointFaults replaces the faults of an endpoint stand-in.
const PathEndpointFaults = "/standin/endpoint-faults"

// EndpointFaultMode is what an endpoint stand-in does to requests.
type EndpointFaultMode string

// Modes of faults.
const (
	// FaultSilent reads the request and never answers on its connection.
	FaultSilent EndpointFaultMode = "silent"
	// FaultClose runs the request and closes the connection without an answer.
	FaultClose EndpointFaultMode = "close"
	// FaultCrossed answers with the answer of the request before.
	FaultCrossed EndpointFaultMode = "crossed"
	// FaultShort closes the connection before the declared length is reached.
	FaultShort EndpointFaultMode = "short"
	// FaultLong sends more than the declared length.
	FaultLong EndpointFaultMode = "long"
	// FaultRefuse closes each new connection at once.
	FaultRefuse EndpointFaultMode = "refuse"
	// FaultNotRun answers that the request did not run.
	FaultNotRun EndpointFaultMode = "not-run"
)

// EndpointFaults are what a test can switch on in an endpoint stand-in. The
// zero value means that everything works.
type EndpointFaults struct {
	Mode EndpointFaultMode `json:"mode,omitempty"`
	// Requests is the number of following requests that Mode applies to; 0
	// means all. FaultRefuse and probes do not count.
	Requests int `json:"requests,omitempty"`
	// DelayMS is added to the work of each request, in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// Leaving says on every answer that the endpoint leaves.
	Leaving bool `json:"leaving,omitempty"`
}

// nextFault returns the faults for one request. A mode that applies to a number
// of requests leaves probes alone, so that a test can silence single
// connections of an endpoint that is otherwise alive.
func (e *Endpoint) nextFault(probe bool) EndpointFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.faults
	if f.Requests > 0 {
		if probe {
			f.Mode = ""
			return f
		}
		if e.faults.Requests--; e.faults.Requests == 0 {
			e.faults.Mode = ""
		}
	}
	return f
}

// crossedAnswer is the last answer, which FaultCrossed gives to another request.
type crossedAnswer struct{ id, body string }

// spoil changes a prepared answer as the mode asks.
func (e *Endpoint) spoil(ctx *fasthttp.RequestCtx, mode EndpointFaultMode) {
	header := &ctx.Response.Header
	id, body := string(header.Peek(endpointclient.HeaderRequestID)), string(ctx.Response.Body())
	e.mu.Lock()
	before := e.crossed
	e.crossed = crossedAnswer{id: id, body: body}
	e.mu.Unlock()
	switch mode {
	case FaultCrossed:
		header.Set(endpointclient.HeaderRequestID, before.id)
		ctx.SetBodyString(before.body)
	case FaultClose:
		hijack(ctx, "")
	case FaultShort:
		hijack(ctx, rawAnswer(ctx, len(body)+1, body))
	case FaultLong:
		hijack(ctx, rawAnswer(ctx, len(body), body+"surplus"))
	}
}

// rawAnswer returns an answer whose declared length is chosen by the caller.
func rawAnswer(ctx *fasthttp.RequestCtx, declared int, body string) string {
	header := &ctx.Response.Header
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		endpointclient.HeaderRequestID, header.Peek(endpointclient.HeaderRequestID),
		endpointclient.HeaderAttempt, header.Peek(endpointclient.HeaderAttempt), declared, body)
}

// hijack writes answer to the connection instead of the prepared one, and
// closes it.
func hijack(ctx *fasthttp.RequestCtx, answer string) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		if answer != "" {
			_, _ = c.Write([]byte(answer))
		}
	})
}

// refusing closes new connections while FaultRefuse is on.
type refusing struct {
	net.Listener
	endpoint *Endpoint
}

// Accept implements net.Listener.
func (r refusing) Accept() (net.Conn, error) {
	for {
		c, err := r.Listener.Accept()
		if err != nil || !r.endpoint.refuses() {
			return c, err
		}
		_ = c.Close()
	}
}

func (e *Endpoint) refuses() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Mode == FaultRefuse
}
