package scheduler

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
)

// maxQuarantined is the largest number of quarantined records at which a further one
// is added. A defect that is not the fault of single records would otherwise take
// every record out of use.
const maxQuarantined = 20

// quarantine holds the records that made a decision fail. Jobs among them stay
// readable, but none of their tasks starts. Changes of other records are kept aside.
type quarantine struct {
	records map[Record]bool
	// skipped are the newest changes of quarantined records other than jobs.
	skipped map[Record]Change
}

func newQuarantine() quarantine {
	return quarantine{records: make(map[Record]bool), skipped: make(map[Record]Change)}
}

func (q *quarantine) contains(r Record) bool { return len(q.records) > 0 && q.records[r] }

// skips reports whether a change must not be applied, and keeps it aside if so.
func (q *quarantine) skips(c Change) bool {
	r := recordOf(c)
	if r.Kind == JobRecord || !q.contains(r) {
		return false
	}
	q.skipped[r] = c
	return true
}

// QuarantineRead reports that the store holds a record's quarantine.
type QuarantineRead struct{ Record Record }

func (c QuarantineRead) apply(s *Scheduler, now time.Time) {
	if s.quarantine.contains(c.Record) {
		return
	}
	s.quarantine.records[c.Record] = true
	s.log("record quarantined", "kind", c.Record.Kind, "name", c.Record.Name)
	switch c.Record.Kind {
	case JobRecord:
		s.abandonJob(job.ID(c.Record.Name), now)
	case WorkerRecord:
		s.delist(c.Record.Name)
	case WaveRecord:
		for number := range s.waves.all() {
			if waveRecord(number) == c.Record {
				s.waves.delete(number)
			}
		}
	}
}

// QuarantineLifted reports that the store no longer holds a record's quarantine.
type QuarantineLifted struct{ Record Record }

func (c QuarantineLifted) apply(s *Scheduler, now time.Time) {
	if !s.quarantine.contains(c.Record) {
		return
	}
	delete(s.quarantine.records, c.Record)
	s.log("quarantine lifted", "kind", c.Record.Kind, "name", c.Record.Name)
	if change, ok := s.quarantine.skipped[c.Record]; ok {
		delete(s.quarantine.skipped, c.Record)
		change.apply(s, now)
	}
	if j := s.jobs.get(job.ID(c.Record.Name)); c.Record.Kind == JobRecord && j != nil && s.leading {
		s.trackJob(j)
	}
}

// abandonJob stops the runs of a job that was quarantined and takes it from the jobs
// that the active scheduler runs.
func (s *Scheduler) abandonJob(id job.ID, now time.Time) {
	j := s.unfinished.get(id)
	if !s.leading || j == nil {
		return
	}
	s.unfinished.delete(id)
	delete(s.deferredStarts, id)
	j.EachTask(func(t *job.Task) {
		s.stopTask(t, now)
		s.markReconciled(t)
	})
	s.dropAdvice(j)
	j.StopLeading()
}
