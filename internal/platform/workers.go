package platform

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Errors of workers.
var (
	// ErrTaskExists means that the worker was given a task with this id before.
	// It runs, or ran, that start and no other.
	ErrTaskExists = errors.New("task id was started on this worker before")
	// ErrTaskRefused means that the worker did not start the task.
	ErrTaskRefused = errors.New("worker refused the task")
	// ErrNoWorker means that the platform does not know the worker.
	ErrNoWorker = errors.New("no such worker")
)

// TaskSpec is what a worker needs to start a task.
type TaskSpec struct {
	// ID is unique for each start that must be told apart. A worker starts an
	// id at most once, ever.
	ID           string `json:"id"`
	Team         string `json:"team"`
	Service      string `json:"service"`
	Accelerators int64  `json:"accelerators,omitempty"`
	// Checkpoint names saved progress to go on from, empty for none.
	Checkpoint string `json:"checkpoint,omitempty"`
	Payload    []byte `json:"payload,omitempty"`
}

// TaskState is the state of a task at its worker.
type TaskState string

// States of a task at its worker.
const (
	StateRunning      TaskState = "running"
	StateDone         TaskState = "done"
	StateFailed       TaskState = "failed"
	StateCheckpointed TaskState = "checkpointed"
	StateStopped      TaskState = "stopped"
	// StateLapsed means that the lease ended and the worker stopped the task.
	StateLapsed TaskState = "lapsed"
)

// TaskReport is one task in a worker's report. Ended tasks are reported for at
// least 10 minutes.
type TaskReport struct {
	ID         string    `json:"id"`
	State      TaskState `json:"state"`
	MilliCores int64     `json:"millicores,omitempty"`
	MemoryMB   int64     `json:"memory_mb,omitempty"`
	Checkpoint string    `json:"checkpoint,omitempty"`
	Reason     string    `json:"reason,omitempty"`
}

// Worker is one worker with its reported usage.
type Worker struct {
	ID           string `json:"id"`
	DataCentre   string `json:"datacentre"`
	Rack         string `json:"rack"`
	MilliCores   int64  `json:"millicores"`
	MemoryMB     int64  `json:"memory_mb"`
	Accelerators int64  `json:"accelerators,omitempty"`
	// Sequence grows with every start and end of a task. A report with the
	// sequence of a start's answer, or a higher one, names that task.
	Sequence uint64       `json:"sequence"`
	Tasks    []TaskReport `json:"tasks,omitempty"`
	// Gone means that the worker left the list.
	Gone bool `json:"gone,omitempty"`
}

// WorkerList holds the workers whose report changed after a version; all of
// them when that version was 0. Reports lag behind the workers.
type WorkerList struct {
	Version uint64   `json:"version"`
	Workers []Worker `json:"workers"`
}

// TaskRef names a task on a worker.
type TaskRef struct {
	Worker string `json:"worker"`
	Task   string `json:"task"`
}

// Workers is the platform's interface to the machines that run tasks.
type Workers interface {
	// WatchWorkers returns the workers of a data centre that changed after the
	// version, as soon as there are any or when wait has passed.
	WatchWorkers(ctx context.Context, dataCentre string, after uint64, wait time.Duration) (WorkerList, error)
	// StartTask starts a task under a lease that ends when it is not renewed
	// for ttl. It returns the sequence of the worker after the start. With
	// ErrTaskExists the id was started there before; with ErrTaskRefused,
	// ErrNoWorker or ErrUnavailable this call started nothing.
	StartTask(ctx context.Context, worker string, spec TaskSpec, ttl time.Duration) (uint64, error)
	// RenewTasks renews the leases of running tasks for ttl from now, in one
	// call. Tasks that do not run are ignored.
	RenewTasks(ctx context.Context, tasks []TaskRef, ttl time.Duration) error
	// CheckpointTask saves a task's progress, ends it and returns the name of
	// the checkpoint.
	CheckpointTask(ctx context.Context, ref TaskRef) (string, error)
	// ThrottleTask caps the cores of a task; 0 lifts the cap.
	ThrottleTask(ctx context.Context, ref TaskRef, milliCores int64) error
	// StopTasks ends tasks, in one call. A stopped id cannot be started on its
	// worker afterwards, even when it was not started before.
	StopTasks(ctx context.Context, refs []TaskRef) error
}
