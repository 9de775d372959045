package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// RosterMember is a worker that may run tasks of this scheduler. A worker is
// recorded before its first order, so that the next scheduler asks it before it
// starts any task anew.
type RosterMember struct {
	ID         string `json:"i"`
	Address    string `json:"a"`
	Service    string `json:"s"`
	DataCentre string `json:"z"`
}

type roster struct {
	members  []RosterMember
	revision int64
	writing  bool
	// retryAt delays the next write after a failed one.
	retryAt time.Time
}

// rosterRetry is the pause after a write that failed.
const rosterRetry = 200 * time.Millisecond

// RosterStored is the answer to StoreRoster.
type RosterStored struct {
	Fence   int64
	Members []RosterMember
	OK      bool
}

// Apply implements Event.
func (e RosterStored) Apply(s *Scheduler, now time.Time) {
	if !s.leading || e.Fence != s.fence() {
		return
	}
	s.roster.writing = false
	if !e.OK {
		s.roster.retryAt = now.Add(rosterRetry)
		return
	}
	for _, m := range e.Members {
		if w := s.workers.get(m.ID); w != nil {
			w.Recorded = true
		}
	}
	s.place.dirty = true
}

// stepRoster records workers that are not on the durable list yet.
func (s *Scheduler) stepRoster(now time.Time) {
	missing := false
	for _, w := range s.workers.all() {
		missing = missing || !w.Recorded
	}
	if !missing || s.roster.writing || !s.authorized(now) {
		return
	}
	if now.Before(s.roster.retryAt) {
		s.wake(s.roster.retryAt)
		return
	}
	members := make([]RosterMember, 0, s.workers.len())
	for _, w := range s.workers.all() {
		members = append(members, RosterMember{w.ID, w.Address, w.Service, w.Zone})
	}
	slices.SortFunc(members, func(a, b RosterMember) int { return cmp.Compare(a.ID, b.ID) })
	s.roster.writing = true
	s.act(StoreRoster{Fence: s.fence(), Members: members})
}

// meetWorker takes over what a worker says about itself in the store's list.
func (s *Scheduler) meetWorker(d worker.Description, now time.Time) {
	if s.duties.retired[d.ID] {
		return
	}
	w := s.workers.get(d.ID)
	if w == nil {
		w = worker.New(d)
		s.workers.set(d.ID, w)
		w.NextAsk = now
		s.note("worker met", "worker", d.ID, "service", d.Service, "datacentre", d.Zone, "rack", w.Rack())
	}
	if d.Born != 0 && w.Born != 0 && d.Born > w.Born {
		// Its own report decides what runs there; nothing starts until then.
		w.Heard = false
		w.NextAsk = now
		d.Born = w.Born
	}
	born := max(w.Born, d.Born)
	if d.Draining && !w.Draining {
		w.DrainSeenAt = now
		s.note("worker drains", "worker", d.ID, "remaining_ms", d.Remaining.Milliseconds(), "runs", len(w.Runs()))
	}
	w.Description = d
	w.ColdUntil = now.Add(d.Cold)
	w.Born = born
	w.Listed = true
	s.place.dirty = true
}
