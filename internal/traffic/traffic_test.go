package traffic_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/invariant"
	"github.com/crocusjunction/crocusjunction/internal/standin"
	"github.com/crocusjunction/crocusjunction/internal/traffic"
)

// outcomeTally counts the outcomes over all cases of a property test, so that the
// test fails when its cases never produce one of them.
type outcomeTally struct {
	mu                                 sync.Mutex
	answered, notRun, unknown, repeats int
}

func (c *outcomeTally) add(o traffic.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch o.Kind {
	case traffic.Answered:
		c.answered++
	case traffic.NotRun:
		c.notRun++
	case traffic.Unknown:
		c.unknown++
	}
	if o.Repeated {
		c.repeats++
	}
}

// TestOutcomesUnderFaults guards against a second run of a non-idempotent
// request, a false "not run", an answer to another request, and work sent to a
// leaving endpoint or into a data centre that was taken out of service. Callers
// repeat requests with tickets and with their own keys, concurrently and through
// both instances, while endpoints and instances fail at each step and the
// platform loses writes and answers.
func TestOutcomesUnderFaults(t *testing.T) {
	var tally outcomeTally
	rapid.Check(t, func(r *rapid.T) {
		inBubble(t, func() {
			c := newTestCluster()
			keyed := c.keyedRequests(r)
			for range rapid.IntRange(1, 12).Draw(r, "steps") {
				c.step(r, keyed, &tally)
			}
			c.check(r)
		})
	})
	if tally.answered == 0 || tally.notRun == 0 || tally.unknown == 0 || tally.repeats == 0 {
		t.Errorf("outcomes over all cases: answered %d, not-run %d, unknown %d, repeated %d", tally.answered, tally.notRun, tally.unknown, tally.repeats)
	}
}

// inBubble runs one case of a property test in a synctest bubble, in virtual
// time. rapid reports the failure of a case by a panic, which inBubble passes on
// to the goroutine of rapid.Check.
func inBubble(t *testing.T, run func()) {
	var failure any
	synctest.Test(t, func(*testing.T) {
		defer func() { failure = recover() }()
		run()
	})
	if failure != nil {
		panic(failure)
	}
}

// testRequest is one request that callers may repeat. Its key is an idempotency
// key, or empty.
type testRequest struct{ name, service, key string }

// keyedRequests returns requests to the deposits service with tickets of both
// instances and with caller-chosen keys.
func (c *testCluster) keyedRequests(t *rapid.T) []testRequest {
	var list []testRequest
	for i, n := range c.nodes {
		tickets, refusal := n.handler.IssueTickets(context.Background(), secret, 2)
		if refusal != nil {
			t.Fatalf("tickets refused: %+v", refusal)
		}
		for j, ticket := range tickets {
			list = append(list, testRequest{name: fmt.Sprintf("ticket-%d-%d", i, j), service: deposits, key: ticket.String()})
		}
		list = append(list, testRequest{name: fmt.Sprintf("key-%d", i), service: deposits, key: fmt.Sprintf("booking-%d", i)})
	}
	return list
}

// step draws faults and makes one to three concurrent calls, each with one of the
// keyed requests or with a new request without a key.
func (c *testCluster) step(t *rapid.T, keyed []testRequest, tally *outcomeTally) {
	c.restartCrashed()
	c.drawEndpointsAndOrders(t)
	c.applyHead()
	c.faults = nil
	for range rapid.IntRange(0, 4).Draw(t, "faults") {
		c.faults = append(c.faults, fault(rapid.IntRange(0, int(faultCount)-1).Draw(t, "fault")))
	}
	c.store.SetStoreFaults(standin.StoreFaults{
		Outage:      rapid.IntRange(0, 7).Draw(t, "outage") == 0,
		LoseAnswers: rapid.IntRange(0, 1).Draw(t, "lose answers"),
		LoseWrites:  rapid.IntRange(0, 1).Draw(t, "lose writes"),
		DelayMS:     int64(rapid.IntRange(0, 20).Draw(t, "delay")),
	})
	var group sync.WaitGroup
	for range rapid.IntRange(1, 3).Draw(t, "calls") {
		n := c.nodes[rapid.IntRange(0, 1).Draw(t, "node")]
		id := c.nextCall()
		w := testRequest{name: id, service: rapid.SampledFrom([]string{deposits, stock}).Draw(t, "service")}
		if rapid.IntRange(0, 2).Draw(t, "keyed") > 0 {
			w = keyed[rapid.IntRange(0, len(keyed)-1).Draw(t, "work")]
		}
		deadline := time.Now().Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "deadline")) * time.Millisecond)
		r := traffic.Request{ID: id, Service: w.service, Secret: secret, Body: []byte(w.name), Deadline: deadline, IdempotencyKey: w.key}
		group.Go(func() {
			outcome := c.call(n, r, w.name)
			tally.add(outcome)
		})
	}
	group.Wait()
}

// drawEndpointsAndOrders waits for a random time, then draws which endpoints are
// down and whether operators commit an order for data centre "south".
func (c *testCluster) drawEndpointsAndOrders(t *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
	for _, id := range []string{"deposits-0", "deposits-1", "deposits-2"} {
		c.mu.Lock()
		c.down[id] = rapid.IntRange(0, 3).Draw(t, "dead") == 0
		c.mu.Unlock()
	}
	if rapid.IntRange(0, 2).Draw(t, "order") == 0 {
		c.commitSouthOrder(rapid.Bool().Draw(t, "out"))
	}
}

// commitSouthOrder commits an order that takes data centre "south" out of service
// (out) or returns it to service, and applies it at all nodes.
func (c *testCluster) commitSouthOrder(out bool) {
	c.commit(contract.Object{
		Ref:        contract.Ref{Kind: contract.KindDataCentre, Name: "south"},
		DataCentre: &contract.DataCentreOrder{Name: "south", Out: out},
	})
	c.applyHead()
	c.recordCentreOrder("south", out)
}

// TestExpiredRequestIsNotSent guards against an attempt that starts after the
// request's deadline.
func TestExpiredRequestIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster()
		outcome := c.call(c.nodes[0], traffic.Request{ID: "c1", Service: deposits, Secret: secret, Deadline: time.Now()}, "w1")
		if outcome.Kind != traffic.NotRun || outcome.Refusal.Code != fleet.CodeDeadline || len(c.endpoints) != 0 {
			t.Errorf("outcome %+v, refusal %+v, %d sends", outcome, outcome.Refusal, len(c.endpoints))
		}
	})
}

// TestCallerCanOnlyForbidRetry guards against a caller's idempotency setting that
// causes a retry although the service's document forbids it.
func TestCallerCanOnlyForbidRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, tc := range []struct {
			service       string
			nonIdempotent bool
			want          traffic.OutcomeKind
		}{
			{deposits, false, traffic.Unknown},
			{stock, false, traffic.Answered},
			{stock, true, traffic.Unknown},
		} {
			c := newTestCluster()
			c.faults = []fault{faultLostAfterRun}
			r := traffic.Request{
				ID: "c1", Service: tc.service, Secret: secret, Body: []byte("w1"), Deadline: time.Now().Add(time.Second), NonIdempotent: tc.nonIdempotent,
			}
			if outcome := c.call(c.nodes[0], r, "w1"); outcome.Kind != tc.want {
				t.Errorf("%s, non-idempotent %v: %s", tc.service, tc.nonIdempotent, outcome.Kind)
			}
			c.check(t)
		}
	})
}

// TestRetryStaysInBudget guards against retry storms: while every endpoint fails,
// retries must stay within a tenth of the requests plus the floor of the budget.
func TestRetryStaysInBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster()
		const calls = 200
		c.faults = make([]fault, calls*10)
		for i := range c.faults {
			c.faults[i] = faultLostBeforeRun
		}
		began := time.Now()
		for i := range calls {
			id := fmt.Sprint("c", i)
			r := traffic.Request{ID: id, Service: stock, Secret: secret, Body: []byte(id), Deadline: time.Now().Add(time.Second)}
			c.call(c.nodes[0], r, id)
			time.Sleep(10 * time.Millisecond)
		}
		took := time.Since(began)
		c.check(t)
		sends := 0
		for _, e := range c.endpoints {
			if e.Kind == invariant.EndpointSent {
				sends++
			}
		}
		retries := sends - calls
		bound := calls/10 + 3 + int(took/time.Second) + 1
		if retries > bound || retries <= 0 {
			t.Errorf("%d retries of %d calls, bound %d", retries, calls, bound)
		}
	})
}

// TestWaitsForBusyEndpoints guards against more concurrent requests at an
// endpoint than its bound, and against waiting requests that are never woken.
func TestWaitsForBusyEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster()
		var tally outcomeTally
		var group sync.WaitGroup
		const calls = 500
		for i := range calls {
			id := fmt.Sprint("c", i)
			r := traffic.Request{ID: id, Service: deposits, Secret: secret, Body: []byte(id), Deadline: time.Now().Add(time.Minute)}
			group.Go(func() { tally.add(c.call(c.nodes[0], r, id)) })
		}
		group.Wait()
		c.check(t)
		if tally.answered != calls {
			t.Errorf("answered %d of %d", tally.answered, calls)
		}
		if c.maxRunning == 0 || c.maxRunning > 8 {
			t.Errorf("%d concurrent requests at one endpoint, want 1 to 8", c.maxRunning)
		}
	})
}

// TestWaitEndsAtDeadline guards against a request that waits for an endpoint
// beyond its deadline. 24 attempts without an answer fill the 3 endpoints, whose
// concurrency bound is 8.
func TestWaitEndsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster()
		c.faults = make([]fault, 24)
		for i := range c.faults {
			c.faults[i] = faultTimeout
		}
		var group sync.WaitGroup
		for i := range c.faults {
			id := fmt.Sprint("silent", i)
			r := traffic.Request{ID: id, Service: deposits, Secret: secret, Body: []byte(id), Deadline: time.Now().Add(time.Minute)}
			group.Go(func() { c.call(c.nodes[0], r, id) })
		}
		synctest.Wait()
		began := time.Now()
		r := traffic.Request{ID: "late", Service: deposits, Secret: secret, Body: []byte("late"), Deadline: began.Add(time.Second)}
		outcome := c.call(c.nodes[0], r, "late")
		if outcome.Kind != traffic.NotRun || outcome.Refusal.Code != fleet.CodeOverloaded || time.Since(began) != time.Second {
			t.Errorf("outcome %+v after %v of virtual time", outcome, time.Since(began))
		}
		group.Wait()
		c.check(t)
	})
}

// TestLostAttemptKeepsItsSlot guards against a team that exceeds its limit because
// the slot of a lost attempt is used again while the endpoint is still running the
// attempt.
func TestLostAttemptKeepsItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, tc := range []struct {
			service string
			faults  []fault
			kept    []bool
		}{
			{deposits, nil, []bool{false}},
			{deposits, []fault{faultLostAfterRun}, []bool{true}},
			{stock, []fault{faultLostAfterRun}, []bool{true, false}},
			{stock, []fault{faultDeclined}, []bool{false}},
		} {
			c := newTestCluster()
			c.faults = tc.faults
			deadline := time.Now().Add(time.Second)
			c.call(c.nodes[0], traffic.Request{ID: "c1", Service: tc.service, Secret: secret, Body: []byte("w1"), Deadline: deadline}, "w1")
			c.check(t)
			var kept []bool
			for _, r := range c.nodes[0].releases {
				kept = append(kept, r.Until.Equal(deadline))
			}
			if diff := cmp.Diff(tc.kept, kept); diff != "" {
				t.Errorf("%s with faults %v: %s", tc.service, tc.faults, diff)
			}
		}
	})
}
