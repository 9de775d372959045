package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// freeSlotsByTeam first acquires slots for the tasks that were taken over, then
// returns how many more tasks each team may start. A team may start none while
// one of its taken-over tasks holds no slot.
func (f *Fleet) freeSlotsByTeam(s *scheduler, now time.Time) map[string]int {
	for t := range s.unslotted {
		if f.acquireSlots(t.Team, t.Service, now) == nil {
			delete(s.unslotted, t)
			s.slotted[t] = true
		}
	}
	freeSlots := make(map[string]int)
	for _, o := range f.register.List(contract.KindTeam) {
		freeSlots[o.Team.Name] = f.freeSlotsOfTeam(o.Team.Name, now)
	}
	for t := range s.unslotted {
		freeSlots[t.Team] = 0
	}
	return freeSlots
}

// takeOver takes over a running task that another term started: it places the
// task on its worker and records that the task needs a slot. It returns false
// when the worker is unknown; the task needs a slot in that case too.
func (f *Fleet) takeOver(s *scheduler, t *machine.Task, worker string, now time.Time) bool {
	if !s.slotted[t] {
		s.unslotted[t] = true
	}
	return s.centre.Workers.Place(t, worker, now) != nil
}

// freeTaskSlots returns how many tasks may start under an allotment. Tasks use
// granted slots only, not borrowed ones, because their leases are renewed beyond
// the end of a loan.
func (f *Fleet) freeTaskSlots(a *contract.Allotment, now time.Time) int {
	holdValid := f.limits.hold.Valid(now)
	if !holdValid || f.limits.stopping {
		return 0
	}
	if a.Limit().Unbounded {
		return a.Free(now, holdValid)
	}
	return max(0, min(a.Free(now, holdValid), a.Granted()-a.Lent()-a.Running()))
}

// acquireSlots acquires one slot of a team and one of a service for a task. It
// returns nil, or the refusal when either has none free.
func (f *Fleet) acquireSlots(team, service string, now time.Time) *Refusal {
	t, s := f.limits.allotmentsOf(f, team, service)
	for _, a := range []*contract.Allotment{t, s} {
		if f.freeTaskSlots(a, now) == 0 {
			refusal := f.limitRefusal(now, a)
			return &refusal
		}
	}
	t.OccupySlot()
	s.OccupySlot()
	return nil
}

// releaseSlots releases the slots of a task. Requests that wait for them are
// admitted at the next tick.
func (f *Fleet) releaseSlots(team, service string) {
	t, s := f.limits.allotmentsOf(f, team, service)
	t.ReleaseSlot()
	s.ReleaseSlot()
	f.schedule.freed = append(f.schedule.freed, t, s)
}

// reconcileFreedAllotments admits waiting requests to the slots that tasks have
// released, and reconciles the allotments of these slots.
func (f *Fleet) reconcileFreedAllotments(now time.Time) []Action {
	freed := f.schedule.freed
	f.schedule.freed = nil
	seen := make(map[*contract.Allotment]bool, len(freed))
	var actions []Action
	for _, a := range freed {
		if !seen[a] {
			seen[a] = true
			actions = append(actions, f.reconcileAllotment(now, a)...)
		}
	}
	return actions
}

// freeSlotsOfTeam returns how many more tasks a team may start within its limit.
func (f *Fleet) freeSlotsOfTeam(team string, now time.Time) int {
	return f.freeTaskSlots(f.allotment(contract.Ref{Kind: contract.KindTeam, Name: team}), now)
}

// requestSlots requests more slots for the teams and services whose queued tasks
// have too few, up to the number of free slots on workers.
func (f *Fleet) requestSlots(s *scheduler, freeSlots map[string]int, now time.Time) []Action {
	wanted := make(map[contract.Ref]int)
	set := s.centre.Workers
	freeOnWorkers := set.Slots() - set.Occupied()
	for team, slots := range freeSlots {
		queue := set.Backlog().Queue(team)
		takenOver := f.unslottedTasks(s, team)
		if missing := min(queue.Urgent+queue.Normal, freeOnWorkers) - slots + takenOver; missing > 0 && f.upperLimit(team) > 0 {
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

// unslottedTasks returns the number of a team's tasks that were taken over and
// hold no slot yet.
func (f *Fleet) unslottedTasks(s *scheduler, team string) int {
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

// releaseEndedTerms releases the slots of the ended terms whose tasks can no
// longer hold a valid lease.
func (f *Fleet) releaseEndedTerms(now time.Time) {
	f.schedule.endedTerms = slices.DeleteFunc(f.schedule.endedTerms, func(p endedTermSlots) bool {
		if now.Before(p.releaseAt) {
			return false
		}
		for t := range p.tasks {
			f.releaseSlots(t.Team, t.Service)
		}
		return true
	})
}
