package control

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/platform"
)

// runWorkers performs the actions on workers. The second result is false for
// other actions.
func (r *PlatformRunner) runWorkers(ctx context.Context, a fleet.Action) (fleet.Event, bool) {
	switch a := a.(type) {
	case fleet.WatchWorkers:
		return r.watchWorkers(ctx, a), true
	case fleet.StartTask:
		return r.startTask(ctx, a), true
	case fleet.RenewTasks:
		err := r.platform.RenewTasks(ctx, toTaskRefs(a.Tasks), fleet.TaskTTL)
		return fleet.TasksRenewed{Term: a.Term, OK: err == nil}, true
	case fleet.CheckpointTask:
		checkpoint, err := r.platform.CheckpointTask(ctx, toTaskRef(a.On))
		return fleet.CheckpointAnswered{Term: a.Term, Task: a.Task, StartID: a.On.StartID, OK: err == nil, Checkpoint: checkpoint}, true
	case fleet.ThrottleTask:
		if err := r.platform.ThrottleTask(ctx, toTaskRef(a.On), a.MilliCores); err != nil {
			r.log.WithError(err).Debugf("schedule: throttling of task start %s failed", a.On.StartID)
		}
		return nil, true
	case fleet.StopTasks:
		err := r.platform.StopTasks(ctx, toTaskRefs(a.Tasks))
		return fleet.StopAnswered{Term: a.Term, Tasks: a.Tasks, OK: err == nil}, true
	default:
		return nil, false
	}
}

func toTaskRef(t fleet.WorkerTask) platform.TaskRef {
	return platform.TaskRef{Worker: t.Worker, Task: t.StartID}
}

func toTaskRefs(list []fleet.WorkerTask) []platform.TaskRef {
	refs := make([]platform.TaskRef, 0, len(list))
	for _, t := range list {
		refs = append(refs, toTaskRef(t))
	}
	return refs
}

func (r *PlatformRunner) watchWorkers(ctx context.Context, a fleet.WatchWorkers) fleet.Event {
	if !sleep(ctx, a.Delay) {
		return nil
	}
	list, err := r.platform.WatchWorkers(ctx, a.DataCentre, a.After, workersWait)
	if err != nil {
		return fleet.WorkersSeen{Term: a.Term, Version: a.After}
	}
	seen := fleet.WorkersSeen{Term: a.Term, OK: true, Version: list.Version}
	for i := range list.Workers {
		seen.Workers = append(seen.Workers, toWorkerReport(&list.Workers[i]))
	}
	return seen
}

func toWorkerReport(w *platform.Worker) machine.WorkerReport {
	report := machine.WorkerReport{
		ID: w.ID, Rack: w.Rack, Sequence: w.Sequence, Gone: w.Gone,
		Capacity: machine.Resources{MilliCores: w.MilliCores, MemoryMB: w.MemoryMB, Accelerators: w.Accelerators},
		Tasks:    make([]machine.TaskReport, 0, len(w.Tasks)),
	}
	for _, t := range w.Tasks {
		report.Tasks = append(report.Tasks, machine.TaskReport{
			StartID: t.ID, State: toReportState(t.State), Checkpoint: t.Checkpoint, Reason: t.Reason,
			Used: machine.Resources{MilliCores: t.MilliCores, MemoryMB: t.MemoryMB},
		})
	}
	return report
}

func toReportState(s platform.TaskState) machine.ReportState {
	switch s {
	case platform.StateDone:
		return machine.ReportDone
	case platform.StateFailed:
		return machine.ReportFailed
	case platform.StateCheckpointed:
		return machine.ReportCheckpointed
	case platform.StateStopped, platform.StateExpired:
		return machine.ReportStopped
	default:
		return machine.ReportRunning
	}
}

func (r *PlatformRunner) startTask(ctx context.Context, a fleet.StartTask) fleet.Event {
	answered := fleet.StartAnswered{Term: a.Term, Task: a.Task.ID, Attempt: a.Task.Attempts}
	if r.clock().After(a.NotAfter) {
		answered.Result, answered.Reason = fleet.StartRefused, "the scheduler's lease has expired"
		return answered
	}
	spec := platform.TaskSpec{
		ID: a.StartID, Team: a.Task.Team, Service: a.Task.Service, Accelerators: a.Task.Declared.Accelerators,
		Checkpoint: a.Task.Checkpoint, Payload: a.Task.Payload,
	}
	sequence, err := r.platform.StartTask(ctx, a.Worker, spec, fleet.TaskTTL)
	answered.Sequence = sequence
	answered.Result = startResult(err)
	if err != nil {
		answered.Reason = err.Error()
	}
	return answered
}

func startResult(err error) fleet.StartResult {
	switch {
	case err == nil, errors.Is(err, platform.ErrTaskExists):
		return fleet.StartDone
	case errors.Is(err, platform.ErrNoWorker):
		return fleet.StartNoWorker
	case errors.Is(err, platform.ErrTaskRefused), errors.Is(err, platform.ErrUnavailable):
		return fleet.StartRefused
	default:
		return fleet.StartUnknown
	}
}
