package fleet

import (
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/link"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/zone"
)

// TestTakenOverTaskBlocksStartsUntilItHoldsSlot guards against a new term that
// starts work of a team above its limit, while a task that it took over still
// runs without a slot on a worker that has left the worker list.
func TestTakenOverTaskBlocksStartsUntilItHoldsSlot(t *testing.T) {
	now := time.Unix(1000, 0)
	f := New(Options{Self: link.Member{ID: "a", Incarnation: 1, DataCentre: "north"}, DataCentres: map[string]string{"north": "west"}})
	SchedulerLeaseAcquired{Lease: 1, SentAt: now}.Apply(f, now)
	running := machine.Task{ID: "north/q/1/0", Team: "depots", Service: "records", Phase: machine.TaskRunning, Worker: "gone", Attempts: 1}
	ref := zone.SegmentRef{DataCentre: "north", Queue: "q", Number: 1}
	QueueLoaded{Term: 1, OK: true, Segments: []StoredSegment{{Ref: ref, Version: 1, Segment: zone.Segment{Tasks: []machine.Task{running}}}}}.Apply(f, now)
	WorkersSeen{Term: 1, OK: true, Version: 1, Workers: []machine.WorkerReport{{ID: "w", Rack: "r", Capacity: machine.Resources{MilliCores: 1000, MemoryMB: 1000}}}}.Apply(f, now)
	s := f.schedule.active
	if n := f.unslottedTasks(s, "depots"); n != 1 {
		t.Fatalf("%d tasks taken over wait for a slot, want 1", n)
	}
	f.register.Load(1, []contract.Object{{
		Ref: contract.Ref{Kind: contract.KindTeam, Name: "depots"}, Revision: 1, Team: &contract.Team{Name: "depots", UpperLimit: 1, Share: 1},
	}})
	if free := f.freeSlotsByTeam(s, now)["depots"]; free != 0 {
		t.Errorf("%d more tasks may start while one that was taken over holds no slot", free)
	}
}
