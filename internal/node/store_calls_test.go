package node

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/crocusjunction/crocusjunction/internal/asynclog"
	"github.com/crocusjunction/crocusjunction/internal/contract/admission"
	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/scheduler"
	"github.com/crocusjunction/crocusjunction/internal/standin/site"
	"github.com/crocusjunction/crocusjunction/platform"
)

// startStore serves a stand-in of the store and returns it with a runner that calls it.
func startStore(t *testing.T) (*site.Store, *runner) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	store := site.NewStore()
	server := &fasthttp.Server{Handler: store.Serve}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	r := &runner{
		client: platform.NewClient(platform.Settings{StoreAddress: l.Addr().String()}),
		clock:  newBootClock(), log: asynclog.New(io.Discard, logrus.Fields{}), nodeName: "node",
	}
	return store, r
}

// takeLease makes the runner's node the holder of the scheduler's lease and returns its
// fencing token.
func takeLease(t *testing.T, r *runner) int64 {
	t.Helper()
	granted, ok := r.perform(scheduler.AcquireLease{}).(scheduler.LeaseGranted)
	if !ok {
		t.Fatal("the lease was refused")
	}
	return granted.Fence
}

// TestRefusedProgressWriteNamesEachJob guards against a refused write whose answer is
// read as the same for all of its jobs. The store leaves out jobs without progress.
func TestRefusedProgressWriteNamesEachJob(t *testing.T) {
	_, r := startStore(t)
	fence := takeLease(t, r)
	placed := job.Progress{State: job.Queued, Placed: map[int][]string{0: {"i-1"}}}
	store := func(writes ...scheduler.ProgressWrite) scheduler.ProgressStored {
		return r.perform(scheduler.StoreProgress{Fence: fence, Writes: writes}).(scheduler.ProgressStored)
	}
	a, b := scheduler.ProgressWrite{Job: "a", Progress: placed}, scheduler.ProgressWrite{Job: "b", Progress: placed}
	revisionA, revisionB := store(a).Revision, store(b).Revision
	if revisionA == 0 || revisionB <= revisionA {
		t.Fatalf("revisions %d, %d", revisionA, revisionB)
	}
	b.Progress.State = job.Running
	result := store(a, b, scheduler.ProgressWrite{Job: "c", Progress: placed})
	want := map[job.ID]scheduler.FoundProgress{
		"a": {Revision: revisionA, Progress: placed, Readable: true}, "b": {Revision: revisionB, Progress: placed, Readable: true},
	}
	if diff := cmp.Diff(want, result.Found); result.Outcome != scheduler.StoreConflict || diff != "" {
		t.Errorf("outcome %v, found %s", result.Outcome, diff)
	}
}

// TestRepeatedProgressWriteIsRecognized guards against stored progress that counts as other
// progress, and is written again, because its maps were encoded in another order.
func TestRepeatedProgressWriteIsRecognized(t *testing.T) {
	_, r := startStore(t)
	write := scheduler.ProgressWrite{Job: "a", Progress: job.Progress{State: job.Running, Placed: make(map[int][]string), Saved: map[int]string{}}}
	for i := range 40 {
		write.Progress.Placed[i] = []string{"i-1"}
	}
	store := scheduler.StoreProgress{Fence: takeLease(t, r), Writes: []scheduler.ProgressWrite{write}}
	r.perform(store)
	found := r.perform(store).(scheduler.ProgressStored).Found["a"]
	if !found.Readable || !found.Progress.Equal(&write.Progress) {
		t.Errorf("the stored progress %v is not that of the write", found)
	}
}

// TestWriteWithoutLeaseIsNoConflict guards against a scheduler that goes on after its
// lease has ended: the store's answer then lacks the key of the lease.
func TestWriteWithoutLeaseIsNoConflict(t *testing.T) {
	store, r := startStore(t)
	fence := takeLease(t, r)
	store.Delete(leaderKey)
	result := r.perform(scheduler.StoreProgress{Fence: fence, Writes: []scheduler.ProgressWrite{{Job: "a"}}}).(scheduler.ProgressStored)
	if result.Outcome != scheduler.StoreLeaseLost {
		t.Errorf("outcome %v, want %v", result.Outcome, scheduler.StoreLeaseLost)
	}
}

// TestLateRecordWriteIsRefused guards against a write of one of the scheduler's records
// that the store carries out after a newer one.
func TestLateRecordWriteIsRefused(t *testing.T) {
	store, r := startStore(t)
	fence := takeLease(t, r)
	roster := func(members ...scheduler.RosterMember) scheduler.Action {
		return scheduler.StoreRoster{Fence: fence, Members: members}
	}
	for _, c := range []struct {
		key          string
		older, newer scheduler.Action
	}{
		{rosterKey, roster(scheduler.RosterMember{ID: "i-1"}), roster(scheduler.RosterMember{ID: "i-1"}, scheduler.RosterMember{ID: "i-2"})},
		{machineOrdersKey, scheduler.StoreMachineOrders{Fence: fence, Orders: []scheduler.MachineOrder{{Machine: "a"}}}, scheduler.StoreMachineOrders{Fence: fence, Orders: []scheduler.MachineOrder{{Machine: "a"}, {Machine: "b"}}}},
		{pendingKey, scheduler.StorePending{Fence: fence, AsOf: 3}, scheduler.StorePending{Fence: fence, AsOf: 4}},
		{roomKey, scheduler.StoreRooms{Fence: fence, Rooms: map[string]admission.Room{"s": {}}}, scheduler.StoreRooms{Fence: fence}},
		{useKey, scheduler.StoreUse{Fence: fence, Used: map[string]float64{"a": 1}}, scheduler.StoreUse{Fence: fence, Used: map[string]float64{"a": 2}}},
		{silencesKey, scheduler.StoreSilences{Fence: fence, Left: map[string]time.Duration{"i-1": time.Second}}, scheduler.StoreSilences{Fence: fence}},
		{waveKey + "1", scheduler.PublishWave{Fence: fence, Wave: 1}, scheduler.PublishWave{Fence: fence, Wave: 1, Completed: true}},
	} {
		store.SetWriteFault(func([]string) site.StoreFault { return site.StoreHeld })
		r.perform(c.older)
		store.SetWriteFault(nil)
		r.perform(c.newer)
		newest, _ := store.Get(c.key)
		statuses := store.CarryOutHeld()
		if after, _ := store.Get(c.key); len(statuses) != 1 || statuses[0] != fasthttp.StatusPreconditionFailed || after.Revision != newest.Revision {
			t.Errorf("%s: the late write got status %v and left %s", c.key, statuses, after.Value)
		}
	}
}

// TestLateRemovalKeepsLaterJob guards against the loss of an accepted job whose ID an
// older job had, which a removal without an answer removes.
func TestLateRemovalKeepsLaterJob(t *testing.T) {
	store, r := startStore(t)
	fence := takeLease(t, r)
	key := jobKey + "a"
	store.Put(key, "older")
	older, _ := store.Get(key)
	remove := scheduler.RemoveJobs{Fence: fence, Jobs: []scheduler.JobRemoval{{ID: "a", Revision: older.Revision}}}
	store.SetWriteFault(func([]string) site.StoreFault { return site.StoreHeld })
	r.perform(remove)
	store.SetWriteFault(nil)
	r.perform(remove)
	if _, ok := store.Get(key); ok {
		t.Fatal("the job was not removed")
	}
	store.Put(key, "later")
	store.CarryOutHeld()
	if _, ok := store.Get(key); !ok {
		t.Error("the late removal has removed the later job")
	}
}

// TestSilencesAreReadBack guards against a stored silence that is read as shorter than it
// is: tasks of that worker would start elsewhere while they run.
func TestSilencesAreReadBack(t *testing.T) {
	store, r := startStore(t)
	left := map[string]time.Duration{"i-1": 5*time.Second + time.Microsecond, "i-2": 0}
	r.perform(scheduler.StoreSilences{Fence: takeLease(t, r), Left: left})
	item, _ := store.Get(silencesKey)
	change, err := decodeJobsItem(platform.Item{Key: item.Key, Value: item.Value, Revision: item.Revision})
	read, ok := change.(scheduler.SilencesRead)
	if err != nil || !ok || read.Revision != item.Revision || len(read.Left) != len(left) {
		t.Fatalf("read %+v, error %v", change, err)
	}
	for id, d := range left {
		if got := read.Left[id]; got < d || got > d+time.Millisecond {
			t.Errorf("%s: %v is read as %v", id, d, got)
		}
	}
}
