package trace

import (
	"strings"
	"testing"

	"github.com/go-faster/errors"
)

const job = "5c0e7a21d94b36f8"

func lines(messages ...string) string { return strings.Join(messages, "\n") }

func at(second string, instance, message, fields string) string {
	return `{"time":"2026-12-04T10:00:` + second + `Z","instance":"` + instance + `","msg":"` + message + `",` + fields + `}`
}

// TestCauseOfThreeFailures guards against a trace that does not name what ended
// a refused, a late and a failed job.
func TestCauseOfThreeFailures(t *testing.T) {
	accepted := at("01.000", "edge-1", "request: submit accepted", `"job":"`+job+`"`)
	for name, c := range map[string]struct {
		files []string
		want  string
	}{
		"refused": {
			[]string{at("01.000", "edge-1", "request: submit not-run", `"job":"`+job+`","reason":"the configuration may be out of date"`)},
			"refused and has not run: the configuration may be out of date",
		},
		"late": {
			[]string{
				lines(at("05.000", "edge-2", "scheduler: task started", `"job":"`+job+`","task":"`+job+`.0.0.0","worker":"i-1"`),
					at("09.000", "edge-2", "scheduler: job completed", `"job":"`+job+`","age_ms":8000`),
					at("02.000", "edge-2", "scheduler: pool", `"service":"s","waiting_for_room":120,"waiting_for_cap":0,"usable":3,"workers":8`)),
				accepted,
			},
			"it completed, age_ms 8000; first start after 4s; meanwhile pool s had 120 tasks waiting for room",
		},
		"failed": {
			[]string{accepted, lines(
				at("02.000", "edge-2", "scheduler: task started", `"task":"`+job+`.0.0.0"`),
				at("03.000", "edge-2", "scheduler: job failed", `"job":"`+job+`","task":"`+job+`.0.0.0","failures":3`),
				at("03.001", "edge-2", "scheduler: job ended", `"job":"`+job+`","state":"failed"`))},
			"a task used up its attempts, task " + job + ".0.0.0, failures 3",
		},
		"never started": {[]string{accepted}, "accepted and never started"},
		"unknown":       {[]string{at("01.000", "edge-1", "node: started", `"x":1`)}, "no line names this id"},
	} {
		t.Run(name, func(t *testing.T) {
			c2 := NewCollector(job)
			for _, file := range c.files {
				if err := c2.Read(strings.NewReader(file)); err != nil {
					t.Fatal(err)
				}
			}
			got := c2.Trace()
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

// TestUnreadableLines guards against truncated lines that stop a trace, and
// against files that are no logs and pass as empty ones.
func TestUnreadableLines(t *testing.T) {
	c := NewCollector(job)
	good := at("01.000", "edge-1", "request: submit accepted", `"job":"`+job+`"`)
	if err := c.Read(strings.NewReader(lines("10.1 edge-1 "+good, good[:40], ""))); err != nil {
		t.Fatal(err)
	}
	if got := c.Trace(); got.Unreadable != 1 || len(got.Lines) != 1 {
		t.Errorf("trace %+v", got)
	}
	if err := NewCollector(job).Read(strings.NewReader("a text\nof two lines")); !errors.Is(err, ErrNoLog) {
		t.Errorf("a file that is no log gave %v", err)
	}
}

// FuzzRead guards against input that stops the reader.
func FuzzRead(f *testing.F) {
	f.Add(at("01.000", "edge-1", "request: submit accepted", `"job":"`+job+`"`))
	f.Add(`{"msg":7,"time":[],"instance":{}}`)
	f.Fuzz(func(t *testing.T, text string) {
		c := NewCollector(job)
		if err := c.Read(strings.NewReader(text)); err != nil && !errors.Is(err, ErrNoLog) {
			t.Fatal(err)
		}
		c.Trace()
	})
}
