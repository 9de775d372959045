package maintenance

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/platform"
	"github.com/crocusjunction/crocusjunction/internal/standin"
)

// BenchmarkRackRepair measures the replacement of a rack that stays down, in
// simulated time from its failure until all pools have their members again.
func BenchmarkRackRepair(b *testing.B) {
	sizes := []fleetSize{currentFleet, targetFleet, targetFleet}
	// The spare pool must have enough machines to replace a whole rack.
	sizes[0].spares, sizes[0].minimum = 8, 5
	sizes[2].machines, sizes[2].pools = 2400, 44
	for _, s := range sizes {
		b.Run(fmt.Sprintf("workers=%d", s.machines), func(b *testing.B) {
			var total repairCost
			runs := 0
			for b.Loop() {
				b.StopTimer()
				sim, _ := s.build()
				sim.mustSettle(b, 10*time.Minute)
				b.StartTimer()
				total.add(sim.repairRack(b, s))
				runs++
			}
			n := float64(runs)
			b.ReportMetric(total.duration.Minutes()/n, "simulated-min/op")
			b.ReportMetric(float64(total.calls)/n, "platform-calls/op")
			b.ReportMetric(float64(total.bytes)/n, "platform-bytes/op")
		})
	}
}

// repairCost is the simulated time of a repair and its load on the platform.
type repairCost struct {
	duration     time.Duration
	calls, bytes int64
}

func (c *repairCost) add(d repairCost) {
	c.duration += d.duration
	c.calls += d.calls
	c.bytes += d.bytes
}

// repairRack takes a rack down and advances until every pool except the spare
// pool has all its members in service.
func (sim *simulation) repairRack(b *testing.B, s fleetSize) repairCost {
	b.Helper()
	before, bytes, begin := sim.store.Calls(), sim.bytesTransferred, sim.now
	sim.setRackFaults("dc0", "r000", standin.MachineFaults{Down: true})
	membersPerPool := (s.machines - s.spares) / s.pools
	for sim.hasShortPool(membersPerPool, s.pools) || sim.now.Sub(begin) < time.Minute {
		sim.advance(5 * time.Second)
		if sim.err != nil || sim.now.Sub(begin) > 3*time.Hour {
			b.Fatalf("rack was not replaced within %s: %v", sim.now.Sub(begin), sim.err)
		}
	}
	after := sim.store.Calls()
	calls := after.Reads + after.Writes + after.Watches - before.Reads - before.Writes - before.Watches
	return repairCost{duration: sim.now.Sub(begin), calls: calls, bytes: sim.bytesTransferred - bytes}
}

// hasShortPool reports whether one of the pools has fewer than membersPerPool
// members in service.
func (sim *simulation) hasShortPool(membersPerPool, pools int) bool {
	members := make(map[string]int)
	for _, i := range sim.instances {
		if i.Phase == "serving" {
			members[i.Pool]++
		}
	}
	for n := range pools {
		if members[fmt.Sprintf("pool%02d", n)] < membersPerPool {
			return true
		}
	}
	return false
}

func (s *processStore) Get(ctx context.Context, key string) (platform.Record, error) {
	r, err := s.Store.Get(ctx, key)
	s.p.sim.countBytes(r)
	return r, err
}

func (s *processStore) List(ctx context.Context, prefix string) ([]platform.Record, error) {
	records, err := s.Store.List(ctx, prefix)
	s.p.sim.countBytes(records...)
	return records, err
}

func (s *processStore) WatchMachines(ctx context.Context, after uint64, wait time.Duration) (platform.MachineList, error) {
	list, err := s.Store.WatchMachines(ctx, after, wait)
	data, _ := json.Marshal(list)
	s.p.sim.bytesTransferred += int64(len(data))
	return list, err
}

// countBytes adds the size of records to bytesTransferred.
func (sim *simulation) countBytes(records ...platform.Record) {
	for _, r := range records {
		sim.bytesTransferred += int64(len(r.Key) + len(r.Value))
	}
}
