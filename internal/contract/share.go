package contract

import (
	"math"
	"sort"
)

// Dimensions of a share: cores, memory, accelerators and slots.
const (
	DimensionCores = iota
	DimensionMemory
	DimensionAccelerators
	DimensionSlots
	Dimensions
)

// DimensionNames are the names of the dimensions for operators.
var DimensionNames = [Dimensions]string{"cores", "memory", "accelerators", "slots"}

// Amounts is a vector of fractions of a data centre's capacity, one for each
// dimension.
type Amounts [Dimensions]float64

// Dominant returns the largest fraction and its dimension.
func (a Amounts) Dominant() (float64, int) {
	best := 0
	for d := range a {
		if a[d] > a[best] {
			best = d
		}
	}
	return a[best], best
}

// Share compares the use of one team in one data centre with its fair share.
// All numbers but Weight are fractions of the data centre's capacity in the
// team's dominant dimension.
type Share struct {
	Team   string `json:"team"`
	Weight int    `json:"weight"`
	// Use is the reported usage, or the estimate of tasks without a report yet.
	Use float64 `json:"use"`
	// Demand is Use plus the estimated usage of queued work.
	Demand float64 `json:"demand"`
	// Fair is the weighted max-min fair share for this demand.
	Fair float64 `json:"fair"`
	// Dominant is the name of the dominant dimension.
	Dominant string `json:"dominant"`
}

// Distance returns Use minus Fair: it is negative below the fair share and
// positive above it.
func (s *Share) Distance() float64 { return s.Use - s.Fair }

// Demand is what a team uses and what its queued work is estimated to use.
type Demand struct {
	Team   string
	Weight int
	Use    Amounts
	Queued Amounts
}

// filling is the state of one team during progressive filling.
type filling struct {
	share *Share
	// direction is the demand scaled to 1 in the dominant dimension.
	direction Amounts
	weight    float64
	// frozen is true when the share is final.
	frozen bool
}

// FairShares computes the weighted dominant-resource fair share of each team by
// progressive filling: the shares of all teams grow at rates proportional to
// their weights, and a team's share is final when it reaches the team's demand
// or when a dimension that the team uses is full. Dividing slots by weight
// instead would let a team of large tasks take several times its share of
// cores. The result is ordered by team. For n teams it takes O(n log n) in each
// of at most Dimensions phases.
func FairShares(demands []Demand) []Share {
	shares := make([]Share, len(demands))
	fillings := make([]filling, len(demands))
	for i, demand := range demands {
		fillings[i] = newFilling(&shares[i], demand)
	}
	fill(fillings)
	sort.Slice(shares, func(i, j int) bool { return shares[i].Team < shares[j].Team })
	return shares
}

// newFilling initializes s for a team's demand and returns the team's filling.
func newFilling(s *Share, teamDemand Demand) filling {
	var wanted Amounts
	for d := range wanted {
		wanted[d] = teamDemand.Use[d] + teamDemand.Queued[d]
	}
	demand, dominant := wanted.Dominant()
	weight := max(teamDemand.Weight, 1)
	*s = Share{Team: teamDemand.Team, Weight: weight, Demand: demand, Use: teamDemand.Use[dominant], Dominant: DimensionNames[dominant]}
	f := filling{share: s, weight: float64(weight), frozen: demand <= 0}
	if demand > 0 {
		for d := range wanted {
			f.direction[d] = wanted[d] / demand
		}
	}
	return f
}

// fill raises the level, the share for a weight of 1, until every team is
// frozen.
func fill(fillings []filling) {
	order := make([]*filling, 0, len(fillings))
	for i := range fillings {
		if !fillings[i].frozen {
			order = append(order, &fillings[i])
		}
	}
	sort.Slice(order, func(i, j int) bool {
		a, b := order[i], order[j]
		return a.share.Demand/a.weight < b.share.Demand/b.weight
	})
	var used, rate Amounts
	for _, f := range order {
		addScaled(&rate, f.direction, f.weight)
	}
	level := 0.0
	for next := 0; next < len(order); {
		f := order[next]
		if f.frozen {
			next++
			continue
		}
		step, fullDimension := f.share.Demand/f.weight-level, -1
		for d := range used {
			if rate[d] > 1e-12 && (1-used[d])/rate[d] < step {
				step, fullDimension = math.Max((1-used[d])/rate[d], 0), d
			}
		}
		level += step
		addScaled(&used, rate, step)
		if fullDimension < 0 {
			freeze(f, level, &rate)
			next++
			continue
		}
		for _, other := range order[next:] {
			if !other.frozen && other.direction[fullDimension] > 1e-12 {
				freeze(other, level, &rate)
			}
		}
		rate[fullDimension] = 0
	}
}

// freeze fixes the share of a team at the level and removes the team from rate,
// the growth of use in each dimension.
func freeze(f *filling, level float64, rate *Amounts) {
	f.frozen = true
	f.share.Fair = math.Min(level*f.weight, f.share.Demand)
	addScaled(rate, f.direction, -f.weight)
}

// addScaled adds a, multiplied by factor, to sum.
func addScaled(sum *Amounts, a Amounts, factor float64) {
	for d := range sum {
		sum[d] += a[d] * factor
	}
}
