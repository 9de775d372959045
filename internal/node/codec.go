package node

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/scheduler"
	"github.com/crocusjunction/crocusjunction/platform"
)

// Keys that the nodes own in the store. docs/platform.md says who writes them.
const (
	jobsPrefix     = "cj/"
	jobKey         = jobsPrefix + "j/"
	progressKey    = jobsPrefix + "s/"
	cancelKey      = jobsPrefix + "x/"
	waveKey        = jobsPrefix + "w/"
	leaderKey      = jobsPrefix + "leader"
	epochKey       = jobsPrefix + "epoch"
	leftKey        = jobsPrefix + "left"
	rosterKey      = jobsPrefix + "roster"
	decimal        = 10
	revisionAbsent = 0
)

// jobRecord is a stored job.
type jobRecord struct {
	Terms      job.Terms `cbor:"1,keyasint"`
	Spec       job.Spec  `cbor:"2,keyasint"`
	AcceptedAt int64     `cbor:"3,keyasint"`
}

// leaderRecord is the value of the scheduler's lease key.
type leaderRecord struct {
	Holder string `json:"holder"`
	// Address is where the holder's process can be watched; empty where it
	// cannot. Process tells it from later ones there.
	Address string `json:"address,omitempty"`
	Process string `json:"process"`
	// Lease tells two attempts of one process apart.
	Lease int64 `json:"lease"`
}

// waveRecord is the stored progress of a wave.
type waveRecord struct {
	Begun     []string `json:"begun"`
	Completed bool     `json:"completed"`
}

func encodeCBOR(value any) []byte {
	data, err := cbor.Marshal(value)
	if err != nil {
		panic("node: a record cannot be encoded: " + err.Error())
	}
	return data
}

func encodeJSON(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic("node: a record cannot be encoded: " + err.Error())
	}
	return data
}

func decodeJob(id string, item platform.Item) (*job.Job, error) {
	parsed, ok := job.ParseID(id)
	if !ok {
		return nil, errors.Errorf("key %s does not name a job", item.Key)
	}
	var r jobRecord
	if err := cbor.Unmarshal(item.Value, &r); err != nil {
		return nil, errors.Wrapf(err, "job %s", id)
	}
	return job.New(parsed, r.Terms, r.Spec, r.AcceptedAt, item.Revision), nil
}

func decodeProgress(item platform.Item) (job.Progress, error) {
	var p job.Progress
	err := cbor.Unmarshal(item.Value, &p)
	return p, wrap(err, item.Key)
}

// decodeJobs maps an item below jobsPrefix to a change, nil for none.
func decodeJobs(item platform.Item) (scheduler.Change, error) {
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
	if id, ok := strings.CutPrefix(item.Key, progressKey); ok && !item.Removed {
		p, err := decodeProgress(item)
		if err != nil {
			return nil, err
		}
		return scheduler.ProgressRead{ID: job.ID(id), Progress: p, Revision: item.Revision}, nil
	}
	if id, ok := strings.CutPrefix(item.Key, cancelKey); ok && !item.Removed {
		return scheduler.CancelRead{ID: job.ID(id)}, nil
	}
	return decodeRecords(item)
}

// decodeRecords maps the scheduler's own records.
func decodeRecords(item platform.Item) (scheduler.Change, error) {
	if text, ok := strings.CutPrefix(item.Key, waveKey); ok && !item.Removed {
		number, err := strconv.ParseInt(text, decimal, 64)
		if err != nil {
			return nil, errors.Wrapf(err, "key %s", item.Key)
		}
		var r waveRecord
		err = json.Unmarshal(item.Value, &r)
		return scheduler.WaveProgressRead{Wave: number, Begun: r.Begun, Completed: r.Completed}, wrap(err, item.Key)
	}
	switch item.Key {
	case leaderKey:
		if item.Removed {
			return scheduler.LeaderRead{}, nil
		}
		var r leaderRecord
		err := json.Unmarshal(item.Value, &r)
		return scheduler.LeaderRead{
			Holder: r.Holder, Address: r.Address, Process: r.Process, Fence: item.Revision, Lease: item.Lease,
		}, wrap(err, item.Key)
	case epochKey:
		epoch, err := strconv.Atoi(string(item.Value))
		return scheduler.EpochRead{Epoch: epoch, Revision: item.Revision}, wrap(err, item.Key)
	case leftKey:
		epoch, err := strconv.Atoi(string(item.Value))
		return scheduler.LeftRead{Epoch: epoch}, wrap(err, item.Key)
	case rosterKey:
		var members []scheduler.RosterMember
		err := json.Unmarshal(item.Value, &members)
		return scheduler.RosterRead{Members: members, Revision: item.Revision}, wrap(err, item.Key)
	}
	return nil, nil
}

func wrap(err error, key string) error {
	if err == nil {
		return nil
	}
	return errors.Wrapf(err, "record %s", key)
}

// decodeOperator maps an item of the operator to a change, nil for none.
func decodeOperator(item platform.Item) (scheduler.Change, error) {
	if platform.IsConfig(item.Key) {
		if item.Removed {
			return nil, errors.New("the configuration was removed; the last one stays in force")
		}
		config, err := platform.ParseConfig(item.Value)
		if err != nil {
			return nil, err
		}
		return scheduler.ConfigChanged{Config: config}, nil
	}
	if centre, ok := platform.DataCentreOut(item.Key); ok {
		return scheduler.CentreChanged{DataCentre: centre, Out: !item.Removed}, nil
	}
	if number, ok := platform.WaveOfKey(item.Key); ok {
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

// decodeWorkers maps a worker's entry. An entry that cannot be read names no
// worker to use.
func decodeWorkers(item platform.Item) (scheduler.Change, error) {
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
