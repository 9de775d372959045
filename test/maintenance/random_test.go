package maintenance

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/standin"
)

// Seed and number of the random runs, unless flags set them.
const (
	randomSeed = "20260601"
	randomRuns = "100"
)

func TestMain(m *testing.M) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": randomSeed, "rapid.checks": randomRuns, "rapid.nofailfile": "true", "rapid.shrinktime": "5s"} {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// randomRun is a simulation with random operations. waves is the number of waves
// that were started.
type randomRun struct {
	*simulation
	waves  int
	faults map[string]standin.MachineFaults
}

// TestRandomHistories guards against violations of the invariants I1, I2 and
// I10, and against a fleet that does not settle after the faults have ended. It
// runs waves, moves and repairs while processes crash and are paused, answers
// are lost, the platform is down, operators give conflicting orders, and
// machines, racks and data centres fail, alone and together.
func TestRandomHistories(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		rr := &randomRun{simulation: newTwoPoolSimulation(), faults: make(map[string]standin.MachineFaults)}
		rr.advance(2 * time.Minute)
		r.Repeat(map[string]func(*rapid.T){
			"advance":     rr.advanceRandomly,
			"steps":       rr.runSteps,
			"crash":       rr.crashProcess,
			"pause":       rr.pauseProcess,
			"resume":      rr.resumeProcess,
			"lose":        rr.loseCalls,
			"outage":      rr.platformOutage,
			"fail":        rr.failMachine,
			"rack":        rr.failRack,
			"centre":      rr.failDataCentre,
			"takeOut":     rr.orderRandomDataCentre,
			"heal":        rr.clearMachineFaults,
			"move":        rr.orderMove,
			"race":        rr.orderRacingMoves,
			"wave":        rr.startWave,
			"pauseWave":   rr.pauseWave,
			"resumeWave":  rr.resumeWave,
			"minimum":     rr.changeMinimum,
			"machineGone": rr.replaceRandomMachine,
			"":            func(r *rapid.T) { rr.checkViolations(r) },
		})
		rr.endFaults()
		if reason := rr.settle(12 * time.Hour); reason != "" {
			rr.checkViolations(r)
			r.Fatalf("fleet is not settled: %s", reason)
		}
		rr.checkViolations(r)
	})
}

// checkViolations fails the run if a checker has found a violation.
func (rr *randomRun) checkViolations(r *rapid.T) {
	if rr.err != nil {
		r.Fatal(rr.err)
	}
}

// endFaults ends every fault and resumes every process and wave. It sets all
// minimums to zero, because random moves may have left a pool with fewer members
// than its minimum, and a wave in such a pool waits until an operator lowers the
// minimum or adds members.
func (rr *randomRun) endFaults() {
	rr.tick = 5 * time.Second
	rr.store.SetStoreFaults(standin.StoreFaults{})
	for _, p := range rr.processes {
		if p.paused {
			p.resumeStale()
		}
		p.callsUntilCrash = -1
	}
	rr.replaceCrashed()
	for _, m := range rr.store.CurrentMachines() {
		rr.store.SetMachineFaults(m.ID, standin.MachineFaults{})
	}
	for _, centre := range []string{"dc0", "dc1"} {
		rr.orderDataCentre(centre, false)
	}
	for _, pool := range twoPools {
		rr.setMinimum("a-"+pool, pool, 0)
		rr.setMinimum("b-"+pool, pool, 0)
	}
	for n := range rr.waves {
		_, _ = rr.orders.ResumeWave(context.Background(), fmt.Sprintf("w%d", n))
	}
}

// replaceCrashed replaces the processes that have crashed.
func (rr *randomRun) replaceCrashed() {
	for _, p := range append([]*process(nil), rr.processes...) {
		if p.crashed {
			p.replace()
		}
	}
}

func (rr *randomRun) advanceRandomly(r *rapid.T) {
	d := rapid.SampledFrom([]time.Duration{2 * time.Second, 10 * time.Second, time.Minute, 4 * time.Minute, 12 * time.Minute}).Draw(r, "d")
	rr.advance(d)
	rr.replaceCrashed()
}

// runSteps runs up to four steps of the batch of one process, so that a pause
// or a crash can occur between any two steps.
func (rr *randomRun) runSteps(r *rapid.T) {
	rr.now = rr.now.Add(time.Second)
	rr.observeEffects()
	rr.randomProcess(r).run(rapid.IntRange(0, 4).Draw(r, "steps"))
	rr.replaceCrashed()
}

func (rr *randomRun) randomProcess(r *rapid.T) *process {
	return rr.processes[rapid.IntRange(0, len(rr.processes)-1).Draw(r, "process")]
}

func (rr *randomRun) crashProcess(r *rapid.T) {
	p := rr.randomProcess(r)
	p.callsUntilCrash, p.crashAfterEffect = rapid.IntRange(0, 6).Draw(r, "calls"), rapid.Bool().Draw(r, "late")
}

func (rr *randomRun) pauseProcess(r *rapid.T) {
	p := rr.randomProcess(r)
	if !p.paused {
		p.run(rapid.IntRange(0, 3).Draw(r, "steps"))
		p.pause()
	}
}

func (rr *randomRun) resumeProcess(r *rapid.T) {
	for _, p := range rr.processes {
		if p.paused {
			p.resumeStale()
			break
		}
	}
	rr.replaceCrashed()
}

func (rr *randomRun) loseCalls(r *rapid.T) {
	rr.store.SetStoreFaults(standin.StoreFaults{
		LoseAnswers: rapid.IntRange(0, 3).Draw(r, "answers"),
		LoseWrites:  rapid.IntRange(0, 3).Draw(r, "writes"),
	})
}

func (rr *randomRun) platformOutage(r *rapid.T) {
	rr.store.SetStoreFaults(standin.StoreFaults{Outage: true})
	rr.advance(rapid.SampledFrom([]time.Duration{3 * time.Second, 20 * time.Second, 3 * time.Minute}).Draw(r, "d"))
	rr.store.SetStoreFaults(standin.StoreFaults{})
	rr.replaceCrashed()
}

func (rr *randomRun) randomMachine(r *rapid.T) string {
	var ids []string
	for _, m := range rr.store.CurrentMachines() {
		ids = append(ids, m.ID)
	}
	return rapid.SampledFrom(ids).Draw(r, "machine")
}

func (rr *randomRun) failMachine(r *rapid.T) {
	rr.store.SetMachineFaults(rr.randomMachine(r), rapid.SampledFrom([]standin.MachineFaults{
		{Down: true}, {Stuck: true}, {UnhealthyAfterReboot: true}, {Stuck: true, UnhealthyAfterReboot: true},
	}).Draw(r, "fault"))
}

func (rr *randomRun) failRack(r *rapid.T) {
	centre := rapid.SampledFrom([]string{"dc0", "dc1"}).Draw(r, "centre")
	rr.setRackFaults(centre, rapid.SampledFrom([]string{"r00", "r01", "r02"}).Draw(r, "rack"), standin.MachineFaults{Down: true})
}

func (rr *randomRun) failDataCentre(r *rapid.T) {
	centre := rapid.SampledFrom([]string{"dc0", "dc1"}).Draw(r, "centre")
	for _, rack := range []string{"r00", "r01", "r02"} {
		rr.setRackFaults(centre, rack, standin.MachineFaults{Down: true})
	}
}

func (rr *randomRun) orderRandomDataCentre(r *rapid.T) {
	rr.orderDataCentre(rapid.SampledFrom([]string{"dc0", "dc1"}).Draw(r, "centre"), rapid.Bool().Draw(r, "out"))
}

func (rr *randomRun) clearMachineFaults(r *rapid.T) {
	for _, m := range rr.store.CurrentMachines() {
		if rapid.Bool().Draw(r, "heal") {
			rr.store.SetMachineFaults(m.ID, standin.MachineFaults{})
		}
	}
}

func (rr *randomRun) orderMove(r *rapid.T) {
	pool := rapid.SampledFrom([]string{"bookings", "photos", "spare"}).Draw(r, "pool")
	_, _ = rr.orders.Move(context.Background(), rr.randomMachine(r), pool, "op")
}

// orderRacingMoves orders two different moves of one instance as two operators.
func (rr *randomRun) orderRacingMoves(r *rapid.T) {
	id := rr.randomMachine(r)
	_, _ = rr.orders.Move(context.Background(), id, "bookings", "one")
	_, _ = rr.orders.Move(context.Background(), id, "photos", "two")
}

func (rr *randomRun) startWave(r *rapid.T) {
	pools := rapid.SampledFrom([][]string{{"bookings"}, {"photos", "spare"}, {"bookings", "photos", "spare"}}).Draw(r, "pools")
	wave := machine.Wave{Name: fmt.Sprintf("w%d", rr.waves), Pools: pools, OneByOne: rapid.Bool().Draw(r, "one"), Author: "op"}
	if _, err := rr.orders.StartWave(context.Background(), wave); err == nil {
		rr.waves++
	}
}

func (rr *randomRun) pauseWave(r *rapid.T) {
	_, _ = rr.orders.PauseWave(context.Background(), fmt.Sprintf("w%d", rapid.IntRange(0, 3).Draw(r, "wave")))
}

func (rr *randomRun) resumeWave(r *rapid.T) {
	_, _ = rr.orders.ResumeWave(context.Background(), fmt.Sprintf("w%d", rapid.IntRange(0, 3).Draw(r, "wave")))
}

func (rr *randomRun) changeMinimum(r *rapid.T) {
	pool := rapid.SampledFrom(twoPools).Draw(r, "pool")
	rr.setMinimum("a-"+pool, pool, rapid.IntRange(4, 9).Draw(r, "minimum"))
}

// replaceRandomMachine removes a machine and adds a new one in the same rack.
func (rr *randomRun) replaceRandomMachine(r *rapid.T) {
	rr.replaceMachine(rr.randomMachine(r))
}
