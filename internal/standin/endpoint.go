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

// Paths of an endpoint stand-in that tests use.
const (
	// PathRuns lists the ids of the requests that an endpoint stand-in ran.
	PathRuns = "/standin/runs"
	// PathBodies maps each body that ran to the number of its runs. It finds
	// repeats that have different request ids.
	PathBodies = "/standin/bodies"
)

// maxRuns bounds the runs that an endpoint stand-in remembers.
const maxRuns = 100_000

// Endpoint is a stand-in for an endpoint. It echoes each request body after a
// fixed time of work and remembers what it ran.
type Endpoint struct {
	mu      sync.Mutex
	runs    []string
	bodies  map[string]int
	faults  EndpointFaults
	crossed crossedAnswer
	work    time.Duration
	stopped chan struct{}
	once    sync.Once
	http    *fasthttp.Server
}

// NewEndpoint returns an endpoint that spends work on each request.
func NewEndpoint(work time.Duration) *Endpoint {
	e := &Endpoint{work: work, bodies: make(map[string]int), stopped: make(chan struct{})}
	e.http = &fasthttp.Server{Handler: e.serve, CloseOnShutdown: true}
	return e
}

// Serve accepts connections until Shutdown.
func (e *Endpoint) Serve(l net.Listener) error {
	return e.http.Serve(refusing{Listener: l, endpoint: e})
}

// Shutdown waits for running requests and stops.
func (e *Endpoint) Shutdown(ctx context.Context) error {
	e.once.Do(func() { close(e.stopped) })
	return e.http.ShutdownWithContext(ctx)
}

// Runs returns the ids of the requests that ran, in order.
func (e *Endpoint) Runs() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.runs...)
}

// Bodies returns how often each body ran.
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
		e.answer(ctx)
	}
}

// answer runs one request, or shows the fault that a test switched on.
func (e *Endpoint) answer(ctx *fasthttp.RequestCtx) {
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
	e.remember(id, string(ctx.PostBody()))
	if pause := e.work + time.Duration(fault.DelayMS)*time.Millisecond; pause > 0 {
		time.Sleep(pause)
	}
	ctx.SetBody(ctx.PostBody())
	e.spoil(ctx, fault.Mode)
}

func (e *Endpoint) remember(id, body string) {
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
