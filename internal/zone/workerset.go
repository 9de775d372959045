package zone

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// WorkerSet holds the workers of a data centre in their racks, the backlog of
// tasks, and what each team uses. It is owned by the scheduler.
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

// teamUsage is what the running tasks of a team are charged.
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

// Reset forgets workers and tasks at the start of a scheduler's term. What was
// learned about sizes stays.
func (s *WorkerSet) Reset() {
	learned := s.estimates
	*s = *NewWorkerSet()
	s.estimates = learned
}

// Backlog returns the queued tasks.
func (s *WorkerSet) Backlog() *Backlog { return s.backlog }

// Worker returns a worker, nil when it is not known.
func (s *WorkerSet) Worker(id string) *machine.Worker { return s.workers[id] }

// Racks returns the racks ordered by name. The slice must not be changed.
func (s *WorkerSet) Racks() []*Rack { return s.racks }

// Capacity returns the sum over all workers.
func (s *WorkerSet) Capacity() machine.Resources { return s.capacity }

// Len returns the number of workers.
func (s *WorkerSet) Len() int { return len(s.workers) }

// Slots returns the number of slots of all workers.
func (s *WorkerSet) Slots() int { return machine.WorkerSlots * len(s.workers) }

// AddWorker adds a worker that the platform lists, or returns the known one.
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
		s.Free(p.Task.ID, id)
	}
	delete(s.workers, id)
	s.capacity = s.capacity.Minus(w.Capacity)
	s.byRack[w.Rack].remove(id)
	s.largest = nil
	return tasks
}

// Estimate returns the expected size of a task. An estimate never makes a task
// impossible: it is cut to the largest worker that has the accelerators.
func (s *WorkerSet) Estimate(t *machine.Task) machine.Resources {
	size := s.estimates[estimateKey{t.Team, t.Service}].Size(t.Declared)
	var room machine.Resources
	for _, r := range s.Largest() {
		if size.FitsIn(r) {
			return size
		}
		if r.Accelerators >= size.Accelerators {
			room = room.Max(r)
		}
	}
	if room == (machine.Resources{}) {
		return size
	}
	return machine.Resources{
		MilliCores: min(size.MilliCores, room.MilliCores), MemoryMB: min(size.MemoryMB, room.MemoryMB), Accelerators: size.Accelerators,
	}
}

// Smallest returns the least that a task may need: the smaller one of what is
// declared and what is learned. A task is impossible only when this is.
func (s *WorkerSet) Smallest(t *machine.Task) machine.Resources {
	size := s.estimates[estimateKey{t.Team, t.Service}].Size(t.Declared)
	return machine.Resources{
		MilliCores: min(size.MilliCores, t.Declared.MilliCores), MemoryMB: min(size.MemoryMB, t.Declared.MemoryMB), Accelerators: size.Accelerators,
	}
}

// Occupy charges a task to a worker and takes it out of the backlog.
func (s *WorkerSet) Occupy(t *machine.Task, worker string, now time.Time) *machine.Placement {
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
	s.byRack[w.Rack].count(t.Team, 1)
	return p
}

// Free ends the charge of a task on a worker, and learns from its usage.
func (s *WorkerSet) Free(task, worker string) {
	w := s.workers[worker]
	if w == nil {
		return
	}
	p := w.Placement(task)
	if p == nil {
		return
	}
	if p.Learned() {
		s.learn(p.Task, p.Peak)
	}
	w.Remove(task)
	s.charge(p.Task.Team, machine.Resources{}.Minus(p.Charge), -1)
	s.byRack[w.Rack].count(p.Task.Team, -1)
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

// Report takes the reported usage of one task.
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
	if p.JustLearned() {
		s.learn(p.Task, p.Peak)
	}
}

// Throttle notes a cap of the cores of a task.
func (s *WorkerSet) Throttle(worker, task string, milliCores int64) {
	w := s.workers[worker]
	if w == nil {
		return
	}
	if p := w.Placement(task); p != nil {
		s.charge(p.Task.Team, w.Throttle(task, milliCores), 0)
	}
}

// TaskFailed blames the worker for a failed task, or takes the blame back from
// an earlier worker when the task failed there too. It reports whether the
// worker was set aside. The task must not have moved on yet.
func (s *WorkerSet) TaskFailed(t *machine.Task, worker string, now time.Time) bool {
	for _, earlier := range t.FailedOn {
		if w := s.workers[earlier]; w != nil && earlier != worker {
			w.Retract(t.ID)
		}
	}
	w := s.workers[worker]
	if w == nil || len(t.FailedOn) > 0 {
		return false
	}
	return w.Failed(t.ID, now)
}

// Demands returns what each team uses and asks for.
func (s *WorkerSet) Demands(weights map[string]int) []contract.Demand {
	demands := make([]contract.Demand, 0, len(weights))
	for team, weight := range weights {
		c := contract.Demand{Team: team, Weight: weight}
		if u := s.usage[team]; u != nil {
			c.Use = s.amounts(u.charged, u.slots)
		}
		if l := s.backlog.lines[team]; l != nil {
			urgent, urgents := l.urgent.demand(s.Estimate)
			normal, normals := l.normal.demand(s.Estimate)
			c.Queued = s.amounts(urgent.Plus(normal), urgents+normals)
		}
		demands = append(demands, c)
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

// Largest returns the capacities of workers that no other worker exceeds in
// every field.
func (s *WorkerSet) Largest() []machine.Resources {
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

// Impossible returns why a task can never run on workers of the given largest
// capacities, empty when it can or when no capacity is known. Smallest is the
// least that the task may need.
func Impossible(t *machine.Task, smallest machine.Resources, largest []machine.Resources) string {
	if len(largest) == 0 {
		return ""
	}
	if t.Connections > machine.WorkerConnections {
		return fmt.Sprintf("needs %d connections, a worker has %d", t.Connections, machine.WorkerConnections)
	}
	var most machine.Resources
	for _, r := range largest {
		if smallest.FitsIn(r) {
			return ""
		}
		most = most.Max(r)
	}
	return fmt.Sprintf("needs %d millicores, %d MB and %d accelerators on one worker; the largest workers have up to %d, %d and %d",
		smallest.MilliCores, smallest.MemoryMB, smallest.Accelerators, most.MilliCores, most.MemoryMB, most.Accelerators)
}
