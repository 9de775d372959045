package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// poolNoteEvery is the pace of the log lines that sum up each pool.
const poolNoteEvery = time.Second

// waitingTasks counts the tasks of a service that could start and do not, by
// what keeps them back.
type waitingTasks struct{ room, cap, unsettled int }

// poolSummary is what a log line says about a pool.
type poolSummary struct {
	workers, usable  int
	capacity, inUse  machine.Resources
	waiting          waitingTasks
	jobs, late, runs int
}

// stepPoolNote sums up each pool once a second, so that a late job can be
// traced to a full pool, a team's limit or workers that are away.
func (s *Scheduler) stepPoolNote(now time.Time) {
	if now.Before(s.place.noteAt) {
		s.wake(s.place.noteAt)
		return
	}
	s.place.noteAt = now.Add(poolNoteEvery)
	s.wake(s.place.noteAt)
	pools := s.summarize(now)
	for _, service := range slices.Sorted(maps.Keys(pools)) {
		p := pools[service]
		s.note("pool", "service", service, "workers", p.workers, "usable", p.usable,
			"millicores", p.capacity.MilliCores, "millicores_in_use", p.inUse.MilliCores,
			"runs", p.runs, "jobs", p.jobs, "jobs_late", p.late,
			"waiting_for_room", p.waiting.room, "waiting_for_cap", p.waiting.cap, "waiting_for_takeover", p.waiting.unsettled)
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
		if w.Usable(now) && !s.out[w.Zone] {
			p.usable++
		}
		p.capacity = p.capacity.Plus(w.Capacity)
		p.inUse = p.inUse.Plus(w.InUse())
		p.runs += len(w.Runs())
	}
	for _, j := range s.unfinish.all() {
		p := pool(s.serviceOf(j))
		p.jobs++
		if s.rankJob(j, now).rank == rankLate {
			p.late++
		}
		j.Open(func(o *job.Occurrence) { s.countWaiting(o, &p.waiting, now) })
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
			case t.Unsettled:
				n.unsettled++
			case !s.startable(t, now):
			case !s.withinCap(o.Job.Terms.Team, t.Spec().Need):
				n.cap++
			default:
				n.room++
			}
		}
	}
}
