package node

import (
	"math"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/machine/pools/turns"
	"github.com/crocusjunction/crocusjunction/platform"
)

// TestDemandRecord guards against recorded demand that a later scheduler reads as another
// demand, against a record that loads every node's link, and against numbers that are not
// finite, which would make every later forecast one.
func TestDemandRecord(t *testing.T) {
	want := turns.History{End: time.UnixMilli(1_700_000_000_500), Total: machine.Resources{MilliCores: 9, MemoryMB: 3}, Jobs: 2, Failures: 1}
	for i := range 88 {
		want.Work = append(want.Work, 1e5*float64(i))
	}
	histories := make(map[string]turns.History)
	for i := range 22 {
		histories[string(rune('a'+i))+"-submit-queue"] = want
	}
	value := encodeCBOR(newTurnsRecord(want.End, histories))
	if len(value) > 4096 {
		t.Errorf("22 queues take %d bytes", len(value))
	}
	change, err := decodeJobsItem(platform.Item{Key: turnsKey, Value: value, Revision: 3})
	if err != nil || change == nil {
		t.Fatalf("change %v, error %v", change, err)
	}
	read, err := newTurnsRecord(want.End, histories).histories()
	if err != nil {
		t.Fatal(err)
	}
	got := read["a-submit-queue"]
	if !got.End.Equal(want.End) || got.Total != want.Total || got.Failures != want.Failures || got.Jobs != want.Jobs || len(got.Work) != len(want.Work) {
		t.Fatalf("read %+v", got)
	}
	for i := range want.Work {
		if math.Abs(got.Work[i]-want.Work[i]) > want.Work[len(want.Work)-1]/255 {
			t.Errorf("bin %d: %v, want about %v", i, got.Work[i], want.Work[i])
		}
	}
	for _, unit := range []float64{math.NaN(), math.Inf(1), -1, 0} {
		value := encodeCBOR(turnsRecord{Queues: map[string]historyRecord{"q": {Unit: unit, Work: []byte{1}}}})
		if change, err := decodeJobsItem(platform.Item{Key: turnsKey, Value: value, Revision: 3}); err == nil {
			t.Errorf("unit %v is accepted: %+v", unit, change)
		}
	}
}
