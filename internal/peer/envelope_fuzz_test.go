package peer

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/crocusjunction/crocusjunction/internal/link"
)

// FuzzRead guards against input from a peer that makes Read panic, and against
// an accepted envelope that is different after it is encoded and read again.
func FuzzRead(f *testing.F) {
	frame, err := Encode(newEnvelope(KindProbe, link.Member{ID: "a", Incarnation: 7, DataCentre: "north", Address: "127.0.0.1:1"}, []byte{1}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(frame)
	f.Add(frame[:len(frame)-1])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := Read(bytes.NewReader(data))
		if err != nil {
			return
		}
		frame, err := Encode(e)
		if err != nil {
			t.Fatalf("encode of an accepted envelope: %v", err)
		}
		reread, err := Read(bytes.NewReader(frame))
		if err != nil {
			t.Fatalf("second read: %v", err)
		}
		if diff := cmp.Diff(e, reread, cmpopts.IgnoreUnexported(Envelope{}), cmpopts.EquateEmpty()); diff != "" {
			t.Error(diff)
		}
	})
}
