package scheduler

import (
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// addJob adds a job with one step to a loaded scheduler and starts its tasks, as if their
// placement was stored at once. It returns the job and the starts that were sent.
func (s *Scheduler) addJob(t *testing.T, step job.Step, now time.Time) (*job.Job, []StartTask) {
	t.Helper()
	j := job.New("00000000000000ff", job.Terms{Queue: "s0", Service: "s0", Attempts: 3, Stretch: 1.6}, job.Spec{Steps: []job.Step{step}}, now.UnixMilli(), 2)
	s.jobs.set(j.ID, j)
	s.trackJob(j)
	return j, s.startPlaced(j, now)
}

func (s *Scheduler) startPlaced(j *job.Job, now time.Time) []StartTask {
	s.actions = nil
	s.placeRound(now)
	progress, version := j.Unflushed()
	j.MarkFlushed(progress, version, version)
	s.sendDeferredStarts(j, now)
	var starts []StartTask
	for _, a := range s.actions {
		if start, ok := a.(StartTask); ok {
			starts = append(starts, start)
		}
	}
	return starts
}

func smallStep(count int) job.Step {
	return job.Step{Count: count, Need: machine.Resources{MilliCores: 1000, MemoryMB: 100}, Estimate: time.Second}
}

func (s *Scheduler) refuseStart(a StartTask, reason worker.Refusal, now time.Time) []Action {
	return s.Apply(StartAnswered{Worker: a.Target.ID, Run: RunKeyOf(a), Fence: a.Order.Fence, Outcome: StartNotDone, Refusal: reason}, now)
}

// TestRefusedStartStopsRestOfGang guards against members of a gang that wait for one whose
// start was refused, until they end without it.
func TestRefusedStartStopsRestOfGang(t *testing.T) {
	s, now := newLoadedScheduler(3, 1, 0)
	step := smallStep(4)
	step.Gang = true
	_, starts := s.addJob(t, step, now)
	if len(starts) != 4 {
		t.Fatalf("%d starts, want 4", len(starts))
	}
	stopped := make(map[job.TaskName]bool)
	for _, a := range s.refuseStart(starts[1], worker.RefusedResources, now) {
		if stop, ok := a.(StopRun); ok {
			stopped[stop.Run.Task] = true
		}
	}
	for i, start := range starts {
		if want := i != 1; stopped[start.Order.Task] != want {
			t.Errorf("member %d is stopped: %v, want %v", i, !want, want)
		}
	}
}
