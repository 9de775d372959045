package control

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/crocusjunction/crocusjunction/internal/contract"
)

// TestAllotmentCodec guards against a record that changes when it is encoded
// and decoded, which would lose slots.
func TestAllotmentCodec(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record := contract.AllotmentRecord{Limit: contract.Limit{
			Slots: rapid.IntRange(0, 1_000_000).Draw(t, "limit"), Revision: rapid.Uint64().Draw(t, "revision"), Unbounded: rapid.Bool().Draw(t, "unbounded"),
		}}
		for range rapid.IntRange(0, 40).Draw(t, "entries") {
			record.Entries = append(record.Entries, contract.AllotmentEntry{
				Holder: contract.Holder{Instance: rapid.StringMatching(`[a-z0-9-]{1,20}`).Draw(t, "instance"), Incarnation: rapid.Uint64().Draw(t, "incarnation")},
				Slots:  rapid.IntRange(0, 1000).Draw(t, "slots"), Sequence: rapid.Uint64().Draw(t, "sequence"),
			})
		}
		data, err := EncodeAllotment(record)
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeAllotment(data)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(record, got); diff != "" {
			t.Fatal(diff)
		}
	})
}

// FuzzDecodeAllotment guards against a platform value that panics the decoder
// or decodes to a record with a negative number of slots.
func FuzzDecodeAllotment(f *testing.F) {
	data, err := EncodeAllotment(contract.AllotmentRecord{Entries: []contract.AllotmentEntry{{Holder: contract.Holder{Instance: "a"}, Slots: 1}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:len(data)-1])
	f.Add([]byte(`{"limit":{}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := DecodeAllotment(data)
		if err == nil && record.Sum() < 0 {
			t.Errorf("sum %d", record.Sum())
		}
	})
}
