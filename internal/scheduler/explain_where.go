package scheduler

import (
	"fmt"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine"
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
	_, queued := s.queueOf(j)
	a := Where{
		Job: j.ID, Queue: s.queueName(j), Service: s.serviceOf(j), QueueRemoved: !queued, ConfigVersion: s.config.Version,
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
