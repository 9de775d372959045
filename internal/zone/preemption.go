package zone

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// Costs of a preemption, in seconds of run time, and bounds of a throttle.
const (
	// checkpointCostSeconds is the time that saving and restoring a checkpoint
	// takes.
	checkpointCostSeconds = 2.0
	// throttleCostSeconds is below checkpointCostSeconds because a throttled
	// task loses no progress.
	throttleCostSeconds = 0.5
	// throttleDivisor divides the charged cores of a task to get its cap.
	throttleDivisor = 4
	// minCapMilliCores is the lowest cap of a throttled task.
	minCapMilliCores = 250
)

// victim is a running task that can be preempted, with the method and its
// effect.
type victim struct {
	placement *machine.Placement
	team      *teamPlan
	method    preemptionMethod
	// capMilliCores is the cap that a throttle sets.
	capMilliCores int64
	freed         machine.Resources
	freedSlots    int
	// cost orders victims. lostSeconds is the run time that a stop discards.
	// Both are in seconds.
	cost, lostSeconds float64
	freedUse          float64
}

// preemptionMethod is how a running task frees capacity.
type preemptionMethod int

const (
	methodThrottle preemptionMethod = iota
	methodCheckpoint
	methodStop
)

// step returns the plan step that preempts the victim for the task beneficiary.
func (v *victim) step(worker, beneficiary string) PlacementStep {
	base := Preemption{
		Task: v.placement.Task, Worker: worker, Beneficiary: beneficiary, Use: v.team.use, Fair: v.team.share.Fair, LostSeconds: v.lostSeconds,
	}
	switch v.method {
	case methodThrottle:
		return Throttle{Preemption: base, MilliCores: v.capMilliCores}
	case methodCheckpoint:
		return Checkpoint{base}
	default:
		return Stop{base}
	}
}

// preempt plans the preemptions that make room for a task at the lowest cost,
// and reserves their worker for it. It preempts tasks of teams above their
// share, and for an urgent task also other tasks of the same team. A team above
// its own share preempts only its own tasks. It reports whether it found room.
func (p *placementPlanner) preempt(t *teamPlan, task *machine.Task, size machine.Resources, urgent bool) bool {
	if p.preemptions >= maxPreemptions || t.startsLeft <= 0 || p.hasReservation(task.ID) {
		return false
	}
	p.preemptions++
	var chosen []victim
	var target *machine.Worker
	lowestCost := 0.0
	for _, rack := range p.set.racks {
		for _, w := range rack.workers {
			limit := math.Inf(1)
			if target != nil {
				limit = lowestCost
			}
			victims, cost, ok := p.chooseVictims(w, t, task, size, urgent, limit)
			if ok {
				chosen, target, lowestCost = append(chosen[:0], victims...), w, cost
			}
		}
	}
	if target == nil {
		return false
	}
	for i := range chosen {
		v := &chosen[i]
		p.preempted[v.placement] = true
		p.plan.Steps = append(p.plan.Steps, v.step(target.ID, task.ID))
		v.team.use -= v.freedUse
	}
	p.plan.Reservations[target.ID] = task.ID
	if c := p.candidateFor(target); c != nil {
		c.reserved = task.ID
	}
	t.use += p.addedUse(t, size)
	t.startsLeft--
	return true
}

func (p *placementPlanner) hasReservation(task string) bool {
	for _, reserved := range p.plan.Reservations {
		if reserved == task {
			return true
		}
	}
	for _, rack := range p.set.racks {
		for _, w := range rack.workers {
			if w.ReservedFor(p.round.Now) == task {
				return true
			}
		}
	}
	return false
}

// chooseVictims selects tasks on w, cheapest first, until their preemption makes
// room. It reports false if there is no room or the cost reaches limit. The slice
// is valid until the next call.
func (p *placementPlanner) chooseVictims(w *machine.Worker, t *teamPlan, task *machine.Task, size machine.Resources, urgent bool, limit float64) ([]victim, float64, bool) {
	if w.Health() != machine.WorkerGood || w.ReservedFor(p.round.Now) != "" || p.plan.Reservations[w.ID] != "" {
		return nil, 0, false
	}
	if !size.FitsIn(w.Capacity) || !w.Admits(task, p.round.Now) {
		return nil, 0, false
	}
	free, slots, connections := p.remaining(w)
	coresOnly := slots > 0 && size.MemoryMB <= free.MemoryMB && size.Accelerators <= free.Accelerators
	chosen := p.chosenBuf[:0]
	cost := 0.0
	for _, v := range p.preemptible(w, t, urgent, coresOnly) {
		if size.FitsIn(free) && slots > 0 && connections >= task.Connections {
			break
		}
		if v.team != t && v.team.use-preemptedUse(chosen, v.team) <= v.team.share.Fair {
			continue
		}
		if cost += v.cost; cost >= limit {
			return nil, 0, false
		}
		free = free.Plus(v.freed)
		slots += v.freedSlots
		if v.freedSlots > 0 {
			connections += v.placement.Task.Connections
		}
		chosen = append(chosen, v)
	}
	p.chosenBuf = chosen
	ok := len(chosen) > 0 && size.FitsIn(free) && slots > 0 && connections >= task.Connections
	return chosen, cost, ok
}

// preemptedUse returns the use that the chosen victims free in a team.
func preemptedUse(chosen []victim, team *teamPlan) float64 {
	sum := 0.0
	for i := range chosen {
		if chosen[i].team == team {
			sum += chosen[i].freedUse
		}
	}
	return sum
}

// candidateFor returns the candidate of a worker, or nil when the worker cannot
// take another task.
func (p *placementPlanner) candidateFor(w *machine.Worker) *candidate {
	if p.candidateIndex == nil {
		p.candidateIndex = make(map[*machine.Worker]int, len(p.candidates))
		for i := range p.candidates {
			p.candidateIndex[p.candidates[i].worker] = i
		}
	}
	if i, ok := p.candidateIndex[w]; ok {
		return &p.candidates[i]
	}
	return nil
}

// remaining returns the free resources, slots and connections that this plan
// leaves on a worker.
func (p *placementPlanner) remaining(w *machine.Worker) (machine.Resources, int, int) {
	if c := p.candidateFor(w); c != nil {
		return c.free, c.slots, c.connections
	}
	return w.Free(), w.FreeSlots(), w.FreeConnections()
}

// preemptible lists the tasks on a worker that may be preempted, cheapest
// first. coresOnly means that cores are the only resource that is short; a
// throttle frees nothing else.
func (p *placementPlanner) preemptible(w *machine.Worker, t *teamPlan, urgent, coresOnly bool) []victim {
	list := p.preemptibleBuf[:0]
	mayPreemptOthers := t.withinShare()
	for _, placement := range w.Placements() {
		team := p.teams[placement.Task.Team]
		if team == nil || placement.Ending || placement.Task.Urgent || p.preempted[placement] {
			continue
		}
		if team != t && (!mayPreemptOthers || team.use <= team.share.Fair) || team == t && !urgent {
			continue
		}
		if v, ok := p.cheapestPreemption(team, placement, urgent, coresOnly); ok {
			list = append(list, v)
		}
	}
	slices.SortStableFunc(list, func(a, b victim) int { return cmp.Compare(a.cost, b.cost) })
	p.preemptibleBuf = list
	return list
}

// cheapestPreemption returns the cheapest way to preempt a running task, or
// false when there is none. A non-idempotent task is only ever throttled, since
// it cannot be started again after its attempt has ended.
func (p *placementPlanner) cheapestPreemption(team *teamPlan, running *machine.Placement, urgent, coresOnly bool) (victim, bool) {
	task := running.Task
	v := victim{placement: running, team: team}
	if coresOnly && urgent && running.CapMilliCores == 0 && running.Charge.MilliCores > minCapMilliCores {
		v.method, v.capMilliCores = methodThrottle, max(running.Charge.MilliCores/throttleDivisor, minCapMilliCores)
		v.freed, v.cost = machine.Resources{MilliCores: running.Charge.MilliCores - v.capMilliCores}, throttleCostSeconds
		v.freedUse = p.set.amounts(v.freed, 0)[contract.DimensionCores]
		return v, true
	}
	if !task.Idempotent {
		return v, false
	}
	v.freed, v.freedSlots, v.freedUse = running.Charge, 1, p.addedUse(team, running.Charge)
	if task.Checkpoints {
		v.method, v.cost = methodCheckpoint, checkpointCostSeconds
		return v, true
	}
	if !urgent {
		return v, false
	}
	// A stop discards the whole run time. The cost per second grows with the
	// task's dominant share of the data centre.
	size, _ := p.set.amounts(running.Charge, 1).Dominant()
	v.method, v.lostSeconds = methodStop, p.round.Now.Sub(running.StartedAt).Seconds()
	v.cost = checkpointCostSeconds + v.lostSeconds*(1+size)
	return v, true
}

// reclaimShares makes room for teams that stay below half their share because
// the tasks of teams above their share do not end. It plans preemptions for at
// most one task of each team and round.
func (p *placementPlanner) reclaimShares() {
	for _, t := range p.teamList {
		if t.queues == nil || t.startsLeft <= 0 || t.use > t.share.Fair/2 {
			continue
		}
		task := t.oldestUnplanned()
		if task == nil || p.round.Now.Sub(task.SubmittedAt) < reclaimDelay {
			continue
		}
		p.preempt(t, task, p.set.Estimate(task), false)
	}
}

// oldestUnplanned returns the first queued task of the team that this plan has
// not placed, urgent tasks first.
func (t *teamPlan) oldestUnplanned() *machine.Task {
	for _, queue := range []*taskQueue{&t.queues.urgent, &t.queues.normal} {
		for _, task := range queue.tasks {
			if task != nil && !t.planned[task] {
				return task
			}
		}
	}
	return nil
}

// liftThrottles removes caps on workers that have enough free cores again.
func (p *placementPlanner) liftThrottles() {
	for i := range p.candidates {
		c := &p.candidates[i]
		if c.reserved != "" || p.plan.Reservations[c.worker.ID] != "" {
			continue
		}
		for _, placement := range c.worker.Placements() {
			uncapped := max(placement.Peak.MilliCores, placement.CapMilliCores*throttleDivisor)
			if placement.CapMilliCores == 0 || uncapped-placement.CapMilliCores > c.free.MilliCores {
				continue
			}
			c.free.MilliCores -= uncapped - placement.CapMilliCores
			p.plan.Steps = append(p.plan.Steps, Throttle{Preemption: Preemption{Task: placement.Task, Worker: c.worker.ID}})
		}
	}
}

// ReserveTime is how long a worker stays reserved for an urgent task. It
// exceeds the time that a checkpoint takes, and ends before the task is
// overdue.
const ReserveTime = 5 * time.Second
