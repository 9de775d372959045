package standin

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/crocusjunction/crocusjunction/internal/platform"
	"github.com/crocusjunction/crocusjunction/internal/platform/rest"
)

// Paths that tests use for machines.
const (
	PathAddMachines   = "/standin/machines/add"
	PathMachineFaults = "/standin/machines/faults"
	PathParkOptions   = "/standin/machines/options"
	PathMachineTruth  = "/standin/machines/truth"
	PathEffects       = "/standin/machines/effects"
)

// MachineFaultsOrder sets the faults of one machine.
type MachineFaultsOrder struct {
	Machine string        `json:"machine"`
	Faults  MachineFaults `json:"faults"`
}

// controlMachines serves the paths that tests use, and reports whether it did.
func (p *PlatformServer) controlMachines(ctx *fasthttp.RequestCtx) bool {
	switch string(ctx.Path()) {
	case PathAddMachines:
		order(ctx, func(list []platform.Machine) {
			p.store.RecordEffects()
			p.store.AddMachines(list)
		})
	case PathMachineFaults:
		order(ctx, func(o MachineFaultsOrder) { p.store.SetMachineFaults(o.Machine, o.Faults) })
	case PathParkOptions:
		order(ctx, p.store.SetParkOptions)
	case PathMachineTruth:
		writeJSON(ctx, p.store.Truth())
	case PathEffects:
		writeJSON(ctx, p.store.Effects())
	default:
		return false
	}
	return true
}

// order decodes the body and carries it out.
func order[T any](ctx *fasthttp.RequestCtx, do func(T)) {
	var value T
	if err := json.Unmarshal(ctx.PostBody(), &value); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	do(value)
}

// answerMachines serves the machine paths of the platform's protocol.
func (p *PlatformServer) answerMachines(ctx *fasthttp.RequestCtx, path string, call rest.Call) (rest.Answer, error) {
	switch path {
	case rest.PathMachines:
		list, err := p.store.WatchMachines(ctx, call.After, time.Duration(call.WaitMS)*time.Millisecond)
		return rest.Answer{Machines: &list}, err
	case rest.PathDrain:
		return rest.Answer{}, p.store.Drain(ctx, call.Machine, call.Operation)
	case rest.PathReboot:
		return rest.Answer{}, p.store.Reboot(ctx, call.Machine, call.Operation)
	case rest.PathFill:
		return rest.Answer{}, p.store.Fill(ctx, call.Machine, call.Pool, call.Operation)
	default:
		return rest.Answer{}, platform.ErrNotFound
	}
}
