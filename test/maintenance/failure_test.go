package maintenance

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/platform"
	"github.com/crocusjunction/crocusjunction/internal/standin"
)

// newOnePoolSimulation returns a simulation with one pool of six members and
// two spares in two racks, and a budget that lets one instance be out of
// service. The process p1 holds the planner lease; p2 can take it over.
func newOnePoolSimulation(t *testing.T) (sim *simulation, p1, p2 *process) {
	t.Helper()
	sim = newSimulation(time.Second)
	sim.addFleet(2, 1, 4, []string{"bookings"}, 2, 5)
	sim.startProcess("p1", "dc0").loadConfig()
	sim.advance(30 * time.Second)
	sim.startProcess("p2", "dc1").loadConfig()
	sim.mustSettle(t, 5*time.Minute)
	return sim, sim.processes[0], sim.processes[1]
}

// orderWork orders a move and a wave, so that every kind of planned step occurs,
// and lets one instance fail for three minutes.
func (sim *simulation) orderWork(t *testing.T) {
	t.Helper()
	sim.setMinimum("a-bookings", "bookings", 4)
	if _, err := sim.orders.Move(context.Background(), "i0-00-0", "spare", "op"); err != nil {
		t.Fatal(err)
	}
	sim.mustStartWave(t, "w1", []string{"bookings", "spare"}, false)
	sim.advance(20 * time.Second)
	sim.store.SetMachineFaults("i1-00-3", standin.MachineFaults{Down: true})
	sim.advance(3 * time.Minute)
	sim.store.SetMachineFaults("i1-00-3", standin.MachineFaults{})
}

// checkWorkDone advances until the fleet is settled and checks that the move and
// the wave were carried out.
func (sim *simulation) checkWorkDone(t *testing.T) {
	t.Helper()
	sim.mustSettle(t, 4*time.Hour)
	for id, i := range sim.instances {
		if i.RebootedAt.IsZero() {
			t.Errorf("%s was not rebooted", id)
		}
	}
	// The moved instance may leave the spare pool again to replace the failed one,
	// so it need not be in that pool at the end.
	if !sim.joinedPools["i0-00-0 spare"] {
		t.Errorf("instance was not moved to the spare pool: %+v", sim.instances["i0-00-0"])
	}
}

// forEachCall runs the scenario with n = 0, 1, 2 and so on, where n is the number
// of the call or step at which the scenario injects its fault. It stops when the
// scenario ends before call or step n and so returns false.
func forEachCall(t *testing.T, scenario func(t *testing.T, n int) (callReached bool)) {
	t.Helper()
	const bound = 400
	for n := range bound {
		callReached := true
		if !t.Run(fmt.Sprint(n), func(t *testing.T) { callReached = scenario(t, n) }) || !callReached {
			if n < 30 {
				t.Errorf("the scenario reached only %d calls", n)
			}
			return
		}
	}
	t.Errorf("the scenario has more than %d calls", bound)
}

// TestCrashBeforeAndAfterEveryCall guards against a new planner that loses or
// wrongly repeats the unfinished work of a crashed one. The first planner crashes
// before or after each of its calls in turn.
func TestCrashBeforeAndAfterEveryCall(t *testing.T) {
	t.Parallel()
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprintf("late=%v", late), func(t *testing.T) {
			forEachCall(t, func(t *testing.T, n int) bool {
				sim, p1, _ := newOnePoolSimulation(t)
				p1.callsUntilCrash, p1.crashAfterEffect = n, late
				sim.orderWork(t)
				sim.checkWorkDone(t)
				return p1.crashed
			})
		})
	}
}

// TestLostAnswerOfEveryCall guards against a planner that treats a write or a
// command as done, or as not done, when its answer was lost and the result is
// unknown.
func TestLostAnswerOfEveryCall(t *testing.T) {
	t.Parallel()
	forEachCall(t, func(t *testing.T, n int) bool {
		sim, p1, _ := newOnePoolSimulation(t)
		p1.callsUntilLoss = n
		sim.orderWork(t)
		sim.checkWorkDone(t)
		return p1.callsUntilLoss < 0
	})
}

// TestPauseAtEveryStep guards against a planner that is paused until its lease
// has expired and then acts on old state. During the pause a second planner
// takes over, the wave is paused and the minimum is raised, so that no further
// charge or drain of the first planner may take effect.
func TestPauseAtEveryStep(t *testing.T) {
	t.Parallel()
	pauseAtEachStep(t, func(t *testing.T, sim *simulation, _ *process, _ int) {
		if _, err := sim.orders.PauseWave(context.Background(), "w1"); err != nil {
			t.Fatal(err)
		}
		sim.setMinimum("a-bookings", "bookings", 6)
		sim.advance(3 * time.Minute)
	})
}

// TestPauseWithCrashOfTheSecondPlanner guards against a resumed planner that acts
// on old state, as TestPauseAtEveryStep does, when two more faults coincide: the
// planner that took over crashes, and a rack is down.
func TestPauseWithCrashOfTheSecondPlanner(t *testing.T) {
	t.Parallel()
	pauseAtEachStep(t, func(t *testing.T, sim *simulation, p2 *process, n int) {
		p2.callsUntilCrash, p2.crashAfterEffect = n%7, n%2 == 0
		sim.advance(30 * time.Second)
		sim.setRackFaults("dc1", "r00", standin.MachineFaults{Down: true})
		sim.advance(time.Minute)
		sim.setRackFaults("dc1", "r00", standin.MachineFaults{})
	})
}

// pauseAtEachStep runs the scenario once for each step of the first planner: it
// pauses the planner at the step, calls meanwhile, and resumes the planner with
// its stopped clock.
func pauseAtEachStep(t *testing.T, meanwhile func(t *testing.T, sim *simulation, p2 *process, n int)) {
	t.Helper()
	forEachCall(t, func(t *testing.T, n int) bool {
		sim, p1, p2 := newOnePoolSimulation(t)
		p1.stepsUntilPause = n
		sim.orderWork(t)
		if !p1.paused {
			sim.checkWorkDone(t)
			return false
		}
		meanwhile(t, sim, p2, n)
		p1.resumeStale()
		sim.advance(time.Minute)
		if sim.err != nil {
			t.Fatal(sim.err)
		}
		sim.setMinimum("a-bookings", "bookings", 4)
		_, _ = sim.orders.ResumeWave(context.Background(), "w1")
		sim.checkWorkDone(t)
		return true
	})
}

// TestSecondMoveOfInstanceIsRefused guards against the acceptance of a move
// while another one is open for the same instance.
func TestSecondMoveOfInstanceIsRefused(t *testing.T) {
	t.Parallel()
	sim, _, _ := newOnePoolSimulation(t)
	_, first := sim.orders.Move(context.Background(), "i0-00-0", "spare", "one")
	_, second := sim.orders.Move(context.Background(), "i0-00-0", "bookings", "two")
	if first != nil || second == nil {
		t.Errorf("first move: error %v; second move: error %v", first, second)
	}
	sim.mustSettle(t, time.Hour)
}

// TestWaveSurvivesRestartOfAllProcesses guards against a wave that is lost
// because its order is only in the memory of a process.
func TestWaveSurvivesRestartOfAllProcesses(t *testing.T) {
	t.Parallel()
	sim, p1, p2 := newOnePoolSimulation(t)
	sim.mustStartWave(t, "w1", []string{"bookings"}, false)
	p1.replace()
	p2.replace()
	sim.mustSettle(t, 2*time.Hour)
	waves, err := sim.orders.Waves(context.Background())
	if err != nil || waves[0].State != machine.WaveDone {
		t.Errorf("wave is not done: %+v, error %v", waves, err)
	}
}

// TestStaleMachineListStopsDrains guards against a planner that drains instances
// although it has not received the list of machines for too long.
func TestStaleMachineListStopsDrains(t *testing.T) {
	t.Parallel()
	sim, _, _ := newOnePoolSimulation(t)
	sim.mustStartWave(t, "w1", []string{"bookings"}, false)
	before := sim.drains
	sim.processes[0].dueActions = removeMachineWatch(sim.processes[0].dueActions)
	sim.advance(40 * time.Second)
	after := sim.drains
	sim.advance(10 * time.Minute)
	if sim.drains != after {
		t.Errorf("%d drains with a stale machine list, %d before", sim.drains-after, after-before)
	}
	status, err := sim.orders.Status(context.Background())
	if err != nil || status.SuspensionReason == "" {
		t.Errorf("planner status has no hold: %+v, error %v", status, err)
	}
}

// TestPlannedStopReleasesPlannerLease guards against a stopping process that
// continues to plan or acquires the lease again.
func TestPlannedStopReleasesPlannerLease(t *testing.T) {
	t.Parallel()
	sim, p1, _ := newOnePoolSimulation(t)
	sim.mustStartWave(t, "w1", []string{"bookings"}, false)
	sim.advance(20 * time.Second)
	reply := make(chan fleet.Departure, 1)
	p1.enqueue(fleet.Depart{Reply: reply}.Apply(p1.fleet, sim.now), false)
	for _, id := range (<-reply).Leases {
		if err := sim.store.Revoke(t.Context(), platform.LeaseID(id)); err != nil {
			t.Fatal(err)
		}
	}
	sim.mustSettle(t, 2*time.Hour)
	status, err := sim.orders.Status(t.Context())
	if err != nil || status.Holder != "p2" {
		t.Errorf("p2 is not the planner: %+v, error %v", status, err)
	}
}
