package invariant

import (
	"fmt"
	"time"
)

// TaskEventKind is the kind of a TaskEvent.
type TaskEventKind string

// Kinds of events of a task trace.
const (
	// TaskAccepted means that a caller was told that the task is accepted.
	TaskAccepted TaskEventKind = "accepted"
	// TaskStarted and TaskEnded are the start and the end of an attempt, as
	// observed at the worker. An attempt also ends when its lease expires.
	TaskStarted TaskEventKind = "started"
	TaskEnded   TaskEventKind = "ended"
	// TaskShown means that a caller was shown a state of the task.
	TaskShown TaskEventKind = "shown"
	// TaskDataCentreOut and TaskDataCentreBack mean that an operator's order to
	// take the data centre out or to bring it back was accepted.
	TaskDataCentreOut  TaskEventKind = "centre out"
	TaskDataCentreBack TaskEventKind = "centre in"
)

// TaskEvent is one event of a trace for TaskChecker.
type TaskEvent struct {
	At   time.Time
	Kind TaskEventKind
	Task string
	Team string
	// Idempotent is set for TaskAccepted and TaskStarted.
	Idempotent bool
	Worker     string
	// State is the state that the worker reports for TaskEnded, such as "done",
	// and the state that the caller was shown for TaskShown.
	State string
}

// TaskViolation is one event that violates a rule of TaskChecker.
type TaskViolation struct {
	Event  TaskEvent
	Reason string
}

// String describes the violation.
func (v TaskViolation) String() string {
	return fmt.Sprintf("%s: task %q %s on worker %q: %s", v.Event.At.Format(time.RFC3339Nano), v.Event.Task, v.Event.Kind, v.Event.Worker, v.Reason)
}

// taskTrace is the state of one task.
type taskTrace struct {
	accepted   bool
	idempotent bool
	starts     int
	// runningOn is the worker of the running attempt, empty for none.
	runningOn string
	// ended holds the states in which attempts ended.
	ended map[string]bool
	// shown is the last state that a caller was shown.
	shown string
}

// TaskChecker checks these rules for the tasks of one data centre:
//
//   - I8: a non-idempotent task starts at most once, over all workers.
//   - A task has at most one running attempt.
//   - I5: no task starts once Grace has passed since the data centre was taken
//     out.
//   - I4: no team has more running tasks than its limit.
//   - No accepted task is lost: the last state that a caller was shown is a final
//     state or "held", and it is "done" only if an attempt ended as done.
//
// A value with only Grace and Limits set is ready for a new trace.
type TaskChecker struct {
	Grace  time.Duration
	Limits map[string]int

	tasks map[string]*taskTrace
	// teams holds the team of each accepted task.
	teams map[string]string
	// running holds the number of running attempts by team.
	running map[string]int
	// outAt is when the data centre was taken out of service, zero while it is in
	// service.
	outAt      time.Time
	violations []TaskViolation
}

// Add checks the next event.
func (c *TaskChecker) Add(e TaskEvent) {
	switch e.Kind {
	case TaskDataCentreOut:
		c.outAt = e.At
	case TaskDataCentreBack:
		c.outAt = time.Time{}
	case TaskAccepted:
		t := c.task(e.Task)
		t.accepted, t.idempotent = true, e.Idempotent
		c.teams[e.Task] = e.Team
	case TaskStarted:
		c.addStart(e)
	case TaskEnded:
		c.addEnd(e)
	case TaskShown:
		c.task(e.Task).shown = e.State
	}
}

// task returns the state of a task. It adds an empty state for an unknown id.
func (c *TaskChecker) task(id string) *taskTrace {
	if c.tasks == nil {
		c.tasks, c.teams, c.running = make(map[string]*taskTrace), make(map[string]string), make(map[string]int)
	}
	if c.tasks[id] == nil {
		c.tasks[id] = &taskTrace{ended: make(map[string]bool)}
	}
	return c.tasks[id]
}

func (c *TaskChecker) addStart(e TaskEvent) {
	t := c.task(e.Task)
	t.starts++
	if !e.Idempotent && t.starts > 1 {
		c.report(e, fmt.Sprintf("start %d of a non-idempotent task", t.starts))
	}
	if t.runningOn != "" {
		c.report(e, "an attempt on worker "+t.runningOn+" has not ended")
	}
	t.runningOn = e.Worker
	if !c.outAt.IsZero() && e.At.Sub(c.outAt) > c.Grace {
		c.report(e, fmt.Sprintf("start %v after the data centre was taken out", e.At.Sub(c.outAt)))
	}
	c.running[e.Team]++
	if limit, ok := c.Limits[e.Team]; ok && c.running[e.Team] > limit {
		c.report(e, fmt.Sprintf("team %s has %d running, limit %d", e.Team, c.running[e.Team], limit))
	}
}

func (c *TaskChecker) addEnd(e TaskEvent) {
	t := c.task(e.Task)
	t.ended[e.State] = true
	if t.runningOn == e.Worker {
		t.runningOn = ""
		c.running[e.Team]--
	}
}

func (c *TaskChecker) report(e TaskEvent, reason string) {
	c.violations = append(c.violations, TaskViolation{e, reason})
}

// Finish ends the trace at a time and returns all violations. The trace must
// contain a TaskShown event with the last state of every accepted task.
func (c *TaskChecker) Finish(at time.Time) []TaskViolation {
	for id, t := range c.tasks {
		e := TaskEvent{At: at, Kind: TaskShown, Task: id, State: t.shown}
		if !t.accepted {
			continue
		}
		switch t.shown {
		case "done":
			if !t.ended["done"] {
				c.report(e, "shown as done although no attempt ended as done")
			}
		case "failed", "held", "cancelled", "unknown":
		default:
			c.report(e, "accepted and lost: shown as "+fmt.Sprintf("%q", t.shown))
		}
	}
	return c.violations
}
