package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/crocusjunction/crocusjunction/internal/front"
	"github.com/crocusjunction/crocusjunction/internal/load"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/platform"
	"github.com/crocusjunction/crocusjunction/internal/standin"
)

// bodies returns how often an endpoint ran each body.
func bodies(t *testing.T, endpoint string) map[string]int {
	t.Helper()
	var counts map[string]int
	r, err := post(t, url(endpoint, standin.PathBodies), nil)
	if err != nil || json.Unmarshal(r.body, &counts) != nil {
		t.Fatalf("bodies: %q, error %v", r.body, err)
	}
	return counts
}

// callWith sends one deposit with an idempotency key, which may be empty.
func (c *cluster) callWith(t *testing.T, e *entryProcess, body, key string, deadline time.Duration) (reply, error) {
	t.Helper()
	headers := []string{"Crocus-Key", secret, "Crocus-Deadline-Ms", fmt.Sprint(deadline.Milliseconds())}
	if key != "" {
		headers = append(headers, "Idempotency-Key", key)
	}
	return post(t, url(e.address, "/v1/work/bookings"), []byte(body), headers...)
}

// callResult is a reply that arrives later.
type callResult struct {
	r   reply
	err error
}

func (c *cluster) callLater(t *testing.T, e *entryProcess, body, key string, deadline time.Duration) <-chan callResult {
	t.Helper()
	results := make(chan callResult, 1)
	go func() {
		r, err := c.callWith(t, e, body, key, deadline)
		results <- callResult{r, err}
	}()
	return results
}

// tickets returns new tickets of an entry instance.
func tickets(t *testing.T, e *entryProcess, count int) []string {
	t.Helper()
	r, err := post(t, url(e.address, "/v1/tickets?count=%d", count), nil, "Crocus-Key", secret)
	var list front.TicketList
	if err != nil || json.Unmarshal(r.body, &list) != nil || len(list.Tickets) != count {
		t.Fatalf("tickets: %q, error %v", r.body, err)
	}
	return list.Tickets
}

// phaseOf returns the phase of an endpoint as an entry instance sees it.
func phaseOf(t *testing.T, e *entryProcess, id string) machine.EndpointPhase {
	t.Helper()
	var list front.EndpointList
	if err := getJSON(url(e.address, "/v1/endpoints"), &list); err != nil {
		t.Fatal(err)
	}
	for _, endpoint := range list.Endpoints {
		if endpoint.ID == id {
			return endpoint.Phase
		}
	}
	return ""
}

// TestEndpointKilledDuringRequest guards against a request that was cut by the
// death of its endpoint and is reported as not run, and against new work for the
// dead endpoint.
func TestEndpointKilledDuringRequest(t *testing.T) {
	c := startCluster(t, "1s")
	result := c.callLater(t, c.first, "deposit", "", 10*time.Second)
	eventually(t, "the endpoint runs the request", func() bool { return bodies(t, c.endpointAddress)["deposit"] == 1 })
	c.endpoint.kill()
	if got := <-result; got.err != nil || got.r.outcome != "unknown" {
		t.Errorf("outcome %q, error %v", got.r.outcome, got.err)
	}
	eventually(t, "the endpoint is out", func() bool { return phaseOf(t, c.first, "e1") == machine.EndpointOut })
	r, err := c.callWith(t, c.first, "deposit 2", "", 2*time.Second)
	if err != nil || r.outcome != "not-run" {
		t.Errorf("next request: outcome %q, error %v", r.outcome, err)
	}
}

// TestEntryKilledAndCallerRepeats guards against a deposit that runs twice
// because the caller lost its entry instance and repeats it through another one.
func TestEntryKilledAndCallerRepeats(t *testing.T) {
	for _, kind := range []string{"ticket", "key"} {
		t.Run(kind, func(t *testing.T) {
			c := startCluster(t, "1s")
			key := "booking-7"
			if kind == "ticket" {
				key = tickets(t, c.first, 1)[0]
			}
			result := c.callLater(t, c.first, "deposit", key, 10*time.Second)
			eventually(t, "the endpoint runs the request", func() bool { return bodies(t, c.endpointAddress)["deposit"] == 1 })
			c.first.kill()
			if got := <-result; got.err == nil {
				t.Errorf("the killed instance answered: %+v", got.r)
			}
			r, err := c.callWith(t, c.second, "deposit", key, 2*time.Second)
			if err != nil || r.outcome != "unknown" {
				t.Errorf("repeat: outcome %q %s, error %v", r.outcome, r.body, err)
			}
			if n := bodies(t, c.endpointAddress)["deposit"]; n != 1 {
				t.Errorf("the deposit ran %d times", n)
			}
		})
	}
}

// TestRepeatGetsTheSameAnswer guards against a repeat that runs again or gets
// another answer, through the same and through another entry instance, while the
// first call is running and after it.
func TestRepeatGetsTheSameAnswer(t *testing.T) {
	c := startCluster(t, "500ms")
	issued := tickets(t, c.first, 1)[0]
	for name, key := range map[string]string{"ticket": issued, "key": "booking-8"} {
		body := "deposit with " + name
		first := c.callLater(t, c.first, body, key, 10*time.Second)
		eventually(t, "the endpoint runs the request", func() bool { return bodies(t, c.endpointAddress)[body] == 1 })
		during := c.callLater(t, c.second, body, key, 10*time.Second)
		for _, got := range []callResult{<-first, <-during} {
			if got.err != nil || got.r.outcome != "answered" || string(got.r.body) != body {
				t.Errorf("%s: outcome %q, body %q, error %v", name, got.r.outcome, got.r.body, got.err)
			}
		}
		for _, e := range []*entryProcess{c.first, c.second} {
			r, err := c.callWith(t, e, body, key, 10*time.Second)
			if err != nil || r.outcome != "answered" || string(r.body) != body {
				t.Errorf("%s after the end: outcome %q, body %q, error %v", name, r.outcome, r.body, err)
			}
			r, err = c.callWith(t, e, "another deposit", key, 10*time.Second)
			if err != nil || r.outcome != "not-run" || r.status != 422 {
				t.Errorf("%s with another body: outcome %q, status %d, error %v", name, r.outcome, r.status, err)
			}
		}
		if counts := bodies(t, c.endpointAddress); counts[body] != 1 || counts["another deposit"] != 0 {
			t.Errorf("%s: runs %v", name, counts)
		}
	}
}

// TestSilentConnection guards against an endpoint that is judged dead because of
// one connection that went silent, and against the use of that connection.
func TestSilentConnection(t *testing.T) {
	c := startCluster(t, "1ms")
	postJSON(t, url(c.endpointAddress, standin.PathEndpointFaults), standin.EndpointFaults{Mode: standin.FaultSilent, Requests: 1})
	r, err := c.callWith(t, c.first, "deposit", "", 700*time.Millisecond)
	if err != nil || r.outcome != "unknown" {
		t.Errorf("silent connection: outcome %q, error %v", r.outcome, err)
	}
	eventually(t, "the endpoint is live", func() bool { return phaseOf(t, c.first, "e1") == machine.EndpointLive })
	r, err = c.callWith(t, c.first, "deposit 2", "", 5*time.Second)
	if err != nil || r.outcome != "answered" {
		t.Errorf("next request: outcome %q, error %v", r.outcome, err)
	}
}

// startEndpoint starts one more endpoint of the service and lists it.
func (c *cluster) startEndpoint(t *testing.T, id, centre, work string) string {
	t.Helper()
	address := freeAddress(t)
	start(t, build(t), "standin", "endpoint", "--listen", address, "--work", work)
	waitListening(t, address)
	postJSON(t, url(c.platform, standin.PathUpdateInstance), platform.Instance{
		ID: id, Service: "bookings", DataCentre: centre, Address: address,
	})
	return address
}

// TestLeavingEndpoint guards against new work for an endpoint that said itself
// that it leaves, while the platform's list still shows it as live.
func TestLeavingEndpoint(t *testing.T) {
	c := startCluster(t, "1ms")
	c.startEndpoint(t, "e2", "north", "1ms")
	eventually(t, "the second endpoint is known", func() bool { return phaseOf(t, c.first, "e2") == machine.EndpointLive })
	postJSON(t, url(c.endpointAddress, standin.PathEndpointFaults), standin.EndpointFaults{Leaving: true})
	eventually(t, "the endpoint's word is heard", func() bool {
		if _, err := c.callWith(t, c.first, "stock", "", 5*time.Second); err != nil {
			t.Fatal(err)
		}
		return phaseOf(t, c.first, "e1") == machine.EndpointLeaving
	})
	before := c.runs(t)
	for i := range 50 {
		r, err := c.callWith(t, c.first, fmt.Sprint("stock ", i), "", 5*time.Second)
		if err != nil || r.outcome != "answered" {
			t.Fatalf("outcome %q, error %v", r.outcome, err)
		}
	}
	if after := c.runs(t); after != before {
		t.Errorf("the leaving endpoint ran %d more requests", after-before)
	}
}

// TestPlannedStopUnderLoad guards against a planned stop that cuts a request or
// a connection while a load balancer goes by readiness.
func TestPlannedStopUnderLoad(t *testing.T) {
	c := startCluster(t, "20ms")
	// The limit leaves room for both instances, so that no request is refused
	// while the slots of the stopping one are returned.
	setLimit(t, c.first.address, "raise", teamRevision(t, c.first), 64)
	for _, id := range []string{"e2", "e3"} {
		c.startEndpoint(t, id, "south", "20ms")
	}
	results := make(chan load.Result, 1)
	failures := make(chan error, 1)
	go func() {
		result, err := load.Run(context.Background(), load.Plan{
			Entries: []string{c.first.address, c.second.address}, Concurrency: 8, Duration: 6 * time.Second, Deadline: 10 * time.Second, Seed: 1, Size: 64,
			Targets: []load.Target{{Team: "depots", Service: "bookings", Key: secret}},
		})
		results <- result
		failures <- err
	}()
	before := c.runs(t)
	eventually(t, "the load runs", func() bool { return c.runs(t) > before+50 })
	c.first.signal(syscall.SIGTERM)
	if err := c.first.cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
	result, err := <-results, <-failures
	if err != nil {
		t.Fatal(err)
	}
	team := result.Teams[0]
	if team.Answered == 0 || team.Broken != 0 || team.Unknown != 0 || team.NotRun != 0 {
		t.Errorf("outcomes of the load: %+v", team)
	}
}

// TestPlannedStopFinishesForwardedRequests guards against a planned stop of the
// issuer of a ticket that cuts a request which another instance forwarded.
func TestPlannedStopFinishesForwardedRequests(t *testing.T) {
	c := startCluster(t, "4s")
	ticket := tickets(t, c.first, 1)[0]
	result := c.callLater(t, c.second, "deposit", ticket, 10*time.Second)
	eventually(t, "the endpoint runs the request", func() bool { return bodies(t, c.endpointAddress)["deposit"] == 1 })
	c.first.signal(syscall.SIGTERM)
	if got := <-result; got.err != nil || got.r.outcome != "answered" || string(got.r.body) != "deposit" {
		t.Errorf("outcome %q, body %q, error %v", got.r.outcome, got.r.body, got.err)
	}
	if err := c.first.cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// TestReadiness guards against a stopping instance that the load balancer still
// takes for ready, and one that closes its listener at once.
func TestReadiness(t *testing.T) {
	c := startCluster(t, "1ms")
	status := func() int {
		code, err := getStatus(url(c.first.address, "/v1/ready"))
		if err != nil {
			return 0
		}
		return code
	}
	if code := status(); code != 200 {
		t.Fatalf("ready: status %d", code)
	}
	c.first.signal(syscall.SIGTERM)
	eventually(t, "readiness is withdrawn", func() bool { return status() == 503 })
	r, err := c.callWith(t, c.first, "late booking", "", 5*time.Second)
	if err != nil || r.outcome != "answered" {
		t.Errorf("request during the drain: outcome %q, error %v", r.outcome, err)
	}
	if err := c.first.cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// getStatus returns the status of a GET.
func getStatus(address string) (int, error) {
	code, _, err := fasthttp.GetTimeout(nil, address, callTimeout)
	return code, err
}

// getJSON reads the answer of a GET into value.
func getJSON(address string, value any) error {
	_, body, err := fasthttp.GetTimeout(nil, address, callTimeout)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, value)
}
