package control_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/platform"
	"github.com/crocusjunction/crocusjunction/internal/standin"
	"github.com/crocusjunction/crocusjunction/internal/zone"
)

// countingStore counts the calls of List and the bytes of the listed records.
type countingStore struct {
	*standin.Store
	bytes, calls int
}

func (c *countingStore) List(ctx context.Context, prefix string) ([]platform.Record, error) {
	records, err := c.Store.List(ctx, prefix)
	c.calls++
	for _, r := range records {
		c.bytes += len(r.Key) + len(r.Value)
	}
	return records, err
}

// newWaveStore returns a store with the records of size instances in the middle
// of a wave: a tenth of the instances is charged to the budget and draining.
func newWaveStore(b *testing.B, size int) *countingStore {
	b.Helper()
	now := time.Unix(1_000_000, 0)
	store := standin.NewStore(func() time.Time { return now })
	put := func(key string, value any) {
		data, err := json.Marshal(value)
		if err == nil {
			_, err = store.Swap(context.Background(), key, 0, data, 0)
		}
		if err != nil {
			b.Fatal(err)
		}
	}
	budget := contract.BudgetRecord{Service: "a", Pool: "main", MinAvailable: size * 9 / 10, Charges: make(map[string]contract.Charge)}
	for n := range size {
		i := machine.Instance{
			ID: fmt.Sprintf("i%05d", n), DataCentre: fmt.Sprintf("dc%d", n/4%5), Rack: fmt.Sprintf("r%04d", n/4),
			Pool: "main", Phase: machine.PhaseServing, Epoch: 1, Since: now, Reason: "seen healthy",
		}
		if n%10 == 0 {
			budget.Charges[i.ID] = contract.Charge{Epoch: 1, Reason: "wave w", Planned: true, At: now}
			i = i.Drain(machine.Goal{Kind: machine.GoalReboot, Wave: "w"}, now, "wave w")
		}
		put(control.InstancePrefix+i.ID, i)
	}
	put(control.BudgetPrefix+"a", budget)
	put(control.WavePrefix+"w", machine.Wave{Name: "w", Pools: []string{"main"}, State: machine.WaveRunning, Started: now})
	return &countingStore{Store: store}
}

// BenchmarkPlannerRecovery measures how a new planner reads all records and
// derives its first plan from them.
func BenchmarkPlannerRecovery(b *testing.B) {
	for _, size := range []int{50, 1200, 2400} {
		b.Run(fmt.Sprintf("workers=%d", size), func(b *testing.B) {
			store := newWaveStore(b, size)
			now := time.Unix(1_000_100, 0)
			runs := 0
			for b.Loop() {
				recoverPlanner(b, store, now)
				runs++
			}
			b.ReportMetric(float64(store.calls)/float64(runs), "platform-calls/op")
			b.ReportMetric(float64(store.bytes)/float64(runs), "platform-bytes/op")
		})
	}
}

func recoverPlanner(b *testing.B, store *countingStore, now time.Time) {
	b.Helper()
	loaded, err := control.ReadMaintenanceRecords(context.Background(), store)
	if err != nil {
		b.Fatal(err)
	}
	view := zone.NewMaintenance(zone.DefaultMaintenanceLimits())
	view.Documents = []contract.Document{{Service: "a", Pool: "main", MinAvailable: len(loaded.Instances) * 9 / 10}}
	view.SetRecords(loaded.Instances, loaded.Budgets, now)
	view.SetOrders(loaded.Waves, loaded.Moves)
	var seen []machine.Observed
	for _, i := range loaded.Instances {
		seen = append(seen, machine.Observed{ID: i.ID, DataCentre: i.DataCentre, Rack: i.Rack, Pool: i.Pool, State: machine.MachineServing, Healthy: true})
	}
	view.Observe(seen, true, now)
	if len(view.Plan(now).Steps) == 0 {
		b.Fatal("the first plan of the new planner has no steps")
	}
}
