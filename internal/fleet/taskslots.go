package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// teamRooms returns how many more tasks each team may start, after it has
// acquired slots for tasks that were taken over. It is 0 for a team while one of
// its tasks that were taken over holds no slot.
func (f *Fleet) teamRooms(s *scheduler, now time.Time) map[string]int {
	for t := range s.unslotted {
		if f.takeSlot(t.Team, t.Service, now) == nil {
			delete(s.unslotted, t)
			s.slots[t] = true
		}
	}
	rooms := make(map[string]int)
	for _, o := range f.register.List(contract.KindTeam) {
		rooms[o.Team.Name] = f.slotRoom(o.Team.Name, now)
	}
	for t := range s.unslotted {
		rooms[t.Team] = 0
	}
	return rooms
}

// adopt charges a running task, which another term started, to its worker and
// marks it for a slot. It returns false when the worker is unknown; the task
// needs a slot in that case too.
func (f *Fleet) adopt(s *scheduler, t *machine.Task, worker string, now time.Time) bool {
	if !s.slots[t] {
		s.unslotted[t] = true
	}
	return s.centre.Workers.Occupy(t, worker, now) != nil
}

// slotsFree returns how many tasks may start under an allotment. Tasks use
// granted slots only, not borrowed ones, because their leases are renewed beyond
// the end of a loan.
func (f *Fleet) slotsFree(a *contract.Allotment, now time.Time) int {
	held := f.limits.hold.Valid(now)
	if !held || f.limits.stopping {
		return 0
	}
	if a.Limit().Unbounded {
		return a.Free(now, held)
	}
	return max(0, min(a.Free(now, held), a.Granted()-a.Lent()-a.Running()))
}

// takeSlot acquires one slot of a team and one of a service for a task. It
// returns nil, or the refusal when either has none free.
func (f *Fleet) takeSlot(team, service string, now time.Time) *Refusal {
	t, s := f.limits.of(f, team, service)
	for _, a := range []*contract.Allotment{t, s} {
		if f.slotsFree(a, now) == 0 {
			refusal := f.limitRefusal(now, a)
			return &refusal
		}
	}
	t.Start()
	s.Start()
	return nil
}

// releaseSlot releases the slots of a task. Requests that wait for them are
// admitted at the next tick.
func (f *Fleet) releaseSlot(team, service string) {
	t, s := f.limits.of(f, team, service)
	t.Finish()
	s.Finish()
	f.schedule.freed = append(f.schedule.freed, t, s)
}

// driveFreed reconciles the allotments whose slots tasks released.
func (f *Fleet) driveFreed(now time.Time) []Action {
	freed := f.schedule.freed
	f.schedule.freed = nil
	seen := make(map[*contract.Allotment]bool, len(freed))
	var actions []Action
	for _, a := range freed {
		if !seen[a] {
			seen[a] = true
			actions = append(actions, f.drive(now, a)...)
		}
	}
	return actions
}

// slotRoom returns how many more tasks of a team its limit lets start.
func (f *Fleet) slotRoom(team string, now time.Time) int {
	return f.slotsFree(f.allotment(contract.Ref{Kind: contract.KindTeam, Name: team}), now)
}

// wantSlots requests more slots for the teams and services whose queued tasks
// have too few, up to the number of free slots on workers.
func (f *Fleet) wantSlots(s *scheduler, rooms map[string]int, now time.Time) []Action {
	wanted := make(map[contract.Ref]int)
	set := s.centre.Workers
	free := set.Slots() - set.Occupied()
	for team, room := range rooms {
		queue := set.Backlog().Queue(team)
		adopted := f.unslottedOf(s, team)
		if missing := min(queue.Urgent+queue.Normal, free) - room + adopted; missing > 0 && f.upperLimit(team) > 0 {
			wanted[contract.Ref{Kind: contract.KindTeam, Name: team}] = missing
			for _, service := range set.Backlog().Services(team) {
				wanted[contract.Ref{Kind: contract.KindDocument, Name: service}] += missing
			}
		}
	}
	f.schedule.wanted = wanted
	var actions []Action
	refs := make([]contract.Ref, 0, len(wanted))
	for ref := range wanted {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, func(a, b contract.Ref) int { return cmp.Compare(a.String(), b.String()) })
	for _, ref := range refs {
		a := f.allotment(ref)
		actions = append(actions, f.planSwap(now, a)...)
		// The answer to a swap in flight may bring slots, so another round is
		// needed.
		s.changed = s.changed || a.Pending()
	}
	return actions
}

// unslottedOf returns the number of a team's tasks that were taken over and hold
// no slot yet.
func (f *Fleet) unslottedOf(s *scheduler, team string) int {
	n := 0
	for t := range s.unslotted {
		if t.Team == team {
			n++
		}
	}
	return n
}

// waitingFor returns the number of requests and tasks that wait for slots of a
// limit.
func (f *Fleet) waitingFor(ref contract.Ref) int {
	return f.limits.queue.Waiting(ref) + f.schedule.wanted[ref]
}

// upperLimit returns the upper limit of a team, 0 when the team is unknown.
func (f *Fleet) upperLimit(team string) int {
	if o, ok := f.register.Get(contract.Ref{Kind: contract.KindTeam, Name: team}); ok {
		return o.Team.UpperLimit
	}
	return 0
}

// releaseParting releases the slots of ended terms whose tasks have certainly
// ended.
func (f *Fleet) releaseParting(now time.Time) {
	f.schedule.parting = slices.DeleteFunc(f.schedule.parting, func(p partingSlots) bool {
		if now.Before(p.until) {
			return false
		}
		for t := range p.tasks {
			f.releaseSlot(t.Team, t.Service)
		}
		return true
	})
}
