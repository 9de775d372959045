package standin

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/crocusjunction/crocusjunction/internal/platform"
	"github.com/crocusjunction/crocusjunction/internal/platform/rest"
)

// Control paths for workers, used by tests only.
const (
	PathWorkerFaults     = "/standin/worker/faults"
	PathUpdateWorker     = "/standin/worker/update"
	PathTaskTime         = "/standin/worker/tasktime"
	PathStarts           = "/standin/worker/starts"
	PathExpireTaskLeases = "/standin/worker/lapse"
)

// TaskTime is the body of PathTaskTime.
type TaskTime struct {
	// MS is the duration of a task, in milliseconds.
	MS int64 `json:"ms"`
}

// serveWorkerControl serves the control paths for workers, and reports whether the
// request's path is one of them.
func (p *PlatformServer) serveWorkerControl(ctx *fasthttp.RequestCtx) bool {
	var err error
	switch string(ctx.Path()) {
	case PathWorkerFaults:
		var f WorkerFaults
		if err = json.Unmarshal(ctx.PostBody(), &f); err == nil {
			p.store.SetWorkerFaults(f)
		}
	case PathUpdateWorker:
		var w platform.Worker
		if err = json.Unmarshal(ctx.PostBody(), &w); err == nil {
			p.store.UpdateWorker(w)
		}
	case PathTaskTime:
		var t TaskTime
		if err = json.Unmarshal(ctx.PostBody(), &t); err == nil {
			p.store.SetTaskTime(time.Duration(t.MS) * time.Millisecond)
		}
	case PathStarts:
		writeJSON(ctx, p.store.Starts())
	case PathExpireTaskLeases:
		p.store.ExpireTaskLeases()
	default:
		return false
	}
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
	}
	return true
}

// dispatchWorkers serves the worker paths of the platform's protocol.
func (p *PlatformServer) dispatchWorkers(ctx context.Context, path string, call rest.Call) (rest.Answer, error) {
	if call.Worker == nil {
		return rest.Answer{}, platform.ErrNotFound
	}
	answer := &rest.WorkerAnswer{}
	err := p.dispatchWorkerCall(ctx, path, call, answer)
	return rest.Answer{Worker: answer}, err
}

func (p *PlatformServer) dispatchWorkerCall(ctx context.Context, path string, call rest.Call, answer *rest.WorkerAnswer) error {
	var ref platform.TaskRef
	if len(call.Worker.Tasks) > 0 {
		ref = call.Worker.Tasks[0]
	}
	ttl := time.Duration(call.TTLMS) * time.Millisecond
	var err error
	switch path {
	case rest.PathWorkers:
		var list platform.WorkerList
		list, err = p.store.WatchWorkers(ctx, call.Worker.DataCentre, call.After, time.Duration(call.WaitMS)*time.Millisecond)
		answer.List = &list
	case rest.PathStart:
		if call.Worker.Spec == nil {
			return platform.ErrNotFound
		}
		answer.Sequence, err = p.store.StartTask(ctx, ref.Worker, *call.Worker.Spec, ttl)
	case rest.PathRenew:
		err = p.store.RenewTasks(ctx, call.Worker.Tasks, ttl)
	case rest.PathCheckpoint:
		answer.Checkpoint, err = p.store.CheckpointTask(ctx, ref)
	case rest.PathThrottle:
		err = p.store.ThrottleTask(ctx, ref, call.Worker.MilliCores)
	case rest.PathStop:
		err = p.store.StopTasks(ctx, call.Worker.Tasks)
	default:
		err = platform.ErrNotFound
	}
	return err
}
