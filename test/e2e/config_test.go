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

// outageDuration is the length of a platform outage. It exceeds the freshness
// horizon, so that an instance that still starts work has renewed its freshness
// from peers and not from the platform.
const outageDuration = settings.DefaultFreshnessHorizonMS*time.Millisecond + 3*time.Second

// commitChange commits a change of an object at revision base and returns the
// answer.
func commitChange(t *testing.T, e *entryProcess, id string, base uint64, object contract.Object) front.ChangeAnswer {
	t.Helper()
	r := postJSON(t, url(e.address, "/v1/config/change"), contract.Change{ID: id, Author: "operator", Base: base, Object: object})
	var answer front.ChangeAnswer
	if err := json.Unmarshal(r.body, &answer); err != nil || r.status != 200 {
		t.Fatalf("change %s: status %d: %s", id, r.status, r.body)
	}
	return answer
}

// keyWithdrawal returns the deletion of key k1.
func keyWithdrawal() contract.Object {
	return contract.Object{Ref: contract.Ref{Kind: contract.KindKey, Name: "k1"}, Deleted: true}
}

// dataCentreOrder returns the order that takes a data centre out of service or
// brings it back.
func dataCentreOrder(name string, out bool) contract.Object {
	return contract.Object{
		Ref:        contract.Ref{Kind: contract.KindDataCentre, Name: name},
		DataCentre: &contract.DataCentreOrder{Name: name, Out: out, Reason: "power work"},
	}
}

// status reads the configuration status of the entry instance.
func (e *entryProcess) status(t *testing.T) front.ConfigStatus {
	t.Helper()
	var s front.ConfigStatus
	code, body, err := fasthttp.GetTimeout(nil, url(e.address, "/v1/config/status"), callTimeout)
	if err != nil || code != 200 || json.Unmarshal(body, &s) != nil {
		t.Fatalf("config status: status %d: %s, error %v", code, body, err)
	}
	return s
}

// refusal returns the error code of a request that was refused as not run, and
// "" for any other reply.
func (r reply) refusal() string {
	var e front.Error
	if r.outcome != "not-run" || json.Unmarshal(r.body, &e) != nil {
		return ""
	}
	return e.Code
}

// waitConfirmed waits until all data centres have confirmed the latest
// configuration revision.
func waitConfirmed(t *testing.T, e *entryProcess) {
	t.Helper()
	eventually(t, "all data centres have confirmed the revision", func() bool { return e.status(t).Confirmed })
}

// TestWithdrawnKeyIsRefusedEverywhere guards against an instance that accepts a
// withdrawn key after the operator was told that all data centres confirmed the
// withdrawal.
func TestWithdrawnKeyIsRefusedEverywhere(t *testing.T) {
	c := startCluster(t, "1ms")
	waitConfirmed(t, c.first)
	answer := commitChange(t, c.first, "withdraw", 3, keyWithdrawal())
	if !answer.Confirmed {
		t.Fatalf("withdrawal is not confirmed: %+v", answer)
	}
	for _, e := range []*entryProcess{c.first, c.second} {
		r, err := c.sendRequest(t, e, "late")
		if err != nil || r.refusal() != fleet.CodeKeyRefused {
			t.Errorf("request with the withdrawn key: outcome %q, body %s, error %v", r.outcome, r.body, err)
		}
	}
}

// TestDataCentreOutAndBack guards against requests that start in a data centre
// that is out of service or are refused with another code, and against a data
// centre that still refuses requests after it was brought back.
func TestDataCentreOutAndBack(t *testing.T) {
	c := startCluster(t, "1ms")
	waitConfirmed(t, c.first)
	answer := commitChange(t, c.second, "out", 0, dataCentreOrder("north", true))
	if !answer.Confirmed {
		t.Fatalf("order to take the data centre out is not confirmed: %+v", answer)
	}
	before := c.startedRequests(t)
	for _, e := range []*entryProcess{c.first, c.second} {
		r, err := c.sendRequest(t, e, "start in north")
		if err != nil || r.refusal() != fleet.CodeDataCentreOut {
			t.Errorf("request while the data centre is out: outcome %q, body %s, error %v", r.outcome, r.body, err)
		}
	}
	if got := c.startedRequests(t); got != before {
		t.Errorf("%d requests were started in a data centre that is out", got-before)
	}
	answer = commitChange(t, c.first, "back", answer.Revision, dataCentreOrder("north", false))
	if !answer.Confirmed {
		t.Fatalf("order to bring the data centre back is not confirmed: %+v", answer)
	}
	for _, e := range []*entryProcess{c.first, c.second} {
		if r, err := c.sendRequest(t, e, "again"); err != nil || r.outcome != "answered" {
			t.Errorf("request after the data centre is back: outcome %q, body %s, error %v", r.outcome, r.body, err)
		}
	}
}

// TestResumedEntryRefusesWithdrawnKey guards against an instance that starts
// requests with a withdrawn key: its process is frozen while the key is
// withdrawn, and requests wait at its listener when it resumes with the old
// configuration.
func TestResumedEntryRefusesWithdrawnKey(t *testing.T) {
	c := startCluster(t, "1ms")
	waitConfirmed(t, c.first)
	before := c.startedRequests(t)
	c.second.freeze()
	answer := commitChange(t, c.first, "withdraw", 3, keyWithdrawal())
	if answer.Confirmed || answer.OldConfigurationEnds == nil {
		t.Fatalf("the change is reported as confirmed while an instance is frozen: %+v", answer)
	}
	for _, centre := range answer.DataCentres {
		missing := len(centre.Missing) == 1 && centre.Missing[0] == "entry-2" || centre.Reason != ""
		if centre.Confirmed == (centre.DataCentre == "south") || centre.DataCentre == "south" && !missing {
			t.Errorf("confirmation of data centre: %+v", centre)
		}
	}
	type result struct {
		r   reply
		err error
	}
	results := make(chan result, 8)
	for range cap(results) {
		go func() {
			r, err := c.sendRequest(t, c.second, "waiting for the frozen instance")
			results <- result{r, err}
		}()
	}
	time.Sleep(time.Until(*answer.OldConfigurationEnds))
	c.second.signal(syscall.SIGCONT)
	for range cap(results) {
		got := <-results
		if got.err != nil || got.r.refusal() == "" {
			t.Errorf("request to the resumed instance: outcome %q, body %s, error %v", got.r.outcome, got.r.body, got.err)
		}
	}
	if got := c.startedRequests(t); got != before {
		t.Errorf("%d requests were started with a withdrawn key", got-before)
	}
	waitConfirmed(t, c.first)
}

// TestPlatformOutageWithPeers guards against three failures during an outage of
// the platform: instances refuse requests although their peers confirm their
// configuration, a configuration change is accepted, or a new instance does not
// start or loads an older configuration than its peers have.
func TestPlatformOutageWithPeers(t *testing.T) {
	c := startCluster(t, "1ms")
	waitConfirmed(t, c.first)
	commitChange(t, c.first, "old key", 0, contract.Object{
		Ref: contract.Ref{Kind: contract.KindKey, Name: "old"},
		Key: &contract.Key{ID: "old", Team: "depots", Hash: "00000000000000000000000000000000000000000000000000000000000000aa"},
	})
	withdrawn := commitChange(t, c.first, "withdraw old key", 4, contract.Object{Ref: contract.Ref{Kind: contract.KindKey, Name: "old"}, Deleted: true})
	// Each instance must hold slots of the team before the outage, because slots
	// are granted by the platform.
	for _, e := range []*entryProcess{c.first, c.second} {
		eventually(t, "a request is answered before the outage", func() bool {
			r, err := c.sendRequest(t, e, "before")
			return err == nil && r.outcome == "answered"
		})
	}
	postJSON(t, url(c.platform, standin.PathStoreFaults), standin.StoreFaults{Outage: true})
	time.Sleep(outageDuration)
	for _, e := range []*entryProcess{c.first, c.second} {
		if r, err := c.sendRequest(t, e, "in the outage"); err != nil || r.outcome != "answered" {
			t.Errorf("request during the outage: outcome %q, body %s, error %v", r.outcome, r.body, err)
		}
	}
	if s := c.first.status(t); !s.PlatformDown || !s.Fresh {
		t.Errorf("status during the outage: %+v", s)
	}
	r := postJSON(t, url(c.first.address, "/v1/config/change"), contract.Change{ID: "refused", Author: "operator", Base: 3, Object: keyWithdrawal()})
	if r.status != 503 {
		t.Errorf("change during the outage: status %d: %s", r.status, r.body)
	}
	// The new instance gets the configuration from its peers. It starts no work
	// until the outage ends, because the list of endpoints and the slots come from
	// the platform.
	newInstance := startEntry(t, testBinary(t), "entry-3", "north", c.platform, c.second.seed)
	eventually(t, "the new instance has loaded the configuration", func() bool {
		s := newInstance.status(t)
		return s.Loaded && s.Fresh && s.Revision == withdrawn.Revision
	})
	if r, err := c.sendRequest(t, newInstance, "at the fresh instance"); err != nil || r.refusal() == "" {
		t.Errorf("request to the new instance during the outage: outcome %q, body %s, error %v", r.outcome, r.body, err)
	}
	postJSON(t, url(c.platform, standin.PathStoreFaults), standin.StoreFaults{})
	eventually(t, "the new instance answers after the outage", func() bool {
		r, err := c.sendRequest(t, newInstance, "after the outage")
		return err == nil && r.outcome == "answered"
	})
}
