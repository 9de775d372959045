package standin

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/crocusjunction/crocusjunction/internal/platform"
	"github.com/crocusjunction/crocusjunction/internal/platform/rest"
)

// Control paths for machines, used by tests only.
const (
	// PathAddMachines adds or replaces machines and enables the recording of
	// effects; the body is a list of platform.Machine.
	PathAddMachines = "/standin/machines/add"
	// PathMachineFaults replaces the faults of one machine; the body is a
	// MachineFaultsRequest.
	PathMachineFaults = "/standin/machines/faults"
	// PathMachineOptions replaces the MachineOptions.
	PathMachineOptions = "/standin/machines/options"
	// PathCurrentMachines returns the current state of the machines, without the
	// lag of the list.
	PathCurrentMachines = "/standin/machines/truth"
	// PathMachineEffects returns and discards the recorded effects.
	PathMachineEffects = "/standin/machines/effects"
)

// MachineFaultsRequest is the body of PathMachineFaults.
type MachineFaultsRequest struct {
	Machine string        `json:"machine"`
	Faults  MachineFaults `json:"faults"`
}

// serveMachineControl serves the control paths for machines, and reports whether
// the request's path is one of them.
func (p *PlatformServer) serveMachineControl(ctx *fasthttp.RequestCtx) bool {
	switch string(ctx.Path()) {
	case PathAddMachines:
		decodeBody(ctx, func(list []platform.Machine) {
			p.store.RecordMachineEffects()
			p.store.AddMachines(list)
		})
	case PathMachineFaults:
		decodeBody(ctx, func(o MachineFaultsRequest) { p.store.SetMachineFaults(o.Machine, o.Faults) })
	case PathMachineOptions:
		decodeBody(ctx, p.store.SetMachineOptions)
	case PathCurrentMachines:
		writeJSON(ctx, p.store.CurrentMachines())
	case PathMachineEffects:
		writeJSON(ctx, p.store.TakeMachineEffects())
	default:
		return false
	}
	return true
}

// decodeBody decodes the JSON body of a request and passes it to apply. It
// answers 400 if the body is invalid.
func decodeBody[T any](ctx *fasthttp.RequestCtx, apply func(T)) {
	var value T
	if err := json.Unmarshal(ctx.PostBody(), &value); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	apply(value)
}

// dispatchMachines serves the machine paths of the platform's protocol.
func (p *PlatformServer) dispatchMachines(ctx *fasthttp.RequestCtx, path string, request rest.Request) (rest.Response, error) {
	switch path {
	case rest.PathWatchMachines:
		list, err := p.store.WatchMachines(ctx, request.After, time.Duration(request.WaitMS)*time.Millisecond)
		return rest.Response{Machines: &list}, err
	case rest.PathDrain:
		return rest.Response{}, p.store.Drain(ctx, request.Machine, request.Operation)
	case rest.PathReboot:
		return rest.Response{}, p.store.Reboot(ctx, request.Machine, request.Operation)
	case rest.PathFill:
		return rest.Response{}, p.store.Fill(ctx, request.Machine, request.Pool, request.Operation)
	default:
		return p.dispatchWorkers(ctx, path, request)
	}
}
