package e2e

import (
	"encoding/json"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/front"
	"github.com/crocusjunction/crocusjunction/internal/settings"
	"github.com/crocusjunction/crocusjunction/internal/standin"
)

// outlive is how long a test lets an outage last: longer than the freshness
// horizon, so that work which goes on does so on evidence from peers.
const outlive = settings.DefaultFreshnessHorizonMS*time.Millisecond + 3*time.Second

// changeAt commits a change and returns the answer.
func changeAt(t *testing.T, e *entryProcess, id string, base uint64, object contract.Object) front.ChangeAnswer {
	t.Helper()
	r := postJSON(t, url(e.address, "/v1/config/change"), contract.Change{ID: id, Author: "operator", Base: base, Object: object})
	var answer front.ChangeAnswer
	if err := json.Unmarshal(r.body, &answer); err != nil || r.status != 200 {
		t.Fatalf("change %s: status %d: %s", id, r.status, r.body)
	}
	return answer
}

func withdrawnKey() contract.Object {
	return contract.Object{Ref: contract.Ref{Kind: contract.KindKey, Name: "k1"}, Deleted: true}
}

func centreOrder(name string, out bool) contract.Object {
	return contract.Object{
		Ref:        contract.Ref{Kind: contract.KindDataCentre, Name: name},
		DataCentre: &contract.DataCentreOrder{Name: name, Out: out, Reason: "power work"},
	}
}

// status reads the configuration status of an entry instance.
func (e *entryProcess) status(t *testing.T) front.ConfigStatus {
	t.Helper()
	var s front.ConfigStatus
	code, body, err := fasthttp.GetTimeout(nil, url(e.address, "/v1/config/status"), callTimeout)
	if err != nil || code != 200 || json.Unmarshal(body, &s) != nil {
		t.Fatalf("status %d: %s, error %v", code, body, err)
	}
	return s
}

// refusal returns the code of a refusal, empty when the answer is none.
func (r reply) refusal() string {
	var e front.Error
	if r.outcome != "not-run" || json.Unmarshal(r.body, &e) != nil {
		return ""
	}
	return e.Code
}

// awaitConfirmed waits until all data centres confirm the revision.
func awaitConfirmed(t *testing.T, e *entryProcess) {
	t.Helper()
	eventually(t, "all data centres confirm", func() bool { return e.status(t).Confirmed })
}

// TestWithdrawnKeyStopsEverywhere guards against a key that still works at some
// instance after the answer to the operator said that all have confirmed.
func TestWithdrawnKeyStopsEverywhere(t *testing.T) {
	c := startCluster(t, "1ms")
	awaitConfirmed(t, c.first)
	answer := changeAt(t, c.first, "withdraw", 3, withdrawnKey())
	if !answer.Confirmed {
		t.Fatalf("not confirmed: %+v", answer)
	}
	for _, e := range []*entryProcess{c.first, c.second} {
		r, err := c.work(t, e, "late")
		if err != nil || r.refusal() != fleet.CodeKeyRefused {
			t.Errorf("outcome %q, body %s, error %v", r.outcome, r.body, err)
		}
	}
}

// TestDataCentreOutAndBack guards against work that starts in a data centre
// that is out, a refusal without its reason, and a data centre that stays out
// after it was brought back.
func TestDataCentreOutAndBack(t *testing.T) {
	c := startCluster(t, "1ms")
	awaitConfirmed(t, c.first)
	answer := changeAt(t, c.second, "out", 0, centreOrder("north", true))
	if !answer.Confirmed {
		t.Fatalf("not confirmed: %+v", answer)
	}
	before := c.runs(t)
	for _, e := range []*entryProcess{c.first, c.second} {
		r, err := c.work(t, e, "start in north")
		if err != nil || r.refusal() != fleet.CodeCentreOut {
			t.Errorf("outcome %q, body %s, error %v", r.outcome, r.body, err)
		}
	}
	if got := c.runs(t); got != before {
		t.Errorf("%d starts in a data centre that is out", got-before)
	}
	answer = changeAt(t, c.first, "back", answer.Revision, centreOrder("north", false))
	if !answer.Confirmed {
		t.Fatalf("not confirmed: %+v", answer)
	}
	for _, e := range []*entryProcess{c.first, c.second} {
		if r, err := c.work(t, e, "again"); err != nil || r.outcome != "answered" {
			t.Errorf("outcome %q, body %s, error %v", r.outcome, r.body, err)
		}
	}
}

// TestFrozenEntryChecksAgainWhenItResumes guards against an instance that was
// paused, missed the withdrawal of a key and starts work with the old
// configuration before it hears of the change.
func TestFrozenEntryChecksAgainWhenItResumes(t *testing.T) {
	c := startCluster(t, "1ms")
	awaitConfirmed(t, c.first)
	before := c.runs(t)
	c.second.freeze()
	answer := changeAt(t, c.first, "withdraw", 3, withdrawnKey())
	if answer.Confirmed || answer.OldEnds == nil {
		t.Fatalf("the frozen data centre is reported as confirmed: %+v", answer)
	}
	for _, centre := range answer.Centres {
		missing := len(centre.Missing) == 1 && centre.Missing[0] == "entry-2" || centre.Reason != ""
		if centre.Confirmed == (centre.DataCentre == "south") || centre.DataCentre == "south" && !missing {
			t.Errorf("confirmation %+v", centre)
		}
	}
	type result struct {
		r   reply
		err error
	}
	results := make(chan result, 8)
	for range cap(results) {
		go func() {
			r, err := c.work(t, c.second, "waiting for the frozen instance")
			results <- result{r, err}
		}()
	}
	time.Sleep(time.Until(*answer.OldEnds))
	c.second.signal(syscall.SIGCONT)
	for range cap(results) {
		got := <-results
		if got.err != nil || got.r.refusal() == "" {
			t.Errorf("outcome %q, body %s, error %v", got.r.outcome, got.r.body, got.err)
		}
	}
	if got := c.runs(t); got != before {
		t.Errorf("%d starts under a withdrawn key", got-before)
	}
	awaitConfirmed(t, c.first)
}

// TestOutageWithLinkedPeers guards against an outage of the platform that stops
// work or lets a change through, and against a fresh instance that cannot start
// meanwhile or takes an older configuration than its peers hold.
func TestOutageWithLinkedPeers(t *testing.T) {
	c := startCluster(t, "1ms")
	awaitConfirmed(t, c.first)
	changeAt(t, c.first, "old key", 0, contract.Object{
		Ref: contract.Ref{Kind: contract.KindKey, Name: "old"},
		Key: &contract.Key{ID: "old", Team: "depots", Hash: "00000000000000000000000000000000000000000000000000000000000000aa"},
	})
	withdrawn := changeAt(t, c.first, "withdraw old key", 4, contract.Object{Ref: contract.Ref{Kind: contract.KindKey, Name: "old"}, Deleted: true})
	// Each instance takes slots of the team before the outage.
	for _, e := range []*entryProcess{c.first, c.second} {
		eventually(t, "work before the outage", func() bool {
			r, err := c.work(t, e, "before")
			return err == nil && r.outcome == "answered"
		})
	}
	postJSON(t, url(c.platform, standin.PathFaults), standin.Faults{Outage: true})
	time.Sleep(outlive)
	for _, e := range []*entryProcess{c.first, c.second} {
		if r, err := c.work(t, e, "in the outage"); err != nil || r.outcome != "answered" {
			t.Errorf("outcome %q, body %s, error %v", r.outcome, r.body, err)
		}
	}
	if s := c.first.status(t); !s.PlatformDown || !s.Fresh {
		t.Errorf("status %+v", s)
	}
	r := postJSON(t, url(c.first.address, "/v1/config/change"), contract.Change{ID: "refused", Author: "operator", Base: 3, Object: withdrawnKey()})
	if r.status != 503 {
		t.Errorf("change in the outage: status %d: %s", r.status, r.body)
	}
	// The list of endpoints and the slots come from the platform, so the fresh
	// instance takes the configuration but starts no work until the outage ends.
	fresh := startEntry(t, build(t), "entry-3", "north", c.platform, c.second.seed)
	eventually(t, "the fresh instance holds the configuration", func() bool {
		s := fresh.status(t)
		return s.Loaded && s.Fresh && s.Revision == withdrawn.Revision
	})
	if r, err := c.work(t, fresh, "at the fresh instance"); err != nil || r.refusal() == "" {
		t.Errorf("outcome %q, body %s, error %v", r.outcome, r.body, err)
	}
	postJSON(t, url(c.platform, standin.PathFaults), standin.Faults{})
	eventually(t, "the fresh instance answers after the outage", func() bool {
		r, err := c.work(t, fresh, "after the outage")
		return err == nil && r.outcome == "answered"
	})
}
