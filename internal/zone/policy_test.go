package zone

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/proof"
)

// The loop in this file measures policies only: workers, tasks and time in
// steps of 250 ms. It is no simulator of a fleet.

// Times of the loop.
const (
	loopStep       = 250 * time.Millisecond
	loopUsageLag   = 2 * time.Second
	loopSavingTime = 1500 * time.Millisecond
	loopLength     = 150 * time.Second
	loopBurst      = 6 * time.Second
)

// urgentTarget is the stated time within which urgent work starts.
const urgentTarget = 7700 * time.Millisecond

// loopTeam is one team of the loop.
type loopTeam struct {
	name   string
	weight int
	// slots is the mean number of slots that the team's tasks ask for.
	slots int
	large bool
}

// loopTask is the truth about a task, which the policy does not see.
type loopTask struct {
	task      *machine.Task
	size      machine.Resources
	remaining time.Duration
	worker    string
	started   time.Time
	endsAt    time.Time
	// firstStart is the first start on a worker that does not fail it.
	firstStart time.Time
	done       bool
	impossible bool
}

// policy is one way of choosing starts.
type policy interface {
	step(l *loop) []PlacementStep
	name() string
}

type loop struct {
	now       time.Time
	begin     time.Time
	rng       *rand.Rand
	centre    *DataCentre
	teams     []loopTeam
	tasks     map[*machine.Task]*loopTask
	order     []*loopTask
	bad       map[string]bool
	serial    int
	failures  int
	refused   int
	lost      time.Duration
	shortfall map[string]float64
	samples   int
	// load multiplies the demand of every team.
	load   float64
	policy policy
	// checker watches urgent work of small teams and what gives way.
	checker proof.ShareChecker
}

func newLoop(seed uint64, load float64, p policy) *loop {
	l := &loop{
		now: time.Unix(0, 0), begin: time.Unix(0, 0), rng: rand.New(rand.NewPCG(seed, 1)), load: load, policy: p,
		centre: NewDataCentre("north", "west"), tasks: make(map[*machine.Task]*loopTask),
		checker: proof.ShareChecker{Urgent: urgentTarget, Patience: time.Minute},
		bad:     map[string]bool{"w03": true, "w11": true}, shortfall: make(map[string]float64),
		teams: []loopTeam{
			{"large-a", 4, 150, true}, {"large-b", 4, 120, true},
			{"small-a", 1, 16, false}, {"small-b", 1, 16, false}, {"small-c", 1, 16, false}, {"small-d", 1, 16, false},
		},
	}
	for i := range 24 {
		capacity := machine.Resources{MilliCores: 32_000, MemoryMB: 65_536}
		if i%4 == 0 {
			capacity.Accelerators = 2
		}
		l.centre.Workers.AddWorker(fmt.Sprintf("w%02d", i), fmt.Sprintf("r%d", i/4), capacity)
	}
	return l
}

// arrivals adds tasks: each team's queue in turn asks for five times its mean
// for some seconds, and for a twentieth in between.
func (l *loop) arrivals() {
	turn := int(l.now.Sub(l.begin)/loopBurst) % len(l.teams)
	for i, team := range l.teams {
		factor := 0.05
		if i == turn {
			factor = 5
		}
		// Tasks run for 20 s on average, so that slots/20 s arrive.
		mean := l.load * factor * float64(team.slots) / 20 * loopStep.Seconds()
		for range l.poisson(mean) {
			l.submit(team, l.rng.Float64() < 0.1)
		}
	}
	if l.rng.Float64() < 0.02 {
		l.submitImpossible(l.teams[l.rng.IntN(len(l.teams))])
	}
}

func (l *loop) poisson(mean float64) int {
	limit, product, n := math.Exp(-mean), l.rng.Float64(), 0
	for product > limit {
		product *= l.rng.Float64()
		n++
	}
	return n
}

func (l *loop) submit(team loopTeam, urgent bool) {
	size := machine.Resources{MilliCores: 1000 + int64(l.rng.IntN(5000)), MemoryMB: 1024 + int64(l.rng.IntN(8192))}
	if l.rng.Float64() < 0.03 {
		size.Accelerators = 1
	}
	runs := time.Duration(10+l.rng.IntN(20)) * time.Second
	if urgent {
		runs = 5 * time.Second
	}
	// Declared sizes are off by up to 4 times in either direction.
	off := math.Pow(4, 2*l.rng.Float64()-1)
	declared := machine.Resources{
		MilliCores: min(int64(float64(size.MilliCores)*off), 32_000), MemoryMB: min(int64(float64(size.MemoryMB)*off), 65_536), Accelerators: size.Accelerators,
	}
	l.add(team, urgent, declared, size, runs, false)
}

func (l *loop) submitImpossible(team loopTeam) {
	size := machine.Resources{MilliCores: 1000, MemoryMB: 1024, Accelerators: 9}
	l.add(team, false, size, size, time.Second, true)
}

func (l *loop) add(team loopTeam, urgent bool, declared, size machine.Resources, runs time.Duration, impossible bool) {
	l.serial++
	t := &machine.Task{
		ID: fmt.Sprintf("t%05d", l.serial), Team: team.name, Service: team.name, Declared: declared, Connections: 4,
		Urgent: urgent, Idempotent: l.rng.Float64() < 0.8, Checkpoints: l.rng.Float64() < 0.5,
		Phase: machine.TaskQueued, SubmittedAt: l.now,
	}
	lt := &loopTask{task: t, size: size, remaining: runs, impossible: impossible}
	l.tasks[t] = lt
	l.order = append(l.order, lt)
	if urgent && !team.large {
		l.checker.Take(proof.ShareEvent{At: l.now, Kind: proof.UrgentQueued, Team: team.name, Task: t.ID, Within: true})
	}
	l.centre.Workers.Backlog().Add(t)
}

// run plays the loop to its end.
func (l *loop) run() {
	for l.now.Sub(l.begin) < loopLength {
		l.arrivals()
		l.progress()
		for _, s := range l.policy.step(l) {
			l.apply(s)
		}
		l.sample()
		l.now = l.now.Add(loopStep)
	}
}

// progress moves running tasks on. Tasks on a worker whose cores are used up
// run slower.
func (l *loop) progress() {
	for _, rack := range l.centre.Workers.Racks() {
		for _, w := range rack.Workers() {
			var used machine.Resources
			for _, p := range w.Placements() {
				used = used.Plus(l.tasks[p.Task].using(p))
			}
			slow := max(1, float64(used.MilliCores)/float64(w.Capacity.MilliCores), float64(used.MemoryMB)/float64(w.Capacity.MemoryMB))
			for _, p := range w.Placements() {
				l.advance(w, p, slow)
			}
		}
	}
}

// using returns the true use under a throttle.
func (t *loopTask) using(p *machine.Placement) machine.Resources {
	used := t.size
	if p.Cap > 0 {
		used.MilliCores = min(used.MilliCores, p.Cap)
	}
	return used
}

func (l *loop) advance(w *machine.Worker, p *machine.Placement, slow float64) {
	t := l.tasks[p.Task]
	if !t.endsAt.IsZero() {
		if !l.now.Before(t.endsAt) {
			t.endsAt = time.Time{}
			l.centre.Workers.Free(p.Task.ID, w.ID)
			p.Task.Interrupt("saved", l.now)
			l.centre.Workers.Backlog().Add(p.Task)
		}
		return
	}
	if l.bad[w.ID] {
		l.fail(w, t)
		return
	}
	if l.now.Sub(t.started) >= loopUsageLag {
		l.centre.Workers.Report(w.ID, p.Task.ID, t.using(p))
	}
	speed := float64(t.using(p).MilliCores) / float64(t.size.MilliCores) / slow
	t.remaining -= time.Duration(float64(loopStep) * speed)
	if t.remaining <= 0 {
		t.done = true
		w.Succeeded()
		l.centre.Workers.Free(p.Task.ID, w.ID)
		p.Task.Succeed(l.now)
	}
}

func (l *loop) fail(w *machine.Worker, t *loopTask) {
	l.failures++
	l.centre.Workers.TaskFailed(t.task, w.ID, l.now)
	l.centre.Workers.Free(t.task.ID, w.ID)
	t.task.Fail("worker fault", l.now)
	if t.task.Phase == machine.TaskQueued {
		l.centre.Workers.Backlog().Add(t.task)
	}
}

func (l *loop) apply(s PlacementStep) {
	set := l.centre.Workers
	switch s := s.(type) {
	case Start:
		if !s.Task.Assign(s.Worker) {
			return
		}
		set.Occupy(s.Task, s.Worker, l.now)
		t := l.tasks[s.Task]
		t.worker, t.started = s.Worker, l.now
		if t.firstStart.IsZero() && !l.bad[s.Worker] {
			t.firstStart = l.now
			l.checker.Take(proof.ShareEvent{At: l.now, Kind: proof.UrgentStarted, Team: s.Task.Team, Task: s.Task.ID})
		}
	case Checkpoint:
		l.preempted(s.Preemption)
		l.tasks[s.Task].endsAt = l.now.Add(loopSavingTime)
		set.Worker(s.Worker).Placement(s.Task.ID).Ending = true
	case Throttle:
		l.preempted(s.Preemption)
		set.Throttle(s.Worker, s.Task.ID, s.MilliCores)
	case Stop:
		l.preempted(s.Preemption)
		t := l.tasks[s.Task]
		l.lost += l.now.Sub(t.started)
		set.Free(s.Task.ID, s.Worker)
		s.Task.Interrupt("", l.now)
		set.Backlog().Add(s.Task)
	case Refuse:
		l.refused++
		s.Task.Refuse(s.Reason, l.now)
		set.Backlog().Remove(s.Task)
	case Hold:
		s.Task.Hold(s.Reason)
		set.Backlog().Remove(s.Task)
	}
}

// preempted passes a task that gives way on to the checker.
func (l *loop) preempted(p Preemption) {
	for _, t := range l.order {
		if t.task.ID == p.For {
			l.checker.Take(proof.ShareEvent{
				At: l.now, Kind: proof.WorkPreempted, Team: p.Task.Team, Task: p.Task.ID, For: t.task.Team, Use: p.Use, Fair: p.Fair,
			})
		}
	}
}

// sample adds up how far each team is below its share of the true use.
func (l *loop) sample() {
	var demands []contract.Demand
	for _, team := range l.teams {
		d := contract.Demand{Team: team.name, Weight: team.weight}
		var used, queued machine.Resources
		running, waiting := 0, 0
		for _, t := range l.order {
			if t.task.Team != team.name || t.impossible {
				continue
			}
			switch t.task.Phase {
			case machine.TaskRunning:
				used = used.Plus(t.size)
				running++
			case machine.TaskQueued:
				queued = queued.Plus(t.size)
				waiting++
			}
		}
		d.Use, d.Queued = l.centre.Workers.amounts(used, running), l.centre.Workers.amounts(queued, waiting)
		demands = append(demands, d)
	}
	for _, s := range contract.Divide(demands) {
		if s.Fair > 0 {
			l.shortfall[s.Team] += max(0, -s.Distance()) / s.Fair
		}
	}
	l.samples++
}

// result is what one run shows.
type result struct {
	largeShort, smallShort float64
	urgentMax, urgentP99   time.Duration
	urgent, waiting        int
	done, failures         int
}

func (l *loop) result() result {
	r := result{failures: l.failures}
	larges, smalls := 0, 0
	for _, team := range l.teams {
		if short := l.shortfall[team.name] / float64(l.samples); team.large {
			r.largeShort += short
			larges++
		} else {
			r.smallShort += short
			smalls++
		}
	}
	r.largeShort /= float64(larges)
	r.smallShort /= float64(smalls)
	var delays []time.Duration
	for _, t := range l.order {
		if t.done {
			r.done++
		}
		if !t.task.Urgent || l.isLarge(t.task.Team) {
			continue
		}
		r.urgent++
		end := t.firstStart
		if end.IsZero() {
			if t.task.Final() {
				continue
			}
			end = l.now
			r.waiting++
		}
		delays = append(delays, end.Sub(t.task.SubmittedAt))
	}
	slices.Sort(delays)
	if len(delays) > 0 {
		r.urgentMax, r.urgentP99 = delays[len(delays)-1], delays[len(delays)*99/100]
	}
	return r
}

func (l *loop) isLarge(team string) bool {
	return slices.ContainsFunc(l.teams, func(t loopTeam) bool { return t.name == team && t.large })
}

func (r result) String() string {
	return fmt.Sprintf("below share: large %.1f%%, small %.1f%%; urgent of small teams: %d, p99 %v, max %v, %d not started; done %d; failures %d",
		100*r.largeShort, 100*r.smallShort, r.urgent, r.urgentP99, r.urgentMax, r.waiting, r.done, r.failures)
}

// planned is the policy of this package.
type planned struct{}

func (planned) name() string { return "plan" }

func (planned) step(l *loop) []PlacementStep {
	weights, room := make(map[string]int), make(map[string]int)
	for _, t := range l.teams {
		weights[t.name], room[t.name] = t.weight, 1000
	}
	plan := l.centre.Place(Round{Now: l.now, Weights: weights, Room: room})
	for worker, task := range plan.Reservations {
		l.centre.Workers.Worker(worker).Reserve(task, l.now.Add(ReserveTime))
	}
	return plan.Steps
}

// firstCome is the baseline: one line in order of arrival, the first worker on
// which the declared size fits, tasks that do not fit are passed over.
type firstCome struct{}

func (firstCome) name() string { return "first come" }

func (firstCome) step(l *loop) []PlacementStep {
	var steps []PlacementStep
	type left struct {
		w     *machine.Worker
		free  machine.Resources
		slots int
	}
	var lefts []left
	for _, rack := range l.centre.Workers.Racks() {
		for _, w := range rack.Workers() {
			free := w.Capacity
			for _, p := range w.Placements() {
				free = free.Minus(p.Task.Declared)
			}
			lefts = append(lefts, left{w, free, w.FreeSlots()})
		}
	}
	for _, t := range l.order {
		if t.task.Phase != machine.TaskQueued {
			continue
		}
		for i := range lefts {
			if lefts[i].slots > 0 && t.task.Declared.FitsIn(lefts[i].free) {
				lefts[i].slots--
				lefts[i].free = lefts[i].free.Minus(t.task.Declared)
				steps = append(steps, Start{Task: t.task, Worker: lefts[i].w.ID})
				break
			}
		}
	}
	return steps
}

// TestPolicyAgainstFirstCome guards against a policy under which large teams
// starve small ones or urgent work of small teams starts late. The bound on the
// delay is the stated target, in simulated time. At load 1 the teams ask for
// about 1.5 times the slots on average, at load 2 for twice as much.
func TestPolicyAgainstFirstCome(t *testing.T) {
	for _, load := range []float64{1, 2} {
		for seed := uint64(1); seed <= 4; seed++ {
			t.Run(fmt.Sprintf("load=%v/seed=%d", load, seed), func(t *testing.T) {
				t.Parallel()
				comparePolicies(t, seed, load)
			})
		}
	}
}

func comparePolicies(t *testing.T, seed uint64, load float64) {
	results := make(map[string]result)
	for _, p := range []policy{planned{}, firstCome{}} {
		l := newLoop(seed, load, p)
		l.run()
		results[p.name()] = l.result()
		violations := l.checker.Finish(l.now)
		if p.name() == "plan" && len(violations) > 0 {
			t.Errorf("%d violations, the first one: %v", len(violations), violations[0])
		}
		t.Logf("%s: %v; refused %d, run time lost by stops %v", p.name(), results[p.name()], l.refused, l.lost)
	}
	plan, baseline := results["plan"], results["first come"]
	if plan.urgentMax > urgentTarget {
		t.Errorf("urgent work of a small team started after %v, target %v", plan.urgentMax, urgentTarget)
	}
	if plan.smallShort >= baseline.smallShort {
		t.Errorf("small teams are %.3f below their share, baseline %.3f", plan.smallShort, baseline.smallShort)
	}
	if plan.failures >= baseline.failures {
		t.Errorf("%d failures on bad workers, baseline %d", plan.failures, baseline.failures)
	}
}
