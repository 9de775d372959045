package control

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/contract"
)

// allotmentVersion is the version of the encoding of an allotment record.
const allotmentVersion = 1

// ErrAllotmentVersion means that a record was written in another version of the
// encoding.
var ErrAllotmentVersion = errors.New("version of the allotment record is not supported")

// allotmentValue is the encoded contract.AllotmentRecord. It is a CBOR array,
// which for 40 holders takes about a quarter of the bytes of JSON. Allotment
// records are most of the traffic between the limits and the platform.
type allotmentValue struct {
	_         struct{} `cbor:",toarray"`
	Version   uint8
	Slots     int
	Revision  uint64
	Unbounded bool
	Entries   []entryValue
}

type entryValue struct {
	_           struct{} `cbor:",toarray"`
	Instance    string
	Incarnation uint64
	Slots       int
	Sequence    uint64
}

// EncodeAllotment encodes a record as a platform value.
func EncodeAllotment(r contract.AllotmentRecord) ([]byte, error) {
	value := allotmentValue{
		Version: allotmentVersion, Slots: r.Limit.Slots, Revision: r.Limit.Revision, Unbounded: r.Limit.Unbounded,
		Entries: make([]entryValue, 0, len(r.Entries)),
	}
	for _, e := range r.Entries {
		value.Entries = append(value.Entries, entryValue{
			Instance: e.Holder.Instance, Incarnation: e.Holder.Incarnation, Slots: e.Slots, Sequence: e.Sequence,
		})
	}
	data, err := cbor.Marshal(value)
	if err != nil {
		return nil, errors.Wrap(err, "encode allotment")
	}
	return data, nil
}

// DecodeAllotment decodes a platform value. It returns an error for entries
// that no swap can have written: those without an instance or with negative
// slots.
func DecodeAllotment(data []byte) (contract.AllotmentRecord, error) {
	var value allotmentValue
	var record contract.AllotmentRecord
	if err := cbor.Unmarshal(data, &value); err != nil {
		return record, errors.Wrap(err, "decode allotment")
	}
	if value.Version != allotmentVersion {
		return record, errors.Wrapf(ErrAllotmentVersion, "version %d", value.Version)
	}
	record.Limit = contract.Limit{Slots: value.Slots, Revision: value.Revision, Unbounded: value.Unbounded}
	for _, e := range value.Entries {
		if e.Slots < 0 || e.Instance == "" {
			return contract.AllotmentRecord{}, errors.Errorf("decode allotment: entry of %q with %d slots", e.Instance, e.Slots)
		}
		record.Entries = append(record.Entries, contract.AllotmentEntry{
			Holder: contract.Holder{Instance: e.Instance, Incarnation: e.Incarnation}, Slots: e.Slots, Sequence: e.Sequence,
		})
	}
	return record, nil
}
