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

// maxExplainedTasks bounds the tasks for which a query looks for workers. The control
// thread does nothing else meanwhile; a task takes 1.3 µs of a whole core among 55 workers
// (BenchmarkFirstRound).
const maxExplainedTasks = 256

// WhereQuery asks where the tasks of a job would start now, without starting them. It
// names a known job, or describes one that was not submitted. Reply must be buffered: the
// control thread must not block on it.
type WhereQuery struct {
	// ID is the id of a known job, empty for a job with the terms and the specification.
	ID    job.ID
	Terms job.Terms
	Spec  job.Spec
	Reply chan<- Where
}

// Where is the answer to a WhereQuery.
type Where struct {
	// Problem says why there is no answer, empty if there is one. The other fields are
	// then not set.
	Problem string `json:"problem,omitempty"`

	Job     job.ID    `json:"job,omitempty"`
	State   job.State `json:"state,omitempty"`
	Queue   string    `json:"queue"`
	Service string    `json:"service"`
	// QueueRemoved means that the configuration has no such queue any longer.
	QueueRemoved  bool  `json:"queue_removed,omitempty"`
	ConfigVersion int64 `json:"config_version"`

	Team WhereTeam `json:"team"`
	Pool WherePool `json:"pool"`
	// Rank is the job's class in the order of its service. JobsBefore are the jobs before
	// it, WaitingBefore those of them with tasks that wait.
	Rank          string      `json:"rank"`
	JobsBefore    int         `json:"jobs_before"`
	WaitingBefore int         `json:"waiting_jobs_before"`
	ObjectiveMS   int64       `json:"objective_ms"`
	LeftMS        int64       `json:"left_ms"`
	Steps         []WhereStep `json:"steps"`

	// The ages of the copies of the store on which the answer is based.
	ConfigAgeMS  int64 `json:"config_age_ms"`
	JobsAgeMS    int64 `json:"jobs_age_ms"`
	WorkersAgeMS int64 `json:"workers_age_ms"`
}

// WhereTeam is what a team uses. Factor is its usage as a multiple of its weighted share,
// within the bounds that count for the order.
type WhereTeam struct {
	Name   string            `json:"name"`
	InUse  machine.Resources `json:"in_use"`
	Limit  machine.Resources `json:"limit"`
	Weight float64           `json:"weight"`
	Factor float64           `json:"share_factor"`
}

// WherePool is the capacity of a service.
type WherePool struct {
	Workers  int               `json:"workers"`
	Usable   int               `json:"usable"`
	Capacity machine.Resources `json:"capacity"`
	InUse    machine.Resources `json:"in_use"`
}

// WhereStep is what would happen with the open tasks of a step.
type WhereStep struct {
	Occurrence int `json:"occurrence"`
	Step       int `json:"step"`
	// Open are the tasks that are not done, Running those with a run, Looked those for
	// which the answer was computed.
	Open    int `json:"open"`
	Running int `json:"running"`
	Looked  int `json:"looked_at"`
	// Blocked says why no task of the step can start anywhere, empty if some may.
	Blocked string `json:"blocked,omitempty"`
	// Starts are the workers that would take tasks now, NoRoom the tasks without one.
	Starts []WhereStart `json:"starts,omitempty"`
	NoRoom int          `json:"no_room"`
	Waits  []WhereWait  `json:"waits,omitempty"`
	// Against are the other workers, grouped by the first reason against each.
	Against []WhereGroup `json:"against,omitempty"`
}

// WhereStart is a worker that would take tasks.
type WhereStart struct {
	Worker     string `json:"worker"`
	DataCentre string `json:"datacentre"`
	Rack       string `json:"rack"`
	Tasks      int    `json:"tasks"`
}

// WhereWait is a wait for a rack of tasks that have room elsewhere.
type WhereWait struct {
	Rack  string `json:"rack"`
	Tasks int    `json:"tasks"`
	// The shortest expected wait of the tasks, and the latest end of their waits.
	ExpectedMS int64 `json:"expected_ms"`
	EndsInMS   int64 `json:"ends_in_ms"`
	GainMS     int64 `json:"gain_ms"`
}

// WhereGroup is a number of workers that would take no task for the same reason.
type WhereGroup struct {
	Service    string `json:"service"`
	DataCentre string `json:"datacentre,omitempty"`
	Rack       string `json:"rack,omitempty"`
	Workers    int    `json:"workers"`
	Reason     string `json:"reason"`
}

// Apply implements Event. It changes nothing, so that a failure needs no takeover.
func (q WhereQuery) Apply(s *Scheduler, now time.Time) {
	defer func() {
		if cause := recover(); cause != nil {
			q.Reply <- Where{Problem: fmt.Sprintf("unexpected failure: %v", cause)}
		}
	}()
	q.Reply <- s.where(q, now)
}

func (s *Scheduler) where(q WhereQuery, now time.Time) Where {
	switch {
	case !s.leading && s.election.holder.Fence == 0:
		return Where{Problem: "this node is not the scheduler, and no node is at present"}
	case !s.leading:
		return Where{Problem: fmt.Sprintf("this node is not the scheduler; ask %s", s.election.holder.Holder)}
	case s.config == nil:
		return Where{Problem: "no configuration has been read yet"}
	}
	j := s.jobs.get(q.ID)
	switch {
	case q.ID == "":
		j = job.New("", q.Terms, q.Spec, now.UnixMilli(), 0)
		j.StartLeading()
		j.OpenDue(now.UnixMilli())
	case j == nil:
		return Where{Problem: fmt.Sprintf("job: no job %s is known", q.ID)}
	case s.quarantine.contains(jobRecord(j.ID)):
		return Where{Problem: fmt.Sprintf("job: %s is in quarantine and does not run", q.ID)}
	case j.Ended():
		return Where{Problem: fmt.Sprintf("job: %s has ended as %s", q.ID, j.State())}
	}
	_, queued := s.config.Queue(j.Terms.Queue)
	a := Where{
		Job: j.ID, Queue: j.Terms.Queue, Service: s.serviceOf(j), QueueRemoved: !queued, ConfigVersion: s.config.Version,
		Team: s.whereTeam(j), ObjectiveMS: j.CompletionObjective().Milliseconds(),
		ConfigAgeMS: s.fresh[OperatorPart].Age(now).Milliseconds(), JobsAgeMS: s.fresh[JobsPart].Age(now).Milliseconds(),
		WorkersAgeMS: s.fresh[WorkersPart].Age(now).Milliseconds(),
	}
	if j.ID != "" {
		a.State = j.State()
	}
	a.LeftMS = a.ObjectiveMS - (now.UnixMilli() - j.AcceptedAt)
	if p := s.summarize(now)[a.Service]; p != nil {
		a.Pool = WherePool{p.workers, p.usable, p.capacity, p.inUse}
	}
	s.whereInOrder(&a, j, now)
	s.whereSteps(&a, j, now)
	return a
}

func (s *Scheduler) whereTeam(j *job.Job) WhereTeam {
	team := WhereTeam{Name: j.Terms.Team, InUse: s.usage[j.Terms.Team]}
	if t, ok := s.config.Team(j.Terms.Team); ok {
		team.Limit, team.Weight = t.UpperLimit, t.Weight
		// A team without unfinished jobs uses nothing.
		team.Factor = s.factorOf(s.serviceOf(j), t.Name)
	}
	return team
}

// factorOf returns the factor by which the position of a team's jobs changes in the order of
// a service.
func (s *Scheduler) factorOf(service, team string) float64 {
	if s.fairShare.contended[service] {
		return s.fairShare.ledger.Factor(team)
	}
	return max(minShareFactor, s.shareFactors(s.claims())[team])
}

var rankNames = [...]string{rankLongRunning: "long running", rankBegun: "begun", rankTimely: "timely", rankLate: "late"}

// whereInOrder sets the position of a job in the order of its service.
func (s *Scheduler) whereInOrder(a *Where, j *job.Job, now time.Time) {
	own := s.rankJob(j, now)
	if own.rank == rankTimely && j.Terms.Team != "" {
		own.sortKey *= a.Team.Factor
	}
	a.Rank = rankNames[own.rank]
	ranked := s.rankedJobs(now)[a.Service]
	if ranked == nil {
		return
	}
	for _, other := range ranked.candidates {
		if other.job == j || compareCandidates(other, own) > 0 {
			continue
		}
		a.JobsBefore++
		var n waitingTasks
		other.job.EachOpenOccurrence(func(o *job.Occurrence) { s.countWaiting(o, &n, now) })
		if n.workerCapacity+n.teamLimit+n.unreconciled > 0 {
			a.WaitingBefore++
		}
	}
}

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
