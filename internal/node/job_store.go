package node

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/crocusjunction/crocusjunction/internal/asynclog"
	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/ingress"
	"github.com/crocusjunction/crocusjunction/internal/scheduler"
	"github.com/crocusjunction/crocusjunction/platform"
)

// Timeouts and retries of a caller's write.
const (
	// writeTimeout bounds the wait for the store's answer to one attempt.
	writeTimeout = 600 * time.Millisecond
	// writeRetryDelay is the delay before a refused write is retried.
	writeRetryDelay = 25 * time.Millisecond
	// unknownRetryDelay is the delay before an unanswered write is repeated. It is
	// also the shortest timeout of a read.
	unknownRetryDelay = 20 * time.Millisecond
	// maxRefusedAttempts is the number of attempts after which a refused write is
	// reported to the caller.
	maxRefusedAttempts = 2
)

// jobStore implements ingress.Store on the platform's store. It is safe for
// concurrent use.
type jobStore struct {
	client *platform.Client
	clock  *bootClock
	log    *asynclog.Log
	health *storeHealth
}

// logUnconfirmed logs that a caller's write was refused or could not be
// confirmed before the deadline. Err is the error of the last attempt and may
// be nil.
func (s jobStore) logUnconfirmed(text string, id job.ID, attempts int, err error) {
	fields := logrus.Fields{"job": string(id), "tries": attempts}
	if err != nil {
		fields["error"] = err.Error()
	}
	s.log.Write("store", text, fields)
}

// Accept implements ingress.Store.
func (s jobStore) Accept(j *job.Job, until time.Time) ingress.WriteResult {
	id := j.ID
	key := jobKey + string(id)
	value := encodeCBOR(jobRecord{j.Terms, j.Spec, j.AcceptedAt})
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: key, Revision: revisionAbsent}, {Key: cancelKey + string(id), Revision: revisionAbsent}},
		Puts:       []platform.Put{{Key: key, Value: value}},
	}
	return s.writeUntilOutcomeKnown(id, txn, until, func(c *platform.ConflictError) ingress.WriteResult {
		switch {
		case c.Revision(key) != revisionAbsent:
			return ingress.Stored
		case c.Revision(cancelKey+string(id)) != revisionAbsent:
			return ingress.JobCancelled
		}
		return ingress.WriteUnknown
	})
}

// Cancel implements ingress.Store.
func (s jobStore) Cancel(id job.ID, revision int64, until time.Time) ingress.WriteResult {
	txn := platform.Txn{
		Conditions: []platform.Condition{
			{Key: cancelKey + string(id), Revision: revisionAbsent},
			{Key: jobKey + string(id), Revision: revision},
		},
		Puts: []platform.Put{{Key: cancelKey + string(id), Value: []byte("1")}},
	}
	return s.writeUntilOutcomeKnown(id, txn, until, func(c *platform.ConflictError) ingress.WriteResult {
		if c.Revision(cancelKey+string(id)) != revisionAbsent {
			return ingress.Stored
		}
		return ingress.JobChanged
	})
}

// writeUntilOutcomeKnown repeats a conditional write until its outcome is known
// or the deadline has passed. onConflict maps a failed condition to the
// outcome. Repeating the write is safe because its condition can hold at most
// once.
func (s jobStore) writeUntilOutcomeKnown(id job.ID, txn platform.Txn, deadline time.Time, onConflict func(*platform.ConflictError) ingress.WriteResult) ingress.WriteResult {
	if s.health.unreachable() {
		s.logUnconfirmed("write refused, the store does not answer", id, 0, nil)
		return ingress.NotStored
	}
	mayTakeEffect := false
	var lastErr error
	for attempt := 1; ; attempt++ {
		remaining := deadline.Sub(s.clock.Now())
		if remaining <= 0 {
			s.logUnconfirmed("write not confirmed in the caller's time", id, attempt-1, lastErr)
			return ingress.WriteUnknown
		}
		_, err := s.client.Write(txn, min(writeTimeout, remaining))
		lastErr = err
		var conflicted *platform.ConflictError
		switch {
		case err == nil:
			return ingress.Stored
		case errors.As(err, &conflicted):
			return onConflict(conflicted)
		case errors.Is(err, platform.ErrUnknown):
			mayTakeEffect = true
			time.Sleep(unknownRetryDelay)
		default:
			// If an earlier attempt got no answer, it may still take effect, and the
			// refusal of this attempt does not determine the outcome.
			if !mayTakeEffect && attempt >= maxRefusedAttempts {
				s.logUnconfirmed("write refused", id, attempt, err)
				return ingress.NotStored
			}
			time.Sleep(writeRetryDelay)
		}
	}
}

// RetryAfter implements ingress.Store.
func (s jobStore) RetryAfter() time.Duration { return s.health.retryAfter(s.clock.Now()) }

// Holds implements ingress.Store.
func (s jobStore) Holds(id job.ID, timeout time.Duration) (bool, error) {
	_, found, err := s.client.Get(jobKey+string(id), timeout)
	return found, err
}

// Read implements ingress.Store.
func (s jobStore) Read(id job.ID, until time.Time) (scheduler.JobView, error) {
	sentAt := s.clock.Now()
	timeout := min(writeTimeout, max(until.Sub(sentAt), unknownRetryDelay))
	item, found, err := s.client.Get(jobKey+string(id), timeout)
	if err != nil || !found {
		return scheduler.JobView{ID: id}, err
	}
	j, err := decodeJob(string(id), item)
	if err != nil {
		return scheduler.JobView{}, err
	}
	view := scheduler.JobView{
		ID: id, Known: true, Queue: scheduler.QueueRefOf(&j.Terms), Team: j.Terms.Team,
		State: job.Queued, Revision: item.Revision, AsOf: sentAt,
	}
	if _, cancelled, err := s.client.Get(cancelKey+string(id), timeout); err != nil {
		return scheduler.JobView{}, err
	} else if cancelled {
		view.State = job.Cancelled
	}
	state, err := s.readState(id, timeout)
	if err != nil {
		return scheduler.JobView{}, err
	}
	if view.State != job.Cancelled || state.Final() {
		view.State = state
	}
	view.StateKnown = true
	return view, nil
}

// ReadState implements ingress.Store.
func (s jobStore) ReadState(id job.ID, until time.Time) (job.State, error) {
	return s.readState(id, min(writeTimeout, max(until.Sub(s.clock.Now()), unknownRetryDelay)))
}

// readState reads the state in a job's stored progress.
func (s jobStore) readState(id job.ID, timeout time.Duration) (job.State, error) {
	item, found, err := s.client.Get(progressKey+string(id), timeout)
	if err != nil {
		return "", err
	}
	if !found {
		return job.Queued, nil
	}
	p, err := decodeProgress(item)
	return p.State, err
}
