package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// leastDrainBound is the least bound of the users' sites after which nothing may start on
// a worker that drains, or by an old configuration.
const leastDrainBound = 2 * time.Second

// TestNoStartOnOldCopies guards against tasks that start on a worker that drains, in a
// data centre that was taken out, or for a cancelled job, because one part of the local
// copy is so old that it does not show it.
func TestNoStartOnOldCopies(t *testing.T) {
	for part := range partCount {
		s, now := newLoadedScheduler(2, 1, 2)
		later := now.Add(leastDrainBound)
		for other := range s.fresh {
			if Part(other) != part {
				s.fresh[other].RecordRead(later)
			}
		}
		running := func() int {
			n := 0
			for _, w := range s.workers.all() {
				n += len(w.Runs())
			}
			return n
		}
		s.place.roundNeeded = true
		s.stepPlace(later)
		if n := running(); n != 0 {
			t.Errorf("part %d is %v old and %d tasks are placed", part, leastDrainBound, n)
		}
		s.fresh[part].RecordRead(later)
		s.place.roundNeeded, s.place.nextAt = true, time.Time{}
		s.stepPlace(later)
		if running() == 0 {
			t.Errorf("part %d is fresh again and no task is placed", part)
		}
	}
}

// TestSuspectWithoutWorkerDoesNotHoldUpItsStep guards against tasks that never start although
// there is room, because the one before them must be kept apart and has no worker.
func TestSuspectWithoutWorkerDoesNotHoldUpItsStep(t *testing.T) {
	s, now := newLoadedScheduler(2, 1, 2)
	id := func(i int) job.ID { return job.ID(fmt.Sprintf("%016x", i)) }
	other, j := s.jobs.get(id(0)), s.jobs.get(id(1))
	for i, w := range []string{"i-0", "i-1"} {
		s.addRun(s.workers.get(w), &job.Run{Task: other.Task(job.TaskName{Job: other.ID, Index: i}), Number: 1, OrderedAt: now, Phase: job.RunActive})
	}
	suspect := j.Task(job.TaskName{Job: j.ID})
	suspect.RecordLostStart("lost", now)
	s.placeRound(now)
	j.EachTask(func(task *job.Task) {
		if want := task != suspect; len(task.Runs) > 0 != want {
			t.Errorf("task %s has a run: %v, want %v", task.Name(), !want, want)
		}
	})
}

// TestNoStartBeyondShrunkCapacity guards against starts that bring a worker over its
// capacity, because it has shrunk after the tasks were placed.
func TestNoStartBeyondShrunkCapacity(t *testing.T) {
	for name, c := range map[string]struct {
		capacity machine.Resources
		want     int
	}{
		"unchanged":            {machine.Resources{MilliCores: 32000, MemoryMB: 65536}, 6},
		"less than one task":   {machine.Resources{MilliCores: 1000, MemoryMB: 65536}, 0},
		"room for two of them": {machine.Resources{MilliCores: 3200, MemoryMB: 65536}, 2},
	} {
		s, now := newLoadedScheduler(1, 1, 1)
		s.placeRound(now)
		if n := startsOrdered(s); n != 0 {
			t.Fatalf("%s: %d starts were sent before their placement was stored", name, n)
		}
		for _, w := range s.workers.all() {
			d := w.Description
			d.Capacity = c.capacity
			Synced{Part: WorkersPart, Changes: []Change{WorkerListed{d}}, SentAt: now}.Apply(s, now)
		}
		for _, j := range s.jobs.all() {
			progress, version := j.Unflushed()
			j.MarkFlushed(progress, version, 3)
			s.sendDeferredStarts(j, now)
		}
		if n := startsOrdered(s); n != c.want {
			t.Errorf("%s: %d starts were sent, want %d", name, n, c.want)
		}
	}
}

// startsOrdered returns the number of starts among the scheduler's actions.
func startsOrdered(s *Scheduler) int {
	n := 0
	for _, a := range s.actions {
		if _, ok := a.(StartTask); ok {
			n++
		}
	}
	return n
}
