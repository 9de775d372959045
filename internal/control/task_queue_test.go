package control_test

import (
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/standin"
	"github.com/crocusjunction/crocusjunction/internal/telemetry"
	"github.com/crocusjunction/crocusjunction/internal/zone"
)

// TestGroupOutcomesAreResolvedByReading guards against a written group that is
// reported as refused because the answer was lost, and against a group that
// overwrites another group or a seal.
func TestGroupOutcomesAreResolvedByReading(t *testing.T) {
	store := standin.NewStore(time.Now)
	r := control.NewPlatformRunner(store, telemetry.NewLog("panic").WithField("test", "groups"), time.Now)
	ref := func(n uint64) zone.SegmentRef { return zone.SegmentRef{DataCentre: "north", Queue: "q", Number: n} }
	write := func(n uint64, group string) zone.GroupOutcome {
		segment := zone.Segment{Group: group, Tasks: []machine.Task{{ID: ref(n).TaskID(0)}}}
		return r.Run(t.Context(), fleet.WriteGroup{Ref: ref(n), Segment: segment}).(fleet.GroupEnded).Outcome
	}
	expect := func(what string, got, want zone.GroupOutcome) {
		t.Helper()
		if got != want {
			t.Errorf("%s: %s, want %s", what, got, want)
		}
	}
	store.SetStoreFaults(standin.StoreFaults{LoseAnswers: 1})
	expect("lost answer", write(1, "a"), zone.GroupWritten)
	store.SetStoreFaults(standin.StoreFaults{LoseWrites: 1})
	expect("lost write", write(2, "b"), zone.GroupWritten)
	expect("number of another group", write(1, "c"), zone.GroupNumberTaken)
	r.Run(t.Context(), fleet.SealQueue{Ref: ref(3), SealedBy: "scheduler"})
	expect("sealed queue", write(3, "d"), zone.GroupSealed)
	store.SetStoreFaults(standin.StoreFaults{Outage: true})
	expect("outage", write(4, "e"), zone.GroupRefused)
}

// TestSegmentOfAnotherSchedulerIsNotOverwritten guards against a paused
// scheduler that overwrites a segment of its successor, and against a scheduler
// that mistakes its own write, whose answer was lost, for another scheduler's.
func TestSegmentOfAnotherSchedulerIsNotOverwritten(t *testing.T) {
	store := standin.NewStore(time.Now)
	r := control.NewPlatformRunner(store, telemetry.NewLog("panic").WithField("test", "segments"), time.Now)
	ref := zone.SegmentRef{DataCentre: "north", Queue: "q", Number: 1}
	r.Run(t.Context(), fleet.WriteGroup{Ref: ref, Segment: zone.Segment{Group: "a"}})
	record, err := store.Get(t.Context(), ref.Key())
	if err != nil {
		t.Fatal(err)
	}
	write := func(stamp string) fleet.SegmentStored {
		w := zone.SegmentWrite{Key: ref.Key(), Version: uint64(record.Version), Segment: zone.Segment{Group: "a", Stamp: stamp}}
		return r.Run(t.Context(), fleet.WriteSegment{Write: w}).(fleet.SegmentStored)
	}
	store.SetStoreFaults(standin.StoreFaults{LoseAnswers: 1})
	if got := write("new/1"); !got.OK {
		t.Errorf("lost answer: %+v", got)
	}
	if got := write("old/7"); !got.Conflict {
		t.Errorf("write of another scheduler at the old version: %+v", got)
	}
}
