// Package usage divides a full fleet among the teams that compete for it. It records
// what each team has used over time, so that a team that has had more than its weighted
// share waits for those that have had less.
package usage

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// HalfLife is the recommended time after which a use counts half. Peaks of demand last for some
// seconds and recur every 18 s to 20 s: a team's surplus of a peak counts until its end,
// and a sixteenth of it at the next one.
const HalfLife = 5 * time.Second

const (
	// minRatio and maxRatio bound the ratio of a team's use to its fair share in its
	// factor. Jobs of a team without any use are otherwise placed before all others,
	// whatever their size, and those of a team far above its share after all others.
	minRatio = 0.25
	maxRatio = 8
	// exponent is the power of the ratio in the factor. The factor competes with the work
	// of a job: jobs of one queue differ by a factor of ten and more in their work, teams
	// at most by a few times in their ratios. With the plain ratio, the large jobs of a
	// small team wait behind the small ones of a team that overloads the fleet.
	exponent = 4
	// negligible is the use in core-seconds below which a team without running tasks is
	// forgotten. It is less than the smallest task uses, a tenth of a core for 0.1 s.
	negligible = 5e-3
	// minWeight replaces the weight of a team that has none.
	minWeight = 1e-3
	// milliCoresPerCore converts present use into core-seconds a second.
	milliCoresPerCore = 1000
)

// Claim is the claim of a team that has unfinished jobs.
type Claim struct {
	Team   string
	Weight float64
}

// NewClaim returns the claim of a team with the given configured weight, which may be 0.
func NewClaim(team string, weight float64) Claim { return Claim{team, max(weight, minWeight)} }

// Share is the share of a team among the teams that had unfinished jobs when it was
// computed, in core-seconds.
type Share struct {
	Team string
	// Used is the team's decayed use, Fair its weighted part of the use of all teams.
	Used, Fair float64
	// Assumed is what the team counts as having used fairly in addition, because the
	// history is short for the present use of all teams.
	Assumed float64
}

// Ratio returns the use as a multiple of the fair share. It is above 1 for a team that
// has had more than its share, and 1 if no team has used anything.
func (s Share) Ratio() float64 {
	if s.Fair <= 0 {
		return 1
	}
	return (s.Used + s.Assumed) / (s.Fair + s.Assumed)
}

// Factor returns the factor on the sort key of the team's jobs: the jobs with the
// smallest key are placed first.
func (s Share) Factor() float64 {
	return math.Pow(min(maxRatio, max(minRatio, s.Ratio())), exponent)
}

// Ledger records the use of teams. The zero Ledger is not usable; NewLedger returns one.
// A Ledger is not safe for concurrent use.
type Ledger struct {
	halfLife time.Duration
	// asOf is the time up to which used is complete.
	asOf time.Time
	// used is, by team, the use in core-seconds, decayed to asOf.
	used map[string]float64
	// presentCores is what all teams used at asOf.
	presentCores float64
	// shares and factors are as of the last Divide.
	shares  []Share
	factors map[string]float64
}

// NewLedger returns a ledger that starts at now with what teams had used up to recordedAt,
// in core-seconds. A recordedAt after now counts as now, since it is by the clock of
// another machine.
func NewLedger(halfLife time.Duration, used map[string]float64, recordedAt, now time.Time) *Ledger {
	l := &Ledger{halfLife: halfLife, asOf: recordedAt, used: make(map[string]float64, len(used))}
	maps.Copy(l.used, used)
	l.Advance(nil, now)
	l.asOf = now
	return l
}

// Advance adds the use since the last call, during which the teams have used present. It
// forgets teams with a negligible use, so that the ledger holds no more teams than have
// run a task in the last few half-lives.
func (l *Ledger) Advance(present map[string]machine.Resources, now time.Time) {
	elapsed := now.Sub(l.asOf)
	if elapsed <= 0 {
		return
	}
	l.asOf, l.presentCores = now, 0
	kept := math.Exp2(-elapsed.Seconds() / l.halfLife.Seconds())
	// The integral of the decay over the elapsed time, in seconds.
	seconds := (1 - kept) * l.halfLife.Seconds() / math.Ln2
	for team := range l.used {
		l.used[team] *= kept
		if l.used[team] < negligible && present[team].MilliCores <= 0 {
			delete(l.used, team)
		}
	}
	for team, p := range present {
		if p.MilliCores > 0 {
			l.presentCores += float64(p.MilliCores) / milliCoresPerCore
			l.used[team] += seconds * float64(p.MilliCores) / milliCoresPerCore
		}
	}
}

// Divide computes the shares of the teams that have a claim. At the beginning of a peak, the
// history is a few core-seconds of single tasks and says nothing about the teams: as much
// as it lacks of a history at the present use counts as used fairly.
func (l *Ledger) Divide(claims []Claim) {
	sumWeight, sumUsed := 0.0, 0.0
	for _, c := range claims {
		sumWeight += c.Weight
		sumUsed += l.used[c.Team]
	}
	missing := max(0, l.presentCores*l.halfLife.Seconds()/math.Ln2-sumUsed)
	l.shares, l.factors = make([]Share, len(claims)), make(map[string]float64, len(claims))
	for i, c := range claims {
		part := c.Weight / sumWeight
		l.shares[i] = Share{Team: c.Team, Used: l.used[c.Team], Fair: sumUsed * part, Assumed: missing * part}
		l.factors[c.Team] = l.shares[i].Factor()
	}
}

// Factor returns the factor of a team as of the last Divide, 1 for a team that it did not
// include.
func (l *Ledger) Factor(team string) float64 {
	if factor, ok := l.factors[team]; ok {
		return factor
	}
	return 1
}

// Shares returns the shares as of the last Divide, those with the highest ratio first.
func (l *Ledger) Shares() []Share {
	shares := slices.Clone(l.shares)
	slices.SortFunc(shares, func(a, b Share) int {
		return cmp.Or(cmp.Compare(b.Ratio(), a.Ratio()), cmp.Compare(a.Team, b.Team))
	})
	return shares
}

// Used returns the use of each team in core-seconds.
func (l *Ledger) Used() map[string]float64 { return maps.Clone(l.used) }
