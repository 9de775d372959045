// Package pools decides which machines move between pools. Demand for one
// service rises to several times its mean for seconds while the others are
// nearly idle, and machines in the spare pool are switched off and cost
// nothing. It does no I/O and reads no clock.
package pools

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// Bounds of the plan.
const (
	// floor is the number of machines that a pool keeps, so that the loss of one
	// or of a rack leaves some and small jobs start at once.
	floor = 3
	// fill is the share of a machine that tasks of mixed sizes use in practice.
	fill = 0.85
	// donateAfter is how long a pool must have had machines to spare before one
	// goes to a pool that lacks some.
	donateAfter = 300 * time.Millisecond
	// parkAfter is how long before one is switched off. Two moves cost as much as
	// 2.3 s of a machine, and pools are idle for several times that between turns.
	parkAfter = time.Second
)

// Machine is one machine of a pool.
type Machine struct {
	Name, DataCentre string
	Capacity         machine.Resources
	// Idle machines run nothing and may move at once.
	Idle bool
}

// Pool is what the plan needs to know of a pool.
type Pool struct {
	Name string
	// Spare pools hold machines that are switched off.
	Spare bool
	// Demand is what the tasks need that run, or could start and are not late.
	Demand machine.Resources
	// Least is the number of machines that lasting tasks need at least.
	Least int
	// Stuck means that a lasting task waits for a machine, whatever the demand says:
	// its constraints leave none.
	Stuck bool
	// Machines are those that are up.
	Machines []Machine
	// Arriving is the number of machines on their way into the pool.
	Arriving int
}

// Move is one step of a plan.
type Move struct{ Machine, From, To string }

// Planner remembers since when pools have had machines to spare.
type Planner struct {
	excessSince map[string]time.Time
	// refused are pools that do not take a machine.
	refused map[Move]bool
}

// NewPlanner returns a planner without a past.
func NewPlanner() *Planner {
	return &Planner{excessSince: make(map[string]time.Time), refused: make(map[Move]bool)}
}

// Refuse notes that a pool does not take a machine.
func (p *Planner) Refuse(m Move) { p.refused[Move{Machine: m.Machine, To: m.To}] = true }

// state is a pool while a plan is made.
type state struct {
	*Pool
	want, supply int
	idle         []Machine
}

// Plan returns the moves to order now.
func (p *Planner) Plan(pools []Pool, now time.Time) []Move {
	states := make([]*state, len(pools))
	for i := range pools {
		states[i] = newState(&pools[i], pools)
		p.noteExcess(states[i], now)
	}
	slices.SortFunc(states, func(a, b *state) int {
		return cmp.Or(cmp.Compare(b.want-b.supply, a.want-a.supply), cmp.Compare(a.Name, b.Name))
	})
	var moves []Move
	for _, needy := range states {
		for !needy.Spare && needy.supply < needy.want {
			m, ok := p.donate(states, needy, now)
			if !ok {
				break
			}
			moves = append(moves, m)
		}
	}
	return append(moves, p.park(states, now)...)
}

func newState(pool *Pool, all []Pool) *state {
	s := &state{Pool: pool, supply: len(pool.Machines) + pool.Arriving}
	for _, m := range pool.Machines {
		if m.Idle {
			s.idle = append(s.idle, m)
		}
	}
	if !pool.Spare {
		s.want = max(floor, pool.Least, machinesFor(pool.Demand, typical(all)))
		if pool.Stuck && pool.Arriving == 0 {
			s.want = max(s.want, s.supply+1)
		}
	}
	return s
}

// typical returns the mean capacity of a machine.
func typical(all []Pool) machine.Resources {
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

func machinesFor(demand, each machine.Resources) int {
	n := 0
	for _, d := range [][2]int64{
		{demand.MilliCores, each.MilliCores}, {demand.MemoryMB, each.MemoryMB}, {demand.Accelerators, each.Accelerators},
	} {
		if d[0] <= 0 || d[1] <= 0 {
			continue
		}
		usable := int64(float64(d[1]) * fill)
		n = max(n, int((d[0]+usable-1)/max(usable, 1)))
	}
	return n
}

func (p *Planner) noteExcess(s *state, now time.Time) {
	if s.Spare || s.supply <= s.want {
		delete(p.excessSince, s.Name)
		return
	}
	if _, known := p.excessSince[s.Name]; !known {
		p.excessSince[s.Name] = now
	}
}

// excess reports whether a pool has had machines to spare for a time.
func (p *Planner) excess(s *state, now time.Time, least time.Duration) bool {
	since, known := p.excessSince[s.Name]
	return known && s.supply > s.want && now.Sub(since) >= least
}

// donate finds a machine for a pool: a spare one, or one of a pool that has had
// too many for a while.
func (p *Planner) donate(states []*state, needy *state, now time.Time) (Move, bool) {
	for _, spare := range []bool{true, false} {
		for _, donor := range slices.Backward(states) {
			if donor == needy || donor.Spare != spare || !spare && !p.excess(donor, now, donateAfter) {
				continue
			}
			if m, ok := p.take(donor, needy); ok {
				return m, true
			}
		}
	}
	return Move{}, false
}

// take moves an idle machine between two states. It comes from the data centre
// of which the donor has most machines, so that pools stay spread.
func (p *Planner) take(from, to *state) (Move, bool) {
	best, most := -1, 0
	for i, m := range from.idle {
		if p.refused[Move{Machine: m.Name, To: to.Name}] {
			continue
		}
		if n := from.inCentre(m.DataCentre); best < 0 || n > most {
			best, most = i, n
		}
	}
	if best < 0 {
		return Move{}, false
	}
	m := from.idle[best]
	from.idle = slices.Delete(from.idle, best, best+1)
	from.supply--
	to.supply++
	return Move{Machine: m.Name, From: from.Name, To: to.Name}, true
}

func (s *state) inCentre(dataCentre string) int {
	n := 0
	for _, m := range s.Machines {
		if m.DataCentre == dataCentre {
			n++
		}
	}
	return n
}

// park switches off what has been idle for long.
func (p *Planner) park(states []*state, now time.Time) []Move {
	var moves []Move
	for _, spare := range states {
		if !spare.Spare {
			continue
		}
		for _, donor := range states {
			for !donor.Spare && p.excess(donor, now, parkAfter) {
				m, ok := p.take(donor, spare)
				if !ok {
					break
				}
				moves = append(moves, m)
			}
		}
	}
	return moves
}
