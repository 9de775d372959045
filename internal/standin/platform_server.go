package standin

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/crocusjunction/crocusjunction/internal/platform"
	"github.com/crocusjunction/crocusjunction/internal/platform/rest"
)

// Control paths of a PlatformServer, used by tests only.
const (
	// PathStoreFaults replaces the faults of the store; the body is a StoreFaults.
	PathStoreFaults = "/standin/faults"
	// PathCalls returns the Calls that the store received.
	PathCalls = "/standin/calls"
	// PathUpdateInstance adds or replaces one instance of the list; the body is a
	// platform.Instance.
	PathUpdateInstance = "/standin/instance"
	// PathExpireLeases ends every lease of the store.
	PathExpireLeases = "/standin/lapse"
)

// PlatformServer serves a Store over the protocol of package rest, and the
// control paths with which tests inject faults.
type PlatformServer struct {
	store *Store
	http  *fasthttp.Server
}

// NewPlatformServer returns a server for s. The caller starts it with Serve.
func NewPlatformServer(s *Store) *PlatformServer {
	p := &PlatformServer{store: s}
	p.http = &fasthttp.Server{Handler: p.serve, MaxRequestBodySize: 2 * platform.MaxValueSize, CloseOnShutdown: true}
	return p
}

// Serve accepts connections on l until Shutdown. It closes l.
func (p *PlatformServer) Serve(l net.Listener) error { return p.http.Serve(l) }

// Shutdown waits for running requests until ctx ends, and stops the server.
func (p *PlatformServer) Shutdown(ctx context.Context) error { return p.http.ShutdownWithContext(ctx) }

func (p *PlatformServer) serve(ctx *fasthttp.RequestCtx) {
	if p.serveControl(ctx) || p.serveMachineControl(ctx) {
		return
	}
	var request rest.Request
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	response, err := p.dispatch(ctx, string(ctx.Path()), request)
	if err == platform.ErrOutcomeUnknown {
		// A lost answer: closes the connection without a response.
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) {})
		return
	}
	if err != nil {
		response = rest.Response{Error: rest.ErrorCode(err)}
	}
	writeJSON(ctx, response)
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// serveControl serves the control paths, except those for machines, and reports
// whether the request's path is one of them.
func (p *PlatformServer) serveControl(ctx *fasthttp.RequestCtx) bool {
	switch string(ctx.Path()) {
	case PathStoreFaults:
		var f StoreFaults
		if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return true
		}
		p.store.SetStoreFaults(f)
	case PathCalls:
		writeJSON(ctx, p.store.Calls())
	case PathUpdateInstance:
		var i platform.Instance
		if err := json.Unmarshal(ctx.PostBody(), &i); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return true
		}
		p.store.UpdateInstance(i)
	case PathExpireLeases:
		p.store.ExpireLeases()
	default:
		return p.serveWorkerControl(ctx)
	}
	return true
}

// dispatch serves the paths of the platform's protocol.
func (p *PlatformServer) dispatch(ctx *fasthttp.RequestCtx, path string, request rest.Request) (rest.Response, error) {
	wait := time.Duration(request.WaitMS) * time.Millisecond
	switch path {
	case rest.PathGet:
		record, err := p.store.Get(ctx, request.Key)
		return rest.Response{Records: []platform.Record{record}}, err
	case rest.PathList:
		records, err := p.store.List(ctx, request.Prefix)
		return rest.Response{Records: records}, err
	case rest.PathSwap:
		version, err := p.store.Swap(ctx, request.Key, request.Expect, request.Value, request.Lease)
		return rest.Response{Version: version}, err
	case rest.PathDelete:
		return rest.Response{}, p.store.Delete(ctx, request.Key, request.Expect)
	case rest.PathWatch:
		record, err := p.store.Watch(ctx, request.Key, platform.Version(request.After), wait)
		if uint64(record.Version) == request.After {
			record.Value = nil
		}
		return rest.Response{Records: []platform.Record{record}}, err
	case rest.PathGrant:
		id, err := p.store.Grant(ctx, time.Duration(request.TTLMS)*time.Millisecond)
		return rest.Response{Lease: id}, err
	case rest.PathKeepAlive:
		return rest.Response{}, p.store.KeepAlive(ctx, request.Lease)
	case rest.PathRevoke:
		return rest.Response{}, p.store.Revoke(ctx, request.Lease)
	case rest.PathWatchInstances:
		list, err := p.store.WatchInstances(ctx, request.After, wait)
		if list.Version == request.After {
			list.Instances = nil
		}
		return rest.Response{Instances: &list}, err
	default:
		return p.dispatchMachines(ctx, path, request)
	}
}
