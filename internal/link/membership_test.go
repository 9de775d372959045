package link

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/crocusjunction/crocusjunction/internal/proptest"
)

func member(id, centre string, incarnation uint64) Member {
	return Member{ID: id, DataCentre: centre, Incarnation: incarnation, Address: id}
}

// TestMembersConverge guards against members that never learn of each other,
// against lists that are sent for ever, and against a removed member that
// comes back from a peer's list.
func TestMembersConverge(t *testing.T) {
	proptest.Check(t, 2, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "members")
		all := make([]*Membership, n)
		for i := range n {
			seed := member(fmt.Sprintf("e%d", max(i-1, 0)), "north", 1)
			all[i] = NewMembership(member(fmt.Sprintf("e%d", i), "north", 1), []Member{seed})
		}
		now := epoch
		exchange := func(a, b *Membership) int {
			lists := 0
			la := b.Heard(a.self, 0, now)
			if list := b.ListFor(la, a.Digest(), now); list != nil {
				lists++
				a.Merge(list, now)
			}
			lb := a.Heard(b.self, 0, now)
			if list := a.ListFor(lb, b.Digest(), now); list != nil {
				lists++
				b.Merge(list, now)
			}
			return lists
		}
		round := func() (lists int) {
			now = now.Add(membersPause)
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
				t.Fatalf("member %d knows %d of %d", i, len(m.Members()), n)
			}
		}
		if lists := round(); lists != 0 {
			t.Errorf("%d lists between members that agree", lists)
		}
		gone := all[0].Members()[n-1]
		if gone.ID == all[0].self.ID {
			return
		}
		all[0].Left(gone, now)
		all[0].Merge([]Member{gone}, now)
		if all[0].Link(gone.ID) != nil {
			t.Error("a removed member came back from a list")
		}
		gone.Incarnation++
		all[0].Merge([]Member{gone}, now)
		if all[0].Link(gone.ID) == nil {
			t.Error("a restarted member was refused")
		}
	})
}

// TestTargetsCoverTheFleet guards against a full mesh, and against members,
// data centres or silent links that are never probed.
func TestTargetsCoverTheFleet(t *testing.T) {
	const centres, each = 5, 8
	var members []Member
	for c := range centres {
		for i := range each {
			members = append(members, member(fmt.Sprintf("e%d-%d", c, i), fmt.Sprintf("dc%d", c), 1))
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
		if len(probed) != centres {
			t.Errorf("%s probed %d data centres", self.ID, len(probed))
		}
	}
	for id, n := range incoming {
		if n > 9*rounds {
			t.Errorf("%s is probed %d times in %d rounds", id, n, rounds)
		}
	}
}

// TestWatchersFollowLiveness guards against a data centre without a watcher,
// and against a silent link that is never tried again.
func TestWatchersFollowLiveness(t *testing.T) {
	now := epoch
	m := NewMembership(member("e3", "north", 1), nil)
	m.Merge([]Member{member("e1", "north", 1), member("e2", "north", 1), member("f0", "south", 1)}, now)
	if m.Watches(now) {
		t.Error("watches although two lower ids are live")
	}
	m.Link("e1").Failed(now)
	if m.Watches(now.Add(SilentAfter - 1)) {
		t.Error("one failure counts as silent")
	}
	now = now.Add(SilentAfter)
	if !m.Watches(now) {
		t.Error("does not watch although a lower id is silent")
	}
	tried := false
	for _, l := range m.Targets(1, false, now) {
		tried = tried || l.Member.ID == "e1"
	}
	if !tried {
		t.Error("the silent link is not tried again")
	}
	m.Heard(member("e1", "north", 1), 0, now)
	if m.Watches(now) {
		t.Error("watches although both lower ids are live again")
	}
}

// TestListedRemovesOnlyUnheardMembers guards against a lagging list that removes
// a live member, and against dead members that stay for ever.
func TestListedRemovesOnlyUnheardMembers(t *testing.T) {
	now := epoch
	m := NewMembership(member("e1", "north", 1), []Member{member("seed", "south", 0)})
	m.Heard(member("live", "north", 1), 0, now.Add(time.Minute))
	m.Heard(member("dead", "north", 1), 0, now)
	now = now.Add(time.Minute + time.Second)
	m.Listed(nil, now)
	if m.Link("live") == nil || m.Link("dead") != nil || m.Link("seed") == nil {
		t.Errorf("members %v", m.Members())
	}
}
