package invariant

import (
	"fmt"
	"time"
)

// RequestEventKind is the kind of a RequestEvent.
type RequestEventKind string

// Kinds of events of a request trace.
const (
	// RequestCalled means that a caller made a call.
	RequestCalled RequestEventKind = "called"
	// RequestRan means that an endpoint ran the call's request.
	RequestRan RequestEventKind = "ran"
	// RequestEnded means that the caller received an outcome.
	RequestEnded RequestEventKind = "ended"
	// RequestInterrupted means that the entry instance crashed during the call.
	RequestInterrupted RequestEventKind = "broken"
)

// RequestEvent is one event of a trace for OnceChecker and OutcomeChecker.
type RequestEvent struct {
	At   time.Time
	Kind RequestEventKind
	// Call identifies one call. A caller that repeats a request makes another
	// call.
	Call string
	// Work identifies the request: it is the same for all calls that repeat it.
	// An example is the idempotency key.
	Work string
	// Idempotent work may run more than once.
	Idempotent bool
	// Outcome is "answered", "not-run" or "unknown" for RequestEnded.
	Outcome string
	// Expected is the correct answer, for RequestCalled. Answer is the answer
	// that the caller received, for RequestEnded with outcome "answered".
	Expected, Answer string
}

// RequestViolation is one event that violates I6, I7 or I8.
type RequestViolation struct {
	Event  RequestEvent
	Reason string
}

// String describes the violation.
func (v RequestViolation) String() string {
	return fmt.Sprintf("%s: %s of call %s, work %s: %s",
		v.Event.At.Format(time.RFC3339Nano), v.Event.Kind, v.Event.Call, v.Event.Work, v.Reason)
}

// OnceChecker checks I8: non-idempotent work runs at most once, however many
// calls repeat it.
type OnceChecker struct {
	// firstCall holds the call for which non-idempotent work ran, by work.
	firstCall  map[string]string
	violations []RequestViolation
}

// NewOnceChecker returns a checker for a new trace.
func NewOnceChecker() *OnceChecker { return &OnceChecker{firstCall: make(map[string]string)} }

// Violations returns the violations found so far.
func (c *OnceChecker) Violations() []RequestViolation { return c.violations }

// Add checks the next event.
func (c *OnceChecker) Add(e RequestEvent) {
	if e.Kind != RequestRan || e.Idempotent {
		return
	}
	if first, ok := c.firstCall[e.Work]; ok {
		c.violations = append(c.violations, RequestViolation{Event: e, Reason: "the work ran before for call " + first})
		return
	}
	c.firstCall[e.Work] = e.Call
}
