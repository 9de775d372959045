package zone

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// Costs of giving way, in seconds of run time, and the throttle.
const (
	// checkpointCost is the time that saving and restoring takes.
	checkpointCost = 2.0
	// throttleCost is charged for slowing a task down: less than a checkpoint,
	// since nothing is lost.
	throttleCost = 0.5
	// throttleDivisor is the part of its cores that a throttled task keeps.
	throttleDivisor = 4
	// minThrottle is the smallest cap, in thousandths of a core.
	minThrottle = 250
)

// victim is one running task that can give way, and how.
type victim struct {
	placement *machine.Placement
	team      *teamPlan
	way       way
	// cap is the throttle in thousandths of a core.
	cap   int64
	frees machine.Resources
	slots int
	// lost is the cost; ran is the run time that is lost, in seconds.
	lost, ran float64
	weight    float64
}

// way is how a task gives way.
type way int

const (
	byThrottle way = iota
	byCheckpoint
	byStop
)

// step returns the step for the task that asks.
func (v *victim) step(worker, asking string) PlacementStep {
	base := Preemption{
		Task: v.placement.Task, Worker: worker, For: asking, Use: v.team.use, Fair: v.team.share.Fair, Lost: v.ran,
	}
	switch v.way {
	case byThrottle:
		return Throttle{Preemption: base, MilliCores: v.cap}
	case byCheckpoint:
		return Checkpoint{base}
	default:
		return Stop{base}
	}
}

// preempt plans the steps that free room for a task with the least work lost,
// and demands the worker for it. Only work of teams above their share gives way,
// or other work of the task's own team. A team above its own share takes from
// itself only. It reports whether it found room.
func (p *planner) preempt(t *teamPlan, task *machine.Task, size machine.Resources, urgent bool) bool {
	if p.preempts >= maxPreempts || t.room <= 0 || p.hasReservation(task.ID) {
		return false
	}
	p.preempts++
	var chosen []victim
	var on *machine.Worker
	best := 0.0
	for _, rack := range p.set.racks {
		for _, w := range rack.workers {
			limit := math.Inf(1)
			if on != nil {
				limit = best
			}
			victims, lost, ok := p.victims(w, t, task, size, urgent, limit)
			if ok {
				chosen, on, best = append(chosen[:0], victims...), w, lost
			}
		}
	}
	if on == nil {
		return false
	}
	for i := range chosen {
		v := &chosen[i]
		p.taken[v.placement] = true
		p.plan.Steps = append(p.plan.Steps, v.step(on.ID, task.ID))
		v.team.use -= v.weight
	}
	p.plan.Reservations[on.ID] = task.ID
	if r := p.roomOf(on); r != nil {
		r.reserved = task.ID
	}
	t.use += p.weightOf(t, size)
	t.room--
	return true
}

func (p *planner) hasReservation(task string) bool {
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

// victims returns the cheapest set of tasks on w that frees enough room for less
// than limit. The slice is valid until the next call.
func (p *planner) victims(w *machine.Worker, t *teamPlan, task *machine.Task, size machine.Resources, urgent bool, limit float64) ([]victim, float64, bool) {
	if w.Health() != machine.WorkerGood || w.ReservedFor(p.round.Now) != "" || p.plan.Reservations[w.ID] != "" {
		return nil, 0, false
	}
	if !size.FitsIn(w.Capacity) || !w.Takes(task, p.round.Now) {
		return nil, 0, false
	}
	free, slots, connections := p.left(w)
	coresOnly := slots > 0 && size.MemoryMB <= free.MemoryMB && size.Accelerators <= free.Accelerators
	chosen := p.chosen[:0]
	lost := 0.0
	for _, v := range p.candidates(w, t, urgent, coresOnly) {
		if size.FitsIn(free) && slots > 0 && connections >= task.Connections {
			break
		}
		if v.team != t && v.team.use-takenFrom(chosen, v.team) <= v.team.share.Fair {
			continue
		}
		if lost += v.lost; lost >= limit {
			return nil, 0, false
		}
		free = free.Plus(v.frees)
		slots += v.slots
		if v.slots > 0 {
			connections += v.placement.Task.Connections
		}
		chosen = append(chosen, v)
	}
	p.chosen = chosen
	ok := len(chosen) > 0 && size.FitsIn(free) && slots > 0 && connections >= task.Connections
	return chosen, lost, ok
}

// takenFrom returns the use that the chosen victims take from a team.
func takenFrom(chosen []victim, team *teamPlan) float64 {
	sum := 0.0
	for i := range chosen {
		if chosen[i].team == team {
			sum += chosen[i].weight
		}
	}
	return sum
}

// roomOf returns the room of a worker, nil when it cannot take a task.
func (p *planner) roomOf(w *machine.Worker) *room {
	if p.roomIndex == nil {
		p.roomIndex = make(map[*machine.Worker]int, len(p.rooms))
		for i := range p.rooms {
			p.roomIndex[p.rooms[i].worker] = i
		}
	}
	if i, ok := p.roomIndex[w]; ok {
		return &p.rooms[i]
	}
	return nil
}

// left returns what this plan has left of a worker.
func (p *planner) left(w *machine.Worker) (machine.Resources, int, int) {
	if r := p.roomOf(w); r != nil {
		return r.free, r.slots, r.connections
	}
	return w.Free(), w.FreeSlots(), w.FreeConnections()
}

// candidates lists the tasks on a worker that may give way, the cheapest first.
// Throttling helps only when nothing but cores is short.
func (p *planner) candidates(w *machine.Worker, t *teamPlan, urgent, coresOnly bool) []victim {
	list := p.candidate[:0]
	mayTakeOthers := t.within()
	for _, placement := range w.Placements() {
		team := p.teams[placement.Task.Team]
		if team == nil || placement.Ending || placement.Task.Urgent || p.taken[placement] {
			continue
		}
		if team != t && (!mayTakeOthers || team.use <= team.share.Fair) || team == t && !urgent {
			continue
		}
		if v, ok := p.giveWay(team, placement, urgent, coresOnly); ok {
			list = append(list, v)
		}
	}
	slices.SortStableFunc(list, func(a, b victim) int { return cmp.Compare(a.lost, b.lost) })
	p.candidate = list
	return list
}

// giveWay returns the least costly way in which a task can free room. A
// non-idempotent task is only ever throttled: ending its attempt would lose it.
func (p *planner) giveWay(team *teamPlan, on *machine.Placement, urgent, coresOnly bool) (victim, bool) {
	task := on.Task
	v := victim{placement: on, team: team}
	if coresOnly && urgent && on.Cap == 0 && on.Charge.MilliCores > minThrottle {
		v.way, v.cap = byThrottle, max(on.Charge.MilliCores/throttleDivisor, minThrottle)
		v.frees, v.lost = machine.Resources{MilliCores: on.Charge.MilliCores - v.cap}, throttleCost
		v.weight = p.set.amounts(v.frees, 0)[contract.DimensionCores]
		return v, true
	}
	if !task.Idempotent {
		return v, false
	}
	v.frees, v.slots, v.weight = on.Charge, 1, p.weightOf(team, on.Charge)
	if task.Checkpoints {
		v.way, v.lost = byCheckpoint, checkpointCost
		return v, true
	}
	if !urgent {
		return v, false
	}
	// A stop loses the whole run time; large tasks lose more per second.
	size, _ := p.set.amounts(on.Charge, 1).Dominant()
	v.way, v.ran = byStop, p.round.Now.Sub(on.StartedAt).Seconds()
	v.lost = checkpointCost + v.ran*(1+size)
	return v, true
}

// reclaim frees room for teams that stay below half their share because tasks
// of teams above theirs do not end: one checkpoint a team and round.
func (p *planner) reclaim() {
	for _, t := range p.order {
		if t.line == nil || t.room <= 0 || t.use > t.share.Fair/2 {
			continue
		}
		task := t.oldest()
		if task == nil || p.round.Now.Sub(task.SubmittedAt) < reclaimAfter {
			continue
		}
		p.preempt(t, task, p.set.Estimate(task), false)
	}
}

// oldest returns the first queued task of the team that this plan leaves.
func (t *teamPlan) oldest() *machine.Task {
	for _, l := range []*line{&t.line.urgent, &t.line.normal} {
		for _, task := range l.tasks {
			if task != nil && !t.placed[task] {
				return task
			}
		}
	}
	return nil
}

// restore lifts throttles on workers that have cores to spare again.
func (p *planner) restore() {
	for i := range p.rooms {
		r := &p.rooms[i]
		if r.reserved != "" || p.plan.Reservations[r.worker.ID] != "" {
			continue
		}
		for _, on := range r.worker.Placements() {
			before := max(on.Peak.MilliCores, on.Cap*throttleDivisor)
			if on.Cap == 0 || before-on.Cap > r.free.MilliCores {
				continue
			}
			r.free.MilliCores -= before - on.Cap
			p.plan.Steps = append(p.plan.Steps, Throttle{Preemption: Preemption{Task: on.Task, Worker: r.worker.ID}})
		}
	}
}

// ReserveTime is how long a worker stays reserved for an urgent task. It exceeds
// the time that a checkpoint takes, and ends before the task is overdue.
const ReserveTime = 5 * time.Second
