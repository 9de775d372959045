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

// PathRuns lists the requests that an endpoint stand-in ran.
const PathRuns = "/standin/runs"

// maxRuns bounds the runs that an endpoint stand-in remembers.
const maxRuns = 100_000

// Endpoint is a stand-in for an endpoint. It echoes each request body after a
// fixed time of work and remembers what it ran.
type Endpoint struct {
	mu   sync.Mutex
	runs []string
	work time.Duration
	http *fasthttp.Server
}

// NewEndpoint returns an endpoint that spends work on each request.
func NewEndpoint(work time.Duration) *Endpoint {
	e := &Endpoint{work: work}
	e.http = &fasthttp.Server{Handler: e.serve, CloseOnShutdown: true}
	return e
}

// Serve accepts connections until Shutdown.
func (e *Endpoint) Serve(l net.Listener) error { return e.http.Serve(l) }

// Shutdown waits for running requests and stops.
func (e *Endpoint) Shutdown(ctx context.Context) error { return e.http.ShutdownWithContext(ctx) }

// Runs returns the ids of the requests that ran, in order.
func (e *Endpoint) Runs() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.runs...)
}

func (e *Endpoint) serve(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == PathRuns {
		body, _ := json.Marshal(e.Runs())
		ctx.SetBody(body)
		return
	}
	id := string(ctx.Request.Header.Peek(endpointclient.HeaderRequestID))
	e.remember(id)
	if e.work > 0 {
		time.Sleep(e.work)
	}
	ctx.Response.Header.Set(endpointclient.HeaderRequestID, id)
	ctx.Response.Header.SetBytesV(endpointclient.HeaderAttempt, ctx.Request.Header.Peek(endpointclient.HeaderAttempt))
	ctx.SetBody(ctx.PostBody())
}

func (e *Endpoint) remember(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.runs) < maxRuns {
		e.runs = append(e.runs, id)
	}
}
