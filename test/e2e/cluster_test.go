package e2e

import (
	"encoding/json"
	"syscall"
	"testing"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/platform"
	"github.com/crocusjunction/crocusjunction/internal/settings"
	"github.com/crocusjunction/crocusjunction/internal/standin"
	"github.com/crocusjunction/crocusjunction/internal/traffic"
)

// secret is the secret of the key k1 of team depots.
const secret = "secret-of-bookings"

// cluster is a platform, an endpoint and two entry instances in different data
// centres, configured with a team, a document and a key.
type cluster struct {
	platform      string
	first, second *entryProcess
	endpoint      *process
	// endpointAddress is the HTTP address of endpoint.
	endpointAddress string
}

// entryProcess is the process of an entry instance; address serves its HTTP API.
type entryProcess struct {
	*process
	address string
	// seed is the address at which other entry instances can reach this one while
	// the platform is down.
	seed settings.Seed
}

// startCluster starts the processes and waits until the second entry instance
// answers. The endpoint takes serviceTime for each request.
func startCluster(t *testing.T, serviceTime string) *cluster {
	t.Helper()
	binary := testBinary(t)
	platformAddress, endpointAddress := freeAddress(t), freeAddress(t)
	c := &cluster{platform: platformAddress, endpointAddress: endpointAddress}
	start(t, binary, "standin", "platform", "--listen", platformAddress)
	c.endpoint = start(t, binary, "standin", "endpoint", "--listen", endpointAddress, "--work", serviceTime)
	waitListening(t, platformAddress)
	waitListening(t, endpointAddress)
	postJSON(t, url(platformAddress, standin.PathUpdateInstance), platform.Instance{
		ID: "e1", Service: "bookings", DataCentre: "north", Address: endpointAddress,
	})
	c.first = startEntry(t, binary, "entry-1", "north", platformAddress)
	c.second = startEntry(t, binary, "entry-2", "south", platformAddress)
	configure(t, c.first.address)
	eventually(t, "the second entry instance answers", func() bool {
		r, err := c.sendRequest(t, c.second, "ready?")
		return err == nil && r.outcome == "answered"
	})
	return c
}

// configure creates the team, the document and the key through an entry instance.
func configure(t *testing.T, entry string) {
	t.Helper()
	createObject(t, entry, "c1", contract.Object{
		Ref:  contract.Ref{Kind: contract.KindTeam, Name: "depots"},
		Team: &contract.Team{Name: "depots", UpperLimit: 8, Share: 1},
	})
	createObject(t, entry, "c2", contract.Object{
		Ref:      contract.Ref{Kind: contract.KindDocument, Name: "bookings"},
		Document: &contract.Document{Service: "bookings", Team: "depots", Pool: "main", MinAvailable: 1},
	})
	createObject(t, entry, "c3", contract.Object{
		Ref: contract.Ref{Kind: contract.KindKey, Name: "k1"},
		Key: &contract.Key{ID: "k1", Team: "depots", Hash: traffic.HashSecret(secret)},
	})
}

// sendRequest sends one request to the service through an entry instance.
func (c *cluster) sendRequest(t *testing.T, e *entryProcess, body string) (reply, error) {
	t.Helper()
	return post(t, url(e.address, "/v1/work/bookings"), []byte(body), "Crocus-Key", secret)
}

// TestConfigChangeReachesOtherEntry guards against a configuration change at
// one entry instance that does not take effect at another one: a valid key must
// reach the endpoint through it, and an unknown key must be refused.
func TestConfigChangeReachesOtherEntry(t *testing.T) {
	c := startCluster(t, "1ms")
	r, err := c.sendRequest(t, c.second, "hold washer 7")
	if err != nil || string(r.body) != "hold washer 7" {
		t.Errorf("request through the second instance: answer %q, error %v", r.body, err)
	}
	r, err = post(t, url(c.second.address, "/v1/work/bookings"), nil, "Crocus-Key", "wrong")
	if err != nil || r.status != 403 || r.outcome != "not-run" {
		t.Errorf("unknown key: status %d, outcome %q, error %v", r.status, r.outcome, err)
	}
}

// TestKilledEntryDoesNotAffectOthers guards against an entry instance that
// refuses requests after another one was killed.
func TestKilledEntryDoesNotAffectOthers(t *testing.T) {
	c := startCluster(t, "1ms")
	c.first.kill()
	r, err := c.sendRequest(t, c.second, "confirm stock")
	if err != nil || r.outcome != "answered" {
		t.Errorf("request after the kill: outcome %q, error %v", r.outcome, err)
	}
}

// TestPlannedStopFinishesRequests guards against an entry instance that aborts a
// running request on SIGTERM.
func TestPlannedStopFinishesRequests(t *testing.T) {
	c := startCluster(t, "2s")
	type result struct {
		r   reply
		err error
	}
	results := make(chan result, 1)
	go func() {
		r, err := c.sendRequest(t, c.first, "settle deposit")
		results <- result{r, err}
	}()
	eventually(t, "the endpoint runs the request", func() bool { return c.startedRequests(t) == 2 })
	c.first.signal(syscall.SIGTERM)
	got := <-results
	if got.err != nil || got.r.outcome != "answered" {
		t.Errorf("request during the stop: outcome %q, error %v", got.r.outcome, got.err)
	}
	if err := c.first.cmd.Wait(); err != nil {
		t.Errorf("stopped instance: %v", err)
	}
}

// startedRequests returns the number of requests that the cluster's endpoint
// has started.
func (c *cluster) startedRequests(t *testing.T) int {
	t.Helper()
	var ids []string
	r, err := post(t, url(c.endpointAddress, standin.PathRuns), nil)
	if err != nil || json.Unmarshal(r.body, &ids) != nil {
		t.Fatalf("runs: %q, error %v", r.body, err)
	}
	return len(ids)
}

// startEntry starts an entry instance and waits until it listens.
func startEntry(t *testing.T, binary, id, centre, platformAddress string, seeds ...settings.Seed) *entryProcess {
	t.Helper()
	address, peerAddress := freeAddress(t), freeAddress(t)
	path := writeSettings(t, settings.Entry{
		ID: id, DataCentre: centre, HTTP: address, Peer: peerAddress, Platform: platformAddress,
		DataCentres: map[string]string{"north": "west", "south": "west"},
		TLS:         certificates(t, id),
		Seeds:       seeds,
	})
	p := start(t, binary, "entry", "--settings", path)
	waitListening(t, address)
	return &entryProcess{process: p, address: address, seed: settings.Seed{ID: id, DataCentre: centre, Address: peerAddress}}
}

// createObject creates an object of the configuration and fails the test if it
// is refused.
func createObject(t *testing.T, entry, id string, object contract.Object) {
	t.Helper()
	r := postJSON(t, url(entry, "/v1/config/change"), contract.Change{ID: id, Author: "operator", Object: object})
	if r.status != 200 {
		t.Fatalf("change %s: status %d: %s", id, r.status, r.body)
	}
}
