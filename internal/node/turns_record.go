package node

import (
	"math"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/machine/pools/turns"
)

// turnsRecord is the stored form of scheduler.TurnsRead.
type turnsRecord struct {
	WrittenAt int64                    `cbor:"1,keyasint"`
	Queues    map[string]historyRecord `cbor:"2,keyasint"`
}

// historyRecord is the stored form of turns.History. Work has one byte for each bin, in
// units of Unit, because every node reads the record: 22 queues take 3,027 bytes.
type historyRecord struct {
	End      int64             `cbor:"1,keyasint"`
	Unit     float64           `cbor:"2,keyasint"`
	Work     []byte            `cbor:"3,keyasint"`
	Total    machine.Resources `cbor:"4,keyasint"`
	Failures int64             `cbor:"5,keyasint,omitempty"`
	Jobs     int64             `cbor:"6,keyasint"`
}

func newTurnsRecord(writtenAt time.Time, histories map[string]turns.History) turnsRecord {
	r := turnsRecord{WrittenAt: writtenAt.UnixMilli(), Queues: make(map[string]historyRecord, len(histories))}
	for queue, h := range histories {
		highest := 0.0
		for _, work := range h.Work {
			highest = max(highest, work)
		}
		q := historyRecord{End: h.End.UnixMilli(), Unit: max(highest, 1) / math.MaxUint8, Work: make([]byte, len(h.Work)), Total: h.Total, Jobs: h.Jobs, Failures: h.Failures}
		for i, work := range h.Work {
			q.Work[i] = byte(math.Round(work / q.Unit))
		}
		r.Queues[queue] = q
	}
	return r
}

// histories returns the histories of a record, and an error if one of them is not valid.
func (r turnsRecord) histories() (map[string]turns.History, error) {
	histories := make(map[string]turns.History, len(r.Queues))
	for queue, q := range r.Queues {
		// A queue's work in one bin is far below 1e12 millicore seconds.
		if !(q.Unit > 0 && q.Unit < 1e12) {
			return nil, errors.Errorf("queue %s: unit %v of the recorded work", queue, q.Unit)
		}
		h := turns.History{End: time.UnixMilli(q.End), Total: q.Total, Jobs: q.Jobs, Failures: q.Failures, Work: make([]float64, len(q.Work))}
		for i, b := range q.Work {
			h.Work[i] = float64(b) * q.Unit
		}
		histories[queue] = h
	}
	return histories, nil
}
