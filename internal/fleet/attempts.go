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

// CheckpointTask saves a checkpoint of a task and ends its attempt. The result
// is CheckpointAnswered.
type CheckpointTask struct {
	Term uint64
	Task string
	On   WorkerTask
}

func (CheckpointTask) isAction() {}

// markTaskLost ends, without a result, the attempt of a task that can no longer
// be running. An idempotent task returns to the queue; any other task ends as
// unknown.
func (f *Fleet) markTaskLost(s *scheduler, t *machine.Task, now time.Time, reason string) {
	worker := t.Worker
	t.ExpireLease(reason, now)
	f.recordTaskDecision(t, now, string(t.Phase), reason, Input{"worker", worker})
	f.releaseTask(s, t, worker)
	if t.Phase == machine.TaskQueued {
		s.centre.Workers.Backlog().Add(t)
	}
}

// markOrphanedLost ends the attempts of the orphaned tasks whose leases have
// expired.
func (f *Fleet) markOrphanedLost(s *scheduler, now time.Time) []Action {
	var due []*machine.Task
	for t, at := range s.orphaned {
		if !now.Before(at) {
			due = append(due, t)
		}
	}
	slices.SortFunc(due, func(a, b *machine.Task) int { return cmp.Compare(a.ID, b.ID) })
	for _, t := range due {
		delete(s.orphaned, t)
		f.markTaskLost(s, t, now, "the worker is gone and the lease has expired")
	}
	return nil
}

// renewTasks renews the leases of all running tasks every taskRenewPeriod.
func (f *Fleet) renewTasks(s *scheduler, now time.Time) []Action {
	if now.Before(s.renewAt) {
		return nil
	}
	s.renewAt = now.Add(taskRenewPeriod)
	if !f.limits.hold.Valid(now) {
		// Without a hold the leases must not be renewed: other holders may reclaim
		// the slots of this process and rely on the tasks having ended.
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

// TasksRenewed reports the end of a RenewTasks.
type TasksRenewed struct {
	Term uint64
	OK   bool
}

// Apply implements Event. A failed renewal is retried after PlatformRetryDelay.
// The leases expire TaskTTL after the last successful renewal.
func (e TasksRenewed) Apply(f *Fleet, now time.Time) []Action {
	if s := f.scheduler(e.Term); s != nil && !e.OK {
		s.renewAt = now.Add(PlatformRetryDelay)
	}
	return nil
}

// CheckpointAnswered reports the end of a CheckpointTask.
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
	f.interruptTask(s, t, e.Checkpoint, now)
	return f.tickSchedule(now)
}

// interruptTask applies the end of an attempt that was stopped, with its
// checkpoint if one was saved.
func (f *Fleet) interruptTask(s *scheduler, t *machine.Task, checkpoint string, now time.Time) {
	worker := t.Worker
	t.Interrupt(checkpoint, now)
	f.recordTaskDecision(t, now, string(t.Phase), "the attempt ended before the task was done",
		Input{"worker", worker}, Input{"checkpoint", t.Checkpoint})
	f.releaseTask(s, t, worker)
	if t.Phase == machine.TaskQueued {
		s.centre.Workers.Backlog().Add(t)
	}
}
