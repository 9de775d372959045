package platform

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Errors of workers.
var (
	// ErrTaskExists means that this call started nothing, because the worker runs
	// or has run the task of an earlier start with the same id.
	ErrTaskExists = errors.New("task id was started on this worker before")
	// ErrTaskRefused means that the worker did not start the task.
	ErrTaskRefused = errors.New("worker refused the task")
	// ErrNoWorker means that the worker is not registered with the platform.
	ErrNoWorker = errors.New("no such worker")
)

// TaskSpec describes a task that a worker is to start.
type TaskSpec struct {
	// ID identifies one start of a task. A worker starts an id at most once, so
	// a start that is repeated with the same id runs the task only once.
	ID           string `json:"id"`
	Team         string `json:"team"`
	Service      string `json:"service"`
	Accelerators int64  `json:"accelerators,omitempty"`
	// Checkpoint names the checkpoint from which the task resumes. It is empty for
	// a task that starts from the beginning.
	Checkpoint string `json:"checkpoint,omitempty"`
	Payload    []byte `json:"payload,omitempty"`
}

// TaskState is the state of a task on its worker.
type TaskState string

// States of a task on its worker.
const (
	StateRunning      TaskState = "running"
	StateDone         TaskState = "done"
	StateFailed       TaskState = "failed"
	StateCheckpointed TaskState = "checkpointed"
	StateStopped      TaskState = "stopped"
	// StateExpired means that the task's lease expired and the worker stopped the
	// task.
	StateExpired TaskState = "lapsed"
)

// TaskReport is one task in a worker's report. A worker reports a task for at
// least 10 minutes after its end.
type TaskReport struct {
	ID         string    `json:"id"`
	State      TaskState `json:"state"`
	MilliCores int64     `json:"millicores,omitempty"`
	MemoryMB   int64     `json:"memory_mb,omitempty"`
	Checkpoint string    `json:"checkpoint,omitempty"`
	Reason     string    `json:"reason,omitempty"`
}

// Worker is the report of one worker: its capacity and the tasks on it.
type Worker struct {
	ID           string `json:"id"`
	DataCentre   string `json:"datacentre"`
	Rack         string `json:"rack"`
	MilliCores   int64  `json:"millicores"`
	MemoryMB     int64  `json:"memory_mb"`
	Accelerators int64  `json:"accelerators,omitempty"`
	// Sequence grows with every start and end of a task. A report whose sequence
	// is at least the one that StartTask returned includes that task.
	Sequence uint64       `json:"sequence"`
	Tasks    []TaskReport `json:"tasks,omitempty"`
	// Gone means that the worker was removed from the list.
	Gone bool `json:"gone,omitempty"`
}

// WorkerList holds the workers whose report changed after the requested
// version, or all workers when that version was 0. Reports lag behind the state
// of the workers.
type WorkerList struct {
	Version uint64   `json:"version"`
	Workers []Worker `json:"workers"`
}

// TaskRef names a task on a worker.
type TaskRef struct {
	Worker string `json:"worker"`
	Task   string `json:"task"`
}

// Workers is the platform's interface to the workers, the machines that run
// tasks.
type Workers interface {
	// WatchWorkers returns the workers of a data centre whose report has changed
	// since lastVersion. It returns as soon as there is one, or an empty list when
	// wait has passed. If lastVersion is 0, it returns all workers.
	WatchWorkers(ctx context.Context, dataCentre string, lastVersion uint64, wait time.Duration) (WorkerList, error)
	// StartTask starts a task under a lease that expires when it is not renewed
	// for ttl. It returns the worker's sequence after the start. ErrTaskExists
	// means that the id was started on the worker before. After ErrTaskRefused,
	// ErrNoWorker or ErrUnavailable this call has started nothing.
	StartTask(ctx context.Context, worker string, spec TaskSpec, ttl time.Duration) (uint64, error)
	// RenewTasks renews the leases of running tasks in one call, so that they
	// expire ttl from now. It ignores tasks that are not running.
	RenewTasks(ctx context.Context, tasks []TaskRef, ttl time.Duration) error
	// CheckpointTask saves a checkpoint of a task, stops the task and returns the
	// name of the checkpoint.
	CheckpointTask(ctx context.Context, ref TaskRef) (string, error)
	// ThrottleTask limits a task to milliCores thousandths of a core. Zero removes
	// the limit.
	ThrottleTask(ctx context.Context, ref TaskRef, milliCores int64) error
	// StopTasks stops tasks in one call. A stopped id cannot be started on its
	// worker afterwards, even if it had not been started before.
	StopTasks(ctx context.Context, refs []TaskRef) error
}
