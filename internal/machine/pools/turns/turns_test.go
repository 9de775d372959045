package turns

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine"
)

var start = time.UnixMilli(1_700_000_000_000)

const (
	period = 20 * time.Second
	lead   = 2200 * time.Millisecond
	// peakWork is the work that arrives in a second at the height of a peak.
	peakWork = 40_000
)

// demand returns the work that arrives in a second of a cycle with peaks of 8 s.
func demand(at time.Duration) float64 {
	offset := (at % period).Seconds()
	if offset < 8 {
		return peakWork * (1 - math.Cos(2*math.Pi*offset/8)) / 2
	}
	return peakWork / 50
}

// feed lets Poisson arrivals of jobs with 400 to 1,200 millicore seconds come from one
// time to another, and calls step every 100 ms.
func feed(f *Forecaster, random *rand.Rand, from, to time.Duration, rate func(time.Duration) float64, step func(at time.Duration)) {
	const interval, meanWork = 100 * time.Millisecond, 800
	for at := from; at < to; at += interval {
		expected := rate(at) * interval.Seconds() / meanWork
		for sum := random.ExpFloat64(); sum < expected; sum += random.ExpFloat64() {
			f.Record("q", machine.Resources{MilliCores: 400 + random.Int64N(800), MemoryMB: 1000}, start.Add(at))
		}
		f.Advance(start.Add(at))
		step(at)
	}
}

func ignore(time.Duration) {}

func need(f *Forecaster, at time.Duration) float64 {
	return float64(f.Need("q", start.Add(at), start.Add(at+lead)).MilliCores)
}

// TestPeakIsForecast guards against a forecast before the demand has repeated itself, and
// against one that misses the height or the time of the next peaks afterwards.
func TestPeakIsForecast(t *testing.T) {
	for seed := range uint64(20) {
		f := NewForecaster()
		feed(f, rand.New(rand.NewPCG(seed, 1)), 0, 5*period, demand, func(at time.Duration) {
			got := need(f, at)
			if repeated := period + period*8/10; at < repeated && (got != 0 || f.Unexpected("q") != 1) {
				t.Fatalf("seed %d: %.0f forecast at %v, before the demand has repeated itself", seed, got, at)
			}
			if at < 3*period {
				return
			}
			highest := 0.0
			for d := time.Duration(0); d <= lead; d += binWidth {
				highest = max(highest, demand(at+d))
			}
			if highest > 0.9*peakWork && (got < 0.6*highest || got > 1.4*highest) {
				t.Errorf("seed %d: %.0f forecast at %v, want about %.0f", seed, got, at, highest)
			}
			if c := f.cycles["q"].period(); c < period-time.Second || c > period+time.Second {
				t.Errorf("seed %d: period %v at %v", seed, c, at)
			}
		})
	}
}

// TestMissedPeakCostsLittle guards against machines that wait for a peak which does not
// occur, and for later ones although the pattern has ended: the forecast work that does
// not arrive is bounded by that of 5 s of the peak, that is the lead and the time in which
// a missing peak is noticed.
func TestMissedPeakCostsLittle(t *testing.T) {
	for seed := range uint64(20) {
		f, random, wasted := NewForecaster(), rand.New(rand.NewPCG(seed, 2)), 0.0
		feed(f, random, 0, 3*period, demand, ignore)
		feed(f, random, 3*period, 8*period, func(time.Duration) float64 { return peakWork / 50 }, func(at time.Duration) { wasted += need(f, at) / 10 })
		if wasted > 5*peakWork {
			t.Errorf("seed %d: %.1f s of a peak forecast in vain", seed, wasted/peakWork)
		}
	}
}

// TestBurstIsNotForecast guards against a burst outside the cycle that is expected again
// in the next period, and against one that is not reported as unexpected.
func TestBurstIsNotForecast(t *testing.T) {
	const burstAt = 3*period + 11*time.Second
	for seed := range uint64(20) {
		f := NewForecaster()
		inBurst := func(at time.Duration) bool { return at >= burstAt && at < burstAt+2*time.Second }
		rate := func(at time.Duration) float64 {
			if inBurst(at) {
				return peakWork
			}
			return demand(at)
		}
		feed(f, rand.New(rand.NewPCG(seed, 3)), 0, 5*period, rate, func(at time.Duration) {
			if inBurst(at-time.Second) && inBurst(at) && f.Unexpected("q") < 0.7 {
				t.Errorf("seed %d: %.2f of the burst is unexpected at %v", seed, f.Unexpected("q"), at)
			}
			if inBurst(at-period) && need(f, at) > peakWork/2 {
				t.Errorf("seed %d: the burst is forecast again at %v", seed, at)
			}
		})
	}
}

// TestNoCycleWithoutPattern guards against a cycle that is learnt from steady demand, and
// against more than one forecast peak in five where peaks come at random times.
func TestNoCycleWithoutPattern(t *testing.T) {
	wasted, arrived := 0.0, 0.0
	for seed := range uint64(20) {
		steady := NewForecaster()
		feed(steady, rand.New(rand.NewPCG(seed, 4)), 0, 10*period, func(time.Duration) float64 { return peakWork / 4 }, func(at time.Duration) {
			if need(steady, at) != 0 {
				t.Errorf("seed %d: a cycle is learnt from steady demand at %v", seed, at)
			}
		})
		f, random, next := NewForecaster(), rand.New(rand.NewPCG(seed, 5)), time.Duration(0)
		rate := func(at time.Duration) float64 {
			if at >= next+8*time.Second {
				next = at + time.Duration(random.Int64N(int64(24*time.Second)))
			}
			return demand(min(max(at-next, 0), 8*time.Second))
		}
		feed(f, random, 0, 50*period, rate, func(at time.Duration) {
			arrived += rate(at)
			wasted += max(0, need(f, at)-rate(at))
		})
	}
	if wasted > arrived/5 {
		t.Errorf("%.2f of the work that arrives is forecast in vain", wasted/arrived)
	}
}

// TestRestoredForecast guards against a successor that forecasts something else than the
// scheduler before it, and against a history that is too old, or damaged, being used.
func TestRestoredForecast(t *testing.T) {
	f := NewForecaster()
	const at = 3*period + 18*time.Second
	feed(f, rand.New(rand.NewPCG(6, 6)), 0, at+time.Millisecond, demand, ignore)
	now := start.Add(at)
	h := f.Histories()["q"]
	restored := NewForecaster()
	if !restored.Restore("q", h, now) {
		t.Fatal("the history is not used")
	}
	restored.Advance(now)
	if got, want := need(restored, at+2*time.Second), need(f, at+2*time.Second); want == 0 || math.Abs(got-want) > want/4 {
		t.Errorf("%.0f forecast, %.0f before the takeover", got, want)
	}
	long, old, ahead := h, h, h
	long.Work = make([]float64, historyBins)
	old.End, ahead.End = now.Add(-2*maxRestoredAge), now.Add(time.Hour)
	for name, h := range map[string]History{"empty": {End: now}, "too long": long, "old": old, "of the future": ahead} {
		if NewForecaster().Restore("q", h, now) {
			t.Errorf("a history that is %s is used", name)
		}
	}
}

// BenchmarkAdvance measures one search for the periods of 22 queues with a full history,
// as is due every 2 s, and their forecast.
func BenchmarkAdvance(b *testing.B) {
	f := NewForecaster()
	feed(f, rand.New(rand.NewPCG(7, 7)), 0, 7*period, demand, ignore)
	for i := range 21 {
		copied := *f.cycles["q"]
		f.cycles[string(rune('a'+i))+"-queue"] = &copied
	}
	now := start.Add(7 * period)
	b.ReportAllocs()
	for b.Loop() {
		for _, c := range f.cycles {
			c.searchAt = 0
		}
		f.Advance(now)
		for queue := range f.cycles {
			f.Need(queue, now, now.Add(lead))
		}
	}
}
