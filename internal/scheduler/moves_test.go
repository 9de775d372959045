package scheduler

import (
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// TestForecastFollowsArrivals guards against a demand forecast that is too low for
// steady arrivals, and against one that keeps machines in a pool after arrivals
// have ended.
func TestForecastFollowsArrivals(t *testing.T) {
	const milliCores, interval = 1000, 10 * time.Millisecond
	s := New(Options{NodeName: "node"})
	now := time.UnixMilli(1_700_000_000_000)
	s.machineOps = newMachineOpsState(now, machineOrders{})
	for at := now.Add(-2 * forecastWindow); at.Before(now); at = at.Add(interval) {
		s.machineOps.arrivals["s"] = append(s.machineOps.arrivals["s"], arrival{at: at, resources: machine.Resources{MilliCores: milliCores}})
	}
	steady := int64(forecastWindow/interval) * milliCores
	if got := s.expectedDemand("s", now).MilliCores; got < steady*9/10 || got > steady*11/10 {
		t.Errorf("steady stream: %d, want about %d", got, steady)
	}
	if got := s.expectedDemand("s", now.Add(forecastWindow/2)).MilliCores; got > steady*3/10 {
		t.Errorf("half of the forecast window after the last arrival: %d of %d", got, steady)
	}
}
