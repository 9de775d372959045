package machine

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func newLiveEndpoint() *Endpoint {
	return &Endpoint{ID: "e1", Service: "bookings", Phase: EndpointLive, Load: new(Load), listed: EndpointLive}
}

// TestOneFailedConnectionMakesEndpointSuspect guards against taking an endpoint
// out because a single open connection became silent.
func TestOneFailedConnectionMakesEndpointSuspect(t *testing.T) {
	e := newLiveEndpoint()
	e.ConnectionFailed(start, false, start.Add(time.Second))
	if e.Phase != EndpointSuspect || !e.ProbeDue(start.Add(time.Second)) {
		t.Fatalf("phase %s, next probe at %v, want suspect with a probe due", e.Phase, e.NextProbe())
	}
	e.BeginProbe()
	e.EndProbe(true, false, start.Add(2*time.Second))
	if e.Phase != EndpointLive {
		t.Errorf("phase %s after an answered probe, want live", e.Phase)
	}
}

// TestSilentConnectionOfRespondingEndpoint guards against counting one silent
// connection as evidence while the endpoint answers on other connections.
func TestSilentConnectionOfRespondingEndpoint(t *testing.T) {
	e := newLiveEndpoint()
	e.Load.RecordAnswer(start.Add(time.Second))
	e.ConnectionFailed(start, false, start.Add(2*time.Second))
	if e.Phase != EndpointLive {
		t.Errorf("phase %s, want live", e.Phase)
	}
}

// TestShortDeadlineIsNoEvidence guards against callers with deadlines of a few
// milliseconds that take an endpoint out for all callers.
func TestShortDeadlineIsNoEvidence(t *testing.T) {
	e := newLiveEndpoint()
	e.ConnectionFailed(start, false, start.Add(5*time.Millisecond))
	if e.Phase != EndpointLive {
		t.Errorf("phase %s, want live", e.Phase)
	}
}

// TestOutEndpointNeedsTrialRequest guards against an endpoint that returns to
// full load before it answered one request.
func TestOutEndpointNeedsTrialRequest(t *testing.T) {
	e := newLiveEndpoint()
	e.SetShare(0, 1)
	e.ConnectionBroken(start, start)
	e.BeginProbe()
	e.EndProbe(false, false, start)
	if e.Phase != EndpointOut || e.AcceptsRequests() || e.LastResort() {
		t.Fatalf("phase %s after an unanswered probe, want out without requests", e.Phase)
	}
	e.BeginProbe()
	e.EndProbe(true, false, start.Add(time.Minute))
	if !e.AcceptsRequests() || e.Bound() != 1 {
		t.Fatalf("phase %s with bound %d after an answered probe, want one trial request", e.Phase, e.Bound())
	}
	e.RecordAnswer(start.Add(time.Minute))
	if e.Phase != EndpointLive || e.Bound() != EndpointRequests {
		t.Errorf("phase %s with bound %d after the trial request, want live with the full share", e.Phase, e.Bound())
	}
}

// TestProbesBackOff guards against probing a dead endpoint at the full rate.
func TestProbesBackOff(t *testing.T) {
	e := newLiveEndpoint()
	now := start
	e.ConnectionBroken(now, now)
	var last time.Duration
	for i := range 12 {
		e.BeginProbe()
		e.EndProbe(false, false, now)
		pause := e.NextProbe().Sub(now)
		if pause < last || pause > maxProbePause {
			t.Fatalf("pause %d is %v, the previous one was %v", i, pause, last)
		}
		last, now = pause, e.NextProbe()
	}
	if last < maxProbePause/2 {
		t.Errorf("last pause is %v, want at least half of the maximum", last)
	}
}

// TestEndpointPhases guards the phase rules over random histories: a leaving
// endpoint gets no requests until the list or a probe shows that it is back,
// and a live endpoint becomes out only after a second failure.
func TestEndpointPhases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, now := newLiveEndpoint(), start
		e.SetShare(0, 1)
		steps := rapid.SliceOfN(rapid.IntRange(0, 8), 1, 60).Draw(t, "steps")
		for i, step := range steps {
			before := *e
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause")) * time.Millisecond)
			applyStep(e, step, now)
			if before.Phase == EndpointLive && e.Phase == EndpointOut {
				t.Fatalf("step %d (%d): out after one failure", i, step)
			}
			if before.Phase == EndpointLeaving && e.AcceptsRequests() && step != stepProbeAnswered {
				t.Fatalf("step %d (%d): leaving endpoint accepts requests", i, step)
			}
			if before.listed == EndpointLeaving && e.listed == EndpointLeaving && e.AcceptsRequests() {
				t.Fatalf("step %d (%d): endpoint listed as leaving accepts requests", i, step)
			}
			if e.Phase != EndpointLive && e.Bound() != 1 {
				t.Fatalf("step %d (%d): phase %s with bound %d, want 1", i, step, e.Phase, e.Bound())
			}
			neverProbed := e.NextProbe().IsZero() && !e.probing && !e.AcceptsRequests() && e.listed != EndpointLeaving
			if neverProbed {
				t.Fatalf("step %d (%d): %s and never probed again", i, step, e.Phase)
			}
		}
	})
}

const stepProbeAnswered = 4

func applyStep(e *Endpoint, step int, now time.Time) {
	switch step {
	case 0:
		e.RecordAnswer(now)
	case 1:
		e.ConnectionFailed(now.Add(-time.Second), false, now)
	case 2:
		e.ConnectionBroken(now, now)
	case 3:
		if e.ProbeDue(now) {
			e.BeginProbe()
		}
	case stepProbeAnswered:
		e.EndProbe(true, false, now)
	case 5:
		e.EndProbe(false, false, now)
	case 6:
		e.AnnouncedLeaving(now)
	case 7:
		e.MergeListed(EndpointLeaving, now)
	case 8:
		e.MergeListed(EndpointLive, now)
	}
}

// TestSharesAddUp guards against entry instances that together exceed the
// limits of an endpoint, and against an instance that gets less than an equal
// share.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, EndpointRequests).Draw(t, "count")
		id := rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "id")
		requests, connections := 0, 0
		for rank := range count {
			e := Endpoint{ID: id}
			e.SetShare(rank, count)
			if e.Requests < EndpointRequests/count {
				t.Fatalf("rank %d of %d gets %d requests, less than an equal share", rank, count, e.Requests)
			}
			requests += e.Requests
			connections += e.Connections
		}
		if requests != EndpointRequests || connections != EndpointConnections {
			t.Fatalf("the shares add up to %d requests and %d connections", requests, connections)
		}
	})
}
