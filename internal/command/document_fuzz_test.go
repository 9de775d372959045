package command

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// FuzzParseDocument guards against a document that makes the parser panic, and
// against an accepted document that changes when it is encoded and parsed again.
func FuzzParseDocument(f *testing.F) {
	f.Add([]byte(`{"service":"bookings","team":"depots","pool":"main","min_available":1}`))
	f.Add([]byte(`{"service":"Bookings","team":"","pool":"main","max_slots":-1}`))
	f.Add([]byte(`{"service":"bookings","unknown":1}`))
	f.Add([]byte(`{"service":"a"} x`))
	f.Fuzz(func(t *testing.T, data []byte) {
		object, err := parseDocument(data)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(object.Document)
		if err != nil {
			t.Fatal(err)
		}
		reparsed, err := parseDocument(encoded)
		if err != nil {
			t.Fatalf("parse of the encoded document: %v", err)
		}
		if diff := cmp.Diff(object, reparsed, cmpopts.EquateEmpty()); diff != "" {
			t.Error(diff)
		}
	})
}

// TestDocumentCheckNamesEveryField guards against a check that stops at the first
// invalid field.
func TestDocumentCheckNamesEveryField(t *testing.T) {
	_, err := parseDocument([]byte(`{"service":"bookings","team":"No","pool":"","max_slots":-1,"min_available":2000000,"accepts_from":["x","_"],"max_staleness_ms":-5}`))
	if err == nil {
		t.Fatal("accepted")
	}
	for _, want := range []string{`document.team: "No"`, `document.pool: ""`, `document.max_slots: "-1"`, `document.min_available: "2000000"`,
		`document.accepts_from[1]: "_"`, `document.max_staleness_ms: "-5"`, "0 to 86400000 ms"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("error does not contain %q:\n%v", want, err)
		}
	}
}
