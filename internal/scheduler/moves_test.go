package scheduler

import (
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// TestForecastFollowsArrivals guards against a forecast that is too low for a
// steady stream, and against one that keeps machines after the stream has ended.
func TestForecastFollowsArrivals(t *testing.T) {
	const each, every = 1000, 10 * time.Millisecond
	s := New(Terms{Self: "node"})
	now := time.UnixMilli(1_700_000_000_000)
	s.duties = newDutyState(now)
	for at := now.Add(-2 * forecast); at.Before(now); at = at.Add(every) {
		s.duties.arrivals["s"] = append(s.duties.arrivals["s"], arrival{at, machine.Resources{MilliCores: each}})
	}
	steady := int64(forecast/every) * each
	if got := s.expected("s", now).MilliCores; got < steady*9/10 || got > steady*11/10 {
		t.Errorf("steady stream: %d, want about %d", got, steady)
	}
	if got := s.expected("s", now.Add(forecast/2)).MilliCores; got > steady*3/10 {
		t.Errorf("half of the forecast's time after the end: %d of %d", got, steady)
	}
}
