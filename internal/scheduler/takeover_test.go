package scheduler

import (
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// TestProgressOfEarlierVersionIsKept guards against done tasks that run again because
// an earlier version stored the job's progress under another key.
func TestProgressOfEarlierVersionIsKept(t *testing.T) {
	s, now := newLoadedScheduler(1, 1, 1)
	var id job.ID
	for id = range s.jobs.all() {
		break
	}
	s.stepDown("test", now)
	done := job.Progress{State: job.Running, Done: []byte{0b111}}
	s.Apply(Synced{Part: JobsPart, Changes: []Change{ProgressRead{ID: id, Progress: done, Revision: 5, Legacy: true}}, SentAt: now}, now)
	s.election.authority.Fence, s.election.authority.Since = 9, now
	s.becomeActive(now)
	j := s.jobs.get(id)
	if open := j.RemainingWork(); open == 0 {
		t.Fatal("the job has no open task")
	}
	j.EachTask(func(task *job.Task) {
		if want := task.Step == 0 && task.Index < 3; task.Done() != want {
			t.Errorf("task %s is done: %v, want %v", task.Name(), task.Done(), want)
		}
	})
	writes := s.nextBatch()
	if len(writes) != 1 || writes[0].Job != id || writes[0].Expected != 0 || writes[0].Progress.State != job.Running {
		t.Errorf("the progress is not stored again: %+v", writes)
	}
}

// TestPendingJobsAreCountedEverywhere guards against a node that reports too few or too
// many jobs that have not begun, because it does not read their progress.
func TestPendingJobsAreCountedEverywhere(t *testing.T) {
	w := newFleet(t, 3, 3, 2, 0)
	w.runFor(time.Second)
	count := func(when string, want int) {
		t.Helper()
		for _, n := range w.nodes {
			reply := make(chan int, 1)
			n.apply(PendingQuery{Queue: policy.QueueRef{Name: "q"}, Reply: reply})
			if got := <-reply; got != want {
				w.fail("%s: %s counts %d pending jobs, want %d", when, n.name, got, want)
			}
		}
	}
	var ids []job.ID
	for i := range 6 {
		// A worker has 8 cores, so two of the jobs begin.
		ids = append(ids, w.submit(i+1, job.Spec{Steps: []job.Step{newStep(1, 7000, 9000)}}))
	}
	w.runFor(2 * time.Second)
	count("with two jobs running", 4)
	w.cancel(ids[5])
	w.runFor(2 * time.Second)
	count("after a cancellation", 3)
	w.withLeader(func(n *simNode) { n.kill(time.Minute) })
	w.nodes = slicesWithout(w.nodes, func(n *simNode) bool { return n.down })
	w.submit(7, job.Spec{Steps: []job.Step{newStep(1, 7000, 9000)}})
	w.runFor(60 * time.Millisecond)
	count("before the takeover", 4)
	w.runFor(60 * time.Second)
	count("at the end", 0)
}

// TestJobsOfLostStartsArePending guards against jobs that count as begun because a start
// was sent, although the worker was lost and no task has started.
func TestJobsOfLostStartsArePending(t *testing.T) {
	w := newFleet(t, 1, 3, 2, 0)
	w.runFor(time.Second)
	// A worker has 8 cores: one is full, the other one has room for the rest.
	w.submit(1, job.Spec{Steps: []job.Step{newStep(1, 7000, 60_000)}})
	begun := w.submit(2, job.Spec{Steps: []job.Step{newStep(1, 2000, 60_000)}})
	w.runFor(time.Second)
	lost, _ := w.runningOn(job.TaskName{Job: begun})
	lost.silent = true
	const jobs = 6
	var ids []job.ID
	for i := range jobs {
		ids = append(ids, w.submit(3+i, job.Spec{Steps: []job.Step{newStep(1, 2000, 400)}}))
	}
	for range 3 {
		// The users' bound is 5 s after the acceptance.
		w.runFor(5 * time.Second)
		for _, n := range w.nodes {
			reply := make(chan int, 1)
			n.apply(PendingQuery{Queue: policy.QueueRef{Name: "q"}, Reply: reply})
			if got := <-reply; got != jobs {
				w.fail("%s counts %d pending jobs, want %d", n.name, got, jobs)
			}
		}
	}
	for _, id := range ids {
		if state := w.state(id); state != job.Queued {
			w.fail("job %s is %s, want %s", id, state, job.Queued)
		}
	}
	w.addMachine(2, "s")
	w.runFor(15 * time.Second)
	for _, id := range ids {
		if state := w.state(id); state != job.Completed {
			w.fail("job %s is %s, want %s", id, state, job.Completed)
		}
	}
}

func slicesWithout(nodes []*simNode, drop func(*simNode) bool) []*simNode {
	var rest []*simNode
	for _, n := range nodes {
		if !drop(n) {
			rest = append(rest, n)
		}
	}
	return rest
}

// TestRunsOfEndedJobsCountAfterTakeover guards against a team that runs more than its limit
// because runs of its ended jobs, on a worker that does not answer a new scheduler, don't
// count. The simulation checks the limit at each start.
func TestRunsOfEndedJobsCountAfterTakeover(t *testing.T) {
	for name, cancelBefore := range map[string]time.Duration{"cancelled after the kill": -100 * time.Millisecond, "ended before the kill": 300 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(6) {
				w := newFleet(t, seed, 3, 4, 0)
				w.teamLimit = machine.Resources{MilliCores: 16_000}
				w.store.put("config", w.config(2), 0)
				w.runFor(2 * time.Second)
				long := newStep(8, 2000, 30_000)
				first := w.submit(1, job.Spec{Steps: []job.Step{long}})
				w.runFor(time.Second)
				lost, _ := w.runningOn(job.TaskName{Job: first})
				lost.silent = true
				kill := func() { w.withLeader(func(n *simNode) { n.kill(10 * time.Second) }) }
				if cancelBefore > 0 {
					w.cancel(first)
					w.runFor(cancelBefore)
					kill()
				} else {
					kill()
					w.runFor(-cancelBefore)
					w.cancel(first)
				}
				second := w.submit(2, job.Spec{Steps: []job.Step{newStep(8, 2000, 500)}})
				w.runFor(20 * time.Second)
				if state := w.state(second); state != job.Completed {
					w.fail("the second job is %s", state)
				}
			}
		})
	}
}
