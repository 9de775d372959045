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

// Times of placement.
const (
	// placeGap gathers events into one round. A round looks at every unfinished
	// job, which takes 1 to 2 µs of a whole core each, so that jobGap keeps rounds
	// below a quarter of a 0.4-core machine.
	placeGap = 8 * time.Millisecond
	jobGap   = 12 * time.Microsecond
	// placeAgain is when tasks that found no worker are looked at again, should
	// no event come before.
	placeAgain = 250 * time.Millisecond
	// copyLimit is the greatest age of the node's copies at which tasks start. It
	// is below the time after which nothing may start on a draining worker.
	copyLimit = 1800 * time.Millisecond
)

type placeState struct {
	dirty bool
	// nextAt is when the next round may run, againAt when it runs even if nothing
	// has changed, zero for never.
	nextAt, againAt time.Time
	noteAt          time.Time
}

// stepPlace runs a round of placement when something has changed.
func (s *Scheduler) stepPlace(now time.Time) {
	p := &s.place
	if !p.againAt.IsZero() && !now.Before(p.againAt) {
		p.dirty, p.againAt = true, time.Time{}
	}
	if !s.authorized(now) {
		return
	}
	if !p.dirty {
		if !p.againAt.IsZero() {
			s.wake(p.againAt)
		}
		return
	}
	if now.Before(p.nextAt) {
		s.wake(p.nextAt)
		return
	}
	p.nextAt = now.Add(placeGap + time.Duration(s.unfinish.len())*jobGap)
	if !s.copiesFresh(now) {
		p.nextAt = now.Add(placeAgain)
		s.wake(p.nextAt)
		return
	}
	p.dirty, p.againAt = false, time.Time{}
	if s.placeRound(now) {
		p.againAt = now.Add(placeAgain)
		s.wake(p.againAt)
	}
}

func (s *Scheduler) copiesFresh(now time.Time) bool {
	for part := range s.fresh {
		if s.fresh[part].Age(now) > copyLimit {
			return false
		}
	}
	return true
}

// pools groups the workers on which tasks may start by service.
func (s *Scheduler) pools(now time.Time) map[string]*placement.Pool {
	byService := make(map[string][]*worker.Worker)
	for _, w := range s.workers.all() {
		if w.Usable(now) && w.ClockKnown() && !s.out[w.Zone] {
			byService[w.Service] = append(byService[w.Service], w)
		}
	}
	pools := make(map[string]*placement.Pool, len(byService))
	for service, workers := range byService {
		pools[service] = placement.NewPool(workers, now)
	}
	return pools
}

// placeRound starts what fits and reports whether a task is left waiting.
func (s *Scheduler) placeRound(now time.Time) bool {
	pools := s.pools(now)
	left := false
	ranked := s.ranked(now)
	for _, service := range slices.Sorted(maps.Keys(ranked)) {
		pool := pools[service]
		if pool == nil {
			left = true
			continue
		}
		for _, candidate := range ranked[service] {
			if pool.Empty() {
				left = true
				break
			}
			if s.placeJob(candidate.job, pool, now) {
				left = true
			}
		}
	}
	return left
}

// placeJob starts a job's tasks and reports whether some are left waiting.
func (s *Scheduler) placeJob(j *job.Job, pool *placement.Pool, now time.Time) bool {
	left := false
	j.Open(func(o *job.Occurrence) {
		for step := range o.Steps() {
			if o.OpenTasks(step) > 0 && o.Ready(step) && s.placeStep(o, step, pool, now) {
				left = true
			}
		}
	})
	return left
}

func (s *Scheduler) placeStep(o *job.Occurrence, step int, pool *placement.Pool, now time.Time) bool {
	if o.Job.Spec.Steps[step].Gang {
		return s.placeGang(o, step, pool, now)
	}
	left := false
	allowed := s.allowedBy(o, step, now)
	tasks := o.Tasks(step)
	for i := range tasks {
		t := &tasks[i]
		if !s.startable(t, now) {
			left = left || !t.Done() && len(t.Runs) == 0
			continue
		}
		if !s.withinCap(o.Job.Terms.Team, t.Spec().Need) {
			return true
		}
		w := pool.Choose(t, allowed)
		if w == nil {
			s.seekAdvice(o, step, pool.Workers(), now)
			return true
		}
		s.start(t, w, t.NextRun(s.epochBase()), now)
	}
	return left
}

func anyWorker(*worker.Worker) bool { return true }

// startable reports whether a new run of a task may be ordered.
func (s *Scheduler) startable(t *job.Task, now time.Time) bool {
	if t.Done() || t.Unsettled || now.Before(t.NotBefore) {
		return false
	}
	return len(t.Runs) == 0 || s.copyHelps(t)
}

// mostRuns is the number of runs of a speculative task at a time.
const mostRuns = 2

// copyHelps reports whether a copy of a speculative task is likely to end
// before the run that it has, because the worker does not answer. Copies of
// runs that are only slow take room from waiting jobs.
func (s *Scheduler) copyHelps(t *job.Task) bool {
	spec := t.Spec()
	if !spec.Speculative || spec.Gang || spec.Lasting || len(t.Runs) >= mostRuns {
		return false
	}
	w := s.workers.get(t.Runs[0].Worker)
	return w == nil || w.Silent
}

// placeGang starts all members of a gang or none.
func (s *Scheduler) placeGang(o *job.Occurrence, step int, pool *placement.Pool, now time.Time) bool {
	tasks := o.Tasks(step)
	var need machine.Resources
	for i := range tasks {
		if !s.startable(&tasks[i], now) {
			return len(tasks[i].Runs) == 0
		}
		need = need.Plus(tasks[i].Spec().Need)
	}
	if !s.withinCap(o.Job.Terms.Team, need) {
		return true
	}
	chosen, ok := pool.ChooseGang(tasks, s.allowedBy(o, step, now))
	if !ok {
		s.seekAdvice(o, step, pool.Workers(), now)
		return true
	}
	number := o.GangRun(step, s.epochBase())
	for i := range tasks {
		tasks[i].LastRun = max(tasks[i].LastRun, number)
		s.start(&tasks[i], chosen[i], number, now)
	}
	return false
}
