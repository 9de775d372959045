package scheduler

import (
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
)

// TestFillingTasksYield guards against tasks that fill and harm the serving ones
// beside them, also across a takeover, and against a pace that stays low when
// the harm is over.
func TestFillingTasksYield(t *testing.T) {
	for seed := range uint64(10) {
		w := fleetOf(t, seed, 2, 1, 0)
		w.runFor(time.Second)
		serving, filling := lasting(2, 0, 0), lasting(2, 0, 0)
		serving.LatencyObjective, filling.Fills = 100*time.Millisecond, true
		w.submit(1, job.Spec{Steps: []job.Step{serving}})
		fill := w.submit(2, job.Spec{Steps: []job.Step{filling}})
		w.runFor(3 * time.Second)
		w.interfere(0.9)
		w.runFor(8 * time.Second)
		w.leader(func(n *simNode) { n.kill(time.Second) })
		w.runFor(8 * time.Second)
		w.interfere(0.05)
		w.runFor(8 * time.Second)
		for _, x := range w.workers {
			for _, run := range x.live {
				if run.task.Job == fill && run.pace < 100 {
					w.fail("%s works at %d%% though nothing is harmed", run.task, run.pace)
				}
			}
		}
		w.expectRunning(fill)
	}
}
