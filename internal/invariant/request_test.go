package invariant

import (
	"testing"
	"time"
)

var requestStart = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func requestTrace(events ...RequestEvent) []RequestEvent {
	for i := range events {
		events[i].At = requestStart.Add(time.Duration(i) * time.Millisecond)
	}
	return events
}

// TestOnceCheckerFindsSecondRun guards against a checker of I8 that accepts a
// second run of non-idempotent work, or rejects single runs and repeated
// idempotent work.
func TestOnceCheckerFindsSecondRun(t *testing.T) {
	cases := []struct {
		name       string
		trace      []RequestEvent
		violations int
	}{
		{"second run for another call", requestTrace(
			RequestEvent{Kind: RequestRan, Call: "c1", Work: "deposit"},
			RequestEvent{Kind: RequestRan, Call: "c2", Work: "deposit"}), 1},
		{"second run for the same call", requestTrace(
			RequestEvent{Kind: RequestRan, Call: "c1", Work: "deposit"},
			RequestEvent{Kind: RequestRan, Call: "c1", Work: "deposit"}), 1},
		{"one run of each", requestTrace(
			RequestEvent{Kind: RequestRan, Call: "c1", Work: "deposit"},
			RequestEvent{Kind: RequestRan, Call: "c2", Work: "score"}), 0},
		{"idempotent work", requestTrace(
			RequestEvent{Kind: RequestRan, Call: "c1", Work: "stock", Idempotent: true},
			RequestEvent{Kind: RequestRan, Call: "c1", Work: "stock", Idempotent: true}), 0},
	}
	for _, c := range cases {
		checker := NewOnceChecker()
		for _, e := range c.trace {
			checker.Add(e)
		}
		if got := checker.Violations(); len(got) != c.violations {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// TestOutcomeCheckerFindsFalseOutcomes guards against a checker of I6 and I7 that
// accepts a false not-run, an answer to another request, or a call with no
// outcome or two.
func TestOutcomeCheckerFindsFalseOutcomes(t *testing.T) {
	called := RequestEvent{Kind: RequestCalled, Call: "c1", Work: "w1", Expected: "a1"}
	ran := RequestEvent{Kind: RequestRan, Call: "c1", Work: "w1"}
	ended := func(outcome, answer string) RequestEvent {
		return RequestEvent{Kind: RequestEnded, Call: "c1", Work: "w1", Outcome: outcome, Answer: answer}
	}
	cases := []struct {
		name       string
		trace      []RequestEvent
		violations int
	}{
		{"answered", requestTrace(called, ran, ended("answered", "a1")), 0},
		{"unknown after a run", requestTrace(called, ran, ended("unknown", "")), 0},
		{"broken", requestTrace(called, ran, RequestEvent{Kind: RequestInterrupted, Call: "c1"}), 0},
		{"not run after a run", requestTrace(called, ran, ended("not-run", "")), 1},
		{"run after not run", requestTrace(called, ended("not-run", ""), ran), 1},
		{"answer of another request", requestTrace(called, ran, ended("answered", "a2")), 1},
		{"truncated answer", requestTrace(called, ran, ended("answered", "a")), 1},
		{"answer without a run", requestTrace(called, ended("answered", "a1")), 1},
		{"two outcomes", requestTrace(called, ran, ended("unknown", ""), ended("answered", "a1")), 1},
		{"no outcome", requestTrace(called, ran), 1},
		{"no such outcome", requestTrace(called, ended("failed", "")), 1},
		{"run without a call", requestTrace(ran), 1},
	}
	for _, c := range cases {
		checker := NewOutcomeChecker()
		for _, e := range c.trace {
			checker.Add(e)
		}
		checker.Finish()
		if got := checker.Violations(); len(got) != c.violations {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// TestEndpointCheckerFindsLateWork guards against a checker of I5 and I9 that
// accepts work sent to a leaving endpoint, or to a data centre taken out, after
// the grace.
func TestEndpointCheckerFindsLateWork(t *testing.T) {
	const grace = 3 * time.Second
	event := func(after time.Duration, kind EndpointEventKind, endpoint string) EndpointEvent {
		return EndpointEvent{At: requestStart.Add(after), Kind: kind, Observer: "entry-1", Endpoint: endpoint, DataCentre: "north"}
	}
	cases := []struct {
		name       string
		trace      []EndpointEvent
		violations int
	}{
		{"within the grace", []EndpointEvent{event(0, EndpointLeaving, "e1"), event(grace, EndpointSent, "e1")}, 0},
		{"after the grace", []EndpointEvent{event(0, EndpointLeaving, "e1"), event(grace+1, EndpointSent, "e1")}, 1},
		{"departure reported twice", []EndpointEvent{event(0, EndpointLeaving, "e1"), event(grace, EndpointLeaving, "e1"), event(grace+1, EndpointSent, "e1")}, 1},
		{"another endpoint", []EndpointEvent{event(0, EndpointLeaving, "e1"), event(grace+1, EndpointSent, "e2")}, 0},
		{"back again", []EndpointEvent{event(0, EndpointLeaving, "e1"), event(1, EndpointBack, "e1"), event(grace+1, EndpointSent, "e1")}, 0},
		{"data centre out", []EndpointEvent{event(0, EndpointDataCentreOut, ""), event(grace+1, EndpointSent, "e1")}, 1},
		{"data centre back", []EndpointEvent{event(0, EndpointDataCentreOut, ""), event(1, EndpointDataCentreBack, ""), event(grace+1, EndpointSent, "e1")}, 0},
	}
	for _, c := range cases {
		checker := NewEndpointChecker(grace)
		for _, e := range c.trace {
			checker.Add(e)
		}
		if got := checker.Violations(); len(got) != c.violations {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
