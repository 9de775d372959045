package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/link"
	"github.com/crocusjunction/crocusjunction/internal/proof"
	"github.com/crocusjunction/crocusjunction/internal/proptest"
)

// Seeds of the property tests.
const (
	seedSpread = 20261204
)

// settleTime is longer than the freshness horizon and all timeouts together.
const settleTime = 20 * time.Second

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

func centreObject(name string, out bool) contract.Object {
	return contract.Object{Ref: contract.Ref{Kind: contract.KindDataCentre, Name: name}, DataCentre: &contract.DataCentreOrder{Name: name, Out: out}}
}

// setUp starts the processes and creates a team, a document and a key.
func (w *world) setUp() {
	w.start()
	w.run(2 * time.Second)
	for _, o := range []contract.Object{teamObject(8), documentObject(0), keyObject("k1", true)} {
		w.procs[0].operator(o, false)
		w.run(time.Second)
	}
}

// checkTraces runs all checkers on the recorded events, with the freshness
// horizon as their bound.
func (w *world) checkTraces(t rapidT) {
	w.bind()
	if err := proof.CheckConfig(w.config, fleet.DefaultHorizon); err != nil {
		t.Errorf("%v", err)
	}
	if err := proof.CheckKeys(w.keys, fleet.DefaultHorizon); err != nil {
		t.Errorf("%v", err)
	}
	if err := proof.CheckDataCentres(w.orders, fleet.DefaultHorizon); err != nil {
		t.Errorf("%v", err)
	}
}

// rapidT is the part of testing.T and rapid.T that the checks use.
type rapidT interface {
	Errorf(format string, args ...any)
}

// checkSettled checks that every process has the newest configuration, starts
// work in exactly the data centres that are in service, and takes no member for
// silent.
func (w *world) checkSettled(t rapidT) {
	for _, p := range w.procs {
		if p.view.Revision != w.head.Revision {
			t.Errorf("%s is at revision %d, the head is at %d", p.member.ID, p.view.Revision, w.head.Revision)
			continue
		}
		for i := range len(w.centres) {
			order, _ := contract.Find(p.view.Objects(contract.KindDataCentre), centreName(i))
			out := order.DataCentre != nil && order.DataCentre.Out
			if r := p.view.MayStart(p.view.Document("bookings"), true, centreName(i), w.now); (r != nil) != out {
				t.Errorf("%s in %s: out %t, refusal %+v", p.member.ID, centreName(i), out, r)
			}
		}
		for _, m := range p.status().Members {
			if m.Silent {
				t.Errorf("%s takes %s for silent", p.member.ID, m.Member.ID)
			}
		}
	}
}

func (p *process) status() fleet.ConfigStatus {
	reply := make(chan fleet.ConfigStatus, 1)
	p.apply(fleet.SpreadQuery{Reply: reply})
	return <-reply
}

// drawFaults schedules up to three faults, which may overlap. Each starts within
// 20 s and lasts up to 15 s.
func (w *world) drawFaults(t *rapid.T) {
	for i := range rapid.IntRange(0, 3).Draw(t, "faults") {
		name := func(what string) string { return fmt.Sprintf("%s of fault %d", what, i) }
		from := w.now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, name("start ms"))) * time.Millisecond)
		s := span{from: from, to: from.Add(time.Duration(rapid.IntRange(100, 15_000).Draw(t, name("length ms"))) * time.Millisecond)}
		a := centreName(rapid.IntRange(0, len(w.centres)-1).Draw(t, name("data centre")))
		b := centreName(rapid.IntRange(0, len(w.centres)-1).Draw(t, name("other data centre")))
		silent := rapid.Bool().Draw(t, name("silent"))
		switch rapid.SampledFrom([]string{"outage", "platform cut", "one-way cut", "cut", "pause"}).Draw(t, name("kind")) {
		case "outage":
			w.outages = append(w.outages, outage{span: s, silent: silent})
		case "platform cut":
			w.outages = append(w.outages, outage{span: s, centre: a, silent: silent})
		case "one-way cut":
			w.cuts = append(w.cuts, cut{span: s, from: a, to: b})
		case "cut":
			w.cuts = append(w.cuts, cut{span: s, from: a, to: b}, cut{span: s, from: b, to: a})
		case "pause":
			p := w.procs[rapid.IntRange(0, len(w.procs)-1).Draw(t, name("process"))]
			w.after(s.from.Sub(w.now), func() { p.pause(s) })
		}
	}
}

// drawChanges schedules changes of keys, data centres and limits within the next
// 30 s. Some are made by two operators at once.
func (w *world) drawChanges(t *rapid.T) {
	for i := range rapid.IntRange(1, 25).Draw(t, "changes") {
		name := func(what string) string { return fmt.Sprintf("%s of change %d", what, i) }
		objects := []contract.Object{
			keyObject("k1", rapid.Bool().Draw(t, name("granted"))),
			centreObject(centreName(rapid.IntRange(0, len(w.centres)-1).Draw(t, name("ordered data centre"))), rapid.Bool().Draw(t, name("out"))),
			teamObject(rapid.IntRange(1, 100).Draw(t, name("limit"))),
		}
		o := rapid.SampledFrom(objects).Draw(t, name("object"))
		at := time.Duration(rapid.IntRange(0, 30_000).Draw(t, name("time ms"))) * time.Millisecond
		lost := rapid.Bool().Draw(t, name("answer lost"))
		for range rapid.IntRange(1, 2).Draw(t, name("operators")) {
			p := w.procs[rapid.IntRange(0, len(w.procs)-1).Draw(t, name("entry"))]
			w.after(at, func() { p.operator(o, lost) })
		}
	}
}

// TestConfigurationUnderFaults guards against work that starts under a withdrawn
// key, in a data centre that is out of service or under a stale revision, against
// revisions that go back, and against processes that do not recover. Messages are
// lost, reordered and duplicated, and up to three faults overlap.
func TestConfigurationUnderFaults(t *testing.T) {
	proptest.Check(t, seedSpread, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 4).Draw(t, "data centres"), rapid.IntRange(1, 3).Draw(t, "processes"))
		w.setUp()
		w.loseShare = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "lost share")
		w.twiceShare = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "repeated share")
		w.drawFaults(t)
		w.drawChanges(t)
		w.run(40 * time.Second)
		w.loseShare = 0
		w.run(settleTime)
		w.checkTraces(t)
		w.checkSettled(t)
		if w.started == 0 {
			t.Errorf("no work started")
		}
	})
}

// refusalsDuring runs the simulation for d and returns how many times a process
// would have refused work in that time.
func (w *world) refusalsDuring(p *process, d time.Duration) int {
	refused := 0
	for end := w.now.Add(d); w.now.Before(end); w.run(50 * time.Millisecond) {
		if p.resumeIn() == 0 && p.view.MayStart(p.view.Document("bookings"), true, "", w.now) != nil {
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
		w := newWorld(1, 3, 4)
		w.setUp()
		w.run(5 * time.Second)
		w.outages = append(w.outages, outage{span: span{w.now, w.now.Add(time.Minute)}, silent: silent})
		for _, p := range w.procs[:5] {
			if n := w.refusalsDuring(p, 5*time.Second); n != 0 {
				t.Errorf("silent %t: %s refused %d times", silent, p.member.ID, n)
			}
		}
	}
}

// TestLossOfTheWatchersDoesNotStopWork guards against a data centre that refuses
// work when its watchers, the instances with the lowest ids, stop.
func TestLossOfTheWatchersDoesNotStopWork(t *testing.T) {
	for centres := range 3 {
		w := newWorld(2, centres+1, 4)
		w.setUp()
		w.run(5 * time.Second)
		for _, p := range w.procs[:2] {
			p.pause(span{w.now, w.now.Add(time.Minute)})
		}
		if n := w.refusalsDuring(w.procs[2], 30*time.Second); n != 0 {
			t.Errorf("%d data centres: refused %d times", centres+1, n)
		}
	}
}

// TestLossOfTheWatchersInAnOutage guards against a data centre that keeps
// refusing work when both instances that gather its evidence stop during an
// outage of the platform. The other instances may refuse work once, until the
// watchers count as silent.
func TestLossOfTheWatchersInAnOutage(t *testing.T) {
	w := newWorld(5, 3, 5)
	w.setUp()
	w.run(5 * time.Second)
	w.outages = append(w.outages, outage{span: span{w.now, w.now.Add(time.Minute)}})
	w.run(3 * time.Second)
	for _, p := range w.procs[:2] {
		p.pause(span{w.now, w.now.Add(time.Minute)})
	}
	if n := w.refusalsDuring(w.procs[2], 3*time.Second); n != 0 {
		t.Errorf("refused %d times within 3 s", n)
	}
	w.run(link.SilentAfter)
	if n := w.refusalsDuring(w.procs[2], 20*time.Second); n != 0 {
		t.Errorf("refused %d times after the watchers counted as silent", n)
	}
}

// TestTwoDataCentresDoNotVouchForEachOther guards against evidence of freshness
// from a part of the data centres: the one that is left out still reaches the
// platform, so that it can accept a change.
func TestTwoDataCentresDoNotVouchForEachOther(t *testing.T) {
	w := newWorld(6, 3, 2)
	w.setUp()
	w.run(5 * time.Second)
	end := w.now.Add(40 * time.Second)
	for _, centre := range []string{"dc-0", "dc-2"} {
		w.outages = append(w.outages, outage{span: span{w.now, end}, centre: centre})
		w.cuts = append(w.cuts, cut{span{w.now, end}, "dc-1", centre}, cut{span{w.now, end}, centre, "dc-1"})
	}
	w.run(time.Second)
	w.procs[2].operator(keyObject("k1", false), false)
	w.run(30 * time.Second)
	for _, p := range w.procs {
		refused := p.view.MayStart(p.view.Document("bookings"), true, "", w.now) != nil
		if linked := p.member.DataCentre == "dc-1"; refused == linked {
			t.Errorf("%s refused: %t", p.member.ID, refused)
		}
	}
	w.run(10*time.Second + settleTime)
	w.checkTraces(t)
	w.checkSettled(t)
}

// TestLateAnswersDoNotRevert guards against the late answer to a fetch that
// reverts newer changes.
func TestLateAnswersDoNotRevert(t *testing.T) {
	w := newWorld(7, 1, 2)
	w.setUp()
	p := w.procs[1]
	reply := make(chan fleet.ChangesReply, 1)
	p.apply(fleet.ChangesRequested{Reply: reply})
	old := <-reply
	w.procs[0].operator(teamObject(99), false)
	w.run(3 * time.Second)
	p.apply(fleet.ChangesFetched{From: w.procs[0].member, Revision: old.Revision, Objects: old.Objects})
	if got := p.view.Team("depots").UpperLimit; got != 99 {
		t.Errorf("upper limit went back to %d", got)
	}
	w.checkTraces(t)
}

// TestCutOffDataCentreStopsAtTheHorizon guards against an isolated data centre
// that starts work after the freshness horizon, when a key may have been
// withdrawn, and against a document's longer staleness bound that is ignored.
func TestCutOffDataCentreStopsAtTheHorizon(t *testing.T) {
	w := newWorld(3, 3, 2)
	w.setUp()
	w.procs[0].operator(documentObject(30*time.Second), false)
	w.run(5 * time.Second)
	cutOff, end := w.procs[4], w.now.Add(time.Minute)
	w.outages = append(w.outages, outage{span: span{w.now, end}, centre: "dc-2"})
	for _, other := range []string{"dc-0", "dc-1"} {
		w.cuts = append(w.cuts, cut{span{w.now, end}, other, "dc-2"}, cut{span{w.now, end}, "dc-2", other})
	}
	document := *cutOff.view.Document("bookings")
	strict := document
	strict.MaxStalenessMS = 0
	w.run(3 * time.Second)
	if r := cutOff.view.MayStart(&strict, true, "", w.now); r != nil {
		t.Errorf("refused within the horizon: %+v", r)
	}
	w.run(3 * time.Second)
	if r := cutOff.view.MayStart(&strict, true, "", w.now); r == nil || r.Code != fleet.CodeStale {
		t.Errorf("after the horizon: %+v", r)
	}
	if r := cutOff.view.MayStart(&document, true, "", w.now); r != nil {
		t.Errorf("within the document's bound: %+v", r)
	}
	if r := cutOff.view.MayStart(&document, false, "", w.now); r == nil {
		t.Error("the bound for idempotent work was used for non-idempotent work")
	}
	w.run(30 * time.Second)
	if r := cutOff.view.MayStart(&document, true, "", w.now); r == nil {
		t.Error("started beyond the document's bound")
	}
	w.run(settleTime + 20*time.Second)
	w.checkSettled(t)
}

// TestFreshProcessDuringAnOutage guards against a process that cannot start
// during an outage of the platform, or that starts with an older revision than
// its peers have.
func TestFreshProcessDuringAnOutage(t *testing.T) {
	w := newWorld(4, 3, 2)
	w.setUp()
	w.procs[0].operator(keyObject("k1", false), false)
	w.run(5 * time.Second)
	w.outages = append(w.outages, outage{span: span{w.now, w.now.Add(time.Minute)}})
	w.run(5 * time.Second)
	seeds := []link.Member{w.procs[1].member, w.procs[3].member}
	p := w.addProcess("entry-9", "dc-0", seeds)
	p.start()
	w.run(5 * time.Second)
	if p.view.Revision != w.head.Revision || !p.view.Loaded {
		t.Fatalf("revision %d, head %d, loaded %t", p.view.Revision, w.head.Revision, p.view.Loaded)
	}
	if r := p.view.MayStart(p.view.Document("bookings"), true, "", w.now); r != nil {
		t.Errorf("refused: %+v", r)
	}
	if len(p.view.Objects(contract.KindKey)) != 0 {
		t.Error("the withdrawn key is in force")
	}
	w.checkTraces(t)
}
