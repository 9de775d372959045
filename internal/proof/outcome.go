package proof

// OutcomeChecker watches a trace for invariants I6 and I7: a caller gets the
// complete answer to its own request and exactly one outcome, and "not run" is
// true.
type OutcomeChecker struct {
	calls      map[string]*callTrace
	works      map[string]bool
	violations []RequestViolation
}

type callTrace struct {
	called, ended  RequestEvent
	ran, hasEnded  bool
	broken, unseen bool
}

// NewOutcomeChecker returns a checker that has seen nothing.
func NewOutcomeChecker() *OutcomeChecker {
	return &OutcomeChecker{calls: make(map[string]*callTrace), works: make(map[string]bool)}
}

// Violations returns what was reported so far.
func (c *OutcomeChecker) Violations() []RequestViolation { return c.violations }

// Add takes the next event.
func (c *OutcomeChecker) Add(e RequestEvent) {
	call, ok := c.calls[e.Call]
	if !ok {
		call = &callTrace{unseen: e.Kind != RequestCalled}
		c.calls[e.Call] = call
	}
	if call.unseen {
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
	case RequestBroken:
		call.broken = true
	}
}

func (c *OutcomeChecker) addRun(call *callTrace, e RequestEvent) {
	call.ran = true
	c.works[call.called.Work] = true
	if call.hasEnded && call.ended.Outcome == "not-run" {
		c.report(e, "the call ran after its caller was told that it did not run")
	}
}

func (c *OutcomeChecker) addEnd(call *callTrace, e RequestEvent) {
	if call.hasEnded {
		c.report(e, "the call had an outcome before")
		return
	}
	call.hasEnded, call.ended = true, e
	switch e.Outcome {
	case "answered":
		if e.Answer != call.called.Expected {
			c.report(e, "the answer "+e.Answer+" is not the expected "+call.called.Expected)
		}
		if !c.works[call.called.Work] {
			c.report(e, "the work was answered but never ran")
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

// Finish ends the trace: every call must have an outcome, unless its entry
// instance died.
func (c *OutcomeChecker) Finish() {
	for _, call := range c.calls {
		if !call.hasEnded && !call.broken && !call.unseen {
			c.report(call.called, "the call got no outcome")
		}
	}
}

func (c *OutcomeChecker) report(e RequestEvent, reason string) {
	c.violations = append(c.violations, RequestViolation{Event: e, Reason: reason})
}
