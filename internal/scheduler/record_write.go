package scheduler

import "time"

// RecordResult is the result of a write of one of the scheduler's own records.
type RecordResult struct {
	Outcome StoreOutcome
	// Revision is the revision of the write if Outcome is StoreDone, and the present
	// revision of the record, 0 if there is none, if Outcome is StoreConflict.
	Revision int64
}

// recordWrites is the state of writing one of the scheduler's own records. A write
// expects the revision that the record has: one without an answer may be carried out
// seconds later, and must not undo a newer one then.
type recordWrites struct {
	// revision is the revision of the record in the store, 0 if there is none.
	revision int64
	// writing is set while a write is under way. retryAt is when the next one may be
	// sent after one that failed.
	writing bool
	retryAt time.Time
}

// finishRecordWrite records the result of the write under way, and reports whether the store
// holds its value. A conflict is retried at once, because it names the revision to
// expect; another failure is retried after delay.
func (s *Scheduler) finishRecordWrite(r *recordWrites, result RecordResult, delay time.Duration, now time.Time) bool {
	r.writing = false
	switch result.Outcome {
	case StoreDone:
		r.revision = result.Revision
		return true
	case StoreLeaseLost:
		s.stepDown("the store has another lease holder", now)
		return false
	case StoreConflict:
		if result.Revision != r.revision {
			r.revision = result.Revision
			return false
		}
	}
	r.retryAt = now.Add(delay)
	return false
}

// mayWriteRecord reports whether a write of the record may be sent now.
func (s *Scheduler) mayWriteRecord(r *recordWrites, now time.Time) bool {
	if r.writing || !s.authorized(now) {
		return false
	}
	if now.Before(r.retryAt) {
		s.requestTick(r.retryAt)
		return false
	}
	return true
}
