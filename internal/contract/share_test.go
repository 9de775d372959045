package contract

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

func randomDemands(t *rapid.T) []Demand {
	n := rapid.IntRange(1, 140).Draw(t, "teams")
	demands := make([]Demand, n)
	for i := range demands {
		demand := &demands[i]
		demand.Team = fmt.Sprintf("team-%03d", i)
		demand.Weight = rapid.IntRange(1, 20).Draw(t, "weight")
		for d := range demand.Use {
			demand.Use[d] = rapid.Float64Range(0, 1/float64(n)).Draw(t, "use")
			demand.Queued[d] = rapid.Float64Range(0, 2).Draw(t, "queued")
		}
	}
	return demands
}

// TestFairSharesFillOneDimension guards against shares that leave every dimension
// partly undivided while a team's demand is not met, or that exceed the
// capacity.
func TestFairSharesFillOneDimension(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := randomDemands(t)
		byTeam := make(map[string]Demand)
		for _, demand := range demands {
			byTeam[demand.Team] = demand
		}
		var used Amounts
		satisfied := true
		for _, s := range FairShares(demands) {
			if s.Fair > s.Demand+1e-9 {
				t.Fatalf("%s: fair %v above demand %v", s.Team, s.Fair, s.Demand)
			}
			satisfied = satisfied && s.Fair > s.Demand-1e-9
			demand := byTeam[s.Team]
			for d := range used {
				if s.Demand > 0 {
					used[d] += (demand.Use[d] + demand.Queued[d]) * s.Fair / s.Demand
				}
			}
		}
		most, _ := used.Dominant()
		if most > 1+1e-6 {
			t.Fatalf("shares add up to %v of a dimension, want at most 1", most)
		}
		if !satisfied && most < 1-1e-6 {
			t.Fatalf("a team is below its demand while the shares add up to at most %v of each dimension", most)
		}
	})
}

// TestFairSharesAreMaxMin guards against a team that gets a larger share per unit
// of weight than another team whose demand in the same dimensions is not met.
func TestFairSharesAreMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := randomDemands(t)
		for i := range demands {
			for d := range demands[i].Queued {
				demands[i].Queued[d] += 1e-3
			}
		}
		shares := FairShares(demands)
		for _, unsatisfied := range shares {
			if unsatisfied.Fair > unsatisfied.Demand-1e-9 {
				continue
			}
			for _, other := range shares {
				if other.Fair/float64(other.Weight) > unsatisfied.Fair/float64(unsatisfied.Weight)+1e-9 {
					t.Fatalf("%+v has a larger share per unit of weight than %+v, whose demand is not met", other, unsatisfied)
				}
			}
		}
	})
}

// TestFairSharesFollowWeights guards against shares that ignore weights or that do
// not redistribute what a team leaves unused.
func TestFairSharesFollowWeights(t *testing.T) {
	full := Amounts{1, 0.1, 0, 0.5}
	shares := FairShares([]Demand{
		{Team: "large", Weight: 3, Queued: full},
		{Team: "small", Weight: 1, Queued: full},
		{Team: "idle", Weight: 6, Queued: Amounts{0.2, 0.02, 0, 0.1}},
	})
	want := map[string]float64{"large": 0.6, "small": 0.2, "idle": 0.2}
	for _, s := range shares {
		if math.Abs(s.Fair-want[s.Team]) > 1e-9 {
			t.Errorf("%s: fair %v, want %v", s.Team, s.Fair, want[s.Team])
		}
	}
}
