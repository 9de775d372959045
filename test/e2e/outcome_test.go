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

// requestsByBody returns the number of requests that an endpoint has started
// for each request body.
func requestsByBody(t *testing.T, endpoint string) map[string]int {
	t.Helper()
	var counts map[string]int
	r, err := post(t, url(endpoint, standin.PathBodies), nil)
	if err != nil || json.Unmarshal(r.body, &counts) != nil {
		t.Fatalf("bodies: %q, error %v", r.body, err)
	}
	return counts
}

// sendWithKey sends one request with a deadline. It sends key as the idempotency
// key unless key is empty.
func (c *cluster) sendWithKey(t *testing.T, e *entryProcess, body, key string, deadline time.Duration) (reply, error) {
	t.Helper()
	headers := []string{"Crocus-Key", secret, "Crocus-Deadline-Ms", fmt.Sprint(deadline.Milliseconds())}
	if key != "" {
		headers = append(headers, "Idempotency-Key", key)
	}
	return post(t, url(e.address, "/v1/work/bookings"), []byte(body), headers...)
}

// asyncReply is the reply or error of a request that sendAsync has sent.
type asyncReply struct {
	r   reply
	err error
}

// sendAsync is sendWithKey in a goroutine; the result arrives on the channel.
func (c *cluster) sendAsync(t *testing.T, e *entryProcess, body, key string, deadline time.Duration) <-chan asyncReply {
	t.Helper()
	results := make(chan asyncReply, 1)
	go func() {
		r, err := c.sendWithKey(t, e, body, key, deadline)
		results <- asyncReply{r, err}
	}()
	return results
}

// issueTickets returns count new tickets that an entry instance has issued.
func issueTickets(t *testing.T, e *entryProcess, count int) []string {
	t.Helper()
	r, err := post(t, url(e.address, "/v1/tickets?count=%d", count), nil, "Crocus-Key", secret)
	var list front.TicketList
	if err != nil || json.Unmarshal(r.body, &list) != nil || len(list.Tickets) != count {
		t.Fatalf("tickets: %q, error %v", r.body, err)
	}
	return list.Tickets
}

// waitForwarding waits until the second entry instance has a link to the first
// one and can forward requests with its tickets. Until then such a request has
// the outcome "unknown".
func (c *cluster) waitForwarding(t *testing.T) {
	t.Helper()
	eventually(t, "a request with a ticket is forwarded to the issuer", func() bool {
		r, err := c.sendWithKey(t, c.second, "warm up", issueTickets(t, c.first, 1)[0], 5*time.Second)
		return err == nil && r.outcome == "answered"
	})
}

// endpointPhase returns the phase of an endpoint at an entry instance, or "" if
// the instance does not list it.
func endpointPhase(t *testing.T, e *entryProcess, id string) machine.EndpointPhase {
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

// TestEndpointKilledDuringRequest guards against a started request that is
// reported as not run after its endpoint was killed, and against new requests
// that are sent to the killed endpoint.
func TestEndpointKilledDuringRequest(t *testing.T) {
	c := startCluster(t, "1s")
	result := c.sendAsync(t, c.first, "deposit", "", 10*time.Second)
	eventually(t, "the endpoint runs the request", func() bool { return requestsByBody(t, c.endpointAddress)["deposit"] == 1 })
	c.endpoint.kill()
	if got := <-result; got.err != nil || got.r.outcome != "unknown" {
		t.Errorf("request at the killed endpoint: outcome %q, error %v", got.r.outcome, got.err)
	}
	eventually(t, "the killed endpoint is out", func() bool { return endpointPhase(t, c.first, "e1") == machine.EndpointOut })
	r, err := c.sendWithKey(t, c.first, "deposit 2", "", 2*time.Second)
	if err != nil || r.outcome != "not-run" {
		t.Errorf("next request: outcome %q, error %v", r.outcome, err)
	}
}

// TestRepeatAfterEntryKill guards against a request that runs twice: its entry
// instance is killed while the endpoint runs the request, and the caller repeats
// the request at another instance with the same ticket or idempotency key.
func TestRepeatAfterEntryKill(t *testing.T) {
	for _, kind := range []string{"ticket", "key"} {
		t.Run(kind, func(t *testing.T) {
			c := startCluster(t, "1s")
			key := "booking-7"
			if kind == "ticket" {
				key = issueTickets(t, c.first, 1)[0]
			}
			result := c.sendAsync(t, c.first, "deposit", key, 10*time.Second)
			eventually(t, "the endpoint runs the request", func() bool { return requestsByBody(t, c.endpointAddress)["deposit"] == 1 })
			c.first.kill()
			if got := <-result; got.err == nil {
				t.Errorf("the killed instance answered: %+v", got.r)
			}
			r, err := c.sendWithKey(t, c.second, "deposit", key, 2*time.Second)
			if err != nil || r.outcome != "unknown" {
				t.Errorf("repeat: outcome %q %s, error %v", r.outcome, r.body, err)
			}
			if n := requestsByBody(t, c.endpointAddress)["deposit"]; n != 1 {
				t.Errorf("the deposit ran %d times", n)
			}
		})
	}
}

// TestRepeatGetsTheSameAnswer guards against a repeated request that runs again
// or gets another answer. The repeats go to the same and to another entry
// instance, during and after the first call. A repeat with another body must be
// refused.
func TestRepeatGetsTheSameAnswer(t *testing.T) {
	c := startCluster(t, "500ms")
	c.waitForwarding(t)
	issued := issueTickets(t, c.first, 1)[0]
	for name, key := range map[string]string{"ticket": issued, "key": "booking-8"} {
		body := "deposit with " + name
		first := c.sendAsync(t, c.first, body, key, 10*time.Second)
		eventually(t, "the endpoint runs the request", func() bool { return requestsByBody(t, c.endpointAddress)[body] == 1 })
		during := c.sendAsync(t, c.second, body, key, 10*time.Second)
		for _, got := range []asyncReply{<-first, <-during} {
			if got.err != nil || got.r.outcome != "answered" || string(got.r.body) != body {
				t.Errorf("%s: outcome %q, body %q, error %v", name, got.r.outcome, got.r.body, got.err)
			}
		}
		for _, e := range []*entryProcess{c.first, c.second} {
			r, err := c.sendWithKey(t, e, body, key, 10*time.Second)
			if err != nil || r.outcome != "answered" || string(r.body) != body {
				t.Errorf("%s after completion: outcome %q, body %q, error %v", name, r.outcome, r.body, err)
			}
			r, err = c.sendWithKey(t, e, "another deposit", key, 10*time.Second)
			if err != nil || r.outcome != "not-run" || r.status != 422 {
				t.Errorf("%s with another body: outcome %q, status %d, error %v", name, r.outcome, r.status, err)
			}
		}
		if counts := requestsByBody(t, c.endpointAddress); counts[body] != 1 || counts["another deposit"] != 0 {
			t.Errorf("%s: started requests by body: %v", name, counts)
		}
	}
}

// TestIdempotencyKeysDuringPlatformOutage guards against a request that runs
// although its idempotency key could not be claimed at the platform, and
// against a request with a ticket that is refused although tickets do not need
// the platform.
func TestIdempotencyKeysDuringPlatformOutage(t *testing.T) {
	c := startCluster(t, "1ms")
	// The instance must hold slots of the team before the outage.
	eventually(t, "the first entry instance answers", func() bool {
		r, err := c.sendRequest(t, c.first, "warm up")
		return err == nil && r.outcome == "answered"
	})
	postJSON(t, url(c.platform, standin.PathStoreFaults), standin.StoreFaults{Outage: true})
	ticket := issueTickets(t, c.first, 1)[0]
	for _, want := range []struct{ key, outcome string }{{ticket, "answered"}, {ticket, "answered"}, {"booking-9", "not-run"}} {
		body := "deposit with " + want.key
		r, err := c.sendWithKey(t, c.first, body, want.key, 3*time.Second)
		if err != nil || r.outcome != want.outcome {
			t.Errorf("%s: outcome %q, body %s, error %v", want.key, r.outcome, r.body, err)
		}
	}
	counts := requestsByBody(t, c.endpointAddress)
	if counts["deposit with "+ticket] != 1 || counts["deposit with booking-9"] != 0 {
		t.Errorf("started requests by body: %v", counts)
	}
}

// TestUnresponsiveConnection guards against an endpoint that is taken out of
// service because one request on one of its connections gets no response, and
// against further requests on that connection.
func TestUnresponsiveConnection(t *testing.T) {
	c := startCluster(t, "1ms")
	postJSON(t, url(c.endpointAddress, standin.PathEndpointFaults), standin.EndpointFaults{Mode: standin.FaultSilent, Requests: 1})
	r, err := c.sendWithKey(t, c.first, "deposit", "", 700*time.Millisecond)
	if err != nil || r.outcome != "unknown" {
		t.Errorf("silent connection: outcome %q, error %v", r.outcome, err)
	}
	eventually(t, "the endpoint is live", func() bool { return endpointPhase(t, c.first, "e1") == machine.EndpointLive })
	r, err = c.sendWithKey(t, c.first, "deposit 2", "", 5*time.Second)
	if err != nil || r.outcome != "answered" {
		t.Errorf("next request: outcome %q, error %v", r.outcome, err)
	}
}

// startEndpoint starts one more endpoint of the service, adds it to the
// platform's list and returns its address.
func (c *cluster) startEndpoint(t *testing.T, id, centre, serviceTime string) string {
	t.Helper()
	address := freeAddress(t)
	start(t, testBinary(t), "standin", "endpoint", "--listen", address, "--work", serviceTime)
	waitListening(t, address)
	postJSON(t, url(c.platform, standin.PathUpdateInstance), platform.Instance{
		ID: id, Service: "bookings", DataCentre: centre, Address: address,
	})
	return address
}

// TestLeavingEndpoint guards against new requests for an endpoint that has
// announced in a response that it is leaving, while the platform still lists it
// as live.
func TestLeavingEndpoint(t *testing.T) {
	c := startCluster(t, "1ms")
	c.startEndpoint(t, "e2", "north", "1ms")
	eventually(t, "the second endpoint is live", func() bool { return endpointPhase(t, c.first, "e2") == machine.EndpointLive })
	postJSON(t, url(c.endpointAddress, standin.PathEndpointFaults), standin.EndpointFaults{Leaving: true})
	eventually(t, "the endpoint is shown as leaving", func() bool {
		if _, err := c.sendWithKey(t, c.first, "stock", "", 5*time.Second); err != nil {
			t.Fatal(err)
		}
		return endpointPhase(t, c.first, "e1") == machine.EndpointLeaving
	})
	before := c.startedRequests(t)
	for i := range 50 {
		r, err := c.sendWithKey(t, c.first, fmt.Sprint("stock ", i), "", 5*time.Second)
		if err != nil || r.outcome != "answered" {
			t.Fatalf("request while an endpoint is leaving: outcome %q, error %v", r.outcome, err)
		}
	}
	if after := c.startedRequests(t); after != before {
		t.Errorf("the leaving endpoint ran %d more requests", after-before)
	}
}

// TestPlannedStopUnderLoad guards against a planned stop that fails a request
// or closes a connection in use, while the load generator selects entry
// instances by readiness as a load balancer does.
func TestPlannedStopUnderLoad(t *testing.T) {
	c := startCluster(t, "20ms")
	// The limit has enough slots for both instances, so that no request is refused
	// until the stopping one has returned its slots.
	setLimit(t, c.first.address, "raise", teamRevision(t, c.first), 64)
	for _, id := range []string{"e2", "e3"} {
		c.startEndpoint(t, id, "south", "20ms")
	}
	results := make(chan load.Result, 1)
	failures := make(chan error, 1)
	go func() {
		result, err := load.Run(context.Background(), load.Plan{
			EntryAddresses: []string{c.first.address, c.second.address}, Concurrency: 8, Duration: 6 * time.Second, Deadline: 10 * time.Second, Seed: 1, BodyBytes: 64,
			Targets: []load.Target{{Team: "depots", Service: "bookings", APIKey: secret}},
		})
		results <- result
		failures <- err
	}()
	before := c.startedRequests(t)
	eventually(t, "the endpoint has started 50 requests of the load", func() bool { return c.startedRequests(t) > before+50 })
	c.first.signal(syscall.SIGTERM)
	if err := c.first.cmd.Wait(); err != nil {
		t.Errorf("stopped instance: %v", err)
	}
	result, err := <-results, <-failures
	if err != nil {
		t.Fatal(err)
	}
	team := result.Teams[0]
	if team.Answered == 0 || team.Failed != 0 || team.Unknown != 0 || team.NotRun != 0 {
		t.Errorf("outcomes of the load: %+v", team)
	}
}

// TestPlannedStopFinishesForwardedRequests guards against a planned stop that
// aborts a request which another instance has forwarded to the stopping one, the
// issuer of the request's ticket.
func TestPlannedStopFinishesForwardedRequests(t *testing.T) {
	c := startCluster(t, "1ms")
	c.waitForwarding(t)
	// The request takes longer than the drain delay and all other steps of the stop.
	postJSON(t, url(c.endpointAddress, standin.PathEndpointFaults), standin.EndpointFaults{DelayMS: 9000})
	ticket := issueTickets(t, c.first, 1)[0]
	result := c.sendAsync(t, c.second, "deposit", ticket, 14*time.Second)
	eventually(t, "the endpoint runs the request", func() bool { return requestsByBody(t, c.endpointAddress)["deposit"] == 1 })
	c.first.signal(syscall.SIGTERM)
	if got := <-result; got.err != nil || got.r.outcome != "answered" || string(got.r.body) != "deposit" {
		t.Errorf("forwarded request: outcome %q, body %q, error %v", got.r.outcome, got.r.body, got.err)
	}
	if err := c.first.cmd.Wait(); err != nil {
		t.Errorf("stopped instance: %v", err)
	}
}

// TestReadinessDuringPlannedStop guards against an instance that still reports
// itself as ready after SIGTERM, and against one that stops accepting requests
// before a load balancer has had time to read the changed readiness.
func TestReadinessDuringPlannedStop(t *testing.T) {
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
	eventually(t, "the stopping instance reports not ready", func() bool { return status() == 503 })
	r, err := c.sendWithKey(t, c.first, "late booking", "", 5*time.Second)
	if err != nil || r.outcome != "answered" {
		t.Errorf("request during the drain: outcome %q, error %v", r.outcome, err)
	}
	if err := c.first.cmd.Wait(); err != nil {
		t.Errorf("stopped instance: %v", err)
	}
}

// getStatus returns the status code of a GET request.
func getStatus(address string) (int, error) {
	code, _, err := fasthttp.GetTimeout(nil, address, callTimeout)
	return code, err
}

// getJSON decodes the response to a GET request into value, whatever its status
// code.
func getJSON(address string, value any) error {
	_, body, err := fasthttp.GetTimeout(nil, address, callTimeout)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, value)
}
