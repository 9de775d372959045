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

const secret = "secret-of-bookings"

// cluster is one platform, one endpoint and two entry instances in different
// data centres, with a team, a document and a key.
type cluster struct {
	platform      string
	first, second *entryProcess
	endpoint      *process
	// endpointAddress is the HTTP address of endpoint.
	endpointAddress string
}

// entryProcess is one running entry instance.
type entryProcess struct {
	*process
	address string
	// seed lets other entry instances find this one without the platform.
	seed settings.Seed
}

func startCluster(t *testing.T, work string) *cluster {
	t.Helper()
	binary := build(t)
	platformAddress, endpointAddress := freeAddress(t), freeAddress(t)
	c := &cluster{platform: platformAddress, endpointAddress: endpointAddress}
	start(t, binary, "standin", "platform", "--listen", platformAddress)
	c.endpoint = start(t, binary, "standin", "endpoint", "--listen", endpointAddress, "--work", work)
	waitListening(t, platformAddress)
	waitListening(t, endpointAddress)
	postJSON(t, url(platformAddress, standin.PathUpdateInstance), platform.Instance{
		ID: "e1", Service: "bookings", DataCentre: "north", Address: endpointAddress,
	})
	c.first = startEntry(t, binary, "entry-1", "north", platformAddress)
	c.second = startEntry(t, binary, "entry-2", "south", platformAddress)
	configure(t, c.first.address)
	eventually(t, "the second entry instance answers", func() bool {
		r, err := c.work(t, c.second, "ready?")
		return err == nil && r.outcome == "answered"
	})
	return c
}

func configure(t *testing.T, entry string) {
	t.Helper()
	change(t, entry, "c1", contract.Object{
		Ref:  contract.Ref{Kind: contract.KindTeam, Name: "depots"},
		Team: &contract.Team{Name: "depots", UpperLimit: 8, Share: 1},
	})
	change(t, entry, "c2", contract.Object{
		Ref:      contract.Ref{Kind: contract.KindDocument, Name: "bookings"},
		Document: &contract.Document{Service: "bookings", Team: "depots", Pool: "main", MinAvailable: 1},
	})
	change(t, entry, "c3", contract.Object{
		Ref: contract.Ref{Kind: contract.KindKey, Name: "k1"},
		Key: &contract.Key{ID: "k1", Team: "depots", Hash: traffic.HashSecret(secret)},
	})
}

func (c *cluster) work(t *testing.T, e *entryProcess, body string) (reply, error) {
	t.Helper()
	return post(t, url(e.address, "/v1/work/bookings"), []byte(body), "Crocus-Key", secret)
}

// TestRequestCrossesSeparateProcesses guards the whole path: configuration put
// at one entry instance lets a caller of another one reach an endpoint.
func TestRequestCrossesSeparateProcesses(t *testing.T) {
	c := startCluster(t, "1ms")
	r, err := c.work(t, c.second, "hold washer 7")
	if err != nil || string(r.body) != "hold washer 7" {
		t.Errorf("answer %q, error %v", r.body, err)
	}
	r, err = post(t, url(c.second.address, "/v1/work/bookings"), nil, "Crocus-Key", "wrong")
	if err != nil || r.status != 403 || r.outcome != "not-run" {
		t.Errorf("unknown key: status %d, outcome %q, error %v", r.status, r.outcome, err)
	}
}

// TestKilledEntryDoesNotStopOthers guards against an entry instance that
// depends on another one being alive.
func TestKilledEntryDoesNotStopOthers(t *testing.T) {
	c := startCluster(t, "1ms")
	c.first.kill()
	r, err := c.work(t, c.second, "confirm stock")
	if err != nil || r.outcome != "answered" {
		t.Errorf("outcome %q, error %v", r.outcome, err)
	}
}

// TestPlannedStopFinishesRequests guards against a SIGTERM that cuts a running
// request.
func TestPlannedStopFinishesRequests(t *testing.T) {
	c := startCluster(t, "2s")
	type result struct {
		r   reply
		err error
	}
	results := make(chan result, 1)
	go func() {
		r, err := c.work(t, c.first, "settle deposit")
		results <- result{r, err}
	}()
	eventually(t, "the endpoint runs the request", func() bool { return c.runs(t) == 2 })
	c.first.signal(syscall.SIGTERM)
	got := <-results
	if got.err != nil || got.r.outcome != "answered" {
		t.Errorf("outcome %q, error %v", got.r.outcome, got.err)
	}
	if err := c.first.cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// runs returns the number of requests that the endpoint has started.
func (c *cluster) runs(t *testing.T) int {
	t.Helper()
	var ids []string
	r, err := post(t, url(c.endpointAddress, standin.PathRuns), nil)
	if err != nil || json.Unmarshal(r.body, &ids) != nil {
		t.Fatalf("runs: %q, error %v", r.body, err)
	}
	return len(ids)
}

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

func change(t *testing.T, entry, id string, object contract.Object) {
	t.Helper()
	r := postJSON(t, url(entry, "/v1/config/change"), contract.Change{ID: id, Author: "operator", Object: object})
	if r.status != 200 {
		t.Fatalf("change %s: status %d: %s", id, r.status, r.body)
	}
}
