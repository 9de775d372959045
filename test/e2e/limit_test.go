package e2e

import (
	"context"
	"encoding/json"
	"net"
	"os/exec"
	"strings"
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

// shortLimitTerms let the slots of a killed instance be reclaimed within a few
// seconds.
var shortLimitTerms = settings.Limits{HoldMS: 3000, RenewMS: 500, LongestLeaseMS: 2000, LoanMS: 2500}

// callDeadlineMS is the deadline of each request in milliseconds. It is below
// LongestLeaseMS of the limit terms.
const callDeadlineMS = "1500"

// countingEndpoint is an endpoint that counts its concurrent requests and their
// peak.
type countingEndpoint struct {
	mu            sync.Mutex
	running, peak int
	answered      int
}

// startCountingEndpoint starts an endpoint whose requests take 30 ms and returns
// it with its address.
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

// reset returns the peak of concurrent requests since the last reset and starts
// a new count.
func (e *countingEndpoint) reset() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	peak := e.peak
	e.peak, e.answered = e.running, 0
	return peak
}

// answeredCount returns the number of answered requests since the last reset.
func (e *countingEndpoint) answeredCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.answered
}

// limitFleet is a platform, an endpoint and two entry instances that share the
// slots of one team with a small limit.
type limitFleet struct {
	binary        string
	platform      string
	limitTerms    settings.Limits
	endpoint      *countingEndpoint
	first, second *entryProcess
}

// startLimitFleet starts the fleet with the given limit of the team and waits
// until both entry instances answer.
func startLimitFleet(t *testing.T, limit int, limitTerms settings.Limits) *limitFleet {
	t.Helper()
	binary := testBinary(t)
	f := &limitFleet{binary: binary, platform: freeAddress(t), limitTerms: limitTerms}
	start(t, binary, "standin", "platform", "--listen", f.platform)
	waitListening(t, f.platform)
	var address string
	f.endpoint, address = startCountingEndpoint(t)
	postJSON(t, url(f.platform, standin.PathUpdateInstance), platform.Instance{
		ID: "e1", Service: "bookings", DataCentre: "north", Address: address,
	})
	f.first = f.startEntry(t, binary, "entry-1")
	f.second = f.startEntry(t, binary, "entry-2")
	configure(t, f.first.address)
	setLimit(t, f.first.address, "limit-start", 1, limit)
	for _, e := range []*entryProcess{f.first, f.second} {
		eventually(t, e.address+" answers", func() bool { return requestOutcome(t, e) == "answered" })
	}
	return f
}

// startEntry starts an entry instance with the limit terms of the fleet.
func (f *limitFleet) startEntry(t *testing.T, binary, id string) *entryProcess {
	t.Helper()
	address := freeAddress(t)
	path := writeSettings(t, settings.Entry{
		ID: id, DataCentre: "north", HTTP: address, Peer: freeAddress(t), Platform: f.platform,
		DataCentres: map[string]string{"north": "west"}, TLS: certificates(t, id), Limits: f.limitTerms,
	})
	p := start(t, binary, "entry", "--settings", path)
	waitListening(t, address)
	return &entryProcess{process: p, address: address}
}

// setLimit sets the team's upper limit; base is the revision of the team object
// that the change replaces.
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

// requestOutcome sends one request and returns its outcome, or "broken" if the
// call failed.
func requestOutcome(t *testing.T, e *entryProcess) string {
	r, err := post(t, url(e.address, "/v1/work/bookings"), nil, "Crocus-Key", secret, "Crocus-Deadline-Ms", callDeadlineMS)
	if err != nil {
		return "broken"
	}
	return r.outcome
}

// startCallers starts n goroutines that send requests to an entry instance, one
// after the other, until stop is closed.
func startCallers(t *testing.T, e *entryProcess, n int, stop <-chan struct{}, group *sync.WaitGroup) {
	for range n {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if requestOutcome(t, e) != "answered" {
					time.Sleep(pollInterval)
				}
			}
		})
	}
}

// readLimits reads the limits that an entry instance shows to operators. It
// returns false if the call failed or the instance cannot read the platform.
func readLimits(t *testing.T, e *entryProcess) (front.LimitsAnswer, bool) {
	t.Helper()
	var answer front.LimitsAnswer
	status, body, err := fasthttp.GetTimeout(nil, url(e.address, "/v1/limits"), callTimeout)
	ok := err == nil && status == 200 && json.Unmarshal(body, &answer) == nil && answer.PlatformError == ""
	return answer, ok
}

// heldSlots returns the number of slots that the platform records for each
// instance. It has the entry "unknown" if the records cannot be read.
func heldSlots(t *testing.T, e *entryProcess) map[string]int {
	t.Helper()
	slots := make(map[string]int)
	answer, ok := readLimits(t, e)
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

// TestLimitHoldsAfterEntryKill guards against a team whose concurrent requests
// at two entry instances together exceed its limit, while one instance is killed
// and its slots are reclaimed, and while operators lower and then raise the
// limit.
func TestLimitHoldsAfterEntryKill(t *testing.T) {
	const limit, lowered, raised = 4, 2, 6
	f := startLimitFleet(t, limit, shortLimitTerms)
	stop := make(chan struct{})
	var group sync.WaitGroup
	var once sync.Once
	stopCallers := func() { once.Do(func() { close(stop); group.Wait() }) }
	defer stopCallers()
	startCallers(t, f.first, 8, stop, &group)
	startCallers(t, f.second, 8, stop, &group)
	eventually(t, "both instances hold slots", func() bool {
		h := heldSlots(t, f.first)
		return h["entry-1"] > 0 && h["entry-2"] > 0
	})
	f.endpoint.reset()
	eventually(t, "100 requests are answered", func() bool { return f.endpoint.answeredCount() >= 100 })

	f.second.kill()
	eventually(t, "the slots of the killed instance are reclaimed", func() bool {
		h := heldSlots(t, f.first)
		return h["entry-1"] == limit && h["entry-2"] == 0
	})
	if peak := f.endpoint.reset(); peak > limit {
		t.Errorf("%d requests ran concurrently with limit %d while an instance was killed", peak, limit)
	}

	base := teamRevision(t, f.first)
	setLimit(t, f.first.address, "lower", base, lowered)
	eventually(t, "the instance holds the slots of the lowered limit", func() bool { return heldSlots(t, f.first)["entry-1"] == lowered })
	f.endpoint.reset()
	eventually(t, "30 requests are answered under the lowered limit", func() bool { return f.endpoint.answeredCount() >= 30 })
	if peak := f.endpoint.reset(); peak > lowered {
		t.Errorf("%d requests ran concurrently with the lowered limit %d", peak, lowered)
	}

	setLimit(t, f.first.address, "raise", teamRevision(t, f.first), raised)
	eventually(t, "the instance holds the slots of the raised limit", func() bool { return heldSlots(t, f.first)["entry-1"] == raised })
	stopCallers()
	if peak := f.endpoint.reset(); peak > raised {
		t.Errorf("%d requests ran concurrently with the raised limit %d", peak, raised)
	}
}

// teamRevision returns the revision of the team object at an entry instance.
func teamRevision(t *testing.T, e *entryProcess) uint64 {
	t.Helper()
	answer, ok := readLimits(t, e)
	if !ok {
		t.Fatal("cannot read the limits")
	}
	for _, l := range answer.Here.Limits {
		if l.Limit.Kind == contract.KindTeam {
			return l.Revision
		}
	}
	t.Fatal("the limits contain no team")
	return 0
}

// TestPlannedStopReturnsSlots guards against slots that stay reserved until the
// hold of a stopped instance expires, and against a limit show command that does
// not show the holders of slots.
func TestPlannedStopReturnsSlots(t *testing.T) {
	f := startLimitFleet(t, 4, shortLimitTerms)
	eventually(t, "the second instance holds slots", func() bool { return heldSlots(t, f.first)["entry-2"] > 0 })
	out, err := exec.Command(f.binary, "limit", "show", "--entry", f.first.address, "depots").CombinedOutput()
	for _, part := range []string{"team/depots", "settled", "entry-2/", "valid until"} {
		if err != nil || !strings.Contains(string(out), part) {
			t.Errorf("limit show: error %v, no %q in:\n%s", err, part, out)
		}
	}
	f.second.signal(syscall.SIGTERM)
	if err := f.second.cmd.Wait(); err != nil {
		t.Errorf("stopped instance: %v", err)
	}
	if h := heldSlots(t, f.first); h["entry-2"] != 0 || h["unknown"] != 0 {
		t.Errorf("slots held after the stop: %v", h)
	}
}

// hasDecision reports whether an entry instance has recorded a decision with the
// given action on the team.
func hasDecision(t *testing.T, e *entryProcess, action string) bool {
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

// TestSlotLoanDuringOutage guards against an instance that cannot borrow the
// idle slots of another one while the platform is down, and against a loan with
// which the team exceeds its limit.
func TestSlotLoanDuringOutage(t *testing.T) {
	const limit = 6
	f := startLimitFleet(t, limit, settings.Limits{HoldMS: 60_000, RenewMS: 500, LongestLeaseMS: 2000, LoanMS: 5000})
	stopFirst := make(chan struct{})
	var group sync.WaitGroup
	startCallers(t, f.first, limit, stopFirst, &group)
	eventually(t, "the first instance holds most slots", func() bool {
		h := heldSlots(t, f.first)
		return h["entry-1"]+h["entry-2"] == limit && h["entry-1"] > 1
	})
	postJSON(t, url(f.platform, standin.PathStoreFaults), standin.StoreFaults{Outage: true})
	f.endpoint.reset()
	stopSecond := make(chan struct{})
	startCallers(t, f.second, 2*limit, stopSecond, &group)
	close(stopFirst)
	eventually(t, "the second instance borrows slots", func() bool { return hasDecision(t, f.second, "borrow") })
	eventually(t, "the first instance lends slots", func() bool { return hasDecision(t, f.first, "lend") })
	eventually(t, "60 requests are answered during the outage", func() bool { return f.endpoint.answeredCount() >= 60 })
	close(stopSecond)
	group.Wait()
	if peak := f.endpoint.reset(); peak > limit {
		t.Errorf("%d requests ran concurrently with limit %d", peak, limit)
	}
}
