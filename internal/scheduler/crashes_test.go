package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// TestTaskThatCrashesWorkersIsGivenUp guards against a task that crashes one worker after
// the other, also across takeovers, and against the end of jobs that only ran beside it.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	for _, c := range []struct {
		name  string
		delay time.Duration
	}{{"at its start", 10 * time.Millisecond}, {"before its answer", 0}, {"while it runs", 400 * time.Millisecond}} {
		for seed := range uint64(8) {
			t.Run(fmt.Sprintf("%s/%d", c.name, seed), func(t *testing.T) {
				w := newSimulation(t, seed, 3)
				w.crashDelay = c.delay
				for i := range 8 {
					w.addWorker(fmt.Sprintf("w%d", i), "s", "z", "r")
				}
				w.runFor(3 * time.Second)
				step := job.Step{Count: 4, Need: machine.Resources{MilliCores: 700, MemoryMB: 100}, Estimate: 500 * time.Millisecond, Speculative: seed%2 == 0}
				var deadly, harmless []job.ID
				for i := range 24 {
					id := w.submit(i+1, job.Spec{Steps: []job.Step{step}})
					if i%8 == 3 {
						deadly = append(deadly, id)
						w.deadly[job.TaskName{Job: id}.String()] = true
					} else {
						harmless = append(harmless, id)
					}
					w.runFor(100 * time.Millisecond)
				}
				for _, n := range w.nodes {
					if n.guard.Scheduler().Leading() {
						n.kill(2 * time.Second)
						break
					}
				}
				w.runFor(60 * time.Second)
				for _, id := range deadly {
					if state := w.state(id); state != job.Failed {
						w.fail("job %s, which crashes its workers, is %s", id, state)
					}
				}
				for _, id := range harmless {
					if state := w.state(id); state != job.Completed {
						w.fail("job %s, which only ran beside others that crash their workers, is %s", id, state)
					}
				}
			})
		}
	}
}
