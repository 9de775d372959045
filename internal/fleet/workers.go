package fleet

import (
	"fmt"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/zone"
)

// WorkersSeen reports the end of a WatchWorkers, with the reports of the workers
// that changed.
type WorkersSeen struct {
	Term    uint64
	OK      bool
	Version uint64
	Workers []machine.WorkerReport
}

// Apply implements Event.
func (e WorkersSeen) Apply(f *Fleet, now time.Time) []Action {
	s := f.scheduler(e.Term)
	if s == nil {
		return nil
	}
	if !e.OK {
		return []Action{WatchWorkers{Term: s.term, DataCentre: s.centre.Name, After: e.Version, Delay: PlatformRetryDelay}}
	}
	actions := f.applyReports(s, e.Workers, now)
	s.workersLoaded = true
	actions = append(actions, f.publishLargestWorkers(s)...)
	actions = append(actions, f.takeOverTasks(s, now)...)
	actions = append(actions, f.tickSchedule(now)...)
	return append(actions, WatchWorkers{Term: s.term, DataCentre: s.centre.Name, After: e.Version, Delay: workersWatchDelay})
}

// applyReports applies worker reports, or buffers them until the queue is read.
// It stops tasks that run although they have ended in the ledger.
func (f *Fleet) applyReports(s *scheduler, reports []machine.WorkerReport, now time.Time) []Action {
	for _, r := range reports {
		if !r.Gone {
			s.centre.Workers.AddWorker(r.ID, r.Rack, r.Capacity)
		}
	}
	if !s.queueLoaded {
		s.earlyReports = append(s.earlyReports, reports...)
		return nil
	}
	var ended []*machine.Task
	for i := range reports {
		ended = append(ended, f.applyReport(s, &reports[i], now)...)
	}
	return f.stopTasks(s, ended)
}

// applyReport applies the report of one worker. It returns the tasks that the
// worker runs although they have ended in the ledger.
func (f *Fleet) applyReport(s *scheduler, r *machine.WorkerReport, now time.Time) []*machine.Task {
	if r.Gone {
		f.removeWorker(s, r.ID, now)
		return nil
	}
	w := s.centre.Workers.Worker(r.ID)
	if r.Sequence < w.Sequence {
		return nil
	}
	w.Sequence = r.Sequence
	var ended []*machine.Task
	reported := make(map[string]bool, len(r.Tasks))
	for i := range r.Tasks {
		report := &r.Tasks[i]
		id, _ := zone.ParseStartID(report.StartID)
		t := s.ledger.Task(id)
		if t == nil {
			continue
		}
		if t.Worker != r.ID || zone.StartID(t) != report.StartID {
			continue
		}
		reported[id] = true
		if t.Phase == machine.TaskRunning {
			f.applyTaskReport(s, t, report, now)
		} else if t.Final() && report.State == machine.ReportRunning {
			f.takeOver(s, t, r.ID, now)
			ended = append(ended, t)
		} else if report.State != machine.ReportRunning && w.Placement(id) != nil {
			f.releaseTask(s, t, r.ID)
		}
	}
	f.markUnreportedLost(s, w, reported, now)
	return ended
}

func (f *Fleet) applyTaskReport(s *scheduler, t *machine.Task, r *machine.TaskReport, now time.Time) {
	worker := t.Worker
	w := s.centre.Workers.Worker(worker)
	t.ConfirmStart()
	delete(s.startRetries, t)
	if w.Placement(t.ID) == nil {
		f.takeOver(s, t, worker, now)
	}
	switch r.State {
	case machine.ReportRunning:
		if p := w.Placement(t.ID); p.StartSequence == 0 {
			p.StartSequence = w.Sequence
		}
		if r.Used != (machine.Resources{}) {
			s.centre.Workers.Report(worker, t.ID, r.Used)
			s.changed = true
		}
	case machine.ReportDone:
		w.RecordSuccess()
		t.Succeed(now)
		f.recordTaskDecision(t, now, "done", "reported by the worker", Input{"worker", worker})
		f.releaseTask(s, t, worker)
	case machine.ReportFailed:
		f.failTask(s, t, worker, r.Reason, now)
	default:
		f.interruptTask(s, t, r.Checkpoint, now)
	}
}

func (f *Fleet) failTask(s *scheduler, t *machine.Task, worker, reason string, now time.Time) {
	if s.centre.Workers.RecordTaskFailure(t, worker, now) {
		w := s.centre.Workers.Worker(worker)
		f.recordDecision(Decision{
			At: now, Subject: Subject{SubjectWorker, worker}, Action: "set aside",
			Reason: "all tasks that it started failed", Inputs: []Input{{"probe at", w.ProbeAt().Format(time.RFC3339)}, {"last task", t.ID}},
		})
	}
	t.Fail(reason, now)
	f.recordTaskDecision(t, now, string(t.Phase), "failed: "+reason,
		Input{"worker", worker}, Input{"failed on", fmt.Sprint(t.FailedOn)})
	f.releaseTask(s, t, worker)
	if t.Phase == machine.TaskQueued {
		s.centre.Workers.Backlog().Add(t)
	}
}

// markUnreportedLost ends the tasks that a worker does not report although its
// report should include them: the worker was restarted and lost them.
func (f *Fleet) markUnreportedLost(s *scheduler, w *machine.Worker, reported map[string]bool, now time.Time) {
	for _, p := range w.Placements() {
		if reported[p.Task.ID] || p.StartSequence == 0 || p.StartSequence > w.Sequence {
			continue
		}
		if p.Task.Final() {
			f.releaseTask(s, p.Task, w.ID)
			continue
		}
		f.markTaskLost(s, p.Task, now, "the worker no longer reports the task")
	}
}

// removeWorker removes a worker that left the list. Its running tasks are
// orphaned until their leases can no longer be valid.
func (f *Fleet) removeWorker(s *scheduler, id string, now time.Time) {
	for _, t := range s.centre.Workers.RemoveWorker(id) {
		if t.Phase != machine.TaskRunning {
			f.releaseTask(s, t, id)
			continue
		}
		s.orphaned[t] = now.Add(taskLeaseEnd)
		f.recordTaskDecision(t, now, "wait", "the worker is gone; the task's lease may still be valid", Input{"worker", id})
	}
	s.changed = true
}

// takeOverTasks takes over the running tasks of the previous term once the
// queue and the workers have been read. A recorded start that no worker reports
// may not have been sent. It is sent again to the recorded worker, which starts
// an id only once.
func (f *Fleet) takeOverTasks(s *scheduler, now time.Time) []Action {
	if !s.queueLoaded || !s.workersLoaded || s.tasksTakenOver {
		return nil
	}
	s.tasksTakenOver = true
	reports := s.earlyReports
	s.earlyReports = nil
	actions := f.applyReports(s, reports, now)
	for _, t := range s.ledger.Open() {
		if t.Phase != machine.TaskRunning || !t.StartUnresolved() {
			continue
		}
		if !f.takeOver(s, t, t.Worker, now) {
			s.orphaned[t] = now.Add(taskLeaseEnd)
			continue
		}
		s.startRetries[t] = now
	}
	return append(actions, f.tickSchedule(now)...)
}

// publishLargestWorkers publishes the capacities of the largest workers when they
// changed.
func (f *Fleet) publishLargestWorkers(s *scheduler) []Action {
	largest := s.centre.Workers.LargestCapacities()
	text := fmt.Sprint(largest)
	if text == s.publishedLargestWorkers || len(largest) == 0 {
		return nil
	}
	s.publishedLargestWorkers = text
	f.tasks.largestWorkers[s.centre.Name] = largestWorkersState{largest: largest}
	return []Action{PublishLargestWorkers{DataCentre: s.centre.Name, Largest: largest}}
}
