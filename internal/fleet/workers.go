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
		return []Action{WatchWorkers{Term: s.term, DataCentre: s.centre.Name, After: e.Version, Delay: RetryDelay}}
	}
	actions := f.takeReports(s, e.Workers, now)
	s.workersLoaded = true
	actions = append(actions, f.publishOffer(s)...)
	actions = append(actions, f.resumeAll(s, now)...)
	actions = append(actions, f.tickSchedule(now)...)
	return append(actions, WatchWorkers{Term: s.term, DataCentre: s.centre.Name, After: e.Version, Delay: workersPause})
}

// takeReports applies worker reports, or buffers them until the queue is read.
// It stops tasks that run although they have ended in the ledger.
func (f *Fleet) takeReports(s *scheduler, reports []machine.WorkerReport, now time.Time) []Action {
	for _, r := range reports {
		if !r.Gone {
			s.centre.Workers.AddWorker(r.ID, r.Rack, r.Capacity)
		}
	}
	if !s.queueLoaded {
		s.reports = append(s.reports, reports...)
		return nil
	}
	var undead []*machine.Task
	for i := range reports {
		undead = append(undead, f.takeReport(s, &reports[i], now)...)
	}
	return f.stop(s, undead)
}

// takeReport applies the report of one worker. It returns the tasks that the
// worker runs although they have ended in the ledger.
func (f *Fleet) takeReport(s *scheduler, r *machine.WorkerReport, now time.Time) []*machine.Task {
	if r.Gone {
		f.workerGone(s, r.ID, now)
		return nil
	}
	w := s.centre.Workers.Worker(r.ID)
	if r.Sequence < w.Sequence {
		return nil
	}
	w.Sequence = r.Sequence
	var undead []*machine.Task
	named := make(map[string]bool, len(r.Tasks))
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
		named[id] = true
		if t.Phase == machine.TaskRunning {
			f.takeTaskReport(s, t, report, now)
		} else if t.Final() && report.State == machine.ReportRunning {
			f.adopt(s, t, r.ID, now)
			undead = append(undead, t)
		} else if report.State != machine.ReportRunning && w.Placement(id) != nil {
			f.vacate(s, t, r.ID)
		}
	}
	f.missing(s, w, named, now)
	return undead
}

func (f *Fleet) takeTaskReport(s *scheduler, t *machine.Task, r *machine.TaskReport, now time.Time) {
	worker := t.Worker
	w := s.centre.Workers.Worker(worker)
	t.Confirm()
	delete(s.retries, t)
	if w.Placement(t.ID) == nil {
		f.adopt(s, t, worker, now)
	}
	switch r.State {
	case machine.ReportRunning:
		if p := w.Placement(t.ID); p.Since == 0 {
			p.Since = w.Sequence
		}
		if r.Used != (machine.Resources{}) {
			s.centre.Workers.Report(worker, t.ID, r.Used)
			s.changed = true
		}
	case machine.ReportDone:
		w.Succeeded()
		t.Succeed(now)
		f.explainTask(t, now, "done", "reported by the worker", Input{"worker", worker})
		f.vacate(s, t, worker)
	case machine.ReportFailed:
		f.taskFailed(s, t, worker, r.Reason, now)
	default:
		f.interrupt(s, t, r.Checkpoint, now)
	}
}

func (f *Fleet) taskFailed(s *scheduler, t *machine.Task, worker, reason string, now time.Time) {
	if s.centre.Workers.TaskFailed(t, worker, now) {
		w := s.centre.Workers.Worker(worker)
		f.Explain(Decision{
			At: now, Subject: Subject{SubjectWorker, worker}, Action: "set aside",
			Reason: "all tasks that it started failed", Inputs: []Input{{"probe at", w.ProbeAt().Format(time.RFC3339)}, {"last task", t.ID}},
		})
	}
	t.Fail(reason, now)
	f.explainTask(t, now, string(t.Phase), "failed: "+reason,
		Input{"worker", worker}, Input{"failed on", fmt.Sprint(t.FailedOn)})
	f.vacate(s, t, worker)
	if t.Phase == machine.TaskQueued {
		s.centre.Workers.Backlog().Add(t)
	}
}

// missing ends the tasks that a worker does not report although its report
// should include them: the worker was restarted and lost them.
func (f *Fleet) missing(s *scheduler, w *machine.Worker, named map[string]bool, now time.Time) {
	for _, p := range w.Placements() {
		if named[p.Task.ID] || p.Since == 0 || p.Since > w.Sequence {
			continue
		}
		if p.Task.Final() {
			f.vacate(s, p.Task, w.ID)
			continue
		}
		f.lose(s, p.Task, now, "the worker does not report the task any more")
	}
}

// workerGone removes a worker that left the list. Its running tasks are kept
// until their leases have certainly expired.
func (f *Fleet) workerGone(s *scheduler, id string, now time.Time) {
	for _, t := range s.centre.Workers.RemoveWorker(id) {
		if t.Phase != machine.TaskRunning {
			f.vacate(s, t, id)
			continue
		}
		s.lost[t] = now.Add(leaseEnd)
		f.explainTask(t, now, "wait", "the worker is gone; the task's lease may still be valid", Input{"worker", id})
	}
	s.changed = true
}

// resumeAll takes over the running tasks of the previous term once the queue and
// the workers have been read. A recorded start that no worker reports may not
// have been sent. It is sent again to the recorded worker, which starts an id
// only once.
func (f *Fleet) resumeAll(s *scheduler, now time.Time) []Action {
	if !s.queueLoaded || !s.workersLoaded || s.resumed {
		return nil
	}
	s.resumed = true
	reports := s.reports
	s.reports = nil
	actions := f.takeReports(s, reports, now)
	for _, t := range s.ledger.Open() {
		if t.Phase != machine.TaskRunning || !t.Unsure() {
			continue
		}
		if !f.adopt(s, t, t.Worker, now) {
			s.lost[t] = now.Add(leaseEnd)
			continue
		}
		s.retries[t] = now
	}
	return append(actions, f.tickSchedule(now)...)
}

// publishOffer publishes the capacities of the largest workers when they
// changed.
func (f *Fleet) publishOffer(s *scheduler) []Action {
	largest := s.centre.Workers.Largest()
	text := fmt.Sprint(largest)
	if text == s.offered || len(largest) == 0 {
		return nil
	}
	s.offered = text
	f.tasks.offers[s.centre.Name] = offerState{largest: largest}
	return []Action{PublishOffer{DataCentre: s.centre.Name, Largest: largest}}
}
