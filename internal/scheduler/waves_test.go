package scheduler

import (
	"fmt"
	"slices"
	"testing"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/machine/upkeep"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// TestMachineInUpkeepOfAnotherWave guards against a machine that counts as done for
// one wave because it is in upkeep for another, so that the first wave is reported
// as completed too early (found by a random search: seri-juri, mix, seed
// 685047378402).
func TestMachineInUpkeepOfAnotherWave(t *testing.T) {
	s, now := newLoadedScheduler(4, 2, 0)
	down := s.machineOps.machines["mi-0"]
	down.State, down.Worker = upkeep.MachineUpkeep, ""
	s.machineOps.machines["mi-0"] = down
	w := upkeep.NewWave(upkeep.Order{Wave: 2, Machines: []string{"mi-0"}, MaxConcurrent: 1}, now)
	s.stepWave(w, now)
	if w.Complete() || len(w.BegunMembers()) != 0 {
		t.Error("a machine in another wave's upkeep counts as begun")
	}
	if w.BusyCount() != 1 {
		t.Errorf("%d machines busy, want 1: an earlier scheduler may have ordered this upkeep for this wave", w.BusyCount())
	}
}

// TestWaitingUpkeepOrderIsCheckedAgain guards against an upkeep that ends a long-running
// task although others of its step became unavailable while the order waited for the
// store.
func TestWaitingUpkeepOrderIsCheckedAgain(t *testing.T) {
	s, now := newLoadedScheduler(3, 1, 0)
	j := job.New("00000000000000aa", job.Terms{Queue: "s0", Service: "s0", Attempts: 1},
		job.Spec{Steps: []job.Step{{Count: 3, Need: machine.Resources{MilliCores: 1000}, LongRunning: true, MaxUnavailable: 1}}}, now.UnixMilli(), 2)
	s.jobs.set(j.ID, j)
	s.trackJob(j)
	var runs []*job.Run
	j.EachOpenOccurrence(func(o *job.Occurrence) {
		for i := range o.Tasks(0) {
			w := s.workers.get(fmt.Sprintf("i-%d", i))
			s.start(&o.Tasks(0)[i], w, 1, now)
			r := w.Runs()[0]
			r.Phase, r.ProgressPercent = job.RunActive, 100
			runs = append(runs, r)
		}
	})
	w := upkeep.NewWave(upkeep.Order{Wave: 1, Machines: []string{"mi-0"}, MaxConcurrent: 1}, now)
	ordered := func() bool {
		s.actions = nil
		s.stepWave(w, now)
		return slices.ContainsFunc(s.actions, func(a Action) bool { _, ok := a.(OrderUpkeep); return ok })
	}
	if ordered() || w.Members[0].Phase != upkeep.Ordered {
		t.Fatal("the order does not wait for the stored list of machines")
	}
	runs[1].ProgressPercent = 0
	s.machineOps.orders.stored = map[string]MachineOrder{"mi-0": {Machine: "mi-0", Wave: 1, Worker: s.machineOps.machines["mi-0"].Worker}}
	if ordered() {
		t.Error("upkeep ordered while another task of the step was unavailable")
	}
	runs[1].ProgressPercent = 100
	if !ordered() {
		t.Error("upkeep not ordered although all other tasks serve again")
	}
}

// TestMachineWithUnstoredEndIsKept guards against a machine that is moved or taken down
// right after the last task on it has ended: if the store then fails, nobody knows that
// the task is done, and it runs again.
func TestMachineWithUnstoredEndIsKept(t *testing.T) {
	s, now := newLoadedScheduler(1, 1, 1)
	s.config = policy.New(2, s.config.Queues(), nil, []policy.Service{{Name: "s0", ChecksAdmission: true}, {Name: "spare", Spare: true}}, policy.RequestLimits{})
	w := s.workers.get("i-0")
	j := s.jobs.get("0000000000000000")
	j.EachOpenOccurrence(func(o *job.Occurrence) {
		s.start(&o.Tasks(0)[0], w, 1, now)
		w.Runs()[0].Phase = job.RunActive
	})
	s.applyReport(w, WorkerAnswered{Worker: w.ID, Report: worker.Report{Ended: []worker.EndReport{
		{Number: 1, Task: w.Runs()[0].Task.Name(), Run: 1, Reason: worker.EndDone},
	}}}, now)
	idle := func() bool {
		for _, p := range s.poolStates(now) {
			if len(p.Machines) > 0 {
				return p.Machines[0].Idle
			}
		}
		return false
	}
	wave := upkeep.NewWave(upkeep.Order{Wave: 1, Machines: []string{"mi-0"}, MaxConcurrent: 1}, now)
	if len(w.Runs()) != 0 || idle() {
		t.Errorf("%d runs, idle %v: the machine may be moved before the end is stored", len(w.Runs()), idle())
	}
	if s.stepWave(wave, now); wave.Members[0].Phase != upkeep.Draining {
		t.Error("upkeep is ordered before the end is stored")
	}
	p, version := j.Unflushed()
	j.MarkFlushed(p, version, 9)
	if s.stepWave(wave, now); !idle() || wave.Members[0].Phase != upkeep.Ordered {
		t.Error("the machine is kept although the end is stored")
	}
}

// TestUpkeepWithoutEffectLeavesTasksServing guards against a wave that never completes after a
// takeover: an order that repeats a done upkeep ends nothing, but the tasks on the machine
// counted as about to end for good, so that no other task of their step might.
func TestUpkeepWithoutEffectLeavesTasksServing(t *testing.T) {
	s, now := newLoadedScheduler(3, 1, 0)
	j := job.New("00000000000000aa", job.Terms{Queue: "s0", Service: "s0", Attempts: 1},
		job.Spec{Steps: []job.Step{{Count: 1, Need: machine.Resources{MilliCores: 1000}, LongRunning: true, MaxUnavailable: 1}}}, now.UnixMilli(), 2)
	s.jobs.set(j.ID, j)
	s.trackJob(j)
	s.start(j.Task(job.TaskName{Job: j.ID}), s.workers.get("i-0"), 1, now)
	run := s.workers.get("i-0").Runs()[0]
	run.Phase, run.ProgressPercent = job.RunActive, 100
	w := upkeep.NewWave(upkeep.Order{Wave: 1, Machines: []string{"mi-0"}, MaxConcurrent: 1}, now)
	s.waves.set(1, w)
	for range 2 {
		s.stepWave(w, now)
		s.machineOps.orders.stored = map[string]MachineOrder{"mi-0": {Machine: "mi-0", Wave: 1, Worker: s.machineOps.machines["mi-0"].Worker}}
	}
	if run.Serving() || !w.Members[0].InFlight {
		t.Fatalf("upkeep is not ordered: %+v", w.Members[0])
	}
	UpkeepAnswered{Machine: "mi-0", Wave: 1, Fence: s.fence(), Outcome: MachineOpDone}.Apply(s, now)
	s.machineOps.listedAt = now.Add(listInterval)
	s.stepWave(w, now.Add(listInterval))
	if w.Members[0].Phase != upkeep.Finished || !run.Serving() {
		t.Errorf("phase %v, serving %v after an upkeep that was already done", w.Members[0].Phase, run.Serving())
	}
}
