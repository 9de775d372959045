package invariant

import (
	"fmt"
	"time"
)

// LimitEventKind is the kind of a LimitEvent.
type LimitEventKind string

// Kinds of events of a limit trace.
const (
	// LimitSet means that an operator's change of the limit was accepted.
	LimitSet LimitEventKind = "limit"
	// WorkStarted and WorkFinished are the start and the end of work, as
	// observed at the endpoint.
	WorkStarted  LimitEventKind = "start"
	WorkFinished LimitEventKind = "finish"
)

// LimitEvent is one event of a trace for LimitChecker.
type LimitEvent struct {
	At   time.Time
	Kind LimitEventKind
	Team string
	// Work is the id of the work that starts or finishes.
	Work string
	// Limit is the new upper limit, for LimitSet.
	Limit int
}

// LimitViolation is one event that violates I4. Running is the amount of the
// team's running work after the event.
type LimitViolation struct {
	Event          LimitEvent
	Running, Limit int
	Reason         string
}

// String describes the violation.
func (v LimitViolation) String() string {
	return fmt.Sprintf("%s: team %s has %d running with limit %d at %s of %q: %s",
		v.Event.At.Format(time.RFC3339Nano), v.Event.Team, v.Running, v.Limit, v.Event.Kind, v.Event.Work, v.Reason)
}

// LimitChecker checks I4: the amount of a team's running work never exceeds its
// upper limit. Work that started under a higher limit may finish.
type LimitChecker struct {
	// Grace is how long a lowered limit may take to apply in every process.
	Grace time.Duration
	// LongestRun is the longest duration of work. After Grace and LongestRun, no
	// work that started under a higher limit is running.
	LongestRun time.Duration
	teams      map[string]*teamTrace
	violations []LimitViolation
}

// teamTrace is the state of one team: its limits, oldest first, and the start
// times of its running work by id.
type teamTrace struct {
	limits  []limitPeriod
	running map[string]time.Time
}

// limitPeriod is one limit with the time at which the next one replaced it, zero
// for the current one.
type limitPeriod struct {
	slots int
	until time.Time
}

// NewLimitChecker returns a checker for a new trace.
func NewLimitChecker(grace, longestRun time.Duration) *LimitChecker {
	return &LimitChecker{Grace: grace, LongestRun: longestRun, teams: make(map[string]*teamTrace)}
}

// Violations returns the violations found so far.
func (c *LimitChecker) Violations() []LimitViolation { return c.violations }

// Add checks the next event.
func (c *LimitChecker) Add(e LimitEvent) {
	t, ok := c.teams[e.Team]
	if !ok {
		t = &teamTrace{running: make(map[string]time.Time)}
		c.teams[e.Team] = t
	}
	switch e.Kind {
	case LimitSet:
		t.setLimit(e)
	case WorkStarted:
		c.addStart(t, e)
	case WorkFinished:
		c.addFinish(t, e)
	}
	if allowed := t.highestLimit(e.At, c.Grace+c.LongestRun); len(t.running) > allowed && e.Kind != WorkStarted {
		c.report(t, e, allowed, "work is still running after the longest run under an older limit")
	}
}

func (t *teamTrace) setLimit(e LimitEvent) {
	if n := len(t.limits); n > 0 {
		t.limits[n-1].until = e.At
	}
	t.limits = append(t.limits, limitPeriod{slots: e.Limit})
}

func (c *LimitChecker) addStart(t *teamTrace, e LimitEvent) {
	if _, ok := t.running[e.Work]; ok {
		c.report(t, e, t.highestLimit(e.At, c.Grace), "the work runs already")
		return
	}
	t.running[e.Work] = e.At
	if allowed := t.highestLimit(e.At, c.Grace); len(t.running) > allowed {
		c.report(t, e, allowed, "start above the limit in force")
	}
}

func (c *LimitChecker) addFinish(t *teamTrace, e LimitEvent) {
	if _, ok := t.running[e.Work]; !ok {
		c.report(t, e, t.highestLimit(e.At, c.Grace), "the work was not running")
		return
	}
	delete(t.running, e.Work)
}

// highestLimit returns the highest limit that was in force at any time in the
// window of the given length that ends at the time at, or 0 if no limit was ever
// set.
func (t *teamTrace) highestLimit(at time.Time, window time.Duration) int {
	limit := 0
	for _, p := range t.limits {
		if p.until.IsZero() || at.Sub(p.until) <= window {
			limit = max(limit, p.slots)
		}
	}
	return limit
}

func (c *LimitChecker) report(t *teamTrace, e LimitEvent, limit int, reason string) {
	c.violations = append(c.violations, LimitViolation{Event: e, Running: len(t.running), Limit: limit, Reason: reason})
}
