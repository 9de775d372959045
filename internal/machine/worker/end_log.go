package worker

import "github.com/crocusjunction/crocusjunction/internal/contract/job"

// endLog tracks the ended runs that a worker reports, by number: which of them
// were applied, and for which of these the job's progress is stored. Only the
// latter are acknowledged.
type endLog struct {
	// applied is the highest applied number. Numbers are applied without gaps.
	applied int64
	// pending holds the applied ends whose job progress may not be stored yet,
	// in ascending order of their numbers.
	pending []pendingEnd
	// acknowledged is the highest number that the worker may discard.
	acknowledged int64
}

type pendingEnd struct {
	number  int64
	job     *job.Job
	version int64
}

// ApplyEnd marks an end as applied and reports whether it is new. Ends must be
// passed in the order of their numbers.
func (w *Worker) ApplyEnd(number int64) bool {
	if number <= w.ends.applied {
		return false
	}
	w.ends.applied = number
	return true
}

// AwaitDurable queues the end for acknowledgement once the store holds the
// current version of the job's progress. With a nil job it needs no write.
func (w *Worker) AwaitDurable(number int64, j *job.Job) {
	p := pendingEnd{number: number, job: j}
	if j != nil {
		p.version = j.Version()
	}
	w.ends.pending = append(w.ends.pending, p)
}

// Acknowledge returns the highest number up to which every end is durable.
func (w *Worker) Acknowledge() int64 {
	for len(w.ends.pending) > 0 {
		next := w.ends.pending[0]
		if next.job != nil && !next.job.Durable(next.version) {
			break
		}
		w.ends.acknowledged = next.number
		w.ends.pending = w.ends.pending[1:]
	}
	return w.ends.acknowledged
}

// HasUnacknowledgedEnds reports whether an applied end still waits for the store.
func (w *Worker) HasUnacknowledgedEnds() bool {
	w.Acknowledge()
	return len(w.ends.pending) > 0
}

// StartIncarnation starts a new incarnation and discards the end numbers and
// the clock reading of the previous one. The caller must have removed its runs.
func (w *Worker) StartIncarnation(born int64) {
	w.StartedMillis = born
	w.ends = endLog{}
	w.clock = clockReading{}
}
