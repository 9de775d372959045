package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// poolLogInterval is the time between two log lines about a pool.
const poolLogInterval = time.Second

// waitingTasks counts the waiting tasks of a service by what they wait for: free
// capacity on a worker, the team's limit, or workers that an earlier scheduler
// may have placed them on.
type waitingTasks struct{ workerCapacity, teamLimit, unreconciled int }

// poolSummary holds the figures of a pool for one log line.
type poolSummary struct {
	workers, usable  int
	capacity, inUse  machine.Resources
	waiting          waitingTasks
	jobs, late, runs int
}

// stepPoolLog logs a summary of each pool once a second, so that a late job can be
// traced to a full pool, a team's limit or unavailable workers.
func (s *Scheduler) stepPoolLog(now time.Time) {
	if now.Before(s.place.logAt) {
		s.requestTick(s.place.logAt)
		return
	}
	s.place.logAt = now.Add(poolLogInterval)
	s.requestTick(s.place.logAt)
	pools := s.summarize(now)
	for _, service := range slices.Sorted(maps.Keys(pools)) {
		p := pools[service]
		s.log("pool", "service", service, "workers", p.workers, "usable", p.usable,
			"millicores", p.capacity.MilliCores, "millicores_in_use", p.inUse.MilliCores,
			"runs", p.runs, "jobs", p.jobs, "jobs_late", p.late,
			"waiting_for_room", p.waiting.workerCapacity, "waiting_for_cap", p.waiting.teamLimit, "waiting_for_takeover", p.waiting.unreconciled,
			"waiting_for_rack", s.place.waits.Count(service, now))
	}
}

func (s *Scheduler) summarize(now time.Time) map[string]*poolSummary {
	pools := make(map[string]*poolSummary)
	pool := func(service string) *poolSummary {
		if pools[service] == nil {
			pools[service] = &poolSummary{}
		}
		return pools[service]
	}
	for _, w := range s.workers.all() {
		p := pool(w.Service)
		p.workers++
		if w.Usable(now) && !s.dataCentresOut[w.DataCentre] {
			p.usable++
		}
		p.capacity = p.capacity.Plus(w.Capacity)
		p.inUse = p.inUse.Plus(w.InUse())
		p.runs += len(w.Runs())
	}
	for j := range s.unfinishedJobs() {
		p := pool(s.serviceOf(j))
		p.jobs++
		if s.rankJob(j, now).rank == rankLate {
			p.late++
		}
		j.EachOpenOccurrence(func(o *job.Occurrence) { s.countWaiting(o, &p.waiting, now) })
	}
	return pools
}

func (s *Scheduler) countWaiting(o *job.Occurrence, n *waitingTasks, now time.Time) {
	for step := range o.Steps() {
		if o.OpenTasks(step) == 0 || !o.Ready(step) {
			continue
		}
		tasks := o.Tasks(step)
		for i := range tasks {
			switch t := &tasks[i]; {
			case t.Unreconciled:
				n.unreconciled++
			case !s.startable(t, now):
			case !s.withinTeamLimit(o.Job.Terms.Team, t.Spec().Need):
				n.teamLimit++
			default:
				n.workerCapacity++
			}
		}
	}
}
