package scheduler

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
)

// Bounds of storing progress.
const (
	// flushGap gathers changes; each call to the store is priced.
	flushGap = 30 * time.Millisecond
	// heldGap is the same while starts wait for the store.
	heldGap = 8 * time.Millisecond
	// flushBatch is the number of jobs in a write: each takes a condition and a
	// value, of 32 entries in all.
	flushBatch = 15
	// flushParallel bounds the writes under way while the store is slow.
	flushParallel = 4
	// flushRetry is the pause after a write that failed.
	flushRetry = 100 * time.Millisecond
	// removalEvery is the pace of removing old jobs.
	removalEvery = time.Second
	// removalSlack is added to the time that a job's state must be shown.
	removalSlack = 5 * time.Second
	// removalBatch is the number of jobs removed in one write.
	removalBatch = 10
)

type flushState struct {
	// dirty are jobs whose progress the store lacks, in order of their change.
	dirty  []*job.Job
	busy   map[job.ID]bool
	queued map[job.ID]bool
	writes int
	// lastAt is when a write was sent last, retryAt when one may be sent after a
	// failure.
	lastAt, retryAt time.Time
	removeAt        time.Time
}

// markDirty queues a job's progress for storing.
func (s *Scheduler) markDirty(j *job.Job) {
	if !j.Dirty() || s.flush.queued[j.ID] {
		return
	}
	if s.flush.queued == nil {
		s.flush.queued = make(map[job.ID]bool)
	}
	s.flush.queued[j.ID] = true
	s.flush.dirty = append(s.flush.dirty, j)
}

// stepFlush writes progress in groups.
func (s *Scheduler) stepFlush(now time.Time) {
	f := &s.flush
	if len(f.dirty) == 0 || !s.leading || !s.authorized(now) {
		return
	}
	gap := flushGap
	if len(s.held) > 0 {
		gap = heldGap
	}
	if at := f.lastAt.Add(gap); now.Before(at) {
		s.wake(at)
		return
	}
	if now.Before(f.retryAt) {
		s.wake(f.retryAt)
		return
	}
	for f.writes < flushParallel {
		writes := s.nextBatch()
		if len(writes) == 0 {
			return
		}
		f.writes++
		f.lastAt = now
		s.act(StoreProgress{Fence: s.fence(), Writes: writes})
	}
}

// nextBatch takes jobs without a write under way off the queue.
func (s *Scheduler) nextBatch() []ProgressWrite {
	f := &s.flush
	var writes []ProgressWrite
	var rest []*job.Job
	for i, j := range f.dirty {
		if len(writes) == flushBatch {
			rest = append(rest, f.dirty[i:]...)
			break
		}
		if f.busy[j.ID] {
			rest = append(rest, j)
			continue
		}
		delete(f.queued, j.ID)
		if !j.Dirty() {
			continue
		}
		f.busy[j.ID] = true
		p, version := j.Unflushed()
		writes = append(writes, ProgressWrite{j.ID, p, version, j.StoredRevision})
	}
	f.dirty = rest
	return writes
}

// StoreOutcome is the result of StoreProgress.
type StoreOutcome int

// Results of StoreProgress.
const (
	StoreDone StoreOutcome = iota
	// StoreFailed means that the write is not known to have been done and will
	// be repeated.
	StoreFailed
	// StoreNotLeader means that another scheduler holds the lease.
	StoreNotLeader
)

// ProgressStored is the answer to StoreProgress.
type ProgressStored struct {
	Fence    int64
	Writes   []ProgressWrite
	Outcome  StoreOutcome
	Revision int64
	// Found are the revisions that the store holds where they differ from the
	// expected ones: an earlier write of this scheduler was carried out late.
	Found map[job.ID]int64
}

// Apply implements Event.
func (e ProgressStored) Apply(s *Scheduler, now time.Time) {
	if !s.leading || e.Fence != s.fence() {
		return
	}
	s.flush.writes--
	for _, w := range e.Writes {
		delete(s.flush.busy, w.Job)
	}
	switch e.Outcome {
	case StoreDone:
		s.progressDone(e, now)
	case StoreFailed:
		s.flush.retryAt = now.Add(flushRetry)
		for _, w := range e.Writes {
			s.progressRetry(w.Job, e.Found[w.Job])
		}
	case StoreNotLeader:
		s.stepDown("the store names another scheduler", now)
	}
}

func (s *Scheduler) progressDone(e ProgressStored, now time.Time) {
	for _, w := range e.Writes {
		j := s.jobs.get(w.Job)
		if j == nil {
			continue
		}
		s.pending.add(j, -1)
		j.Flushed(w.Progress, w.Version, e.Revision)
		s.pending.add(j, +1)
		s.releaseStarts(j, now)
		s.markDirty(j)
	}
}

func (s *Scheduler) progressRetry(id job.ID, found int64) {
	j := s.jobs.get(id)
	if j == nil {
		return
	}
	if found != 0 {
		j.StoredRevision = max(j.StoredRevision, found)
	}
	s.markDirty(j)
}

// stepRemoval removes jobs that ended long ago from the store.
func (s *Scheduler) stepRemoval(now time.Time) {
	if now.Before(s.flush.removeAt) || !s.authorized(now) {
		return
	}
	s.flush.removeAt = now.Add(removalEvery)
	before := now.Add(-s.terms.StatusKept - removalSlack).UnixMilli()
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
