package scheduler

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// matchRuns reconciles the runs on a worker with its report: it confirms the
// runs that the report lists, adopts or stops unknown ones, and removes those
// that cannot be running. Waiting are the reported ends that are applied later.
func (s *Scheduler) matchRuns(w *worker.Worker, e WorkerAnswered, waiting []worker.EndReport, now time.Time) {
	seen := make(map[worker.RunKey]bool, len(e.Report.Running))
	for _, end := range waiting {
		seen[worker.RunKey{Task: end.Task, Number: end.Run}] = true
	}
	orphanedRuns := make(map[worker.RunKey]worker.OrphanedRun)
	for _, report := range e.Report.Running {
		s.subject = jobRecord(report.Task.Job)
		key := worker.RunKey{Task: report.Task, Number: report.Run}
		seen[key] = true
		r := w.Find(key)
		if r == nil {
			r = s.adopt(w, report, now)
		}
		if r != nil {
			s.confirm(r, report, now)
			recordService(w, r, now)
		} else {
			orphanedRuns[key] = s.orphanedRun(w, report.Task)
		}
	}
	s.subject = Record{WorkerRecord, w.ID}
	s.setOrphanedRuns(w, orphanedRuns)
	if !e.Report.Complete() {
		return
	}
	for _, r := range w.Runs() {
		key := worker.KeyOf(r)
		if !seen[key] && s.cannotBeRunning(r, e) {
			s.counts.Lost++
			s.log("run not on its worker", "job", key.Task.Job, "task", key.Task.String(), "run", key.Number, "worker", w.ID, "phase", int(r.Phase))
			s.removeRun(w, r)
			s.stopRestOfGang(r, now)
		}
	}
}

// orphanedRun returns the resources that a run of the task occupies while it is
// being stopped: the whole capacity of the worker if the job is unknown.
func (s *Scheduler) orphanedRun(w *worker.Worker, name job.TaskName) worker.OrphanedRun {
	j := s.jobs.get(name.Job)
	if j == nil || name.Step >= len(j.Spec.Steps) {
		return worker.OrphanedRun{CountedNeed: w.Capacity}
	}
	spec := &j.Spec.Steps[name.Step]
	return worker.OrphanedRun{Team: j.Terms.Team, Need: spec.Need, CountedNeed: spec.CountedNeed()}
}

// setOrphanedRuns replaces the runs on a worker that are being stopped and
// belong to no open task. They count towards their teams' usage until they have
// ended.
func (s *Scheduler) setOrphanedRuns(w *worker.Worker, list map[worker.RunKey]worker.OrphanedRun) {
	if len(w.OrphanedRuns()) == 0 && len(list) == 0 {
		return
	}
	for _, run := range w.OrphanedRuns() {
		s.chargeTeam(run.Team, run.Need, -1)
	}
	for _, run := range list {
		s.chargeTeam(run.Team, run.Need, +1)
	}
	w.SetOrphanedRuns(list)
	s.place.roundNeeded = true
}

// cannotBeRunning reports whether a run that is missing from a report has ended
// or can no longer start.
func (s *Scheduler) cannotBeRunning(r *job.Run, e WorkerAnswered) bool {
	switch r.Phase {
	case job.RunActive:
		return e.SentAt.After(r.ConfirmedAt)
	case job.RunUncertain:
		startBlocked := !r.StopConfirmedAt.IsZero() && e.SentAt.After(r.StopConfirmedAt)
		return startBlocked || e.Report.ClockMillis > r.StartDeadline
	}
	return false
}

// confirm updates a run from a worker's report.
func (s *Scheduler) confirm(r *job.Run, report worker.RunReport, now time.Time) {
	if r.Phase != job.RunActive {
		r.Phase, r.ConfirmedAt = job.RunActive, now
		j := r.Task.Occurrence.Job
		if !j.Ended() {
			j.MarkStarted()
			s.queueProgress(j)
		}
	}
	r.ReportedAt = now
	if r.Proven() {
		r.Task.RecordProven()
	}
	if report.Percent != r.ProgressPercent {
		r.ProgressPercent, r.ProgressAt = report.Percent, now
	}
	r.Measurement = report.Measured
}

// servedForSuccess is how long a run must serve to show that its worker is in order. A
// worker may be at fault although its tasks have started up.
const servedForSuccess = 2 * time.Second

// recordService counts a long-running run, which never ends as done, as a success of its
// worker once it has served. It counts once: the worker may fail all later starts.
func recordService(w *worker.Worker, r *job.Run, now time.Time) {
	if !r.Succeeded && r.Task.Spec().LongRunning && r.Serving() && now.Sub(r.ProgressAt) >= servedForSuccess {
		r.Succeeded = true
		w.RecordSuccess()
	}
}

// adopt adds a run that a worker reports and that this scheduler has not ordered.
// If no open task needs the run, adopt orders the worker to stop it and returns
// nil.
func (s *Scheduler) adopt(w *worker.Worker, report worker.RunReport, now time.Time) *job.Run {
	j := s.jobs.get(report.Task.Job)
	var t *job.Task
	if j != nil && !j.Ended() {
		t = j.Task(report.Task)
	}
	if t == nil || t.Done() || (len(t.Runs) > 0 && !t.Spec().Speculative) {
		s.log("unexpected run stopped", "task", report.Task.String(), "run", report.Run, "worker", w.ID)
		s.act(StopRun{Target: w.Target(), Run: worker.RunKey{Task: report.Task, Number: report.Run}, Fence: s.fence(), NotAfter: s.notAfter()})
		return nil
	}
	r := &job.Run{Task: t, Number: report.Run, OrderedAt: now, ProgressAt: now, PacePercent: fullPace, Adopted: true}
	if t.Spec().Filler {
		r.PacePercent = assumedPace
	}
	t.LastRun = max(t.LastRun, report.Run)
	s.markReconciled(t)
	s.addRun(w, r)
	s.log("run adopted", "job", j.ID, "task", report.Task.String(), "run", report.Run, "worker", w.ID)
	return r
}
