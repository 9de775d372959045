package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// RosterMember is a worker that may run tasks of this scheduler. Each worker is
// stored in the roster before it gets its first order, so that the next scheduler
// polls it before starting any of the worker's tasks again.
type RosterMember struct {
	ID         string `json:"i"`
	Address    string `json:"a"`
	Service    string `json:"s"`
	DataCentre string `json:"z"`
}

// roster is the stored list of workers that may run tasks, and the state of writing
// it.
type roster struct {
	// members is the list as it was last read, revision its revision.
	members  []RosterMember
	revision int64
	writes   recordWrites
}

// rosterRetryDelay is the delay after a write that failed.
const rosterRetryDelay = 200 * time.Millisecond

// RosterStored is the result of StoreRoster.
type RosterStored struct {
	Fence   int64
	Members []RosterMember
	Result  RecordResult
}

// Apply implements Event.
func (e RosterStored) Apply(s *Scheduler, now time.Time) {
	if !s.leading || e.Fence != s.fence() {
		return
	}
	if !s.finishRecordWrite(&s.roster.writes, e.Result, rosterRetryDelay, now) {
		return
	}
	for _, m := range e.Members {
		if w := s.workers.get(m.ID); w != nil {
			w.Recorded = true
		}
	}
	s.place.roundNeeded = true
}

// stepRoster stores the roster while a worker is missing from it.
func (s *Scheduler) stepRoster(now time.Time) {
	missing := false
	for _, w := range s.workers.all() {
		missing = missing || !w.Recorded
	}
	if !missing || !s.mayWriteRecord(&s.roster.writes, now) {
		return
	}
	members := make([]RosterMember, 0, s.workers.len())
	for _, w := range s.workers.all() {
		members = append(members, RosterMember{w.ID, w.Address, w.Service, w.DataCentre})
	}
	slices.SortFunc(members, func(a, b RosterMember) int { return cmp.Compare(a.ID, b.ID) })
	s.roster.writes.writing = true
	s.act(StoreRoster{Fence: s.fence(), Members: members, Expected: s.roster.writes.revision})
}

// updateWorker adds or updates a worker from its entry in the store's list.
func (s *Scheduler) updateWorker(d worker.Description, now time.Time) {
	if s.machineOps.retired[d.ID] {
		return
	}
	s.settleLostStarts(d, now)
	w := s.workers.get(d.ID)
	if w == nil {
		w = s.newWorker(d)
		s.workers.set(d.ID, w)
		w.NextPollAt = now
		s.log("worker met", "worker", d.ID, "service", d.Service, "datacentre", d.DataCentre, "rack", w.Rack())
	}
	w.EntryStartedMillis = d.StartedMillis
	if d.StartedMillis != 0 && w.StartedMillis != 0 && d.StartedMillis > w.StartedMillis {
		// A new incarnation. No task starts there until its report lists its runs.
		// StartedMillis is changed by that report, not here.
		w.Answered = false
		w.NextPollAt = now
		d.StartedMillis = w.StartedMillis
	}
	startedMillis := max(w.StartedMillis, d.StartedMillis)
	if d.Draining && !w.Draining {
		w.DrainSeenAt = now
		s.log("worker drains", "worker", d.ID, "remaining_ms", d.Remaining.Milliseconds(), "runs", len(w.Runs()))
	}
	w.Description = d
	w.ColdUntil = now.Add(d.Cold)
	w.StartedMillis = startedMillis
	w.Listed = true
	s.place.roundNeeded = true
}
