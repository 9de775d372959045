package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/admission"
	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine/upkeep"
)

// serviceLoad collects the capacity of a service and the work for it.
type serviceLoad struct {
	supply admission.Supply
	// inUse are the millicores of running tasks, unused those on which tasks can start.
	inUse, unused int64
	// inUseOf are the millicores of running tasks by team, without long-running ones.
	inUseOf map[string]int64
	// queued are the millicores of tasks that could start but for capacity or their team's
	// limit, queuedOf those of each team.
	queued   int64
	queuedOf map[string]int64
	loads    map[loadKey]admission.Load
	// work is the work of all loads, timelyWork that of the timelyJobs jobs that can be on
	// time and have not begun.
	work, timelyWork float64
	timelyJobs       int
	// horizon is the shortest objective of the service's queues, 0 if it has none: work
	// that can be done within it delays nobody.
	horizon time.Duration
}

type loadKey struct {
	team     string
	priority int
}

func compareLoadKeys(a, b loadKey) int {
	return cmp.Or(cmp.Compare(a.team, b.team), cmp.Compare(a.priority, b.priority))
}

// exceededRooms returns the rooms of the services that cannot do their work within the
// shortest objective of their queues.
func (s *Scheduler) exceededRooms(now time.Time) map[string]admission.Room {
	services, spare := s.serviceLoads(now)
	rooms := make(map[string]admission.Room)
	for service, l := range services {
		if l.horizon == 0 || !s.tasksWait(l) {
			continue
		}
		supply := l.supply
		supply.Arrivals = mergeArrivals(append(elsewhere(services, service, spare), supply.Arrivals...))
		meanWork := l.timelyWork / float64(max(1, l.timelyJobs))
		if room, exceeded := admission.NewRoom(supply, l.inUse, meanWork, s.loadsWithRates(l), l.horizon); exceeded {
			rooms[service] = room
		}
	}
	return rooms
}

// loadsWithRates returns the loads of a service with what their teams' upper limits leave
// for it.
func (s *Scheduler) loadsWithRates(l *serviceLoad) []admission.Load {
	loads := make([]admission.Load, 0, len(l.loads))
	for _, key := range slices.SortedFunc(maps.Keys(l.loads), compareLoadKeys) {
		load := l.loads[key]
		if team, ok := s.config.Team(load.Team); ok && team.UpperLimit.MilliCores > 0 {
			otherUse := s.usage[load.Team].MilliCores - l.inUseOf[load.Team]
			load.Rate = max(1, team.UpperLimit.MilliCores-max(0, otherUse))
		}
		loads = append(loads, load)
	}
	return loads
}

// serviceLoads returns the capacity of all services and the work for them, and the
// millicores of spare machines.
func (s *Scheduler) serviceLoads(now time.Time) (services map[string]*serviceLoad, spare int64) {
	services = make(map[string]*serviceLoad)
	for name, service := range s.config.Services() {
		if !service.Spare {
			services[name] = &serviceLoad{inUseOf: make(map[string]int64), queuedOf: make(map[string]int64), loads: make(map[loadKey]admission.Load)}
		}
	}
	for _, q := range s.config.Queues() {
		if l := services[q.Service]; l != nil && (l.horizon == 0 || q.Objective < l.horizon) {
			l.horizon = q.Objective
		}
	}
	s.addWorkers(services, now)
	spare = s.addMachines(services, now)
	for j := range s.unfinishedJobs() {
		l := services[s.serviceOf(j)]
		if l != nil && !j.LongRunning() && l.addJob(j, s.rankJob(j, now).rank, now) {
			s.addQueued(l, j, now)
		}
	}
	return services, spare
}

// addQueued adds the tasks of a job that could start.
func (s *Scheduler) addQueued(l *serviceLoad, j *job.Job, now time.Time) {
	j.EachOpenOccurrence(func(o *job.Occurrence) {
		for step := range o.Steps() {
			if o.OpenTasks(step) == 0 || !o.Ready(step) {
				continue
			}
			tasks := o.Tasks(step)
			for i := range tasks {
				if s.startable(&tasks[i], now) {
					need := j.Spec.Steps[step].CountedNeed().MilliCores
					l.queued += need
					l.queuedOf[j.Terms.Team] += need
				}
			}
		}
	})
}

// tasksWait reports whether tasks of a service wait: those that could start need more than
// the service's unused capacity, or those of a team more than is left of its limit.
func (s *Scheduler) tasksWait(l *serviceLoad) bool {
	if l.queued > l.unused {
		return true
	}
	for name, queued := range l.queuedOf {
		team, ok := s.config.Team(name)
		if ok && team.UpperLimit.MilliCores > 0 && queued > team.UpperLimit.MilliCores-s.usage[name].MilliCores {
			return true
		}
	}
	return false
}

// addJob adds the work of a job, and reports whether the job can still be of use. If not,
// only its running tasks count.
func (l *serviceLoad) addJob(j *job.Job, rank rank, now time.Time) (useful bool) {
	begun, waiting := j.OpenWork(now)
	timely, late := 0.0, 0.0
	useful = true
	switch {
	case rank == rankBegun:
		begun += waiting
	case rank == rankTimely:
		timely = waiting
	case now.UnixMilli()-j.AcceptedAt+j.RemainingCriticalPath(now).Milliseconds() > lateFactor*j.CompletionObjective().Milliseconds():
		useful = false
	default:
		late = waiting
	}
	if timely > 0 {
		l.timelyWork, l.timelyJobs = l.timelyWork+timely, l.timelyJobs+1
	}
	key := loadKey{j.Terms.Team, j.Terms.Priority}
	load := l.loads[key]
	load.Team, load.Priority = key.team, key.priority
	load.Begun, load.Timely, load.Late = load.Begun+begun, load.Timely+timely, load.Late+late
	l.loads[key] = load
	l.work += begun + timely + late
	return useful
}

// elsewhere returns the capacity that a service can get from the rest of the fleet: spare
// machines and what is not in use within joinTime, and what other services use when their
// work is done. No further jobs are assumed to come there, as for the service itself.
func elsewhere(services map[string]*serviceLoad, service string, spare int64) []admission.Arrival {
	arrivals := []admission.Arrival{{MilliCores: spare, In: joinTime}}
	for name, l := range services {
		if name != service && l.supply.Up > 0 {
			unused := min(l.unused, l.supply.Up)
			own := admission.Supply{Up: l.supply.Up}
			arrivals = append(arrivals, admission.Arrival{MilliCores: unused, In: joinTime},
				admission.Arrival{MilliCores: l.supply.Up - unused, In: joinTime + own.Time(l.work)})
		}
	}
	return arrivals
}

// addWorkers adds the capacity on which tasks can start now.
func (s *Scheduler) addWorkers(services map[string]*serviceLoad, now time.Time) {
	for _, w := range s.workers.all() {
		l := services[w.Service]
		if l == nil || !w.Usable(now) || s.dataCentresOut[w.DataCentre] {
			continue
		}
		l.supply.Up += w.Capacity.MilliCores
		l.inUse += w.InUse().MilliCores
		l.unused += max(0, w.Free().MilliCores)
		for _, r := range w.Runs() {
			need := r.Task.Spec().CountedNeed().MilliCores
			if r.Task.Spec().LongRunning {
				l.supply.Up -= need
			} else {
				l.inUseOf[r.Task.Occurrence.Job.Terms.Team] += need
			}
		}
	}
	for _, l := range services {
		l.supply.Up = max(0, l.supply.Up)
	}
}

// addMachines adds the machines on their way to the services, and returns the millicores
// of spare ones.
func (s *Scheduler) addMachines(services map[string]*serviceLoad, now time.Time) (spare int64) {
	for name, m := range s.machineOps.machines {
		if s.dataCentresOut[m.DataCentre] {
			continue
		}
		pool, in, arriving := s.arrivalOf(name, m, now)
		if service, ok := s.config.Service(pool); ok && service.Spare {
			spare += m.Capacity.MilliCores
		} else if l := services[pool]; l != nil && arriving {
			l.supply.Arrivals = append(l.supply.Arrivals, admission.Arrival{MilliCores: m.Capacity.MilliCores, In: in})
		}
	}
	return spare
}

// arrivalOf returns the pool that a machine is in or joins, whether it does not serve
// there yet, and when it will.
func (s *Scheduler) arrivalOf(name string, m upkeep.Machine, now time.Time) (pool string, in time.Duration, arriving bool) {
	if move := s.machineOps.moves[name]; move != nil {
		return move.To, max(0, joinTime-now.Sub(move.since)), true
	}
	switch m.State {
	case upkeep.MachineMoving:
		return m.Pool, joinTime, true
	case upkeep.MachineUp:
		// The worker of a machine that has just joined is not listed yet.
		return m.Pool, joinTime, m.Worker == "" || s.workers.get(m.Worker) == nil
	}
	return "", 0, false
}

// mergeArrivals joins the arrivals of each arrivalStep, to bound the record's size, at
// the time of the earliest.
func mergeArrivals(list []admission.Arrival) []admission.Arrival {
	const arrivalStep = 500 * time.Millisecond
	slices.SortFunc(list, func(a, b admission.Arrival) int { return cmp.Compare(a.In, b.In) })
	var merged []admission.Arrival
	for _, a := range list {
		if a.MilliCores <= 0 {
			continue
		}
		if last := len(merged) - 1; last >= 0 && a.In-merged[last].In < arrivalStep {
			merged[last].MilliCores += a.MilliCores
			continue
		}
		merged = append(merged, a)
	}
	return merged
}
