package invariant

import (
	"strings"
	"testing"
	"time"
)

func limitAt(ms int) time.Time { return time.UnixMilli(int64(ms)) }

func limitStarted(ms int, work string) LimitEvent {
	return LimitEvent{At: limitAt(ms), Kind: WorkStarted, Team: "depots", Work: work}
}

func limitFinished(ms int, work string) LimitEvent {
	return LimitEvent{At: limitAt(ms), Kind: WorkFinished, Team: "depots", Work: work}
}

func limitSet(ms, limit int) LimitEvent {
	return LimitEvent{At: limitAt(ms), Kind: LimitSet, Team: "depots", Limit: limit}
}

// TestLimitCheckerFindsViolations guards against a checker of I4 that accepts
// violating traces or rejects correct ones.
func TestLimitCheckerFindsViolations(t *testing.T) {
	cases := []struct {
		name  string
		trace []LimitEvent
		want  string
	}{
		{"within the limit", []LimitEvent{limitSet(0, 2), limitStarted(1, "a"), limitStarted(2, "b"), limitFinished(3, "a"), limitStarted(4, "c")}, ""},
		{"one too many", []LimitEvent{limitSet(0, 2), limitStarted(1, "a"), limitStarted(2, "b"), limitStarted(3, "c")}, "has 3 running with limit 2"},
		{"no limit set", []LimitEvent{limitStarted(1, "a")}, "limit 0"},
		{"lowered limit lets work finish", []LimitEvent{limitSet(0, 2), limitStarted(1, "a"), limitStarted(2, "b"), limitSet(10, 1), limitFinished(150, "a")}, ""},
		{"start after a lowered limit", []LimitEvent{limitSet(0, 2), limitStarted(1, "a"), limitSet(10, 1), limitStarted(111, "b")}, "start above the limit"},
		{"start before the lowered limit reached all", []LimitEvent{limitSet(0, 2), limitStarted(1, "a"), limitSet(10, 1), limitStarted(109, "b")}, ""},
		{"work outlives a lowered limit", []LimitEvent{limitSet(0, 2), limitStarted(1, "a"), limitStarted(2, "b"), limitSet(10, 0), limitFinished(1200, "a")}, "work is still running"},
		{"limit lowered, raised and lowered", []LimitEvent{limitSet(0, 1), limitSet(1, 3), limitSet(2, 1), limitStarted(200, "a"), limitStarted(201, "b")}, "limit 1"},
		{"same work twice", []LimitEvent{limitSet(0, 5), limitStarted(1, "a"), limitStarted(2, "a")}, "runs already"},
		{"finish without a start", []LimitEvent{limitSet(0, 5), limitFinished(1, "a")}, "not running"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			checker := NewLimitChecker(100*time.Millisecond, time.Second)
			for _, e := range c.trace {
				checker.Add(e)
			}
			var texts []string
			for _, v := range checker.Violations() {
				texts = append(texts, v.String())
			}
			got := strings.Join(texts, "\n")
			if c.want == "" && got != "" || !strings.Contains(got, c.want) {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}
