package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
)

// runningOn returns the worker that runs a task and for how long, nil if none does.
func (w *simulation) runningOn(name job.TaskName) (*simWorker, time.Duration) {
	for _, x := range w.workers {
		if run := x.running[name.String()]; run != nil && !x.dead && !x.silent {
			return x, w.now.Sub(run.startedAt)
		}
	}
	return nil, 0
}

// disturbStarts calls disturb count times, each time with the worker on which a run of
// the task has begun shortly before.
func (w *simulation) disturbStarts(name job.TaskName, count int, disturb func(*simWorker)) {
	for end := w.now.Add(60 * time.Second); count > 0 && w.now.Before(end); {
		w.runFor(10 * time.Millisecond)
		if x, age := w.runningOn(name); x != nil && age >= 100*time.Millisecond && age < 200*time.Millisecond {
			disturb(x)
			count--
		}
	}
	if count > 0 {
		w.fail("the task was not started %d times more", count)
	}
}

// TestLostWorkersEndNoSoundJob guards against a job that is shown as failed although none
// of its runs has failed, because workers crash or are cut off soon after they start it:
// long-running jobs were ended after two crashes of one worker.
func TestLostWorkersEndNoSoundJob(t *testing.T) {
	cutOff := func(w *simulation) func(*simWorker) {
		return func(x *simWorker) {
			x.silent = true
			w.store.remove("worker/" + x.description.ID)
		}
	}
	crash := func(w *simulation) func(*simWorker) { return func(x *simWorker) { w.crash(x.description.ID) } }
	for _, c := range []struct {
		name     string
		spec     job.Step
		count    int
		disturb  func(w *simulation) func(*simWorker)
		sameOnly bool
	}{
		{"long-running, workers crash", newLongRunningStep(5, 1, 1), 5, crash, false},
		{"long-running, workers are cut off", newLongRunningStep(5, 1, 1), 4, cutOff, false},
		{"one task, workers are cut off", newStep(1, 1000, 2000), 4, cutOff, false},
		{"one task, one worker crashes", newStep(1, 1000, 2000), 4, crash, true},
	} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%s/%d", c.name, seed), func(t *testing.T) {
				w := newSimulation(t, seed, 2)
				for i := range 12 {
					w.addWorker(fmt.Sprintf("w%02d", i), "s", fmt.Sprintf("z%d", i%3), "r")
				}
				w.runFor(time.Second)
				id := w.submit(1, job.Spec{Steps: []job.Step{c.spec}})
				task := job.TaskName{Job: id}
				if c.sameOnly {
					flapping := ""
					for end := w.now.Add(20 * time.Second); w.now.Before(end); w.runFor(10 * time.Millisecond) {
						x, age := w.runningOn(task)
						if x == nil || age < 100*time.Millisecond || age >= 200*time.Millisecond || flapping != "" && x.description.ID != flapping {
							continue
						}
						flapping = x.description.ID
						w.crash(flapping)
					}
				} else {
					w.disturbStarts(task, c.count, c.disturb(w))
				}
				w.runFor(20 * time.Second)
				if c.spec.LongRunning {
					w.expectRunning(id)
				} else {
					w.expectEnded([]job.ID{id})
				}
			})
		}
	}
}

// TestSoundJobOutlivesCrashesOfItsWorkers guards against a job that is shown as failed
// because several workers have crashed under one of its tasks, which has not caused that.
func TestSoundJobOutlivesCrashesOfItsWorkers(t *testing.T) {
	const early, late = 100 * time.Millisecond, 3 * time.Second
	for _, ages := range [][]time.Duration{{early, late}, {late, early}, {early, early}, {late, late}, {early, late, early}, {early, late, late, late}} {
		t.Run(fmt.Sprint(ages), func(t *testing.T) {
			w := newSimulation(t, 1, 3)
			for i := range 7 {
				w.addWorker(fmt.Sprintf("w%d", i), "s", fmt.Sprintf("z%d", i%3), "r")
			}
			w.runFor(time.Second)
			id := w.submit(1, job.Spec{Steps: []job.Step{newStep(1, 4000, 10_000)}})
			for _, age := range ages {
				var x *simWorker
				for end := w.now.Add(15 * time.Second); x == nil && w.now.Before(end); w.runFor(10 * time.Millisecond) {
					if on, since := w.runningOn(job.TaskName{Job: id}); on != nil && since >= age {
						x = on
					}
				}
				if x == nil {
					w.fail("the task is not started again; its job is %s", w.state(id))
				}
				w.crash(x.description.ID)
			}
			w.runFor(20 * time.Second)
			if state := w.state(id); state != job.Completed {
				w.fail("the job is %s, want %s", state, job.Completed)
			}
		})
	}
}

// TestSuspectRunsBesideLongRunningTasks guards against a task that is never started again
// after two late crashes, and all behind it in its step, because no worker is empty.
func TestSuspectRunsBesideLongRunningTasks(t *testing.T) {
	w := newFleet(t, 1, 3, 7, 0)
	w.runFor(time.Second)
	w.submit(1, job.Spec{Steps: []job.Step{newLongRunningStep(7, 1, 1)}})
	w.runFor(3 * time.Second)
	// The team's limit is 24 cores, so not all tasks run at a time.
	id := w.submit(2, job.Spec{Steps: []job.Step{newStep(14, 4000, 3000)}})
	task := job.TaskName{Job: id}
	for range 2 {
		for end := w.now.Add(15 * time.Second); w.now.Before(end); w.runFor(10 * time.Millisecond) {
			if x, age := w.runningOn(task); x != nil && age >= 600*time.Millisecond {
				w.crash(x.description.ID)
				break
			}
		}
	}
	w.runFor(30 * time.Second)
	if state := w.state(id); state != job.Completed {
		w.fail("the job is %s, want %s", state, job.Completed)
	}
}
