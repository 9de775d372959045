package rest

import (
	"context"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/platform"
)

// Paths of the calls about workers.
const (
	PathWorkers    = "/v1/workers/watch"
	PathStart      = "/v1/task/start"
	PathRenew      = "/v1/task/renew"
	PathCheckpoint = "/v1/task/checkpoint"
	PathThrottle   = "/v1/task/throttle"
	PathStop       = "/v1/task/stop"
)

// WorkerCall is the part of a Call that concerns workers.
type WorkerCall struct {
	DataCentre string             `json:"datacentre,omitempty"`
	Tasks      []platform.TaskRef `json:"tasks,omitempty"`
	Spec       *platform.TaskSpec `json:"spec,omitempty"`
	MilliCores int64              `json:"millicores,omitempty"`
}

// WorkerAnswer is the part of an Answer that concerns workers.
type WorkerAnswer struct {
	Sequence   uint64               `json:"sequence,omitempty"`
	Checkpoint string               `json:"checkpoint,omitempty"`
	List       *platform.WorkerList `json:"list,omitempty"`
}

// Values of Answer.Error for workers.
const (
	ErrorTaskExists  = "task-exists"
	ErrorTaskRefused = "task-refused"
	ErrorNoWorker    = "no-worker"
)

func init() {
	errorsByName[ErrorTaskExists] = platform.ErrTaskExists
	errorsByName[ErrorTaskRefused] = platform.ErrTaskRefused
	errorsByName[ErrorNoWorker] = platform.ErrNoWorker
}

func (c *Client) callWorkers(ctx context.Context, path string, call Call) (WorkerAnswer, error) {
	answer, err := c.call(ctx, path, call)
	if err != nil || answer.Worker == nil {
		return WorkerAnswer{}, err
	}
	return *answer.Worker, nil
}

// WatchWorkers implements platform.Workers.
func (c *Client) WatchWorkers(ctx context.Context, dataCentre string, after uint64, wait time.Duration) (platform.WorkerList, error) {
	call := Call{After: after, WaitMS: wait.Milliseconds(), Worker: &WorkerCall{DataCentre: dataCentre}}
	answer, err := c.callWorkers(ctx, PathWorkers, call)
	if err != nil {
		return platform.WorkerList{}, err
	}
	if answer.List == nil {
		return platform.WorkerList{}, platform.ErrUnknown
	}
	return *answer.List, nil
}

// StartTask implements platform.Workers.
func (c *Client) StartTask(ctx context.Context, worker string, spec platform.TaskSpec, ttl time.Duration) (uint64, error) {
	refs := []platform.TaskRef{{Worker: worker, Task: spec.ID}}
	answer, err := c.callWorkers(ctx, PathStart, Call{TTLMS: ttl.Milliseconds(), Worker: &WorkerCall{Tasks: refs, Spec: &spec}})
	return answer.Sequence, err
}

// RenewTasks implements platform.Workers.
func (c *Client) RenewTasks(ctx context.Context, tasks []platform.TaskRef, ttl time.Duration) error {
	_, err := c.callWorkers(ctx, PathRenew, Call{TTLMS: ttl.Milliseconds(), Worker: &WorkerCall{Tasks: tasks}})
	return err
}

// CheckpointTask implements platform.Workers.
func (c *Client) CheckpointTask(ctx context.Context, ref platform.TaskRef) (string, error) {
	answer, err := c.callWorkers(ctx, PathCheckpoint, Call{Worker: &WorkerCall{Tasks: []platform.TaskRef{ref}}})
	return answer.Checkpoint, err
}

// ThrottleTask implements platform.Workers.
func (c *Client) ThrottleTask(ctx context.Context, ref platform.TaskRef, milliCores int64) error {
	_, err := c.callWorkers(ctx, PathThrottle, Call{Worker: &WorkerCall{Tasks: []platform.TaskRef{ref}, MilliCores: milliCores}})
	return err
}

// StopTasks implements platform.Workers.
func (c *Client) StopTasks(ctx context.Context, refs []platform.TaskRef) error {
	_, err := c.callWorkers(ctx, PathStop, Call{Worker: &WorkerCall{Tasks: refs}})
	return err
}
