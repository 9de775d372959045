package scheduler

import (
	"iter"
	"strconv"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine/worker"
)

// RecordKind is a kind of records in the store on which decisions depend.
type RecordKind string

// Kinds of records that can be quarantined.
const (
	JobRecord    RecordKind = "job"
	WorkerRecord RecordKind = "worker"
	WaveRecord   RecordKind = "wave"
	ConfigRecord RecordKind = "config"
)

// Record names a record in the store: a job or worker by its id, a wave by its
// number, a configuration by its version. The zero Record names none.
type Record struct {
	Kind RecordKind
	Name string
}

// recordedChange is a Change that belongs to a Record.
type recordedChange interface{ record() Record }

func (c ConfigChanged) record() Record    { return configRecord(c.Config.Version) }
func (c WaveOrdered) record() Record      { return waveRecord(c.Order.Wave) }
func (c WaveProgressRead) record() Record { return waveRecord(c.Wave) }
func (c JobAccepted) record() Record      { return jobRecord(c.Job.ID) }
func (c ProgressRead) record() Record     { return jobRecord(c.ID) }
func (c CancelRead) record() Record       { return jobRecord(c.ID) }
func (c WorkerListed) record() Record     { return Record{WorkerRecord, c.Description.ID} }

// decimal is the base of numbers in names of records.
const decimal = 10

func jobRecord(id job.ID) Record { return Record{JobRecord, string(id)} }
func configRecord(version int64) Record {
	return Record{ConfigRecord, strconv.FormatInt(version, decimal)}
}
func waveRecord(number int64) Record { return Record{WaveRecord, strconv.FormatInt(number, decimal)} }

// recordOf returns the record that a change belongs to, the zero Record if none.
func recordOf(c Change) Record {
	if r, ok := c.(recordedChange); ok {
		return r.record()
	}
	return Record{}
}

// unfinishedJobs iterates over the unfinished jobs. Each is the subject of a failure
// in the body of the loop.
func (s *Scheduler) unfinishedJobs() iter.Seq[*job.Job] {
	return func(yield func(*job.Job) bool) {
		for id, j := range s.unfinished.all() {
			s.subject = jobRecord(id)
			if !yield(j) {
				break
			}
		}
		s.subject = Record{}
	}
}

// knownWorkers iterates over the workers. Each is the subject of a failure in the
// body of the loop.
func (s *Scheduler) knownWorkers() iter.Seq[*worker.Worker] {
	return func(yield func(*worker.Worker) bool) {
		for id, w := range s.workers.all() {
			s.subject = Record{WorkerRecord, id}
			if !yield(w) {
				break
			}
		}
		s.subject = Record{}
	}
}
