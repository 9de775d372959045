package invariant

// OutcomeChecker checks I6 and I7: a caller receives exactly one outcome and the
// complete answer to its own request, and a call with the outcome "not-run" did
// not run.
type OutcomeChecker struct {
	calls map[string]*callTrace
	// ranWork holds the work that ran for any call.
	ranWork    map[string]bool
	violations []RequestViolation
}

// callTrace is the state of one call. interrupted is true after
// RequestInterrupted; neverCalled is true if the first event of the call was
// not RequestCalled.
type callTrace struct {
	called, ended            RequestEvent
	ran, hasEnded            bool
	interrupted, neverCalled bool
}

// NewOutcomeChecker returns a checker for a new trace.
func NewOutcomeChecker() *OutcomeChecker {
	return &OutcomeChecker{calls: make(map[string]*callTrace), ranWork: make(map[string]bool)}
}

// Violations returns the violations found so far.
func (c *OutcomeChecker) Violations() []RequestViolation { return c.violations }

// Add checks the next event.
func (c *OutcomeChecker) Add(e RequestEvent) {
	call, ok := c.calls[e.Call]
	if !ok {
		call = &callTrace{neverCalled: e.Kind != RequestCalled}
		c.calls[e.Call] = call
	}
	if call.neverCalled {
		c.report(e, "the call was never made")
		return
	}
	switch e.Kind {
	case RequestCalled:
		call.called = e
	case RequestRan:
		c.addRun(call, e)
	case RequestEnded:
		c.addEnd(call, e)
	case RequestInterrupted:
		call.interrupted = true
	}
}

func (c *OutcomeChecker) addRun(call *callTrace, e RequestEvent) {
	call.ran = true
	c.ranWork[call.called.Work] = true
	if call.hasEnded && call.ended.Outcome == "not-run" {
		c.report(e, "the call ran after its caller received the outcome not-run")
	}
}

func (c *OutcomeChecker) addEnd(call *callTrace, e RequestEvent) {
	if call.hasEnded {
		c.report(e, "the call already has an outcome")
		return
	}
	call.hasEnded, call.ended = true, e
	switch e.Outcome {
	case "answered":
		if e.Answer != call.called.Expected {
			c.report(e, "the answer "+e.Answer+" is not the expected "+call.called.Expected)
		}
		if !c.ranWork[call.called.Work] {
			c.report(e, "the work was answered without a run")
		}
	case "not-run":
		if call.ran {
			c.report(e, "the call ran")
		}
	case "unknown":
	default:
		c.report(e, "outcome "+e.Outcome+" does not exist")
	}
}

// Finish ends the trace. It reports each call without an outcome, unless the
// entry instance crashed during the call.
func (c *OutcomeChecker) Finish() {
	for _, call := range c.calls {
		if !call.hasEnded && !call.interrupted && !call.neverCalled {
			c.report(call.called, "the call has no outcome")
		}
	}
}

func (c *OutcomeChecker) report(e RequestEvent, reason string) {
	c.violations = append(c.violations, RequestViolation{Event: e, Reason: reason})
}
