package node

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/scheduler"
	"github.com/crocusjunction/crocusjunction/platform"
)

// quarantineAttempts is how often the quarantine of a record is written. Without an
// answer to the last one the lease is left to expire, and the next scheduler may fail
// on the record once more.
const quarantineAttempts = 3

// quarantineRecord is the stored quarantine of a record.
type quarantineRecord struct {
	// Error is the failure that the record caused.
	Error string `json:"error"`
	// Node is the node on which the failure occurred, AtMillis when, in Unix
	// milliseconds.
	Node     string `json:"node"`
	AtMillis int64  `json:"at_ms"`
}

func keyOfQuarantine(r scheduler.Record) string {
	return quarantineKey + string(r.Kind) + "/" + r.Name
}

// decodeQuarantine decodes an item below quarantineKey, whose key ends with name. The
// key alone decides: a record whose quarantine has a malformed value stays in
// quarantine.
func decodeQuarantine(name string, item platform.Item) (scheduler.Change, error) {
	kind, name, ok := strings.Cut(name, "/")
	if !ok || name == "" {
		return nil, errors.Errorf("key %s: malformed name of a record", item.Key)
	}
	r := scheduler.Record{Kind: scheduler.RecordKind(kind), Name: name}
	if item.Removed {
		return scheduler.QuarantineLifted{Record: r}, nil
	}
	return scheduler.QuarantineRead{Record: r}, nil
}

// storeQuarantine stores the quarantine of a record and then releases the lease.
func (r *runner) storeQuarantine(a scheduler.StoreQuarantine) {
	if a.Record.Kind != "" {
		key := keyOfQuarantine(a.Record)
		value := encodeJSON(quarantineRecord{Error: a.Reason, Node: r.nodeName, AtMillis: r.clock.Now().UnixMilli()})
		if err := r.writeQuarantine(key, value); err != nil {
			r.logFailure("quarantine not stored", err)
			return
		}
	}
	if a.Release != nil {
		r.releaseLease(*a.Release)
	}
}

// writeQuarantine creates the key. A quarantine that exists already is kept.
func (r *runner) writeQuarantine(key string, value []byte) error {
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: key, Revision: revisionAbsent}},
		Puts:       []platform.Put{{Key: key, Value: value}},
	}
	var err error
	for range quarantineAttempts {
		_, err = r.client.Write(txn, leaseTimeout)
		var conflict *platform.ConflictError
		if err == nil || errors.As(err, &conflict) {
			return nil
		}
		time.Sleep(writeRetryDelay)
	}
	return err
}

// QuarantinedRecord is a record in quarantine, as operators see it.
type QuarantinedRecord struct {
	Kind  string    `json:"kind"`
	Name  string    `json:"name"`
	Error string    `json:"error"`
	Node  string    `json:"node"`
	At    time.Time `json:"at"`
}

// Errors of operators' commands on quarantined records.
var (
	// ErrNotQuarantined means that the record is not in quarantine.
	ErrNotQuarantined = errors.New("the record is not in quarantine")
	// ErrJobBegun means that tasks of the job may have run. Their ends were not
	// recorded while the job was in quarantine, so a task could run a second time.
	ErrJobBegun = errors.New("tasks of the job may have run; it can only be ended")
	// ErrChanged means that the record changed during the command.
	ErrChanged = errors.New("the record has changed meanwhile; try again")
)

// QuarantineStore reads and ends the quarantine of records in the store.
type QuarantineStore struct{ client *platform.Client }

// NewQuarantineStore returns the quarantine in the store that the settings name.
func NewQuarantineStore(s platform.Settings) QuarantineStore {
	return QuarantineStore{platform.NewClient(s)}
}

// List returns the quarantined records, ordered by kind and name.
func (q QuarantineStore) List() ([]QuarantinedRecord, error) {
	listing, err := q.client.List(quarantineKey, listTimeout)
	if err != nil {
		return nil, errors.Wrap(err, "list the quarantine")
	}
	var records []QuarantinedRecord
	for _, item := range listing.Items {
		kind, name, _ := strings.Cut(strings.TrimPrefix(item.Key, quarantineKey), "/")
		record := QuarantinedRecord{Kind: kind, Name: name}
		var stored quarantineRecord
		if err := json.Unmarshal(item.Value, &stored); err != nil {
			stored.Error = "malformed entry: " + err.Error()
		}
		record.Error, record.Node, record.At = stored.Error, stored.Node, time.UnixMilli(stored.AtMillis)
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b QuarantinedRecord) int { return strings.Compare(a.Kind+"/"+a.Name, b.Kind+"/"+b.Name) })
	return records, nil
}

// Release ends the quarantine of a record, so that it is used again. A job must not
// have begun.
func (q QuarantineStore) Release(r scheduler.Record) error {
	txn, err := q.removal(r)
	if err != nil {
		return err
	}
	if r.Kind == scheduler.JobRecord {
		revision, begun, err := q.jobBegun(r.Name)
		if err != nil {
			return err
		}
		if begun {
			return ErrJobBegun
		}
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: progressKey + r.Name, Revision: revision})
	}
	return q.write(txn)
}

// End cancels a quarantined job and ends its quarantine.
func (q QuarantineStore) End(id job.ID) error {
	txn, err := q.removal(scheduler.Record{Kind: scheduler.JobRecord, Name: string(id)})
	if err != nil {
		return err
	}
	key := cancelKey + string(id)
	_, cancelled, err := q.client.Get(key, writeTimeout)
	if err != nil {
		return errors.Wrap(err, "read the job's cancellation")
	}
	if !cancelled {
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: key, Revision: revisionAbsent})
		txn.Puts = append(txn.Puts, platform.Put{Key: key, Value: []byte("1")})
	}
	return q.write(txn)
}

// removal returns the write that removes a record's quarantine.
func (q QuarantineStore) removal(r scheduler.Record) (platform.Txn, error) {
	key := keyOfQuarantine(r)
	item, found, err := q.client.Get(key, writeTimeout)
	if err != nil {
		return platform.Txn{}, errors.Wrap(err, "read the quarantine")
	}
	if !found {
		return platform.Txn{}, ErrNotQuarantined
	}
	return platform.Txn{Conditions: []platform.Condition{{Key: key, Revision: item.Revision}}, Deletes: []string{key}}, nil
}

// jobBegun returns the revision of a job's progress, 0 if there is none, and whether
// the progress shows that tasks may have run.
func (q QuarantineStore) jobBegun(id string) (int64, bool, error) {
	item, found, err := q.client.Get(progressKey+id, writeTimeout)
	if err != nil {
		return 0, false, errors.Wrap(err, "read the job's progress")
	}
	if !found {
		return revisionAbsent, false, nil
	}
	p, err := decodeProgress(item)
	if err != nil {
		return 0, false, err
	}
	return item.Revision, p.State != job.Queued || len(p.Placed) > 0, nil
}

func (q QuarantineStore) write(txn platform.Txn) error {
	_, err := q.client.Write(txn, writeTimeout)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return ErrChanged
	}
	return errors.Wrap(err, "write")
}

// logContained logs a failure while a caller's request was served.
func (n *node) logContained(cause any, stack []byte) {
	n.log.Write("request", "failure contained", logrus.Fields{"error": cause, "stack": string(stack)})
}
