package standin

import (
	"fmt"
	"net"

	"github.com/valyala/fasthttp"

	"github.com/crocusjunction/crocusjunction/internal/endpointclient"
)

// PathEndpointFaults replaces the active faults of an Endpoint; the body is an
// EndpointFaults.
const PathEndpointFaults = "/standin/endpoint-faults"

// EndpointFaultMode selects how an Endpoint mishandles requests.
type EndpointFaultMode string

// Fault modes of an Endpoint.
const (
	// FaultSilent reads the request and sends no response until Shutdown.
	FaultSilent EndpointFaultMode = "silent"
	// FaultClose runs the request and closes the connection without a response.
	FaultClose EndpointFaultMode = "close"
	// FaultCrossed sends the response of the previous request.
	FaultCrossed EndpointFaultMode = "crossed"
	// FaultShort sends one byte less than the declared Content-Length and
	// closes the connection.
	FaultShort EndpointFaultMode = "short"
	// FaultLong sends more bytes than the declared Content-Length.
	FaultLong EndpointFaultMode = "long"
	// FaultRefuse closes each new connection right after accepting it.
	FaultRefuse EndpointFaultMode = "refuse"
	// FaultNotRun rejects the request with 503 and marks it as not run by
	// endpointclient.HeaderNotRun.
	FaultNotRun EndpointFaultMode = "not-run"
)

// EndpointFaults are the faults that a test injects into an Endpoint. The zero
// value injects none.
type EndpointFaults struct {
	Mode EndpointFaultMode `json:"mode,omitempty"`
	// Requests is the number of requests to which Mode still applies; 0 means
	// all. Probes and connections closed by FaultRefuse are not counted.
	Requests int `json:"requests,omitempty"`
	// DelayMS is added to the service time of each request, in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// Leaving marks every response with the header that announces the
	// endpoint's departure.
	Leaving bool `json:"leaving,omitempty"`
}

// nextFault returns the faults for one request and counts the request. A mode
// that is limited to a number of requests does not apply to probes, so that a
// test can make single connections silent while the endpoint's probes succeed.
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

// recordedResponse is a response that FaultCrossed sends for the next request.
type recordedResponse struct{ id, body string }

// applyFault alters the prepared response according to mode.
func (e *Endpoint) applyFault(ctx *fasthttp.RequestCtx, mode EndpointFaultMode) {
	header := &ctx.Response.Header
	id, body := string(header.Peek(endpointclient.HeaderRequestID)), string(ctx.Response.Body())
	e.mu.Lock()
	last := e.previous
	e.previous = recordedResponse{id: id, body: body}
	e.mu.Unlock()
	switch mode {
	case FaultCrossed:
		header.Set(endpointclient.HeaderRequestID, last.id)
		ctx.SetBodyString(last.body)
	case FaultClose:
		replaceResponse(ctx, "")
	case FaultShort:
		replaceResponse(ctx, encodeResponse(ctx, len(body)+1, body))
	case FaultLong:
		replaceResponse(ctx, encodeResponse(ctx, len(body), body+"surplus"))
	}
}

// encodeResponse encodes a 200 response with the headers of ctx and declared as
// its Content-Length, which may differ from the length of body.
func encodeResponse(ctx *fasthttp.RequestCtx, declared int, body string) string {
	header := &ctx.Response.Header
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		endpointclient.HeaderRequestID, header.Peek(endpointclient.HeaderRequestID),
		endpointclient.HeaderAttempt, header.Peek(endpointclient.HeaderAttempt), declared, body)
}

// replaceResponse writes answer to the connection in place of the prepared
// response, and closes the connection. An empty answer writes nothing.
func replaceResponse(ctx *fasthttp.RequestCtx, answer string) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		if answer != "" {
			_, _ = c.Write([]byte(answer))
		}
	})
}

// refusingListener is a listener that closes new connections while FaultRefuse
// is active.
type refusingListener struct {
	net.Listener
	endpoint *Endpoint
}

// Accept implements net.Listener. It returns only connections that are not
// refused.
func (r refusingListener) Accept() (net.Conn, error) {
	for {
		c, err := r.Listener.Accept()
		if err != nil || !r.endpoint.refusesConnections() {
			return c, err
		}
		_ = c.Close()
	}
}

func (e *Endpoint) refusesConnections() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Mode == FaultRefuse
}
