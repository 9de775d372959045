package zone

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// drawDataCentre returns a data centre in a random state, the input of a round,
// and all tasks.
func drawDataCentre(t *rapid.T) (*DataCentre, Round, []*machine.Task) {
	now := time.Unix(1000, 0)
	d := NewDataCentre("north", "west")
	round := Round{Now: now, Weights: make(map[string]int), StartsLeft: make(map[string]int)}
	teams := rapid.IntRange(1, 6).Draw(t, "teams")
	for i := range teams {
		team := fmt.Sprintf("team-%d", i)
		round.Weights[team] = rapid.IntRange(1, 5).Draw(t, "weight")
		round.StartsLeft[team] = rapid.IntRange(0, 40).Draw(t, "room")
	}
	var workers []*machine.Worker
	for i := range rapid.IntRange(1, 12).Draw(t, "workers") {
		capacity := machine.Resources{MilliCores: 16_000, MemoryMB: 32_768, Accelerators: int64(rapid.IntRange(0, 2).Draw(t, "accelerators"))}
		workers = append(workers, d.Workers.AddWorker(fmt.Sprintf("w%02d", i), fmt.Sprintf("r%d", i/4), capacity))
	}
	var tasks []*machine.Task
	for i := range rapid.IntRange(0, 120).Draw(t, "tasks") {
		task := drawTask(t, i, teams, now)
		tasks = append(tasks, task)
		w := workers[rapid.IntRange(0, len(workers)-1).Draw(t, "on")]
		fits := w.FreeSlots() > 0 && w.FreeConnections() >= task.Connections && task.Declared.FitsIn(w.Free())
		if fits && rapid.Bool().Draw(t, "running") && task.Assign(w.ID) {
			d.Workers.Place(task, w.ID, now.Add(-time.Minute))
			continue
		}
		d.Workers.Backlog().Add(task)
	}
	for _, w := range workers {
		for i := range rapid.IntRange(0, 3).Draw(t, "failures") {
			w.RecordFailure(fmt.Sprint(i), now.Add(-time.Duration(rapid.IntRange(0, 30).Draw(t, "ago"))*time.Second))
		}
	}
	d.Out = rapid.IntRange(0, 9).Draw(t, "out") == 0
	return d, round, tasks
}

func drawTask(t *rapid.T, i, teams int, now time.Time) *machine.Task {
	return &machine.Task{
		ID: fmt.Sprintf("t%03d", i), Team: fmt.Sprintf("team-%d", rapid.IntRange(0, teams-1).Draw(t, "team")), Service: "s",
		Declared: machine.Resources{
			MilliCores: rapid.Int64Range(1, 20_000).Draw(t, "cores"), MemoryMB: rapid.Int64Range(1, 40_000).Draw(t, "memory"),
			Accelerators: int64(rapid.SampledFrom([]int{0, 0, 0, 1, 3}).Draw(t, "accelerators")),
		},
		Connections: rapid.IntRange(0, 20).Draw(t, "connections"), Urgent: rapid.IntRange(0, 4).Draw(t, "urgent") == 0,
		Idempotent: rapid.Bool().Draw(t, "idempotent"), Checkpoints: rapid.Bool().Draw(t, "checkpoints"),
		Phase: machine.TaskQueued, SubmittedAt: now.Add(-time.Duration(rapid.IntRange(0, 100).Draw(t, "waited")) * time.Second),
	}
}

// TestPlacementPlanInvariants guards against plans that overfill a worker,
// exceed the starts that a team has left, use a worker that is set aside, place
// tasks in a data centre that is out, or end the attempt of a task that must
// not be ended.
func TestPlacementPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, round, _ := drawDataCentre(t)
		above := make(map[string]bool)
		plan := d.Place(round)
		for _, s := range plan.Shares {
			above[s.Team] = s.Use > s.Fair
		}
		checker := planCheck{t: t, d: d, round: round, aboveShare: above, started: make(map[*machine.Task]bool), added: make(map[string]*machine.Worker)}
		for _, step := range plan.Steps {
			checker.check(step)
		}
	})
}

type planCheck struct {
	t          *rapid.T
	d          *DataCentre
	round      Round
	aboveShare map[string]bool
	started    map[*machine.Task]bool
	added      map[string]*machine.Worker
}

func (c *planCheck) check(step PlacementStep) {
	if c.d.Out {
		c.t.Fatalf("step %+v in a data centre that is out", step)
	}
	switch s := step.(type) {
	case Start:
		c.checkStart(s)
	case Checkpoint:
		c.checkPreemption(s.Preemption, true)
	case Stop:
		c.checkPreemption(s.Preemption, true)
	case Throttle:
		if s.Beneficiary != "" {
			c.checkPreemption(s.Preemption, false)
		}
	case Refuse:
		if ImpossibleReason(s.Task, c.d.Workers.MinimumSize(s.Task), c.d.Workers.LargestCapacities()) == "" {
			c.t.Fatalf("refused a task that can run: %+v", s.Task)
		}
	}
}

func (c *planCheck) checkStart(s Start) {
	if c.started[s.Task] || s.Task.Phase != machine.TaskQueued {
		c.t.Fatalf("start of a task that is not queued or was started before: %+v", s.Task)
	}
	c.started[s.Task] = true
	if c.round.StartsLeft[s.Task.Team]--; c.round.StartsLeft[s.Task.Team] < 0 {
		c.t.Fatalf("team %s starts more tasks than it has left", s.Task.Team)
	}
	w := c.d.Workers.Worker(s.Worker)
	if !w.Admits(s.Task, c.round.Now) {
		c.t.Fatalf("worker %s (%s) does not admit %+v", w.ID, w.Health(), s.Task)
	}
	if w.FreeSlots() < 1 || w.FreeConnections() < s.Task.Connections || !s.Estimate.FitsIn(w.Free()) {
		c.t.Fatalf("worker %s has %+v, %d slots and %d connections free; placed %+v", w.ID, w.Free(), w.FreeSlots(), w.FreeConnections(), s.Task)
	}
	w.Place(s.Task, s.Estimate, c.round.Now)
}

func (c *planCheck) checkPreemption(p Preemption, ends bool) {
	if ends && !p.Task.Idempotent {
		c.t.Fatalf("ended the attempt of a non-idempotent task: %+v", p)
	}
	if p.Task.Urgent {
		c.t.Fatalf("urgent task was preempted: %+v", p)
	}
	beneficiary := c.beneficiary(p.Beneficiary)
	if beneficiary.Team != p.Task.Team && p.Use <= p.Fair {
		c.t.Fatalf("task of another team within its share was preempted: %+v", p)
	}
}

func (c *planCheck) beneficiary(id string) *machine.Task {
	for _, team := range c.d.Workers.backlog.byTeam {
		for _, queue := range []*taskQueue{&team.urgent, &team.normal} {
			for _, t := range queue.tasks {
				if t != nil && t.ID == id {
					return t
				}
			}
		}
	}
	c.t.Fatalf("preemption for %q, which is not queued", id)
	return nil
}

// TestPlacementHasNoSideEffects guards against planning that changes the state
// which it plans from.
func TestPlacementHasNoSideEffects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, round, tasks := drawDataCentre(t)
		first := fmt.Sprintf("%+v", stepTexts(d.Place(round)))
		if second := fmt.Sprintf("%+v", stepTexts(d.Place(round))); first != second {
			t.Fatalf("two plans from the same state differ:\n%s\n%s", first, second)
		}
		for _, task := range tasks {
			if task.Phase != machine.TaskQueued && task.Phase != machine.TaskRunning {
				t.Fatalf("planning changed a task to %s", task.Phase)
			}
		}
	})
}

func stepTexts(p PlacementPlan) []string {
	var list []string
	for _, s := range p.Steps {
		list = append(list, fmt.Sprintf("%T %+v", s, s))
	}
	return list
}

// TestUrgentTaskPreemptsTeamsAboveShare guards against urgent tasks that wait
// while another team is above its share.
func TestUrgentTaskPreemptsTeamsAboveShare(t *testing.T) {
	for _, kind := range []string{"checkpoint", "stop", "throttle"} {
		d, round := fullDataCentre(kind)
		urgent := &machine.Task{
			ID: "urgent", Team: "small", Service: "s", Urgent: true, Declared: machine.Resources{MilliCores: 4000, MemoryMB: 100},
			Phase: machine.TaskQueued, SubmittedAt: round.Now,
		}
		d.Workers.Backlog().Add(urgent)
		plan := d.Place(round)
		if len(plan.Reservations) != 1 {
			t.Errorf("%s: no worker is reserved: %v", kind, stepTexts(plan))
		}
		for _, s := range plan.Steps {
			switch s.(type) {
			case Checkpoint:
				if kind != "checkpoint" {
					t.Errorf("%s: unexpected step %T", kind, s)
				}
			case Stop:
				if kind != "stop" {
					t.Errorf("%s: unexpected step %T", kind, s)
				}
			case Throttle:
				if kind != "throttle" {
					t.Errorf("%s: unexpected step %T", kind, s)
				}
			}
		}
	}
}

// fullDataCentre returns a data centre that is filled by the tasks of one large
// team, which can be preempted by the given method.
func fullDataCentre(kind string) (*DataCentre, Round) {
	now := time.Unix(1000, 0)
	d := NewDataCentre("north", "west")
	round := Round{Now: now, Weights: map[string]int{"large": 1, "small": 1}, StartsLeft: map[string]int{"large": 100, "small": 100}}
	perWorker := 8
	if kind == "throttle" {
		perWorker = 4
	}
	for i := range 4 {
		w := d.Workers.AddWorker(fmt.Sprintf("w%d", i), "r0", machine.Resources{MilliCores: 16_000, MemoryMB: 16_000})
		for j := range perWorker {
			task := &machine.Task{
				ID: fmt.Sprintf("l%d-%d", i, j), Team: "large", Service: "s", Phase: machine.TaskQueued, Idempotent: kind != "throttle",
				Checkpoints: kind == "checkpoint", Declared: machine.Resources{MilliCores: int64(16_000 / perWorker), MemoryMB: 1000},
			}
			task.Assign(w.ID)
			d.Workers.Place(task, w.ID, now.Add(-time.Minute))
		}
	}
	return d, round
}

// TestNoPlacementInDataCentreThatIsOut guards invariant I5: nothing starts in a
// data centre that is out.
func TestNoPlacementInDataCentreThatIsOut(t *testing.T) {
	d, round := fullDataCentre("checkpoint")
	d.Out = true
	d.Workers.AddWorker("free", "r1", machine.Resources{MilliCores: 16_000, MemoryMB: 16_000})
	d.Workers.Backlog().Add(&machine.Task{ID: "t", Team: "small", Phase: machine.TaskQueued, Urgent: true})
	if plan := d.Place(round); len(plan.Steps) > 0 {
		t.Errorf("steps in a data centre that is out: %v", stepTexts(plan))
	}
}
