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
	"github.com/crocusjunction/crocusjunction/internal/proof"
	"github.com/crocusjunction/crocusjunction/internal/standin"
	"github.com/crocusjunction/crocusjunction/internal/traffic"
)

// tally counts what the runs of a property test met, so that a test that proves
// nothing fails.
type tally struct {
	mu                                 sync.Mutex
	answered, notRun, unknown, repeats int
}

func (c *tally) add(o traffic.Outcome) {
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
// request, a false "not run", a foreign answer and work sent to a leaving
// endpoint or into a data centre taken out. Callers repeat with tickets and
// with keys of their own, also at the same time and through another instance,
// while endpoints and instances fail at each step and the platform loses writes
// and answers.
func TestOutcomesUnderFaults(t *testing.T) {
	var seen tally
	rapid.Check(t, func(r *rapid.T) {
		inBubble(t, func() {
			w := newWorld()
			works := w.works(r)
			for range rapid.IntRange(1, 12).Draw(r, "steps") {
				w.step(r, works, &seen)
			}
			w.check(r)
		})
	})
	if seen.answered == 0 || seen.notRun == 0 || seen.unknown == 0 || seen.repeats == 0 {
		t.Errorf("the runs met answered %d, not-run %d, unknown %d, repeated %d", seen.answered, seen.notRun, seen.unknown, seen.repeats)
	}
}

// inBubble runs one case of a property test in virtual time. A failure of the
// case is a panic of rapid, which has to reach the goroutine of rapid.Check.
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

// work is one request that callers may repeat.
type work struct{ name, service, key string }

// works returns deposits under tickets of both instances and under caller-chosen
// keys.
func (w *world) works(t *rapid.T) []work {
	var list []work
	for i, n := range w.nodes {
		tickets, refusal := n.handler.IssueTickets(context.Background(), secret, 2)
		if refusal != nil {
			t.Fatalf("tickets: %+v", refusal)
		}
		for j, k := range tickets {
			list = append(list, work{name: fmt.Sprintf("ticket-%d-%d", i, j), service: deposits, key: k.String()})
		}
		list = append(list, work{name: fmt.Sprintf("key-%d", i), service: deposits, key: fmt.Sprintf("booking-%d", i)})
	}
	return list
}

// step draws faults and makes one to three calls at the same time.
func (w *world) step(t *rapid.T, works []work, seen *tally) {
	w.replaceCrashed()
	w.drawChanges(t)
	w.refresh()
	w.faults = nil
	for range rapid.IntRange(0, 4).Draw(t, "faults") {
		w.faults = append(w.faults, fault(rapid.IntRange(0, int(faults)-1).Draw(t, "fault")))
	}
	w.store.SetFaults(standin.Faults{
		Outage:      rapid.IntRange(0, 7).Draw(t, "outage") == 0,
		LoseAnswers: rapid.IntRange(0, 1).Draw(t, "lose answers"),
		LoseWrites:  rapid.IntRange(0, 1).Draw(t, "lose writes"),
		DelayMS:     int64(rapid.IntRange(0, 20).Draw(t, "delay")),
	})
	var group sync.WaitGroup
	for range rapid.IntRange(1, 3).Draw(t, "calls") {
		n := w.nodes[rapid.IntRange(0, 1).Draw(t, "node")]
		id := w.nextCall()
		k := work{name: id, service: rapid.SampledFrom([]string{deposits, stock}).Draw(t, "service")}
		if rapid.IntRange(0, 2).Draw(t, "keyed") > 0 {
			k = works[rapid.IntRange(0, len(works)-1).Draw(t, "work")]
		}
		deadline := time.Now().Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "deadline")) * time.Millisecond)
		r := traffic.Request{ID: id, Service: k.service, Secret: secret, Body: []byte(k.name), Deadline: deadline, IdempotencyKey: k.key}
		group.Go(func() {
			outcome := w.call(n, r, k.name)
			seen.add(outcome)
		})
	}
	group.Wait()
}

// drawChanges lets endpoints die, leave and return, and operators take data
// centres out and back.
func (w *world) drawChanges(t *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
	for _, id := range []string{"deposits-0", "deposits-1", "deposits-2"} {
		w.mu.Lock()
		w.dead[id] = rapid.IntRange(0, 3).Draw(t, "dead") == 0
		w.mu.Unlock()
	}
	if rapid.IntRange(0, 2).Draw(t, "order") == 0 {
		w.orderSouth(rapid.Bool().Draw(t, "out"))
	}
}

// orderSouth takes the data centre south out or back.
func (w *world) orderSouth(out bool) {
	w.commit(contract.Object{
		Ref:        contract.Ref{Kind: contract.KindDataCentre, Name: "south"},
		DataCentre: &contract.DataCentreOrder{Name: "south", Out: out},
	})
	w.refresh()
	w.traceCentre("south", out)
}

// TestExpiredRequestIsNotSent guards against work that starts after its caller
// has stopped waiting.
func TestExpiredRequestIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		outcome := w.call(w.nodes[0], traffic.Request{ID: "c1", Service: deposits, Secret: secret, Deadline: time.Now()}, "w1")
		if outcome.Kind != traffic.NotRun || outcome.Refusal.Code != fleet.CodeDeadline || len(w.endpoints) != 0 {
			t.Errorf("outcome %+v, refusal %+v, %d sends", outcome, outcome.Refusal, len(w.endpoints))
		}
	})
}

// TestHeaderCanOnlyMakeStricter guards against a caller's header that lets a
// request be sent twice although its document forbids it.
func TestHeaderCanOnlyMakeStricter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			service       string
			nonIdempotent bool
			want          traffic.OutcomeKind
		}{
			{deposits, false, traffic.Unknown},
			{stock, false, traffic.Answered},
			{stock, true, traffic.Unknown},
		} {
			w := newWorld()
			w.faults = []fault{faultLostRun}
			r := traffic.Request{
				ID: "c1", Service: c.service, Secret: secret, Body: []byte("w1"), Deadline: time.Now().Add(time.Second), NonIdempotent: c.nonIdempotent,
			}
			if outcome := w.call(w.nodes[0], r, "w1"); outcome.Kind != c.want {
				t.Errorf("%s, non-idempotent %v: %s", c.service, c.nonIdempotent, outcome.Kind)
			}
			w.check(t)
		}
	})
}

// TestRetryStaysInBudget guards against retries that multiply the load while
// every endpoint fails.
func TestRetryStaysInBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		const calls = 200
		w.faults = make([]fault, calls*10)
		for i := range w.faults {
			w.faults[i] = faultLostUnrun
		}
		began := time.Now()
		for i := range calls {
			id := fmt.Sprint("c", i)
			r := traffic.Request{ID: id, Service: stock, Secret: secret, Body: []byte(id), Deadline: time.Now().Add(time.Second)}
			w.call(w.nodes[0], r, id)
			time.Sleep(10 * time.Millisecond)
		}
		took := time.Since(began)
		w.check(t)
		sends := 0
		for _, e := range w.endpoints {
			if e.Kind == proof.EndpointSent {
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

// TestWaitsForBusyEndpoints guards against more than the bound of requests at
// one endpoint, and against waiting requests that are never woken.
func TestWaitsForBusyEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		var seen tally
		var group sync.WaitGroup
		const calls = 500
		for i := range calls {
			id := fmt.Sprint("c", i)
			r := traffic.Request{ID: id, Service: deposits, Secret: secret, Body: []byte(id), Deadline: time.Now().Add(time.Minute)}
			group.Go(func() { seen.add(w.call(w.nodes[0], r, id)) })
		}
		group.Wait()
		w.check(t)
		if seen.answered != calls {
			t.Errorf("answered %d of %d", seen.answered, calls)
		}
		if w.busiest == 0 || w.busiest > 8 {
			t.Errorf("%d requests at one endpoint", w.busiest)
		}
	})
}

// TestWaitEndsAtDeadline guards against a request that waits for a busy endpoint
// longer than its caller.
func TestWaitEndsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.faults = make([]fault, 24)
		for i := range w.faults {
			w.faults[i] = faultSilent
		}
		var group sync.WaitGroup
		for i := range w.faults {
			id := fmt.Sprint("silent", i)
			r := traffic.Request{ID: id, Service: deposits, Secret: secret, Body: []byte(id), Deadline: time.Now().Add(time.Minute)}
			group.Go(func() { w.call(w.nodes[0], r, id) })
		}
		synctest.Wait()
		began := time.Now()
		r := traffic.Request{ID: "late", Service: deposits, Secret: secret, Body: []byte("late"), Deadline: began.Add(time.Second)}
		outcome := w.call(w.nodes[0], r, "late")
		if outcome.Kind != traffic.NotRun || outcome.Refusal.Code != fleet.CodeOverloaded || time.Since(began) != time.Second {
			t.Errorf("outcome %+v after %v of virtual time", outcome, time.Since(began))
		}
		group.Wait()
		w.check(t)
	})
}

// TestLostAttemptKeepsItsSlot guards against more running work of a team than its
// limit: an endpoint may go on with a lost attempt while the slot is used again.
func TestLostAttemptKeepsItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			service string
			faults  []fault
			kept    []bool
		}{
			{deposits, nil, []bool{false}},
			{deposits, []fault{faultLostRun}, []bool{true}},
			{stock, []fault{faultLostRun}, []bool{true, false}},
			{stock, []fault{faultDeclined}, []bool{false}},
		} {
			w := newWorld()
			w.faults = c.faults
			deadline := time.Now().Add(time.Second)
			w.call(w.nodes[0], traffic.Request{ID: "c1", Service: c.service, Secret: secret, Body: []byte("w1"), Deadline: deadline}, "w1")
			w.check(t)
			var kept []bool
			for _, r := range w.nodes[0].releases {
				kept = append(kept, r.Until.Equal(deadline))
			}
			if diff := cmp.Diff(c.kept, kept); diff != "" {
				t.Errorf("%s with faults %v: %s", c.service, c.faults, diff)
			}
		}
	})
}
