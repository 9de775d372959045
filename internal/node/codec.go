package node

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/scheduler"
	"github.com/crocusjunction/crocusjunction/platform"
)

// Keys that the nodes own in the store. docs/platform.md lists the writer of
// each.
const (
	jobsPrefix = "cj/"
	jobKey     = jobsPrefix + "j/"
	// progressKey is outside jobsPrefix, which every node watches: only the scheduler
	// uses the progress of jobs.
	progressKey = "cs/"
	// legacyProgressKey is where earlier versions stored the progress.
	legacyProgressKey = jobsPrefix + "s/"
	// handoverKey holds the last request to a scheduler to hand its lease over.
	handoverKey = jobsPrefix + "handover"
	// pendingKey holds the numbers of jobs that have not begun.
	pendingKey = jobsPrefix + "pending"
	// roomKey holds the capacity and the work of services that have too much of it.
	roomKey = jobsPrefix + "room"
	// useKey holds the use of the teams.
	useKey     = jobsPrefix + "usage"
	cancelKey  = jobsPrefix + "x/"
	waveKey    = jobsPrefix + "w/"
	leaderKey  = jobsPrefix + "leader"
	epochKey   = jobsPrefix + "epoch"
	releaseKey = jobsPrefix + "left"
	// quarantineKey is followed by the kind and the name of a record.
	quarantineKey = jobsPrefix + "q/"
	rosterKey     = jobsPrefix + "roster"
	// silencesKey holds for how much longer silent workers may run something.
	silencesKey = jobsPrefix + "silent"
	// machineOrdersKey holds the machines that may have been ordered lately.
	machineOrdersKey = jobsPrefix + "orders"
	// turnsKey holds the recorded demand of queues with cyclic demand.
	turnsKey = jobsPrefix + "turns"
	// decimal is the base of the numbers in keys and values.
	decimal = 10
	// revisionAbsent is the revision that a condition names for a missing key.
	revisionAbsent = 0
)

// jobRecord is the stored form of an accepted job.
type jobRecord struct {
	Terms      job.Terms `cbor:"1,keyasint"`
	Spec       job.Spec  `cbor:"2,keyasint"`
	AcceptedAt int64     `cbor:"3,keyasint"`
}

// leaderRecord is the value of the scheduler's lease key.
type leaderRecord struct {
	Holder string `json:"holder"`
	// Address is where other nodes connect to watch the holder's process; empty if
	// it has no such address. Process distinguishes the holder from later
	// processes at the same address.
	Address string `json:"address,omitempty"`
	Process string `json:"process"`
	// Lease is the store's lease of this claim. It distinguishes two claims of one
	// process.
	Lease int64 `json:"lease"`
	// CPUShare is the part of one core that the holder may use.
	CPUShare float64 `json:"cpu,omitempty"`
}

// handoverRecord is the stored request to the holder of the lease to hand it over.
type handoverRecord struct {
	Fence int64  `json:"fence"`
	Node  string `json:"node"`
}

// waveRecord is the stored progress of an upkeep wave.
type waveRecord struct {
	Begun     []string `json:"begun"`
	Completed bool     `json:"completed"`
}

// useRecord is the stored form of scheduler.UseRead. It is written often while teams
// compete, and read by every node, so it is CBOR with short values.
type useRecord struct {
	// At is in milliseconds of Unix time.
	At int64 `cbor:"1,keyasint"`
	// Used is by team, in hundredths of a core-second.
	Used map[string]uint32 `cbor:"2,keyasint"`
}

// usePerCoreSecond is the unit of useRecord.
const usePerCoreSecond = 100

func newUseRecord(a scheduler.StoreUse) useRecord {
	r := useRecord{At: a.At.UnixMilli(), Used: make(map[string]uint32, len(a.Used))}
	for team, used := range a.Used {
		if n := math.Round(used * usePerCoreSecond); n > 0 {
			r.Used[team] = uint32(min(n, math.MaxUint32))
		}
	}
	return r
}

// decodeUse decodes the use of the teams. For a value that cannot be decoded it returns
// both the error and an empty use.
func decodeUse(item platform.Item) (scheduler.Change, error) {
	use := scheduler.UseRead{Revision: item.Revision}
	if item.Removed {
		return use, nil
	}
	var r useRecord
	if err := cbor.Unmarshal(item.Value, &r); err != nil {
		return use, wrapKey(err, item.Key)
	}
	use.At, use.Used = time.UnixMilli(r.At), make(map[string]float64, len(r.Used))
	for team, n := range r.Used {
		use.Used[team] = float64(n) / usePerCoreSecond
	}
	return use, nil
}

// silencesRecord is the stored form of scheduler.SilencesRead, in milliseconds by worker.
type silencesRecord struct {
	LeftMillis map[string]int64 `json:"left_ms"`
}

func newSilencesRecord(left map[string]time.Duration) silencesRecord {
	r := silencesRecord{LeftMillis: make(map[string]int64, len(left))}
	for id, d := range left {
		r.LeftMillis[id] = int64((d + time.Millisecond - 1) / time.Millisecond)
	}
	return r
}

func (r silencesRecord) durations() map[string]time.Duration {
	left := make(map[string]time.Duration, len(r.LeftMillis))
	for id, ms := range r.LeftMillis {
		left[id] = time.Duration(ms) * time.Millisecond
	}
	return left
}

// encodeCBOR returns the CBOR encoding of a record. It panics if value cannot be
// encoded, which does not occur with the records of this package.
func encodeCBOR(value any) []byte {
	data, err := cbor.Marshal(value)
	if err != nil {
		panic("node: encode CBOR record: " + err.Error())
	}
	return data
}

// encodeJSON returns the JSON encoding of a record. It panics if value cannot be
// encoded, which does not occur with the records of this package.
func encodeJSON(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic("node: encode JSON record: " + err.Error())
	}
	return data
}

func decodeJob(id string, item platform.Item) (*job.Job, error) {
	parsed, ok := job.ParseID(id)
	if !ok {
		return nil, errors.Errorf("key %s: malformed job ID", item.Key)
	}
	var r jobRecord
	if err := cbor.Unmarshal(item.Value, &r); err != nil {
		return nil, errors.Wrapf(err, "decode job %s", id)
	}
	if err := r.Spec.CheckStructure(); err != nil {
		return nil, errors.Wrapf(err, "decode job %s", id)
	}
	return job.New(parsed, r.Terms, r.Spec, r.AcceptedAt, item.Revision), nil
}

func decodeProgress(item platform.Item) (job.Progress, error) {
	var p job.Progress
	err := cbor.Unmarshal(item.Value, &p)
	return p, wrapKey(err, item.Key)
}

// decodeJobsItem decodes an item below jobsPrefix into a change. It returns nil
// for an item that the scheduler does not use.
func decodeJobsItem(item platform.Item) (scheduler.Change, error) {
	if id, ok := strings.CutPrefix(item.Key, jobKey); ok {
		if item.Removed {
			return scheduler.JobRemoved{ID: job.ID(id)}, nil
		}
		j, err := decodeJob(id, item)
		if err != nil {
			return nil, err
		}
		return scheduler.JobAccepted{Job: j}, nil
	}
	for _, prefix := range []string{progressKey, legacyProgressKey} {
		if id, ok := strings.CutPrefix(item.Key, prefix); ok && !item.Removed {
			p, err := decodeProgress(item)
			if err != nil {
				return nil, err
			}
			return scheduler.ProgressRead{ID: job.ID(id), Progress: p, Revision: item.Revision, Legacy: prefix == legacyProgressKey}, nil
		}
	}
	if id, ok := strings.CutPrefix(item.Key, cancelKey); ok {
		if item.Removed {
			return scheduler.CancelRemoved{ID: job.ID(id)}, nil
		}
		return scheduler.CancelRead{ID: job.ID(id), Revision: item.Revision}, nil
	}
	return decodeSchedulerRecord(item)
}

// decodeSchedulerRecord decodes the records that the scheduler writes for
// itself. It returns nil for any other key, and for a value that cannot be decoded.
func decodeSchedulerRecord(item platform.Item) (scheduler.Change, error) {
	if item.Key == leaderKey && !item.Removed {
		return decodeHolder(item)
	}
	if item.Key == useKey {
		return decodeUse(item)
	}
	change, err := decodeRecord(item)
	if err != nil {
		return nil, wrapKey(err, item.Key)
	}
	return change, nil
}

// decodeHolder decodes the holder of the scheduler's lease. For a value that cannot be
// decoded it returns both the error and a holder without a name: the lease is held.
func decodeHolder(item platform.Item) (scheduler.Change, error) {
	holder := scheduler.HolderRead{Fence: item.Revision, Lease: item.Lease}
	var r leaderRecord
	if err := json.Unmarshal(item.Value, &r); err != nil {
		return holder, wrapKey(err, item.Key)
	}
	holder.Holder, holder.Address, holder.Process, holder.CPUShare = r.Holder, r.Address, r.Process, r.CPUShare
	return holder, nil
}

// decodeRecord is decodeSchedulerRecord for all keys but those of a holder and of the use
// of teams. With an error,
// the change is of no use.
func decodeRecord(item platform.Item) (scheduler.Change, error) {
	if name, ok := strings.CutPrefix(item.Key, quarantineKey); ok {
		return decodeQuarantine(name, item)
	}
	if text, ok := strings.CutPrefix(item.Key, waveKey); ok && !item.Removed {
		number, err := strconv.ParseInt(text, decimal, 64)
		if err != nil {
			return nil, err
		}
		var r waveRecord
		err = json.Unmarshal(item.Value, &r)
		return scheduler.WaveProgressRead{Wave: number, Begun: r.Begun, Completed: r.Completed, Revision: item.Revision}, err
	}
	switch item.Key {
	case leaderKey:
		return scheduler.HolderRead{}, nil
	case epochKey:
		epoch, err := strconv.Atoi(string(item.Value))
		return scheduler.EpochRead{Epoch: epoch, Revision: item.Revision}, err
	case releaseKey:
		epoch, err := strconv.Atoi(string(item.Value))
		return scheduler.LeaseReleaseRead{Epoch: epoch}, err
	case handoverKey:
		var handover handoverRecord
		err := json.Unmarshal(item.Value, &handover)
		return scheduler.HandoverRead{Fence: handover.Fence}, err
	case pendingKey:
		var pending pendingRecord
		err := json.Unmarshal(item.Value, &pending)
		return scheduler.PendingRead{Counts: pending.counts(), AsOf: pending.AsOf, Revision: item.Revision}, err
	case roomKey:
		return decodeRooms(item)
	case machineOrdersKey:
		var orders machineOrdersRecord
		err := json.Unmarshal(item.Value, &orders)
		return scheduler.MachineOrdersRead{Epoch: orders.Epoch, Orders: orders.orders(), Revision: item.Revision}, err
	case turnsKey:
		var turns turnsRecord
		if err := cbor.Unmarshal(item.Value, &turns); err != nil {
			return nil, err
		}
		histories, err := turns.histories()
		return scheduler.TurnsRead{WrittenAt: time.UnixMilli(turns.WrittenAt), Histories: histories, Revision: item.Revision}, err
	case silencesKey:
		var silences silencesRecord
		err := json.Unmarshal(item.Value, &silences)
		return scheduler.SilencesRead{Left: silences.durations(), Revision: item.Revision}, err
	case rosterKey:
		var members []scheduler.RosterMember
		err := json.Unmarshal(item.Value, &members)
		return scheduler.RosterRead{Members: members, Revision: item.Revision}, err
	}
	return nil, nil
}

// wrapKey adds the key to a decoding error. It returns nil for a nil err.
func wrapKey(err error, key string) error {
	if err == nil {
		return nil
	}
	return errors.Wrapf(err, "decode record %s", key)
}

// decodeOperatorItem converts an item written by the operator to a scheduler
// change. It returns nil for an item that the scheduler does not use.
func decodeOperatorItem(item platform.Item) (scheduler.Change, error) {
	if platform.IsConfig(item.Key) {
		if item.Removed {
			return nil, errors.New("configuration was removed; the last one stays in force")
		}
		config, err := platform.ParseConfig(item.Value)
		if err != nil {
			return nil, err
		}
		return scheduler.ConfigChanged{Config: config}, nil
	}
	if centre, ok := platform.EvacuatedDataCentre(item.Key); ok {
		return scheduler.DataCentreChanged{DataCentre: centre, Out: !item.Removed}, nil
	}
	if number, ok := platform.WaveNumber(item.Key); ok {
		if item.Removed {
			return scheduler.WaveWithdrawn{Wave: number}, nil
		}
		order, err := platform.ParseWave(item.Key, item.Value)
		if err != nil {
			return nil, err
		}
		return scheduler.WaveOrdered{Order: order}, nil
	}
	return nil, nil
}

// decodeWorkersItem decodes a worker's entry. For an entry that cannot be
// decoded it returns both the error and a change that removes the worker from the
// scheduler's list.
func decodeWorkersItem(item platform.Item) (scheduler.Change, error) {
	id, _ := platform.WorkerID(item.Key)
	if item.Removed {
		return scheduler.WorkerDelisted{ID: id, Removed: true}, nil
	}
	d, err := platform.ParseWorker(item.Key, item.Value)
	if err != nil {
		return scheduler.WorkerDelisted{ID: id}, err
	}
	return scheduler.WorkerListed{Description: d}, nil
}
