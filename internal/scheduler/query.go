package scheduler

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
)

// JobView is the state of a job in the node's local copy.
type JobView struct {
	ID    job.ID
	Known bool
	Queue policy.QueueRef
	Team  string
	State job.State
	// StateKnown is false if the job may have another state: this node is not the
	// active scheduler, which alone reads the progress of jobs, and State is not
	// final.
	StateKnown bool
	Revision   int64
	// AsOf is the time up to which the local copy is complete.
	AsOf time.Time
}

// JobQuery asks for the state of a job. Reply must be buffered: the control thread
// must not block on it.
type JobQuery struct {
	ID    job.ID
	Reply chan<- JobView
}

// Apply implements Event.
func (q JobQuery) Apply(s *Scheduler, _ time.Time) {
	view := JobView{ID: q.ID, AsOf: s.JobsAsOf()}
	if j := s.jobs.get(q.ID); j != nil {
		view.Known, view.Queue, view.Team = true, QueueRefOf(&j.Terms), j.Terms.Team
		view.State, view.Revision = j.State(), j.Revision
		view.StateKnown = s.leading || view.State.Final()
	}
	q.Reply <- view
}

// PendingQuery asks how many jobs of a queue have not begun, whatever name and address the
// queue had when it accepted them. Reply must be buffered: the control thread must not
// block on it.
type PendingQuery struct {
	Queue policy.QueueRef
	Reply chan<- int
}

// Apply implements Event.
func (q PendingQuery) Apply(s *Scheduler, _ time.Time) {
	include := func(ref policy.QueueRef) bool { return ref == q.Queue }
	if s.config != nil {
		if asked, ok := s.config.Resolve(q.Queue); ok {
			include = func(ref policy.QueueRef) bool {
				own, ok := s.config.Resolve(ref)
				return ok && own == asked
			}
		}
	}
	q.Reply <- s.pending.count(include)
}
