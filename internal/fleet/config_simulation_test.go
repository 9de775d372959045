package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/invariant"
	"github.com/crocusjunction/crocusjunction/internal/link"
	"github.com/crocusjunction/crocusjunction/internal/proptest"
)

// Seeds of the property tests.
const (
	seedPropagation = 20261204
)

// recoveryTime is longer than the freshness horizon and all timeouts together.
const recoveryTime = 20 * time.Second

func teamObject(limit int) contract.Object {
	return contract.Object{Ref: contract.Ref{Kind: contract.KindTeam, Name: "depots"}, Team: &contract.Team{Name: "depots", UpperLimit: limit, Share: 1}}
}

func documentObject(staleness time.Duration) contract.Object {
	return contract.Object{Ref: contract.Ref{Kind: contract.KindDocument, Name: "bookings"}, Document: &contract.Document{
		Service: "bookings", Team: "depots", Pool: "main", Idempotent: true, MaxStalenessMS: staleness.Milliseconds(),
	}}
}

func keyObject(name string, granted bool) contract.Object {
	o := contract.Object{Ref: contract.Ref{Kind: contract.KindKey, Name: name}, Deleted: !granted}
	if granted {
		o.Key = &contract.Key{ID: name, Team: "depots", Hash: contract.KeyHash(fmt.Sprintf("%064x", len(name)))}
	}
	return o
}

func dataCentreObject(name string, out bool) contract.Object {
	return contract.Object{Ref: contract.Ref{Kind: contract.KindDataCentre, Name: name}, DataCentre: &contract.DataCentreOrder{Name: name, Out: out}}
}

// setUp starts the processes and creates a team, a document and a key.
func (sim *simulation) setUp() {
	sim.start()
	sim.run(2 * time.Second)
	for _, o := range []contract.Object{teamObject(8), documentObject(0), keyObject("k1", true)} {
		sim.processes[0].changeObject(o, false)
		sim.run(time.Second)
	}
}

// checkEvents runs all checkers on the recorded events, with the freshness
// horizon as their bound.
func (sim *simulation) checkEvents(t errorReporter) {
	sim.setBindingTimes()
	if err := invariant.CheckConfig(sim.configEvents, fleet.DefaultFreshnessHorizon); err != nil {
		t.Errorf("%v", err)
	}
	if err := invariant.CheckKeys(sim.keyEvents, fleet.DefaultFreshnessHorizon); err != nil {
		t.Errorf("%v", err)
	}
	if err := invariant.CheckDataCentres(sim.dataCentreEvents, fleet.DefaultFreshnessHorizon); err != nil {
		t.Errorf("%v", err)
	}
}

// errorReporter is the part of testing.T and rapid.T that the checks use.
type errorReporter interface {
	Errorf(format string, args ...any)
}

// checkRecovered checks that every process has the newest configuration, starts
// work in exactly the data centres that are in service, and counts no member as
// silent.
func (sim *simulation) checkRecovered(t errorReporter) {
	for _, p := range sim.processes {
		if p.snapshot.Revision != sim.head.Revision {
			t.Errorf("%s is at revision %d, the head is at %d", p.member.ID, p.snapshot.Revision, sim.head.Revision)
			continue
		}
		for i := range len(sim.dataCentres) {
			order, _ := contract.Find(p.snapshot.Objects(contract.KindDataCentre), dataCentreName(i))
			out := order.DataCentre != nil && order.DataCentre.Out
			if r := p.snapshot.CheckStart(p.snapshot.Document("bookings"), true, dataCentreName(i), sim.now); (r != nil) != out {
				t.Errorf("%s in %s: out %t, refusal %+v", p.member.ID, dataCentreName(i), out, r)
			}
		}
		for _, m := range p.status().Members {
			if m.Silent {
				t.Errorf("%s counts %s as silent", p.member.ID, m.Member.ID)
			}
		}
	}
}

func (p *process) status() fleet.ConfigStatus {
	reply := make(chan fleet.ConfigStatus, 1)
	p.apply(fleet.ConfigStatusQuery{Reply: reply})
	return <-reply
}

// drawFaults schedules up to three faults, which may overlap. Each starts within
// 20 s and lasts up to 15 s.
func (sim *simulation) drawFaults(t *rapid.T) {
	for i := range rapid.IntRange(0, 3).Draw(t, "faults") {
		name := func(what string) string { return fmt.Sprintf("%s of fault %d", what, i) }
		from := sim.now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, name("start ms"))) * time.Millisecond)
		s := span{from: from, to: from.Add(time.Duration(rapid.IntRange(100, 15_000).Draw(t, name("length ms"))) * time.Millisecond)}
		a := dataCentreName(rapid.IntRange(0, len(sim.dataCentres)-1).Draw(t, name("data centre")))
		b := dataCentreName(rapid.IntRange(0, len(sim.dataCentres)-1).Draw(t, name("other data centre")))
		silent := rapid.Bool().Draw(t, name("silent"))
		switch rapid.SampledFrom([]string{"outage", "platform cut", "one-way cut", "cut", "pause"}).Draw(t, name("kind")) {
		case "outage":
			sim.outages = append(sim.outages, outage{span: s, silent: silent})
		case "platform cut":
			sim.outages = append(sim.outages, outage{span: s, dataCentre: a, silent: silent})
		case "one-way cut":
			sim.cuts = append(sim.cuts, cut{span: s, from: a, to: b})
		case "cut":
			sim.cuts = append(sim.cuts, cut{span: s, from: a, to: b}, cut{span: s, from: b, to: a})
		case "pause":
			p := sim.processes[rapid.IntRange(0, len(sim.processes)-1).Draw(t, name("process"))]
			sim.after(s.from.Sub(sim.now), func() { p.pause(s) })
		}
	}
}

// drawChanges schedules changes of keys, data centres and limits within the next
// 30 s. Some are made by two operators at the same time.
func (sim *simulation) drawChanges(t *rapid.T) {
	for i := range rapid.IntRange(1, 25).Draw(t, "changes") {
		name := func(what string) string { return fmt.Sprintf("%s of change %d", what, i) }
		objects := []contract.Object{
			keyObject("k1", rapid.Bool().Draw(t, name("granted"))),
			dataCentreObject(dataCentreName(rapid.IntRange(0, len(sim.dataCentres)-1).Draw(t, name("ordered data centre"))), rapid.Bool().Draw(t, name("out"))),
			teamObject(rapid.IntRange(1, 100).Draw(t, name("limit"))),
		}
		o := rapid.SampledFrom(objects).Draw(t, name("object"))
		at := time.Duration(rapid.IntRange(0, 30_000).Draw(t, name("time ms"))) * time.Millisecond
		lost := rapid.Bool().Draw(t, name("answer lost"))
		for range rapid.IntRange(1, 2).Draw(t, name("operators")) {
			p := sim.processes[rapid.IntRange(0, len(sim.processes)-1).Draw(t, name("entry"))]
			sim.after(at, func() { p.changeObject(o, lost) })
		}
	}
}

// TestConfigurationUnderFaults guards against work that starts under a withdrawn
// key, in a data centre that is out of service or under a stale revision, against
// revisions that decrease, and against processes that do not recover after the
// faults. Messages are lost, reordered and duplicated, and up to three faults
// overlap.
func TestConfigurationUnderFaults(t *testing.T) {
	proptest.Check(t, seedPropagation, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 4).Draw(t, "data centres"), rapid.IntRange(1, 3).Draw(t, "processes"))
		sim.setUp()
		sim.lossRate = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "lost share")
		sim.duplicateRate = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "repeated share")
		sim.drawFaults(t)
		sim.drawChanges(t)
		sim.run(40 * time.Second)
		sim.lossRate = 0
		sim.run(recoveryTime)
		sim.checkEvents(t)
		sim.checkRecovered(t)
		if sim.started == 0 {
			t.Errorf("no work started")
		}
	})
}

// countRefusals runs the simulation for d and returns how many times a process
// would have refused work in that time.
func (sim *simulation) countRefusals(p *process, d time.Duration) int {
	refused := 0
	for end := sim.now.Add(d); sim.now.Before(end); sim.run(50 * time.Millisecond) {
		if p.resumeIn() == 0 && p.snapshot.CheckStart(p.snapshot.Document("bookings"), true, "", sim.now) != nil {
			refused++
		}
	}
	return refused
}

// TestOutageOfThePlatformDoesNotStopWork guards against an outage of the platform
// that prevents starts although the data centres reach each other. The platform
// either refuses calls or does not answer them.
func TestOutageOfThePlatformDoesNotStopWork(t *testing.T) {
	for _, silent := range []bool{false, true} {
		sim := newSimulation(1, 3, 4)
		sim.setUp()
		sim.run(5 * time.Second)
		sim.outages = append(sim.outages, outage{span: span{sim.now, sim.now.Add(time.Minute)}, silent: silent})
		for _, p := range sim.processes[:5] {
			if n := sim.countRefusals(p, 5*time.Second); n != 0 {
				t.Errorf("silent %t: %s refused %d times", silent, p.member.ID, n)
			}
		}
	}
}

// TestLossOfTheWatchersDoesNotStopWork guards against a data centre that refuses
// work when its watchers, the instances with the lowest ids, stop.
func TestLossOfTheWatchersDoesNotStopWork(t *testing.T) {
	for dataCentres := range 3 {
		sim := newSimulation(2, dataCentres+1, 4)
		sim.setUp()
		sim.run(5 * time.Second)
		for _, p := range sim.processes[:2] {
			p.pause(span{sim.now, sim.now.Add(time.Minute)})
		}
		if n := sim.countRefusals(sim.processes[2], 30*time.Second); n != 0 {
			t.Errorf("%d data centres: refused %d times", dataCentres+1, n)
		}
	}
}

// TestLossOfTheWatchersInAnOutage guards against a data centre that keeps
// refusing work when both instances that gather its evidence stop during an
// outage of the platform. The other instances may refuse work once, until the
// watchers count as silent.
func TestLossOfTheWatchersInAnOutage(t *testing.T) {
	sim := newSimulation(5, 3, 5)
	sim.setUp()
	sim.run(5 * time.Second)
	sim.outages = append(sim.outages, outage{span: span{sim.now, sim.now.Add(time.Minute)}})
	sim.run(3 * time.Second)
	for _, p := range sim.processes[:2] {
		p.pause(span{sim.now, sim.now.Add(time.Minute)})
	}
	if n := sim.countRefusals(sim.processes[2], 3*time.Second); n != 0 {
		t.Errorf("refused %d times within 3 s", n)
	}
	sim.run(link.SilentAfter)
	if n := sim.countRefusals(sim.processes[2], 20*time.Second); n != 0 {
		t.Errorf("refused %d times after the watchers counted as silent", n)
	}
}

// TestFreshnessNeedsEvidenceOfAllDataCentres guards against a configuration that
// counts as fresh on the evidence of only some data centres. The data centre
// without evidence still reaches the platform, so it can accept a change.
func TestFreshnessNeedsEvidenceOfAllDataCentres(t *testing.T) {
	sim := newSimulation(6, 3, 2)
	sim.setUp()
	sim.run(5 * time.Second)
	end := sim.now.Add(40 * time.Second)
	for _, dataCentre := range []string{"dc-0", "dc-2"} {
		sim.outages = append(sim.outages, outage{span: span{sim.now, end}, dataCentre: dataCentre})
		sim.cuts = append(sim.cuts, cut{span{sim.now, end}, "dc-1", dataCentre}, cut{span{sim.now, end}, dataCentre, "dc-1"})
	}
	sim.run(time.Second)
	sim.processes[2].changeObject(keyObject("k1", false), false)
	sim.run(30 * time.Second)
	for _, p := range sim.processes {
		refused := p.snapshot.CheckStart(p.snapshot.Document("bookings"), true, "", sim.now) != nil
		if reachesPlatform := p.member.DataCentre == "dc-1"; refused == reachesPlatform {
			t.Errorf("%s refused: %t", p.member.ID, refused)
		}
	}
	sim.run(10*time.Second + recoveryTime)
	sim.checkEvents(t)
	sim.checkRecovered(t)
}

// TestLateAnswersDoNotRevert guards against the late answer to a fetch that
// reverts newer changes.
func TestLateAnswersDoNotRevert(t *testing.T) {
	sim := newSimulation(7, 1, 2)
	sim.setUp()
	p := sim.processes[1]
	reply := make(chan fleet.ChangesReply, 1)
	p.apply(fleet.ChangesRequested{Reply: reply})
	old := <-reply
	sim.processes[0].changeObject(teamObject(99), false)
	sim.run(3 * time.Second)
	p.apply(fleet.ChangesFetched{From: sim.processes[0].member, Revision: old.Revision, Objects: old.Objects})
	if got := p.snapshot.Team("depots").UpperLimit; got != 99 {
		t.Errorf("upper limit went back to %d", got)
	}
	sim.checkEvents(t)
}

// TestCutOffDataCentreStopsAtTheHorizon guards against an isolated data centre
// that starts work after the freshness horizon, when a key may have been
// withdrawn, and against a document's longer staleness bound that is ignored.
func TestCutOffDataCentreStopsAtTheHorizon(t *testing.T) {
	sim := newSimulation(3, 3, 2)
	sim.setUp()
	sim.processes[0].changeObject(documentObject(30*time.Second), false)
	sim.run(5 * time.Second)
	cutOff, end := sim.processes[4], sim.now.Add(time.Minute)
	sim.outages = append(sim.outages, outage{span: span{sim.now, end}, dataCentre: "dc-2"})
	for _, other := range []string{"dc-0", "dc-1"} {
		sim.cuts = append(sim.cuts, cut{span{sim.now, end}, other, "dc-2"}, cut{span{sim.now, end}, "dc-2", other})
	}
	document := *cutOff.snapshot.Document("bookings")
	strict := document
	strict.MaxStalenessMS = 0
	sim.run(3 * time.Second)
	if r := cutOff.snapshot.CheckStart(&strict, true, "", sim.now); r != nil {
		t.Errorf("refused within the horizon: %+v", r)
	}
	sim.run(3 * time.Second)
	if r := cutOff.snapshot.CheckStart(&strict, true, "", sim.now); r == nil || r.Code != fleet.CodeStaleConfiguration {
		t.Errorf("after the horizon: %+v", r)
	}
	if r := cutOff.snapshot.CheckStart(&document, true, "", sim.now); r != nil {
		t.Errorf("within the document's bound: %+v", r)
	}
	if r := cutOff.snapshot.CheckStart(&document, false, "", sim.now); r == nil {
		t.Error("the bound for idempotent work was used for non-idempotent work")
	}
	sim.run(30 * time.Second)
	if r := cutOff.snapshot.CheckStart(&document, true, "", sim.now); r == nil {
		t.Error("started beyond the document's bound")
	}
	sim.run(recoveryTime + 20*time.Second)
	sim.checkRecovered(t)
}

// TestProcessStartDuringAnOutage guards against a process that starts during an
// outage of the platform and then starts no work, or starts work at an older
// revision than its peers have.
func TestProcessStartDuringAnOutage(t *testing.T) {
	sim := newSimulation(4, 3, 2)
	sim.setUp()
	sim.processes[0].changeObject(keyObject("k1", false), false)
	sim.run(5 * time.Second)
	sim.outages = append(sim.outages, outage{span: span{sim.now, sim.now.Add(time.Minute)}})
	sim.run(5 * time.Second)
	seeds := []link.Member{sim.processes[1].member, sim.processes[3].member}
	p := sim.addProcess("entry-9", "dc-0", seeds)
	p.start()
	sim.run(5 * time.Second)
	if p.snapshot.Revision != sim.head.Revision || !p.snapshot.Loaded {
		t.Fatalf("revision %d, head %d, loaded %t", p.snapshot.Revision, sim.head.Revision, p.snapshot.Loaded)
	}
	if r := p.snapshot.CheckStart(p.snapshot.Document("bookings"), true, "", sim.now); r != nil {
		t.Errorf("refused: %+v", r)
	}
	if len(p.snapshot.Objects(contract.KindKey)) != 0 {
		t.Error("the withdrawn key is in force")
	}
	sim.checkEvents(t)
}
