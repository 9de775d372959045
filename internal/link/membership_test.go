package link

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/crocusjunction/crocusjunction/internal/proptest"
)

func testMember(id, dataCentre string, incarnation uint64) Member {
	return Member{ID: id, DataCentre: dataCentre, Incarnation: incarnation, Address: id}
}

// TestMembersConverge guards against members that never learn of each other,
// against members that keep sending lists after they agree, and against a
// removed member that a peer's list adds again.
func TestMembersConverge(t *testing.T) {
	proptest.Check(t, 2, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "members")
		all := make([]*Membership, n)
		for i := range n {
			seed := testMember(fmt.Sprintf("e%d", max(i-1, 0)), "north", 1)
			all[i] = NewMembership(testMember(fmt.Sprintf("e%d", i), "north", 1), []Member{seed})
		}
		now := epoch
		exchange := func(a, b *Membership) int {
			lists := 0
			la := b.RecordMessage(a.self, 0, now)
			if list := b.ListFor(la, a.Digest(), now); list != nil {
				lists++
				a.Merge(list, now)
			}
			lb := a.RecordMessage(b.self, 0, now)
			if list := a.ListFor(lb, b.Digest(), now); list != nil {
				lists++
				b.Merge(list, now)
			}
			return lists
		}
		round := func() (lists int) {
			now = now.Add(memberListInterval)
			for i := range n {
				j := (i + 1 + rapid.IntRange(0, n-2).Draw(t, "peer")) % n
				lists += exchange(all[i], all[j])
			}
			return lists
		}
		for range 2*n + 10 {
			round()
		}
		for i, m := range all {
			if len(m.Members()) != n {
				t.Fatalf("member %d knows %d of %d members", i, len(m.Members()), n)
			}
		}
		if lists := round(); lists != 0 {
			t.Errorf("%d lists sent between members that agree", lists)
		}
		departed := all[0].Members()[n-1]
		if departed.ID == all[0].self.ID {
			return
		}
		all[0].RemoveDeparted(departed, now)
		all[0].Merge([]Member{departed}, now)
		if all[0].Link(departed.ID) != nil {
			t.Error("a list added a removed member again")
		}
		departed.Incarnation++
		all[0].Merge([]Member{departed}, now)
		if all[0].Link(departed.ID) == nil {
			t.Error("a list did not add a member that has restarted")
		}
	})
}

// TestTargetsCoverTheFleet guards against probes from every member to every
// other one, against members that are probed too often, and against data
// centres that a member never probes.
func TestTargetsCoverTheFleet(t *testing.T) {
	const dataCentres, membersPerDataCentre = 5, 8
	var members []Member
	for c := range dataCentres {
		for i := range membersPerDataCentre {
			members = append(members, testMember(fmt.Sprintf("e%d-%d", c, i), fmt.Sprintf("dc%d", c), 1))
		}
	}
	now := epoch
	incoming := make(map[string]int)
	const rounds = 60
	for _, self := range members {
		m := NewMembership(self, nil)
		m.Merge(members, now)
		probed := make(map[string]bool)
		for round := range rounds {
			targets := m.Targets(round, false, now)
			if len(targets) > 2 {
				t.Fatalf("%s probes %d members in a round", self.ID, len(targets))
			}
			for _, l := range targets {
				incoming[l.Member.ID]++
				probed[l.Member.DataCentre] = true
			}
		}
		if len(probed) != dataCentres {
			t.Errorf("%s probed %d data centres", self.ID, len(probed))
		}
	}
	for id, n := range incoming {
		if n > 9*rounds {
			t.Errorf("%s is probed %d times in %d rounds", id, n, rounds)
		}
	}
}

// TestWatchersFollowLiveness guards against a data centre whose watchers are
// silent and not replaced, and against a silent link that is never probed
// again.
func TestWatchersFollowLiveness(t *testing.T) {
	now := epoch
	m := NewMembership(testMember("e3", "north", 1), nil)
	m.Merge([]Member{testMember("e1", "north", 1), testMember("e2", "north", 1), testMember("f0", "south", 1)}, now)
	if m.IsWatcher(now) {
		t.Error("e3 is a watcher although two members with lower ids are live")
	}
	m.Link("e1").RecordFailure(now)
	if m.IsWatcher(now.Add(SilentAfter - 1)) {
		t.Error("a peer counts as silent before SilentAfter")
	}
	now = now.Add(SilentAfter)
	if !m.IsWatcher(now) {
		t.Error("e3 is not a watcher although a member with a lower id is silent")
	}
	tried := false
	for _, l := range m.Targets(1, false, now) {
		tried = tried || l.Member.ID == "e1"
	}
	if !tried {
		t.Error("the silent link is not probed again")
	}
	m.RecordMessage(testMember("e1", "north", 1), 0, now)
	if m.IsWatcher(now) {
		t.Error("e3 is a watcher although both members with lower ids are live again")
	}
}

// TestListedRemovesOnlyUnheardMembers guards against an outdated list that removes
// a live member, and against dead members that are never removed.
func TestListedRemovesOnlyUnheardMembers(t *testing.T) {
	now := epoch
	m := NewMembership(testMember("e1", "north", 1), []Member{testMember("seed", "south", 0)})
	m.RecordMessage(testMember("live", "north", 1), 0, now.Add(time.Minute))
	m.RecordMessage(testMember("dead", "north", 1), 0, now)
	now = now.Add(time.Minute + time.Second)
	m.MergeListed(nil, now)
	if m.Link("live") == nil || m.Link("dead") != nil || m.Link("seed") == nil {
		t.Errorf("members %v", m.Members())
	}
}
