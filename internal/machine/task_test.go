package machine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTaskStartsOnceWhenNotIdempotent guards against a state machine that lets
// a non-idempotent task be assigned again after a start that may have reached a
// worker, and against a final state that changes.
func TestTaskStartsOnceWhenNotIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		task := &Task{ID: "t", Idempotent: rapid.Bool().Draw(t, "idempotent"), Phase: TaskQueued}
		// reached is set once a worker may have run the task.
		reached := false
		assigned := 0
		steps := map[string]func(){
			"assign": func() {
				if task.Assign(fmt.Sprintf("w%d", assigned)) {
					if reached && !task.Idempotent {
						t.Fatal("assigned again after a start that may have reached a worker")
					}
					assigned++
				}
			},
			"answer lost":   func() { task.AnswerLost(); reached = reached || task.Phase == TaskRunning },
			"confirm":       func() { task.Confirm(); reached = reached || task.Phase == TaskRunning },
			"not started":   func() { task.NotStarted() },
			"succeed":       func() { task.Succeed(now) },
			"fail":          func() { reached = reached || task.Phase == TaskRunning; task.Fail("fault", now) },
			"interrupt":     func() { reached = reached || task.Phase == TaskRunning; task.Interrupt("c", now) },
			"lose":          func() { reached = reached || task.Phase == TaskRunning; task.Lose("gone", now) },
			"cancel":        func() { task.Cancel(now) },
			"refuse":        func() { task.Refuse("impossible", now) },
			"new scheduler": func() { task.Recovered(); reached = reached || task.Phase == TaskRunning },
		}
		names := []string{"assign", "answer lost", "confirm", "not started", "succeed", "fail", "interrupt", "lose", "cancel", "refuse", "new scheduler"}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			before, final := task.Phase, task.Final()
			name := rapid.SampledFrom(names).Draw(t, "step")
			// A confirmed start is not refused by its worker.
			if name == "not started" && reached && !task.unsure {
				continue
			}
			steps[name]()
			if final && task.Phase != before {
				t.Fatalf("%s changed a task that was %s to %s", name, before, task.Phase)
			}
		}
	})
}

// TestTaskIsHeldAfterThreeWorkers guards against a task that fails everywhere
// and is started for ever.
func TestTaskIsHeldAfterThreeWorkers(t *testing.T) {
	now := time.Unix(0, 0)
	task := &Task{ID: "t", Idempotent: true, Phase: TaskQueued}
	for _, worker := range []string{"a", "b", "b", "c"} {
		if task.Phase != TaskQueued {
			t.Fatalf("phase %s before worker %s", task.Phase, worker)
		}
		task.Assign(worker)
		task.Fail("fault", now)
	}
	if task.Phase != TaskHeld {
		t.Errorf("phase %s, want %s", task.Phase, TaskHeld)
	}
}

// TestWorkerThatFailsAllIsSetAside guards against a worker that is chosen again
// and again because it looks idle and fast, and against one that is never
// probed.
func TestWorkerThatFailsAllIsSetAside(t *testing.T) {
	now := time.Unix(0, 0)
	w := NewWorker("w", "r", Resources{MilliCores: 1000, MemoryMB: 1000})
	probe, once := &Task{ID: "p", Idempotent: true}, &Task{ID: "o"}
	for i := range asideAfter {
		if w.Health() == WorkerAside {
			t.Fatalf("set aside after %d failures", i)
		}
		w.Failed(fmt.Sprint(i), now)
	}
	if w.Health() != WorkerAside || w.Takes(probe, now) {
		t.Fatalf("health %s, takes work %t", w.Health(), w.Takes(probe, now))
	}
	now = now.Add(firstBackoff)
	if !w.Takes(probe, now) || w.Takes(once, now) {
		t.Fatal("after the back-off one idempotent probe is due, and nothing else")
	}
	w.Place(probe, Resources{}, now)
	if w.Takes(&Task{ID: "q", Idempotent: true}, now) {
		t.Fatal("a second task is taken besides the probe")
	}
	w.Remove("p")
	w.Failed("p", now)
	if w.ProbeAt().Sub(now) != 2*firstBackoff {
		t.Errorf("next probe after %v, want %v", w.ProbeAt().Sub(now), 2*firstBackoff)
	}
	w.Succeeded()
	if w.Health() != WorkerGood {
		t.Errorf("health %s after a success", w.Health())
	}
}

// TestTaskThatFailsElsewhereIsNotBlamedOnTheWorker guards against broken tasks
// that set good workers aside.
func TestTaskThatFailsElsewhereIsNotBlamedOnTheWorker(t *testing.T) {
	now := time.Unix(0, 0)
	w := NewWorker("w", "r", Resources{})
	for i := range asideAfter {
		w.Failed(fmt.Sprint(i), now)
	}
	w.Retract("1")
	if w.Health() == WorkerAside {
		t.Error("the worker stays aside although a task failed on another worker too")
	}
}

// TestEstimateLearns guards against placement by declared sizes that are off by
// a constant factor or say nothing.
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

// TestRefusedStartStaysWhileAnEarlierOneIsUnresolved guards against a task that
// moves to another worker while an earlier start may still reach the first one.
func TestRefusedStartStaysWhileAnEarlierOneIsUnresolved(t *testing.T) {
	task := &Task{ID: "t", Phase: TaskQueued}
	task.Assign("w")
	task.AnswerLost()
	if task.NotStarted() || task.Phase != TaskRunning || task.Worker != "w" {
		t.Errorf("the task left its worker: %+v", task)
	}
}
