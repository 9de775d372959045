package traffic_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/invariant"
	"github.com/crocusjunction/crocusjunction/internal/link"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/standin"
	"github.com/crocusjunction/crocusjunction/internal/traffic"
)

const (
	secret     = "secret-of-depots"
	deposits   = "deposits"
	stock      = "stock"
	answerTime = time.Millisecond
)

// fault is the failure of one attempt.
type fault int

const (
	faultNone fault = iota
	// faultDialRefused refuses the connection.
	faultDialRefused
	// faultDeclined makes the endpoint answer that it did not run the request.
	faultDeclined
	// faultLostBeforeRun loses the attempt before the endpoint runs it.
	faultLostBeforeRun
	// faultLostAfterRun loses the answer of an attempt that the endpoint ran.
	faultLostAfterRun
	// faultTimeout makes the attempt time out; the endpoint never runs the request.
	faultTimeout
	// faultRunAfterTimeout makes the attempt time out; the endpoint runs the
	// request afterwards.
	faultRunAfterTimeout
	// faultForeignAnswer replaces the answer by one to another request, which the
	// sender discards as a lost attempt.
	faultForeignAnswer
	// faultLeaving makes the endpoint announce with its answer that it accepts no
	// new work.
	faultLeaving
	// faultCrashBeforeRun crashes the instance before the endpoint runs the
	// request.
	faultCrashBeforeRun
	// faultCrashAfterRun crashes the instance after the endpoint has run the
	// request.
	faultCrashAfterRun
	// faultCount is the number of values.
	faultCount
)

// testCluster simulates two entry instances, their endpoints and one platform in
// the virtual time of a synctest bubble. It records the events that the checkers
// of package invariant examine.
type testCluster struct {
	mu    sync.Mutex
	store *standin.Store
	nodes []*node
	// down holds the ids of endpoints that refuse connections.
	down map[string]bool
	// faults are the faults of the next attempts, the next one first.
	faults    []fault
	requests  []invariant.RequestEvent
	endpoints []invariant.EndpointEvent
	head      contract.Head
	calls     int
	// background waits for the probes of endpoints.
	background sync.WaitGroup
	// running counts the attempts in progress by instance and endpoint;
	// maxRunning is the highest count so far.
	running    map[string]int
	maxRunning int
	random     *rand.Rand
}

// node is one incarnation of an entry instance. It has a real fleet.Fleet and
// applies its events one at a time. It implements the handler's Control, and
// traffic.Forwarder by a direct call to the other node.
type node struct {
	cluster  *testCluster
	self     link.Member
	mu       sync.Mutex
	fleet    *fleet.Fleet
	snapshot *fleet.Snapshot
	crashed  bool
	releases []fleet.Release
	handler  *traffic.Handler
}

func newTestCluster() *testCluster {
	c := &testCluster{store: standin.NewStore(time.Now), down: make(map[string]bool), running: make(map[string]int), random: rand.New(rand.NewPCG(20261204, 1))}
	c.head = contract.Head{}
	c.commit(contract.Object{
		Ref: contract.Ref{Kind: contract.KindTeam, Name: "depots"}, Team: &contract.Team{Name: "depots", UpperLimit: 100, Share: 1},
	})
	for _, service := range []string{deposits, stock} {
		c.commit(contract.Object{
			Ref:      contract.Ref{Kind: contract.KindDocument, Name: service},
			Document: &contract.Document{Service: service, Team: "depots", Pool: "main", Idempotent: service == stock},
		})
	}
	c.commit(contract.Object{
		Ref: contract.Ref{Kind: contract.KindKey, Name: "k1"},
		Key: &contract.Key{ID: "k1", Team: "depots", Hash: traffic.HashSecret(secret)},
	})
	for i, centre := range []string{"north", "south"} {
		c.nodes = append(c.nodes, c.newNode(fmt.Sprintf("entry-%d", i+1), centre))
	}
	return c
}

func (c *testCluster) commit(o contract.Object) {
	c.head = c.head.Append(contract.Change{ID: fmt.Sprint(c.head.Revision), Author: "test", Object: o})
}

func (c *testCluster) newNode(id, centre string) *node {
	self := link.Member{ID: id, Incarnation: uint64(time.Now().UnixNano()), DataCentre: centre}
	n := &node{cluster: c, self: self, fleet: fleet.New(fleet.Options{
		Self: self, DataCentres: map[string]string{"north": "west", "south": "west"}, TicketSecret: []byte(id),
	})}
	n.snapshot = n.fleet.TakeSnapshot()
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	n.handler = traffic.NewHandler(traffic.Dependencies{
		Self: self, Control: nodeControl{n}, Sender: nodeSender{n}, Forwarder: n, Clock: time.Now, Random: c,
		Claims: control.NewClaims(c.store, time.Now, logrus.NewEntry(log)),
	})
	n.apply(fleet.ConfigLoaded{Before: c.head, After: c.head, Version: 1, SentAt: time.Now()})
	n.applyEndpoints(nil)
	return n
}

// applyEndpoints applies the platform's list of endpoints, in which the given ids
// are marked as leaving.
func (n *node) applyEndpoints(leaving map[string]bool) {
	var list []machine.Endpoint
	for _, service := range []string{deposits, stock} {
		for i, centre := range []string{"north", "north", "south"} {
			e := machine.Endpoint{
				ID: fmt.Sprintf("%s-%d", service, i), Service: service, DataCentre: centre, Address: fmt.Sprintf("%s:%d", service, i),
				Phase: machine.EndpointLive,
			}
			if leaving[e.ID] {
				e.Phase = machine.EndpointLeaving
			}
			list = append(list, e)
		}
	}
	n.apply(fleet.EndpointsSeen{Endpoints: list, Version: 1})
}

// IntN implements traffic.Random.
func (c *testCluster) IntN(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

// Float64 implements traffic.Random.
func (c *testCluster) Float64() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64()
}

// Snapshot implements traffic.Control.
func (n *node) Snapshot() *fleet.Snapshot {
	n.exitIfCrashed()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.snapshot
}

// nodeControl implements traffic.Control on a node, without a thread.
type nodeControl struct{ *node }

// Send implements traffic.Control.
func (c nodeControl) Send(ctx context.Context, e fleet.Event) error { return c.SendTraffic(ctx, e) }

// SendTraffic implements traffic.Control. It grants every admission, since the
// tests of package fleet cover the limits.
func (n *node) SendTraffic(_ context.Context, e fleet.Event) error {
	n.exitIfCrashed()
	switch e := e.(type) {
	case fleet.Admit:
		e.Reply <- fleet.Admission{StartBefore: time.Now().Add(2 * time.Second)}
		return nil
	case fleet.Release:
		n.mu.Lock()
		defer n.mu.Unlock()
		n.releases = append(n.releases, e)
		return nil
	}
	n.apply(e)
	return nil
}

func (n *node) apply(e fleet.Event) {
	n.mu.Lock()
	now := time.Now()
	actions := e.Apply(n.fleet, now)
	if s := n.fleet.TakeSnapshot(); s != nil {
		n.snapshot = s
	}
	n.mu.Unlock()
	n.recordEndpointEvents(e)
	for _, a := range actions {
		if probe, ok := a.(fleet.ProbeEndpoint); ok {
			n.cluster.background.Go(func() { n.probe(probe) })
		}
	}
}

func (n *node) probe(p fleet.ProbeEndpoint) {
	time.Sleep(answerTime)
	n.cluster.mu.Lock()
	down := n.cluster.down[p.ID]
	n.cluster.mu.Unlock()
	n.apply(fleet.EndpointProbed{DataCentre: p.DataCentre, ID: p.ID, Address: p.Address, Answered: !down})
}

// recordEndpointEvents records the states of endpoints that an event reports to
// the node.
func (n *node) recordEndpointEvents(e fleet.Event) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	add := func(kind invariant.EndpointEventKind, centre, id string) {
		n.cluster.endpoints = append(n.cluster.endpoints, invariant.EndpointEvent{
			At: time.Now(), Kind: kind, Observer: n.observer(), Endpoint: id, DataCentre: centre,
		})
	}
	switch e := e.(type) {
	case fleet.EndpointReport:
		if e.Evidence == fleet.EvidenceLeaving {
			add(invariant.EndpointLeaving, e.DataCentre, e.ID)
		}
	case fleet.EndpointProbed:
		if e.Answered {
			add(invariant.EndpointBack, e.DataCentre, e.ID)
		}
	case fleet.EndpointsSeen:
		for _, listed := range e.Endpoints {
			if listed.Phase == machine.EndpointLeaving {
				add(invariant.EndpointLeaving, listed.DataCentre, listed.ID)
			}
		}
	}
}

// recordCentreOrder records that all nodes have received an order that takes a
// data centre out of service (out) or returns it to service.
func (c *testCluster) recordCentreOrder(centre string, out bool) {
	kind := invariant.EndpointDataCentreBack
	if out {
		kind = invariant.EndpointDataCentreOut
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		c.endpoints = append(c.endpoints, invariant.EndpointEvent{At: time.Now(), Kind: kind, Observer: n.observer(), DataCentre: centre})
	}
}

func (n *node) observer() string { return fmt.Sprint(n.self.ID, n.self.Incarnation) }

// exitIfCrashed ends the calling goroutine if the node has crashed.
func (n *node) exitIfCrashed() {
	n.mu.Lock()
	crashed := n.crashed
	n.mu.Unlock()
	if crashed {
		runtime.Goexit()
	}
}

func (n *node) crash() {
	n.mu.Lock()
	n.crashed = true
	n.mu.Unlock()
	runtime.Goexit()
}

func (c *testCluster) nextFault() fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.faults) == 0 {
		return faultNone
	}
	f := c.faults[0]
	c.faults = c.faults[1:]
	return f
}

func (c *testCluster) recordRequest(e invariant.RequestEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.At = time.Now()
	c.requests = append(c.requests, e)
}

// nodeSender implements traffic.Sender with simulated connections of a node.
type nodeSender struct{ *node }

// Send implements traffic.Sender.
func (s nodeSender) Send(_ context.Context, e machine.Endpoint, a link.Attempt, body []byte) traffic.SendResult {
	s.exitIfCrashed()
	work := string(body)
	s.cluster.mu.Lock()
	s.cluster.endpoints = append(s.cluster.endpoints, invariant.EndpointEvent{
		At: time.Now(), Kind: invariant.EndpointSent, Observer: s.observer(), Endpoint: e.ID, DataCentre: e.DataCentre,
	})
	down := s.cluster.down[e.ID]
	location := s.observer() + e.ID
	s.cluster.running[location]++
	s.cluster.maxRunning = max(s.cluster.maxRunning, s.cluster.running[location])
	s.cluster.mu.Unlock()
	defer func() {
		s.cluster.mu.Lock()
		defer s.cluster.mu.Unlock()
		s.cluster.running[location]--
	}()
	run := func() {
		s.cluster.recordRequest(invariant.RequestEvent{Kind: invariant.RequestRan, Call: a.RequestID, Work: work, Idempotent: e.Service == stock})
	}
	answered := traffic.SendResult{End: link.AttemptAnswered, Status: 200, Body: []byte("answer to " + work)}
	lost := traffic.SendResult{End: link.AttemptLost, Err: errors.New("connection lost")}
	f := s.cluster.nextFault()
	if down || f == faultDialRefused {
		return traffic.SendResult{End: link.AttemptUnsent, Err: errors.New("connection refused"), DialFailed: true}
	}
	switch f {
	case faultDeclined:
		return traffic.SendResult{End: link.AttemptDeclined, Err: errors.New("not run")}
	case faultLostBeforeRun:
		return lost
	case faultTimeout, faultRunAfterTimeout:
		if f == faultRunAfterTimeout {
			time.AfterFunc(time.Until(a.Deadline)+answerTime, run)
		}
		time.Sleep(time.Until(a.Deadline))
		lost.TimedOut = true
		s.exitIfCrashed()
		return lost
	case faultCrashBeforeRun:
		s.crash()
	}
	run()
	time.Sleep(answerTime)
	s.exitIfCrashed()
	switch f {
	case faultLostAfterRun, faultForeignAnswer:
		return lost
	case faultCrashAfterRun:
		s.crash()
	case faultLeaving:
		answered.Leaving = true
	}
	return answered
}

// Forward implements traffic.Forwarder by a call to the node that issued t.
func (n *node) Forward(_ context.Context, t contract.Ticket, r traffic.Request) (traffic.Outcome, error) {
	var outcome traffic.Outcome
	answered := false
	var group sync.WaitGroup
	for _, other := range n.cluster.nodes {
		if other.self.ID != t.Issuer {
			continue
		}
		group.Go(func() {
			r.Forwarded = true
			outcome = other.handler.Serve(context.Background(), r)
			answered = true
		})
	}
	group.Wait()
	n.exitIfCrashed()
	if !answered {
		return outcome, errors.New("no reply from peer")
	}
	return outcome, nil
}

// call serves one request at a node and records its events.
func (c *testCluster) call(n *node, r traffic.Request, work string) traffic.Outcome {
	c.recordRequest(invariant.RequestEvent{Kind: invariant.RequestCalled, Call: r.ID, Work: work, Expected: "answer to " + work})
	var outcome traffic.Outcome
	ended := false
	var group sync.WaitGroup
	group.Go(func() {
		outcome = n.handler.Serve(context.Background(), r)
		n.exitIfCrashed()
		ended = true
	})
	group.Wait()
	if !ended {
		c.recordRequest(invariant.RequestEvent{Kind: invariant.RequestInterrupted, Call: r.ID, Work: work})
		return outcome
	}
	c.recordRequest(invariant.RequestEvent{
		Kind: invariant.RequestEnded, Call: r.ID, Work: work, Outcome: string(outcome.Kind), Answer: string(outcome.Body),
	})
	return outcome
}

func (c *testCluster) nextCall() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	return fmt.Sprintf("call-%d", c.calls)
}

// restartCrashed starts a new incarnation for each crashed node.
func (c *testCluster) restartCrashed() {
	for i, n := range c.nodes {
		if n.crashed {
			c.nodes[i] = c.newNode(n.self.ID, n.self.DataCentre)
		}
	}
}

// applyHead applies the newest configuration at all nodes and runs their due
// timers.
func (c *testCluster) applyHead() {
	for _, n := range c.nodes {
		n.apply(fleet.HeadSeen{Changed: true, Head: c.head, Version: c.head.Revision, SentAt: time.Now()})
		n.apply(tick{})
	}
}

// tick is an event that runs the due timers of a fleet.
type tick struct{}

// Apply implements fleet.Event.
func (tick) Apply(f *fleet.Fleet, now time.Time) []fleet.Action { return f.Tick(now) }

// errorReporter is the part of testing.T and rapid.T that check uses.
type errorReporter interface {
	Helper()
	Errorf(format string, args ...any)
}

// check waits for background work and reports the violations that the checkers
// find in the recorded events.
func (c *testCluster) check(t errorReporter) {
	t.Helper()
	c.background.Wait()
	// control.Claims removes unused claims in the background within two minutes.
	time.Sleep(3 * time.Minute)
	c.mu.Lock()
	defer c.mu.Unlock()
	once, outcomes, endpoints := invariant.NewOnceChecker(), invariant.NewOutcomeChecker(), invariant.NewEndpointChecker(0)
	for _, e := range c.requests {
		once.Add(e)
		outcomes.Add(e)
	}
	outcomes.Finish()
	for _, e := range c.endpoints {
		endpoints.Add(e)
	}
	for _, v := range append(once.Violations(), outcomes.Violations()...) {
		t.Errorf("%v", v)
	}
	for _, v := range endpoints.Violations() {
		t.Errorf("%v", v)
	}
}
