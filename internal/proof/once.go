package proof

import (
	"fmt"
	"time"
)

// RequestEventKind is what happened to a request.
type RequestEventKind string

// Kinds of events of a request trace.
const (
	// RequestCalled means that a caller handed a call in.
	RequestCalled RequestEventKind = "called"
	// RequestRan is as an endpoint sees it.
	RequestRan RequestEventKind = "ran"
	// RequestEnded means that the caller got an outcome.
	RequestEnded RequestEventKind = "ended"
	// RequestBroken means that the entry instance died during the call.
	RequestBroken RequestEventKind = "broken"
)

// RequestEvent is one event of a trace, in the order of time.
type RequestEvent struct {
	At   time.Time
	Kind RequestEventKind
	// Call is unique for each call of a caller.
	Call string
	// Work is the same for all calls that repeat one request, such as its
	// idempotency key.
	Work string
	// Idempotent work may run more than once.
	Idempotent bool
	// Outcome is "answered", "not-run" or "unknown" for RequestEnded.
	Outcome string
	// Expected is the right answer, for RequestCalled. Answer is the one that
	// the caller got, for RequestEnded with outcome "answered".
	Expected, Answer string
}

// RequestViolation is one event that contradicts an invariant of requests.
type RequestViolation struct {
	Event  RequestEvent
	Reason string
}

// String describes the violation.
func (v RequestViolation) String() string {
	return fmt.Sprintf("%s: %s of call %s, work %s: %s",
		v.Event.At.Format(time.RFC3339Nano), v.Event.Kind, v.Event.Call, v.Event.Work, v.Reason)
}

// OnceChecker watches a trace for invariant I8: non-idempotent work runs at most
// once, however often it is called.
type OnceChecker struct {
	ran        map[string]string
	violations []RequestViolation
}

// NewOnceChecker returns a checker that has seen nothing.
func NewOnceChecker() *OnceChecker { return &OnceChecker{ran: make(map[string]string)} }

// Violations returns what was reported so far.
func (c *OnceChecker) Violations() []RequestViolation { return c.violations }

// Add takes the next event.
func (c *OnceChecker) Add(e RequestEvent) {
	if e.Kind != RequestRan || e.Idempotent {
		return
	}
	if first, ok := c.ran[e.Work]; ok {
		c.violations = append(c.violations, RequestViolation{Event: e, Reason: "the work ran before, for call " + first})
		return
	}
	c.ran[e.Work] = e.Call
}
