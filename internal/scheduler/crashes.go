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
	s.recordPlacedCrash(w)
	unproven := slices.DeleteFunc(slices.Clone(runs), (*job.Run).Proven)
	for _, r := range runs {
		t := r.Task
		j := t.Occurrence.Job
		// Machines fail under each long-running task in time.
		if t.Done() || j.Ended() || r.Proven() && t.Spec().LongRunning {
			continue
		}
		s.subject = jobRecord(j.ID)
		isolated := r.Isolation != job.NotIsolated
		t.RecordCrash(job.Crash{
			Run: r.Number, Late: r.Proven(), Certain: r.Phase == job.RunActive,
			Single: isolated && !r.Proven() && onlySuspect(t, unproven),
		})
		s.log("worker crashed under task", "job", j.ID, "task", t.Name().String(), "run", r.Number, "worker", w.ID,
			"crashes", len(t.Crashes()), "proven", r.Proven(), "isolated", isolated, "runs", len(runs), "unproven", len(unproven))
		if t.CrashesWorkers(isolated && onlySuspect(t, runs)) {
			s.counts.GivenUp++
			s.log("job given up", "job", j.ID, "task", t.Name().String(), "crashes", len(t.Crashes()))
			s.endJob(j, job.Failed, now)
			continue
		}
		s.queueProgress(j)
	}
	s.subject = Record{WorkerRecord, w.ID}
}

// recordPlacedCrash makes the tasks suspects that an earlier scheduler has placed on a
// worker which has crashed: only that scheduler knew which of their runs were proven.
func (s *Scheduler) recordPlacedCrash(w *worker.Worker) {
	if s.unreconciled == 0 {
		return
	}
	for j := range s.unfinishedJobs() {
		j.EachTask(func(t *job.Task) {
			if t.Unreconciled && !t.Spec().LongRunning && slices.Contains(t.PlacedWorkers(), w.ID) {
				t.LostStarts++
			}
		})
	}
}

// onlySuspect reports whether all runs belong to the task or its gang.
func onlySuspect(t *job.Task, runs []*job.Run) bool {
	return !slices.ContainsFunc(runs, func(r *job.Run) bool { return !r.Task.SameSuspect(t) })
}

// recordLostStarts records the unproven runs of a worker that is silent. It may have
// crashed or be cut off, so that counts as a crash only if the run was kept apart and the
// worker has left the list as well.
func (s *Scheduler) recordLostStarts(w *worker.Worker, now time.Time) {
	if !w.Listed && w.HasProbation() {
		s.recordCrash(w, w.Runs(), now)
		return
	}
	for _, r := range w.Runs() {
		if r.Phase != job.RunAwaitingPlacement && !r.Proven() {
			r.Task.LostStarts++
		}
	}
}

// runsMissing returns the runs of a worker that its report does not list.
func runsMissing(w *worker.Worker, report worker.Report) []*job.Run {
	listed := make(map[worker.RunKey]bool, len(report.Running))
	for _, r := range report.Running {
		listed[worker.RunKey{Task: r.Task, Number: r.Run}] = true
	}
	return slices.DeleteFunc(slices.Clone(w.Runs()), func(r *job.Run) bool { return listed[worker.KeyOf(r)] })
}
