package zone

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// benchSize is one size of a data centre. The largest has all workers,
// accelerators, teams and tasks of the target fleet, five times what one
// scheduler carries.
type benchSize struct {
	workers, accelerators, teams, queued int
}

var dataCentreBenchSizes = []benchSize{{50, 80, 6, 400}, {240, 380, 70, 2000}, {1200, 1900, 140, 10_000}}

func (s benchSize) String() string {
	return fmt.Sprintf("workers=%d/teams=%d/queued=%d", s.workers, s.teams, s.queued)
}

// newDataCentre returns a data centre with the given number of tasks on each
// worker, and with queued tasks.
func (s benchSize) newDataCentre(slots int) (*DataCentre, Round) {
	rng := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1000, 0)
	d := NewDataCentre("north", "west")
	round := Round{Now: now, Weights: make(map[string]int), StartsLeft: make(map[string]int)}
	for i := range s.teams {
		team := fmt.Sprintf("team-%03d", i)
		round.Weights[team], round.StartsLeft[team] = 1+i%5, 10_000
	}
	n := 0
	task := func(i int) *machine.Task {
		n++
		return &machine.Task{
			ID: fmt.Sprintf("t%06d", n), Team: fmt.Sprintf("team-%03d", rng.IntN(s.teams)), Service: fmt.Sprintf("s%d", rng.IntN(3)),
			Declared: machine.Resources{MilliCores: 1000 + rng.Int64N(6000), MemoryMB: 1000 + rng.Int64N(8000), Accelerators: int64(i % 7 / 6)},
			Urgent:   rng.IntN(20) == 0, Idempotent: rng.IntN(4) > 0, Checkpoints: rng.IntN(2) == 0, Phase: machine.TaskQueued, SubmittedAt: now,
		}
	}
	for i := range s.workers {
		capacity := machine.Resources{MilliCores: 64_000, MemoryMB: 131_072, Accelerators: int64(s.accelerators / s.workers)}
		if i < s.accelerators%s.workers {
			capacity.Accelerators++
		}
		w := d.Workers.AddWorker(fmt.Sprintf("w%05d", i), fmt.Sprintf("r%04d", i/4), capacity)
		for range slots {
			t := task(0)
			t.Urgent = false
			t.Assign(w.ID)
			d.Workers.Place(t, w.ID, now.Add(-time.Minute))
		}
	}
	for i := range s.queued {
		d.Workers.Backlog().Add(task(i))
	}
	return d, round
}

// BenchmarkPlacementFull plans a round in which every slot is occupied, the
// steady state under overload.
func BenchmarkPlacementFull(b *testing.B) {
	for _, size := range dataCentreBenchSizes {
		b.Run(size.String(), func(b *testing.B) {
			d, round := size.newDataCentre(machine.WorkerSlots)
			steps := 0
			b.ReportAllocs()
			for b.Loop() {
				steps = len(d.Place(round).Steps)
			}
			b.ReportMetric(float64(steps), "steps/op")
		})
	}
}

// BenchmarkPlacementOneFree plans a round in which one slot in eight is free.
func BenchmarkPlacementOneFree(b *testing.B) {
	for _, size := range dataCentreBenchSizes {
		b.Run(size.String(), func(b *testing.B) {
			d, round := size.newDataCentre(machine.WorkerSlots - 1)
			starts := 0
			b.ReportAllocs()
			for b.Loop() {
				starts = 0
				for _, s := range d.Place(round).Steps {
					if _, ok := s.(Start); ok {
						starts++
					}
				}
			}
			b.ReportMetric(float64(starts), "starts/op")
		})
	}
}

// BenchmarkShares divides a data centre among its teams.
func BenchmarkShares(b *testing.B) {
	for _, size := range dataCentreBenchSizes {
		b.Run(size.String(), func(b *testing.B) {
			d, round := size.newDataCentre(machine.WorkerSlots)
			b.ReportAllocs()
			for b.Loop() {
				contract.FairShares(d.Workers.Demands(round.Weights))
			}
		})
	}
}

// BenchmarkUsageReport applies one usage report to every running task.
func BenchmarkUsageReport(b *testing.B) {
	for _, size := range dataCentreBenchSizes {
		b.Run(size.String(), func(b *testing.B) {
			d, _ := size.newDataCentre(machine.WorkerSlots)
			reports := 0
			b.ReportAllocs()
			for b.Loop() {
				reports = 0
				for _, r := range d.Workers.Racks() {
					for _, w := range r.Workers() {
						for _, p := range w.Placements() {
							d.Workers.Report(w.ID, p.Task.ID, machine.Resources{MilliCores: 2000, MemoryMB: 3000})
							reports++
						}
					}
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(reports), "ns/task")
		})
	}
}

// segments returns the queued tasks as stored segments.
func (s benchSize) segments() []Segment {
	var list []Segment
	for i := 0; i < s.queued; i += SegmentTasks {
		ref := SegmentRef{"north", "entry-1-a-1", uint64(i/SegmentTasks + 1)}
		segment := Segment{Group: fmt.Sprint(i)}
		for j := range min(SegmentTasks, s.queued-i) {
			segment.Tasks = append(segment.Tasks, machine.Task{
				ID: ref.TaskID(j), Team: fmt.Sprintf("team-%03d", (i+j)%s.teams), Service: "records", Phase: machine.TaskQueued,
				Declared: machine.Resources{MilliCores: 1000, MemoryMB: 1000}, SubmittedAt: time.Unix(1000, 0),
			})
		}
		list = append(list, segment)
	}
	return list
}

// BenchmarkCancellationWave cancels half of the queue, one batch for each team.
func BenchmarkCancellationWave(b *testing.B) {
	for _, size := range dataCentreBenchSizes {
		b.Run(size.String(), func(b *testing.B) {
			now := time.Unix(1000, 0)
			cancelled := 0
			for b.Loop() {
				b.StopTimer()
				ledger, backlog := NewLedger("bench"), newBacklog()
				batches := make(map[string][]string)
				for i, s := range size.segments() {
					for _, t := range ledger.Add(SegmentRef{"north", "entry-1-a-1", uint64(i + 1)}, s, 1, now) {
						backlog.Add(t)
						if i%2 == 0 {
							batches[t.Team] = append(batches[t.Team], t.ID)
						}
					}
				}
				b.StartTimer()
				cancelled = 0
				for team, ids := range batches {
					for _, c := range ledger.Cancel(Cancel{Team: team, IDs: ids}, now) {
						backlog.Remove(c.Task)
						cancelled++
					}
				}
			}
			b.ReportMetric(float64(cancelled), "cancelled/op")
		})
	}
}
