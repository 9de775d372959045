package zone

import (
	"container/heap"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// Bounds of one placement round. They keep a round within the processor budget
// of a node; what is left over is looked at in the next round.
const (
	// maxStarts bounds the starts of one round.
	maxStarts = 256
	// maxLooks bounds the tasks of one team that are looked at after its first
	// task that fits nowhere.
	maxLooks = 8
	// maxPreempts bounds the urgent tasks of one round that look for victims.
	maxPreempts = 16
	// reclaimAfter is how long the oldest task of a team below half its share
	// waits before checkpointable work above its team's share gives way.
	reclaimAfter = 30 * time.Second
)

// Weights of the choice of a worker. A suspect worker comes after every good
// one; a rack with few tasks of the team comes before a tight fit.
const (
	suspectPenalty     = 1e6
	rackPenalty        = 10
	acceleratorPenalty = 50
)

// Round is the input of one placement round besides the data centre itself.
type Round struct {
	Now time.Time
	// Weights has the share weight of each team with a document.
	Weights map[string]int
	// Room is how many more tasks each team may start under its upper limit. A
	// team that is not named has none.
	Room map[string]int
}

// Place plans one round from the state of the data centre: urgent work of teams
// within their share first, then the team with the lowest use for its weight.
// It changes no state. Nothing is placed in a data centre that is out.
func (d *DataCentre) Place(r Round) PlacementPlan {
	p := newPlanner(d.Workers, r)
	if d.Out || len(d.Workers.workers) == 0 {
		return p.plan
	}
	p.refuseImpossible()
	p.run(urgentPass)
	p.run(normalPass)
	p.reclaim()
	p.restore()
	return p.plan
}

// pass tells which tasks one run over the teams may place.
type pass int

const (
	// urgentPass places urgent tasks of teams within their share.
	urgentPass pass = iota
	// normalPass places all tasks; urgent ones come first within their team.
	normalPass
)

// room is what is left on one worker during planning.
type room struct {
	worker      *machine.Worker
	rack        *rackView
	free        machine.Resources
	slots       int
	connections int
	reserved    string
}

// rackView counts the tasks of a team that this plan adds to a rack.
type rackView struct {
	rack  *Rack
	added map[string]int
}

// planner is the scratch state of one round.
type planner struct {
	set   *WorkerSet
	round Round
	rooms []room
	// roomIndex is built when the first task looks for victims.
	roomIndex map[*machine.Worker]int
	teams     map[string]*teamPlan
	order     []*teamPlan
	plan      PlacementPlan
	starts    int
	// failed are sizes for which no worker has room. A task at least as large
	// as one of them is not tried.
	failed   []tried
	preempts int
	// candidate and chosen are scratch space of preempt.
	candidate, chosen []victim
	taken             map[*machine.Placement]bool
}

// tried is a size that fits nowhere.
type tried struct {
	size        machine.Resources
	connections int
	idempotent  bool
}

// teamPlan is one team during planning.
type teamPlan struct {
	share  *contract.Share
	line   *teamLine
	use    float64
	room   int
	placed map[*machine.Task]bool
	// rank is use over weight; the lowest goes first.
	rank   float64
	missed map[*machine.Task]bool
}

func newPlanner(s *WorkerSet, r Round) *planner {
	p := &planner{set: s, round: r, teams: make(map[string]*teamPlan), taken: make(map[*machine.Placement]bool)}
	p.plan.Shares = contract.Divide(s.Demands(r.Weights))
	p.plan.Reservations = make(map[string]string)
	for i := range p.plan.Shares {
		share := &p.plan.Shares[i]
		t := &teamPlan{share: share, line: s.backlog.lines[share.Team], use: share.Use, room: r.Room[share.Team]}
		t.rerank()
		p.teams[share.Team] = t
		p.order = append(p.order, t)
	}
	p.openRooms()
	return p
}

// openRooms lists the workers that can take another task.
func (p *planner) openRooms() {
	for _, rack := range p.set.racks {
		view := &rackView{rack: rack}
		for _, w := range rack.workers {
			if w.FreeSlots() <= 0 || w.Health() == machine.WorkerAside && p.round.Now.Before(w.ProbeAt()) {
				continue
			}
			p.rooms = append(p.rooms, room{
				worker: w, rack: view, free: w.Free(), slots: w.FreeSlots(), connections: w.FreeConnections(),
				reserved: w.ReservedFor(p.round.Now),
			})
		}
	}
}

func (t *teamPlan) rerank() { t.rank = t.use / float64(t.share.Weight) }

func (t *teamPlan) within() bool { return t.use < t.share.Fair }

// refuseImpossible ends the first queued tasks of each line that can never run
// and holds those that failed on every worker there is.
// Tasks are checked when they are accepted too; this catches estimates that
// were learned since and workers that were taken away.
func (p *planner) refuseImpossible() {
	largest := p.set.Largest()
	for _, t := range p.order {
		if t.line == nil {
			continue
		}
		for _, l := range []*line{&t.line.urgent, &t.line.normal} {
			p.refuseIn(t, l, largest)
		}
	}
}

func (p *planner) refuseIn(team *teamPlan, l *line, largest []machine.Resources) {
	looked := 0
	for _, t := range l.tasks {
		if t == nil {
			continue
		}
		if reason := Impossible(t, p.set.Smallest(t), largest); reason != "" {
			p.plan.Steps = append(p.plan.Steps, Refuse{Task: t, Reason: reason})
			team.done(t)
			continue
		}
		if len(t.FailedOn) > 0 && len(t.FailedOn) >= len(p.set.workers) {
			p.plan.Steps = append(p.plan.Steps, Hold{Task: t, Reason: "failed on every worker of the data centre"})
			team.done(t)
			continue
		}
		if looked++; looked >= maxLooks {
			return
		}
	}
}

func (t *teamPlan) done(task *machine.Task) {
	if t.placed == nil {
		t.placed = make(map[*machine.Task]bool)
	}
	t.placed[task] = true
}

// teamHeap orders teams by use for their weight.
type teamHeap []*teamPlan

func (h teamHeap) Len() int { return len(h) }
func (h teamHeap) Less(i, j int) bool {
	if h[i].rank != h[j].rank {
		return h[i].rank < h[j].rank
	}
	return h[i].share.Team < h[j].share.Team
}
func (h teamHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *teamHeap) Push(x any)   { *h = append(*h, x.(*teamPlan)) }
func (h *teamHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// run places the tasks of one pass, one at a time for the team with the lowest
// rank, so that a large team cannot fill the workers before a small one.
func (p *planner) run(which pass) {
	h := make(teamHeap, 0, len(p.order))
	for _, t := range p.order {
		if t.line != nil && t.line.urgent.len()+t.line.normal.len() > 0 {
			t.missed = nil
			h = append(h, t)
		}
	}
	heap.Init(&h)
	for len(h) > 0 && p.starts < maxStarts {
		if !p.placeNext(h[0], which) {
			heap.Pop(&h)
			continue
		}
		h[0].rerank()
		heap.Fix(&h, 0)
	}
}

// placeNext places one task of the team and reports whether it could.
func (p *planner) placeNext(t *teamPlan, which pass) bool {
	if t.room <= 0 || which == urgentPass && !t.within() {
		return false
	}
	if p.placeFrom(t, &t.line.urgent) {
		return true
	}
	return which == normalPass && p.placeFrom(t, &t.line.normal)
}

func (p *planner) placeFrom(t *teamPlan, l *line) bool {
	misses := 0
	for _, task := range l.tasks {
		if task == nil || t.placed[task] {
			continue
		}
		if p.place(t, task) {
			return true
		}
		if misses++; misses >= maxLooks {
			return false
		}
	}
	return false
}

// place finds a worker for the task, or room to be freed for an urgent one.
func (p *planner) place(t *teamPlan, task *machine.Task) bool {
	size := p.set.Estimate(task)
	best := p.best(task, size)
	if best == nil {
		if task.Urgent && !t.missed[task] {
			if t.missed == nil {
				t.missed = make(map[*machine.Task]bool)
			}
			t.missed[task] = true
			p.preempt(t, task, size, true)
		}
		return false
	}
	reason := "lowest use for its weight"
	if task.Urgent {
		reason = "urgent work of a team within its share"
		if !t.within() {
			reason = "urgent work comes first within its team"
		}
	}
	p.plan.Steps = append(p.plan.Steps, Start{
		Task: task, Worker: best.worker.ID, Estimate: size, Reason: reason, Use: t.use, Fair: t.share.Fair,
	})
	p.occupy(t, best, task, size)
	return true
}

func (p *planner) occupy(t *teamPlan, r *room, task *machine.Task, size machine.Resources) {
	r.free = r.free.Minus(size)
	r.slots--
	r.connections -= task.Connections
	r.reserved = ""
	if r.worker.Health() == machine.WorkerAside {
		r.slots = 0
	}
	if r.rack.added == nil {
		r.rack.added = make(map[string]int)
	}
	r.rack.added[task.Team]++
	t.done(task)
	t.room--
	t.use += p.weightOf(t, size)
	p.starts++
}

// weightOf returns what a task of the given size adds to the use of its team,
// in the team's dominant dimension.
func (p *planner) weightOf(t *teamPlan, size machine.Resources) float64 {
	a := p.set.amounts(size, 1)
	for d, name := range contract.DimensionNames {
		if name == t.share.Dominant {
			return a[d]
		}
	}
	return 0
}

// best returns the room with the lowest penalty that the task fits in.
func (p *planner) best(task *machine.Task, size machine.Resources) *room {
	if p.hopeless(task, size) {
		return nil
	}
	var best *room
	bestPenalty := 0.0
	reserved := false
	for i := range p.rooms {
		r := &p.rooms[i]
		if r.slots <= 0 || r.connections < task.Connections || !size.FitsIn(r.free) {
			continue
		}
		if r.reserved != "" && r.reserved != task.ID {
			reserved = true
			continue
		}
		if !r.worker.Takes(task, p.round.Now) {
			reserved = true
			continue
		}
		if penalty := r.penalty(task, size); best == nil || penalty < bestPenalty {
			best, bestPenalty = r, penalty
		}
	}
	// Reservations and health differ between tasks of one size, so that such a miss
	// says nothing about the next task.
	if best == nil && !reserved {
		p.failed = append(p.failed, tried{size, task.Connections, task.Idempotent})
	}
	return best
}

func (p *planner) hopeless(task *machine.Task, size machine.Resources) bool {
	for _, f := range p.failed {
		if f.size.FitsIn(size) && f.connections <= task.Connections {
			return true
		}
	}
	return false
}

func (r *room) penalty(task *machine.Task, size machine.Resources) float64 {
	if r.reserved == task.ID {
		return -suspectPenalty
	}
	sum := float64(rackPenalty * (r.rack.rack.teams[task.Team] + r.rack.added[task.Team]))
	if r.worker.Health() != machine.WorkerGood {
		sum += suspectPenalty
	}
	if size.Accelerators == 0 && r.free.Accelerators > 0 {
		sum += acceleratorPenalty
	}
	return sum + rackPenalty*fraction(r.free.MilliCores-size.MilliCores, r.worker.Capacity.MilliCores)
}
