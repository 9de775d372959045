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

// Times of moves between pools.
const (
	// planEvery is the pace of plans.
	planEvery = 100 * time.Millisecond
	// forecast is how far ahead arrivals are expected to go on as they did: a
	// machine takes longer than this to join a pool.
	forecast = 1500 * time.Millisecond
	// moveForget is when a move that the list of machines does not confirm is no
	// longer counted on.
	moveForget = 8 * time.Second
)

// moveState is one move that was ordered.
type moveState struct {
	pools.Move
	since    time.Time
	inFlight bool
	retryAt  time.Time
	// done is set when the service has confirmed the order.
	done bool
}

// stepMoves plans moves between pools and carries ordered ones on.
func (s *Scheduler) stepMoves(now time.Time) {
	if s.config == nil || len(s.config.Services()) == 0 {
		return
	}
	s.listMachines(now)
	if !s.dutiesAllowed(now) || s.duties.machines == nil {
		return
	}
	if now.Before(s.duties.notBefore) {
		s.wake(s.duties.notBefore)
		return
	}
	for _, name := range slices.Sorted(maps.Keys(s.duties.moves)) {
		s.carryMove(s.duties.moves[name], now)
	}
	if now.Before(s.duties.planAt) {
		s.wake(s.duties.planAt)
		return
	}
	s.duties.planAt = now.Add(planEvery)
	s.wake(s.duties.planAt)
	for _, m := range s.duties.planner.Plan(s.poolStates(now), now) {
		s.beginMove(m, now)
	}
}

// carryMove repeats an order without an answer and ends one that is visible.
func (s *Scheduler) carryMove(m *moveState, now time.Time) {
	known, ok := s.duties.machines[m.Machine]
	visible := ok && known.Pool == m.To && known.State == upkeep.MachineUp && s.duties.listedAt.After(m.since)
	switch {
	case m.done && (visible || now.Sub(m.since) > moveForget):
		delete(s.duties.moves, m.Machine)
	case m.done || m.inFlight:
	case now.Before(m.retryAt):
		s.wake(m.retryAt)
	default:
		m.inFlight = true
		s.act(OrderMove{Machine: m.Machine, Pool: m.To, Fence: s.fence(), NotAfter: s.election.authority.DutyUntil()})
	}
}

func (s *Scheduler) beginMove(m pools.Move, now time.Time) {
	known := s.duties.machines[m.Machine]
	if w := s.workers.get(known.Worker); w != nil {
		w.Reserved = true
	}
	s.note("machine moves", "machine", m.Machine, "from", m.From, "to", m.To, "worker", known.Worker)
	s.duties.moves[m.Machine] = &moveState{Move: m, since: now}
	s.carryMove(s.duties.moves[m.Machine], now)
}

// MoveAnswered is the answer to OrderMove.
type MoveAnswered struct {
	Machine, Pool string
	Fence         int64
	Outcome       DutyOutcome
	Refusal       upkeep.Refusal
}

// Apply implements Event.
func (e MoveAnswered) Apply(s *Scheduler, now time.Time) {
	m := s.duties.moves[e.Machine]
	if !s.leading || e.Fence != s.fence() || m == nil || m.To != e.Pool {
		return
	}
	known := s.duties.machines[e.Machine]
	m.inFlight = false
	switch e.Outcome {
	case DutyDone:
		m.done, m.since = true, now
		s.duties.listAt = now
	case DutyNotDone:
		s.note("move refused", "machine", e.Machine, "to", e.Pool, "reason", e.Refusal)
		if e.Refusal == upkeep.RefusedUnknown {
			s.duties.planner.Refuse(m.Move)
		}
		delete(s.duties.moves, e.Machine)
		s.release(known)
	case DutyUnknown:
		s.note("move without an answer", "machine", e.Machine, "to", e.Pool)
		m.retryAt = now.Add(dutyRetry)
	}
}

// poolStates describes every pool to the planner.
func (s *Scheduler) poolStates(now time.Time) []pools.Pool {
	byName := make(map[string]*pools.Pool)
	for name, service := range s.config.Services() {
		byName[name] = &pools.Pool{Name: name, Spare: service.Spare}
	}
	for _, m := range s.duties.moves {
		if p := byName[m.To]; p != nil {
			p.Arriving++
		}
	}
	inWave := s.waveMachines()
	for _, name := range slices.Sorted(maps.Keys(s.duties.machines)) {
		m := s.duties.machines[name]
		p := byName[m.Pool]
		if p == nil || m.State != upkeep.MachineUp || s.duties.moves[name] != nil {
			continue
		}
		w := s.workers.get(m.Worker)
		if !inWave[name] && s.counted(w, p.Spare, m, now) {
			p.Machines = append(p.Machines, pools.Machine{
				Name: name, DataCentre: m.DataCentre, Capacity: m.Capacity,
				Idle: w == nil || len(w.Runs()) == 0 && settled(w, now),
			})
		}
	}
	s.addDemand(byName, now)
	list := make([]pools.Pool, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		list = append(list, *byName[name])
	}
	return list
}

// counted reports whether a machine serves its pool or could.
func (s *Scheduler) counted(w *worker.Worker, spare bool, m upkeep.Machine, now time.Time) bool {
	if s.out[m.DataCentre] {
		return false
	}
	if spare {
		return true
	}
	return w != nil && w.Listed && !w.Silent && !w.Draining && !w.Aside(now)
}

// waveMachines are machines that a wave is about to take down.
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

// arrival is the room that the first tasks of an accepted job need.
type arrival struct {
	at   time.Time
	room machine.Resources
}

// noteArrival counts a job towards the demand that is to be expected.
func (s *Scheduler) noteArrival(j *job.Job, now time.Time) {
	if !j.Lasting() && !j.Ended() {
		s.duties.arrivals[s.serviceOf(j)] = append(s.duties.arrivals[s.serviceOf(j)], arrival{now, j.FirstRoom()})
	}
}

// expected returns what arrives in the time of forecast if arrivals go on. Recent
// ones weigh more, so that a pool shrinks soon after the end of its turn.
func (s *Scheduler) expected(service string, now time.Time) machine.Resources {
	list := s.duties.arrivals[service]
	list = slices.DeleteFunc(list, func(a arrival) bool { return now.Sub(a.at) > forecast })
	s.duties.arrivals[service] = list
	var sum machine.Resources
	for _, a := range list {
		weight := 2 * (1 - float64(now.Sub(a.at))/float64(forecast))
		sum = sum.Plus(a.room.Times(weight))
	}
	return sum
}

// addDemand adds up what runs and what could start now. Jobs that are late
// already do not draw machines: what they still earn is less than the price.
func (s *Scheduler) addDemand(byName map[string]*pools.Pool, now time.Time) {
	for _, w := range s.workers.all() {
		if p := byName[w.Service]; p != nil {
			p.Demand = p.Demand.Plus(w.InUse())
		}
	}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		byName[name].Demand = byName[name].Demand.Plus(s.expected(name, now))
	}
	for _, j := range s.unfinish.all() {
		p := byName[s.serviceOf(j)]
		if p == nil || s.rankJob(j, now).rank == rankLate {
			continue
		}
		j.Open(func(o *job.Occurrence) {
			for step := range o.Steps() {
				if o.OpenTasks(step) > 0 && o.Ready(step) {
					s.addWaiting(p, o, step, now)
				}
			}
		})
	}
}

func (s *Scheduler) addWaiting(p *pools.Pool, o *job.Occurrence, step int, now time.Time) {
	spec := &o.Job.Spec.Steps[step]
	if spec.Lasting && spec.MaxPerWorker > 0 {
		p.Least = max(p.Least, (spec.Count+spec.MaxPerWorker-1)/spec.MaxPerWorker)
	}
	tasks := o.Tasks(step)
	waiting := machine.Resources{}
	for i := range tasks {
		if s.startable(&tasks[i], now) {
			waiting = waiting.Plus(spec.Room())
			p.Stuck = p.Stuck || spec.Lasting
		}
	}
	if s.withinCap(o.Job.Terms.Team, spec.Need) {
		p.Demand = p.Demand.Plus(waiting)
	}
}
