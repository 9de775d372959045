package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// TestAdoptedTasksMayBeStopping guards against a new scheduler that takes down a machine with
// a long-running task while the stops that its predecessor has ordered for others of the step
// are still under way: workers list such runs until they have ended.
func TestAdoptedTasksMayBeStopping(t *testing.T) {
	s, now := newLoadedScheduler(3, 1, 0)
	s.election.authority.Since = now
	j := job.New("00000000000000aa", job.Terms{Queue: "s0", Service: "s0", Attempts: 1},
		job.Spec{Steps: []job.Step{{Count: 3, Need: machine.Resources{MilliCores: 1000}, LongRunning: true, MaxUnavailable: 1}}}, now.UnixMilli(), 2)
	s.jobs.set(j.ID, j)
	s.trackJob(j)
	report := func(at time.Time) {
		for i := range 3 {
			w := s.workers.get(fmt.Sprintf("i-%d", i))
			running := []worker.RunReport{{Task: job.TaskName{Job: j.ID, Index: i}, Run: 1, Percent: 100}}
			s.applyReport(w, WorkerAnswered{Worker: w.ID, SentAt: at, Report: worker.Report{Running: running}}, at)
		}
	}
	report(now)
	if s.mayEndWithRuns(s.workers.get("i-0")) {
		t.Error("a task may be ended right after the takeover")
	}
	now = now.Add(3 * time.Second)
	report(now)
	if !s.mayEndWithRuns(s.workers.get("i-0")) {
		t.Error("no task may be ended when every stop of the predecessor is over")
	}
}
