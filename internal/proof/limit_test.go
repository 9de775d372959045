package proof

import (
	"strings"
	"testing"
	"time"
)

func at(ms int) time.Time { return time.UnixMilli(int64(ms)) }

func started(ms int, work string) LimitEvent {
	return LimitEvent{At: at(ms), Kind: WorkStarted, Team: "depots", Work: work}
}

func finished(ms int, work string) LimitEvent {
	return LimitEvent{At: at(ms), Kind: WorkFinished, Team: "depots", Work: work}
}

func limited(ms, limit int) LimitEvent {
	return LimitEvent{At: at(ms), Kind: LimitSet, Team: "depots", Limit: limit}
}

// TestLimitCheckerReports guards against a checker that passes a violating
// trace, or that reports a correct one.
func TestLimitCheckerReports(t *testing.T) {
	cases := []struct {
		name  string
		trace []LimitEvent
		want  string
	}{
		{"within the limit", []LimitEvent{limited(0, 2), started(1, "a"), started(2, "b"), finished(3, "a"), started(4, "c")}, ""},
		{"one too many", []LimitEvent{limited(0, 2), started(1, "a"), started(2, "b"), started(3, "c")}, "has 3 running with limit 2"},
		{"no limit set", []LimitEvent{started(1, "a")}, "limit 0"},
		{"lowered limit lets work finish", []LimitEvent{limited(0, 2), started(1, "a"), started(2, "b"), limited(10, 1), finished(150, "a")}, ""},
		{"start after a lowered limit", []LimitEvent{limited(0, 2), started(1, "a"), limited(10, 1), started(111, "b")}, "start above the limit"},
		{"start before the lowered limit reached all", []LimitEvent{limited(0, 2), started(1, "a"), limited(10, 1), started(109, "b")}, ""},
		{"work outlives a lowered limit", []LimitEvent{limited(0, 2), started(1, "a"), started(2, "b"), limited(10, 0), finished(1200, "a")}, "work goes on"},
		{"limit lowered, raised and lowered", []LimitEvent{limited(0, 1), limited(1, 3), limited(2, 1), started(200, "a"), started(201, "b")}, "limit 1"},
		{"same work twice", []LimitEvent{limited(0, 5), started(1, "a"), started(2, "a")}, "runs already"},
		{"finish without a start", []LimitEvent{limited(0, 5), finished(1, "a")}, "not running"},
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
