package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/machine/upkeep"
)

// addJob adds a job of one step to a loaded scheduler.
func addJob(s *Scheduler, number int, step job.Step, now time.Time) *job.Job {
	j := job.New(job.ID(fmt.Sprintf("%016x", number)), job.Terms{Queue: "s0", Service: "s0", Attempts: 3, Stretch: 1.6},
		job.Spec{Steps: []job.Step{step}}, now.UnixMilli(), 2)
	s.jobs.set(j.ID, j)
	s.trackJob(j)
	return j
}

// waitingForRack returns a scheduler with the workers i-0 in rack r0 and i-1 in rack r1, and
// a task that waits for r0, of which a run of 300 ms uses all.
func waitingForRack(t *testing.T) (*Scheduler, *job.Job, time.Time) {
	s, now := newLoadedScheduler(2, 1, 0)
	for _, id := range []string{"i-0", "i-1"} {
		w, rack := s.workers.get(id), "r"+id[2:]
		w.Labels, w.DataCentre = []string{"a", rack}, "z-"+rack
	}
	addJob(s, 1, job.Step{Count: 1, Need: machine.Resources{MilliCores: 32000}, Estimate: 300 * time.Millisecond, Rack: "r0"}, now)
	s.placeRound(now)
	j := addJob(s, 2, job.Step{Count: 1, Need: machine.Resources{MilliCores: 1000}, Estimate: time.Second, Rack: "r0"}, now)
	s.placeRound(now)
	if got := workersOf(j); len(got) > 0 || s.place.waits.Count("s0", now) != 1 {
		t.Fatalf("the task is on %v and does not wait for its rack", got)
	}
	return s, j, now
}

// endOccupier ends the job that uses all of rack r0.
func endOccupier(s *Scheduler, now time.Time) {
	s.endJob(s.workers.get("i-0").Runs()[0].Task.Occurrence.Job, job.Cancelled, now)
}

// workersOf returns the workers with runs of a job.
func workersOf(j *job.Job) []string {
	var ids []string
	j.EachTask(func(t *job.Task) {
		for _, r := range t.Runs {
			ids = append(ids, r.Worker)
		}
	})
	return ids
}

// TestWaitEndsWithItsCause guards against a task that goes on waiting for a rack that is
// silent, draining, out of service or about to be maintained, or past the end of its wait,
// while another rack has room.
func TestWaitEndsWithItsCause(t *testing.T) {
	for name, c := range map[string]struct {
		change func(s *Scheduler, now time.Time)
		later  time.Duration
		want   string
	}{
		"worker silent":   {func(s *Scheduler, _ time.Time) { s.workers.get("i-0").Silent = true }, 0, "i-1"},
		"worker drains":   {func(s *Scheduler, _ time.Time) { s.workers.get("i-0").Draining = true }, 0, "i-1"},
		"worker lost":     {func(s *Scheduler, now time.Time) { endOccupier(s, now); s.retireWorker("i-0", "test", now) }, 0, "i-1"},
		"data centre out": {func(s *Scheduler, now time.Time) { DataCentreChanged{"z-r0", true}.apply(s, now) }, 0, "i-1"},
		"wave of the rack": {func(s *Scheduler, now time.Time) {
			WaveOrdered{upkeep.Order{Wave: 1, Machines: []string{"mi-0"}}}.apply(s, now)
		}, 0, "i-1"},
		"end of the wait":  {func(*Scheduler, time.Time) {}, 600 * time.Millisecond, "i-1"},
		"room in the rack": {endOccupier, 100 * time.Millisecond, "i-0"},
		"nothing":          {func(*Scheduler, time.Time) {}, 100 * time.Millisecond, ""},
	} {
		s, j, now := waitingForRack(t)
		now = now.Add(c.later)
		c.change(s, now)
		s.placeRound(now)
		if got := workersOf(j); c.want == "" && len(got) > 0 || c.want != "" && !slices.Equal(got, []string{c.want}) {
			t.Errorf("%s: the task is on %v, want %q", name, got, c.want)
		}
	}
}

// TestTakeoverEndsWaits guards against waits that outlive the term of the scheduler that
// began them, with their racks avoided by other tasks.
func TestTakeoverEndsWaits(t *testing.T) {
	s, _, now := waitingForRack(t)
	s.stepDown("test", now)
	s.becomeActive(now)
	if n := s.place.waits.Count("", now); n != 0 {
		t.Errorf("%d waits after a takeover", n)
	}
}

// TestGangStartsBeforeItsWaitMakesItLate guards against a gang that waits for a single rack
// until its objective cannot be met in any.
func TestGangStartsBeforeItsWaitMakesItLate(t *testing.T) {
	s, _, now := waitingForRack(t)
	endOccupier(s, now)
	half := job.Step{Count: 1, Need: machine.Resources{MilliCores: 20000}, Estimate: 300 * time.Millisecond, Rack: "r1"}
	addJob(s, 3, half, now)
	half.Rack = "r0"
	addJob(s, 4, half, now)
	s.placeRound(now)
	gang := addJob(s, 5, job.Step{Count: 2, Need: machine.Resources{MilliCores: 11000}, Estimate: time.Second, Gang: true, SameRack: true}, now)
	if s.placeRound(now); len(workersOf(gang)) > 0 {
		t.Fatalf("the gang starts on %v although a rack will soon have room", workersOf(gang))
	}
	// The other runs take twice their estimate, so that the end of the wait counts.
	end := s.place.waits.NextEnd(now)
	if want := now.Add(600 * time.Millisecond); !end.Equal(want) {
		t.Errorf("the wait ends %v after its begin, want %v", end.Sub(now), want.Sub(now))
	}
	if s.placeRound(end); len(workersOf(gang)) != 2 {
		t.Error("the gang waits although its objective can no longer be met after a wait")
	}
}

// TestDecisionsWithoutPreferencesAreUnchanged guards against a factor that changes anything
// where no step names a rack or asks for a single one, and against waits where the factor
// is missing or 1. It compares the traces of simulations with faults.
func TestDecisionsWithoutPreferencesAreUnchanged(t *testing.T) {
	play := func(factor float64, rack string, seed uint64) ([]string, int64) {
		w := newFleet(t, seed, 2, 6, 0)
		w.remoteFactor = factor
		for _, n := range w.nodes {
			n.boot()
		}
		w.runFor(4 * time.Second)
		w.trace = nil
		for i := range 60 {
			step := newStep(1+i%4, int64(1000+500*(i%5)), 200+100*(i%6))
			step.Rack, step.SameRack = rack, rack != ""
			step.Gang = i%5 == 0
			w.after(time.Duration(i)*40*time.Millisecond, func() { w.submit(i+1, job.Spec{Payload: "p", Steps: []job.Step{step}}) })
		}
		w.after(time.Second, func() { w.crash(slices.Sorted(maps.Keys(w.workers))[0]) })
		w.after(1500*time.Millisecond, func() { w.withLeader(func(n *simNode) { n.kill(time.Second) }) })
		w.runFor(12 * time.Second)
		waits := int64(0)
		for _, n := range w.nodes {
			waits += n.state.Counts().Waits
		}
		return w.trace, waits
	}
	// Steps wait for their rack in 44 of 60 seeds.
	const seeds = 8
	waited := 0
	for seed := range uint64(seeds) {
		without, _ := play(0, "", seed)
		with, waits := play(2, "", seed)
		if !slices.Equal(without, with) || waits > 0 {
			t.Errorf("seed %d: the decisions for steps without a preference depend on the factor", seed)
		}
		none, _ := play(0, "r0", seed)
		one, waits := play(1, "r0", seed)
		if !slices.Equal(none, one) || waits > 0 {
			t.Errorf("seed %d: the decisions with a factor of 1 differ from those without one", seed)
		}
		if _, waits := play(2, "r0", seed); waits > 0 {
			waited++
		}
	}
	if waited < seeds/2 {
		t.Errorf("steps wait for their rack in %d of %d seeds, want half", waited, seeds)
	}
}
