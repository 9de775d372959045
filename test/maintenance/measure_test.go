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

var targetSize = flag.Bool("target-size", false, "compare waves at the target size too")

// measureSeed fixes which machines fail during the measured waves.
const measureSeed = 7

// fleetSize is a fleet to measure with.
type fleetSize struct {
	name                                          string
	machines, centres, pools, spares, minimum     int
	failuresPerDay                                int
	drain, reboot, fill, failure, tick, mostOfAll time.Duration
}

// Drains take as long as the longest request, reboots five minutes. A failed
// machine comes back after half an hour.
var (
	today = fleetSize{
		name: "today", machines: 50, centres: 4, pools: 6, spares: 2, minimum: 6, failuresPerDay: 1,
		drain: time.Minute, reboot: 5 * time.Minute, fill: 20 * time.Second, failure: 30 * time.Minute, tick: 5 * time.Second,
		mostOfAll: 21 * 24 * time.Hour,
	}
	target = fleetSize{
		name: "target", machines: 1200, centres: 5, pools: 22, spares: 56, minimum: 47, failuresPerDay: 19,
		drain: time.Minute, reboot: 5 * time.Minute, fill: 20 * time.Second, failure: 30 * time.Minute, tick: 5 * time.Second,
		mostOfAll: 21 * 24 * time.Hour,
	}
)

// result is the measured cost of one roll-out.
type result struct {
	rollOut    time.Duration
	bufferCost time.Duration
	moves      int
	reboots    int
	writes     int64
}

// world builds the fleet with four machines to a rack.
func (s fleetSize) world() (*world, []string) {
	w := newWorld(s.tick)
	w.store.SetParkOptions(standin.ParkOptions{
		DrainMS: s.drain.Milliseconds(), RebootMS: s.reboot.Milliseconds(), FillMS: s.fill.Milliseconds(), LagMS: 5000,
	})
	var list []platform.Machine
	for n := range s.machines {
		rack := n / 4
		list = append(list, platform.Machine{
			ID: fmt.Sprintf("i%04d", n), DataCentre: fmt.Sprintf("dc%d", rack%s.centres), Rack: fmt.Sprintf("r%03d", rack),
			State: "serving", Healthy: true,
		})
	}
	var pools []string
	for n := range s.pools {
		pools = append(pools, fmt.Sprintf("pool%02d", n))
	}
	w.fleetFrom(list, pools, s.spares, s.minimum)
	w.start("p1", "dc0").learn()
	return w, append(pools, "spare")
}

// rollOut runs one wave over all pools to its end and measures it.
func (s fleetSize) rollOut(t *testing.T, oneByOne, failures bool) result {
	t.Helper()
	w, pools := s.world()
	w.mustRest(t, 10*time.Minute)
	random := rand.New(rand.NewPCG(measureSeed, measureSeed))
	calls := w.store.Calls().Writes
	begin := w.now
	w.wave(t, "w", pools, oneByOne)
	down := make(map[string]time.Time)
	for w.err == nil && w.now.Sub(begin) < s.mostOfAll {
		w.advance(time.Minute)
		if failures {
			s.fail(w, random, down)
		}
		if w.waveDone(t) {
			break
		}
	}
	if w.err != nil {
		t.Fatal(w.err)
	}
	if !w.waveDone(t) {
		t.Fatalf("%s: the wave did not end within %s", s.name, s.mostOfAll)
	}
	return result{
		rollOut: w.now.Sub(begin), bufferCost: w.outTime, moves: w.moves, reboots: w.reboots, writes: w.store.Calls().Writes - calls,
	}
}

// fail lets single machines fail at the daily rate and brings them back.
func (s fleetSize) fail(w *world, random *rand.Rand, down map[string]time.Time) {
	for id, at := range down {
		if w.now.Sub(at) >= s.failure {
			w.store.SetMachineFaults(id, standin.MachineFaults{})
			delete(down, id)
		}
	}
	if random.Float64() < float64(s.failuresPerDay)/(24*60) {
		id := fmt.Sprintf("i%04d", random.IntN(s.machines))
		w.store.SetMachineFaults(id, standin.MachineFaults{Down: true})
		down[id] = w.now
	}
}

func (w *world) waveDone(t *testing.T) bool {
	t.Helper()
	waves, err := w.orders.Waves(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return waves[0].State == "done"
}

// TestWaveComparison measures a wave against the one-by-one baseline in
// simulated time, with and without failures, and guards against a wave that is
// not faster, or that misses the three weeks. The checkers of I1, I2 and I10
// watch every run.
func TestWaveComparison(t *testing.T) {
	t.Parallel()
	sizes := []fleetSize{today}
	if *targetSize {
		sizes = append(sizes, target)
	}
	t.Logf("%-8s %-22s %10s %14s %6s %8s %8s", "size", "roll-out", "time h", "buffer inst*h", "moves", "reboots", "writes")
	for _, s := range sizes {
		baseline := s.compare(t, "one by one", true, false)
		wave := s.compare(t, "wave", false, false)
		s.compare(t, "wave, failures", false, true)
		tight := s
		tight.minimum = (s.machines - s.spares) / s.pools
		tight.compare(t, "wave without headroom", false, false)
		if wave.rollOut >= baseline.rollOut {
			t.Errorf("%s: wave %s, one by one %s", s.name, wave.rollOut, baseline.rollOut)
		}
		if wave.reboots != s.machines {
			t.Errorf("%s: %d reboots of %d machines", s.name, wave.reboots, s.machines)
		}
	}
}

func (s fleetSize) compare(t *testing.T, name string, oneByOne, failures bool) result {
	t.Helper()
	r := s.rollOut(t, oneByOne, failures)
	t.Logf("%-8s %-22s %10.2f %14.1f %6d %8d %8d", s.name, name, r.rollOut.Hours(), r.bufferCost.Hours(), r.moves, r.reboots, r.writes)
	return r
}
