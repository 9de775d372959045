package maintenance

import (
	"context"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/platform"
	"github.com/crocusjunction/crocusjunction/internal/standin"
)

var twoPools = []string{"bookings", "photos"}

// newTwoPoolSimulation returns a simulation with 24 machines in two data
// centres, four to a rack, in two pools of ten and a spare pool of four, and
// two running processes.
func newTwoPoolSimulation() *simulation {
	sim := newSimulation(time.Second)
	sim.addFleet(2, 3, 4, twoPools, 4, 8)
	sim.startProcess("p1", "dc0").loadConfig()
	sim.startProcess("p2", "dc1").loadConfig()
	return sim
}

// TestWaveRebootsEveryMemberOnce guards against a wave that ends early, skips an
// instance, or exceeds a budget.
func TestWaveRebootsEveryMemberOnce(t *testing.T) {
	t.Parallel()
	sim := newTwoPoolSimulation()
	sim.mustSettle(t, 5*time.Minute)
	sim.mustStartWave(t, "w1", []string{"bookings", "photos", "spare"}, false)
	sim.mustSettle(t, 3*time.Hour)
	for id, i := range sim.instances {
		if i.RebootedAt.IsZero() {
			t.Errorf("%s was not rebooted: %+v", id, i)
		}
	}
}

// TestOverlappingWavesShareReboots guards against two waves over the same pools
// that each reboot a member again after the other one has.
func TestOverlappingWavesShareReboots(t *testing.T) {
	t.Parallel()
	sim := newTwoPoolSimulation()
	sim.mustSettle(t, 5*time.Minute)
	sim.mustStartWave(t, "w1", twoPools, false)
	sim.mustStartWave(t, "w2", twoPools, true)
	sim.mustSettle(t, 3*time.Hour)
	if sim.reboots != 20 {
		t.Errorf("%d reboots of 20 members by two waves, want one each", sim.reboots)
	}
}

// TestMoveOrderCompletes guards against a move order after which the instance
// does not join its new pool.
func TestMoveOrderCompletes(t *testing.T) {
	t.Parallel()
	sim := newTwoPoolSimulation()
	sim.mustSettle(t, 5*time.Minute)
	if _, err := sim.orders.Move(context.Background(), "i0-00-0", "spare", "op"); err != nil {
		t.Fatal(err)
	}
	sim.mustSettle(t, time.Hour)
	if i := sim.instances["i0-00-0"]; i.Pool != "spare" {
		t.Errorf("record of the moved instance: %+v", i)
	}
}

// TestStuckDrainTimesOut guards against a wave that waits without a timeout for a
// drain that does not end, and against a reboot that aborts the remaining
// requests.
func TestStuckDrainTimesOut(t *testing.T) {
	t.Parallel()
	sim := newTwoPoolSimulation()
	sim.mustSettle(t, 5*time.Minute)
	sim.store.SetMachineFaults("i0-00-0", standin.MachineFaults{Stuck: true})
	sim.mustStartWave(t, "w1", []string{"bookings"}, false)
	sim.mustSettle(t, 3*time.Hour)
	if i := sim.instances["i0-00-0"]; i.DrainAbandonedAt.IsZero() || !i.RebootedAt.IsZero() {
		t.Errorf("record of the instance with a stuck drain: %+v", i)
	}
}

// TestFailedInstanceIsReplacedAndRepaired guards against a failed instance that
// is not replaced, or not returned to service after its repair, without an
// operator.
func TestFailedInstanceIsReplacedAndRepaired(t *testing.T) {
	t.Parallel()
	sim := newTwoPoolSimulation()
	sim.mustSettle(t, 5*time.Minute)
	sim.store.SetMachineFaults("i0-00-0", standin.MachineFaults{Down: true})
	sim.advance(5 * time.Minute)
	if n := sim.servingMembers("bookings"); n != 10 {
		t.Errorf("%d members are in service after the replacement, want 10", n)
	}
	sim.advance(10 * time.Minute)
	if i := sim.instances["i0-00-0"]; i.Pool != "spare" || i.Phase != machine.PhaseFailed {
		t.Errorf("failed instance is not in the spare pool: %+v", i)
	}
	sim.store.SetMachineFaults("i0-00-0", standin.MachineFaults{})
	sim.mustSettle(t, time.Hour)
	if n := sim.servingMembers("bookings"); n != 10 {
		t.Errorf("%d members are in service after the repair, want 10", n)
	}
}

// servingMembers returns the number of members of a pool that are in service.
func (sim *simulation) servingMembers(pool string) int {
	n := 0
	for _, i := range sim.instances {
		if i.Pool == pool && i.Phase == machine.PhaseServing {
			n++
		}
	}
	return n
}

// TestShortRackFailureCausesNoReplacement guards against replacements and
// reboots of the machines of a rack that recovers within the grace period.
func TestShortRackFailureCausesNoReplacement(t *testing.T) {
	t.Parallel()
	// A rack must be smaller than the part of the fleet whose failure suspends all
	// planned disruption, so that only the grace period is tested.
	sim := newSimulation(time.Second)
	sim.addFleet(4, 3, 4, twoPools, 8, 16)
	sim.startProcess("p1", "dc0").loadConfig()
	sim.mustSettle(t, 5*time.Minute)
	before := sim.moves
	sim.setRackFaults("dc0", "r00", standin.MachineFaults{Down: true})
	sim.advance(8 * time.Minute)
	if sim.moves != before || sim.reboots != 0 {
		t.Errorf("%d moves and %d reboots within the grace period", sim.moves-before, sim.reboots)
	}
	sim.setRackFaults("dc0", "r00", standin.MachineFaults{})
	sim.mustSettle(t, time.Hour)
	if sim.moves != before || sim.reboots != 0 {
		t.Errorf("%d moves and %d reboots after the rack came back", sim.moves-before, sim.reboots)
	}
}

// TestRackThatStaysDownIsReplaced guards against a rack failure after which the
// members are never replaced, and against more than one reboot at a time.
func TestRackThatStaysDownIsReplaced(t *testing.T) {
	t.Parallel()
	sim := newSimulation(time.Second)
	sim.addFleet(4, 3, 4, twoPools, 8, 16)
	sim.startProcess("p1", "dc0").loadConfig()
	sim.mustSettle(t, 5*time.Minute)
	sim.setRackFaults("dc0", "r00", standin.MachineFaults{Down: true})
	for range 40 {
		sim.advance(time.Minute)
		if n := sim.rebootingInstances(); n > 1 {
			t.Fatalf("%d instances are rebooting at the same time", n)
		}
	}
	if a, b := sim.servingMembers("bookings"), sim.servingMembers("photos"); a != 20 || b != 20 {
		t.Errorf("%d and %d members are in service, want 20 and 20", a, b)
	}
	sim.setRackFaults("dc0", "r00", standin.MachineFaults{})
	sim.mustSettle(t, 3*time.Hour)
}

// rebootingInstances returns the number of instances that are rebooting.
func (sim *simulation) rebootingInstances() int {
	n := 0
	for _, i := range sim.instances {
		if i.Phase == machine.PhaseRebooting {
			n++
		}
	}
	return n
}

// TestWideFailureSuspendsPlannedDisruption guards against drains while a whole
// data centre appears to have failed: the planner's observations may be wrong
// then.
func TestWideFailureSuspendsPlannedDisruption(t *testing.T) {
	t.Parallel()
	sim := newTwoPoolSimulation()
	sim.mustSettle(t, 5*time.Minute)
	for _, rack := range []string{"r00", "r01", "r02"} {
		sim.setRackFaults("dc1", rack, standin.MachineFaults{Down: true})
	}
	sim.advance(time.Minute)
	before := sim.drains
	sim.mustStartWave(t, "w1", twoPools, false)
	sim.advance(8 * time.Minute)
	if sim.drains != before {
		t.Errorf("%d drains during the failure", sim.drains-before)
	}
	status, err := sim.orders.Status(context.Background())
	if err != nil || status.SuspensionReason == "" {
		t.Errorf("planner status has no hold: %+v, error %v", status, err)
	}
	for _, rack := range []string{"r00", "r01", "r02"} {
		sim.setRackFaults("dc1", rack, standin.MachineFaults{})
	}
	sim.mustSettle(t, 4*time.Hour)
}

// TestWaveSkipsDataCentreThatIsOut guards against a wave that drains instances
// in a data centre that operators have taken out, or that counts them as
// available.
func TestWaveSkipsDataCentreThatIsOut(t *testing.T) {
	t.Parallel()
	sim := newTwoPoolSimulation()
	sim.setMinimum("a-bookings", "bookings", 3)
	sim.setMinimum("b-bookings", "bookings", 3)
	sim.mustSettle(t, 5*time.Minute)
	sim.orderDataCentre("dc1", true)
	sim.mustStartWave(t, "w1", []string{"bookings"}, false)
	sim.advance(2 * time.Hour)
	if sim.err != nil {
		t.Fatal(sim.err)
	}
	for id, i := range sim.instances {
		if i.Pool == "bookings" && i.RebootedAt.IsZero() == (i.DataCentre == "dc0") {
			t.Errorf("%s was rebooted in the data centre that is out, or not rebooted in the other: %+v", id, i)
		}
	}
	sim.orderDataCentre("dc1", false)
	sim.mustSettle(t, 3*time.Hour)
}

// TestPausedWaveDrainsNothing guards against drains of a paused wave, and
// against budget charges that stay after the pause.
func TestPausedWaveDrainsNothing(t *testing.T) {
	t.Parallel()
	sim := newTwoPoolSimulation()
	sim.mustSettle(t, 5*time.Minute)
	sim.mustStartWave(t, "w1", twoPools, false)
	sim.advance(30 * time.Second)
	if _, err := sim.orders.PauseWave(context.Background(), "w1"); err != nil {
		t.Fatal(err)
	}
	sim.mustSettle(t, time.Hour)
	before := sim.drains
	sim.advance(time.Hour)
	if sim.drains != before {
		t.Errorf("%d drains while the wave is paused", sim.drains-before)
	}
	if _, err := sim.orders.ResumeWave(context.Background(), "w1"); err != nil {
		t.Fatal(err)
	}
	sim.mustSettle(t, 3*time.Hour)
}

// TestWaveBorrowsSparesWithoutHeadroom guards against a wave that makes no
// progress because a budget has no headroom, and against borrowed spares that
// are not returned.
func TestWaveBorrowsSparesWithoutHeadroom(t *testing.T) {
	t.Parallel()
	sim := newTwoPoolSimulation()
	sim.setMinimum("a-bookings", "bookings", 10)
	sim.mustSettle(t, 5*time.Minute)
	sim.mustStartWave(t, "w1", []string{"bookings"}, false)
	sim.mustSettle(t, 3*time.Hour)
	if n := sim.servingMembers("bookings"); n != 10 {
		t.Errorf("%d members are in service, want 10", n)
	}
	if n := sim.servingMembers("spare"); n != 4 {
		t.Errorf("%d spares are in service, want 4", n)
	}
}

// TestReplacedMachineIsAdopted guards against two failures after the platform has
// replaced a machine by a new one: the record of the old machine is not deleted,
// or the new machine joins no pool.
func TestReplacedMachineIsAdopted(t *testing.T) {
	t.Parallel()
	sim := newTwoPoolSimulation()
	sim.mustSettle(t, 5*time.Minute)
	sim.store.RemoveMachine("i0-00-0")
	sim.store.AddMachines([]platform.Machine{{ID: "new", DataCentre: "dc0", Rack: "r00", State: "ready", Healthy: true}})
	sim.advance(2 * time.Hour)
	if sim.err != nil {
		t.Fatal(sim.err)
	}
	if _, ok := sim.instances["i0-00-0"]; ok {
		t.Error("the record of the removed machine still exists")
	}
	if i := sim.instances["new"]; i.Phase != machine.PhaseServing {
		t.Errorf("new machine: %+v", i)
	}
	if a, b := sim.servingMembers("bookings"), sim.servingMembers("spare"); a != 10 || b != 4 {
		t.Errorf("%d members and %d spares are in service, want 10 and 4", a, b)
	}
}

// TestUnhealthyAfterRebootStopsRetries guards against an instance that is
// rebooted without a limit on attempts because it stays unhealthy, and against a
// wave that waits for it.
func TestUnhealthyAfterRebootStopsRetries(t *testing.T) {
	t.Parallel()
	sim := newTwoPoolSimulation()
	sim.mustSettle(t, 5*time.Minute)
	sim.store.SetMachineFaults("i0-00-0", standin.MachineFaults{UnhealthyAfterReboot: true})
	sim.mustStartWave(t, "w1", []string{"bookings"}, false)
	sim.advance(6 * time.Hour)
	if sim.err != nil {
		t.Fatal(sim.err)
	}
	waves, err := sim.orders.Waves(context.Background())
	if err != nil || waves[0].State != machine.WaveDone {
		t.Errorf("wave is not done: %+v, error %v", waves, err)
	}
	if i := sim.instances["i0-00-0"]; i.Phase != machine.PhaseFailed || i.Attempts < 3 {
		t.Errorf("record of the unhealthy instance: %+v", i)
	}
	status, err := sim.orders.Status(context.Background())
	if err != nil || len(status.FailedRepairs) != 1 {
		t.Errorf("planner status does not list one abandoned instance: %+v, error %v", status, err)
	}
	// Simulates a repair: once the Down fault is cleared, the machine is ready and
	// healthy without a command.
	sim.store.SetMachineFaults("i0-00-0", standin.MachineFaults{Down: true})
	sim.store.SetMachineFaults("i0-00-0", standin.MachineFaults{})
	sim.mustSettle(t, 3*time.Hour)
}
