package scheduler

import (
	"maps"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// inheritEndedRuns counts the runs of jobs that had ended when this scheduler's term began.
func (s *Scheduler) inheritEndedRuns(now time.Time) {
	for id, j := range s.jobs.all() {
		if s.mayHaveRuns(j, now) {
			s.subject = jobRecord(id)
			j.EachStoredPlacement(s.countEndedRuns)
		}
	}
	s.subject = Record{}
}

// mayHaveRuns reports whether runs of an ended job may be alive on workers that do not
// answer. The time of the end is by the clock of another node, hence twice the longest lease.
func (s *Scheduler) mayHaveRuns(j *job.Job, now time.Time) bool {
	switch {
	case !j.Ended() || len(j.Stored.Placed) == 0:
		return false
	case !j.Stored.State.Final():
		// Cancelled during the takeover.
		return true
	}
	return now.UnixMilli()-j.Stored.EndedAt <= 2*s.options.MaxTaskLease.Milliseconds()
}

// countEndedRuns counts the runs of a task whose job has ended, which an earlier scheduler
// has placed on workers that have not reported to this one. They occupy their worker and
// count for their team until the worker reports or can run nothing any longer.
func (s *Scheduler) countEndedRuns(task job.TaskName, workers []string) {
	for _, id := range workers {
		w := s.workers.get(id)
		if w == nil || w.Answered {
			continue
		}
		runs := maps.Clone(w.OrphanedRuns())
		if runs == nil {
			runs = make(map[worker.RunKey]worker.OrphanedRun)
		}
		runs[worker.RunKey{Task: task}] = s.orphanedRun(w, task)
		s.setOrphanedRuns(w, runs)
	}
}
