package scheduler

import (
	"slices"
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
	// removalBatch is the largest number of jobs removed in one write, which has a
	// condition and deletes four keys of each.
	removalBatch = 6
	// maxRemovalWrites is the largest number of such writes at a time. Together they
	// remove more jobs than the largest fleet accepts in removalInterval, about 60.
	maxRemovalWrites = 20
	// cancelRemovalBatch is the same for cancellations without a job, with a condition
	// and a key of each.
	cancelRemovalBatch = 15
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

// StoreOutcome is the outcome of a write to the store.
type StoreOutcome int

// Outcomes of a write.
const (
	StoreDone StoreOutcome = iota
	// StoreConflict means that nothing was written, because the store holds another
	// revision of a record than the write expects.
	StoreConflict
	// StoreFailed means that the write may or may not have been carried out, or may
	// still be, and has to be repeated.
	StoreFailed
	// StoreLeaseLost means that this node no longer holds the scheduler lease.
	StoreLeaseLost
)

// ProgressStored is the result of StoreProgress.
type ProgressStored struct {
	Fence   int64
	Writes  []ProgressWrite
	Outcome StoreOutcome
	// Revision is the revision of the write if Outcome is StoreDone.
	Revision int64
	// Found is what the store holds of each job if Outcome is StoreConflict. It lacks
	// the jobs without stored progress.
	Found map[job.ID]FoundProgress
}

// FoundProgress is the stored progress of a job.
type FoundProgress struct {
	Revision int64
	// Progress is the stored progress, Readable whether it could be decoded.
	Progress job.Progress
	Readable bool
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
		for _, w := range e.Writes {
			s.applyStored(w, e.Revision, now)
		}
	case StoreConflict:
		s.applyConflict(e, now)
	case StoreFailed:
		s.flush.retryAt = now.Add(flushRetryDelay)
		for _, w := range e.Writes {
			s.requeueProgress(w.Job)
		}
	case StoreLeaseLost:
		s.stepDown("the store has another lease holder", now)
	}
}

// applyConflict settles each job of a refused write by what the store holds of it: the
// jobs may have been stored by different earlier writes without an answer, or by none.
// The retry is delayed unless the answer explains the refusal.
func (s *Scheduler) applyConflict(e ProgressStored, now time.Time) {
	explained, settled := false, 0
	for _, w := range e.Writes {
		found := e.Found[w.Job]
		explained = explained || found.Revision != w.Expected
		// A write without an answer that expects the same revision may still replace
		// the stored progress if its revision is the expected one.
		if found.Revision > w.Expected && found.Readable && found.Progress.Equal(&w.Progress) {
			s.applyStored(w, found.Revision, now)
			settled++
			continue
		}
		s.applyFound(w.Job, found)
		s.requeueProgress(w.Job)
	}
	if !explained {
		s.flush.retryAt = now.Add(flushRetryDelay)
	}
	s.log("progress write refused", "jobs", len(e.Writes), "found", len(e.Found), "stored_before", settled, "explained", explained)
}

// applyFound records the progress that the store holds of a job. The progress is taken
// with its revision: a later term reads only newer revisions and rebuilds the job from
// what is kept here. If it is not readable, the last one that was read is kept.
func (s *Scheduler) applyFound(id job.ID, found FoundProgress) {
	j := s.jobs.get(id)
	if j == nil {
		return
	}
	s.subject = jobRecord(id)
	j.StoredRevision = found.Revision
	if found.Readable {
		s.pending.add(j, -1)
		j.Stored = found.Progress
		s.pending.add(j, +1)
	}
}

// applyStored records that the store holds the progress of a write, sends the starts
// that waited for it and queues what has changed since.
func (s *Scheduler) applyStored(w ProgressWrite, revision int64, now time.Time) {
	j := s.jobs.get(w.Job)
	if j == nil {
		return
	}
	s.subject = jobRecord(j.ID)
	s.pending.add(j, -1)
	j.MarkFlushed(w.Progress, w.Version, revision)
	s.pending.add(j, +1)
	s.sendDeferredStarts(j, now)
	s.queueProgress(j)
}

// requeueProgress queues progress again after a write that was not carried out.
func (s *Scheduler) requeueProgress(id job.ID) {
	if j := s.jobs.get(id); j != nil {
		s.queueProgress(j)
	}
}

// stepRemoval removes ended jobs from the store once their final state no
// longer has to stay readable.
func (s *Scheduler) stepRemoval(now time.Time) {
	if now.Before(s.flush.removeAt) || !s.authorized(now) {
		return
	}
	s.flush.removeAt = now.Add(removalInterval)
	before := now.Add(-s.options.StatusRetention - removalMargin).UnixMilli()
	var old []JobRemoval
	for id, j := range s.jobs.all() {
		if j.Stored.State.Final() && j.Stored.EndedAt < before && len(old) < removalBatch*maxRemovalWrites {
			old = append(old, JobRemoval{id, j.Revision})
		}
	}
	for batch := range slices.Chunk(old, removalBatch) {
		s.act(RemoveJobs{Fence: s.fence(), Jobs: batch})
	}
	s.removeEarlyCancels(now)
}

// removeEarlyCancels removes cancellations of jobs that are not stored. They are kept for
// as long as the state of a job, which is longer than a write of the job can be under way.
func (s *Scheduler) removeEarlyCancels(now time.Time) {
	var old []CancelRemoval
	for id, c := range s.earlyCancels {
		if now.Sub(c.readAt) > s.options.StatusRetention+removalMargin && len(old) < cancelRemovalBatch {
			old = append(old, CancelRemoval{id, c.revision})
		}
	}
	if len(old) > 0 {
		s.act(RemoveCancels{Fence: s.fence(), Cancels: old})
	}
}
