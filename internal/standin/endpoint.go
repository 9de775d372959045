package standin

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/crocusjunction/crocusjunction/internal/endpointclient"
)

// Control paths of an Endpoint, used by tests only.
const (
	// PathRuns returns the ids of the requests that the endpoint ran.
	PathRuns = "/standin/runs"
	// PathBodies returns the number of runs of each request body. It reveals
	// repeated runs of one request under different request ids.
	PathBodies = "/standin/bodies"
)

// maxRuns bounds the number of runs that an Endpoint records.
const maxRuns = 100_000

// Endpoint is a stand-in for an endpoint. It echoes each request body after a
// fixed service time and records the id and the body of each run. It is safe
// for concurrent use.
type Endpoint struct {
	mu          sync.Mutex
	runs        []string
	bodies      map[string]int
	faults      EndpointFaults
	previous    recordedResponse
	serviceTime time.Duration
	stopped     chan struct{}
	once        sync.Once
	http        *fasthttp.Server
}

// NewEndpoint returns an endpoint that takes serviceTime for each request. The
// caller starts it with Serve.
func NewEndpoint(serviceTime time.Duration) *Endpoint {
	e := &Endpoint{serviceTime: serviceTime, bodies: make(map[string]int), stopped: make(chan struct{})}
	e.http = &fasthttp.Server{Handler: e.serve, CloseOnShutdown: true}
	return e
}

// Serve accepts connections on l until Shutdown. It closes l.
func (e *Endpoint) Serve(l net.Listener) error {
	return e.http.Serve(refusingListener{Listener: l, endpoint: e})
}

// Shutdown releases the requests that FaultSilent blocks, waits for running
// requests until ctx ends, and stops the server.
func (e *Endpoint) Shutdown(ctx context.Context) error {
	e.once.Do(func() { close(e.stopped) })
	return e.http.ShutdownWithContext(ctx)
}

// Runs returns the ids of the requests that ran, oldest first.
func (e *Endpoint) Runs() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.runs...)
}

// Bodies returns the number of runs of each request body.
func (e *Endpoint) Bodies() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	copied := make(map[string]int, len(e.bodies))
	for body, n := range e.bodies {
		copied[body] = n
	}
	return copied
}

func (e *Endpoint) serve(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case PathRuns:
		writeJSON(ctx, e.Runs())
	case PathBodies:
		writeJSON(ctx, e.Bodies())
	case PathEndpointFaults:
		e.setFaults(ctx)
	default:
		e.handleRequest(ctx)
	}
}

// handleRequest runs one request or answers one probe, and applies the active
// fault.
func (e *Endpoint) handleRequest(ctx *fasthttp.RequestCtx) {
	probe := ctx.IsOptions()
	fault := e.nextFault(probe)
	if fault.Leaving {
		ctx.Response.Header.Set(endpointclient.HeaderLeaving, "true")
	}
	if fault.Mode == FaultSilent {
		<-e.stopped
		return
	}
	if probe {
		return
	}
	id := string(ctx.Request.Header.Peek(endpointclient.HeaderRequestID))
	ctx.Response.Header.Set(endpointclient.HeaderRequestID, id)
	ctx.Response.Header.SetBytesV(endpointclient.HeaderAttempt, ctx.Request.Header.Peek(endpointclient.HeaderAttempt))
	if fault.Mode == FaultNotRun {
		ctx.Response.Header.Set(endpointclient.HeaderNotRun, "true")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	e.recordRun(id, string(ctx.PostBody()))
	if pause := e.serviceTime + time.Duration(fault.DelayMS)*time.Millisecond; pause > 0 {
		time.Sleep(pause)
	}
	ctx.SetBody(ctx.PostBody())
	e.applyFault(ctx, fault.Mode)
}

func (e *Endpoint) recordRun(id, body string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.runs) < maxRuns {
		e.runs = append(e.runs, id)
		e.bodies[body]++
	}
}

func (e *Endpoint) setFaults(ctx *fasthttp.RequestCtx) {
	var f EndpointFaults
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}
