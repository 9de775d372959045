package scheduler

import (
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// minRestartTime is less than the time from the crash of a worker until its next
// incarnation answers. A start that was sent later than that before the answer has not
// reached the worker that crashed.
const minRestartTime = 500 * time.Millisecond

// recordCrash records the crash of a worker under runs that it can no longer have, and
// gives up the jobs that are shown to be the cause. A worker that was about to leave has
// not crashed.
func (s *Scheduler) recordCrash(w *worker.Worker, runs []*job.Run, now time.Time) {
	if w.Draining || w.Reserved {
		return
	}
	runs = slices.DeleteFunc(slices.Clone(runs), func(r *job.Run) bool {
		return r.Phase == job.RunAwaitingPlacement || r.Phase != job.RunActive && now.Sub(r.OrderedAt) < minRestartTime
	})
	s.recordPlacedCrash(w, now)
	suspects := slices.DeleteFunc(runs, (*job.Run).Cleared)
	s.crashLog.record(suspects, now)
	unproven := slices.DeleteFunc(slices.Clone(suspects), (*job.Run).Proven)
	for _, r := range suspects {
		t := r.Task
		j := t.Occurrence.Job
		if t.Done() || j.Ended() {
			continue
		}
		s.subject = jobRecord(j.ID)
		if t.Spec().LongRunning {
			// Machines fail under each long-running task in time, and it has to run until
			// it is cancelled.
			if !r.Proven() {
				t.RecordLostStart(w.Address, now)
			}
			continue
		}
		isolated := r.Isolation != job.NotIsolated
		s.recordTaskCrash(t, job.Crash{
			Run: r.Number, Late: r.Proven(), Certain: r.Phase == job.RunActive,
			Single: isolated && !r.Proven() && onlySuspect(t, unproven), Address: w.Address,
		}, isolated && onlySuspect(t, suspects), now)
	}
	s.subject = Record{WorkerRecord, w.ID}
}

// recordTaskCrash records the crash of a worker under a task, and gives up its job if the
// task is shown to be the cause. Alone is the parameter of CrashesWorkers.
func (s *Scheduler) recordTaskCrash(t *job.Task, c job.Crash, alone bool, now time.Time) {
	j := t.Occurrence.Job
	t.RecordCrash(c)
	s.log("worker crashed under task", "job", j.ID, "task", t.Name().String(), "run", c.Run, "address", c.Address,
		"crashes", len(t.Crashes()), "proven", c.Late, "confirmed", c.Certain, "single_suspect", c.Single, "alone", alone)
	s.queueProgress(j)
	s.giveUpIfCause(t, alone && c.Certain, now)
}

// recordPlacedCrash makes the tasks suspects that an earlier scheduler has placed on a
// worker which has crashed: only that scheduler knew which of their runs were proven.
func (s *Scheduler) recordPlacedCrash(w *worker.Worker, now time.Time) {
	if s.unreconciled == 0 {
		return
	}
	for j := range s.unfinishedJobs() {
		j.EachTask(func(t *job.Task) {
			if t.Unreconciled && !t.Spec().LongRunning && slices.Contains(t.PlacedWorkers(), w.ID) {
				t.RecordLostStart(w.Address, now)
			}
		})
	}
}

// onlySuspect reports whether all runs belong to the task or its gang.
func onlySuspect(t *job.Task, runs []*job.Run) bool {
	return !slices.ContainsFunc(runs, func(r *job.Run) bool { return !r.Task.SameSuspect(t) })
}

// lostStart is an unproven run that was lost with a worker which is silent.
type lostStart struct {
	task  job.TaskName
	crash job.Crash
	// startedMillis is the start of the worker's incarnation.
	startedMillis int64
}

// recordLostStarts records the unproven runs of a worker that is silent. It may be cut
// off: whether it has crashed is known once its address is listed again.
func (s *Scheduler) recordLostStarts(w *worker.Worker, now time.Time) {
	suspects := slices.DeleteFunc(slices.Clone(w.Runs()), func(r *job.Run) bool { return r.Phase == job.RunAwaitingPlacement || r.Cleared() })
	unproven := slices.DeleteFunc(slices.Clone(suspects), (*job.Run).Proven)
	for _, r := range unproven {
		t := r.Task
		t.RecordLostStart(w.Address, now)
		if t.Spec().LongRunning {
			continue
		}
		s.lostStarts[w.Address] = append(s.lostStarts[w.Address], lostStart{
			task: t.Name(), startedMillis: w.StartedMillis, crash: job.Crash{
				Run: r.Number, Certain: r.Phase == job.RunActive,
				Single: r.Isolation != job.NotIsolated && onlySuspect(t, unproven), Address: w.Address,
			},
		})
		s.subject = jobRecord(t.Occurrence.Job.ID)
		s.giveUpIfCause(t, r.Phase == job.RunActive && r.Isolation != job.NotIsolated && onlySuspect(t, suspects), now)
	}
	s.subject = Record{WorkerRecord, w.ID}
}

// settleLostStarts records the crashes of an incarnation whose starts were lost, if a
// later one of the same service is listed at its address.
func (s *Scheduler) settleLostStarts(d worker.Description, now time.Time) {
	lost, ok := s.lostStarts[d.Address]
	if !ok {
		return
	}
	delete(s.lostStarts, d.Address)
	for _, l := range lost {
		j := s.unfinished.get(l.task.Job)
		if j == nil || j.Terms.Service != d.Service || l.startedMillis == 0 || d.StartedMillis <= l.startedMillis {
			continue
		}
		if t := j.Task(l.task); t != nil && !t.Done() {
			s.subject = jobRecord(j.ID)
			s.recordTaskCrash(t, l.crash, false, now)
		}
	}
	s.subject = Record{WorkerRecord, d.ID}
}

// runsMissing returns the runs of a worker that its report does not list.
func runsMissing(w *worker.Worker, report worker.Report) []*job.Run {
	listed := make(map[worker.RunKey]bool, len(report.Running))
	for _, r := range report.Running {
		listed[worker.RunKey{Task: r.Task, Number: r.Run}] = true
	}
	return slices.DeleteFunc(slices.Clone(w.Runs()), func(r *job.Run) bool { return listed[worker.KeyOf(r)] })
}
