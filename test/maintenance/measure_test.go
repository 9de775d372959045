package maintenance

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/platform"
	"github.com/crocusjunction/crocusjunction/internal/standin"
)

var measureTargetSize = flag.Bool("target-size", false, "compare waves at the target size too")

// measureSeed is the seed of the machine failures during the measured waves.
const measureSeed = 7

// fleetSize is the size and the timing of a fleet to measure. A failed machine
// stays down for downtime.
type fleetSize struct {
	name                                             string
	machines, dataCentres, pools, spares, minimum    int
	failuresPerDay                                   int
	drain, reboot, fill, downtime, tick, maxWaveTime time.Duration
}

// In both fleets, a drain takes as long as the longest request, a reboot takes
// five minutes, and a failed machine recovers after half an hour.
var (
	currentFleet = fleetSize{
		name: "today", machines: 50, dataCentres: 4, pools: 6, spares: 2, minimum: 6, failuresPerDay: 1,
		drain: time.Minute, reboot: 5 * time.Minute, fill: 20 * time.Second, downtime: 30 * time.Minute, tick: 5 * time.Second,
		maxWaveTime: 21 * 24 * time.Hour,
	}
	targetFleet = fleetSize{
		name: "target", machines: 1200, dataCentres: 5, pools: 22, spares: 56, minimum: 47, failuresPerDay: 19,
		drain: time.Minute, reboot: 5 * time.Minute, fill: 20 * time.Second, downtime: 30 * time.Minute, tick: 5 * time.Second,
		maxWaveTime: 21 * 24 * time.Hour,
	}
)

// waveCost is the measured cost of one wave. outTime is the sum of the durations
// for which the machines were out of service.
type waveCost struct {
	duration time.Duration
	outTime  time.Duration
	moves    int
	reboots  int
	writes   int64
}

// build returns a simulation of the fleet, with four machines to a rack, and the
// names of its pools.
func (s fleetSize) build() (*simulation, []string) {
	sim := newSimulation(s.tick)
	sim.store.SetMachineOptions(standin.MachineOptions{
		DrainMS: s.drain.Milliseconds(), RebootMS: s.reboot.Milliseconds(), FillMS: s.fill.Milliseconds(), LagMS: 5000,
	})
	var list []platform.Machine
	for n := range s.machines {
		rack := n / 4
		list = append(list, platform.Machine{
			ID: fmt.Sprintf("i%04d", n), DataCentre: fmt.Sprintf("dc%d", rack%s.dataCentres), Rack: fmt.Sprintf("r%03d", rack),
			State: "serving", Healthy: true,
		})
	}
	var pools []string
	for n := range s.pools {
		pools = append(pools, fmt.Sprintf("pool%02d", n))
	}
	sim.addMachines(list, pools, s.spares, s.minimum)
	sim.startProcess("p1", "dc0").loadConfig()
	return sim, append(pools, "spare")
}

// measureWave runs one wave over all pools to its end and returns its cost.
func (s fleetSize) measureWave(t *testing.T, oneByOne, failures bool) waveCost {
	t.Helper()
	sim, pools := s.build()
	sim.mustSettle(t, 10*time.Minute)
	random := rand.New(rand.NewPCG(measureSeed, measureSeed))
	writesBefore := sim.store.Calls().Writes
	begin := sim.now
	sim.mustStartWave(t, "w", pools, oneByOne)
	down := make(map[string]time.Time)
	for sim.err == nil && sim.now.Sub(begin) < s.maxWaveTime {
		sim.advance(time.Minute)
		if failures {
			s.injectFailures(sim, random, down)
		}
		if sim.isWaveDone(t) {
			break
		}
	}
	if sim.err != nil {
		t.Fatal(sim.err)
	}
	if !sim.isWaveDone(t) {
		t.Fatalf("%s: wave is not done within %s", s.name, s.maxWaveTime)
	}
	return waveCost{
		duration: sim.now.Sub(begin), outTime: sim.totalOutTime, moves: sim.moves, reboots: sim.reboots, writes: sim.store.Calls().Writes - writesBefore,
	}
}

// injectFailures lets single machines fail at the rate failuresPerDay and ends
// each failure after downtime. It must be called once per simulated minute.
func (s fleetSize) injectFailures(sim *simulation, random *rand.Rand, down map[string]time.Time) {
	for id, at := range down {
		if sim.now.Sub(at) >= s.downtime {
			sim.store.SetMachineFaults(id, standin.MachineFaults{})
			delete(down, id)
		}
	}
	if random.Float64() < float64(s.failuresPerDay)/(24*60) {
		id := fmt.Sprintf("i%04d", random.IntN(s.machines))
		sim.store.SetMachineFaults(id, standin.MachineFaults{Down: true})
		down[id] = sim.now
	}
}

// isWaveDone reports whether the only wave is done.
func (sim *simulation) isWaveDone(t *testing.T) bool {
	t.Helper()
	waves, err := sim.orders.Waves(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return waves[0].State == "done"
}

// TestWaveComparison guards against a wave that is not faster than rebooting
// the machines one by one, or that takes longer than three weeks. It logs the
// costs in simulated time, with and without machine failures and headroom. The
// checkers of the invariants I1, I2 and I10 check every run.
func TestWaveComparison(t *testing.T) {
	t.Parallel()
	sizes := []fleetSize{currentFleet}
	if *measureTargetSize {
		sizes = append(sizes, targetFleet)
	}
	t.Logf("%-8s %-22s %10s %14s %6s %8s %8s", "size", "roll-out", "time h", "buffer inst*h", "moves", "reboots", "writes")
	for _, s := range sizes {
		baseline := s.logWave(t, "one by one", true, false)
		wave := s.logWave(t, "wave", false, false)
		s.logWave(t, "wave, failures", false, true)
		tight := s
		tight.minimum = (s.machines - s.spares) / s.pools
		tight.logWave(t, "wave without headroom", false, false)
		if wave.duration >= baseline.duration {
			t.Errorf("%s: wave took %s, one by one %s", s.name, wave.duration, baseline.duration)
		}
		if wave.reboots != s.machines {
			t.Errorf("%s: %d reboots of %d machines", s.name, wave.reboots, s.machines)
		}
	}
}

// logWave measures a wave and logs a row of the table.
func (s fleetSize) logWave(t *testing.T, name string, oneByOne, failures bool) waveCost {
	t.Helper()
	r := s.measureWave(t, oneByOne, failures)
	t.Logf("%-8s %-22s %10.2f %14.1f %6d %8d %8d", s.name, name, r.duration.Hours(), r.outTime.Hours(), r.moves, r.reboots, r.writes)
	return r
}
