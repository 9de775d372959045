package zone

import (
	"cmp"
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
	step      PlacementStep
	frees     machine.Resources
	slots     int
	lost      float64
	weight    float64
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
	p.asking = task.ID
	var chosen []victim
	var on *machine.Worker
	best := 0.0
	for _, rack := range p.set.racks {
		for _, w := range rack.workers {
			victims, lost, ok := p.victims(w, t, task, size, urgent)
			if ok && (on == nil || lost < best) {
				chosen, on, best = victims, w, lost
			}
		}
	}
	if on == nil {
		return false
	}
	for _, v := range chosen {
		p.taken[v.placement] = true
		v.team.use -= v.weight
		p.plan.Steps = append(p.plan.Steps, v.step)
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

// victims returns the cheapest set of tasks on w that frees enough room.
func (p *planner) victims(w *machine.Worker, t *teamPlan, task *machine.Task, size machine.Resources, urgent bool) ([]victim, float64, bool) {
	if w.Health() != machine.WorkerGood || w.ReservedFor(p.round.Now) != "" || p.plan.Reservations[w.ID] != "" {
		return nil, 0, false
	}
	if !size.FitsIn(w.Capacity) || !w.Takes(task, p.round.Now) {
		return nil, 0, false
	}
	free, slots, connections := p.left(w)
	list := p.candidates(w, t, urgent, slots > 0 && size.MemoryMB <= free.MemoryMB && size.Accelerators <= free.Accelerators)
	taken := make(map[*teamPlan]float64, 4)
	var chosen []victim
	lost := 0.0
	for _, v := range list {
		if size.FitsIn(free) && slots > 0 && connections >= task.Connections {
			break
		}
		if v.team != t && v.team.use-taken[v.team] <= v.team.share.Fair {
			continue
		}
		taken[v.team] += v.weight
		free = free.Plus(v.frees)
		slots += v.slots
		if v.slots > 0 {
			connections += v.placement.Task.Connections
		}
		lost += v.lost
		chosen = append(chosen, v)
	}
	ok := len(chosen) > 0 && size.FitsIn(free) && slots > 0 && connections >= task.Connections
	return chosen, lost, ok
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
	var list []victim
	mayTakeOthers := t.within()
	for _, placement := range w.Placements() {
		team := p.teams[placement.Task.Team]
		if team == nil || placement.Ending || placement.Task.Urgent || p.taken[placement] {
			continue
		}
		if team != t && (!mayTakeOthers || team.use <= team.share.Fair) || team == t && !urgent {
			continue
		}
		if v, ok := p.giveWay(w, team, placement, urgent, coresOnly); ok {
			list = append(list, v)
		}
	}
	slices.SortStableFunc(list, func(a, b victim) int { return cmp.Compare(a.lost, b.lost) })
	return list
}

// giveWay returns the least costly way in which a task can free room. A
// non-idempotent task is only ever throttled: ending its attempt would lose it.
func (p *planner) giveWay(w *machine.Worker, team *teamPlan, on *machine.Placement, urgent, coresOnly bool) (victim, bool) {
	task := on.Task
	v := victim{placement: on, team: team}
	base := Preemption{Task: task, Worker: w.ID, For: p.asking, Use: team.use, Fair: team.share.Fair}
	if coresOnly && urgent && on.Cap == 0 && on.Charge.MilliCores > minThrottle {
		milliCores := max(on.Charge.MilliCores/throttleDivisor, minThrottle)
		v.frees, v.lost = machine.Resources{MilliCores: on.Charge.MilliCores - milliCores}, throttleCost
		v.weight = p.set.amounts(v.frees, 0)[contract.DimensionCores]
		v.step = Throttle{Preemption: base, MilliCores: milliCores}
		return v, true
	}
	if !task.Idempotent {
		return v, false
	}
	v.frees, v.slots, v.weight = on.Charge, 1, p.weightOf(team, on.Charge)
	size, _ := p.set.amounts(on.Charge, 1).Dominant()
	if task.Checkpoints {
		v.lost = checkpointCost
		base.Lost = v.lost
		v.step = Checkpoint{base}
		return v, true
	}
	if !urgent {
		return v, false
	}
	// A stop loses the whole run time; large tasks lose more per second.
	ran := p.round.Now.Sub(on.StartedAt).Seconds()
	v.lost = checkpointCost + ran*(1+size)
	base.Lost = ran
	v.step = Stop{base}
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
