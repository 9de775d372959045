package machine

import (
	"slices"
	"time"
)

// TaskPhase is the state of a task, as callers read it too.
type TaskPhase string

// Phases of a task.
const (
	TaskQueued TaskPhase = "queued"
	// TaskRunning means that a start is recorded. The worker may not have
	// confirmed it yet.
	TaskRunning TaskPhase = "running"
	TaskDone    TaskPhase = "done"
	TaskFailed  TaskPhase = "failed"
	// TaskHeld means that the task failed on HoldAfter distinct workers, or on
	// every worker, and waits for its owner.
	TaskHeld      TaskPhase = "held"
	TaskCancelled TaskPhase = "cancelled"
	// TaskUnknown means that a non-idempotent task may have run and that its
	// worker can no longer be queried. The task is never started again.
	TaskUnknown TaskPhase = "unknown"
)

// HoldAfter is the number of distinct workers on which a task fails before it
// is held.
const HoldAfter = 3

// Task is one unit of queued work. The scheduler of its data centre owns it.
type Task struct {
	ID      string `json:"id"`
	Team    string `json:"team"`
	Service string `json:"service"`
	// Declared is the size that the caller declares. It is often wrong by a
	// large factor.
	Declared Resources `json:"declared"`
	// Connections is the number of connections that the task opens.
	Connections int  `json:"connections,omitempty"`
	Urgent      bool `json:"urgent,omitempty"`
	// Idempotent tasks may run more than once.
	Idempotent bool `json:"idempotent,omitempty"`
	// Checkpoints means that the task can save its progress and resume from it
	// on another worker. It applies only to idempotent tasks, since resuming on
	// another worker is a second start.
	Checkpoints bool      `json:"checkpoints,omitempty"`
	Payload     []byte    `json:"payload,omitempty"`
	SubmittedAt time.Time `json:"submitted_at"`

	Phase TaskPhase `json:"phase"`
	// Worker is the worker on which the task runs or last ran.
	Worker   string `json:"worker,omitempty"`
	Attempts int    `json:"attempts,omitempty"`
	// Checkpoint names the saved progress, empty for none.
	Checkpoint string `json:"checkpoint,omitempty"`
	// FailedOn lists the distinct workers on which the task failed.
	FailedOn []string `json:"failed_on,omitempty"`
	// Reason explains the phases failed, held and unknown.
	Reason string `json:"reason,omitempty"`
	// EndedAt is when the task reached a final phase.
	EndedAt time.Time `json:"ended_at,omitzero"`

	// startUnresolved means that a start may have been sent and its result is
	// not known.
	startUnresolved bool
}

// Final reports whether the phase of the task will never change again.
func (t *Task) Final() bool {
	switch t.Phase {
	case TaskQueued, TaskRunning, TaskHeld:
		return false
	}
	return true
}

// StartUnresolved reports whether the result of the current start is not known.
func (t *Task) StartUnresolved() bool { return t.startUnresolved }

// Assign records the next start, on the given worker. The record must be stored
// before the start is sent. It returns false if the task is not queued.
func (t *Task) Assign(worker string) bool {
	if t.Phase != TaskQueued {
		return false
	}
	t.Phase, t.Worker = TaskRunning, worker
	t.Attempts++
	t.startUnresolved = false
	return true
}

// MarkStartUnresolved records that the start was not answered and may have
// reached the worker.
func (t *Task) MarkStartUnresolved() { t.startUnresolved = true }

// ConfirmStart records that the worker runs or ran the current attempt.
func (t *Task) ConfirmStart() { t.startUnresolved = false }

// RefuseStart records that the worker refused the start, and requeues the task.
// It returns false and changes nothing while an earlier start of the same
// attempt is unresolved, since that one may still arrive at the worker.
func (t *Task) RefuseStart() bool {
	if t.Phase != TaskRunning || t.startUnresolved {
		return false
	}
	t.requeue()
	return true
}

func (t *Task) requeue() {
	t.Phase, t.Worker, t.startUnresolved = TaskQueued, "", false
}

func (t *Task) end(p TaskPhase, reason string, now time.Time) {
	t.Phase, t.Reason, t.EndedAt, t.startUnresolved = p, reason, now, false
}

// Succeed records the worker's report that the task is done.
func (t *Task) Succeed(now time.Time) {
	if t.Phase == TaskRunning {
		t.end(TaskDone, "", now)
	}
}

// Fail records the worker's report that the task ran and failed.
func (t *Task) Fail(reason string, now time.Time) {
	if t.Phase != TaskRunning {
		return
	}
	if !slices.Contains(t.FailedOn, t.Worker) {
		t.FailedOn = append(t.FailedOn, t.Worker)
	}
	switch {
	case !t.Idempotent:
		t.end(TaskFailed, reason, now)
	case len(t.FailedOn) >= HoldAfter:
		t.Phase, t.Reason, t.startUnresolved = TaskHeld, "failed on 3 distinct workers, last: "+reason, false
	default:
		t.requeue()
	}
}

// Interrupt records the end of an attempt that saved checkpoint, or that was
// stopped if checkpoint is empty. It requeues an idempotent task; only these
// are interrupted on purpose.
func (t *Task) Interrupt(checkpoint string, now time.Time) {
	if t.Phase != TaskRunning {
		return
	}
	if !t.Idempotent {
		t.end(TaskFailed, "stopped by the platform", now)
		return
	}
	if checkpoint != "" {
		t.Checkpoint = checkpoint
	}
	t.requeue()
}

// ExpireLease records that the task's lease has expired on a worker that cannot
// be queried. A non-idempotent task ends as unknown, an idempotent one is
// requeued.
func (t *Task) ExpireLease(reason string, now time.Time) {
	if t.Phase != TaskRunning {
		return
	}
	if !t.Idempotent {
		t.end(TaskUnknown, reason, now)
		return
	}
	t.requeue()
}

// Refuse ends a queued task that can never run.
func (t *Task) Refuse(reason string, now time.Time) {
	if t.Phase == TaskQueued {
		t.end(TaskFailed, reason, now)
	}
}

// Hold holds a queued task until its owner acts.
func (t *Task) Hold(reason string) {
	if t.Phase == TaskQueued {
		t.Phase, t.Reason = TaskHeld, reason
	}
}

// Cancel ends the task. It returns the worker that must be told to stop it,
// empty if the task was not running, and false if the task had already ended.
func (t *Task) Cancel(now time.Time) (worker string, ok bool) {
	if t.Final() {
		return "", false
	}
	if t.Phase == TaskRunning {
		worker = t.Worker
	}
	t.end(TaskCancelled, "cancelled by its team", now)
	return worker, true
}

// MarkRecovered must be called on a task that a new scheduler has read from
// storage. A recorded start counts as unresolved, since it may or may not have
// been sent.
func (t *Task) MarkRecovered() { t.startUnresolved = t.Phase == TaskRunning }
