package machine

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func liveEndpoint() *Endpoint {
	return &Endpoint{ID: "e1", Service: "bookings", Phase: EndpointLive, Load: new(Load), listed: EndpointLive}
}

// TestOneFailedConnectionDoesNotJudgeDead guards against an endpoint that is
// set aside because a single open connection went silent.
func TestOneFailedConnectionDoesNotJudgeDead(t *testing.T) {
	e := liveEndpoint()
	e.ConnectionFailed(start, false, start.Add(time.Second))
	if e.Phase != EndpointSuspect || !e.ProbeDue(start.Add(time.Second)) {
		t.Fatalf("phase %s, probe at %v", e.Phase, e.NextProbe())
	}
	e.BeginProbe()
	e.Probed(true, false, start.Add(2*time.Second))
	if e.Phase != EndpointLive {
		t.Errorf("phase %s after an answered probe", e.Phase)
	}
}

// TestSilentConnectionOfAnsweringEndpoint guards against evidence from one
// silent connection while other connections are answered.
func TestSilentConnectionOfAnsweringEndpoint(t *testing.T) {
	e := liveEndpoint()
	e.Load.RecordAnswer(start.Add(time.Second))
	e.ConnectionFailed(start, false, start.Add(2*time.Second))
	if e.Phase != EndpointLive {
		t.Errorf("phase %s", e.Phase)
	}
}

// TestShortDeadlineIsNoEvidence guards against callers with deadlines of a few
// milliseconds that take endpoints out for all others.
func TestShortDeadlineIsNoEvidence(t *testing.T) {
	e := liveEndpoint()
	e.ConnectionFailed(start, false, start.Add(5*time.Millisecond))
	if e.Phase != EndpointLive {
		t.Errorf("phase %s", e.Phase)
	}
}

// TestOutEndpointNeedsTrial guards against an endpoint that returns to full
// load without having answered one request.
func TestOutEndpointNeedsTrial(t *testing.T) {
	e := liveEndpoint()
	e.Share(0, 1)
	e.ConnectionBroken(start, start)
	e.BeginProbe()
	e.Probed(false, false, start)
	if e.Phase != EndpointOut || e.Takes() || e.LastResort() {
		t.Fatalf("phase %s", e.Phase)
	}
	e.BeginProbe()
	e.Probed(true, false, start.Add(time.Minute))
	if !e.Takes() || e.Bound() != 1 {
		t.Fatalf("phase %s, bound %d", e.Phase, e.Bound())
	}
	e.Answered(start.Add(time.Minute))
	if e.Phase != EndpointLive || e.Bound() != EndpointRequests {
		t.Errorf("phase %s, bound %d", e.Phase, e.Bound())
	}
}

// TestProbesBackOff guards against a dead endpoint that is probed at full rate.
func TestProbesBackOff(t *testing.T) {
	e := liveEndpoint()
	now := start
	e.ConnectionBroken(now, now)
	var last time.Duration
	for i := range 12 {
		e.BeginProbe()
		e.Probed(false, false, now)
		pause := e.NextProbe().Sub(now)
		if pause < last || pause > probeMax {
			t.Fatalf("probe %d after %v, the one before after %v", i, pause, last)
		}
		last, now = pause, e.NextProbe()
	}
	if last < probeMax/2 {
		t.Errorf("last pause %v", last)
	}
}

// TestEndpointPhases guards the rules of the phases over random histories: a
// leaving endpoint takes nothing until the list or a probe shows it back, and
// live goes to out only through a second failure.
func TestEndpointPhases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, now := liveEndpoint(), start
		e.Share(0, 1)
		steps := rapid.SliceOfN(rapid.IntRange(0, 8), 1, 60).Draw(t, "steps")
		for i, step := range steps {
			before := *e
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause")) * time.Millisecond)
			applyStep(e, step, now)
			if before.Phase == EndpointLive && e.Phase == EndpointOut {
				t.Fatalf("step %d (%d): out after one failure", i, step)
			}
			if before.Phase == EndpointLeaving && e.Takes() && step != stepProbed {
				t.Fatalf("step %d (%d): leaving endpoint takes work", i, step)
			}
			if before.listed == EndpointLeaving && e.listed == EndpointLeaving && e.Takes() {
				t.Fatalf("step %d (%d): endpoint listed as leaving takes work", i, step)
			}
			if e.Phase != EndpointLive && e.Bound() != 1 {
				t.Fatalf("step %d (%d): %s with bound %d", i, step, e.Phase, e.Bound())
			}
			stuck := e.NextProbe().IsZero() && !e.probing && !e.Takes() && e.listed != EndpointLeaving
			if stuck {
				t.Fatalf("step %d (%d): %s and never probed again", i, step, e.Phase)
			}
		}
	})
}

const stepProbed = 4

func applyStep(e *Endpoint, step int, now time.Time) {
	switch step {
	case 0:
		e.Answered(now)
	case 1:
		e.ConnectionFailed(now.Add(-time.Second), false, now)
	case 2:
		e.ConnectionBroken(now, now)
	case 3:
		if e.ProbeDue(now) {
			e.BeginProbe()
		}
	case stepProbed:
		e.Probed(true, false, now)
	case 5:
		e.Probed(false, false, now)
	case 6:
		e.SaidLeaving(now)
	case 7:
		e.ListAs(EndpointLeaving, now)
	case 8:
		e.ListAs(EndpointLive, now)
	}
}

// TestSharesAddUp guards against entry instances that together exceed the
// limits of an endpoint, and against one that gets nothing.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, EndpointRequests).Draw(t, "count")
		id := rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "id")
		requests, connections := 0, 0
		for rank := range count {
			e := Endpoint{ID: id}
			e.Share(rank, count)
			if e.Requests < EndpointRequests/count {
				t.Fatalf("rank %d of %d gets %d", rank, count, e.Requests)
			}
			requests += e.Requests
			connections += e.Connections
		}
		if requests != EndpointRequests || connections != EndpointConnections {
			t.Fatalf("%d requests, %d connections", requests, connections)
		}
	})
}
