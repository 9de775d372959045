package node

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/machine/pools/turns"
	"github.com/crocusjunction/crocusjunction/internal/scheduler"
	"github.com/crocusjunction/crocusjunction/platform"
)

// TestProgressRecordRoundTrip guards against progress records that
// other nodes cannot decode: callers there would never see a job complete.
func TestProgressRecordRoundTrip(t *testing.T) {
	want := job.Progress{State: job.Running, Done: []byte{5}, FailedRuns: map[int][]int{2: {1, 1001}}, Saved: map[int]string{3: "c0ffee"}}
	change, err := decodeJobsItem(platform.Item{Key: progressKey + "5c0e7a21d94b36f8", Value: encodeCBOR(want), Revision: 7})
	if err != nil {
		t.Fatal(err)
	}
	got, ok := change.(scheduler.ProgressRead)
	if !ok || got.Revision != 7 || got.ID != "5c0e7a21d94b36f8" {
		t.Fatalf("change is %#v", change)
	}
	if diff := cmp.Diff(want, got.Progress); diff != "" {
		t.Error(diff)
	}
}

// TestRecordsDecode guards against records that cannot be decoded again,
// and against malformed values that are accepted as valid.
func TestRecordsDecode(t *testing.T) {
	spec := job.Spec{Payload: "text", Steps: []job.Step{{Count: 2, After: nil, LongRunning: true, MaxUnavailable: 1}}}
	valid := map[string][]byte{
		jobKey + "5c0e7a21d94b36f8":    encodeCBOR(jobRecord{Terms: job.Terms{Queue: "q", Team: "t"}, Spec: spec, AcceptedAt: 3}),
		cancelKey + "5c0e7a21d94b36f8": []byte("1"),
		leaderKey:                      encodeJSON(leaderRecord{Holder: "edge-1", Process: "n"}), epochKey: []byte("4"), releaseKey: []byte("3"),
		rosterKey:     encodeJSON([]scheduler.RosterMember{{ID: "i-1", Address: "10.0.0.1:1"}}),
		turnsKey:      encodeCBOR(newTurnsRecord(time.UnixMilli(5), map[string]turns.History{"q": {End: time.UnixMilli(4), Work: []float64{0, 7}}})),
		waveKey + "3": encodeJSON(waveRecord{Begun: []string{"m-1"}}),
	}
	for key, value := range valid {
		if change, err := decodeJobsItem(platform.Item{Key: key, Value: value, Revision: 9}); err != nil || change == nil {
			t.Errorf("%s: change %v, error %v", key, change, err)
		}
	}
	for _, key := range []string{jobKey + "5c0e7a21d94b36f8", jobKey + "short", progressKey + "5c0e7a21d94b36f8", epochKey, releaseKey, rosterKey, leaderKey, turnsKey, waveKey + "x"} {
		if _, err := decodeJobsItem(platform.Item{Key: key, Value: []byte("\xff{"), Revision: 9}); err == nil {
			t.Errorf("%s: malformed value was decoded without an error", key)
		}
	}
}
