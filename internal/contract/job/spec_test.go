package job

import (
	"testing"
	"time"
)

// TestSizeOfJobIsBounded guards against one job whose tasks exceed the memory of every
// scheduler in turn, or whose progress exceeds a value of the store.
func TestSizeOfJobIsBounded(t *testing.T) {
	wide := Step{Count: MaxTasksPerStep}
	for name, c := range map[string]struct {
		spec Spec
		ok   bool
	}{
		"widest occurrence":     {Spec{Steps: []Step{wide, wide}}, true},
		"too wide occurrence":   {Spec{Steps: []Step{wide, wide, {Count: 1}}}, false},
		"most occurrences":      {Spec{Steps: []Step{{Count: 8}}, Times: MaxOccurrences}, true},
		"too many occurrences":  {Spec{Steps: []Step{{Count: 1}}, Times: MaxOccurrences + 1}, false},
		"too many tasks in all": {Spec{Steps: []Step{wide}, Times: MaxTasks/MaxTasksPerStep + 1}, false},
	} {
		if err := c.spec.Check(); (err == nil) != c.ok {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestOverdueOccurrencesOpenInTurn guards against a job whose occurrences are all
// overdue and open at once.
func TestOverdueOccurrencesOpenInTurn(t *testing.T) {
	const times, tasks = 100, MaxTasksPerStep
	j := New("1", Terms{}, Spec{Steps: []Step{{Count: tasks}}, Times: times, Interval: time.Second}, 0, 1)
	j.StartLeading()
	opened := 0
	for round := 0; opened < times; round++ {
		now := j.OpenDue(1 << 40)
		if len(now) == 0 {
			t.Fatalf("round %d opens nothing after %d occurrences", round, opened)
		}
		if n := len(j.occurrences) * tasks; n > maxOpenTasks {
			t.Fatalf("%d open tasks, want at most %d", n, maxOpenTasks)
		}
		opened += len(now)
		for _, o := range now {
			for i := range o.Tasks(0) {
				o.Tasks(0)[i].MarkDone()
			}
		}
	}
	if !j.Complete(0) {
		t.Error("the job is not complete")
	}
}
