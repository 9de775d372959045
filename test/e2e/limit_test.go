package e2e

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/endpointclient"
	"github.com/crocusjunction/crocusjunction/internal/front"
	"github.com/crocusjunction/crocusjunction/internal/platform"
	"github.com/crocusjunction/crocusjunction/internal/settings"
	"github.com/crocusjunction/crocusjunction/internal/standin"
)

// shortTerms let a killed holder be reclaimed within a few seconds.
var shortTerms = settings.Limits{HoldMS: 3000, RenewMS: 500, LongestLeaseMS: 2000, LoanMS: 2500}

// callDeadlineMS is below the longest lease.
const callDeadlineMS = "1500"

// countingEndpoint is an endpoint that counts the requests that run at once.
type countingEndpoint struct {
	mu            sync.Mutex
	running, peak int
	answered      int
}

func startCountingEndpoint(t *testing.T) (*countingEndpoint, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &countingEndpoint{}
	s := &fasthttp.Server{Handler: e.serve, CloseOnShutdown: true}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.ShutdownWithContext(context.Background()) })
	return e, l.Addr().String()
}

func (e *countingEndpoint) serve(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	e.running++
	e.peak = max(e.peak, e.running)
	e.mu.Unlock()
	time.Sleep(30 * time.Millisecond)
	ctx.Response.Header.SetBytesV(endpointclient.HeaderRequestID, ctx.Request.Header.Peek(endpointclient.HeaderRequestID))
	ctx.Response.Header.SetBytesV(endpointclient.HeaderAttempt, ctx.Request.Header.Peek(endpointclient.HeaderAttempt))
	e.mu.Lock()
	e.running--
	e.answered++
	e.mu.Unlock()
}

// reset starts a new count and returns the peak so far.
func (e *countingEndpoint) reset() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	peak := e.peak
	e.peak, e.answered = e.running, 0
	return peak
}

func (e *countingEndpoint) answers() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.answered
}

// limitFleet is two entry instances that share a team with a small limit.
type limitFleet struct {
	platform      string
	terms         settings.Limits
	endpoint      *countingEndpoint
	first, second *entryProcess
}

func startLimitFleet(t *testing.T, limit int, terms settings.Limits) *limitFleet {
	t.Helper()
	binary := build(t)
	f := &limitFleet{platform: freeAddress(t), terms: terms}
	start(t, binary, "standin", "platform", "--listen", f.platform)
	waitListening(t, f.platform)
	var address string
	f.endpoint, address = startCountingEndpoint(t)
	postJSON(t, url(f.platform, standin.PathUpdateInstance), platform.Instance{
		ID: "e1", Service: "bookings", DataCentre: "north", Address: address,
	})
	f.first = f.launch(t, binary, "entry-1")
	f.second = f.launch(t, binary, "entry-2")
	configure(t, f.first.address)
	setLimit(t, f.first.address, "limit-start", 1, limit)
	for _, e := range []*entryProcess{f.first, f.second} {
		eventually(t, e.address+" answers", func() bool { return callOnce(t, e) == "answered" })
	}
	return f
}

func (f *limitFleet) launch(t *testing.T, binary, id string) *entryProcess {
	t.Helper()
	address := freeAddress(t)
	path := writeSettings(t, settings.Entry{
		ID: id, DataCentre: "north", HTTP: address, Peer: freeAddress(t), Platform: f.platform,
		DataCentres: map[string]string{"north": "west"}, TLS: certificates(t, id), Limits: f.terms,
	})
	p := start(t, binary, "entry", "--settings", path)
	waitListening(t, address)
	return &entryProcess{process: p, address: address}
}

// setLimit replaces the limit of the team whose object is at revision base.
func setLimit(t *testing.T, entry, id string, base uint64, limit int) {
	t.Helper()
	r := postJSON(t, url(entry, "/v1/config/change"), contract.Change{
		ID: id, Author: "operator", Base: base,
		Object: contract.Object{
			Ref:  contract.Ref{Kind: contract.KindTeam, Name: "depots"},
			Team: &contract.Team{Name: "depots", UpperLimit: limit, Share: 1},
		},
	})
	if r.status != 200 {
		t.Fatalf("limit %d: status %d: %s", limit, r.status, r.body)
	}
}

func callOnce(t *testing.T, e *entryProcess) string {
	r, err := post(t, url(e.address, "/v1/work/bookings"), nil, "Crocus-Key", secret, "Crocus-Deadline-Ms", callDeadlineMS)
	if err != nil {
		return "broken"
	}
	return r.outcome
}

// callers keeps n callers busy at an entry instance until stop is closed.
func callers(t *testing.T, e *entryProcess, n int, stop <-chan struct{}, group *sync.WaitGroup) {
	for range n {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if callOnce(t, e) != "answered" {
					time.Sleep(waitPause)
				}
			}
		})
	}
}

// limits reads the operators' view; it returns false on an error.
func limits(t *testing.T, e *entryProcess) (front.LimitsAnswer, bool) {
	t.Helper()
	var answer front.LimitsAnswer
	status, body, err := fasthttp.GetTimeout(nil, url(e.address, "/v1/limits"), callTimeout)
	ok := err == nil && status == 200 && json.Unmarshal(body, &answer) == nil && answer.PlatformError == ""
	return answer, ok
}

// held returns the recorded slots of the team by instance.
func held(t *testing.T, e *entryProcess) map[string]int {
	t.Helper()
	slots := make(map[string]int)
	answer, ok := limits(t, e)
	for _, r := range answer.Fleet {
		for _, entry := range r.Holders {
			slots[entry.Holder.Instance] += entry.Slots
		}
	}
	if !ok {
		slots["unknown"] = -1
	}
	return slots
}

// TestLimitHoldsWhileAnEntryInstanceIsKilled guards against a team that runs
// more than its limit across entry instances, while one of them is killed, its
// slots are reclaimed, and operators lower and raise the limit.
func TestLimitHoldsWhileAnEntryInstanceIsKilled(t *testing.T) {
	const limit, lowered, raised = 4, 2, 6
	f := startLimitFleet(t, limit, shortTerms)
	stop := make(chan struct{})
	var group sync.WaitGroup
	var once sync.Once
	end := func() { once.Do(func() { close(stop); group.Wait() }) }
	defer end()
	callers(t, f.first, 8, stop, &group)
	callers(t, f.second, 8, stop, &group)
	eventually(t, "both instances hold slots", func() bool {
		h := held(t, f.first)
		return h["entry-1"] > 0 && h["entry-2"] > 0
	})
	f.endpoint.reset()
	eventually(t, "work flows", func() bool { return f.endpoint.answers() >= 100 })

	f.second.kill()
	eventually(t, "the slots of the killed instance are reclaimed", func() bool {
		h := held(t, f.first)
		return h["entry-1"] == limit && h["entry-2"] == 0
	})
	if peak := f.endpoint.reset(); peak > limit {
		t.Errorf("%d requests ran at once with limit %d while an instance was killed", peak, limit)
	}

	base := teamRevision(t, f.first)
	setLimit(t, f.first.address, "lower", base, lowered)
	eventually(t, "the lowered limit is settled", func() bool { return held(t, f.first)["entry-1"] == lowered })
	f.endpoint.reset()
	eventually(t, "work flows under the lowered limit", func() bool { return f.endpoint.answers() >= 30 })
	if peak := f.endpoint.reset(); peak > lowered {
		t.Errorf("%d requests ran at once with the lowered limit %d", peak, lowered)
	}

	setLimit(t, f.first.address, "raise", teamRevision(t, f.first), raised)
	eventually(t, "the raised limit is used", func() bool { return held(t, f.first)["entry-1"] == raised })
	end()
	if peak := f.endpoint.reset(); peak > raised {
		t.Errorf("%d requests ran at once with the raised limit %d", peak, raised)
	}
}

func teamRevision(t *testing.T, e *entryProcess) uint64 {
	t.Helper()
	answer, ok := limits(t, e)
	if !ok {
		t.Fatal("limits cannot be read")
	}
	for _, l := range answer.Here.Limits {
		if l.Limit.Kind == contract.KindTeam {
			return l.Revision
		}
	}
	t.Fatal("no team in the limits")
	return 0
}

// TestPlannedStopReturnsSlots guards against a planned stop that keeps slots
// reserved for the hold.
func TestPlannedStopReturnsSlots(t *testing.T) {
	f := startLimitFleet(t, 4, shortTerms)
	eventually(t, "the second instance holds slots", func() bool { return held(t, f.first)["entry-2"] > 0 })
	f.second.signal(syscall.SIGTERM)
	if err := f.second.cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
	if h := held(t, f.first); h["entry-2"] != 0 || h["unknown"] != 0 {
		t.Errorf("held after the stop: %v", h)
	}
}

// decided reports whether an entry instance took the decision on the team.
func decided(t *testing.T, e *entryProcess, action string) bool {
	t.Helper()
	var answer front.Explanation
	status, body, err := fasthttp.GetTimeout(nil, url(e.address, "/v1/explain/team/depots"), callTimeout)
	if err != nil || status != 200 || json.Unmarshal(body, &answer) != nil {
		return false
	}
	for _, d := range answer.Decisions {
		if d.Action == action {
			return true
		}
	}
	return false
}

// TestLoanServesDuringOutage guards against idle slots of one instance that
// another one cannot use while the platform is down, and against a loan that
// takes the team above its limit.
func TestLoanServesDuringOutage(t *testing.T) {
	const limit = 6
	f := startLimitFleet(t, limit, settings.Limits{HoldMS: 60_000, RenewMS: 500, LongestLeaseMS: 2000, LoanMS: 5000})
	stop := make(chan struct{})
	var group sync.WaitGroup
	callers(t, f.first, limit, stop, &group)
	eventually(t, "the first instance holds most slots", func() bool {
		h := held(t, f.first)
		return h["entry-1"]+h["entry-2"] == limit && h["entry-1"] > 1
	})
	postJSON(t, url(f.platform, standin.PathFaults), standin.Faults{Outage: true})
	f.endpoint.reset()
	more := make(chan struct{})
	callers(t, f.second, 2*limit, more, &group)
	close(stop)
	eventually(t, "the second instance borrows", func() bool { return decided(t, f.second, "borrow") })
	eventually(t, "the first instance lends", func() bool { return decided(t, f.first, "lend") })
	eventually(t, "work flows at the second instance", func() bool { return f.endpoint.answers() >= 60 })
	close(more)
	group.Wait()
	if peak := f.endpoint.reset(); peak > limit {
		t.Errorf("%d requests ran at once with limit %d", peak, limit)
	}
}
