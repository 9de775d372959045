package ingress

import (
	"sync"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/admission"
	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
)

// refusalReadTimeout bounds the read of the store before a refusal. The store usually
// answers in 4 ms. If it is slow, the job is accepted or refused by the store itself.
const refusalReadTimeout = 250 * time.Millisecond

// storeUnlessRefused stores a job, or refuses it and sets the answer.
func (s *Service) storeUnlessRefused(a *matched, j *job.Job, now, until time.Time) (result WriteResult, refused bool) {
	result = WriteUnknown
	s.openJobs.begin(j.ID)
	defer func() { s.openJobs.end(j.ID, result == WriteUnknown, s.clock()) }()
	refused, held := s.refuseByMemory(a, j, now, until)
	if !refused && !held {
		refused, held = s.refuseByRoom(a, j, now, until)
	}
	switch {
	case refused:
		result = NotStored
	case held:
		result = Stored
	default:
		s.openJobs.beginWrite(j.ID)
		result = s.store.Accept(j, until)
	}
	return result, refused
}

// refuseByRoom decides whether a job that could not be completed in time to be of use is
// refused, and sets the answer then. Held is true if the store holds the job.
func (s *Service) refuseByRoom(a *matched, j *job.Job, now, until time.Time) (refused, held bool) {
	d := a.rooms.Decide(admission.DemandOf(j, a.queue.Service, teamLimit(a.config, a.team)), s.openJobs.firstRefusal(j.ID, now), now)
	if d.Accept {
		return false, false
	}
	if refused, held = s.mayRefuse(j.ID, now, until); refused {
		a.answer.Code, a.answer.Reason = OverCapacity, d.Reason()
		a.answer.RetryAfter, a.answer.Refusal = d.RetryAfter, d
	}
	return refused, held
}

// mayRefuse reports whether a job may be refused: that needs the proof that it is not
// stored and that no write of it from this node is under way. Held is true if the store
// holds the job.
func (s *Service) mayRefuse(id job.ID, now, until time.Time) (refuse, held bool) {
	timeout := min(refusalReadTimeout, until.Sub(now))
	if timeout <= 0 {
		return false, false
	}
	held, err := s.store.Holds(id, timeout)
	if held || err != nil || !s.openJobs.recordRefusal(id, now) {
		return false, held
	}
	return true, false
}

// teamLimit returns the millicores that a team may use, 0 for no bound.
func teamLimit(config *policy.Configuration, name string) int64 {
	if team, ok := config.Team(name); ok {
		return team.UpperLimit.MilliCores
	}
	return 0
}

const (
	// unsettledMemory is how long a write that the store has not confirmed is remembered.
	// The store may carry out a write seconds after its answer is due.
	unsettledMemory = time.Minute
	// maxUnsettled bounds the unsettled writes that are remembered, to about 1 MB. If there
	// are more, no job is refused by capacity for as long.
	maxUnsettled = 8192
)

// openJobs are the jobs that callers hand in at this node now, and those whose write it
// left unsettled. It is safe for concurrent use.
type openJobs struct {
	mu   sync.Mutex
	open map[job.ID]*openJob
	// unsettled are the unsettled writes in the order of their ends.
	unsettled []unsettledWrite
	// noneUntil is until when no job may be refused, because too many writes were
	// unsettled.
	noneUntil time.Time
	refusals  admission.Refusals
}

// openJob is the state of one job.
type openJob struct {
	// users is the number of requests and of unsettled writes of the job.
	users int
	// written is set once a write of the job has begun.
	written bool
}

type unsettledWrite struct {
	id    job.ID
	until time.Time
}

// begin records that a request to store the job is being served.
func (s *openJobs) begin(id job.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = make(map[job.ID]*openJob)
	}
	if s.open[id] == nil {
		s.open[id] = &openJob{}
	}
	s.open[id].users++
}

// beginWrite records that a write of the job follows.
func (s *openJobs) beginWrite(id job.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[id].written = true
}

// end records the end of such a request. Unsettled means that a write of it may still take
// effect.
func (s *openJobs) end(id job.ID, unsettled bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.unsettled) > 0 && !now.Before(s.unsettled[0].until) {
		s.release(s.unsettled[0].id)
		s.unsettled = s.unsettled[1:]
	}
	switch {
	case !unsettled:
		s.release(id)
	case len(s.unsettled) >= maxUnsettled:
		s.noneUntil = now.Add(unsettledMemory)
		s.release(id)
	default:
		s.unsettled = append(s.unsettled, unsettledWrite{id, now.Add(unsettledMemory)})
	}
}

// release removes one user of a job.
func (s *openJobs) release(id job.ID) {
	if s.open[id].users--; s.open[id].users == 0 {
		delete(s.open, id)
	}
}

// firstRefusal returns when a job was refused first, zero for never.
func (s *openJobs) firstRefusal(id job.ID, now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusals.First(id, now)
}

// recordRefusal records that the job is refused, and returns false if it
// must not be: a write of the job may be under way. The store was read after begin, so
// that every earlier write that is settled was found.
func (s *openJobs) recordRefusal(id job.ID, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[id].written || now.Before(s.noneUntil) {
		return false
	}
	s.refusals.Record(id, now)
	return true
}
