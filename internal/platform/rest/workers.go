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

// WorkerCall holds the fields of a Call that concern workers.
type WorkerCall struct {
	DataCentre string             `json:"datacentre,omitempty"`
	Tasks      []platform.TaskRef `json:"tasks,omitempty"`
	Spec       *platform.TaskSpec `json:"spec,omitempty"`
	MilliCores int64              `json:"millicores,omitempty"`
}

// WorkerAnswer holds the fields of an Answer that concern workers.
type WorkerAnswer struct {
	Sequence   uint64               `json:"sequence,omitempty"`
	Checkpoint string               `json:"checkpoint,omitempty"`
	List       *platform.WorkerList `json:"list,omitempty"`
}

// Values of Answer.Error for calls about workers.
const (
	ErrorTaskExists  = "task-exists"
	ErrorTaskRefused = "task-refused"
	ErrorNoWorker    = "no-worker"
)

func init() {
	errorsByCode[ErrorTaskExists] = platform.ErrTaskExists
	errorsByCode[ErrorTaskRefused] = platform.ErrTaskRefused
	errorsByCode[ErrorNoWorker] = platform.ErrNoWorker
}

func (c *Client) callWorkers(ctx context.Context, path string, request Call) (WorkerAnswer, error) {
	response, err := c.call(ctx, path, request)
	if err != nil || response.Worker == nil {
		return WorkerAnswer{}, err
	}
	return *response.Worker, nil
}

// WatchWorkers implements platform.Workers.
func (c *Client) WatchWorkers(ctx context.Context, dataCentre string, after uint64, wait time.Duration) (platform.WorkerList, error) {
	request := Call{After: after, WaitMS: wait.Milliseconds(), Worker: &WorkerCall{DataCentre: dataCentre}}
	response, err := c.callWorkers(ctx, PathWorkers, request)
	if err != nil {
		return platform.WorkerList{}, err
	}
	if response.List == nil {
		return platform.WorkerList{}, platform.ErrUnknown
	}
	return *response.List, nil
}

// StartTask implements platform.Workers.
func (c *Client) StartTask(ctx context.Context, worker string, spec platform.TaskSpec, ttl time.Duration) (uint64, error) {
	refs := []platform.TaskRef{{Worker: worker, Task: spec.ID}}
	response, err := c.callWorkers(ctx, PathStart, Call{TTLMS: ttl.Milliseconds(), Worker: &WorkerCall{Tasks: refs, Spec: &spec}})
	return response.Sequence, err
}

// RenewTasks implements platform.Workers.
func (c *Client) RenewTasks(ctx context.Context, tasks []platform.TaskRef, ttl time.Duration) error {
	_, err := c.callWorkers(ctx, PathRenew, Call{TTLMS: ttl.Milliseconds(), Worker: &WorkerCall{Tasks: tasks}})
	return err
}

// CheckpointTask implements platform.Workers.
func (c *Client) CheckpointTask(ctx context.Context, ref platform.TaskRef) (string, error) {
	response, err := c.callWorkers(ctx, PathCheckpoint, Call{Worker: &WorkerCall{Tasks: []platform.TaskRef{ref}}})
	return response.Checkpoint, err
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
