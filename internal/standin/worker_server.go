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
	// PathWorkerFaults replaces the faults of calls about workers; the body is a
	// WorkerFaults.
	PathWorkerFaults = "/standin/worker/faults"
	// PathUpdateWorker adds or replaces a worker; the body is a platform.Worker.
	PathUpdateWorker = "/standin/worker/update"
	// PathTaskTime sets the duration of new tasks; the body is a TaskTime.
	PathTaskTime = "/standin/worker/tasktime"
	// PathStarts returns the task starts that took effect, oldest first.
	PathStarts = "/standin/worker/starts"
	// PathExpireTaskLeases expires the leases of all tasks.
	PathExpireTaskLeases = "/standin/worker/lapse"
)

// TaskTime is the body of PathTaskTime.
type TaskTime struct {
	// MS is the duration of a task, in milliseconds.
	MS int64 `json:"ms"`
}

// serveWorkerControl serves the control paths for workers, and reports whether
// the request's path is one of them.
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
func (p *PlatformServer) dispatchWorkers(ctx context.Context, path string, request rest.Request) (rest.Response, error) {
	if request.Worker == nil {
		return rest.Response{}, platform.ErrNotFound
	}
	response := &rest.WorkerResponse{}
	err := p.dispatchWorkerCall(ctx, path, request, response)
	return rest.Response{Worker: response}, err
}

func (p *PlatformServer) dispatchWorkerCall(ctx context.Context, path string, request rest.Request, response *rest.WorkerResponse) error {
	var ref platform.TaskRef
	if len(request.Worker.Tasks) > 0 {
		ref = request.Worker.Tasks[0]
	}
	ttl := time.Duration(request.TTLMS) * time.Millisecond
	var err error
	switch path {
	case rest.PathWatchWorkers:
		var list platform.WorkerList
		list, err = p.store.WatchWorkers(ctx, request.Worker.DataCentre, request.After, time.Duration(request.WaitMS)*time.Millisecond)
		response.List = &list
	case rest.PathStartTask:
		if request.Worker.Spec == nil {
			return platform.ErrNotFound
		}
		response.Sequence, err = p.store.StartTask(ctx, ref.Worker, *request.Worker.Spec, ttl)
	case rest.PathRenewTasks:
		err = p.store.RenewTasks(ctx, request.Worker.Tasks, ttl)
	case rest.PathCheckpointTask:
		response.Checkpoint, err = p.store.CheckpointTask(ctx, ref)
	case rest.PathThrottleTask:
		err = p.store.ThrottleTask(ctx, ref, request.Worker.MilliCores)
	case rest.PathStopTasks:
		err = p.store.StopTasks(ctx, request.Worker.Tasks)
	default:
		err = platform.ErrNotFound
	}
	return err
}
