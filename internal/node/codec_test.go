package node

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/crocusjunction/crocusjunction/internal/contract/admission"
	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
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
		roomKey:       encodeCBOR(roomsRecord{Fence: 3}),
		rosterKey:     encodeJSON([]scheduler.RosterMember{{ID: "i-1", Address: "10.0.0.1:1"}}),
		turnsKey:      encodeCBOR(newTurnsRecord(time.UnixMilli(5), map[string]turns.History{"q": {End: time.UnixMilli(4), Work: []float64{0, 7}}})),
		waveKey + "3": encodeJSON(waveRecord{Begun: []string{"m-1"}}),
		useKey:        encodeCBOR(newUseRecord(scheduler.StoreUse{Used: map[string]float64{"t": 1.5}})),
	}
	for key, value := range valid {
		if change, err := decodeJobsItem(platform.Item{Key: key, Value: value, Revision: 9}); err != nil || change == nil {
			t.Errorf("%s: change %v, error %v", key, change, err)
		}
	}
	for _, key := range []string{jobKey + "5c0e7a21d94b36f8", jobKey + "short", progressKey + "5c0e7a21d94b36f8", epochKey, releaseKey, rosterKey, roomKey, leaderKey, useKey, turnsKey, waveKey + "x"} {
		if _, err := decodeJobsItem(platform.Item{Key: key, Value: []byte("\xff{"), Revision: 9}); err == nil {
			t.Errorf("%s: malformed value was decoded without an error", key)
		}
	}
}

// TestRoomsRecordRoundTrip guards against rooms that other nodes read as larger or smaller,
// and against numbers out of range or order, by which jobs would be refused at random.
func TestRoomsRecordRoundTrip(t *testing.T) {
	room := admission.Room{
		Supply: admission.Supply{Up: 1500, Arrivals: []admission.Arrival{{MilliCores: 400, In: time.Second}, {MilliCores: 300, In: 2 * time.Second}}},
		InUse:  700, MeanWork: 1.25,
		Loads: []admission.Load{{Priority: 1, Begun: 2.5, Timely: 3, Late: 4}, {Team: "team", Priority: 0, Rate: 100, Late: 0.125}},
	}
	want := scheduler.RoomsRead{Fence: 3, AsOf: 5, Revision: 7, Rooms: map[string]admission.Room{"s": room}}
	decode := func(r roomsRecord) (scheduler.Change, error) {
		return decodeJobsItem(platform.Item{Key: roomKey, Value: encodeCBOR(r), Revision: 7})
	}
	record := newRoomsRecord(scheduler.StoreRooms{Fence: 3, AsOf: 5, Rooms: want.Rooms})
	got, err := decode(record)
	if diff := cmp.Diff(scheduler.Change(want), got); err != nil || diff != "" {
		t.Errorf("error %v, %s", err, diff)
	}
	for _, r := range []roomRecord{
		{Up: -1}, {Loads: []loadRecord{{Late: -1}}}, {Arrivals: []arrivalRecord{{InMillis: 1 << 60}}}, {Loads: []loadRecord{{Team: "b"}, {Team: "a"}}},
	} {
		if change, err := decode(roomsRecord{Services: map[string]roomRecord{"s": r}}); err == nil || change != nil {
			t.Errorf("%+v is decoded as %v", r, change)
		}
	}
}

// TestUnreadableUseIsSetAside guards against a record of the use of teams that stops the
// reading of the store, or that keeps the next one from being written: the scheduler must
// learn its revision and start without history.
func TestUnreadableUseIsSetAside(t *testing.T) {
	at := time.UnixMilli(1_700_000_000_000)
	stored := encodeCBOR(newUseRecord(scheduler.StoreUse{Used: map[string]float64{"t": 12.34, "none": 0.001}, At: at}))
	for name, c := range map[string]struct {
		item      platform.Item
		want      scheduler.UseRead
		wantError bool
	}{
		"readable":       {platform.Item{Value: stored}, scheduler.UseRead{Used: map[string]float64{"t": 12.34}, At: at}, false},
		"removed":        {platform.Item{Removed: true}, scheduler.UseRead{}, false},
		"truncated":      {platform.Item{Value: stored[:len(stored)-1]}, scheduler.UseRead{}, true},
		"not CBOR":       {platform.Item{Value: []byte("{}")}, scheduler.UseRead{}, true},
		"negative use":   {platform.Item{Value: encodeCBOR(map[int]any{1: 2, 2: map[string]int{"t": -5}})}, scheduler.UseRead{}, true},
		"not of numbers": {platform.Item{Value: encodeCBOR(map[int]any{2: map[string]string{"t": "x"}})}, scheduler.UseRead{}, true},
	} {
		c.item.Key, c.item.Revision, c.want.Revision = useKey, 7, 7
		got, err := decodeJobsItem(c.item)
		if (err != nil) != c.wantError {
			t.Errorf("%s: error %v", name, err)
		}
		if diff := cmp.Diff(scheduler.Change(c.want), got); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// TestPendingCountsRoundTrip guards against a queue that other nodes show as empty because
// they don't find its address in the record, or read the record of an earlier version.
func TestPendingCountsRoundTrip(t *testing.T) {
	full := map[policy.QueueRef]int{{Name: "q", Host: "h", Prefix: "/p/"}: 3, {Name: "q", Host: "h", Prefix: "/r/"}: 1}
	byName := map[policy.QueueRef]int{{Name: "q"}: 3}
	for _, c := range []struct {
		value []byte
		want  map[policy.QueueRef]int
	}{
		{encodeJSON(newPendingRecord(scheduler.StorePending{Counts: full, AsOf: 7})), full},
		{[]byte(`{"counts":{"q":3},"as_of":7}`), byName},
	} {
		change, err := decodeJobsItem(platform.Item{Key: pendingKey, Value: c.value, Revision: 9})
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(scheduler.PendingRead{Counts: c.want, AsOf: 7, Revision: 9}, change); diff != "" {
			t.Errorf("%s: %s", c.value, diff)
		}
	}
}

// TestMachineOrdersRoundTrip guards against a successor that does not know which effects of
// stored orders to await, or can't read the list of an earlier version.
func TestMachineOrdersRoundTrip(t *testing.T) {
	orders := []scheduler.MachineOrder{{Machine: "a", Pool: "s"}, {Machine: "b", Wave: 3, Worker: "i-1"}, {Machine: "c"}}
	for _, c := range []struct {
		value []byte
		want  []scheduler.MachineOrder
	}{
		{encodeJSON(newMachineOrdersRecord(scheduler.StoreMachineOrders{Epoch: 4, Orders: orders})), orders},
		{[]byte(`{"epoch":4,"machines":["a"]}`), []scheduler.MachineOrder{{Machine: "a"}}},
	} {
		change, err := decodeJobsItem(platform.Item{Key: machineOrdersKey, Value: c.value, Revision: 9})
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(scheduler.MachineOrdersRead{Epoch: 4, Orders: c.want, Revision: 9}, change); diff != "" {
			t.Errorf("%s: %s", c.value, diff)
		}
	}
}
