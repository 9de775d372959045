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

// BenchmarkRackRepair replaces a rack that stays down, from its loss until its
// pools are full again, in simulated time.
func BenchmarkRackRepair(b *testing.B) {
	sizes := []fleetSize{today, target, target}
	// The spare pool must hold a whole rack.
	sizes[0].spares, sizes[0].minimum = 8, 5
	sizes[2].machines, sizes[2].pools = 2400, 44
	for _, s := range sizes {
		b.Run(fmt.Sprintf("workers=%d", s.machines), func(b *testing.B) {
			var total repairCost
			runs := 0
			for b.Loop() {
				b.StopTimer()
				w, _ := s.world()
				w.mustRest(b, 10*time.Minute)
				b.StartTimer()
				total.add(w.repairRack(b, s))
				runs++
			}
			n := float64(runs)
			b.ReportMetric(total.time.Minutes()/n, "simulated-min/op")
			b.ReportMetric(float64(total.calls)/n, "platform-calls/op")
			b.ReportMetric(float64(total.bytes)/n, "platform-bytes/op")
		})
	}
}

type repairCost struct {
	time         time.Duration
	calls, bytes int64
}

func (c *repairCost) add(d repairCost) {
	c.time += d.time
	c.calls += d.calls
	c.bytes += d.bytes
}

// repairRack takes a rack down and waits until no pool but the spare pool misses
// a member.
func (w *world) repairRack(b *testing.B, s fleetSize) repairCost {
	b.Helper()
	before, bytes, begin := w.store.Calls(), w.bytes, w.now
	w.rackFaults("dc0", "r000", standin.MachineFaults{Down: true})
	per := (s.machines - s.spares) / s.pools
	for w.short(per, s.pools) || w.now.Sub(begin) < time.Minute {
		w.advance(5 * time.Second)
		if w.err != nil || w.now.Sub(begin) > 3*time.Hour {
			b.Fatalf("not replaced after %s: %v", w.now.Sub(begin), w.err)
		}
	}
	after := w.store.Calls()
	calls := after.Reads + after.Writes + after.Watches - before.Reads - before.Writes - before.Watches
	return repairCost{time: w.now.Sub(begin), calls: calls, bytes: w.bytes - bytes}
}

// short reports whether a pool has fewer members in service than per.
func (w *world) short(per, pools int) bool {
	members := make(map[string]int)
	for _, i := range w.instances {
		if i.Phase == "serving" {
			members[i.Pool]++
		}
	}
	for n := range pools {
		if members[fmt.Sprintf("pool%02d", n)] < per {
			return true
		}
	}
	return false
}

func (t *tap) Get(ctx context.Context, key string) (platform.Record, error) {
	r, err := t.Store.Get(ctx, key)
	t.p.w.count(r)
	return r, err
}

func (t *tap) List(ctx context.Context, prefix string) ([]platform.Record, error) {
	records, err := t.Store.List(ctx, prefix)
	t.p.w.count(records...)
	return records, err
}

func (t *tap) WatchMachines(ctx context.Context, after uint64, wait time.Duration) (platform.MachineList, error) {
	list, err := t.Store.WatchMachines(ctx, after, wait)
	data, _ := json.Marshal(list)
	t.p.w.bytes += int64(len(data))
	return list, err
}

func (w *world) count(records ...platform.Record) {
	for _, r := range records {
		w.bytes += int64(len(r.Key) + len(r.Value))
	}
}
