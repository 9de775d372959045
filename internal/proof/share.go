package proof

import (
	"fmt"
	"time"
)

// ShareEventKind is what happened between teams.
type ShareEventKind string

// Kinds of events of a share trace.
const (
	// ShareSampled is the standing of one team at a moment.
	ShareSampled ShareEventKind = "sampled"
	// UrgentQueued and UrgentStarted are of one urgent task.
	UrgentQueued  ShareEventKind = "urgent queued"
	UrgentStarted ShareEventKind = "urgent started"
	// WorkPreempted means that a running task was checkpointed, throttled or
	// stopped for another one.
	WorkPreempted ShareEventKind = "preempted"
)

// ShareEvent is one event of a trace, in the order of time. Use and Fair are
// fractions of the data centre.
type ShareEvent struct {
	At   time.Time
	Kind ShareEventKind
	Team string
	Task string
	// Use and Fair are the team's.
	Use, Fair float64
	// Waiting is true for ShareSampled while the team has queued work.
	Waiting bool
	// For is the team that gets the room, for WorkPreempted.
	For string
	// Within is true for UrgentQueued while the team is within its share.
	Within bool
}

// ShareViolation is one moment at which a rule did not hold.
type ShareViolation struct {
	Event  ShareEvent
	Reason string
}

// String describes the violation.
func (v ShareViolation) String() string {
	return fmt.Sprintf("%s: team %s, task %q, %s, use %.3f, share %.3f: %s",
		v.Event.At.Format(time.RFC3339Nano), v.Event.Team, v.Event.Task, v.Event.Kind, v.Event.Use, v.Event.Fair, v.Reason)
}

// ShareChecker watches a trace for these rules:
//
//   - Urgent work of a team within its share starts within Urgent.
//   - Only work of a team above its share gives way, or work of the team that
//     gets the room.
//   - A team is not starved: below half its share with work waiting for at most
//     Patience.
type ShareChecker struct {
	Urgent, Patience time.Duration

	urgent     map[string]ShareEvent
	starving   map[string]time.Time
	violations []ShareViolation
}

// Take takes the next event.
func (c *ShareChecker) Take(e ShareEvent) {
	if c.urgent == nil {
		c.urgent, c.starving = make(map[string]ShareEvent), make(map[string]time.Time)
	}
	switch e.Kind {
	case UrgentQueued:
		if e.Within {
			c.urgent[e.Task] = e
		}
	case UrgentStarted:
		if queued, ok := c.urgent[e.Task]; ok {
			c.started(queued, e.At)
		}
	case WorkPreempted:
		if e.For != e.Team && e.Use <= e.Fair {
			c.violate(e, "work within its team's share gave way to team "+e.For)
		}
	case ShareSampled:
		c.sampled(e)
	}
}

func (c *ShareChecker) started(queued ShareEvent, at time.Time) {
	delete(c.urgent, queued.Task)
	if waited := at.Sub(queued.At); waited > c.Urgent {
		c.violate(queued, fmt.Sprintf("urgent work started after %v, target %v", waited, c.Urgent))
	}
}

func (c *ShareChecker) sampled(e ShareEvent) {
	if !e.Waiting || e.Use >= e.Fair/2 {
		delete(c.starving, e.Team)
		return
	}
	since, ok := c.starving[e.Team]
	if !ok {
		c.starving[e.Team] = e.At
		return
	}
	if e.At.Sub(since) > c.Patience {
		c.violate(e, fmt.Sprintf("below half its share with work waiting since %v", e.At.Sub(since)))
		c.starving[e.Team] = e.At
	}
}

func (c *ShareChecker) violate(e ShareEvent, reason string) {
	c.violations = append(c.violations, ShareViolation{e, reason})
}

// Finish ends the trace and returns all violations.
func (c *ShareChecker) Finish(at time.Time) []ShareViolation {
	for _, queued := range c.urgent {
		c.started(queued, at)
	}
	return c.violations
}
