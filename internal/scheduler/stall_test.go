package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// TestLateReportIsNoStall guards against a scheduler that stops a run as stalled because
// it has polled the worker late, and against a run that makes no progress and is not
// stopped.
func TestLateReportIsNoStall(t *testing.T) {
	s, now := newLoadedScheduler(1, 1, 0)
	spec := job.Spec{Steps: []job.Step{newLongRunningStep(1, 1, 0)}}
	j := job.New("0000000000000001", job.Terms{Queue: "s0", Service: "s0", Attempts: 3}, spec, now.UnixMilli(), 2)
	s.jobs.set(j.ID, j)
	s.trackJob(j)
	w := s.workers.get("i-0")
	r := &job.Run{Task: j.Task(job.TaskName{Job: j.ID}), Number: 1, OrderedAt: now, ProgressAt: now, ConfirmedAt: now, Phase: job.RunActive, PacePercent: fullPace}
	s.addRun(w, r)
	report := func(at time.Time, percent int) {
		s.confirm(r, worker.RunReport{Task: r.Task.Name(), Run: 1, Percent: percent}, at)
	}
	check := func(at time.Time) bool {
		s.checkRun(w, r, at)
		return !r.StopSentAt.IsZero()
	}
	report(now.Add(time.Second), 20)
	if check(now.Add(time.Second + 3*stallTimeout)) {
		t.Error("a run without a report is stopped")
	}
	report(now.Add(time.Second+3*stallTimeout), 60)
	if check(now.Add(time.Second + 3*stallTimeout)) {
		t.Error("a run with progress in a late report is stopped")
	}
	report(now.Add(time.Second+4*stallTimeout), 60)
	if !check(now.Add(time.Second + 4*stallTimeout)) {
		t.Error("a run without progress between two reports is not stopped")
	}
}

// TestTaskWithWrongEstimateIsNotStoppedForEver guards against a sound task that never ends,
// because its estimate is missing and each run is stopped as stalled before it shows one
// percent more.
func TestTaskWithWrongEstimateIsNotStoppedForEver(t *testing.T) {
	const perPercent = 5 * time.Second
	s, now := newLoadedScheduler(1, 1, 0)
	j := job.New("0000000000000001", job.Terms{Queue: "s0", Service: "s0", Attempts: 3}, job.Spec{Steps: []job.Step{newStep(1, 1000, 0)}}, now.UnixMilli(), 2)
	s.jobs.set(j.ID, j)
	s.trackJob(j)
	task, w := j.Task(job.TaskName{Job: j.ID}), s.workers.get("i-0")
	for number := 1; ; number++ {
		r := &job.Run{Task: task, Number: number, OrderedAt: now, ProgressAt: now, ConfirmedAt: now, Phase: job.RunActive, PacePercent: fullPace}
		s.addRun(w, r)
		now = now.Add(perPercent)
		s.confirm(r, worker.RunReport{Task: task.Name(), Run: number}, now)
		s.election.authority.Renew(now, time.Hour)
		s.checkRun(w, r, now)
		if r.StopSentAt.IsZero() {
			return
		}
		if number == 3 {
			t.Fatal("the third run is stopped as well")
		}
		s.removeRun(w, r)
	}
}

// TestServedTasksKeepTheirWorkerInUse guards against a worker that is set aside although it
// serves, because the long-running tasks on it fail now and then: a task that may run
// there only waits for up to 16 s.
func TestServedTasksKeepTheirWorkerInUse(t *testing.T) {
	for _, c := range []struct {
		name   string
		served time.Duration
		usable bool
	}{{"tasks that have served", 5 * time.Second, true}, {"tasks that fail at their start", 0, false}} {
		s, now := newLoadedScheduler(1, 1, 0)
		w := s.workers.get("i-0")
		for i := range 4 {
			j := job.New(job.ID(fmt.Sprintf("%016x", i+1)), job.Terms{Queue: "s0", Service: "s0", Attempts: 3}, job.Spec{Steps: []job.Step{newLongRunningStep(1, 1, 0)}}, now.UnixMilli(), 2)
			s.jobs.set(j.ID, j)
			s.trackJob(j)
			r := &job.Run{Task: j.Task(job.TaskName{Job: j.ID}), Number: 1, OrderedAt: now, ProgressAt: now, ConfirmedAt: now, Phase: job.RunActive, PacePercent: fullPace}
			s.addRun(w, r)
			running := worker.Report{Running: []worker.RunReport{{Task: r.Task.Name(), Run: 1, Percent: 100}}}
			for end := now.Add(c.served); now.Before(end); now = now.Add(pollWait) {
				s.matchRuns(w, WorkerAnswered{Report: running, SentAt: now}, nil, now)
			}
			s.applyEnd(w, worker.EndReport{Number: int64(i + 1), Task: r.Task.Name(), Run: 1, Reason: worker.EndFailed}, now)
		}
		if got := !w.IsSetAside(now); got != c.usable {
			t.Errorf("%s: the worker is in use: %v, want %v", c.name, got, c.usable)
		}
	}
}

// TestPollsStayFrequent guards against a scheduler with little processor time that polls
// the workers of a large fleet so rarely that leases run out or runs seem to stall.
func TestPollsStayFrequent(t *testing.T) {
	for _, share := range []float64{0, 0.1, 0.2, 1} {
		for _, busy := range []int{0, 10, 500, 3000} {
			s := New(Options{CPUShare: share})
			s.busyWorkers = busy
			if got := s.pollInterval() + pollWait; got > stallTimeout || got < minPollInterval {
				t.Errorf("%.1f of a core and %d busy workers: a poll every %v", share, busy, got)
			}
		}
	}
}
