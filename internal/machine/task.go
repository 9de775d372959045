package machine

import (
	"slices"
	"time"
)

// TaskPhase is the state of a task. These are the states that a caller sees.
type TaskPhase string

// Phases of a task.
const (
	TaskQueued TaskPhase = "queued"
	// TaskRunning means that a start is recorded. The worker may not have
	// confirmed it yet.
	TaskRunning TaskPhase = "running"
	TaskDone    TaskPhase = "done"
	TaskFailed  TaskPhase = "failed"
	// TaskHeld means that the task failed on HoldAfter distinct workers and
	// waits for its owner.
	TaskHeld      TaskPhase = "held"
	TaskCancelled TaskPhase = "cancelled"
	// TaskUnknown means that a non-idempotent task may have run and its worker
	// cannot be asked any more. It is never started again.
	TaskUnknown TaskPhase = "unknown"
)

// HoldAfter is the number of distinct workers on which a task may fail.
const HoldAfter = 3

// Task is one unit of queued work. It is owned by the scheduler of its data
// centre.
type Task struct {
	ID      string `json:"id"`
	Team    string `json:"team"`
	Service string `json:"service"`
	// Declared is what the caller says the task uses. It is far off.
	Declared Resources `json:"declared"`
	// Connections is the number of connections that the task opens.
	Connections int  `json:"connections,omitempty"`
	Urgent      bool `json:"urgent,omitempty"`
	// Idempotent tasks may run more than once.
	Idempotent bool `json:"idempotent,omitempty"`
	// Checkpoints means that the task can save its progress and go on from it
	// on another worker. It has an effect on idempotent tasks only: going on
	// elsewhere is a second start.
	Checkpoints bool      `json:"checkpoints,omitempty"`
	Payload     []byte    `json:"payload,omitempty"`
	SubmittedAt time.Time `json:"submitted_at"`

	Phase TaskPhase `json:"phase"`
	// Worker is where the task runs or ran last.
	Worker   string `json:"worker,omitempty"`
	Attempts int    `json:"attempts,omitempty"`
	// Checkpoint names the saved progress, empty for none.
	Checkpoint string `json:"checkpoint,omitempty"`
	// FailedOn are the distinct workers on which the task failed.
	FailedOn []string `json:"failed_on,omitempty"`
	// Reason explains failed, held and unknown.
	Reason string `json:"reason,omitempty"`
	// EndedAt is when the task reached a final phase.
	EndedAt time.Time `json:"ended_at,omitzero"`

	// unsure means that a start may have been sent whose answer is not known.
	unsure bool
}

// Final reports whether the task will not change any more.
func (t *Task) Final() bool {
	switch t.Phase {
	case TaskQueued, TaskRunning, TaskHeld:
		return false
	}
	return true
}

// Unsure reports whether the start of the current attempt is unresolved.
func (t *Task) Unsure() bool { return t.unsure }

// Assign records the next start, on the given worker. It must be stored before
// the start is sent. It reports false when the task may not start.
func (t *Task) Assign(worker string) bool {
	if t.Phase != TaskQueued {
		return false
	}
	t.Phase, t.Worker = TaskRunning, worker
	t.Attempts++
	t.unsure = false
	return true
}

// AnswerLost notes that the start may have reached the worker.
func (t *Task) AnswerLost() { t.unsure = true }

// Confirm notes that the worker runs or ran the current attempt.
func (t *Task) Confirm() { t.unsure = false }

// NotStarted takes the worker's refusal of the start. While an earlier start of
// the same attempt is unresolved it may still arrive at the worker, so that the
// task stays with that worker; the result is false then.
func (t *Task) NotStarted() bool {
	if t.Phase != TaskRunning || t.unsure {
		return false
	}
	t.requeue()
	return true
}

func (t *Task) requeue() {
	t.Phase, t.Worker, t.unsure = TaskQueued, "", false
}

func (t *Task) end(p TaskPhase, reason string, now time.Time) {
	t.Phase, t.Reason, t.EndedAt, t.unsure = p, reason, now, false
}

// Succeed takes the worker's report that the task is done.
func (t *Task) Succeed(now time.Time) {
	if t.Phase == TaskRunning {
		t.end(TaskDone, "", now)
	}
}

// Fail takes the worker's report that the task ran and failed.
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
		t.Phase, t.Reason, t.unsure = TaskHeld, "failed on 3 distinct workers, last: "+reason, false
	default:
		t.requeue()
	}
}

// Interrupt takes the end of an attempt that saved checkpoint, or that was
// stopped when checkpoint is empty. Only idempotent tasks are interrupted.
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

// Lose takes the certain end of the task's lease on a worker that cannot be
// asked. A non-idempotent task ends as unknown.
func (t *Task) Lose(reason string, now time.Time) {
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

// Hold keeps a queued task for its owner.
func (t *Task) Hold(reason string) {
	if t.Phase == TaskQueued {
		t.Phase, t.Reason = TaskHeld, reason
	}
}

// Cancel ends the task. It returns the worker that must be told to stop it,
// empty when the task was not started, and false when the task has ended.
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

// Recovered is called on a task that was read from storage by a new scheduler.
// A recorded start may or may not have been sent.
func (t *Task) Recovered() { t.unsure = t.Phase == TaskRunning }
