package node

import (
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/scheduler"
	"github.com/crocusjunction/crocusjunction/platform"
)

// leaderCondition makes a write fail once another node has acquired the
// scheduler's lease: the lease key must still have the revision fence.
func leaderCondition(fence int64) platform.Condition {
	return platform.Condition{Key: leaderKey, Revision: fence}
}

func (r *runner) storeProgress(a scheduler.StoreProgress) scheduler.Event {
	txn := platform.Txn{Conditions: []platform.Condition{leaderCondition(a.Fence)}}
	for _, w := range a.Writes {
		key := progressKey + string(w.Job)
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: key, Revision: w.Expected})
		txn.Puts = append(txn.Puts, platform.Put{Key: key, Value: encodeCBOR(w.Progress)})
	}
	result := scheduler.ProgressStored{Fence: a.Fence, Writes: a.Writes}
	revision, err := r.client.Write(txn, storeTimeout)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		result.Revision = revision
	case errors.As(err, &conflict):
		result.Outcome = conflictOutcome(conflict, a.Fence)
		result.Found, err = foundProgress(conflict)
		r.logFailure("stored progress not decoded", err)
	default:
		r.logFailure("progress not stored", err)
		result.Outcome = scheduler.StoreFailed
	}
	return result
}

// conflictOutcome tells whether a write that is conditional on the lease with the
// given fencing token failed because the lease has another holder or none.
func conflictOutcome(c *platform.ConflictError, fence int64) scheduler.StoreOutcome {
	if c.Revision(leaderKey) != fence {
		return scheduler.StoreLeaseLost
	}
	return scheduler.StoreConflict
}

// foundProgress returns the stored progress that a conflict names, and the errors of
// the values that cannot be decoded.
func foundProgress(c *platform.ConflictError) (map[job.ID]scheduler.FoundProgress, error) {
	found := make(map[job.ID]scheduler.FoundProgress, len(c.Items))
	var failures error
	for _, item := range c.Items {
		id, isProgress := strings.CutPrefix(item.Key, progressKey)
		if !isProgress || item.Revision == revisionAbsent {
			continue
		}
		progress, err := decodeProgress(item)
		failures = errors.Join(failures, err)
		found[job.ID(id)] = scheduler.FoundProgress{Revision: item.Revision, Progress: progress, Readable: err == nil}
	}
	return found, failures
}

// writeRecord writes a record of the scheduler's own, and further keys with it. The
// condition is that the record has the revision expected in the store.
func (r *runner) writeRecord(fence int64, name string, expected int64, record platform.Put, others ...platform.Put) scheduler.RecordResult {
	revision, err := r.client.Write(platform.Txn{
		Conditions: []platform.Condition{leaderCondition(fence), {Key: record.Key, Revision: expected}},
		Puts:       append([]platform.Put{record}, others...),
	}, storeTimeout)
	r.logFailure(name+" not stored", err)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return scheduler.RecordResult{Revision: revision}
	case errors.As(err, &conflict):
		return scheduler.RecordResult{Outcome: conflictOutcome(conflict, fence), Revision: conflict.Revision(record.Key)}
	}
	return scheduler.RecordResult{Outcome: scheduler.StoreFailed}
}

func (r *runner) storeRoster(a scheduler.StoreRoster) scheduler.Event {
	result := r.writeRecord(a.Fence, "worker roster", a.Expected, platform.Put{Key: rosterKey, Value: encodeJSON(a.Members)})
	return scheduler.RosterStored{Fence: a.Fence, Members: a.Members, Result: result}
}

func (r *runner) storeSilences(a scheduler.StoreSilences) scheduler.Event {
	put := platform.Put{Key: silencesKey, Value: encodeJSON(newSilencesRecord(a.Left))}
	return scheduler.SilencesStored{Fence: a.Fence, Left: a.Left, Result: r.writeRecord(a.Fence, "silences of workers", a.Expected, put)}
}

// readProgress lists the progress of all jobs. An entry that cannot be decoded is
// logged and left out.
func (r *runner) readProgress(a scheduler.ReadProgress) scheduler.Event {
	result := scheduler.ProgressListed{Fence: a.Fence}
	listing, err := r.client.List(progressKey, listTimeout)
	if err != nil {
		r.logFailure("progress not read", err)
		return result
	}
	for _, item := range listing.Items {
		change, err := decodeJobsItem(item)
		if err != nil {
			r.logFailure("progress not decoded", err)
			continue
		}
		if progress, ok := change.(scheduler.ProgressRead); ok {
			result.Progress = append(result.Progress, progress)
		}
	}
	result.OK = true
	return result
}

func (r *runner) storePending(a scheduler.StorePending) scheduler.Event {
	put := platform.Put{Key: pendingKey, Value: encodeJSON(newPendingRecord(a))}
	return scheduler.PendingStored{Fence: a.Fence, Result: r.writeRecord(a.Fence, "numbers of pending jobs", a.Expected, put)}
}

func (r *runner) storeRooms(a scheduler.StoreRooms) scheduler.Event {
	put := platform.Put{Key: roomKey, Value: encodeCBOR(newRoomsRecord(a))}
	return scheduler.RoomsStored{Fence: a.Fence, Result: r.writeRecord(a.Fence, "rooms of services", a.Expected, put)}
}

func (r *runner) storeUse(a scheduler.StoreUse) scheduler.Event {
	put := platform.Put{Key: useKey, Value: encodeCBOR(newUseRecord(a))}
	return scheduler.UseStored{Fence: a.Fence, Result: r.writeRecord(a.Fence, "use of teams", a.Expected, put)}
}

func (r *runner) storeMachineOrders(a scheduler.StoreMachineOrders) scheduler.Event {
	put := platform.Put{Key: machineOrdersKey, Value: encodeJSON(newMachineOrdersRecord(a))}
	return scheduler.MachineOrdersStored{Fence: a.Fence, Orders: a.Orders, Result: r.writeRecord(a.Fence, "machine orders", a.Expected, put)}
}

func (r *runner) storeTurns(a scheduler.StoreTurns) scheduler.Event {
	put := platform.Put{Key: turnsKey, Value: encodeCBOR(newTurnsRecord(a.WrittenAt, a.Histories))}
	return scheduler.TurnsStored{Fence: a.Fence, Result: r.writeRecord(a.Fence, "demand cycles", a.Expected, put)}
}

func (r *runner) removeJobs(a scheduler.RemoveJobs) {
	txn := platform.Txn{Conditions: []platform.Condition{leaderCondition(a.Fence)}}
	for _, j := range a.Jobs {
		id := string(j.ID)
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: jobKey + id, Revision: j.Revision})
		txn.Deletes = append(txn.Deletes, jobKey+id, progressKey+id, legacyProgressKey+id, cancelKey+id)
	}
	_, err := r.client.Write(txn, storeTimeout)
	r.logFailure("ended jobs not removed", err)
}

func (r *runner) removeCancels(a scheduler.RemoveCancels) {
	txn := platform.Txn{Conditions: []platform.Condition{leaderCondition(a.Fence)}}
	for _, c := range a.Cancels {
		key := cancelKey + string(c.ID)
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: key, Revision: c.Revision})
		txn.Deletes = append(txn.Deletes, key)
	}
	_, err := r.client.Write(txn, storeTimeout)
	r.logFailure("cancellations not removed", err)
}

func (r *runner) publishWave(a scheduler.PublishWave) scheduler.Event {
	key, value := platform.EncodeWaveStatus(a.Wave, a.Completed)
	record := platform.Put{Key: waveKey + strconv.FormatInt(a.Wave, decimal), Value: encodeJSON(waveRecord{a.Begun, a.Completed})}
	result := r.writeRecord(a.Fence, "wave status", a.Expected, record, platform.Put{Key: key, Value: value})
	return scheduler.WavePublished{Wave: a.Wave, Fence: a.Fence, Completed: a.Completed, Begun: len(a.Begun), Result: result}
}
