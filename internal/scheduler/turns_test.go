package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
	"github.com/crocusjunction/crocusjunction/internal/link/lease"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/machine/pools"
	"github.com/crocusjunction/crocusjunction/internal/machine/pools/turns"
	"github.com/crocusjunction/crocusjunction/internal/machine/upkeep"
)

// cyclicHistory is the recorded demand of a queue with peaks of 4 s every 20 s, of which
// the next one begins at now.
func cyclicHistory(now time.Time) map[string]turns.History {
	const bins, period, peak = 88, 40, 8
	h := turns.History{End: now, Total: machine.Resources{MilliCores: 100_000}, Jobs: 100, Work: make([]float64, bins)}
	for i := range h.Work {
		if h.Work[i] = 100; (i+2*period-bins%period)%period < peak {
			h.Work[i] = 20_000
		}
	}
	return map[string]turns.History{"s0": h}
}

// TestDemandCyclesSurviveTakeover guards against a new scheduler that starts without the
// demand cycles of the one before, also if their clocks differ by an hour, or with the
// phase of a record of unknown age, and against lost arrivals between the last write and
// the takeover.
func TestDemandCyclesSurviveTakeover(t *testing.T) {
	s, now := newLoadedScheduler(4, 2, 0)
	expected := func() int64 { return s.turns.forecaster.Need("s0", now, now.Add(forecastLead)).MilliCores }
	restart := func(read TurnsRead) {
		t.Helper()
		read.apply(s, now)
		s.startTurns(now)
		s.stepTurns(now)
	}
	if restart(TurnsRead{WrittenAt: now, Histories: cyclicHistory(now), Revision: 7}); expected() < 30_000 {
		t.Errorf("%d millicores expected from the record", expected())
	}
	if s.turns.writes.revision != 7 {
		t.Errorf("the next write expects revision %d, want 7", s.turns.writes.revision)
	}
	fast := now.Add(time.Hour)
	if restart(TurnsRead{WrittenAt: fast, Histories: cyclicHistory(fast), Revision: 8}); expected() < 30_000 {
		t.Errorf("%d millicores expected from the record of a node whose clock is ahead", expected())
	}
	for i := range 6 {
		j := job.New(job.ID(fmt.Sprintf("%016x", i+1)), job.Terms{Queue: "s0", Service: "s0"},
			job.Spec{Steps: []job.Step{{Count: 20, Need: machine.Resources{MilliCores: 1000}, Estimate: time.Second}}},
			now.Add(-3*time.Second+time.Duration(i)*500*time.Millisecond).UnixMilli(), 9)
		s.jobs.set(j.ID, j)
	}
	s.fresh = [partCount]lease.Freshness{}
	restart(TurnsRead{WrittenAt: now.Add(-3 * time.Second), Histories: cyclicHistory(now.Add(-3 * time.Second)), Revision: 9})
	if work := s.turns.forecaster.Histories()["s0"].Total.MilliCores; work != 220_000 {
		t.Errorf("%d millicore seconds recorded, want those of the record and of the jobs accepted since", work)
	}
	if restart(TurnsRead{WrittenAt: fast, Histories: cyclicHistory(fast), Revision: 10}); expected() != 0 {
		t.Errorf("%d millicores expected from a record of unknown age", expected())
	}
}

// TestRemovedQueueIsForgotten guards against machines that are moved for the peaks of a
// queue, or to the pool of a service, that operators have removed, and against a write
// without a change.
func TestRemovedQueueIsForgotten(t *testing.T) {
	s, now := newLoadedScheduler(4, 2, 0)
	TurnsRead{WrittenAt: now, Histories: cyclicHistory(now), Revision: 7}.apply(s, now)
	s.startTurns(now)
	s.stepTurns(now)
	if s.counts.KnownCycles != 1 {
		t.Fatalf("%d cycles known", s.counts.KnownCycles)
	}
	for _, a := range s.actions {
		if _, ok := a.(StoreTurns); ok {
			t.Error("cycles are stored without arrivals")
		}
	}
	s.config = policy.New(2, s.config.Queues()[1:], nil, []policy.Service{{Name: "s1"}}, policy.RequestLimits{})
	for _, p := range s.poolStates(now) {
		if p.Name != "s1" || p.Demand != (machine.Resources{}) {
			t.Errorf("pool %s has a demand of %v", p.Name, p.Demand)
		}
	}
	if s.stepTurns(now); s.counts.KnownCycles != 0 {
		t.Error("the cycle of the removed queue is known")
	}
}

// TestForecastSparesWavesAndEvacuations guards against a machine that is moved for an
// expected peak although a wave is about to take it down or its data centre is evacuated.
func TestForecastSparesWavesAndEvacuations(t *testing.T) {
	// Each pool has the three machines that it keeps.
	s, now := newLoadedScheduler(6, 2, 0)
	s.config = policy.New(2, s.config.Queues(), nil, []policy.Service{{Name: "s0"}, {Name: "s1"}, {Name: "spare", Spare: true}}, policy.RequestLimits{})
	capacity := machine.Resources{MilliCores: 8000, MemoryMB: 65536}
	for name, centre := range map[string]string{"free": "z", "evacuated": "y", "in-wave": "z"} {
		s.machineOps.machines[name] = upkeep.Machine{Name: name, Pool: "spare", State: upkeep.MachineUp, DataCentre: centre, Capacity: capacity}
	}
	s.dataCentresOut["y"] = true
	w := upkeep.NewWave(upkeep.Order{Wave: 1, Machines: []string{"in-wave"}, MaxConcurrent: 1}, now)
	w.Members[0].Phase = upkeep.Draining
	s.waves.set(1, w)
	plan := func() []pools.Move { return pools.NewPlanner().Plan(s.poolStates(now), now) }
	before := len(plan())
	histories := cyclicHistory(now)
	for i := range histories["s0"].Work {
		histories["s0"].Work[i] *= 4
	}
	TurnsRead{WrittenAt: now, Histories: histories, Revision: 7}.apply(s, now)
	s.startTurns(now)
	s.stepTurns(now)
	moves := plan()
	for _, m := range moves {
		if m.Machine != "free" || m.To != "s0" {
			t.Errorf("%v is planned", m)
		}
	}
	if len(moves) != 1 || before == len(moves) {
		t.Errorf("%d moves are planned for the peak, want one; %d without it", len(moves), before)
	}
}

// TestRenamedQueueKeepsItsCycle guards against a known cycle of demand that is lost because
// operators gave the queue another name.
func TestRenamedQueueKeepsItsCycle(t *testing.T) {
	s, now := newLoadedScheduler(4, 2, 0)
	configure := func(name string) {
		queues := []policy.Queue{{Name: name, Host: "h", Prefix: "/p/", Service: "s0"}}
		ConfigChanged{policy.New(s.config.Version+1, queues, nil, []policy.Service{{Name: "s0"}}, policy.RequestLimits{})}.apply(s, now)
	}
	expected := func(name string) int64 {
		return s.turns.forecaster.Need(name, now, now.Add(forecastLead)).MilliCores
	}
	configure("s0")
	TurnsRead{WrittenAt: now, Histories: cyclicHistory(now), Revision: 7}.apply(s, now)
	s.startTurns(now)
	s.stepTurns(now)
	before := expected("s0")
	configure("renamed")
	s.stepTurns(now)
	if after := expected("renamed"); after != before || before == 0 {
		t.Errorf("%d millicores expected under the new name, want %d", after, before)
	}
	s.startTurns(now)
	s.stepTurns(now)
	if after := expected("renamed"); after != before {
		t.Errorf("%d millicores expected under the new name after a takeover, want %d", after, before)
	}
}
