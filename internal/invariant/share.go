package invariant

import (
	"fmt"
	"time"
)

// ShareEventKind is the kind of a ShareEvent.
type ShareEventKind string

// Kinds of events of a share trace.
const (
	// ShareSampled is a sample of one team's use and fair share.
	ShareSampled ShareEventKind = "sampled"
	// UrgentQueued and UrgentStarted mean that an urgent task was queued or
	// started.
	UrgentQueued  ShareEventKind = "urgent queued"
	UrgentStarted ShareEventKind = "urgent started"
	// WorkPreempted means that a running task was checkpointed, throttled or
	// stopped to make room for another one.
	WorkPreempted ShareEventKind = "preempted"
)

// ShareEvent is one event of a trace for ShareChecker.
type ShareEvent struct {
	At   time.Time
	Kind ShareEventKind
	Team string
	Task string
	// Use and FairShare are the team's use and fair share, as fractions of the
	// data centre's capacity.
	Use, FairShare float64
	// Waiting is true for ShareSampled if the team has queued work.
	Waiting bool
	// Beneficiary is the team that gets the freed capacity, for WorkPreempted.
	Beneficiary string
	// WithinShare is true for UrgentQueued if the team is within its share.
	WithinShare bool
}

// ShareViolation is one event that violates a rule of ShareChecker.
type ShareViolation struct {
	Event  ShareEvent
	Reason string
}

// String describes the violation.
func (v ShareViolation) String() string {
	return fmt.Sprintf("%s: team %s, task %q, %s, use %.3f, share %.3f: %s",
		v.Event.At.Format(time.RFC3339Nano), v.Event.Team, v.Event.Task, v.Event.Kind, v.Event.Use, v.Event.FairShare, v.Reason)
}

// ShareChecker checks these rules of the sharing between teams:
//
//   - An urgent task of a team within its share starts within UrgentTarget.
//   - A task is preempted only if its team is above its share, or for the benefit
//     of its own team.
//   - No team is starved: a team with queued work stays below half its share for
//     StarvationLimit at most.
//
// A value with only UrgentTarget and StarvationLimit set is ready for a new
// trace.
type ShareChecker struct {
	UrgentTarget, StarvationLimit time.Duration

	queuedUrgent map[string]ShareEvent
	starving     map[string]time.Time
	violations   []ShareViolation
}

// Add checks the next event.
func (c *ShareChecker) Add(e ShareEvent) {
	if c.queuedUrgent == nil {
		c.queuedUrgent, c.starving = make(map[string]ShareEvent), make(map[string]time.Time)
	}
	switch e.Kind {
	case UrgentQueued:
		if e.WithinShare {
			c.queuedUrgent[e.Task] = e
		}
	case UrgentStarted:
		if queued, ok := c.queuedUrgent[e.Task]; ok {
			c.checkUrgentStart(queued, e.At)
		}
	case WorkPreempted:
		if e.Beneficiary != e.Team && e.Use <= e.FairShare {
			c.report(e, "work within its team's share was preempted for team "+e.Beneficiary)
		}
	case ShareSampled:
		c.checkSample(e)
	}
}

func (c *ShareChecker) checkUrgentStart(queued ShareEvent, at time.Time) {
	delete(c.queuedUrgent, queued.Task)
	if waited := at.Sub(queued.At); waited > c.UrgentTarget {
		c.report(queued, fmt.Sprintf("urgent work started after %v, target %v", waited, c.UrgentTarget))
	}
}

func (c *ShareChecker) checkSample(e ShareEvent) {
	if !e.Waiting || e.Use >= e.FairShare/2 {
		delete(c.starving, e.Team)
		return
	}
	since, ok := c.starving[e.Team]
	if !ok {
		c.starving[e.Team] = e.At
		return
	}
	if e.At.Sub(since) > c.StarvationLimit {
		c.report(e, fmt.Sprintf("below half its share with work waiting since %v", e.At.Sub(since)))
		c.starving[e.Team] = e.At
	}
}

func (c *ShareChecker) report(e ShareEvent, reason string) {
	c.violations = append(c.violations, ShareViolation{e, reason})
}

// Finish ends the trace at a time and returns all violations. It checks the
// urgent tasks that are still queued as if they had started at that time.
func (c *ShareChecker) Finish(at time.Time) []ShareViolation {
	for _, queued := range c.queuedUrgent {
		c.checkUrgentStart(queued, at)
	}
	return c.violations
}
