package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
	"github.com/crocusjunction/crocusjunction/internal/zone/placement"
)

// Intervals and limits of placement.
const (
	// placeInterval gathers events into one round. A round looks at every unfinished
	// job, which takes 1 to 2 µs of a whole core each; placeIntervalPerJob, added
	// for each of them, keeps rounds below a quarter of a 0.4-core machine.
	placeInterval       = 8 * time.Millisecond
	placeIntervalPerJob = 12 * time.Microsecond
	// placeRetryDelay is the time after which waiting tasks are tried again if no
	// event triggers a round before.
	placeRetryDelay = 250 * time.Millisecond
	// MaxCopyAge is the greatest age of the local copies of the store at which tasks
	// start. It is below the time after which nothing may start on a draining worker.
	MaxCopyAge = 1800 * time.Millisecond
)

// placeState schedules the rounds of placement.
type placeState struct {
	// roundNeeded is set when a change of the state may let a task start.
	roundNeeded bool
	// nextAt is when the next round may run. retryAt is when a round runs even if
	// nothing has changed, zero for never. logAt is when the pools are logged next.
	nextAt, retryAt time.Time
	logAt           time.Time
	// waits are the waits for room in a rack.
	waits *placement.Waits
}

// stepPlace runs a round of placement if something has changed since the last one
// and the local copies of the store are fresh enough.
func (s *Scheduler) stepPlace(now time.Time) {
	p := &s.place
	if !p.retryAt.IsZero() && !now.Before(p.retryAt) {
		p.roundNeeded, p.retryAt = true, time.Time{}
	}
	if !s.authorized(now) {
		return
	}
	if !p.roundNeeded {
		if !p.retryAt.IsZero() {
			s.requestTick(p.retryAt)
		}
		return
	}
	if now.Before(p.nextAt) {
		s.requestTick(p.nextAt)
		return
	}
	p.nextAt = now.Add(placeInterval + time.Duration(s.unfinished.len())*placeIntervalPerJob)
	if !s.copiesFresh(now) {
		p.nextAt = now.Add(placeRetryDelay)
		s.requestTick(p.nextAt)
		return
	}
	p.roundNeeded, p.retryAt = false, time.Time{}
	if s.placeRound(now) {
		p.retryAt = now.Add(placeRetryDelay)
		if end := p.waits.NextEnd(now); !end.IsZero() && end.Before(p.retryAt) {
			p.retryAt = end
		}
		s.requestTick(p.retryAt)
	}
}

// copiesFresh reports whether the local copies of all parts of the store are recent
// enough to start tasks.
func (s *Scheduler) copiesFresh(now time.Time) bool {
	for part := range s.fresh {
		if s.fresh[part].Age(now) > MaxCopyAge {
			return false
		}
	}
	return true
}

// pools groups the workers on which tasks may start by service. The clock of each
// must be known, because a start expires by the worker's clock.
func (s *Scheduler) pools(now time.Time) map[string]*placement.Pool {
	byService := make(map[string][]*worker.Worker)
	for _, w := range s.workers.all() {
		if w.Usable(now) && w.ClockKnown() && !s.dataCentresOut[w.DataCentre] {
			byService[w.Service] = append(byService[w.Service], w)
		}
	}
	pools := make(map[string]*placement.Pool, len(byService))
	for service, workers := range byService {
		pools[service] = placement.NewPool(workers, now)
	}
	return pools
}

// placeRound starts the tasks that fit and reports whether tasks are still waiting.
func (s *Scheduler) placeRound(now time.Time) bool {
	pools := s.pools(now)
	s.beginWaits(pools, now)
	waiting := false
	ranked := s.rankedJobs(now)
	clear(s.fairShare.contended)
	for _, service := range slices.Sorted(maps.Keys(ranked)) {
		pool := pools[service]
		if pool == nil {
			waiting = true
			continue
		}
		full, recordShortage := false, s.place.waits.Enabled()
		var waitingTeams teamSet
		jobs := ranked[service].candidates
		for i := range jobs {
			candidate := &jobs[i]
			full = full || pool.Empty()
			if full && !candidate.job.Fills() {
				if recordShortage && !candidate.job.TaskPlaced() {
					s.recordShortage(candidate.job, 0, pool)
					recordShortage = false
				}
				waiting = true
				waitingTeams.add(candidate)
				continue
			}
			s.subject = jobRecord(candidate.job.ID)
			before := s.fairShare.capacityMisses
			if s.placeJob(candidate.job, pool, now) {
				waiting = true
			}
			if s.fairShare.capacityMisses > before {
				waitingTeams.add(candidate)
			}
		}
		s.fairShare.recordContention(service, waitingTeams)
	}
	s.subject = Record{}
	return waiting
}

// placeJob starts a job's tasks that fit and reports whether tasks are still waiting.
func (s *Scheduler) placeJob(j *job.Job, pool *placement.Pool, now time.Time) bool {
	waiting := false
	j.EachOpenOccurrence(func(o *job.Occurrence) {
		for step := range o.Steps() {
			if o.OpenTasks(step) > 0 && o.Ready(step) && s.placeStep(o, step, pool, now) {
				waiting = true
			}
		}
	})
	return waiting
}

// placeStep starts the tasks of a step that fit and reports whether tasks are still
// waiting.
func (s *Scheduler) placeStep(o *job.Occurrence, step int, pool *placement.Pool, now time.Time) bool {
	if o.Job.Spec.Steps[step].Gang {
		return s.placeGang(o, step, pool, now)
	}
	waiting := false
	allowed := s.allowedWorkers(o, step, now)
	prefersRack := s.place.waits.Enabled() && o.Job.Spec.Steps[step].Rack != ""
	tasks := o.Tasks(step)
	// noWorker holds the degrees of isolation for which no worker is left. Tasks of a step
	// that need not be kept apart do not wait for those that must be.
	var noWorker [job.IsolationDegrees]bool
	for i := range tasks {
		t := &tasks[i]
		if !s.startable(t, now) {
			waiting = waiting || !t.Done() && len(t.Runs) == 0
			continue
		}
		if !s.withinTeamLimit(o.Job.Terms.Team, t.Spec().Need) {
			return true
		}
		isolation := t.Isolation()
		if noWorker[isolation] {
			waiting = true
			continue
		}
		w := pool.Choose(t, allowed)
		if w == nil {
			if isolation == job.NotIsolated {
				s.recordShortage(o.Job, step, pool)
			}
			s.requestAdvice(o, step, pool.Workers(), now)
			s.fairShare.capacityMisses++
			noWorker[isolation], waiting = true, true
			continue
		}
		if prefersRack && s.taskWaits(t, w, pool, allowed, now) {
			waiting = true
			continue
		}
		s.start(t, w, t.NextRun(s.epochBase()), now)
	}
	return waiting
}

// anyWorker is the filter of steps that may run on every worker.
func anyWorker(*worker.Worker) bool { return true }

// startable reports whether the task needs a new run and may get one now.
func (s *Scheduler) startable(t *job.Task, now time.Time) bool {
	if t.Done() || t.Unreconciled || now.Before(t.NotBefore) {
		return false
	}
	return len(t.Runs) == 0 || s.speculationHelps(t)
}

// maxSpeculativeRuns is the largest number of runs of a speculative task at a time.
const maxSpeculativeRuns = 2

// speculationHelps reports whether a second run of a speculative task is likely
// to end before the first, because the worker of the first does not answer. A
// second run beside one that is only slow would take capacity from waiting
// jobs.
func (s *Scheduler) speculationHelps(t *job.Task) bool {
	spec := t.Spec()
	if !spec.Speculative || spec.Gang || spec.LongRunning || len(t.Runs) >= maxSpeculativeRuns {
		return false
	}
	if t.Suspected() {
		// The worker may be silent because the task has crashed it.
		return false
	}
	w := s.workers.get(t.Runs[0].Worker)
	return w == nil || w.Silent
}

// placeGang starts all tasks of a gang step or none. It reports whether they are
// still waiting.
func (s *Scheduler) placeGang(o *job.Occurrence, step int, pool *placement.Pool, now time.Time) bool {
	tasks := o.Tasks(step)
	var need machine.Resources
	for i := range tasks {
		if !s.startable(&tasks[i], now) {
			return len(tasks[i].Runs) == 0
		}
		need = need.Plus(tasks[i].Spec().Need)
	}
	if !s.withinTeamLimit(o.Job.Terms.Team, need) {
		return true
	}
	allowed := s.allowedWorkers(o, step, now)
	chosen, ok := pool.ChooseGang(tasks, allowed)
	if !ok {
		s.recordShortage(o.Job, step, pool)
		s.fairShare.capacityMisses++
		s.requestAdvice(o, step, pool.Workers(), now)
		return true
	}
	if s.gangWaits(tasks, chosen, pool, allowed, now) {
		return true
	}
	number := o.NextGangRun(step, s.epochBase())
	for i := range tasks {
		tasks[i].LastRun = max(tasks[i].LastRun, number)
		s.start(&tasks[i], chosen[i], number, now)
	}
	return false
}
