package zone

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// WorkerSet holds the workers of a data centre by rack, the backlog of queued
// tasks, and the usage of each team. The scheduler owns it.
type WorkerSet struct {
	racks     []*Rack
	byRack    map[string]*Rack
	workers   map[string]*machine.Worker
	backlog   *Backlog
	usage     map[string]*teamUsage
	estimates map[estimateKey]*machine.Estimate
	capacity  machine.Resources
	largest   []machine.Resources
}

type estimateKey struct{ team, service string }

// teamUsage sums what the running tasks of a team are charged.
type teamUsage struct {
	charged machine.Resources
	slots   int
}

// NewWorkerSet returns a set without workers and tasks.
func NewWorkerSet() *WorkerSet {
	return &WorkerSet{
		byRack:    make(map[string]*Rack),
		workers:   make(map[string]*machine.Worker),
		backlog:   newBacklog(),
		usage:     make(map[string]*teamUsage),
		estimates: make(map[estimateKey]*machine.Estimate),
	}
}

// Reset removes all workers and tasks at the start of a scheduler's term.
// Learned size estimates stay.
func (s *WorkerSet) Reset() {
	learned := s.estimates
	*s = *NewWorkerSet()
	s.estimates = learned
}

// Backlog returns the queued tasks.
func (s *WorkerSet) Backlog() *Backlog { return s.backlog }

// Worker returns the worker with the given id, or nil if it is unknown.
func (s *WorkerSet) Worker(id string) *machine.Worker { return s.workers[id] }

// Racks returns the racks ordered by name. The slice must not be changed.
func (s *WorkerSet) Racks() []*Rack { return s.racks }

// Capacity returns the total capacity of all workers.
func (s *WorkerSet) Capacity() machine.Resources { return s.capacity }

// Len returns the number of workers.
func (s *WorkerSet) Len() int { return len(s.workers) }

// Slots returns the total number of slots of all workers.
func (s *WorkerSet) Slots() int { return machine.WorkerSlots * len(s.workers) }

// AddWorker adds a worker that the platform lists. It returns the existing
// worker if the id is known.
func (s *WorkerSet) AddWorker(id, rack string, capacity machine.Resources) *machine.Worker {
	if known := s.workers[id]; known != nil {
		return known
	}
	w := machine.NewWorker(id, rack, capacity)
	s.workers[id] = w
	s.capacity = s.capacity.Plus(capacity)
	r := s.byRack[rack]
	if r == nil {
		r = newRack(rack)
		s.byRack[rack] = r
		at, _ := slices.BinarySearchFunc(s.racks, rack, func(r *Rack, name string) int { return cmp.Compare(r.Name, name) })
		s.racks = slices.Insert(s.racks, at, r)
	}
	r.add(w)
	s.largest = nil
	return w
}

// RemoveWorker removes a worker that the platform no longer lists and returns
// the tasks that were placed on it.
func (s *WorkerSet) RemoveWorker(id string) []*machine.Task {
	w := s.workers[id]
	if w == nil {
		return nil
	}
	var tasks []*machine.Task
	for _, p := range w.Placements() {
		tasks = append(tasks, p.Task)
		s.Release(p.Task.ID, id)
	}
	delete(s.workers, id)
	s.capacity = s.capacity.Minus(w.Capacity)
	s.byRack[w.Rack].remove(id)
	s.largest = nil
	return tasks
}

// Estimate returns the expected size of a task. An estimate never makes a task
// impossible: it is limited to the largest workers that have enough
// accelerators.
func (s *WorkerSet) Estimate(t *machine.Task) machine.Resources {
	size := s.estimates[estimateKey{t.Team, t.Service}].Size(t.Declared)
	var limit machine.Resources
	for _, r := range s.LargestCapacities() {
		if size.FitsIn(r) {
			return size
		}
		if r.Accelerators >= size.Accelerators {
			limit = limit.Max(r)
		}
	}
	if limit == (machine.Resources{}) {
		return size
	}
	return machine.Resources{
		MilliCores: min(size.MilliCores, limit.MilliCores), MemoryMB: min(size.MemoryMB, limit.MemoryMB), Accelerators: size.Accelerators,
	}
}

// MinimumSize returns, for each resource, the smaller of the declared and the
// learned size. A task is impossible only if this size fits on no worker.
func (s *WorkerSet) MinimumSize(t *machine.Task) machine.Resources {
	size := s.estimates[estimateKey{t.Team, t.Service}].Size(t.Declared)
	return machine.Resources{
		MilliCores: min(size.MilliCores, t.Declared.MilliCores), MemoryMB: min(size.MemoryMB, t.Declared.MemoryMB), Accelerators: size.Accelerators,
	}
}

// Place charges a task to a worker and removes it from the backlog.
func (s *WorkerSet) Place(t *machine.Task, worker string, now time.Time) *machine.Placement {
	w := s.workers[worker]
	if w == nil {
		return nil
	}
	s.backlog.Remove(t)
	if known := w.Placement(t.ID); known != nil {
		return known
	}
	p := w.Place(t, s.Estimate(t), now)
	s.charge(t.Team, p.Charge, 1)
	s.byRack[w.Rack].adjustTeamCount(t.Team, 1)
	return p
}

// Release ends the charge of a task on a worker. The usage of the task updates the
// size estimate of its team and service.
func (s *WorkerSet) Release(task, worker string) {
	w := s.workers[worker]
	if w == nil {
		return
	}
	p := w.Placement(task)
	if p == nil {
		return
	}
	if p.PeakTrusted() {
		s.learn(p.Task, p.Peak)
	}
	w.Remove(task)
	s.charge(p.Task.Team, machine.Resources{}.Minus(p.Charge), -1)
	s.byRack[w.Rack].adjustTeamCount(p.Task.Team, -1)
}

func (s *WorkerSet) learn(t *machine.Task, peak machine.Resources) {
	key := estimateKey{t.Team, t.Service}
	if s.estimates[key] == nil {
		s.estimates[key] = &machine.Estimate{}
	}
	s.estimates[key].Observe(t.Declared, peak)
}

func (s *WorkerSet) charge(team string, change machine.Resources, slots int) {
	u := s.usage[team]
	if u == nil {
		u = &teamUsage{}
		s.usage[team] = u
	}
	u.charged = u.charged.Plus(change)
	u.slots += slots
}

// Report records the reported usage of one task.
func (s *WorkerSet) Report(worker, task string, used machine.Resources) {
	w := s.workers[worker]
	if w == nil {
		return
	}
	p := w.Placement(task)
	if p == nil {
		return
	}
	s.charge(p.Task.Team, w.Report(task, used), 0)
	if p.PeakJustTrusted() {
		s.learn(p.Task, p.Peak)
	}
}

// Throttle records a cap on the cores of a task, in millicores; 0 removes it.
func (s *WorkerSet) Throttle(worker, task string, milliCores int64) {
	w := s.workers[worker]
	if w == nil {
		return
	}
	if p := w.Placement(task); p != nil {
		s.charge(p.Task.Team, w.Throttle(task, milliCores), 0)
	}
}

// RecordTaskFailure counts the first failure of a task against its worker and
// reports whether the worker is set aside as a result. When the task fails on a
// second worker, the failure counted against the first one is retracted instead,
// since the task itself is then at fault. It must be called before Task.Fail.
func (s *WorkerSet) RecordTaskFailure(t *machine.Task, worker string, now time.Time) bool {
	for _, earlier := range t.FailedOn {
		if w := s.workers[earlier]; w != nil && earlier != worker {
			w.RetractFailure(t.ID)
		}
	}
	w := s.workers[worker]
	if w == nil || len(t.FailedOn) > 0 {
		return false
	}
	return w.RecordFailure(t.ID, now)
}

// Demands returns the usage and the queued demand of each team in weights,
// ordered by team.
func (s *WorkerSet) Demands(weights map[string]int) []contract.Demand {
	demands := make([]contract.Demand, 0, len(weights))
	for team, weight := range weights {
		d := contract.Demand{Team: team, Weight: weight}
		if u := s.usage[team]; u != nil {
			d.Use = s.amounts(u.charged, u.slots)
		}
		if queues := s.backlog.byTeam[team]; queues != nil {
			urgent, urgentCount := queues.urgent.demand(s.Estimate)
			normal, normalCount := queues.normal.demand(s.Estimate)
			d.Queued = s.amounts(urgent.Plus(normal), urgentCount+normalCount)
		}
		demands = append(demands, d)
	}
	slices.SortFunc(demands, func(a, b contract.Demand) int { return cmp.Compare(a.Team, b.Team) })
	return demands
}

func (s *WorkerSet) amounts(r machine.Resources, slots int) contract.Amounts {
	return amounts(r, slots, s.capacity, s.Slots())
}

// Running returns the number of running tasks of a team.
func (s *WorkerSet) Running(team string) int {
	if u := s.usage[team]; u != nil {
		return u.slots
	}
	return 0
}

// Occupied returns the number of slots in use.
func (s *WorkerSet) Occupied() int {
	n := 0
	for _, u := range s.usage {
		n += u.slots
	}
	return n
}

// LargestCapacities returns the maximal worker capacities: those that fit in
// the capacity of no larger worker.
func (s *WorkerSet) LargestCapacities() []machine.Resources {
	if s.largest != nil {
		return s.largest
	}
	for _, w := range s.workers {
		if slices.ContainsFunc(s.largest, w.Capacity.FitsIn) {
			continue
		}
		s.largest = slices.DeleteFunc(s.largest, func(r machine.Resources) bool { return r.FitsIn(w.Capacity) })
		s.largest = append(s.largest, w.Capacity)
	}
	slices.SortFunc(s.largest, func(a, b machine.Resources) int {
		return cmp.Or(cmp.Compare(a.MilliCores, b.MilliCores), cmp.Compare(a.MemoryMB, b.MemoryMB), cmp.Compare(a.Accelerators, b.Accelerators))
	})
	return s.largest
}

// ImpossibleReason returns the reason why a task can never run on workers of the
// given largest capacities, or an empty string if it can run or no capacity is
// known. Smallest is the least that the task may need.
func ImpossibleReason(t *machine.Task, smallest machine.Resources, largest []machine.Resources) string {
	if len(largest) == 0 {
		return ""
	}
	if t.Connections > machine.WorkerConnections {
		return fmt.Sprintf("needs %d connections, a worker has %d", t.Connections, machine.WorkerConnections)
	}
	var upper machine.Resources
	for _, r := range largest {
		if smallest.FitsIn(r) {
			return ""
		}
		upper = upper.Max(r)
	}
	return fmt.Sprintf("needs %d millicores, %d MB and %d accelerators on one worker; the largest workers have up to %d, %d and %d",
		smallest.MilliCores, smallest.MemoryMB, smallest.Accelerators, upper.MilliCores, upper.MemoryMB, upper.Accelerators)
}
