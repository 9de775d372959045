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

// smallWorld has 24 machines in two data centres, four to a rack, in two pools
// of ten and a spare pool of four. Its two processes have started.
func smallWorld() *world {
	w := newWorld(time.Second)
	w.fleetOf(2, 3, 4, twoPools, 4, 8)
	w.start("p1", "dc0").learn()
	w.start("p2", "dc1").learn()
	return w
}

// TestWaveRebootsEveryMemberOnce guards against a wave that stops early, leaves
// an instance out, or breaks a budget.
func TestWaveRebootsEveryMemberOnce(t *testing.T) {
	t.Parallel()
	w := smallWorld()
	w.mustRest(t, 5*time.Minute)
	w.wave(t, "w1", []string{"bookings", "photos", "spare"}, false)
	w.mustRest(t, 3*time.Hour)
	for id, i := range w.instances {
		if i.RebootedAt.IsZero() {
			t.Errorf("%s was not maintained: %+v", id, i)
		}
	}
}

// TestOverlappingWavesShareReboots guards against two waves over one pool that
// reboot its members in turn for ever.
func TestOverlappingWavesShareReboots(t *testing.T) {
	t.Parallel()
	w := smallWorld()
	w.mustRest(t, 5*time.Minute)
	w.wave(t, "w1", twoPools, false)
	w.wave(t, "w2", twoPools, true)
	w.mustRest(t, 3*time.Hour)
	if w.reboots != 20 {
		t.Errorf("%d reboots of 20 members", w.reboots)
	}
}

// TestMoveOrderEndsInTheNewPool guards against a move that loses its instance.
func TestMoveOrderEndsInTheNewPool(t *testing.T) {
	t.Parallel()
	w := smallWorld()
	w.mustRest(t, 5*time.Minute)
	if _, err := w.orders.Move(context.Background(), "i0-00-0", "spare", "op"); err != nil {
		t.Fatal(err)
	}
	w.mustRest(t, time.Hour)
	if i := w.instances["i0-00-0"]; i.Pool != "spare" {
		t.Errorf("record %+v", i)
	}
}

// TestStuckDrainIsGivenUp guards against a wave that waits for ever for one
// drain, or that cuts its requests off.
func TestStuckDrainIsGivenUp(t *testing.T) {
	t.Parallel()
	w := smallWorld()
	w.mustRest(t, 5*time.Minute)
	w.store.SetMachineFaults("i0-00-0", standin.MachineFaults{Stuck: true})
	w.wave(t, "w1", []string{"bookings"}, false)
	w.mustRest(t, 3*time.Hour)
	if i := w.instances["i0-00-0"]; i.GaveUp.IsZero() || !i.RebootedAt.IsZero() {
		t.Errorf("record %+v", i)
	}
}

// TestFailedInstanceIsReplacedAndRepaired guards against a failure that needs an
// operator.
func TestFailedInstanceIsReplacedAndRepaired(t *testing.T) {
	t.Parallel()
	w := smallWorld()
	w.mustRest(t, 5*time.Minute)
	w.store.SetMachineFaults("i0-00-0", standin.MachineFaults{Down: true})
	w.advance(5 * time.Minute)
	if n := w.serving("bookings"); n != 10 {
		t.Errorf("%d members serve while one is failed", n)
	}
	w.advance(10 * time.Minute)
	if i := w.instances["i0-00-0"]; i.Pool != "spare" || i.Phase != machine.PhaseFailed {
		t.Errorf("not replaced: %+v", i)
	}
	w.store.SetMachineFaults("i0-00-0", standin.MachineFaults{})
	w.mustRest(t, time.Hour)
	if n := w.serving("bookings"); n != 10 {
		t.Errorf("%d members after the repair", n)
	}
}

// serving counts the members of a pool that are in service.
func (w *world) serving(pool string) int {
	n := 0
	for _, i := range w.instances {
		if i.Pool == pool && i.Phase == machine.PhaseServing {
			n++
		}
	}
	return n
}

// TestRackFailureLeavesTheSparePoolAlone guards against replacements and reboots
// for machines that come back together.
func TestRackFailureLeavesTheSparePoolAlone(t *testing.T) {
	t.Parallel()
	// A rack must stay below the part of the fleet that holds planned disruption,
	// so that the grace period alone is tested.
	w := newWorld(time.Second)
	w.fleetOf(4, 3, 4, twoPools, 8, 16)
	w.start("p1", "dc0").learn()
	w.mustRest(t, 5*time.Minute)
	before := w.moves
	w.rackFaults("dc0", "r00", standin.MachineFaults{Down: true})
	w.advance(8 * time.Minute)
	if w.moves != before || w.reboots != 0 {
		t.Errorf("%d moves and %d reboots within the grace period", w.moves-before, w.reboots)
	}
	w.rackFaults("dc0", "r00", standin.MachineFaults{})
	w.mustRest(t, time.Hour)
	if w.moves != before || w.reboots != 0 {
		t.Errorf("%d moves and %d reboots", w.moves-before, w.reboots)
	}
}

// TestRackThatStaysDownIsReplaced guards against a fleet that never acts on a
// correlated failure, and against reboots in bulk.
func TestRackThatStaysDownIsReplaced(t *testing.T) {
	t.Parallel()
	w := newWorld(time.Second)
	w.fleetOf(4, 3, 4, twoPools, 8, 16)
	w.start("p1", "dc0").learn()
	w.mustRest(t, 5*time.Minute)
	w.rackFaults("dc0", "r00", standin.MachineFaults{Down: true})
	for range 40 {
		w.advance(time.Minute)
		if n := w.rebooting(); n > 1 {
			t.Fatalf("%d reboots at once", n)
		}
	}
	if a, b := w.serving("bookings"), w.serving("photos"); a != 20 || b != 20 {
		t.Errorf("%d and %d members serve", a, b)
	}
	w.rackFaults("dc0", "r00", standin.MachineFaults{})
	w.mustRest(t, 3*time.Hour)
}

func (w *world) rebooting() int {
	n := 0
	for _, i := range w.instances {
		if i.Phase == machine.PhaseRebooting {
			n++
		}
	}
	return n
}

// TestWideFailureHoldsPlannedDisruption guards against acting on a wrong view:
// when a whole data centre looks failed, nothing more is drained.
func TestWideFailureHoldsPlannedDisruption(t *testing.T) {
	t.Parallel()
	w := smallWorld()
	w.mustRest(t, 5*time.Minute)
	for _, rack := range []string{"r00", "r01", "r02"} {
		w.rackFaults("dc1", rack, standin.MachineFaults{Down: true})
	}
	w.advance(time.Minute)
	before := w.drains
	w.wave(t, "w1", twoPools, false)
	w.advance(8 * time.Minute)
	if w.drains != before {
		t.Errorf("%d drains", w.drains-before)
	}
	status, err := w.orders.Status(context.Background())
	if err != nil || status.Hold == "" {
		t.Errorf("status %+v, error %v", status, err)
	}
	for _, rack := range []string{"r00", "r01", "r02"} {
		w.rackFaults("dc1", rack, standin.MachineFaults{})
	}
	w.mustRest(t, 4*time.Hour)
}

// TestWaveStopsInADataCentreThatIsOut guards against planned stops in a data
// centre that operators took out, and against counting its members as available.
func TestWaveStopsInADataCentreThatIsOut(t *testing.T) {
	t.Parallel()
	w := smallWorld()
	w.document("a-bookings", "bookings", 3)
	w.document("b-bookings", "bookings", 3)
	w.mustRest(t, 5*time.Minute)
	w.takeOut("dc1", true)
	w.wave(t, "w1", []string{"bookings"}, false)
	w.advance(2 * time.Hour)
	if w.err != nil {
		t.Fatal(w.err)
	}
	for id, i := range w.instances {
		if i.Pool == "bookings" && i.RebootedAt.IsZero() == (i.DataCentre == "dc0") {
			t.Errorf("%s: %+v", id, i)
		}
	}
	w.takeOut("dc1", false)
	w.mustRest(t, 3*time.Hour)
}

// TestPausedWaveTakesNothingOut guards against a pause that is not obeyed or
// that leaves charges behind.
func TestPausedWaveTakesNothingOut(t *testing.T) {
	t.Parallel()
	w := smallWorld()
	w.mustRest(t, 5*time.Minute)
	w.wave(t, "w1", twoPools, false)
	w.advance(30 * time.Second)
	if _, err := w.orders.PauseWave(context.Background(), "w1"); err != nil {
		t.Fatal(err)
	}
	w.mustRest(t, time.Hour)
	before := w.drains
	w.advance(time.Hour)
	if w.drains != before {
		t.Errorf("%d drains while paused", w.drains-before)
	}
	if _, err := w.orders.ResumeWave(context.Background(), "w1"); err != nil {
		t.Fatal(err)
	}
	w.mustRest(t, 3*time.Hour)
}

// TestWaveBorrowsSparesWithoutHeadroom guards against a wave that stands still
// because a budget leaves no headroom, and against spares that are not returned.
func TestWaveBorrowsSparesWithoutHeadroom(t *testing.T) {
	t.Parallel()
	w := smallWorld()
	w.document("a-bookings", "bookings", 10)
	w.mustRest(t, 5*time.Minute)
	w.wave(t, "w1", []string{"bookings"}, false)
	w.mustRest(t, 3*time.Hour)
	if n := w.serving("bookings"); n != 10 {
		t.Errorf("%d members", n)
	}
	if n := w.serving("spare"); n != 4 {
		t.Errorf("%d spares", n)
	}
}

// TestReplacedMachineIsAdopted guards against a machine that the platform
// replaces by a new one: its record must go and the new one must join a pool.
func TestReplacedMachineIsAdopted(t *testing.T) {
	t.Parallel()
	w := smallWorld()
	w.mustRest(t, 5*time.Minute)
	w.store.RemoveMachine("i0-00-0")
	w.store.AddMachines([]platform.Machine{{ID: "new", DataCentre: "dc0", Rack: "r00", State: "ready", Healthy: true}})
	w.advance(2 * time.Hour)
	if w.err != nil {
		t.Fatal(w.err)
	}
	if _, ok := w.instances["i0-00-0"]; ok {
		t.Error("the record of the removed machine is left")
	}
	if i := w.instances["new"]; i.Phase != machine.PhaseServing {
		t.Errorf("new machine: %+v", i)
	}
	if a, b := w.serving("bookings"), w.serving("spare"); a != 10 || b != 4 {
		t.Errorf("%d members and %d spares", a, b)
	}
}

// TestUnhealthyAfterRebootIsGivenUp guards against an instance that is rebooted
// for ever, or a wave that waits for it.
func TestUnhealthyAfterRebootIsGivenUp(t *testing.T) {
	t.Parallel()
	w := smallWorld()
	w.mustRest(t, 5*time.Minute)
	w.store.SetMachineFaults("i0-00-0", standin.MachineFaults{Sick: true})
	w.wave(t, "w1", []string{"bookings"}, false)
	w.advance(6 * time.Hour)
	if w.err != nil {
		t.Fatal(w.err)
	}
	waves, err := w.orders.Waves(context.Background())
	if err != nil || waves[0].State != machine.WaveDone {
		t.Errorf("waves %+v, error %v", waves, err)
	}
	if i := w.instances["i0-00-0"]; i.Phase != machine.PhaseFailed || i.Attempts < 3 {
		t.Errorf("record %+v", i)
	}
	status, err := w.orders.Status(context.Background())
	if err != nil || len(status.GivenUp) != 1 {
		t.Errorf("status %+v, error %v", status, err)
	}
	// Somebody mends the machine: it is ready and healthy without a command.
	w.store.SetMachineFaults("i0-00-0", standin.MachineFaults{Down: true})
	w.store.SetMachineFaults("i0-00-0", standin.MachineFaults{})
	w.mustRest(t, 3*time.Hour)
}
