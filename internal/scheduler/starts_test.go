package scheduler

import (
	"strings"
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

// TestRunNumbersPassThoseOfEarlierScheduler guards against a task that is refused hundreds
// of times, because an earlier scheduler has started it more often than numbers separate
// two schedulers.
func TestRunNumbersPassThoseOfEarlierScheduler(t *testing.T) {
	for _, gang := range []bool{false, true} {
		s, now := newLoadedScheduler(1, 1, 0)
		step := smallStep(1)
		step.Gang = gang
		j, starts := s.addJob(t, step, now)
		// The worker has seen this number.
		seen := starts[0].Order.Run + 3*runsPerEpoch/2
		attempts := 1
		for ; starts[0].Order.Run <= seen && attempts < 10; attempts++ {
			s.refuseStart(starts[0], worker.RefusedStaleRun, now)
			now = now.Add(taskRetryDelay)
			if starts = s.startPlaced(j, now); len(starts) != 1 {
				t.Fatalf("%d starts, want 1", len(starts))
			}
		}
		if attempts > 3 {
			t.Errorf("gang %v: run %d after %d attempts, the worker has seen %d", gang, starts[0].Order.Run, attempts, seen)
		}
	}
}

// TestNoStartOnIncarnationWithoutEntry guards against a start on a worker of another kind:
// it has started again under its id, and its entry is still that of the incarnation before.
func TestNoStartOnIncarnationWithoutEntry(t *testing.T) {
	s, now := newLoadedScheduler(1, 1, 0)
	entry := worker.Description{
		ID: "i-0", Address: "i-0", Service: "s0", DataCentre: "z", Labels: []string{"a", "r"}, StartedMillis: 5,
		Capacity: machine.Resources{MilliCores: 32000, MemoryMB: 65536},
	}
	s.updateWorker(entry, now)
	report := func(started int64) {
		s.Apply(WorkerAnswered{Worker: "i-0", Fence: s.fence(), SentAt: now, Report: worker.Report{ClockMillis: 1000, StartedMillis: started}}, now)
	}
	report(5)
	report(9)
	step := smallStep(1)
	step.Label = "a"
	j, starts := s.addJob(t, step, now)
	if len(starts) != 0 {
		t.Errorf("a task starts by the entry of the incarnation before")
	}
	entry.StartedMillis, entry.Labels = 9, []string{"a", "r"}
	s.updateWorker(entry, now)
	report(9)
	if starts = s.startPlaced(j, now); len(starts) != 1 {
		t.Errorf("%d starts after the entry was written, want 1", len(starts))
	}
}

// TestFillerTasksStartInFullPool guards against filler tasks that wait while all cores of
// their pool are taken: they use what the other tasks leave.
func TestFillerTasksStartInFullPool(t *testing.T) {
	s, now := newLoadedScheduler(1, 1, 0)
	whole := smallStep(1)
	whole.Need.MilliCores = 32000
	if _, starts := s.addJob(t, whole, now); len(starts) != 1 {
		t.Fatalf("%d starts, want 1", len(starts))
	}
	filler := smallStep(2)
	filler.Filler, filler.LongRunning = true, true
	j := job.New("00000000000000fe", job.Terms{Queue: "s0", Service: "s0", Attempts: 3, Stretch: 1.6}, job.Spec{Steps: []job.Step{filler}}, now.UnixMilli(), 2)
	s.jobs.set(j.ID, j)
	s.trackJob(j)
	if starts := s.startPlaced(j, now); len(starts) != 2 {
		t.Errorf("%d filler tasks start, want 2", len(starts))
	}
}

// TestEndsBehindOneThatOpensLaterAreKept guards against tasks that run again because their
// ends are behind one whose occurrence is not due yet by this node's clock.
func TestEndsBehindOneThatOpensLaterAreKept(t *testing.T) {
	w := newFleet(t, 11, 1, 2, 0)
	timed := w.submit(1, job.Spec{Steps: []job.Step{newStep(1, 1000, 100)}, Times: 2, FirstDue: w.now.UnixMilli(), Interval: 4 * time.Second})
	placed := w.submit(2, job.Spec{Steps: []job.Step{newStep(1, 1000, 100)}})
	x := w.workers[w.listMachines()[0].Worker]
	w.store.put("s/"+string(timed), job.Progress{State: job.Running, Placed: map[int][]string{1: {x.description.ID}}}, 0)
	w.store.put("s/"+string(placed), job.Progress{State: job.Running, Placed: map[int][]string{0: {x.description.ID}}}, 0)
	w.store.put("roster", []RosterMember{{ID: x.description.ID, Address: x.description.Address, Service: "s", DataCentre: x.description.DataCentre}}, 0)
	for _, name := range []job.TaskName{{Job: timed, Occurrence: 1}, {Job: placed}} {
		x.running[name.String()] = &simRun{task: name, run: 1, startedAt: w.now}
		x.endRun(name.String(), worker.EndDone)
	}
	w.runFor(time.Second)
	// These are started by this scheduler, and the first worker has room for half of them.
	started := w.submit(3, job.Spec{Steps: []job.Step{newStep(12, 1000, 100)}})
	w.runFor(9 * time.Second)
	w.expectEnded([]job.ID{timed, placed, started})
	starts := make(map[string]int)
	for _, line := range w.trace {
		if _, after, ok := strings.Cut(line, " starts "); ok {
			starts[strings.Fields(after)[0]]++
		}
	}
	for i := range 12 {
		if name := (job.TaskName{Job: started, Index: i}).String(); starts[name] != 1 {
			w.fail("%s was started %d times", name, starts[name])
		}
	}
	for _, name := range []job.TaskName{{Job: timed, Occurrence: 1}, {Job: placed}} {
		if starts[name.String()] != 0 {
			w.fail("%s was started again", name)
		}
	}
}

// TestEndOfOccurrenceThatOpensLaterIsKept guards against a task that runs again when its
// occurrence is due by this node's clock, because the end of its run was acknowledged
// before.
func TestEndOfOccurrenceThatOpensLaterIsKept(t *testing.T) {
	w := newFleet(t, 11, 1, 2, 0)
	spec := job.Spec{Steps: []job.Step{newStep(1, 1000, 100)}, Times: 2, FirstDue: w.now.UnixMilli(), Interval: 4 * time.Second}
	id := w.submit(1, spec)
	x := w.workers[w.listMachines()[0].Worker]
	name := job.TaskName{Job: id, Occurrence: 1}
	w.store.put("s/"+string(id), job.Progress{State: job.Running, Placed: map[int][]string{1: {x.description.ID}}}, 0)
	x.running[name.String()] = &simRun{task: name, run: 1, startedAt: w.now}
	x.endRun(name.String(), worker.EndDone)
	w.runFor(9 * time.Second)
	w.expectEnded([]job.ID{id})
	if x.stoppedRuns[name.String()] != 1 {
		w.fail("the task ran again as run %d", x.stoppedRuns[name.String()])
	}
	for _, line := range w.trace {
		if strings.Contains(line, "starts "+name.String()) {
			w.fail("the task was started again")
		}
	}
}
