package turns

import (
	"math"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// Bounds of what is learnt.
const (
	// binWidth is the resolution of the history. A peak rises within seconds, and
	// a machine takes 1.5 s or more to join a pool.
	binWidth = 500 * time.Millisecond
	// historyBins is the length of the history, 128 s and 2 KB for each queue.
	historyBins = 256
	// minLag and maxLag bound a period in bins, 6 s and 42 s. In a shorter one a machine
	// can't be parked and fetched again at a gain: the two moves take 3 s and cost as
	// much as 2.3 s of it. A longer one doesn't fit into the history three times.
	minLag, maxLag = 12, historyBins / 3
	// searchInterval is the number of bins between two searches for a period, each of
	// which takes up to 20,000 multiplications.
	searchInterval = 4
	// repeatedPart is the least part of a period that must have repeated itself.
	repeatedPart = 0.9
	// learnCorrelation is the least correlation of the last period with the one before
	// for a period to be learnt, and keepCorrelation the least for it to remain known. On
	// the load test 0.85 and 0.9 instead of the former gave no better plans for irregular
	// demand, since two single peaks of the same shape always match.
	learnCorrelation, keepCorrelation = 0.75, 0.5
	// lagTolerance is the loss of correlation at which a shorter period is preferred:
	// multiples of a period match as well as the period itself.
	lagTolerance = 0.05
	// minContrast is the least ratio of the highest demand of a cycle to its mean.
	// Machines that are needed half of the time can stay in the pool.
	minContrast = 2
	// minPeakJobs is the least number of jobs in 1.5 s of a peak. Single jobs of a queue
	// with little demand would be taken as peaks.
	minPeakJobs = 4
	// sharedPart is the least part of the highest demand that a repeated peak must have,
	// so that random demand between two peaks is not taken as a cycle.
	sharedPart = 0.5
	// checkedBins is the number of past bins whose arrivals are compared with the
	// forecast of a peak. Below missedPart of it the peak is missed; from seenPart of a
	// later one the forecast counts again.
	checkedBins          = 4
	missedPart, seenPart = 0.4, 0.6
	// comparedPeriods is the number of past periods on which a forecast rests.
	comparedPeriods = 3
	// maxRefinement is the change of a period in bins up to which it counts as the same
	// pattern: the period of a queue with few jobs is known to about 1 s.
	maxRefinement = 2
	// maxFailures bounds the number of periods for which a pattern must have been known
	// after it has failed. A delay that doubles up to 16 periods gave the same plans on
	// the load test.
	maxFailures = 3
	// maxTotal is where the totals are halved, so that they never overflow: a year of
	// 40,000 cores.
	maxTotal = 1 << 50
	// storedPeriods is the part of the history that is stored, in periods. It contains
	// the two periods that are compared, and their neighbours.
	storedPeriods = 2.2
)

func binOf(at time.Time) int64 { return at.UnixMilli() / binWidth.Milliseconds() }

// cycle is what is known of the demand of one queue. Bins are numbered from the Unix
// epoch.
type cycle struct {
	// bins are a ring of the work that arrived in each of the last bins. first is the
	// first bin that was observed, last the present one.
	bins        [historyBins]float64
	first, last int64
	// total is the work of all arrivals in units of each resource times seconds. It
	// gives the need of the other resources for one of processor time. jobs is their
	// number.
	total machine.Resources
	jobs  int64
	// lag is the period in bins, 0 if none is known. searchAt is the bin in which it is
	// searched next.
	lag, searchAt int64
	// missed is set while the last expected peak has not occurred.
	missed bool
	// failures is the number of further periods for which a period must have been known
	// before it is used. It grows when an expected peak does not occur or a period is
	// lost. knownSince is the bin in which the period was learnt.
	failures, knownSince int64
}

func newCycle(bin int64) *cycle { return &cycle{first: bin, last: bin} }

func (c *cycle) period() time.Duration { return time.Duration(c.lag) * binWidth }

func (c *cycle) record(work machine.Resources, bin int64) {
	c.advance(bin)
	if bin >= c.first {
		c.bins[bin%historyBins] += float64(work.MilliCores)
		if c.total.MilliCores > maxTotal || c.total.MemoryMB > maxTotal {
			c.total, c.jobs = c.total.Times(0.5), (c.jobs+1)/2
		}
		c.total = c.total.Plus(work)
		c.jobs++
	}
}

// advance begins the bins up to the given one.
func (c *cycle) advance(to int64) {
	if to-c.last >= historyBins {
		*c = cycle{first: to, last: to, total: c.total, jobs: c.jobs, failures: c.failures}
		return
	}
	for c.last < to {
		c.last++
		c.bins[c.last%historyBins] = 0
	}
	c.first = max(c.first, c.last-historyBins+1)
}

// update brings the cycle up to the present bin: its period, and whether the last expected
// peak occurred.
func (c *cycle) update(bin int64) {
	began := bin > c.last
	c.advance(bin)
	if began && c.lag != 0 {
		c.checkPeak()
	}
	if c.last >= c.searchAt {
		c.searchAt = c.last + searchInterval
		c.setLag(c.findLag())
	}
}

// setLag sets the period. A small change refines the one that is known. The loss of one
// is a failure of the pattern, unless a missed peak has already been counted.
func (c *cycle) setLag(lag int64) {
	if lag == c.lag {
		return
	}
	if c.lag != 0 && lag != 0 && max(lag-c.lag, c.lag-lag) <= maxRefinement {
		c.lag = lag
		return
	}
	if c.lag != 0 && !c.missed {
		c.recordFailure()
	}
	c.lag, c.knownSince, c.missed = lag, c.last, false
}

// recordFailure makes a pattern that has failed count later.
func (c *cycle) recordFailure() { c.failures = min(c.failures+1, maxFailures) }

// usable reports whether the forecast counts: the last expected peak occurred, and the
// period has been known for long enough.
func (c *cycle) usable() bool {
	return c.lag != 0 && !c.missed && c.last-c.knownSince >= c.failures*c.lag
}

// smooth returns the work of a bin, averaged with that of its neighbours. The present
// bin, which is not complete, does not count.
func (c *cycle) smooth(bin int64) float64 {
	sum, weights := 0.0, 0.0
	for i, weight := range [...]float64{1, 2, 1} {
		if b := bin - 1 + int64(i); b >= c.first && b < c.last {
			sum += weight * c.bins[b%historyBins]
			weights += weight
		}
	}
	return sum / max(weights, 1)
}

// expected returns the work that is expected in a bin: the median of the same phase of the
// last three periods, or the less of two if there are no three. A burst or a missing peak
// in one of them therefore has no effect.
func (c *cycle) expected(bin int64) float64 {
	at := bin - c.lag
	for at >= c.last {
		at -= c.lag
	}
	var values [comparedPeriods]float64
	n := 0
	for ; n < comparedPeriods && at >= c.first; at -= c.lag {
		values[n] = c.smooth(at)
		n++
	}
	a, b, third := values[0], values[1], values[2]
	switch n {
	case comparedPeriods:
		return max(min(a, b), min(max(a, b), third))
	case 2:
		return min(a, b)
	}
	return 0
}

// compare returns the expected and the observed work of the last n complete bins.
func (c *cycle) compare(n int64) (expected, observed float64) {
	for bin := c.last - n; bin < c.last; bin++ {
		expected += c.expected(bin)
		observed += c.bins[bin%historyBins]
	}
	return expected, observed
}

// mean returns the mean work of a bin in the last period.
func (c *cycle) mean() float64 {
	sum := 0.0
	for bin := c.last - c.lag; bin < c.last; bin++ {
		sum += c.bins[bin%historyBins]
	}
	return sum / float64(c.lag)
}

// checkPeak compares the last arrivals with their forecast, if that is above the mean. The
// peak may be a bin early or late.
func (c *cycle) checkPeak() {
	_, observed := c.compare(checkedBins)
	expected := math.Inf(1)
	for shift := int64(-1); shift <= 1; shift++ {
		sum := 0.0
		for bin := c.last - checkedBins; bin < c.last; bin++ {
			sum += c.expected(bin + shift)
		}
		expected = min(expected, sum)
	}
	switch {
	case expected < checkedBins*c.mean():
	case observed < missedPart*expected:
		if !c.missed {
			c.recordFailure()
		}
		c.missed = true
	case observed > seenPart*expected:
		c.missed = false
	}
}

// findLag returns the period at which the last arrivals repeat earlier ones, 0 if there is
// none.
func (c *cycle) findLag() int64 {
	n := c.last - c.first
	longest := min(maxLag, int64(float64(n)/(1+repeatedPart)))
	if longest < minLag {
		return 0
	}
	series := make([]float64, n)
	for i := range series {
		series[i] = c.smooth(c.first + int64(i))
	}
	best, correlations := 0.0, make([]float64, longest+1)
	for lag := int64(minLag); lag <= longest; lag++ {
		correlations[lag] = correlation(series, int(lag))
		best = max(best, correlations[lag])
	}
	if c.lag != 0 && c.lag <= longest && correlations[c.lag] >= max(keepCorrelation, best-lagTolerance) {
		return c.lag
	}
	if best < learnCorrelation {
		return 0
	}
	for lag := int64(minLag); lag <= longest; lag++ {
		if correlations[lag] >= best-lagTolerance && isPeak(correlations, int(lag)) && c.hasPeak(lag) {
			return lag
		}
	}
	return 0
}

// hasPeak reports whether the last two periods share a peak: work in a bin that is
// minContrast times the mean, at least sharedPart of the highest of either period, and that
// of minPeakJobs jobs with the bins beside it.
func (c *cycle) hasPeak(lag int64) bool {
	sum, shared, highest := 0.0, 0.0, 0.0
	for bin := c.last - lag; bin < c.last; bin++ {
		sum += c.bins[bin%historyBins]
		present, before := c.smooth(bin), c.smooth(bin-lag)
		shared, highest = max(shared, min(present, before)), max(highest, present, before)
	}
	peakWork := minPeakJobs * float64(c.total.MilliCores) / float64(max(c.jobs, 1))
	return shared > 0 && shared*float64(lag) >= minContrast*sum && shared >= sharedPart*highest && 3*shared >= peakWork
}

// isPeak reports whether a value has two neighbours and neither is higher.
func isPeak(values []float64, i int) bool {
	return i+1 < len(values) && values[i] >= values[i-1] && values[i] >= values[i+1]
}

// correlation returns Pearson's correlation of the last lag values with those before, as
// far as there are any.
func correlation(series []float64, lag int) float64 {
	m := min(lag, len(series)-lag)
	x, y := series[len(series)-m:], series[len(series)-m-lag:len(series)-lag]
	var sumX, sumY, sumXX, sumYY, sumXY float64
	for i := range x {
		sumX, sumY = sumX+x[i], sumY+y[i]
		sumXX, sumYY, sumXY = sumXX+x[i]*x[i], sumYY+y[i]*y[i], sumXY+x[i]*y[i]
	}
	n := float64(m)
	variances := (sumXX - sumX*sumX/n) * (sumYY - sumY*sumY/n)
	if variances <= 0 {
		return 0
	}
	return (sumXY - sumX*sumY/n) / math.Sqrt(variances)
}

// history returns the last storedPeriods periods.
func (c *cycle) history() History {
	from := max(c.first, c.last-int64(math.Ceil(storedPeriods*float64(c.lag))))
	h := History{End: time.UnixMilli(c.last * binWidth.Milliseconds()), Total: c.total, Jobs: c.jobs, Failures: c.failures, Work: make([]float64, c.last-from)}
	for i := range h.Work {
		h.Work[i] = c.bins[(from+int64(i))%historyBins]
	}
	return h
}
