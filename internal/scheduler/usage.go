package scheduler

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/usage"
)

const (
	// useInterval is the least time between two writes of the use of teams. A takeover
	// loses at most this part of the history, less than half of usage.HalfLife. With 140
	// teams the record has 1.7 KB, which each node reads.
	useInterval = 2 * time.Second
	// fairShareLogInterval is the time between two log lines about the shares of teams.
	fairShareLogInterval = time.Second
	// divideInterval is the least time between two computations of the shares. Computing
	// them, and a factor for each job, in every round made rounds with 140 teams 11% to 40%
	// longer. Use decays over seconds and changes little within the interval.
	divideInterval = 50 * time.Millisecond
)

// fairShare decides by what teams have used over time whose jobs are placed first in a
// full pool for which they compete.
type fairShare struct {
	// stored is the use that the store holds.
	stored UseRead

	// The remaining fields are used by the active scheduler. The ledger is nil if only the
	// present use counts.
	ledger *usage.Ledger
	// contended are the services for whose pool two teams or more competed in the last
	// round of placement.
	contended map[string]bool
	// capacityMisses counts the steps that found no worker with enough free capacity.
	capacityMisses int
	writes         recordWrites
	// writeAt is when the next write may be sent, logAt when the shares are logged next,
	// divideAt when they are computed next.
	writeAt, logAt, divideAt time.Time
}

// teamSet tells whether the jobs that wait for capacity in a pool belong to several teams.
// Only jobs to which the factor of their team applies count.
type teamSet struct {
	first   string
	several bool
}

func (t *teamSet) add(c *candidate) {
	if t.several || c.rank != rankTimely || c.job.Terms.Team == "" {
		return
	}
	t.several = t.first != "" && t.first != c.job.Terms.Team
	t.first = c.job.Terms.Team
}

// startFairShare begins a term with the use that the store holds.
func (s *Scheduler) startFairShare(now time.Time) {
	f := &s.fairShare
	f.contended, f.capacityMisses = make(map[string]bool), 0
	f.writes, f.writeAt, f.logAt, f.divideAt = recordWrites{revision: f.stored.Revision}, time.Time{}, time.Time{}, time.Time{}
	f.ledger = nil
	if s.options.ShareHalfLife <= 0 {
		return
	}
	f.ledger = usage.NewLedger(s.options.ShareHalfLife, f.stored.Used, f.stored.At, now)
	if kept := f.ledger.Used(); len(kept) > 0 {
		s.log("use of teams restored", "teams", len(kept), "age_ms", now.Sub(f.stored.At).Milliseconds())
	}
}

// stopFairShare ends a term.
func (s *Scheduler) stopFairShare() {
	s.fairShare.ledger, s.fairShare.contended = nil, nil
	s.counts.ContendedPools, s.counts.Shares = 0, nil
}

// recordContention records whether several teams wait for the pool of a service.
func (f *fairShare) recordContention(service string, waiting teamSet) {
	if f.ledger != nil && waiting.several {
		f.contended[service] = true
	}
}

// divideUse computes the shares of the teams that have a claim, if they compete for a
// full pool.
func (s *Scheduler) divideUse(claims []usage.Claim, now time.Time) {
	f := &s.fairShare
	if !s.shareContended() || now.Before(f.divideAt) {
		return
	}
	f.divideAt = now.Add(divideInterval)
	f.ledger.Advance(s.usage, now)
	f.ledger.Divide(claims)
}

// shareContended reports whether two teams or more competed for a full pool in the last
// round of placement.
func (s *Scheduler) shareContended() bool { return len(s.fairShare.contended) > 0 }

// UseRead carries the stored use of teams in core-seconds as of At.
type UseRead struct {
	Used     map[string]float64
	At       time.Time
	Revision int64
}

func (c UseRead) apply(s *Scheduler, _ time.Time) {
	if c.Revision > s.fairShare.stored.Revision {
		s.fairShare.stored = c
	}
}

// StoreUse stores the use of teams. The result is UseStored.
type StoreUse struct {
	Fence int64
	Used  map[string]float64
	At    time.Time
	// Expected is the revision that the use must have in the store, 0 for none.
	Expected int64
}

func (StoreUse) isAction() {}

// UseStored is the result of StoreUse.
type UseStored struct {
	Fence  int64
	Result RecordResult
}

// Apply implements Event.
func (e UseStored) Apply(s *Scheduler, now time.Time) {
	if s.leading && e.Fence == s.fence() {
		s.finishRecordWrite(&s.fairShare.writes, e.Result, useInterval, now)
	}
}

// stepFairShare records the present use of teams. While teams compete for a full pool, it
// also stores and logs what they have used.
func (s *Scheduler) stepFairShare(now time.Time) {
	f := &s.fairShare
	if f.ledger == nil {
		return
	}
	f.ledger.Advance(s.usage, now)
	s.counts.ContendedPools = int64(len(f.contended))
	if !s.shareContended() {
		s.counts.Shares = nil
		return
	}
	if !now.Before(f.logAt) {
		f.logAt = now.Add(fairShareLogInterval)
		s.logShares()
	}
	if now.Before(f.writeAt) || !s.mayWriteRecord(&f.writes, now) {
		return
	}
	f.writes.writing, f.writeAt = true, now.Add(useInterval)
	s.act(StoreUse{Fence: s.fence(), Used: f.ledger.Used(), At: now, Expected: f.writes.revision})
}

// logShares logs the teams that are farthest above and below their share, and publishes
// the shares of all teams for the metrics.
func (s *Scheduler) logShares() {
	shares := s.fairShare.ledger.Shares()
	s.counts.Shares = shares
	if len(shares) == 0 {
		return
	}
	teamsAbove := 0
	for _, x := range shares {
		if x.Ratio() > 1 {
			teamsAbove++
		}
	}
	above, below := shares[0], shares[len(shares)-1]
	s.log("share", "reason", "several teams wait for a full pool", "services", strings.Join(slices.Sorted(maps.Keys(s.fairShare.contended)), " "),
		"teams", len(shares), "teams_above", teamsAbove,
		"most_above", above.Team, "most_above_used", hundredths(above.Used), "most_above_fair", hundredths(above.Fair), "most_above_factor", above.Factor(),
		"most_below", below.Team, "most_below_used", hundredths(below.Used), "most_below_fair", hundredths(below.Fair), "most_below_factor", below.Factor())
}

// hundredths rounds a number for a log line.
func hundredths(x float64) float64 { return math.Round(x*100) / 100 }
