package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/link/lease"
)

// TestRefusedWriteIsSettledForEachJob guards against jobs of a refused write that are
// taken as stored, or as stored at the revision of another job: no later write of such a
// job succeeds.
func TestRefusedWriteIsSettledForEachJob(t *testing.T) {
	s, now := newLoadedScheduler(1, 1, 4)
	id := func(i int) job.ID { return job.ID(fmt.Sprintf("%016x", i)) }
	first, second, changed, absent := s.jobs.get(id(0)), s.jobs.get(id(1)), s.jobs.get(id(2)), s.jobs.get(id(3))
	absent.StoredRevision = 5
	s.placeRound(now)
	s.flushProgress(now)
	write := lastAction[StoreProgress](t, s)
	if len(write.Writes) != 4 {
		t.Fatalf("%d jobs in the write, want 4", len(write.Writes))
	}
	s.actions = nil
	written := func(i int) job.Progress { return write.Writes[i].Progress }
	s.Apply(ProgressStored{Fence: write.Fence, Writes: write.Writes, Outcome: StoreConflict, Found: map[job.ID]FoundProgress{
		first.ID: {Revision: 7, Progress: written(0), Readable: true}, second.ID: {Revision: 9, Progress: written(1), Readable: true},
		changed.ID: {Revision: 8, Progress: job.Progress{State: job.Queued}, Readable: true},
	}}, now)
	for _, c := range []struct {
		name     string
		job      *job.Job
		revision int64
		durable  bool
	}{
		{"stored by the first write", first, 7, true}, {"stored by the second write", second, 9, true},
		{"stored with other progress", changed, 8, false}, {"not stored", absent, 0, false},
	} {
		if c.job.StoredRevision != c.revision || c.job.PlacementDurable() != c.durable {
			t.Errorf("%s: revision %d, durable %v, want %d, %v", c.name, c.job.StoredRevision, c.job.PlacementDurable(), c.revision, c.durable)
		}
	}
	s.actions = nil
	s.Apply(Tick{}, now.Add(flushInterval))
	for _, w := range lastAction[StoreProgress](t, s).Writes {
		if want := s.jobs.get(w.Job).StoredRevision; w.Expected != want {
			t.Errorf("the next write of %s expects revision %d, want %d", w.Job, w.Expected, want)
		}
	}
}

// TestTaskDoneInRefusedWriteIsNotStartedAgain guards against a scheduler that keeps the
// store's revision of a job beside older progress: in its next term it starts ended tasks.
func TestTaskDoneInRefusedWriteIsNotStartedAgain(t *testing.T) {
	s, now := newLoadedScheduler(1, 1, 1)
	s.placeRound(now)
	s.flushProgress(now)
	write := lastAction[StoreProgress](t, s).Writes[0]
	s.Apply(ProgressStored{Fence: s.fence(), Writes: []ProgressWrite{write}, Revision: 5}, now)
	j := s.jobs.get(write.Job)
	now = now.Add(time.Second)
	ended := j.Task(job.TaskName{Job: j.ID})
	s.finishTask(j, ended, now)
	s.queueProgress(j)
	s.flushProgress(now)
	lost := lastAction[StoreProgress](t, s).Writes[0]
	s.Apply(ProgressStored{Fence: s.fence(), Writes: []ProgressWrite{lost}, Outcome: StoreFailed}, now)
	now = now.Add(time.Second)
	s.flushProgress(now)
	repeated := lastAction[StoreProgress](t, s).Writes[0]
	s.Apply(ProgressStored{Fence: s.fence(), Writes: []ProgressWrite{repeated}, Outcome: StoreConflict, Found: map[job.ID]FoundProgress{
		j.ID: {Revision: 6, Progress: lost.Progress, Readable: true},
	}}, now)
	s.stepDown("test", now)
	s.election.authority = lease.Grant(7, 2, 2, now, time.Hour, now)
	s.Apply(ProgressListed{Fence: 7, OK: true, Progress: []ProgressRead{{ID: j.ID, Progress: lost.Progress, Revision: 6}}}, now)
	if !s.Leading() {
		t.Fatal("the second term has not begun")
	}
	if !j.Task(job.TaskName{Job: j.ID}).Done() {
		t.Error("the task that ended as done is open in the second term")
	}
}

// TestProgressAtExpectedRevisionIsStoredAgain guards against progress that counts as
// stored because the store holds the same, while an earlier write without an answer can
// still replace it.
func TestProgressAtExpectedRevisionIsStoredAgain(t *testing.T) {
	s, now := newLoadedScheduler(1, 1, 1)
	s.placeRound(now)
	s.flushProgress(now)
	write := lastAction[StoreProgress](t, s)
	write.Writes[0].Expected = 6
	s.Apply(ProgressStored{Fence: write.Fence, Writes: write.Writes, Outcome: StoreConflict, Found: map[job.ID]FoundProgress{
		write.Writes[0].Job: {Revision: 6, Progress: write.Writes[0].Progress, Readable: true},
	}}, now)
	if j := s.jobs.get(write.Writes[0].Job); j.PlacementDurable() || !s.flush.inQueue[j.ID] {
		t.Error("the progress counts as stored")
	}
	s.actions = nil
	s.Apply(Tick{}, now.Add(flushInterval))
	for _, a := range s.actions {
		if _, ok := a.(StoreProgress); ok {
			t.Error("a refusal that nothing explains is repeated without a delay")
		}
	}
	s.Apply(Tick{}, now.Add(flushRetryDelay+time.Millisecond))
	if len(lastAction[StoreProgress](t, s).Writes) != 1 {
		t.Error("the write is not repeated")
	}
}

// lastAction returns the last action of a type.
func lastAction[A Action](t *testing.T, s *Scheduler) A {
	t.Helper()
	for i := len(s.actions) - 1; i >= 0; i-- {
		if a, ok := s.actions[i].(A); ok {
			return a
		}
	}
	var none A
	t.Fatalf("no action %T", none)
	return none
}

// TestCancelWithoutJobIsRemoved guards against cancellations of jobs that are never
// stored, which stay in the store for good.
func TestCancelWithoutJobIsRemoved(t *testing.T) {
	s, now := newLoadedScheduler(1, 1, 0)
	const id = job.ID("00000000000000aa")
	s.Apply(Synced{Part: JobsPart, Changes: []Change{CancelRead{ID: id, Revision: 5}}, SentAt: now}, now)
	count := func() (n int) {
		for _, a := range s.actions {
			if r, ok := a.(RemoveCancels); ok && len(r.Cancels) == 1 && r.Cancels[0] == (CancelRemoval{id, 5}) {
				n++
			}
		}
		return n
	}
	s.Apply(Tick{}, now.Add(s.options.StatusRetention))
	if count() != 0 {
		t.Error("the cancellation is removed while a submission may be under way")
	}
	now = now.Add(s.options.StatusRetention + removalMargin + 2*removalInterval)
	s.Apply(Tick{}, now)
	if count() != 1 {
		t.Error("the cancellation is not removed")
	}
	s.Apply(Synced{Part: JobsPart, Changes: []Change{CancelRemoved{ID: id}}, SentAt: now}, now)
	s.Apply(Tick{}, now.Add(2*removalInterval))
	if count() != 0 || len(s.earlyCancels) != 0 {
		t.Error("the cancellation is removed again")
	}
}

// TestOldJobsAreRemovedAsFastAsTheyCome guards against ended jobs that stay in the store
// and in the memory of every node, because fewer are removed than are accepted.
func TestOldJobsAreRemovedAsFastAsTheyCome(t *testing.T) {
	const jobs = 100
	s, now := newLoadedScheduler(1, 1, jobs)
	for _, j := range s.jobs.all() {
		j.Stored.State, j.Stored.EndedAt = job.Completed, now.UnixMilli()
	}
	removed := make(map[job.ID]bool)
	for _, a := range s.Apply(Tick{}, now.Add(s.options.StatusRetention+removalMargin+removalInterval)) {
		if r, ok := a.(RemoveJobs); ok {
			// A write has at most 32 entries: the lease, and five for each job.
			if len(r.Jobs) > 6 {
				t.Errorf("%d jobs in one write", len(r.Jobs))
			}
			for _, j := range r.Jobs {
				removed[j.ID] = true
			}
		}
	}
	if len(removed) != jobs {
		t.Errorf("%d of %d old jobs are removed in one step", len(removed), jobs)
	}
}
