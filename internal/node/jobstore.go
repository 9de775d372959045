package node

import (
	"bytes"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/ingress"
	"github.com/crocusjunction/crocusjunction/internal/oplog"
	"github.com/crocusjunction/crocusjunction/internal/scheduler"
	"github.com/crocusjunction/crocusjunction/platform"
)

// Times of a caller's write.
const (
	// writeTimeout is how long one attempt waits for the store's answer.
	writeTimeout = 600 * time.Millisecond
	// writeRetry is the pause before the one retry of a write that the store
	// refused at once.
	writeRetry = 25 * time.Millisecond
	// settlePause is the pause before an unanswered write is repeated.
	settlePause = 20 * time.Millisecond
	// refusedTries is how often a refused write is sent before the caller is told.
	refusedTries = 2
)

// jobStore keeps jobs in the platform's store.
type jobStore struct {
	client *platform.Client
	clock  *Clock
	log    *oplog.Log
}

// unsettled logs why a caller's write was given up.
func (s jobStore) unsettled(text string, id job.ID, tries int, err error) {
	fields := logrus.Fields{"job": string(id), "tries": tries}
	if err != nil {
		fields["error"] = err.Error()
	}
	s.log.Write("store", text, fields)
}

// Accept implements ingress.Store.
func (s jobStore) Accept(j *job.Job, until time.Time) ingress.Result {
	id := j.ID
	key := jobKey + string(id)
	value := encodeCBOR(jobRecord{j.Terms, j.Spec, j.AcceptedAt})
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: key, Revision: revisionAbsent}},
		Puts:       []platform.Put{{Key: key, Value: value}},
	}
	return s.settle(id, txn, until, func(*platform.ConflictError) ingress.Result { return ingress.Stored })
}

// Cancel implements ingress.Store.
func (s jobStore) Cancel(id job.ID, revision int64, until time.Time) ingress.Result {
	txn := platform.Txn{
		Conditions: []platform.Condition{
			{Key: cancelKey + string(id), Revision: revisionAbsent},
			{Key: jobKey + string(id), Revision: revision},
		},
		Puts: []platform.Put{{Key: cancelKey + string(id), Value: []byte("1")}},
	}
	return s.settle(id, txn, until, func(c *platform.ConflictError) ingress.Result {
		for _, item := range c.Items {
			if item.Key == cancelKey+string(id) && item.Revision != revisionAbsent {
				return ingress.Stored
			}
		}
		return ingress.Absent
	})
}

// settle repeats a conditional write until its outcome is known. Repeating is
// safe: the condition holds at most once.
func (s jobStore) settle(id job.ID, txn platform.Txn, until time.Time, conflict func(*platform.ConflictError) ingress.Result) ingress.Result {
	unknown := false
	var last error
	for try := 1; ; try++ {
		left := until.Sub(s.clock.Now())
		if left <= 0 {
			s.unsettled("write not confirmed in the caller's time", id, try-1, last)
			return ingress.Unknown
		}
		_, err := s.client.Write(txn, min(writeTimeout, left))
		last = err
		var conflicted *platform.ConflictError
		switch {
		case err == nil:
			return ingress.Stored
		case errors.As(err, &conflicted):
			return conflict(conflicted)
		case errors.Is(err, platform.ErrUnknown):
			unknown = true
			time.Sleep(settlePause)
		default:
			// An earlier attempt without an answer may still take effect.
			if !unknown && try >= refusedTries {
				s.unsettled("write refused", id, try, err)
				return ingress.NotStored
			}
			time.Sleep(writeRetry)
		}
	}
}

// Read implements ingress.Store.
func (s jobStore) Read(id job.ID, until time.Time) (scheduler.JobView, error) {
	sentAt := s.clock.Now()
	timeout := min(writeTimeout, max(until.Sub(sentAt), settlePause))
	item, found, err := s.client.Get(jobKey+string(id), timeout)
	if err != nil || !found {
		return scheduler.JobView{ID: id}, err
	}
	j, err := decodeJob(string(id), item)
	if err != nil {
		return scheduler.JobView{}, err
	}
	view := scheduler.JobView{
		ID: id, Known: true, Queue: j.Terms.Queue, Team: j.Terms.Team,
		State: job.Queued, Revision: item.Revision, AsOf: sentAt,
	}
	if _, cancelled, err := s.client.Get(cancelKey+string(id), timeout); err != nil {
		return scheduler.JobView{}, err
	} else if cancelled {
		view.State = job.Cancelled
	}
	progress, found, err := s.client.Get(progressKey+string(id), timeout)
	if err != nil || !found {
		return view, err
	}
	p, err := decodeProgress(progress)
	if err != nil {
		return scheduler.JobView{}, err
	}
	if view.State != job.Cancelled || p.State.Final() {
		view.State = p.State
	}
	return view, nil
}

// sameValue reports whether the store holds exactly what a write put.
func sameValue(item platform.Item, value []byte) bool { return bytes.Equal(item.Value, value) }
