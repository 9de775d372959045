package scheduler

import (
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/admission"
	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
)

// roomNode is a node whose copy of the store the test writes.
type roomNode struct {
	*Scheduler
	revision int64
	now      time.Time
}

// sync reads changes 250 ms after the last ones.
func (n *roomNode) sync(part Part, changes ...Change) {
	n.now = n.now.Add(250 * time.Millisecond)
	n.revision++
	n.Apply(Synced{Part: part, Changes: changes, Revision: n.revision, SentAt: n.now}, n.now)
}

// fullRooms are the rooms of a service that has 100 core-seconds of work and one core.
func fullRooms(fence, revision int64) RoomsRead {
	room := admission.Room{Supply: admission.Supply{Up: 1000}, Loads: []admission.Load{{Begun: 100}}}
	return RoomsRead{Fence: fence, Rooms: map[string]admission.Room{"s": room}, Revision: revision}
}

// accepts reports whether the node accepts a small job.
func (n *roomNode) accepts() bool {
	d := admission.Demand{ID: "0123456789abcdef", Service: "s", Work: 1, Path: time.Second, Objective: 2 * time.Second}
	return n.Rooms().Decide(d, time.Time{}, n.now).Accept
}

func newRoomNode() *roomNode {
	n := &roomNode{Scheduler: New(Options{}), now: time.UnixMilli(1_700_000_000_000)}
	n.sync(OperatorPart, ConfigChanged{policy.New(1, []policy.Queue{{Name: "q", Service: "s"}}, nil, nil, policy.RequestLimits{})})
	n.sync(JobsPart, HolderRead{Holder: "a", Fence: 5})
	return n
}

// TestRoomsOfUncertainAge guards against refusals by rooms that are missing, old, of an
// earlier scheduler or of unknown age.
func TestRoomsOfUncertainAge(t *testing.T) {
	n := newRoomNode()
	for _, step := range []struct {
		rooms  string
		wait   time.Duration
		change Change
		accept bool
	}{
		{"none", 0, nil, true},
		{"full", 0, fullRooms(5, 10), false},
		{"too old", admission.MaxAge, nil, true},
		{"maybe as old as the reading before", admission.MaxAge, fullRooms(5, 11), true},
		{"full again", 0, fullRooms(5, 12), false},
		{"of the scheduler before the takeover", 0, HolderRead{Holder: "b", Fence: 13}, true},
		{"of the new scheduler", 0, fullRooms(13, 14), false},
		{"empty", 0, RoomsRead{Fence: 13, Revision: 15}, true},
	} {
		if n.now = n.now.Add(step.wait); step.change != nil {
			n.sync(JobsPart, step.change)
		}
		if got := n.accepts(); got != step.accept {
			t.Errorf("rooms %s: accepted is %v", step.rooms, got)
		}
	}
	n = &roomNode{Scheduler: New(Options{}), now: n.now}
	n.sync(OperatorPart, ConfigChanged{policy.New(1, nil, nil, nil, policy.RequestLimits{})})
	n.sync(JobsPart, HolderRead{Holder: "a", Fence: 5}, fullRooms(5, 10))
	if !n.accepts() {
		t.Error("refused by rooms of unknown age, which the first reading of the store contained")
	}
}

// TestRoomsCountAcceptedJobs guards against nodes that all give the same capacity away: the
// jobs accepted since the rooms were written count on every node, and once only.
func TestRoomsCountAcceptedJobs(t *testing.T) {
	n := newRoomNode()
	accepted := func(id job.ID, revision int64) Change {
		spec := job.Spec{Steps: []job.Step{newStep(10, 1000, 1000)}}
		return JobAccepted{job.New(id, job.Terms{Queue: "q", Service: "s"}, spec, n.now.UnixMilli(), revision)}
	}
	expect := func(want float64, what string) {
		room := n.Rooms().ByService["s"]
		if got := room.TotalWork(); got != want {
			t.Errorf("%v core-seconds, want %v: 100 of the record and %s", got, want, what)
		}
	}
	read := fullRooms(5, 10)
	read.AsOf = 7
	n.sync(JobsPart, accepted("0000000000000007", 7), accepted("0000000000000008", 8))
	n.sync(JobsPart, read, accepted("000000000000000b", 11))
	expect(120, "10 of each of two later jobs")
	read = fullRooms(5, 12)
	read.AsOf = 11
	n.sync(JobsPart, read)
	expect(100, "nothing else, as it counts both jobs")
}

// TestNoRoomsWithoutContention guards against writes to the store while the fleet can do
// its work, and against a new scheduler that takes workers which have not answered yet for
// missing capacity. The same day with too much work stores rooms.
func TestNoRoomsWithoutContention(t *testing.T) {
	for _, c := range []struct {
		load    int
		written bool
	}{{1, false}, {20, true}} {
		w := newFleet(t, 1, 2, 1, 0)
		w.runFor(4 * time.Second)
		for i := range c.load {
			w.submit(i, job.Spec{Steps: []job.Step{newStep(8, 1000, 1500)}})
		}
		w.runFor(time.Second)
		if item, written := w.store.get("room"); written != c.written {
			t.Errorf("%d jobs: the rooms are %v", c.load, item.value)
		}
		w.withLeader(func(n *simNode) { n.kill(2 * time.Second) })
		var since time.Time
		for range 40 {
			w.runFor(100 * time.Millisecond)
			w.withLeader(func(n *simNode) {
				if since.IsZero() {
					since = w.now
				}
				if d := w.now.Sub(since); n.state.Rooms() != nil && d < roomWarmup-100*time.Millisecond {
					t.Errorf("%s uses rooms %v after the takeover", n.name, d)
				}
			})
		}
		w.runFor(60 * time.Second)
		if item, ok := w.store.get("room"); ok && len(item.value.(RoomsRead).Rooms) > 0 {
			t.Errorf("%d jobs: the rooms are still %v after all work is done", c.load, item.value)
		}
	}
}
