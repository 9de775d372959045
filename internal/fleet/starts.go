package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/zone"
)

// StartTask starts a task on a worker. The result is StartAnswered.
type StartTask struct {
	Term   uint64
	Task   machine.Task
	Worker string
	// StartID identifies the attempt on the worker.
	StartID string
	// NotAfter is when the scheduler's lease or the hold expires. A start that
	// this process has not sent by then is dropped.
	NotAfter time.Time
	Delay    time.Duration
}

func (StartTask) isAction() {}

// assignTask assigns a task to the planned worker and acquires its slots. The
// start is sent after the assignment is recorded. It returns false when the
// task must not start.
func (f *Fleet) assignTask(s *scheduler, step zone.Start, now time.Time) bool {
	t := step.Task
	refusal := f.checkTaskStart(s, t, now)
	if refusal == nil {
		refusal = f.acquireSlots(t.Team, t.Service, now)
	}
	if refusal != nil {
		f.recordWait(s, t, refusal, now)
		return false
	}
	if !t.Assign(step.Worker) {
		f.releaseSlots(t.Team, t.Service)
		return false
	}
	s.slotted[t] = true
	s.centre.Workers.Place(t, step.Worker, now)
	s.ledger.MarkDirty(t.ID)
	s.recording[t] = true
	f.recordTaskDecision(t, now, "start", step.Reason,
		Input{"worker", step.Worker},
		Input{"estimate", sizeText(step.Estimate)},
		Input{"use", fmt.Sprintf("%.4f", step.Use)},
		Input{"fair", fmt.Sprintf("%.4f", step.Fair)},
		Input{"waited", now.Sub(t.SubmittedAt).String()})
	return true
}

// startActions returns the action that sends the start of an assigned task. A
// task that must no longer start is requeued instead, unless an earlier start may
// have reached the worker. In that case the start is retried later.
func (f *Fleet) startActions(s *scheduler, t *machine.Task, now time.Time) []Action {
	if t.Phase != machine.TaskRunning || s.startsInFlight[t] {
		return nil
	}
	if refusal := f.checkTaskStart(s, t, now); refusal != nil {
		if t.StartUnresolved() {
			s.startRetries[t] = now.Add(time.Second)
			return nil
		}
		f.requeue(s, t, now, refusal.Code+": "+refusal.Reason)
		return nil
	}
	s.startsInFlight[t] = true
	return []Action{StartTask{Term: s.term, Task: *t, Worker: t.Worker, StartID: zone.StartID(t), NotAfter: earliest(s.leaseUntil, f.limits.hold.ValidUntil())}}
}

// requeue returns a task whose current attempt did not start to the queue. It
// reports false when an earlier start of the attempt may still reach the worker.
func (f *Fleet) requeue(s *scheduler, t *machine.Task, now time.Time, reason string) bool {
	worker := t.Worker
	if !t.RefuseStart() {
		return false
	}
	f.recordTaskDecision(t, now, "requeue", reason, Input{"worker", worker})
	f.releaseTask(s, t, worker)
	s.centre.Workers.Backlog().Add(t)
	return true
}

// releaseTask releases the resources and the slots of a task whose attempt has
// ended.
func (f *Fleet) releaseTask(s *scheduler, t *machine.Task, worker string) {
	s.centre.Workers.Release(t.ID, worker)
	if s.slotted[t] {
		delete(s.slotted, t)
		f.releaseSlots(t.Team, t.Service)
	}
	delete(s.unslotted, t)
	delete(s.recording, t)
	delete(s.startRetries, t)
	delete(s.orphaned, t)
	s.ledger.MarkDirty(t.ID)
	s.changed = true
}

// StartResult is the result of a StartTask.
type StartResult string

// Results of a start.
const (
	// StartDone means that the worker runs or ran the start id.
	StartDone StartResult = "started"
	// StartRefused means that this call started nothing.
	StartRefused StartResult = "refused"
	// StartNoWorker means that the worker no longer exists.
	StartNoWorker StartResult = "no worker"
	// StartUnknown means that the worker may have started the task.
	StartUnknown StartResult = "unknown"
)

// StartAnswered reports the end of a StartTask.
type StartAnswered struct {
	Term    uint64
	Task    string
	Attempt int
	Result  StartResult
	// Sequence is the worker's report sequence at which it confirmed the start, 0
	// when it is unknown.
	Sequence uint64
	Reason   string
}

// Apply implements Event.
func (e StartAnswered) Apply(f *Fleet, now time.Time) []Action {
	s := f.scheduler(e.Term)
	if s == nil {
		return nil
	}
	t := s.ledger.Task(e.Task)
	if t == nil {
		return nil
	}
	delete(s.startsInFlight, t)
	if t.Phase != machine.TaskRunning || t.Attempts != e.Attempt {
		return nil
	}
	switch e.Result {
	case StartDone:
		t.ConfirmStart()
		if p := s.placement(t); p != nil && e.Sequence > 0 {
			p.StartSequence = e.Sequence
		}
	case StartUnknown:
		t.MarkStartUnresolved()
		s.startRetries[t] = now.Add(startRetryDelay)
	case StartNoWorker:
		f.handleMissingWorker(s, t, e.Reason, now)
	default:
		actions := f.handleRefusedStart(s, t, e.Reason, now)
		return append(actions, f.tickSchedule(now)...)
	}
	return f.tickSchedule(now)
}

// handleMissingWorker handles the answer that the worker of a start does not
// exist. The task is requeued, unless an earlier start may have reached the
// worker. In that case an idempotent task waits until its lease has expired,
// and any other task ends as unknown.
func (f *Fleet) handleMissingWorker(s *scheduler, t *machine.Task, reason string, now time.Time) {
	switch {
	case f.requeue(s, t, now, reason):
	case t.Idempotent:
		s.orphaned[t] = now.Add(taskLeaseEnd)
	default:
		f.markTaskLost(s, t, now, "the worker is gone and its answer to the start was lost")
	}
}

// handleRefusedStart handles the worker's refusal of a start. The task is
// requeued, unless an earlier start of the attempt may still reach the worker.
// In that case an idempotent task is stopped, which makes the worker reject the
// start id, so that the task can run on another worker. Any other task is sent
// again to the same worker.
func (f *Fleet) handleRefusedStart(s *scheduler, t *machine.Task, reason string, now time.Time) []Action {
	switch {
	case f.requeue(s, t, now, reason):
	case t.Idempotent:
		return f.stopTasks(s, []*machine.Task{t})
	default:
		s.startRetries[t] = now.Add(refusedStartRetryDelay)
	}
	return nil
}

// retryStarts sends unresolved starts again when their retry is due. It sends
// them to the same worker under the same start id, which a worker starts only
// once.
func (f *Fleet) retryStarts(s *scheduler, now time.Time) []Action {
	var due []*machine.Task
	for t, at := range s.startRetries {
		if !now.Before(at) {
			due = append(due, t)
		}
	}
	slices.SortFunc(due, func(a, b *machine.Task) int { return cmp.Compare(a.ID, b.ID) })
	var actions []Action
	for _, t := range due {
		delete(s.startRetries, t)
		if t.Phase == machine.TaskRunning && t.StartUnresolved() {
			actions = append(actions, f.startActions(s, t, now)...)
		}
	}
	return actions
}
