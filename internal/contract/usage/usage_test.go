package usage

import (
	"math"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine"
)

var start = time.UnixMilli(1_700_000_000_000)

func near(a, b float64) bool { return math.Abs(a-b) < 1e-6*max(1, math.Abs(b)) }

// TestUseDecays guards against a use that depends on how often it is recorded, that never
// ends, or that is not kept while the store cannot be written.
func TestUseDecays(t *testing.T) {
	present := map[string]machine.Resources{"a": {MilliCores: 4000}}
	for _, step := range []time.Duration{time.Millisecond, 50 * time.Millisecond, HalfLife} {
		l := NewLedger(HalfLife, map[string]float64{"b": 8}, start, start)
		now := start
		for now.Before(start.Add(HalfLife)) {
			now = now.Add(step)
			l.Advance(present, now)
		}
		// Half of what 4 cores use in all the past, and half of the use at the start.
		if a := 0.5 * 4 * HalfLife.Seconds() / math.Ln2; !near(l.used["a"], a) || !near(l.used["b"], 4) {
			t.Errorf("in steps of %v the use is %v, want %.3f of a and 4 of b", step, l.used, a)
		}
		l.Advance(nil, now.Add(20*HalfLife))
		if len(l.used) > 0 {
			t.Errorf("the use %v is kept for 20 half-lives", l.used)
		}
	}
}

// TestRestoredUseIsAged guards against a restored use that counts as new after a long time,
// or grows because the clock of the machine that stored it is ahead.
func TestRestoredUseIsAged(t *testing.T) {
	for name, c := range map[string]struct {
		age  time.Duration
		want float64
	}{"new": {0, 8}, "one half-life": {HalfLife, 4}, "clock ahead": {-time.Hour, 8}, "old": {time.Hour, 0}} {
		l := NewLedger(HalfLife, map[string]float64{"a": 8}, start.Add(-c.age), start)
		if !near(l.used["a"], c.want) {
			t.Errorf("%s: use is %.3f, want %.3f", name, l.used["a"], c.want)
		}
		if l.Advance(nil, start.Add(HalfLife)); l.used["a"] > c.want/2+1e-6 {
			t.Errorf("%s: use is %.3f a half-life later", name, l.used["a"])
		}
	}
}

// TestFactorFollowsWeightedShare guards against a factor that ignores a team's weight, that
// starves a team, or that favours teams when nobody has used anything.
func TestFactorFollowsWeightedShare(t *testing.T) {
	divide := func(used map[string]float64, claims ...Claim) *Ledger {
		l := NewLedger(HalfLife, used, start, start)
		l.Divide(claims)
		return l
	}
	l := divide(map[string]float64{"heavy": 30, "light": 10, "gone": 1000}, NewClaim("heavy", 3), NewClaim("light", 1))
	for _, team := range []string{"heavy", "light", "unknown"} {
		if f := l.Factor(team); !near(f, 1) {
			t.Errorf("the factor of %s is %.3f, want 1", team, f)
		}
	}
	l = divide(map[string]float64{"a": 100, "b": 10}, NewClaim("a", 1), NewClaim("b", 1), NewClaim("idle", 1), NewClaim("none", 0))
	if !(l.Factor("a") > 1 && l.Factor("b") < 1 && l.Factor("idle") <= l.Factor("b")) {
		t.Errorf("factors of a, b and an idle team are %.3f, %.3f and %.3f", l.Factor("a"), l.Factor("b"), l.Factor("idle"))
	}
	if f := l.Factor("idle"); f < math.Pow(minRatio, exponent) || math.IsNaN(f) {
		t.Errorf("the factor of a team without use is %v", f)
	}
	if l = divide(map[string]float64{"none": 5}, NewClaim("a", 1), NewClaim("none", 0)); !near(l.Factor("none"), math.Pow(maxRatio, exponent)) {
		t.Errorf("the factor of a team without weight is %v", l.Factor("none"))
	}
	if l = divide(nil, NewClaim("a", 1), NewClaim("b", 2)); l.Factor("a") != 1 || l.Factor("b") != 1 {
		t.Errorf("without use the factors are %v and %v", l.Factor("a"), l.Factor("b"))
	}
	if shares := l.Shares(); len(shares) != 2 || shares[0].Fair != 0 {
		t.Errorf("shares are %+v", shares)
	}
}

// TestShortHistoryDecidesLittle guards against jobs that wait behind all others because
// their team had the first task of a peak.
func TestShortHistoryDecidesLittle(t *testing.T) {
	present := map[string]machine.Resources{"first": {MilliCores: 6000}, "second": {MilliCores: 2000}}
	claims := []Claim{NewClaim("first", 1), NewClaim("second", 1)}
	l := NewLedger(HalfLife, nil, start, start)
	l.Advance(present, start.Add(50*time.Millisecond))
	l.Divide(claims)
	if f := l.Factor("first"); f < 1 || f > 1.05 {
		t.Errorf("after 50 ms the factor is %.3f, want about 1", f)
	}
	l.Advance(present, start.Add(10*HalfLife))
	l.Divide(claims)
	if f, want := l.Factor("first"), math.Pow(1.5, exponent); f < 0.99*want || f > want {
		t.Errorf("after ten half-lives the factor is %.3f, want %.3f", f, want)
	}
}
