package scheduler

import (
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
)

// TestFillerTasksYield guards against filler tasks that keep serving tasks on
// the same worker over their latency objective, also across a takeover, and
// against a pace that stays low after the latency has recovered.
func TestFillerTasksYield(t *testing.T) {
	for seed := range uint64(10) {
		w := newFleet(t, seed, 2, 1, 0)
		w.runFor(time.Second)
		serving, filler := newLongRunningStep(2, 0, 0), newLongRunningStep(2, 0, 0)
		serving.LatencyObjective, filler.Filler = 100*time.Millisecond, true
		w.submit(1, job.Spec{Steps: []job.Step{serving}})
		fillerJob := w.submit(2, job.Spec{Steps: []job.Step{filler}})
		w.runFor(3 * time.Second)
		w.setInterference(0.9)
		w.runFor(8 * time.Second)
		w.withLeader(func(n *simNode) { n.kill(time.Second) })
		w.runFor(8 * time.Second)
		w.setInterference(0.05)
		w.runFor(8 * time.Second)
		for _, x := range w.workers {
			for _, run := range x.running {
				if run.task.Job == fillerJob && run.pace < 100 {
					w.fail("%s runs at %d%% though no serving task is over its objective", run.task, run.pace)
				}
			}
		}
		w.expectRunning(fillerJob)
	}
}
