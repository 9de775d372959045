package trace

import (
	"strings"
	"testing"

	"github.com/go-faster/errors"
)

const jobID = "5c0e7a21d94b36f8"

func joinLines(messages ...string) string { return strings.Join(messages, "\n") }

func logLine(second string, instance, message, fields string) string {
	return `{"time":"2026-12-04T10:00:` + second + `Z","instance":"` + instance + `","msg":"` + message + `",` + fields + `}`
}

// TestTraceNamesCause guards against a trace that does not name the cause for a
// refused, late, failed, never started or unknown job.
func TestTraceNamesCause(t *testing.T) {
	accepted := logLine("01.000", "edge-1", "request: submit accepted", `"job":"`+jobID+`"`)
	for name, c := range map[string]struct {
		files []string
		want  string
	}{
		"refused": {
			[]string{logLine("01.000", "edge-1", "request: submit not-run", `"job":"`+jobID+`","reason":"the configuration may be out of date"`)},
			"refused and has not run: the configuration may be out of date",
		},
		"refused in a burst": {
			[]string{logLine("01.000", "edge-1", "request: submit over-capacity", `"job":"`+jobID+`","cause":"capacity","reason":"the service has more work than it can do in time"`)},
			"not be completed in time to be of use, and has not run: the service has more work than it can do in time",
		},
		"late": {
			[]string{
				joinLines(logLine("05.000", "edge-2", "scheduler: task started", `"job":"`+jobID+`","task":"`+jobID+`.0.0.0","worker":"i-1"`),
					logLine("09.000", "edge-2", "scheduler: job completed", `"job":"`+jobID+`","age_ms":8000`),
					logLine("02.000", "edge-2", "scheduler: pool", `"service":"s","waiting_for_room":120,"waiting_for_cap":0,"usable":3,"workers":8`)),
				accepted,
			},
			"it completed, age_ms 8000; first start after 4s; meanwhile pool s had 120 tasks waiting for room",
		},
		"failed": {
			[]string{accepted, joinLines(
				logLine("02.000", "edge-2", "scheduler: task started", `"task":"`+jobID+`.0.0.0"`),
				logLine("03.000", "edge-2", "scheduler: job failed", `"job":"`+jobID+`","task":"`+jobID+`.0.0.0","failures":3`),
				logLine("03.001", "edge-2", "scheduler: job ended", `"job":"`+jobID+`","state":"failed"`))},
			"a task used up its attempts, task " + jobID + ".0.0.0, failures 3",
		},
		"never started": {[]string{accepted}, "accepted and never started"},
		"unknown":       {[]string{logLine("01.000", "edge-1", "node: started", `"x":1`)}, "no line names this id"},
	} {
		t.Run(name, func(t *testing.T) {
			collector := NewCollector(jobID)
			for _, file := range c.files {
				if err := collector.Read(strings.NewReader(file)); err != nil {
					t.Fatal(err)
				}
			}
			got := collector.Trace()
			if !strings.Contains(got.Cause, c.want) {
				t.Errorf("cause %q does not contain %q", got.Cause, c.want)
			}
			for i := 1; i < len(got.Lines); i++ {
				if got.Lines[i].Time.Before(got.Lines[i-1].Time) {
					t.Error("lines are not in order of time")
				}
			}
		})
	}
}

// TestUnreadableLines guards against truncated lines that end the reading of a
// file, and against files other than logs that are accepted as empty logs.
func TestUnreadableLines(t *testing.T) {
	c := NewCollector(jobID)
	valid := logLine("01.000", "edge-1", "request: submit accepted", `"job":"`+jobID+`"`)
	if err := c.Read(strings.NewReader(joinLines("10.1 edge-1 "+valid, valid[:40], ""))); err != nil {
		t.Fatal(err)
	}
	if got := c.Trace(); got.Unreadable != 1 || len(got.Lines) != 1 {
		t.Errorf("trace %+v", got)
	}
	if err := NewCollector(jobID).Read(strings.NewReader("a text\nof two lines")); !errors.Is(err, ErrNoLog) {
		t.Errorf("file without log lines: error is %v, want ErrNoLog", err)
	}
}

// FuzzRead guards against input that makes the reader panic or fail.
func FuzzRead(f *testing.F) {
	f.Add(logLine("01.000", "edge-1", "request: submit accepted", `"job":"`+jobID+`"`))
	f.Add(`{"msg":7,"time":[],"instance":{}}`)
	f.Fuzz(func(t *testing.T, text string) {
		c := NewCollector(jobID)
		if err := c.Read(strings.NewReader(text)); err != nil && !errors.Is(err, ErrNoLog) {
			t.Fatal(err)
		}
		c.Trace()
	})
}
