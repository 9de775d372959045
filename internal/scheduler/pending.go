package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
)

// pendingInterval is the least time between two writes of the counts of pending jobs.
const pendingInterval = 500 * time.Millisecond

// pendingJobs counts, by the queue that accepted them, the jobs that have not begun. The active scheduler
// counts them; the other nodes, which do not read the progress of jobs, add the jobs
// accepted since to the counts that it stored last.
type pendingJobs struct {
	// counts are the scheduler's own counts.
	counts map[policy.QueueRef]int
	// stored are the counts that the store holds. recent are the jobs that were
	// accepted later.
	stored PendingRead
	recent []*job.Job
	writes recordWrites
	// writeAt is when the next write may be sent.
	writeAt time.Time
}

// add counts a job that has not begun n times.
func (p *pendingJobs) add(j *job.Job, n int) {
	if p.counts != nil && j.State() == job.Queued {
		p.counts[QueueRefOf(&j.Terms)] += n
	}
}

// startLeading counts the jobs at the beginning of a term.
func (p *pendingJobs) startLeading(jobs *orderedMap[job.ID, *job.Job]) {
	p.counts, p.writes, p.writeAt = make(map[policy.QueueRef]int), recordWrites{revision: p.stored.Revision}, time.Time{}
	for _, j := range jobs.all() {
		p.add(j, +1)
	}
}

func (p *pendingJobs) stopLeading() { p.counts = nil }

func (p *pendingJobs) jobAccepted(j *job.Job) {
	if j.Revision > p.stored.AsOf {
		p.recent = append(p.recent, j)
	}
}

func (p *pendingJobs) jobRemoved(j *job.Job) {
	p.recent = slices.DeleteFunc(p.recent, func(r *job.Job) bool { return r == j })
}

// count returns the number of jobs that have not begun, of the queues that include holds.
func (p *pendingJobs) count(include func(policy.QueueRef) bool) int {
	n, counts := 0, p.counts
	if counts == nil {
		counts = p.stored.Counts
		for _, j := range p.recent {
			if !j.CancelAsked && include(QueueRefOf(&j.Terms)) {
				n++
			}
		}
	}
	for queue, jobs := range counts {
		if include(queue) {
			n += jobs
		}
	}
	return n
}

// PendingRead carries the stored numbers of jobs that have not begun, by the queue that
// accepted them. Jobs
// that were accepted after the store's revision AsOf are not counted.
type PendingRead struct {
	Counts   map[policy.QueueRef]int
	AsOf     int64
	Revision int64
}

func (c PendingRead) apply(s *Scheduler, _ time.Time) {
	p := &s.pending
	if c.Revision <= p.stored.Revision {
		return
	}
	p.stored = c
	p.recent = slices.DeleteFunc(p.recent, func(j *job.Job) bool { return j.Revision <= c.AsOf })
}

// StorePending stores the numbers of jobs that have not begun. The result is
// PendingStored.
type StorePending struct {
	Fence  int64
	Counts map[policy.QueueRef]int
	AsOf   int64
	// Expected is the revision that the counts must have in the store, 0 for none.
	Expected int64
}

func (StorePending) isAction() {}

// PendingStored is the result of StorePending.
type PendingStored struct {
	Fence  int64
	Result RecordResult
}

// Apply implements Event.
func (e PendingStored) Apply(s *Scheduler, now time.Time) {
	if !s.leading || e.Fence != s.fence() {
		return
	}
	s.finishRecordWrite(&s.pending.writes, e.Result, pendingInterval, now)
}

// stepPending stores the counts if they have changed.
func (s *Scheduler) stepPending(now time.Time) {
	p := &s.pending
	if len(p.recent) == 0 && maps.Equal(p.counts, p.stored.Counts) || !s.mayWriteRecord(&p.writes, now) {
		return
	}
	if now.Before(p.writeAt) {
		s.requestTick(p.writeAt)
		return
	}
	maps.DeleteFunc(p.counts, func(_ policy.QueueRef, n int) bool { return n == 0 })
	p.writes.writing, p.writeAt = true, now.Add(pendingInterval)
	s.act(StorePending{Fence: s.fence(), Counts: maps.Clone(p.counts), AsOf: s.election.syncedRevision, Expected: p.writes.revision})
}
