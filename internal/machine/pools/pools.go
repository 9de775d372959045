// Package pools decides which machines move between pools. Demand for one
// service rises to several times its mean for seconds while the other services
// are nearly idle; machines in the spare pool are switched off and cost
// nothing. The package does no I/O and reads no clock.
package pools

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// Bounds of a plan.
const (
	// minPoolMachines is the number of machines that a pool keeps, so that some
	// remain after the loss of one machine or of a rack, and small jobs start
	// immediately.
	minPoolMachines = 3
	// usableFraction is the part of a machine that tasks of mixed sizes use in
	// practice.
	usableFraction = 0.85
	// donateDelay is how long a pool must have had excess machines before one
	// moves to a pool that lacks some.
	donateDelay = 300 * time.Millisecond
	// parkDelay is how long a pool must have had excess machines before one is
	// switched off. Switching a machine off and on takes two moves, which cost
	// as much as 2.3 s of a running machine. Pools are usually idle for several
	// times 2.3 s between peaks of demand.
	parkDelay = time.Second
)

// Machine is a machine of a pool that is up.
type Machine struct {
	Name, DataCentre string
	Capacity         machine.Resources
	// Idle means that nothing runs on the machine, so that it may move
	// immediately.
	Idle bool
}

// Pool is the state of a pool as far as a plan depends on it.
type Pool struct {
	Name string
	// Spare means that the machines of the pool are switched off.
	Spare bool
	// Demand is the total need of the running tasks, of the expected arrivals and
	// of the tasks that could start now. Waiting tasks of late jobs do not count.
	Demand machine.Resources
	// MinMachines is the minimum number of machines that long-running tasks need.
	MinMachines int
	// HasBlockedTask means that the constraints of a long-running task exclude
	// every machine of the pool, so that it waits for another one whatever the
	// demand is.
	HasBlockedTask bool
	// Machines are the machines that are up.
	Machines []Machine
	// Arriving is the number of machines that are moving into the pool.
	Arriving int
}

// Move moves one machine between pools.
type Move struct{ Machine, From, To string }

// Planner plans moves. It records since when each pool has had excess machines.
type Planner struct {
	excessSince map[string]time.Time
	// refused holds the machines that a pool rejected, as moves without From.
	refused map[Move]bool
}

// NewPlanner returns a planner without history.
func NewPlanner() *Planner {
	return &Planner{excessSince: make(map[string]time.Time), refused: make(map[Move]bool)}
}

// RecordRefusal records that a pool rejected a machine, so that the move is not
// planned again.
func (p *Planner) RecordRefusal(m Move) { p.refused[Move{Machine: m.Machine, To: m.To}] = true }

// poolState is the working state of a pool while a plan is computed.
type poolState struct {
	*Pool
	// wanted is the number of machines that the pool needs, supply the number
	// that are up in it or are moving into it.
	wanted, supply int
	// idle are the idle machines that are still in the pool. Those in the data centres
	// where the pool has the most machines come first once idleSorted is set.
	idle       []Machine
	idleSorted bool
}

// Plan returns the moves to order now. Pools that lack the most machines come
// first.
func (p *Planner) Plan(pools []Pool, now time.Time) []Move {
	states := make([]*poolState, len(pools))
	for i := range pools {
		states[i] = newPoolState(&pools[i], pools)
		p.trackExcess(states[i], now)
	}
	slices.SortFunc(states, func(a, b *poolState) int {
		return cmp.Or(cmp.Compare(b.wanted-b.supply, a.wanted-a.supply), cmp.Compare(a.Name, b.Name))
	})
	var moves []Move
	for _, recipient := range states {
		for !recipient.Spare && recipient.supply < recipient.wanted {
			m, ok := p.planMoveTo(states, recipient, now)
			if !ok {
				break
			}
			moves = append(moves, m)
		}
	}
	return append(moves, p.parkExcess(states, now)...)
}

func newPoolState(pool *Pool, all []Pool) *poolState {
	s := &poolState{Pool: pool, supply: len(pool.Machines) + pool.Arriving}
	for _, m := range pool.Machines {
		if m.Idle {
			s.idle = append(s.idle, m)
		}
	}
	if !pool.Spare {
		s.wanted = max(minPoolMachines, pool.MinMachines, machinesFor(pool.Demand, meanCapacity(all)))
		if pool.HasBlockedTask && pool.Arriving == 0 {
			s.wanted = max(s.wanted, s.supply+1)
		}
	}
	return s
}

// meanCapacity returns the mean capacity of the machines of all pools.
func meanCapacity(all []Pool) machine.Resources {
	var sum machine.Resources
	n := int64(0)
	for _, p := range all {
		for _, m := range p.Machines {
			sum = sum.Plus(m.Capacity)
			n++
		}
	}
	if n == 0 {
		return machine.Resources{}
	}
	return machine.Resources{MilliCores: sum.MilliCores / n, MemoryMB: sum.MemoryMB / n, Accelerators: sum.Accelerators / n}
}

func machinesFor(demand, capacity machine.Resources) int {
	n := 0
	for _, dimension := range [][2]int64{
		{demand.MilliCores, capacity.MilliCores}, {demand.MemoryMB, capacity.MemoryMB}, {demand.Accelerators, capacity.Accelerators},
	} {
		if dimension[0] <= 0 || dimension[1] <= 0 {
			continue
		}
		usable := int64(float64(dimension[1]) * usableFraction)
		n = max(n, int((dimension[0]+usable-1)/max(usable, 1)))
	}
	return n
}

func (p *Planner) trackExcess(s *poolState, now time.Time) {
	if s.Spare || s.supply <= s.wanted {
		delete(p.excessSince, s.Name)
		return
	}
	if _, known := p.excessSince[s.Name]; !known {
		p.excessSince[s.Name] = now
	}
}

// hasExcess reports whether a pool has had excess machines for at least
// duration.
func (p *Planner) hasExcess(s *poolState, now time.Time, duration time.Duration) bool {
	since, known := p.excessSince[s.Name]
	return known && s.supply > s.wanted && now.Sub(since) >= duration
}

// planMoveTo plans the move of a machine to the recipient, from a spare pool or
// otherwise from a pool that has had excess machines for donateDelay.
func (p *Planner) planMoveTo(states []*poolState, recipient *poolState, now time.Time) (Move, bool) {
	for _, spare := range []bool{true, false} {
		for _, donor := range slices.Backward(states) {
			if donor == recipient || donor.Spare != spare || !spare && !p.hasExcess(donor, now, donateDelay) {
				continue
			}
			if m, ok := p.moveIdle(donor, recipient); ok {
				return m, true
			}
		}
	}
	return Move{}, false
}

// moveIdle plans the move of an idle machine from one pool to the other. It
// chooses a machine in the data centre where the donor has the most machines, so
// that pools stay spread over the data centres.
func (p *Planner) moveIdle(from, to *poolState) (Move, bool) {
	from.sortIdle()
	for i, m := range from.idle {
		if p.refused[Move{Machine: m.Name, To: to.Name}] {
			continue
		}
		from.idle = slices.Delete(from.idle, i, i+1)
		from.supply--
		to.supply++
		return Move{Machine: m.Name, From: from.Name, To: to.Name}, true
	}
	return Move{}, false
}

// sortIdle brings the idle machines into the order in which they move. It sorts once a
// plan: counting the machines of each data centre for each move stopped the control
// thread of a scheduler with 2,000 spare machines for two seconds.
func (s *poolState) sortIdle() {
	if s.idleSorted {
		return
	}
	s.idleSorted = true
	inDataCentre := make(map[string]int)
	for _, m := range s.Machines {
		inDataCentre[m.DataCentre]++
	}
	slices.SortStableFunc(s.idle, func(a, b Machine) int {
		return cmp.Compare(inDataCentre[b.DataCentre], inDataCentre[a.DataCentre])
	})
}

// parkExcess plans the moves of idle machines to the spare pools from pools that
// have had excess machines for parkDelay.
func (p *Planner) parkExcess(states []*poolState, now time.Time) []Move {
	var moves []Move
	for _, spare := range states {
		if !spare.Spare {
			continue
		}
		for _, donor := range states {
			for !donor.Spare && p.hasExcess(donor, now, parkDelay) {
				m, ok := p.moveIdle(donor, spare)
				if !ok {
					break
				}
				moves = append(moves, m)
			}
		}
	}
	return moves
}
