package proof

import (
	"fmt"
	"time"
)

// LimitEventKind is what happened to a team.
type LimitEventKind string

// Kinds of events of a limit trace.
const (
	// LimitSet means that operators' change of the limit was accepted.
	LimitSet LimitEventKind = "limit"
	// WorkStarted and WorkFinished are as the endpoint sees them.
	WorkStarted  LimitEventKind = "start"
	WorkFinished LimitEventKind = "finish"
)

// LimitEvent is one event of a trace, in the order of time.
type LimitEvent struct {
	At   time.Time
	Kind LimitEventKind
	Team string
	// Work is the id of what starts or finishes.
	Work string
	// Limit is set for LimitSet.
	Limit int
}

// LimitViolation is one moment at which a team had more running than allowed.
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

// LimitChecker watches a trace for invariant I4: no team has more running than
// its upper limit. Work that started under a higher limit may finish.
type LimitChecker struct {
	// Grace is how long a lowered limit may take to be in force everywhere.
	Grace time.Duration
	// LongestRun is how long work may go on that started under a higher limit.
	LongestRun time.Duration
	teams      map[string]*teamTrace
	violations []LimitViolation
}

// teamTrace is the trace of one team so far.
type teamTrace struct {
	limits  []limitPeriod
	running map[string]time.Time
}

// limitPeriod is one limit with the time at which the next one replaced it; the
// zero time for the present one.
type limitPeriod struct {
	slots int
	until time.Time
}

// NewLimitChecker returns a checker that has seen nothing.
func NewLimitChecker(grace, longestRun time.Duration) *LimitChecker {
	return &LimitChecker{Grace: grace, LongestRun: longestRun, teams: make(map[string]*teamTrace)}
}

// Violations returns what was reported so far.
func (c *LimitChecker) Violations() []LimitViolation { return c.violations }

// Add takes the next event.
func (c *LimitChecker) Add(e LimitEvent) {
	t, ok := c.teams[e.Team]
	if !ok {
		t = &teamTrace{running: make(map[string]time.Time)}
		c.teams[e.Team] = t
	}
	switch e.Kind {
	case LimitSet:
		t.set(e)
	case WorkStarted:
		c.start(t, e)
	case WorkFinished:
		c.finish(t, e)
	}
	if allowed := t.highest(e.At, c.Grace+c.LongestRun); len(t.running) > allowed && e.Kind != WorkStarted {
		c.report(t, e, allowed, "work goes on after the longest run under an older limit")
	}
}

func (t *teamTrace) set(e LimitEvent) {
	if n := len(t.limits); n > 0 {
		t.limits[n-1].until = e.At
	}
	t.limits = append(t.limits, limitPeriod{slots: e.Limit})
}

func (c *LimitChecker) start(t *teamTrace, e LimitEvent) {
	if _, ok := t.running[e.Work]; ok {
		c.report(t, e, t.highest(e.At, c.Grace), "the work runs already")
		return
	}
	t.running[e.Work] = e.At
	if allowed := t.highest(e.At, c.Grace); len(t.running) > allowed {
		c.report(t, e, allowed, "start above the limit in force")
	}
}

func (c *LimitChecker) finish(t *teamTrace, e LimitEvent) {
	if _, ok := t.running[e.Work]; !ok {
		c.report(t, e, t.highest(e.At, c.Grace), "the work was not running")
		return
	}
	delete(t.running, e.Work)
}

// highest returns the highest limit that was in force within the time before
// at; 0 when none was ever set.
func (t *teamTrace) highest(at time.Time, within time.Duration) int {
	limit := 0
	for _, p := range t.limits {
		if p.until.IsZero() || at.Sub(p.until) <= within {
			limit = max(limit, p.slots)
		}
	}
	return limit
}

func (c *LimitChecker) report(t *teamTrace, e LimitEvent, limit int, reason string) {
	c.violations = append(c.violations, LimitViolation{Event: e, Running: len(t.running), Limit: limit, Reason: reason})
}
