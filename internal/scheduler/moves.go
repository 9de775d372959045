package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/machine/pools"
	"github.com/crocusjunction/crocusjunction/internal/machine/upkeep"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// Intervals and timeouts of moves between pools.
const (
	// planInterval is the time between two plans.
	planInterval = 100 * time.Millisecond
	// forecastWindow is how far ahead arrivals are assumed to continue at their
	// recent rate. A machine takes longer than this to join a pool.
	forecastWindow = 1500 * time.Millisecond
	// moveConfirmTimeout is how long an accepted move counts as under way while the
	// list of machines does not show it.
	moveConfirmTimeout = 8 * time.Second
)

// moveState is one planned move until the list of machines shows it.
type moveState struct {
	pools.Move
	since    time.Time
	inFlight bool
	retryAt  time.Time
	// done is set when the machines service has confirmed the order.
	done bool
}

// stepMoves advances the moves under way and plans new ones.
func (s *Scheduler) stepMoves(now time.Time) {
	if s.config == nil || len(s.config.Services()) == 0 {
		return
	}
	s.listMachines(now)
	if !s.machineOpsAllowed(now) || s.machineOps.machines == nil {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(s.machineOps.moves)) {
		s.advanceMove(s.machineOps.moves[name], now)
	}
	if now.Before(s.machineOps.planAt) {
		s.requestTick(s.machineOps.planAt)
		return
	}
	s.machineOps.planAt = now.Add(planInterval)
	s.requestTick(s.machineOps.planAt)
	for _, m := range s.machineOps.planner.Plan(s.poolStates(now), now) {
		s.beginMove(m, now)
	}
}

// advanceMove sends the order of a move and repeats it if it was not answered. It
// removes a confirmed move once the list of machines shows the machine in its new
// pool or moveConfirmTimeout has passed.
func (s *Scheduler) advanceMove(m *moveState, now time.Time) {
	listed, ok := s.machineOps.machines[m.Machine]
	visible := ok && listed.Pool == m.To && listed.State == upkeep.MachineUp && s.machineOps.listedAt.After(m.since)
	switch {
	case m.done && (visible || now.Sub(m.since) > moveConfirmTimeout):
		delete(s.machineOps.moves, m.Machine)
	case m.done || m.inFlight:
	case now.Before(m.retryAt):
		s.requestTick(m.retryAt)
	case s.mayOrderMachine(MachineOrder{Machine: m.Machine, Pool: m.To}, now):
		m.inFlight = true
		s.act(OrderMove{Machine: m.Machine, Pool: m.To, Fence: s.fence(), NotAfter: s.election.authority.MachineOpsUntil()})
	}
}

// beginMove reserves the machine's worker and orders the move.
func (s *Scheduler) beginMove(m pools.Move, now time.Time) {
	listed := s.machineOps.machines[m.Machine]
	if w := s.workers.get(listed.Worker); w != nil {
		w.Reserved = true
	}
	s.log("machine moves", "machine", m.Machine, "from", m.From, "to", m.To, "worker", listed.Worker)
	s.machineOps.moves[m.Machine] = &moveState{Move: m, since: now}
	s.advanceMove(s.machineOps.moves[m.Machine], now)
}

// MoveAnswered is the result of OrderMove.
type MoveAnswered struct {
	Machine, Pool string
	Fence         int64
	Outcome       MachineOpOutcome
	Refusal       upkeep.Refusal
}

// Apply implements Event.
func (e MoveAnswered) Apply(s *Scheduler, now time.Time) {
	m := s.machineOps.moves[e.Machine]
	if !s.leading || e.Fence != s.fence() || m == nil || m.To != e.Pool {
		return
	}
	listed := s.machineOps.machines[e.Machine]
	m.inFlight = false
	switch e.Outcome {
	case MachineOpDone:
		m.done, m.since = true, now
		s.machineOps.listAt = now
	case MachineOpNotDone:
		s.dropMachineOrder(e.Machine)
		s.log("move refused", "machine", e.Machine, "to", e.Pool, "reason", e.Refusal)
		if e.Refusal == upkeep.RefusedUnknown {
			s.machineOps.planner.RecordRefusal(m.Move)
		}
		delete(s.machineOps.moves, e.Machine)
		s.unreserve(listed)
	case MachineOpUnknown:
		s.log("move without an answer", "machine", e.Machine, "to", e.Pool)
		m.retryAt = now.Add(machineOpRetryDelay)
	}
}

// poolStates returns the state of every pool for the planner.
func (s *Scheduler) poolStates(now time.Time) []pools.Pool {
	byName := make(map[string]*pools.Pool)
	for name, service := range s.config.Services() {
		byName[name] = &pools.Pool{Name: name, Spare: service.Spare}
	}
	for _, m := range s.machineOps.moves {
		if p := byName[m.To]; p != nil {
			p.Arriving++
		}
	}
	inWave := s.waveMachines()
	for _, name := range slices.Sorted(maps.Keys(s.machineOps.machines)) {
		m := s.machineOps.machines[name]
		p := byName[m.Pool]
		if p == nil || s.machineOps.moves[name] != nil {
			continue
		}
		if m.State == upkeep.MachineMoving {
			// An earlier scheduler has ordered this move.
			p.Arriving++
		}
		if m.State != upkeep.MachineUp {
			continue
		}
		w := s.workers.get(m.Worker)
		if !inWave[name] && s.countsInPool(w, p.Spare, m, now) {
			p.Machines = append(p.Machines, pools.Machine{
				Name: name, DataCentre: m.DataCentre, Capacity: m.Capacity,
				Idle: !s.heldBack(name, now) && (w == nil || len(w.Runs()) == 0 && runsKnown(w, now) && !holdsEnds(w)),
			})
		}
	}
	s.addDemand(byName, now)
	s.addForecast(byName, now)
	list := make([]pools.Pool, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		list = append(list, *byName[name])
	}
	return list
}

// countsInPool reports whether a machine adds to its pool's capacity: it is a spare
// or has a worker that may run tasks.
func (s *Scheduler) countsInPool(w *worker.Worker, spare bool, m upkeep.Machine, now time.Time) bool {
	if s.dataCentresOut[m.DataCentre] {
		return false
	}
	if spare {
		return true
	}
	return w != nil && w.Listed && !w.Silent && !w.Draining && !w.IsSetAside(now)
}

// waveMachines returns the machines that a wave is about to take down.
func (s *Scheduler) waveMachines() map[string]bool {
	in := make(map[string]bool)
	for _, w := range s.waves.all() {
		for _, m := range w.Members {
			if m.Phase == upkeep.Draining || m.Phase == upkeep.Ordered {
				in[m.Name] = true
			}
		}
	}
	return in
}

// arrival is an accepted job with the resources that its first tasks need.
type arrival struct {
	at        time.Time
	queue     string
	resources machine.Resources
}

// recordArrival adds a job to the arrivals from which expectedDemand extrapolates.
func (s *Scheduler) recordArrival(j *job.Job, now time.Time) {
	if !j.LongRunning() && !j.Ended() {
		s.machineOps.arrivals[s.serviceOf(j)] = append(s.machineOps.arrivals[s.serviceOf(j)], arrival{now, s.queueName(j), j.InitialNeed()})
		s.recordWork(j, now)
	}
}

// expectedDemand returns the resources that jobs arriving within forecastWindow will
// need if arrivals continue at their recent rate. Newer arrivals weigh more, so
// that a pool shrinks soon after a burst has ended. Arrivals that the cycle of their
// queue led to expect do not count, because the cycle shows how they continue.
func (s *Scheduler) expectedDemand(service string, now time.Time) machine.Resources {
	recent := s.machineOps.arrivals[service]
	recent = slices.DeleteFunc(recent, func(a arrival) bool { return now.Sub(a.at) > forecastWindow })
	s.machineOps.arrivals[service] = recent
	var sum machine.Resources
	for _, a := range recent {
		weight := 2 * (1 - float64(now.Sub(a.at))/float64(forecastWindow))
		sum = sum.Plus(a.resources.Times(weight * s.turns.forecaster.Unexpected(a.queue)))
	}
	return sum
}

// addDemand adds to each pool the demand of its runs, of expected arrivals and
// of tasks that could start now. Late jobs are not counted, because completing
// them is worth less than the move of a machine costs.
func (s *Scheduler) addDemand(byName map[string]*pools.Pool, now time.Time) {
	for _, w := range s.workers.all() {
		if p := byName[w.Service]; p != nil {
			p.Demand = p.Demand.Plus(w.InUse())
		}
	}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		byName[name].Demand = byName[name].Demand.Plus(s.expectedDemand(name, now))
	}
	for j := range s.unfinishedJobs() {
		p := byName[s.serviceOf(j)]
		if p == nil || s.rankJob(j, now).rank == rankLate {
			continue
		}
		j.EachOpenOccurrence(func(o *job.Occurrence) {
			for step := range o.Steps() {
				if o.OpenTasks(step) > 0 && o.Ready(step) {
					s.addWaiting(p, o, step, now)
				}
			}
		})
	}
}

// addWaiting adds the waiting tasks of a step to a pool's demand, and the least
// number of machines that the step needs.
func (s *Scheduler) addWaiting(p *pools.Pool, o *job.Occurrence, step int, now time.Time) {
	spec := &o.Job.Spec.Steps[step]
	if spec.LongRunning && spec.MaxPerWorker > 0 {
		p.MinMachines = max(p.MinMachines, (spec.Count+spec.MaxPerWorker-1)/spec.MaxPerWorker)
	}
	tasks := o.Tasks(step)
	waiting := machine.Resources{}
	for i := range tasks {
		if s.startable(&tasks[i], now) {
			waiting = waiting.Plus(spec.CountedNeed())
			p.HasBlockedTask = p.HasBlockedTask || spec.LongRunning
		}
	}
	if s.withinTeamLimit(o.Job.Terms.Team, spec.Need) {
		p.Demand = p.Demand.Plus(waiting)
	}
}
