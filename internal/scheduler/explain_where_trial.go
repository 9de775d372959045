package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
	"github.com/crocusjunction/crocusjunction/internal/zone/placement"
)

// placementTrial places tasks on copies of workers, so that nothing changes.
type placementTrial struct {
	s       *Scheduler
	now     time.Time
	service string
	pool    *placement.Pool
	copies  map[string]*worker.Worker
	waits   *placement.Waits
	// team is what the tasks that were placed need, left how many may still be looked at.
	team machine.Resources
	left int
}

// whereSteps sets what would happen with the open tasks of a job if its turn were now.
func (s *Scheduler) whereSteps(a *Where, j *job.Job, now time.Time) {
	trial := &placementTrial{
		s: s, now: now, service: a.Service, copies: make(map[string]*worker.Worker), left: maxExplainedTasks,
		waits: s.place.waits.Copy(func(service string) placement.Prospects { return s.prospects(service, now) }),
	}
	var list []*worker.Worker
	if pool := s.pools(now)[a.Service]; pool != nil {
		for _, w := range pool.Workers() {
			c := *w
			trial.copies[w.ID] = &c
			list = append(list, &c)
		}
	}
	trial.pool = placement.NewPool(list, now)
	trial.pool.AvoidAwaited(trial.waits.Awaited(a.Service, now))
	j.EachOpenOccurrence(func(o *job.Occurrence) {
		for step := range o.Steps() {
			if o.OpenTasks(step) > 0 {
				a.Steps = append(a.Steps, trial.step(o, step))
			}
		}
	})
}

func (p *placementTrial) step(o *job.Occurrence, step int) WhereStep {
	spec := &o.Job.Spec.Steps[step]
	result := WhereStep{Occurrence: o.Number, Step: step, Open: o.OpenTasks(step)}
	tasks := o.Tasks(step)
	var startable []*job.Task
	for i := range tasks {
		if len(tasks[i].Runs) > 0 {
			result.Running++
		}
		if p.s.startable(&tasks[i], p.now) {
			startable = append(startable, &tasks[i])
		}
	}
	if !spec.Gang {
		startable = startable[:min(len(startable), p.left)]
	}
	allowed := p.s.allowedWorkers(o, step, p.now)
	switch {
	case !o.Ready(step):
		result.Blocked = fmt.Sprintf("waits for steps %v", spec.After)
	case len(startable) == 0 && p.left == 0:
		result.Blocked = fmt.Sprintf("not looked at: more than %d tasks", maxExplainedTasks)
	case len(startable) == 0 || spec.Gang && len(startable) < len(tasks):
		result.Blocked = "every open task has a run, waits after a failure or may still run since a takeover"
	case len(p.pool.Workers()) == 0:
		result.Blocked = "the service has no worker on which tasks may start"
		result.NoRoom = len(startable)
	case spec.Gang:
		p.gang(&result, tasks, allowed)
	default:
		p.tasks(&result, startable, allowed)
	}
	p.left = max(0, p.left-result.Looked)
	if result.Looked > 0 || len(p.pool.Workers()) == 0 {
		p.against(&result, o, step, allowed)
	}
	return result
}

// withinTeamLimit reports whether the team may use a further task, and sets the reason if
// not.
func (p *placementTrial) withinTeamLimit(result *WhereStep, t *job.Task, count int) bool {
	need := t.Spec().Need.Times(float64(count))
	if !p.s.withinTeamLimit(t.Occurrence.Job.Terms.Team, p.team.Plus(need)) {
		result.Blocked = "the team's limit"
		return false
	}
	return true
}

func (p *placementTrial) tasks(result *WhereStep, tasks []*job.Task, allowed func(*worker.Worker) bool) {
	for _, t := range tasks {
		if !p.withinTeamLimit(result, t, 1) {
			return
		}
		result.Looked++
		w := p.pool.Choose(t, allowed)
		if w == nil {
			result.NoRoom++
			continue
		}
		if d := p.waits.Task(p.pool, t, w, p.s.constraint(t.Occurrence.Job, allowed)); d.Verdict.Waits() {
			result.addWait(d, 1, p.now)
			continue
		}
		p.take(result, t, w)
	}
}

func (p *placementTrial) gang(result *WhereStep, tasks []job.Task, allowed func(*worker.Worker) bool) {
	if !p.withinTeamLimit(result, &tasks[0], len(tasks)) {
		return
	}
	result.Looked = len(tasks)
	chosen, ok := p.pool.ChooseGang(tasks, allowed)
	if !ok {
		result.NoRoom = len(tasks)
		return
	}
	if d := p.waits.Gang(p.pool, tasks, chosen, p.s.constraint(tasks[0].Occurrence.Job, allowed)); d.Verdict.Waits() {
		result.addWait(d, len(tasks), p.now)
		return
	}
	for i := range tasks {
		p.take(result, &tasks[i], chosen[i])
	}
}

// take lets the copy of a worker run a task.
func (p *placementTrial) take(result *WhereStep, t *job.Task, w *worker.Worker) {
	w.Add(&job.Run{Task: t, OrderedAt: p.now})
	p.team = p.team.Plus(t.Spec().Need)
	i := slices.IndexFunc(result.Starts, func(s WhereStart) bool { return s.Worker == w.ID })
	if i < 0 {
		i = len(result.Starts)
		result.Starts = append(result.Starts, WhereStart{Worker: w.ID, DataCentre: w.DataCentre, Rack: w.Rack()})
	}
	result.Starts[i].Tasks++
}

func (r *WhereStep) addWait(d placement.Decision, tasks int, now time.Time) {
	expected, ends := d.Expected.Milliseconds(), d.Until.Sub(now).Milliseconds()
	i := slices.IndexFunc(r.Waits, func(w WhereWait) bool { return w.Rack == d.Rack })
	if i < 0 {
		r.Waits = append(r.Waits, WhereWait{d.Rack, tasks, expected, ends, d.Gain.Milliseconds()})
		return
	}
	w := &r.Waits[i]
	w.Tasks += tasks
	w.ExpectedMS, w.EndsInMS = min(w.ExpectedMS, expected), max(w.EndsInMS, ends)
}

// against sets the reasons against the workers that would take no task of the step.
func (p *placementTrial) against(result *WhereStep, o *job.Occurrence, step int, allowed func(*worker.Worker) bool) {
	counts := make(map[WhereGroup]int)
	for _, w := range p.s.workers.all() {
		if slices.ContainsFunc(result.Starts, func(s WhereStart) bool { return s.Worker == w.ID }) {
			continue
		}
		g := WhereGroup{Service: w.Service, Reason: "serves another service"}
		if w.Service == p.service {
			if c := p.copies[w.ID]; c != nil {
				w = c
			}
			g.DataCentre, g.Rack, g.Reason = w.DataCentre, w.Rack(), p.reason(w, o, step, allowed)
		}
		counts[g]++
	}
	for g, n := range counts {
		g.Workers = n
		result.Against = append(result.Against, g)
	}
	slices.SortFunc(result.Against, func(a, b WhereGroup) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.Reason, b.Reason))
	})
}

// reason returns the first reason against a worker of the service.
func (p *placementTrial) reason(w *worker.Worker, o *job.Occurrence, step int, allowed func(*worker.Worker) bool) string {
	spec, now := &o.Job.Spec.Steps[step], p.now
	need, free := spec.CountedNeed(), w.Free()
	switch {
	case !w.Listed:
		return "not in the store's list of workers"
	case w.Silent:
		return "does not answer"
	case !w.Answered || !w.Recorded || !w.ClockKnown():
		return "has not reported to this scheduler yet"
	case w.Draining:
		return "drains"
	case w.Reserved:
		return "reserved for its upkeep or move"
	case p.s.dataCentresOut[w.DataCentre]:
		return "data centre out of service"
	case w.IsSetAside(now):
		return "set aside after failures"
	case !w.Usable(now):
		return "its entry or lease is not settled after an interruption"
	case !w.HasLabel(spec.Label):
		return "lacks the label " + spec.Label
	case !need.FitsIn(w.Capacity):
		return "too small for a task"
	case need.MilliCores > free.MilliCores:
		return "too few free cores"
	case need.MemoryMB > free.MemoryMB:
		return "too little free memory"
	case need.Accelerators > free.Accelerators:
		return "no free accelerator"
	case spec.MaxPerWorker > 0 && w.CountStep(o, step) >= spec.MaxPerWorker:
		return "has as many tasks of the step as a worker may"
	case !w.Admits(job.NotIsolated, now):
		return "kept for or used by a task that may crash its worker"
	case !allowed(w):
		return "no valid ticket of the advice service"
	}
	return "has room; others come first"
}
