package proof

import (
	"fmt"
	"time"
)

// TaskEventKind is what happened to a task.
type TaskEventKind string

// Kinds of events of a task trace.
const (
	// TaskAccepted means that a caller was told so.
	TaskAccepted TaskEventKind = "accepted"
	// TaskStarted and TaskEnded are as the worker sees them. Ended covers every
	// end of an attempt, a lapsed lease too.
	TaskStarted TaskEventKind = "started"
	TaskEnded   TaskEventKind = "ended"
	// TaskShown is a state that a caller was shown.
	TaskShown TaskEventKind = "shown"
	// TaskCentreOut and TaskCentreIn are accepted orders of operators.
	TaskCentreOut TaskEventKind = "centre out"
	TaskCentreIn  TaskEventKind = "centre in"
)

// TaskEvent is one event of a trace, in the order of time.
type TaskEvent struct {
	At   time.Time
	Kind TaskEventKind
	Task string
	Team string
	// Idempotent is set for TaskAccepted.
	Idempotent bool
	Worker     string
	// State is what the worker reports for TaskEnded, such as "done", and what
	// the caller was shown for TaskShown.
	State string
}

// TaskViolation is one moment at which a rule did not hold.
type TaskViolation struct {
	Event  TaskEvent
	Reason string
}

// String describes the violation.
func (v TaskViolation) String() string {
	return fmt.Sprintf("%s: task %q %s on worker %q: %s", v.Event.At.Format(time.RFC3339Nano), v.Event.Task, v.Event.Kind, v.Event.Worker, v.Reason)
}

// taskTrace is the trace of one task so far.
type taskTrace struct {
	accepted   bool
	idempotent bool
	starts     int
	// runningOn is the worker of the attempt that has not ended, empty for
	// none.
	runningOn string
	ended     map[string]bool
	shown     string
}

// TaskChecker watches a trace of the tasks of one data centre for these rules:
//
//   - I8: a non-idempotent task starts at most once, on all workers together.
//   - An idempotent task has at most one running attempt.
//   - I5: nothing starts later than Grace after the data centre was taken out.
//   - I4: no team has more than its limit running.
//   - An accepted task is not lost: at the end of the trace a caller sees a
//     final state or "held", and "done" only when a worker was done.
type TaskChecker struct {
	Grace  time.Duration
	Limits map[string]int

	tasks      map[string]*taskTrace
	teams      map[string]string
	running    map[string]int
	outAt      time.Time
	violations []TaskViolation
}

// Take takes the next event.
func (c *TaskChecker) Take(e TaskEvent) {
	switch e.Kind {
	case TaskCentreOut:
		c.outAt = e.At
	case TaskCentreIn:
		c.outAt = time.Time{}
	case TaskAccepted:
		t := c.task(e.Task)
		t.accepted, t.idempotent = true, e.Idempotent
		c.teams[e.Task] = e.Team
	case TaskStarted:
		c.started(e)
	case TaskEnded:
		c.ended(e)
	case TaskShown:
		c.task(e.Task).shown = e.State
	}
}

func (c *TaskChecker) task(id string) *taskTrace {
	if c.tasks == nil {
		c.tasks, c.teams, c.running = make(map[string]*taskTrace), make(map[string]string), make(map[string]int)
	}
	if c.tasks[id] == nil {
		c.tasks[id] = &taskTrace{ended: make(map[string]bool)}
	}
	return c.tasks[id]
}

func (c *TaskChecker) started(e TaskEvent) {
	t := c.task(e.Task)
	t.starts++
	if !e.Idempotent && t.starts > 1 {
		c.violate(e, fmt.Sprintf("start %d of a non-idempotent task", t.starts))
	}
	if t.runningOn != "" {
		c.violate(e, "an attempt on worker "+t.runningOn+" has not ended")
	}
	t.runningOn = e.Worker
	if !c.outAt.IsZero() && e.At.Sub(c.outAt) > c.Grace {
		c.violate(e, fmt.Sprintf("start %v after the data centre was taken out", e.At.Sub(c.outAt)))
	}
	c.running[e.Team]++
	if limit, ok := c.Limits[e.Team]; ok && c.running[e.Team] > limit {
		c.violate(e, fmt.Sprintf("team %s has %d running, limit %d", e.Team, c.running[e.Team], limit))
	}
}

func (c *TaskChecker) ended(e TaskEvent) {
	t := c.task(e.Task)
	t.ended[e.State] = true
	if t.runningOn == e.Worker {
		t.runningOn = ""
		c.running[e.Team]--
	}
}

func (c *TaskChecker) violate(e TaskEvent, reason string) {
	c.violations = append(c.violations, TaskViolation{e, reason})
}

// Finish ends the trace and returns all violations. Every accepted task must
// have been shown in its last state before.
func (c *TaskChecker) Finish(at time.Time) []TaskViolation {
	for id, t := range c.tasks {
		e := TaskEvent{At: at, Kind: TaskShown, Task: id, State: t.shown}
		if !t.accepted {
			continue
		}
		switch t.shown {
		case "done":
			if !t.ended["done"] {
				c.violate(e, "shown as done although no worker was done")
			}
		case "failed", "held", "cancelled", "unknown":
		default:
			c.violate(e, "accepted and lost: shown as "+fmt.Sprintf("%q", t.shown))
		}
	}
	return c.violations
}
