package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/zone"
)

// RenewTasks renews the leases of running tasks in one call. The result is
// TasksRenewed.
type RenewTasks struct {
	Term  uint64
	Tasks []WorkerTask
}

func (RenewTasks) isAction() {}

// CheckpointTask saves the progress of a task and ends its attempt. The result
// is CheckpointAnswered.
type CheckpointTask struct {
	Term uint64
	Task string
	On   WorkerTask
}

func (CheckpointTask) isAction() {}

// lose takes the certain end of a task's lease on a worker that is gone.
func (f *Fleet) lose(s *scheduler, t *machine.Task, now time.Time, reason string) {
	worker := t.Worker
	t.Lose(reason, now)
	f.explainTask(t, now, string(t.Phase), reason, Input{"worker", worker})
	f.vacate(s, t, worker)
	if t.Phase == machine.TaskQueued {
		s.centre.Workers.Backlog().Add(t)
	}
}

func (f *Fleet) endLost(s *scheduler, now time.Time) []Action {
	var due []*machine.Task
	for t, at := range s.lost {
		if !now.Before(at) {
			due = append(due, t)
		}
	}
	slices.SortFunc(due, func(a, b *machine.Task) int { return cmp.Compare(a.ID, b.ID) })
	for _, t := range due {
		delete(s.lost, t)
		f.lose(s, t, now, "the worker is gone and the lease has ended")
	}
	return nil
}

// renewTasks renews the leases of all running tasks.
func (f *Fleet) renewTasks(s *scheduler, now time.Time) []Action {
	if now.Before(s.renewAt) {
		return nil
	}
	s.renewAt = now.Add(taskRenew)
	if !f.limits.hold.Valid(now) {
		// Others may take over the slots of this process once the tasks' leases
		// have ended.
		return nil
	}
	var list []WorkerTask
	for _, r := range s.centre.Workers.Racks() {
		for _, w := range r.Workers() {
			for _, p := range w.Placements() {
				list = append(list, WorkerTask{w.ID, zone.StartID(p.Task)})
			}
		}
	}
	if len(list) == 0 {
		return nil
	}
	return []Action{RenewTasks{Term: s.term, Tasks: list}}
}

// TasksRenewed is the end of RenewTasks.
type TasksRenewed struct {
	Term uint64
	OK   bool
}

// Apply implements Event. A failed renewal is repeated soon: the leases hold
// for TaskTTL after the last one.
func (e TasksRenewed) Apply(f *Fleet, now time.Time) []Action {
	if s := f.scheduler(e.Term); s != nil && !e.OK {
		s.renewAt = now.Add(RetryDelay)
	}
	return nil
}

// CheckpointAnswered is the end of CheckpointTask.
type CheckpointAnswered struct {
	Term       uint64
	Task       string
	StartID    string
	OK         bool
	Checkpoint string
}

// Apply implements Event.
func (e CheckpointAnswered) Apply(f *Fleet, now time.Time) []Action {
	s := f.scheduler(e.Term)
	if s == nil {
		return nil
	}
	t := s.ledger.Task(e.Task)
	if t == nil || t.Phase != machine.TaskRunning || zone.StartID(t) != e.StartID {
		return nil
	}
	if !e.OK {
		if p := s.placement(t); p != nil {
			p.Ending = false
		}
		return nil
	}
	f.interrupt(s, t, e.Checkpoint, now)
	return f.tickSchedule(now)
}

func (f *Fleet) interrupt(s *scheduler, t *machine.Task, checkpoint string, now time.Time) {
	worker := t.Worker
	t.Interrupt(checkpoint, now)
	f.explainTask(t, now, string(t.Phase), "its attempt ended before it was done",
		Input{"worker", worker}, Input{"checkpoint", t.Checkpoint})
	f.vacate(s, t, worker)
	if t.Phase == machine.TaskQueued {
		s.centre.Workers.Backlog().Add(t)
	}
}
