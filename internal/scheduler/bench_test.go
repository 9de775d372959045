package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
	"github.com/crocusjunction/crocusjunction/internal/contract/usage"
	"github.com/crocusjunction/crocusjunction/internal/link/lease"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/machine/pools"
	"github.com/crocusjunction/crocusjunction/internal/machine/upkeep"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// fleetSizes are the current, the expected and the target size of the users'
// fleets.
var fleetSizes = []struct {
	name                 string
	workers, pools, jobs int
}{{"today", 48, 5, 300}, {"grown", 349, 5, 1500}, {"target", 1200, 22, 5000}}

// newLoadedScheduler returns an active scheduler with idle workers in each pool
// and waiting jobs in each queue.
func newLoadedScheduler(workers, pools, jobs int) (*Scheduler, time.Time) {
	now := time.UnixMilli(1_700_000_000_000)
	s := New(Options{NodeName: "node", TaskLease: 5 * time.Second, MaxTaskLease: 6 * time.Second, StatusRetention: time.Minute, RemoteFactor: 2, ShareHalfLife: usage.HalfLife})
	var queues []policy.Queue
	var services []policy.Service
	for p := range pools {
		name := fmt.Sprintf("s%d", p)
		services = append(services, policy.Service{Name: name, ChecksAdmission: true})
		queues = append(queues, policy.Queue{Name: name, Host: "h", Prefix: "/" + name + "/", Service: name, Attempts: 3, Stretch: 1.6})
	}
	s.config = policy.New(1, queues, nil, services, policy.RequestLimits{})
	s.election.authority = lease.Grant(1, 1, 0, now, time.Hour, now)
	s.becomeActive(now)
	s.machineOps.machines = make(map[string]upkeep.Machine)
	for i := range workers {
		id := fmt.Sprintf("i-%d", i)
		capacity := machine.Resources{MilliCores: 32000, MemoryMB: 65536}
		w := worker.New(worker.Description{ID: id, Address: id, Service: fmt.Sprintf("s%d", i%pools), DataCentre: "z", Labels: []string{"a", "r"}, Capacity: capacity})
		w.Answered, w.Recorded = true, true
		w.RecordClock(1000, now)
		s.workers.set(id, w)
		s.machineOps.machines["m"+id] = upkeep.Machine{Name: "m" + id, Pool: w.Service, State: upkeep.MachineUp, Worker: id, Capacity: capacity}
	}
	for i := range jobs {
		name := fmt.Sprintf("s%d", i%pools)
		j := job.New(job.ID(fmt.Sprintf("%016x", i)), job.Terms{Queue: name, Service: name, Attempts: 3, Stretch: 1.6},
			job.Spec{Steps: []job.Step{{Count: 6, Need: machine.Resources{MilliCores: 1600, MemoryMB: 3000}, Estimate: 640 * time.Millisecond}}}, now.UnixMilli(), 2)
		s.jobs.set(j.ID, j)
		s.trackJob(j)
	}
	for part := range s.fresh {
		s.fresh[part].RecordRead(now)
	}
	return s, now
}

// BenchmarkPlaceRound measures a placement round that finds every pool full.
func BenchmarkPlaceRound(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(size.name, func(b *testing.B) {
			s, now := newLoadedScheduler(size.workers, size.pools, size.jobs)
			s.placeRound(now)
			s.actions = nil
			for b.Loop() {
				s.placeRound(now)
			}
		})
	}
}

// BenchmarkContendedRound measures a placement round that finds every pool full while the
// target number of teams competes for all of them.
func BenchmarkContendedRound(b *testing.B) {
	const teamCount = 140
	for _, size := range fleetSizes {
		b.Run(size.name, func(b *testing.B) {
			s, now := newLoadedScheduler(size.workers, size.pools, size.jobs)
			var teams []policy.Team
			for i := range teamCount {
				teams = append(teams, policy.Team{Name: fmt.Sprintf("team-%d", i), Weight: 1})
			}
			i := 0
			for _, j := range s.jobs.all() {
				j.Terms.Team, j.Terms.Objective = teams[i%teamCount].Name, time.Minute
				i++
			}
			s.config = policy.New(2, slices.Clone(s.config.Queues()), teams, slices.Collect(maps.Values(s.config.Services())), policy.RequestLimits{})
			s.placeRound(now)
			s.actions = nil
			for b.Loop() {
				now = now.Add(time.Millisecond)
				s.placeRound(now)
			}
		})
	}
}

// BenchmarkFirstRound measures a placement round that fills every pool, and reports
// the number of its starts.
func BenchmarkFirstRound(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(size.name, func(b *testing.B) {
			starts := 0
			for b.Loop() {
				b.StopTimer()
				s, now := newLoadedScheduler(size.workers, size.pools, size.jobs)
				b.StartTimer()
				s.placeRound(now)
				starts = 0
				for _, w := range s.workers.all() {
					starts += len(w.Runs())
				}
			}
			b.ReportMetric(float64(starts), "starts")
		})
	}
}

// BenchmarkRackRound measures a round in which all jobs prefer a rack that is full for
// 0.1 s while other racks have room, and reports the number of tasks that wait.
func BenchmarkRackRound(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(size.name, func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				s, now := newLoadedScheduler(size.workers, size.pools, size.jobs)
				for _, j := range s.jobs.all() {
					j.Terms.Objective = 600 * time.Millisecond
					step := &j.Spec.Steps[0]
					step.Rack, step.Estimate = "r0", 2*time.Second
				}
				number := 0
				for id, w := range s.workers.all() {
					// A fourth of the workers of each pool is in rack r0.
					w.Labels = []string{"a", fmt.Sprintf("r%d", number/size.pools%4)}
					if number++; w.Rack() == "r0" {
						j := addJob(s, 1<<40+number, job.Step{Count: 1, Need: w.Capacity, Estimate: 100 * time.Millisecond}, now)
						s.addRun(s.workers.get(id), &job.Run{Task: j.Task(job.TaskName{Job: j.ID}), OrderedAt: now})
					}
				}
				b.StartTimer()
				s.placeRound(now)
				b.ReportMetric(float64(s.counts.Waits), "waits")
			}
		})
	}
}

// BenchmarkWhere measures one question where a job would go.
func BenchmarkWhere(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(size.name, func(b *testing.B) {
			s, now := newLoadedScheduler(size.workers, size.pools, size.jobs)
			first := s.jobs.get("0000000000000000")
			for b.Loop() {
				s.where(WhereQuery{Terms: first.Terms, Spec: first.Spec}, now)
			}
		})
	}
}

// BenchmarkPlanMoves measures one plan of moves between pools.
func BenchmarkPlanMoves(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(size.name, func(b *testing.B) {
			s, now := newLoadedScheduler(size.workers, size.pools, size.jobs)
			for b.Loop() {
				s.machineOps.planner.Plan(s.poolStates(now), now)
			}
		})
	}
}

// BenchmarkPlanMovesFromSpares measures one plan that moves a tenth of the machines
// from the spare pool to a pool with waiting jobs. It guards against a plan whose time
// grows with the square of the spare machines, which stopped the control thread.
func BenchmarkPlanMovesFromSpares(b *testing.B) {
	for _, machines := range []int{350, 1200, 3000} {
		b.Run(strconv.Itoa(machines), func(b *testing.B) {
			spare := pools.Pool{Name: "spare", Spare: true}
			for i := range machines {
				spare.Machines = append(spare.Machines, pools.Machine{
					Name: fmt.Sprintf("m-%d", i), DataCentre: fmt.Sprintf("z%d", i%3), Capacity: machine.Resources{MilliCores: 10000}, Idle: true,
				})
			}
			busy := pools.Pool{Name: "busy", Demand: machine.Resources{MilliCores: int64(machines) * 850}}
			for b.Loop() {
				if moves := pools.NewPlanner().Plan([]pools.Pool{busy, spare}, time.Time{}); len(moves) != machines/10 {
					b.Fatalf("%d moves, want %d", len(moves), machines/10)
				}
			}
		})
	}
}

// BenchmarkPlanWave measures one pass over a wave of half of the machines.
func BenchmarkPlanWave(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(size.name, func(b *testing.B) {
			s, now := newLoadedScheduler(size.workers, size.pools, 0)
			var names []string
			for name := range s.machineOps.machines {
				if len(names) < size.workers/2 {
					names = append(names, name)
				}
			}
			w := upkeep.NewWave(upkeep.Order{Wave: 1, Machines: names, MaxConcurrent: len(names) / 3, Deadline: 28 * time.Second}, now)
			for b.Loop() {
				s.stepWave(w, now)
			}
		})
	}
}

// BenchmarkTakeover measures how long a node that has read every job takes to
// become the active scheduler.
func BenchmarkTakeover(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(size.name, func(b *testing.B) {
			s, now := newLoadedScheduler(size.workers, size.pools, size.jobs)
			for b.Loop() {
				s.becomeActive(now)
			}
		})
	}
}
