package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
)

// restartLeader stops the scheduler as planned and starts its process again.
func (w *simulation) restartLeader() {
	w.withLeader(func(n *simNode) {
		n.apply(Resign{})
		n.later(300*time.Millisecond, func() { n.kill(time.Second) })
	})
}

// TestLostWorkerIsAwaitedOnce guards against a wait for the lease of a worker that is
// lost for good which begins anew with each scheduler: its long-running tasks were down
// for 18 s over three restarts.
func TestLostWorkerIsAwaitedOnce(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newFleet(t, seed, 4, 6, 0)
			w.runFor(time.Second)
			id := w.submit(1, job.Spec{Steps: []job.Step{newLongRunningStep(4, 2, 1)}})
			w.runFor(4 * time.Second)
			x, _ := w.runningOn(job.TaskName{Job: id})
			w.machines[x.description.ID[2:5]].worker = ""
			x.dead = true
			lostAt := w.now
			w.after(2*time.Second, func() { w.store.remove("worker/" + x.description.ID) })
			w.runFor(200 * time.Millisecond)
			for range 3 {
				w.restartLeader()
				w.runFor(2900 * time.Millisecond)
			}
			// The users expect a long-running task to run again from 6 s after its last
			// run, within 3 s.
			w.runFor(lostAt.Add(9 * time.Second).Sub(w.now))
			w.expectRunning(id)
		})
	}
}

// TestSilentWorkerThatAnswersAgain guards against a worker whose stored silence still
// holds when it gets orders again: a later scheduler would start its tasks elsewhere
// while they run.
func TestSilentWorkerThatAnswersAgain(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newFleet(t, seed, 4, 6, 0)
			w.runFor(time.Second)
			lasting := w.submit(1<<40, job.Spec{Steps: []job.Step{newLongRunningStep(4, 1, 1)}})
			ids := w.submitLoad(1, 100, 150*time.Millisecond)
			w.runFor(2 * time.Second)
			for range 6 {
				for _, x := range w.randomWorkers(2) {
					x.silent = true
					w.after(time.Duration(500+w.random.IntN(4000))*time.Millisecond, func() { x.silent = false })
				}
				w.lateRate = 0.1
				w.runFor(time.Duration(800+w.random.IntN(2500)) * time.Millisecond)
				w.lateRate = 0
				switch w.random.IntN(3) {
				case 0:
					w.restartLeader()
				case 1:
					w.withLeader(func(n *simNode) { n.kill(time.Second) })
				}
			}
			w.runFor(40 * time.Second)
			w.expectEnded(ids)
			w.expectRunning(lasting)
		})
	}
}

// TestSilenceStoredWithoutAnswerIsRemoved guards against a worker that gets no tasks any
// longer, because the write of its silence got no answer and it answers again.
func TestSilenceStoredWithoutAnswerIsRemoved(t *testing.T) {
	w := newFleet(t, 1, 1, 1, 0)
	w.runFor(time.Second)
	first := w.submit(1, job.Spec{Steps: []job.Step{newStep(1, 1000, 6000)}})
	w.runFor(500 * time.Millisecond)
	x, _ := w.runningOn(job.TaskName{Job: first})
	w.lateRecord = "silent"
	x.silent = true
	w.runFor(2500 * time.Millisecond)
	x.silent = false
	w.lateRecord = ""
	second := w.submit(2, job.Spec{Steps: []job.Step{newStep(1, 1000, 300)}})
	w.runFor(1500 * time.Millisecond)
	w.expectEnded([]job.ID{second})
	w.runFor(lateRecordDelay)
	if item, ok := w.store.get("silent"); ok && len(item.value.(SilencesRead).Left) > 0 {
		w.fail("the store holds %+v of a worker that answers", item.value)
	}
	w.expectEnded([]job.ID{first})
}
