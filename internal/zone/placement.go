package zone

import (
	"container/heap"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// Limits of one placement round. The maximum counts keep a round within a node's
// processor budget; tasks that a round does not examine are examined in the next
// one.
const (
	// maxStarts bounds the tasks started in one round.
	maxStarts = 256
	// maxExamined bounds the tasks at the head of one queue that a scan
	// examines without placing any of them.
	maxExamined = 8
	// maxPreemptions bounds the tasks for which one round searches for tasks to
	// preempt.
	maxPreemptions = 16
	// reclaimDelay is how long the oldest task of a team below half its share
	// waits before tasks with checkpoints are preempted in teams above their
	// share.
	reclaimDelay = 30 * time.Second
)

// Penalties of a candidate worker; the worker with the lowest sum is chosen. A
// suspect worker is chosen only if no good one fits, and a rack that runs few
// tasks of the team is preferred to a tight fit.
const (
	suspectPenalty     = 1e6
	rackPenalty        = 10
	acceleratorPenalty = 50
)

// Round is the input of one placement round besides the data centre itself.
type Round struct {
	Now time.Time
	// Weights holds the share weight of each team that has a document.
	Weights map[string]int
	// StartsLeft is how many more tasks each team may start under its upper
	// limit. A team without an entry may start none.
	StartsLeft map[string]int
}

// Place plans one round from the state of the data centre, which it does not
// change. It first places urgent tasks of teams within their share, then
// repeatedly the next task of the team with the lowest ratio of use to weight.
// It places nothing while the data centre is out of service.
func (d *DataCentre) Place(r Round) PlacementPlan {
	p := newPlacementPlanner(d.Workers, r)
	if d.Out || len(d.Workers.workers) == 0 {
		return p.plan
	}
	p.refuseImpossible()
	p.runPass(urgentPass)
	p.runPass(normalPass)
	p.reclaimShares()
	p.liftThrottles()
	return p.plan
}

// placementPass selects the tasks that one iteration over the teams may place.
type placementPass int

const (
	// urgentPass places urgent tasks of teams within their share.
	urgentPass placementPass = iota
	// normalPass places all tasks; within a team, urgent tasks come first.
	normalPass
)

// candidate is a worker that can take another task, with the capacity that the
// plan leaves on it.
type candidate struct {
	worker      *machine.Worker
	rack        *rackPlan
	free        machine.Resources
	slots       int
	connections int
	reserved    string
}

// rackPlan counts, for each team, the tasks that this plan adds to a rack.
type rackPlan struct {
	rack  *Rack
	added map[string]int
}

// placementPlanner is the working state of one round.
type placementPlanner struct {
	set        *WorkerSet
	round      Round
	candidates []candidate
	// candidateIndex maps workers to candidates. It is built by the first call
	// of candidateFor.
	candidateIndex map[*machine.Worker]int
	teams          map[string]*teamPlan
	teamList       []*teamPlan
	plan           PlacementPlan
	startCount     int
	// unplaceable lists shapes that fit on no candidate. A task at least as
	// large as one of them is not tried.
	unplaceable []taskShape
	preemptions int
	// preemptibleBuf and chosenBuf are reused by the calls of chooseVictims.
	preemptibleBuf, chosenBuf []victim
	preempted                 map[*machine.Placement]bool
}

// taskShape is the part of a task that decides whether it fits on a worker.
type taskShape struct {
	size        machine.Resources
	connections int
	idempotent  bool
}

// teamPlan is the working state of one team in a round.
type teamPlan struct {
	share      *contract.Share
	queues     *teamBacklog
	use        float64
	startsLeft int
	planned    map[*machine.Task]bool
	// rank is use divided by weight. The team with the lowest rank goes first.
	rank         float64
	preemptTried map[*machine.Task]bool
}

func newPlacementPlanner(s *WorkerSet, r Round) *placementPlanner {
	p := &placementPlanner{set: s, round: r, teams: make(map[string]*teamPlan), preempted: make(map[*machine.Placement]bool)}
	p.plan.Shares = contract.FairShares(s.Demands(r.Weights))
	p.plan.Reservations = make(map[string]string)
	for i := range p.plan.Shares {
		share := &p.plan.Shares[i]
		t := &teamPlan{share: share, queues: s.backlog.byTeam[share.Team], use: share.Use, startsLeft: r.StartsLeft[share.Team]}
		t.updateRank()
		p.teams[share.Team] = t
		p.teamList = append(p.teamList, t)
	}
	p.collectCandidates()
	return p
}

// collectCandidates lists the workers that have a free slot. A worker in the
// state WorkerAside is included once its next probe task is due.
func (p *placementPlanner) collectCandidates() {
	for _, rack := range p.set.racks {
		additions := &rackPlan{rack: rack}
		for _, w := range rack.workers {
			if w.FreeSlots() <= 0 || w.Health() == machine.WorkerAside && p.round.Now.Before(w.ProbeAt()) {
				continue
			}
			p.candidates = append(p.candidates, candidate{
				worker: w, rack: additions, free: w.Free(), slots: w.FreeSlots(), connections: w.FreeConnections(),
				reserved: w.ReservedFor(p.round.Now),
			})
		}
	}
}

func (t *teamPlan) updateRank() { t.rank = t.use / float64(t.share.Weight) }

func (t *teamPlan) withinShare() bool { return t.use < t.share.Fair }

// refuseImpossible refuses tasks at the head of each queue that can never run,
// and holds those that failed on every worker of the data centre. Acceptance
// checks tasks too; this check covers estimates that were learned and workers
// that were removed since then.
func (p *placementPlanner) refuseImpossible() {
	largest := p.set.LargestCapacities()
	for _, t := range p.teamList {
		if t.queues == nil {
			continue
		}
		for _, queue := range []*taskQueue{&t.queues.urgent, &t.queues.normal} {
			p.refuseInQueue(t, queue, largest)
		}
	}
}

func (p *placementPlanner) refuseInQueue(team *teamPlan, queue *taskQueue, largest []machine.Resources) {
	examined := 0
	for _, t := range queue.tasks {
		if t == nil {
			continue
		}
		if reason := ImpossibleReason(t, p.set.MinimumSize(t), largest); reason != "" {
			p.plan.Steps = append(p.plan.Steps, Refuse{Task: t, Reason: reason})
			team.markPlanned(t)
			continue
		}
		if len(t.FailedOn) > 0 && len(t.FailedOn) >= len(p.set.workers) {
			p.plan.Steps = append(p.plan.Steps, Hold{Task: t, Reason: "failed on every worker of the data centre"})
			team.markPlanned(t)
			continue
		}
		if examined++; examined >= maxExamined {
			return
		}
	}
}

func (t *teamPlan) markPlanned(task *machine.Task) {
	if t.planned == nil {
		t.planned = make(map[*machine.Task]bool)
	}
	t.planned[task] = true
}

// teamHeap orders teams by rank, then by name.
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

// runPass places the tasks of one pass, one at a time for the team with the
// lowest rank, so that a large team cannot fill the workers before a small one.
func (p *placementPlanner) runPass(pass placementPass) {
	h := make(teamHeap, 0, len(p.teamList))
	for _, t := range p.teamList {
		if t.queues != nil && t.queues.urgent.len()+t.queues.normal.len() > 0 {
			t.preemptTried = nil
			h = append(h, t)
		}
	}
	heap.Init(&h)
	for len(h) > 0 && p.startCount < maxStarts {
		if !p.placeNext(h[0], pass) {
			heap.Pop(&h)
			continue
		}
		h[0].updateRank()
		heap.Fix(&h, 0)
	}
}

// placeNext places one task of the team and reports whether it succeeded.
func (p *placementPlanner) placeNext(t *teamPlan, pass placementPass) bool {
	if t.startsLeft <= 0 || pass == urgentPass && !t.withinShare() {
		return false
	}
	if p.placeFromQueue(t, &t.queues.urgent) {
		return true
	}
	return pass == normalPass && p.placeFromQueue(t, &t.queues.normal)
}

func (p *placementPlanner) placeFromQueue(t *teamPlan, queue *taskQueue) bool {
	misses := 0
	for _, task := range queue.tasks {
		if task == nil || t.planned[task] {
			continue
		}
		if p.placeTask(t, task) {
			return true
		}
		if misses++; misses >= maxExamined {
			return false
		}
	}
	return false
}

// placeTask plans the start of a task and reports whether a worker has room.
// For an urgent task without room it plans a preemption instead, once per pass.
func (p *placementPlanner) placeTask(t *teamPlan, task *machine.Task) bool {
	size := p.set.Estimate(task)
	best := p.bestCandidate(task, size)
	if best == nil {
		if task.Urgent && !t.preemptTried[task] {
			if t.preemptTried == nil {
				t.preemptTried = make(map[*machine.Task]bool)
			}
			t.preemptTried[task] = true
			p.preempt(t, task, size, true)
		}
		return false
	}
	reason := "lowest use for its weight"
	if task.Urgent {
		reason = "urgent work of a team within its share"
		if !t.withinShare() {
			reason = "urgent work comes first within its team"
		}
	}
	p.plan.Steps = append(p.plan.Steps, Start{
		Task: task, Worker: best.worker.ID, Estimate: size, Reason: reason, Use: t.use, Fair: t.share.Fair,
	})
	p.recordStart(t, best, task, size)
	return true
}

func (p *placementPlanner) recordStart(t *teamPlan, c *candidate, task *machine.Task, size machine.Resources) {
	c.free = c.free.Minus(size)
	c.slots--
	c.connections -= task.Connections
	c.reserved = ""
	if c.worker.Health() == machine.WorkerAside {
		c.slots = 0
	}
	if c.rack.added == nil {
		c.rack.added = make(map[string]int)
	}
	c.rack.added[task.Team]++
	t.markPlanned(task)
	t.startsLeft--
	t.use += p.addedUse(t, size)
	p.startCount++
}

// addedUse returns what a task of the given size adds to the use of its team,
// in the team's dominant dimension.
func (p *placementPlanner) addedUse(t *teamPlan, size machine.Resources) float64 {
	a := p.set.amounts(size, 1)
	for d, name := range contract.DimensionNames {
		if name == t.share.Dominant {
			return a[d]
		}
	}
	return 0
}

// bestCandidate returns the candidate with the lowest penalty on which the task
// fits, or nil.
func (p *placementPlanner) bestCandidate(task *machine.Task, size machine.Resources) *candidate {
	if p.cannotFit(task, size) {
		return nil
	}
	var best *candidate
	bestPenalty := 0.0
	taskSpecific := false
	for i := range p.candidates {
		c := &p.candidates[i]
		if c.slots <= 0 || c.connections < task.Connections || !size.FitsIn(c.free) {
			continue
		}
		if c.reserved != "" && c.reserved != task.ID {
			taskSpecific = true
			continue
		}
		if !c.worker.Admits(task, p.round.Now) {
			taskSpecific = true
			continue
		}
		if penalty := c.penalty(task, size); best == nil || penalty < bestPenalty {
			best, bestPenalty = c, penalty
		}
	}
	// Reservations and worker health differ between tasks of the same shape. A
	// task that failed because of them does not make its shape unplaceable.
	if best == nil && !taskSpecific {
		p.unplaceable = append(p.unplaceable, taskShape{size, task.Connections, task.Idempotent})
	}
	return best
}

func (p *placementPlanner) cannotFit(task *machine.Task, size machine.Resources) bool {
	for _, f := range p.unplaceable {
		if f.size.FitsIn(size) && f.connections <= task.Connections {
			return true
		}
	}
	return false
}

func (c *candidate) penalty(task *machine.Task, size machine.Resources) float64 {
	if c.reserved == task.ID {
		return -suspectPenalty
	}
	total := float64(rackPenalty * (c.rack.rack.teams[task.Team] + c.rack.added[task.Team]))
	if c.worker.Health() != machine.WorkerGood {
		total += suspectPenalty
	}
	if size.Accelerators == 0 && c.free.Accelerators > 0 {
		total += acceleratorPenalty
	}
	return total + rackPenalty*fraction(c.free.MilliCores-size.MilliCores, c.worker.Capacity.MilliCores)
}
