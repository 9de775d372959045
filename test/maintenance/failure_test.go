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

// tinyWorld has six members of one pool and two spares in two racks, and a
// headroom of one instance. Its processes are p1, which holds the lease, and p2.
func tinyWorld(t *testing.T) (w *world, p1, p2 *proc) {
	t.Helper()
	w = newWorld(time.Second)
	w.fleetOf(2, 1, 4, []string{"bookings"}, 2, 5)
	w.start("p1", "dc0").learn()
	w.advance(30 * time.Second)
	w.start("p2", "dc1").learn()
	w.mustRest(t, 5*time.Minute)
	return w, w.procs[0], w.procs[1]
}

// work orders a move and a wave, so that every kind of planned step occurs, and
// lets one instance fail.
func (w *world) work(t *testing.T) {
	t.Helper()
	w.document("a-bookings", "bookings", 4)
	if _, err := w.orders.Move(context.Background(), "i0-00-0", "spare", "op"); err != nil {
		t.Fatal(err)
	}
	w.wave(t, "w1", []string{"bookings", "spare"}, false)
	w.advance(20 * time.Second)
	w.store.SetMachineFaults("i1-00-3", standin.MachineFaults{Down: true})
	w.advance(3 * time.Minute)
	w.store.SetMachineFaults("i1-00-3", standin.MachineFaults{})
}

// complete checks that the ordered work was done.
func (w *world) complete(t *testing.T) {
	t.Helper()
	w.mustRest(t, 4*time.Hour)
	for id, i := range w.instances {
		if i.RebootedAt.IsZero() {
			t.Errorf("%s was not rebooted", id)
		}
	}
	// The spare pool may lend the moved instance again to replace the failed one.
	if !w.joined["i0-00-0 spare"] {
		t.Errorf("not moved: %+v", w.instances["i0-00-0"])
	}
}

// atEvery runs the scenario once for each call with an effect until the scenario
// ends before the call, as arm reports.
func atEvery(t *testing.T, scenario func(t *testing.T, n int) (reached bool)) {
	t.Helper()
	const bound = 400
	for n := range bound {
		reached := true
		if !t.Run(fmt.Sprint(n), func(t *testing.T) { reached = scenario(t, n) }) || !reached {
			if n < 30 {
				t.Errorf("the scenario ended after %d calls", n)
			}
			return
		}
	}
	t.Errorf("more than %d calls", bound)
}

// TestCrashBeforeAndAfterEveryCall guards against half-done work that a new
// planner loses or repeats wrongly, wherever the old one dies.
func TestCrashBeforeAndAfterEveryCall(t *testing.T) {
	t.Parallel()
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprintf("late=%v", late), func(t *testing.T) {
			atEvery(t, func(t *testing.T, n int) bool {
				w, p1, _ := tinyWorld(t)
				p1.crashAfter, p1.late = n, late
				w.work(t)
				w.complete(t)
				return p1.dead
			})
		})
	}
}

// TestLostAnswerOfEveryCall guards against a planner that takes a write or
// command with a lost answer for done, or for not done.
func TestLostAnswerOfEveryCall(t *testing.T) {
	t.Parallel()
	atEvery(t, func(t *testing.T, n int) bool {
		w, p1, _ := tinyWorld(t)
		p1.loseAfter = n
		w.work(t)
		w.complete(t)
		return p1.loseAfter < 0
	})
}

// TestPauseAtEveryStep guards against a planner that was paused past its lease
// and then acts on what it saw before. Meanwhile a second planner has taken
// over, the wave was paused and the minimum raised, so that no old charge or
// drain may still take effect.
func TestPauseAtEveryStep(t *testing.T) {
	t.Parallel()
	pauseAtEvery(t, func(t *testing.T, w *world, _ *proc, _ int) {
		if _, err := w.orders.PauseWave(context.Background(), "w1"); err != nil {
			t.Fatal(err)
		}
		w.document("a-bookings", "bookings", 6)
		w.advance(3 * time.Minute)
	})
}

// TestPauseWithCrashOfTheSecondPlanner guards against two faults together: the
// first planner is paused, and the one that took over dies in the middle.
func TestPauseWithCrashOfTheSecondPlanner(t *testing.T) {
	t.Parallel()
	pauseAtEvery(t, func(t *testing.T, w *world, p2 *proc, n int) {
		p2.crashAfter, p2.late = n%7, n%2 == 0
		w.advance(30 * time.Second)
		w.rackFaults("dc1", "r00", standin.MachineFaults{Down: true})
		w.advance(time.Minute)
		w.rackFaults("dc1", "r00", standin.MachineFaults{})
	})
}

func pauseAtEvery(t *testing.T, meanwhile func(t *testing.T, w *world, p2 *proc, n int)) {
	t.Helper()
	atEvery(t, func(t *testing.T, n int) bool {
		w, p1, p2 := tinyWorld(t)
		p1.pauseAfter = n
		w.work(t)
		if !p1.paused {
			w.complete(t)
			return false
		}
		meanwhile(t, w, p2, n)
		p1.resumeStale()
		w.advance(time.Minute)
		if w.err != nil {
			t.Fatal(w.err)
		}
		w.document("a-bookings", "bookings", 4)
		_, _ = w.orders.ResumeWave(context.Background(), "w1")
		w.complete(t)
		return true
	})
}

// TestRacingOperatorsGetOneAnswerEach guards against two orders for one instance
// that are both accepted.
func TestRacingOperatorsGetOneAnswerEach(t *testing.T) {
	t.Parallel()
	w, _, _ := tinyWorld(t)
	_, first := w.orders.Move(context.Background(), "i0-00-0", "spare", "one")
	_, second := w.orders.Move(context.Background(), "i0-00-0", "bookings", "two")
	if first != nil || second == nil {
		t.Errorf("first %v, second %v", first, second)
	}
	w.mustRest(t, time.Hour)
}

// TestOrderSurvivesTheLossOfEveryProcess guards against orders that are kept in
// memory.
func TestOrderSurvivesTheLossOfEveryProcess(t *testing.T) {
	t.Parallel()
	w, p1, p2 := tinyWorld(t)
	w.wave(t, "w1", []string{"bookings"}, false)
	p1.kill()
	p2.kill()
	w.mustRest(t, 2*time.Hour)
	waves, err := w.orders.Waves(context.Background())
	if err != nil || waves[0].State != machine.WaveDone {
		t.Errorf("waves %+v, error %v", waves, err)
	}
}

// TestStaleListStopsEverything guards against steps that rest on an old view.
func TestStaleListStopsEverything(t *testing.T) {
	t.Parallel()
	w, _, _ := tinyWorld(t)
	w.wave(t, "w1", []string{"bookings"}, false)
	before := w.drains
	w.procs[0].due = withoutMachineWatch(w.procs[0].due)
	w.advance(40 * time.Second)
	after := w.drains
	w.advance(10 * time.Minute)
	if w.drains != after {
		t.Errorf("%d drains on an old list, %d before", w.drains-after, after-before)
	}
	status, err := w.orders.Status(context.Background())
	if err != nil || status.Hold == "" {
		t.Errorf("status %+v, error %v", status, err)
	}
}

// TestPlannedStopGivesThePlannerUp guards against a stopping process that goes on
// planning or takes the lease again.
func TestPlannedStopGivesThePlannerUp(t *testing.T) {
	t.Parallel()
	w, p1, _ := tinyWorld(t)
	w.wave(t, "w1", []string{"bookings"}, false)
	w.advance(20 * time.Second)
	reply := make(chan fleet.Departure, 1)
	p1.add(fleet.Depart{Reply: reply}.Apply(p1.fleet, w.now), false)
	for _, id := range (<-reply).Leases {
		if err := w.store.Revoke(t.Context(), platform.LeaseID(id)); err != nil {
			t.Fatal(err)
		}
	}
	w.mustRest(t, 2*time.Hour)
	status, err := w.orders.Status(t.Context())
	if err != nil || status.Holder != "p2" {
		t.Errorf("status %+v, error %v", status, err)
	}
}
