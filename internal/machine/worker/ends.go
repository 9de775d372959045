package worker

import "github.com/crocusjunction/crocusjunction/internal/contract/job"

// endLog tracks which of a worker's numbered ends have been applied and which
// of them are durable, so that only durable ones are acknowledged.
type endLog struct {
	// applied is the highest number that has been applied without a gap.
	applied int64
	// pending are applied ends whose progress may not be stored yet, in order.
	pending []pendingEnd
	// acknowledged is the highest number that may be forgotten.
	acknowledged int64
}

type pendingEnd struct {
	number  int64
	job     *job.Job
	version int64
}

// ApplyEnd reports whether the end of a number is new. Numbers come in order.
func (w *Worker) ApplyEnd(number int64) bool {
	if number <= w.ends.applied {
		return false
	}
	w.ends.applied = number
	return true
}

// AwaitDurable notes that the end of a number may be acknowledged once the
// store holds the job's progress. A nil job needs nothing.
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

// Unacknowledged reports whether an applied end waits for the store.
func (w *Worker) Unacknowledged() bool {
	w.Acknowledge()
	return len(w.ends.pending) > 0
}

// Reborn forgets what an earlier incarnation numbered. The caller has taken
// the earlier runs off.
func (w *Worker) Reborn(born int64) {
	w.Born = born
	w.ends = endLog{}
	w.clock = clockReading{}
}
