package machine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestNonIdempotentTaskStartsOnce guards against a state machine that assigns a
// non-idempotent task again after a start that may have reached a worker, and
// against a final phase that changes.
func TestNonIdempotentTaskStartsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		task := &Task{ID: "t", Idempotent: rapid.Bool().Draw(t, "idempotent"), Phase: TaskQueued}
		// mayHaveRun is set once a worker may have run the task.
		mayHaveRun := false
		assigned := 0
		steps := map[string]func(){
			"assign": func() {
				if task.Assign(fmt.Sprintf("w%d", assigned)) {
					if mayHaveRun && !task.Idempotent {
						t.Fatal("assigned again after a start that may have reached a worker")
					}
					assigned++
				}
			},
			"answer lost":   func() { task.MarkStartUnresolved(); mayHaveRun = mayHaveRun || task.Phase == TaskRunning },
			"confirm":       func() { task.ConfirmStart(); mayHaveRun = mayHaveRun || task.Phase == TaskRunning },
			"not started":   func() { task.RefuseStart() },
			"succeed":       func() { task.Succeed(now) },
			"fail":          func() { mayHaveRun = mayHaveRun || task.Phase == TaskRunning; task.Fail("fault", now) },
			"interrupt":     func() { mayHaveRun = mayHaveRun || task.Phase == TaskRunning; task.Interrupt("c", now) },
			"lose":          func() { mayHaveRun = mayHaveRun || task.Phase == TaskRunning; task.ExpireLease("gone", now) },
			"cancel":        func() { task.Cancel(now) },
			"refuse":        func() { task.Refuse("impossible", now) },
			"new scheduler": func() { task.MarkRecovered(); mayHaveRun = mayHaveRun || task.Phase == TaskRunning },
		}
		names := []string{"assign", "answer lost", "confirm", "not started", "succeed", "fail", "interrupt", "lose", "cancel", "refuse", "new scheduler"}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			before, final := task.Phase, task.Final()
			name := rapid.SampledFrom(names).Draw(t, "step")
			// A worker does not refuse a start that it has confirmed.
			if name == "not started" && mayHaveRun && !task.startUnresolved {
				continue
			}
			steps[name]()
			if final && task.Phase != before {
				t.Fatalf("%s changed a task that was %s to %s", name, before, task.Phase)
			}
		}
	})
}

// TestTaskIsHeldAfterThreeWorkers guards against a task that fails on every
// worker and is restarted indefinitely.
func TestTaskIsHeldAfterThreeWorkers(t *testing.T) {
	now := time.Unix(0, 0)
	task := &Task{ID: "t", Idempotent: true, Phase: TaskQueued}
	for _, worker := range []string{"a", "b", "b", "c"} {
		if task.Phase != TaskQueued {
			t.Fatalf("phase %s before the start on worker %s, want queued", task.Phase, worker)
		}
		task.Assign(worker)
		task.Fail("fault", now)
	}
	if task.Phase != TaskHeld {
		t.Errorf("phase %s, want %s", task.Phase, TaskHeld)
	}
}

// TestFailingWorkerIsSetAside guards against a worker that fails every task and
// is chosen again and again because it looks idle and fast, and against a worker
// that is set aside and never probed.
func TestFailingWorkerIsSetAside(t *testing.T) {
	now := time.Unix(0, 0)
	w := NewWorker("w", "r", Resources{MilliCores: 1000, MemoryMB: 1000})
	probe, nonIdempotent := &Task{ID: "p", Idempotent: true}, &Task{ID: "o"}
	for i := range asideThreshold {
		if w.Health() == WorkerAside {
			t.Fatalf("the worker is set aside after %d failures", i)
		}
		w.RecordFailure(fmt.Sprint(i), now)
	}
	if w.Health() != WorkerAside || w.Admits(probe, now) {
		t.Fatalf("health %s, admits a task %t, want a worker set aside that admits none", w.Health(), w.Admits(probe, now))
	}
	now = now.Add(minBackoff)
	if !w.Admits(probe, now) || w.Admits(nonIdempotent, now) {
		t.Fatal("want exactly one idempotent probe task admitted after the back-off")
	}
	w.Place(probe, Resources{}, now)
	if w.Admits(&Task{ID: "q", Idempotent: true}, now) {
		t.Fatal("a second task is admitted beside the probe")
	}
	w.Remove("p")
	w.RecordFailure("p", now)
	if w.ProbeAt().Sub(now) != 2*minBackoff {
		t.Errorf("next probe after %v, want %v", w.ProbeAt().Sub(now), 2*minBackoff)
	}
	w.RecordSuccess()
	if w.Health() != WorkerGood {
		t.Errorf("health %s after a success", w.Health())
	}
}

// TestFailureIsRetractedWhenTaskFailsElsewhere guards against faulty tasks that
// set healthy workers aside because their failure on one worker still counts
// after they failed on another.
func TestFailureIsRetractedWhenTaskFailsElsewhere(t *testing.T) {
	now := time.Unix(0, 0)
	w := NewWorker("w", "r", Resources{})
	for i := range asideThreshold {
		w.RecordFailure(fmt.Sprint(i), now)
	}
	w.RetractFailure("1")
	if w.Health() == WorkerAside {
		t.Error("the worker stays set aside although one of its failures was retracted")
	}
}

// TestEstimateLearns guards against placement by declared sizes that are wrong
// by a constant factor or unrelated to the task.
func TestEstimateLearns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		factor := rapid.Float64Range(0.25, 4).Draw(t, "factor")
		constant := rapid.Bool().Draw(t, "constant size")
		var e Estimate
		for range 100 {
			declared := rapid.Int64Range(1000, 8000).Draw(t, "declared")
			used := int64(float64(declared) * factor)
			if constant {
				used = int64(2000 * factor)
			}
			e.Observe(Resources{MilliCores: declared, MemoryMB: declared}, Resources{MilliCores: used, MemoryMB: used})
		}
		want := 4000 * factor
		if constant {
			want = 2000 * factor
		}
		got := e.Size(Resources{MilliCores: 4000, MemoryMB: 4000})
		if float64(got.MilliCores) < 0.9*want || float64(got.MilliCores) > 1.3*want {
			t.Fatalf("estimate %d, used %.0f", got.MilliCores, want)
		}
	})
}

// TestRefusedStartKeepsWorkerWhileUnresolved guards against a task that moves
// to another worker while an earlier start may still reach the first one.
func TestRefusedStartKeepsWorkerWhileUnresolved(t *testing.T) {
	task := &Task{ID: "t", Phase: TaskQueued}
	task.Assign("w")
	task.MarkStartUnresolved()
	if task.RefuseStart() || task.Phase != TaskRunning || task.Worker != "w" {
		t.Errorf("the task left its worker: %+v", task)
	}
}
