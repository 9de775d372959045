package control_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/platform"
	"github.com/crocusjunction/crocusjunction/internal/standin"
	"github.com/crocusjunction/crocusjunction/internal/telemetry"
	"github.com/crocusjunction/crocusjunction/internal/zone"
)

// BenchmarkAdoptQueue measures how a new scheduler reads the queue of an
// instance that has stopped: one read of the roster and one list of the
// segments. It does not include the seal, one write 10 minutes later.
func BenchmarkAdoptQueue(b *testing.B) {
	for _, tasks := range []int{400, 2000, 10_000} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			store := standin.NewStore(time.Now)
			bytes := fillQueue(b, store, tasks)
			r := control.NewPlatformRunner(store, telemetry.NewLog("error").WithField("test", "bench"), time.Now)
			before := calls(store)
			b.ReportAllocs()
			for b.Loop() {
				loaded, ok := r.Run(b.Context(), fleet.LoadQueue{DataCentre: "north"}).(fleet.QueueLoaded)
				if !ok || !loaded.OK {
					b.Fatal("read of the queue failed")
				}
				ledger := zone.NewLedger("bench")
				for _, s := range loaded.Segments {
					ledger.Add(s.Ref, s.Segment, s.Version, time.Unix(1000, 0))
				}
				if ledger.Tasks() != tasks {
					b.Fatalf("%d tasks were read", ledger.Tasks())
				}
			}
			b.ReportMetric(float64(bytes), "bytes/op")
			b.ReportMetric(float64(calls(store)-before)/float64(b.N), "calls/op")
		})
	}
}

func calls(s *standin.Store) int64 {
	c := s.Calls()
	return c.Reads + c.Writes + c.Watches
}

func fillQueue(b *testing.B, store platform.Store, tasks int) int {
	b.Helper()
	bytes := 0
	for i := 0; i < tasks; i += zone.SegmentTasks {
		ref := zone.SegmentRef{DataCentre: "north", Queue: "entry-1-18edfe28b2c891a7-1", Number: uint64(i/zone.SegmentTasks + 1)}
		segment := zone.Segment{Group: fmt.Sprint(i)}
		for j := range min(zone.SegmentTasks, tasks-i) {
			segment.Tasks = append(segment.Tasks, machine.Task{
				ID: ref.TaskID(j), Team: fmt.Sprintf("team-%03d", (i+j)%140), Service: "records", Phase: machine.TaskQueued,
				Declared: machine.Resources{MilliCores: 1000, MemoryMB: 1000}, Connections: 4, SubmittedAt: time.Unix(1000, 0),
			})
		}
		value, err := json.Marshal(segment)
		if err != nil {
			b.Fatal(err)
		}
		bytes += len(value)
		if _, err := store.Swap(b.Context(), ref.Key(), 0, value, 0); err != nil {
			b.Fatal(err)
		}
	}
	return bytes
}

// BenchmarkAcceptGroup measures the write of one group of tasks.
func BenchmarkAcceptGroup(b *testing.B) {
	for _, tasks := range []int{1, 8, zone.SegmentTasks} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			store := standin.NewStore(time.Now)
			r := control.NewPlatformRunner(store, telemetry.NewLog("error").WithField("test", "bench"), time.Now)
			intake := zone.NewIntake("north", "entry-1-a")
			now := time.Unix(1000, 0)
			intake.RecordRegistration(now)
			before, bytes := calls(store), 0
			for b.Loop() {
				now = now.Add(time.Second)
				intake.Add(zone.Request{Tasks: make([]machine.Task, tasks)}, now)
				g := intake.Next(now.Add(100 * time.Millisecond))
				value, err := json.Marshal(g.Segment)
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(value)
				ended := r.Run(b.Context(), fleet.WriteGroup{Ref: g.Ref, Segment: g.Segment}).(fleet.GroupEnded)
				if ended.Outcome != zone.GroupWritten {
					b.Fatal(ended.Outcome)
				}
				intake.FinishWrite(ended.Outcome, now)
			}
			b.ReportMetric(float64(bytes), "bytes/op")
			b.ReportMetric(float64(calls(store)-before)/float64(b.N), "calls/op")
		})
	}
}
