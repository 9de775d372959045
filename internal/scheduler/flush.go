package scheduler

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
)

// Limits of storing job progress.
const (
	// flushInterval gathers changes into one write, because each call to the store
	// is charged for.
	flushInterval = 30 * time.Millisecond
	// deferredStartFlushInterval replaces flushInterval while starts wait for their
	// placement to be stored.
	deferredStartFlushInterval = 8 * time.Millisecond
	// flushBatch is the largest number of jobs in a write. A write has at most 32
	// entries, and each job takes two: a condition and a value.
	flushBatch = 15
	// maxFlushWrites is the largest number of writes under way at a time.
	maxFlushWrites = 4
	// flushRetryDelay is the delay after a write that failed.
	flushRetryDelay = 100 * time.Millisecond
	// removalInterval is the time between removals of old jobs.
	removalInterval = time.Second
	// removalMargin is added to the time for which the state of an ended job must
	// stay readable.
	removalMargin = 5 * time.Second
	// removalBatch is the largest number of jobs removed in one write, which deletes
	// four keys of each.
	removalBatch = 7
)

// flushState is the queue of job progress to store.
type flushState struct {
	// queue are the jobs with progress to store, in the order in which they
	// changed; inQueue holds the same jobs as a set, for look-up. inFlight are the
	// jobs with a write under way.
	queue    []*job.Job
	inFlight map[job.ID]bool
	inQueue  map[job.ID]bool
	writes   int
	// lastAt is when the last write was sent, retryAt when the next one may be sent
	// after a failure.
	lastAt, retryAt time.Time
	// removeAt is when the next removal of old jobs is due.
	removeAt time.Time
}

// queueProgress queues a job's progress for storing unless it is stored or
// queued already.
func (s *Scheduler) queueProgress(j *job.Job) {
	if !j.Dirty() || s.flush.inQueue[j.ID] {
		return
	}
	if s.flush.inQueue == nil {
		s.flush.inQueue = make(map[job.ID]bool)
	}
	s.flush.inQueue[j.ID] = true
	s.flush.queue = append(s.flush.queue, j)
}

// flushProgress writes the progress of changed jobs in batches.
func (s *Scheduler) flushProgress(now time.Time) {
	f := &s.flush
	if len(f.queue) == 0 || !s.leading || !s.authorized(now) {
		return
	}
	gap := flushInterval
	if len(s.deferredStarts) > 0 {
		gap = deferredStartFlushInterval
	}
	if at := f.lastAt.Add(gap); now.Before(at) {
		s.requestTick(at)
		return
	}
	if now.Before(f.retryAt) {
		s.requestTick(f.retryAt)
		return
	}
	for f.writes < maxFlushWrites {
		writes := s.nextBatch()
		if len(writes) == 0 {
			return
		}
		f.writes++
		f.lastAt = now
		s.act(StoreProgress{Fence: s.fence(), Writes: writes})
	}
}

// nextBatch removes up to flushBatch jobs from the queue and returns their writes.
// A job with a write under way stays in the queue.
func (s *Scheduler) nextBatch() []ProgressWrite {
	f := &s.flush
	var writes []ProgressWrite
	var rest []*job.Job
	for i, j := range f.queue {
		if len(writes) == flushBatch {
			rest = append(rest, f.queue[i:]...)
			break
		}
		if f.inFlight[j.ID] {
			rest = append(rest, j)
			continue
		}
		delete(f.inQueue, j.ID)
		if !j.Dirty() {
			continue
		}
		f.inFlight[j.ID] = true
		s.subject = jobRecord(j.ID)
		p, version := j.Unflushed()
		writes = append(writes, ProgressWrite{j.ID, p, version, j.StoredRevision})
	}
	s.subject = Record{}
	f.queue = rest
	return writes
}

// StoreOutcome is the result of StoreProgress.
type StoreOutcome int

// Results of StoreProgress.
const (
	StoreDone StoreOutcome = iota
	// StoreFailed means that the write may not have been carried out and has to be
	// repeated.
	StoreFailed
	// StoreLeaseLost means that this node no longer holds the scheduler lease.
	StoreLeaseLost
)

// ProgressStored is the result of StoreProgress.
type ProgressStored struct {
	Fence    int64
	Writes   []ProgressWrite
	Outcome  StoreOutcome
	Revision int64
	// FoundRevisions maps jobs to the revision in the store where it differs from
	// the expected one, because an earlier write of this scheduler was carried
	// out late.
	FoundRevisions map[job.ID]int64
}

// Apply implements Event.
func (e ProgressStored) Apply(s *Scheduler, now time.Time) {
	if !s.leading || e.Fence != s.fence() {
		return
	}
	s.flush.writes--
	for _, w := range e.Writes {
		delete(s.flush.inFlight, w.Job)
	}
	switch e.Outcome {
	case StoreDone:
		s.applyStored(e, now)
	case StoreFailed:
		s.flush.retryAt = now.Add(flushRetryDelay)
		for _, w := range e.Writes {
			s.requeueProgress(w.Job, e.FoundRevisions[w.Job])
		}
	case StoreLeaseLost:
		s.stepDown("the store has another lease holder", now)
	}
}

// applyStored records that progress is stored, sends the starts that waited for it
// and queues what has changed since.
func (s *Scheduler) applyStored(e ProgressStored, now time.Time) {
	for _, w := range e.Writes {
		j := s.jobs.get(w.Job)
		if j == nil {
			continue
		}
		s.subject = jobRecord(j.ID)
		s.pending.add(j, -1)
		j.MarkFlushed(w.Progress, w.Version, e.Revision)
		s.pending.add(j, +1)
		s.sendDeferredStarts(j, now)
		s.queueProgress(j)
	}
}

// requeueProgress queues progress again after a write that failed. If found is not
// 0, it is the revision that the store held instead of the expected one, and the
// next write expects it.
func (s *Scheduler) requeueProgress(id job.ID, found int64) {
	j := s.jobs.get(id)
	if j == nil {
		return
	}
	if found != 0 {
		j.StoredRevision = max(j.StoredRevision, found)
	}
	s.queueProgress(j)
}

// stepRemoval removes ended jobs from the store once their final state no
// longer has to stay readable.
func (s *Scheduler) stepRemoval(now time.Time) {
	if now.Before(s.flush.removeAt) || !s.authorized(now) {
		return
	}
	s.flush.removeAt = now.Add(removalInterval)
	before := now.Add(-s.options.StatusRetention - removalMargin).UnixMilli()
	var old []job.ID
	for id, j := range s.jobs.all() {
		if j.Stored.State.Final() && j.Stored.EndedAt < before && len(old) < removalBatch {
			old = append(old, id)
		}
	}
	if len(old) > 0 {
		s.act(RemoveJobs{Fence: s.fence(), Jobs: old})
	}
}
