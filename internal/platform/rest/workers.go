package rest

import (
	"context"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/platform"
)

// Paths of the calls about workers.
const (
	PathWatchWorkers   = "/v1/workers/watch"
	PathStartTask      = "/v1/task/start"
	PathRenewTasks     = "/v1/task/renew"
	PathCheckpointTask = "/v1/task/checkpoint"
	PathThrottleTask   = "/v1/task/throttle"
	PathStopTasks      = "/v1/task/stop"
)

// WorkerRequest holds the fields of a Request that concern workers.
type WorkerRequest struct {
	DataCentre string             `json:"datacentre,omitempty"`
	Tasks      []platform.TaskRef `json:"tasks,omitempty"`
	Spec       *platform.TaskSpec `json:"spec,omitempty"`
	MilliCores int64              `json:"millicores,omitempty"`
}

// WorkerResponse holds the fields of a Response that concern workers.
type WorkerResponse struct {
	Sequence   uint64               `json:"sequence,omitempty"`
	Checkpoint string               `json:"checkpoint,omitempty"`
	List       *platform.WorkerList `json:"list,omitempty"`
}

// Values of Response.Error for calls about workers.
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

func (c *Client) callWorkers(ctx context.Context, path string, request Request) (WorkerResponse, error) {
	response, err := c.call(ctx, path, request)
	if err != nil || response.Worker == nil {
		return WorkerResponse{}, err
	}
	return *response.Worker, nil
}

// WatchWorkers implements platform.Workers.
func (c *Client) WatchWorkers(ctx context.Context, dataCentre string, lastVersion uint64, wait time.Duration) (platform.WorkerList, error) {
	request := Request{After: lastVersion, WaitMS: wait.Milliseconds(), Worker: &WorkerRequest{DataCentre: dataCentre}}
	response, err := c.callWorkers(ctx, PathWatchWorkers, request)
	if err != nil {
		return platform.WorkerList{}, err
	}
	if response.List == nil {
		return platform.WorkerList{}, platform.ErrOutcomeUnknown
	}
	return *response.List, nil
}

// StartTask implements platform.Workers. It returns the worker's sequence after
// the start.
func (c *Client) StartTask(ctx context.Context, worker string, spec platform.TaskSpec, ttl time.Duration) (uint64, error) {
	refs := []platform.TaskRef{{Worker: worker, Task: spec.ID}}
	response, err := c.callWorkers(ctx, PathStartTask, Request{TTLMS: ttl.Milliseconds(), Worker: &WorkerRequest{Tasks: refs, Spec: &spec}})
	return response.Sequence, err
}

// RenewTasks implements platform.Workers.
func (c *Client) RenewTasks(ctx context.Context, tasks []platform.TaskRef, ttl time.Duration) error {
	_, err := c.callWorkers(ctx, PathRenewTasks, Request{TTLMS: ttl.Milliseconds(), Worker: &WorkerRequest{Tasks: tasks}})
	return err
}

// CheckpointTask implements platform.Workers. It returns the name of the
// checkpoint.
func (c *Client) CheckpointTask(ctx context.Context, ref platform.TaskRef) (string, error) {
	response, err := c.callWorkers(ctx, PathCheckpointTask, Request{Worker: &WorkerRequest{Tasks: []platform.TaskRef{ref}}})
	return response.Checkpoint, err
}

// ThrottleTask implements platform.Workers.
func (c *Client) ThrottleTask(ctx context.Context, ref platform.TaskRef, milliCores int64) error {
	_, err := c.callWorkers(ctx, PathThrottleTask, Request{Worker: &WorkerRequest{Tasks: []platform.TaskRef{ref}, MilliCores: milliCores}})
	return err
}

// StopTasks implements platform.Workers.
func (c *Client) StopTasks(ctx context.Context, refs []platform.TaskRef) error {
	_, err := c.callWorkers(ctx, PathStopTasks, Request{Worker: &WorkerRequest{Tasks: refs}})
	return err
}
