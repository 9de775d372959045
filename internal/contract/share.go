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

// Amounts is a vector of fractions of the capacity of a data centre.
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

// Share is the standing of one team in one data centre. All fractions are of
// the data centre's capacity in the team's dominant dimension.
type Share struct {
	Team   string `json:"team"`
	Weight int    `json:"weight"`
	// Use is the real use: reported usage, or the estimate before a report.
	Use float64 `json:"use"`
	// Demand is Use plus the estimate of queued work.
	Demand float64 `json:"demand"`
	// Fair is the weighted max-min share for this demand.
	Fair float64 `json:"fair"`
	// Dominant is the dimension of the fractions.
	Dominant string `json:"dominant"`
}

// Distance is Use less Fair: negative below the share, positive above.
func (s *Share) Distance() float64 { return s.Use - s.Fair }

// Demand is what a team uses and asks for.
type Demand struct {
	Team   string
	Weight int
	Use    Amounts
	Queued Amounts
}

// filling is the state of one team during progressive filling.
type filling struct {
	share     *Share
	direction Amounts
	weight    float64
	frozen    bool
}

// Divide computes the weighted max-min fair share of each team over real usage
// by dominant resource, by progressive filling: the level of all teams rises
// at a rate proportional to their weights; a team stops at its demand or when
// a dimension that it uses is full. Plain weighted slots would let a team of
// large tasks take several times its share of cores. The result is ordered by
// team. It costs O(n log n) for n teams in each of at most Dimensions phases.
func Divide(demands []Demand) []Share {
	shares := make([]Share, len(demands))
	fillings := make([]filling, len(demands))
	for i, c := range demands {
		fillings[i] = newFilling(&shares[i], c)
	}
	fill(fillings)
	sort.Slice(shares, func(i, j int) bool { return shares[i].Team < shares[j].Team })
	return shares
}

func newFilling(s *Share, c Demand) filling {
	var wanted Amounts
	for d := range wanted {
		wanted[d] = c.Use[d] + c.Queued[d]
	}
	demand, dominant := wanted.Dominant()
	weight := max(c.Weight, 1)
	*s = Share{Team: c.Team, Weight: weight, Demand: demand, Use: c.Use[dominant], Dominant: DimensionNames[dominant]}
	f := filling{share: s, weight: float64(weight), frozen: demand <= 0}
	if demand > 0 {
		for d := range wanted {
			f.direction[d] = wanted[d] / demand
		}
	}
	return f
}

// fill raises the level until every team is frozen.
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
		step, full := f.share.Demand/f.weight-level, -1
		for d := range used {
			if rate[d] > 1e-12 && (1-used[d])/rate[d] < step {
				step, full = math.Max((1-used[d])/rate[d], 0), d
			}
		}
		level += step
		addScaled(&used, rate, step)
		if full < 0 {
			freeze(f, level, &rate)
			next++
			continue
		}
		for _, g := range order[next:] {
			if !g.frozen && g.direction[full] > 1e-12 {
				freeze(g, level, &rate)
			}
		}
		rate[full] = 0
	}
}

func freeze(f *filling, level float64, rate *Amounts) {
	f.frozen = true
	f.share.Fair = math.Min(level*f.weight, f.share.Demand)
	addScaled(rate, f.direction, -f.weight)
}

func addScaled(sum *Amounts, a Amounts, by float64) {
	for d := range sum {
		sum[d] += a[d] * by
	}
}
