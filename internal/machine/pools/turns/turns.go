// Package turns learns the cycles of demand from the arrivals of each queue and
// forecasts the work of the next peak, so that machines can be moved to a pool
// before it. The package does no I/O and reads no clock.
package turns

import (
	"maps"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// Bounds of the use of a forecast.
const (
	// recentBins is the number of past bins, 1.5 s, whose arrivals Unexpected compares
	// with their forecast.
	recentBins = 3
	// excessFactor is how far arrivals may exceed their forecast and still count as
	// expected. In 1.5 s of a peak about 50 jobs arrive, give or take 7.
	excessFactor = 1.3
	// maxRestoredAge is the age up to which a stored history is continued. The arrivals
	// since its end are known from the jobs themselves, which remain stored for longer.
	maxRestoredAge = 30 * time.Second
)

// Kind is a kind of change in what is known of a queue's demand.
type Kind string

// Kinds of changes.
const (
	// Learnt: the demand has repeated itself at a new period.
	Learnt Kind = "learnt"
	// Lost: the last period did not match the one before.
	Lost Kind = "lost"
	// PeakMissed: an expected peak did not occur, so that the forecast does not count.
	PeakMissed Kind = "peak missed"
	// PeakSeen: the next expected peak occurred, so that the forecast counts again.
	PeakSeen Kind = "peak seen"
)

// Change is a change in what is known of a queue's demand.
type Change struct {
	Queue  string
	Kind   Kind
	Period time.Duration
}

// History is the recorded demand of a queue whose cycle is known, for a later scheduler.
type History struct {
	// End is the end of the last bin, Work the work that arrived in each of the last bins.
	End  time.Time
	Work []float64
	// Total is the work of all arrivals in units of each resource times seconds, Jobs
	// their number.
	Total machine.Resources
	Jobs  int64
	// Failures is how often the pattern has failed.
	Failures int64
}

// Forecaster holds the cycles of all queues.
type Forecaster struct{ cycles map[string]*cycle }

// NewForecaster returns a forecaster that has observed nothing.
func NewForecaster() *Forecaster { return &Forecaster{cycles: make(map[string]*cycle)} }

// Record records the work of a job that arrives in a queue, in units of each resource times seconds.
func (f *Forecaster) Record(queue string, work machine.Resources, at time.Time) {
	c := f.cycles[queue]
	if c == nil {
		c = newCycle(binOf(at))
		f.cycles[queue] = c
	}
	c.record(work, binOf(at))
}

// Retain forgets all queues but those for which keep returns true.
func (f *Forecaster) Retain(keep func(queue string) bool) {
	maps.DeleteFunc(f.cycles, func(queue string, _ *cycle) bool { return !keep(queue) })
}

// Rename continues the cycle of each queue under the name that rename returns.
func (f *Forecaster) Rename(rename func(queue string) string) {
	cycles := make(map[string]*cycle, len(f.cycles))
	for queue, c := range f.cycles {
		cycles[rename(queue)] = c
	}
	f.cycles = cycles
}

// Advance brings all cycles up to now and returns what has changed. The other methods
// refer to the time of the last Advance.
func (f *Forecaster) Advance(now time.Time) []Change {
	var changes []Change
	for _, queue := range slices.Sorted(maps.Keys(f.cycles)) {
		c := f.cycles[queue]
		period, missed, knownSince := c.period(), c.missed, c.knownSince
		c.update(binOf(now))
		switch {
		case c.lag == 0 && period != 0:
			changes = append(changes, Change{queue, Lost, period})
		case c.knownSince != knownSince:
			changes = append(changes, Change{queue, Learnt, c.period()})
		case c.missed && !missed:
			changes = append(changes, Change{queue, PeakMissed, c.period()})
		case missed && !c.missed:
			changes = append(changes, Change{queue, PeakSeen, c.period()})
		}
	}
	return changes
}

// usable returns a queue's cycle if its forecast counts, nil otherwise.
func (f *Forecaster) usable(queue string) *cycle {
	if c := f.cycles[queue]; c != nil && c.usable() {
		return c
	}
	return nil
}

// Need returns the highest need of a queue between from and to according to its cycle:
// the work that arrives in a second, which is the amount of resources that it occupies if
// no task waits. It is zero for a queue without a usable cycle.
func (f *Forecaster) Need(queue string, from, to time.Time) machine.Resources {
	c := f.usable(queue)
	if c == nil || c.total.MilliCores <= 0 {
		return machine.Resources{}
	}
	highest := 0.0
	for bin := binOf(from); bin <= binOf(to); bin++ {
		highest = max(highest, c.expected(bin))
	}
	return c.total.Times(highest / binWidth.Seconds() / float64(c.total.MilliCores))
}

// Unexpected returns which part of a queue's last arrivals exceeds those that its cycle
// led to expect: 1 for a queue without a usable cycle, 0 if all were expected.
func (f *Forecaster) Unexpected(queue string) float64 {
	c := f.usable(queue)
	if c == nil {
		return 1
	}
	expected, observed := c.compare(recentBins)
	if observed <= excessFactor*expected {
		return 0
	}
	return 1 - expected/observed
}

// Counts returns the number of queues with a known cycle, and how many of these are not
// used after their pattern has failed.
func (f *Forecaster) Counts() (known, unused int64) {
	for _, c := range f.cycles {
		if c.lag != 0 {
			known++
		}
		if c.lag != 0 && !c.usable() {
			unused++
		}
	}
	return known, unused
}

// Histories returns the history of each queue whose cycle is known, as far as a later
// scheduler needs it for the same forecast.
func (f *Forecaster) Histories() map[string]History {
	histories := make(map[string]History)
	for queue, c := range f.cycles {
		if c.lag != 0 {
			histories[queue] = c.history()
		}
	}
	return histories
}

// Restore continues a stored history and reports whether it did: one that is too old, or
// is not one of this package, is ignored.
func (f *Forecaster) Restore(queue string, h History, now time.Time) bool {
	age := now.Sub(h.End)
	if age < -time.Second || age > maxRestoredAge || len(h.Work) == 0 || len(h.Work) >= historyBins || h.Total.MilliCores <= 0 || h.Jobs <= 0 {
		return false
	}
	end := binOf(h.End)
	c := newCycle(end - int64(len(h.Work)))
	c.advance(end)
	for i, work := range h.Work {
		c.bins[(c.first+int64(i))%historyBins] = work
	}
	c.total, c.jobs, c.failures = h.Total, h.Jobs, max(0, min(h.Failures, maxFailures))
	c.searchAt = end
	f.cycles[queue] = c
	return true
}
