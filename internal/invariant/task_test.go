package invariant

import (
	"strings"
	"testing"
	"time"
)

func secondsAt(seconds float64) time.Time {
	return time.Unix(0, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// TestTaskCheckerFindsViolations guards against a checker of task rules that
// accepts violating traces or rejects correct ones.
func TestTaskCheckerFindsViolations(t *testing.T) {
	accepted := TaskEvent{At: secondsAt(0), Kind: TaskAccepted, Task: "a", Team: "x"}
	idempotent := TaskEvent{At: secondsAt(0), Kind: TaskAccepted, Task: "a", Team: "x", Idempotent: true}
	start := func(s float64, task, worker string, idempotent bool) TaskEvent {
		return TaskEvent{At: secondsAt(s), Kind: TaskStarted, Task: task, Team: "x", Worker: worker, Idempotent: idempotent}
	}
	end := func(s float64, worker, state string) TaskEvent {
		return TaskEvent{At: secondsAt(s), Kind: TaskEnded, Task: "a", Team: "x", Worker: worker, State: state}
	}
	shown := func(state string) TaskEvent {
		return TaskEvent{At: secondsAt(9), Kind: TaskShown, Task: "a", State: state}
	}
	out := TaskEvent{At: secondsAt(1), Kind: TaskDataCentreOut}
	back := TaskEvent{At: secondsAt(6), Kind: TaskDataCentreBack}
	cases := []struct {
		name  string
		trace []TaskEvent
		want  string
	}{
		{"right", []TaskEvent{accepted, start(1, "a", "w", false), end(2, "w", "done"), shown("done")}, ""},
		{"restart after the lease", []TaskEvent{idempotent, start(1, "a", "w", true), end(2, "w", "lapsed"), start(3, "a", "v", true), end(4, "v", "done"), shown("done")}, ""},
		{"back in service", []TaskEvent{accepted, out, back, start(7, "a", "w", false), end(8, "w", "done"), shown("done")}, ""},
		{"twice", []TaskEvent{accepted, start(1, "a", "w", false), end(2, "w", "lapsed"), start(3, "a", "v", false), end(4, "v", "done"), shown("done")}, "start 2 of a non-idempotent"},
		{"overlap", []TaskEvent{idempotent, start(1, "a", "w", true), start(2, "a", "v", true), end(4, "v", "done"), shown("done")}, "has not ended"},
		{"out", []TaskEvent{accepted, out, start(7, "a", "w", false), end(8, "w", "done"), shown("done")}, "after the data centre was taken out"},
		{"limit", []TaskEvent{accepted, start(1, "a", "w", false), start(1, "b", "w", false), start(1, "c", "w", false), end(2, "w", "done"), shown("done")}, "limit 2"},
		{"lost", []TaskEvent{accepted, shown("queued")}, "accepted and lost"},
		{"never run", []TaskEvent{accepted, shown("done")}, "no attempt ended as done"},
	}
	for _, c := range cases {
		checker := TaskChecker{Grace: 5 * time.Second, Limits: map[string]int{"x": 2}}
		for _, e := range c.trace {
			checker.Add(e)
		}
		violations := checker.Finish(secondsAt(10))
		found := len(violations) == 1 && c.want != "" && strings.Contains(violations[0].String(), c.want)
		if !found && (c.want != "" || len(violations) > 0) {
			t.Errorf("%s: violations %v, want one with %q", c.name, violations, c.want)
		}
	}
}

// TestShareCheckerFindsViolations guards against a checker of sharing rules that
// accepts violating traces or rejects correct ones.
func TestShareCheckerFindsViolations(t *testing.T) {
	queued := ShareEvent{At: secondsAt(0), Kind: UrgentQueued, Task: "u", Team: "x", WithinShare: true}
	started := func(s float64) ShareEvent {
		return ShareEvent{At: secondsAt(s), Kind: UrgentStarted, Task: "u", Team: "x"}
	}
	preempted := func(team string, use float64) ShareEvent {
		return ShareEvent{At: secondsAt(1), Kind: WorkPreempted, Team: team, Beneficiary: "x", Use: use, FairShare: 0.5}
	}
	sample := func(s, use float64) ShareEvent {
		return ShareEvent{At: secondsAt(s), Kind: ShareSampled, Team: "x", Use: use, FairShare: 0.4, Waiting: true}
	}
	cases := []struct {
		name  string
		trace []ShareEvent
		want  string
	}{
		{"right", []ShareEvent{queued, started(7), preempted("y", 0.6), preempted("x", 0.1), sample(0, 0.1), sample(9, 0.3)}, ""},
		{"late", []ShareEvent{queued, started(8)}, "started after 8s"},
		{"never", []ShareEvent{queued}, "started after 1m40s"},
		{"within its share", []ShareEvent{preempted("y", 0.4)}, "was preempted for team x"},
		{"starved", []ShareEvent{sample(0, 0.1), sample(10, 0.1), sample(61, 0.1)}, "below half its share"},
	}
	for _, c := range cases {
		checker := ShareChecker{UrgentTarget: 7700 * time.Millisecond, StarvationLimit: time.Minute}
		for _, e := range c.trace {
			checker.Add(e)
		}
		violations := checker.Finish(secondsAt(100))
		found := len(violations) == 1 && c.want != "" && strings.Contains(violations[0].String(), c.want)
		if !found && (c.want != "" || len(violations) > 0) {
			t.Errorf("%s: violations %v, want one with %q", c.name, violations, c.want)
		}
	}
}
