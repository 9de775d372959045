package scheduler

import (
	"cmp"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
	"github.com/crocusjunction/crocusjunction/internal/machine/pools/turns"
)

// QueueRefOf returns the reference to the queue that accepted a job.
func QueueRefOf(t *job.Terms) policy.QueueRef {
	return policy.QueueRef{Name: t.Queue, Host: t.Host, Prefix: t.Prefix}
}

// queueOf returns the job's queue in the configuration in force, and false if the queue was
// removed.
func (s *Scheduler) queueOf(j *job.Job) (*policy.Queue, bool) {
	return s.config.Resolve(QueueRefOf(&j.Terms))
}

// queueName returns the present name of the job's queue. If the queue was removed, it is
// the name at the job's acceptance.
func (s *Scheduler) queueName(j *job.Job) string {
	if q, ok := s.queueOf(j); ok {
		return q.Name
	}
	return j.Terms.Queue
}

// renameQueues continues the cycles of the queues that have another name in a new version
// of the configuration. The version before is nil for the first one.
func (s *Scheduler) renameQueues(before, after *policy.Configuration) {
	if before == nil {
		return
	}
	names := make(map[string]string)
	for i := range before.Queues() {
		old := &before.Queues()[i]
		if q, ok := after.Resolve(old.Ref()); ok && q.Name != old.Name {
			names[old.Name] = q.Name
			s.log("queue renamed", "queue", q.Name, "before", old.Name)
		}
	}
	if len(names) == 0 {
		return
	}
	rename := func(queue string) string { return cmp.Or(names[queue], queue) }
	s.turns.forecaster.Rename(rename)
	histories := make(map[string]turns.History, len(s.turns.stored.Histories))
	for queue, h := range s.turns.stored.Histories {
		histories[rename(queue)] = h
	}
	s.turns.stored.Histories = histories
}
