package link

import (
	"hash/fnv"
	"sort"
	"strconv"
	"time"
)

// Parameters of the membership.
const (
	// watchersPerDataCentre is the number of watchers of a data centre: the
	// instances that watch the platform and that the other instances probe. With
	// two, the others still learn of changes when one fails.
	watchersPerDataCentre = 2
	// removeAfter is the time since the last message of a member after which the
	// member is removed, unless the platform lists it.
	removeAfter = 30 * time.Second
	// removedRetention is the time after the removal of a member during which the
	// list of a peer does not add the member again: the peer may not have removed
	// it yet.
	removedRetention = 30 * time.Minute
	// memberListInterval is the shortest time between two lists of members that
	// are sent to the same peer. A list of 40 members takes about 2 KB.
	memberListInterval = 5 * time.Second
)

// Membership is the set of entry instances that this process knows. It is owned
// by the control thread.
//
// Invariant: the incarnation of a member never decreases.
type Membership struct {
	self  Member
	links map[string]*Link
	// removed holds the members that were removed within removedRetention.
	removed map[string]removedMember
	// digest caches Digest while digestValid is true.
	digest      uint32
	digestValid bool
}

// removedMember records the removal of a member.
type removedMember struct {
	incarnation uint64
	at          time.Time
}

// NewMembership returns a membership of the process itself and the seeds. The
// incarnation of each seed is set to 0, unknown, until a message of the member
// arrives.
func NewMembership(self Member, seeds []Member) *Membership {
	m := &Membership{self: self, links: make(map[string]*Link), removed: make(map[string]removedMember)}
	for _, seed := range seeds {
		seed.Incarnation = 0
		m.upsert(seed)
	}
	return m
}

// Link returns the link to a member, nil when the member is not known.
func (m *Membership) Link(id string) *Link { return m.links[id] }

// Links returns all links ordered by id.
func (m *Membership) Links() []*Link {
	list := make([]*Link, 0, len(m.links))
	for _, l := range m.links {
		list = append(list, l)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Member.ID < list[j].Member.ID })
	return list
}

// InDataCentre returns the links to the members of one data centre, ordered by id.
func (m *Membership) InDataCentre(dataCentre string) []*Link {
	var list []*Link
	for _, l := range m.Links() {
		if l.Member.DataCentre == dataCentre {
			list = append(list, l)
		}
	}
	return list
}

// upsert adds a member, or replaces it by a later incarnation. It reports
// whether it changed the membership.
func (m *Membership) upsert(member Member) bool {
	if member.ID == "" || member.ID == m.self.ID {
		return false
	}
	l, ok := m.links[member.ID]
	if ok && member.Incarnation <= l.Member.Incarnation {
		return false
	}
	m.digestValid = false
	if ok {
		l.resetTo(member)
		return true
	}
	m.links[member.ID] = &Link{Member: member}
	return true
}

// Merge adds the members that a peer listed, except members that this process
// has recently removed.
func (m *Membership) Merge(list []Member, now time.Time) {
	for _, member := range list {
		removed, ok := m.removed[member.ID]
		if ok && member.Incarnation <= removed.incarnation && now.Sub(removed.at) < removedRetention {
			continue
		}
		m.upsert(member)
	}
}

// RecordMessage records a message of a member, which reported the given
// configuration revision. It returns the member's link, nil when the message is
// from an earlier incarnation or from the process itself.
func (m *Membership) RecordMessage(member Member, revision uint64, now time.Time) *Link {
	m.upsert(member)
	l := m.links[member.ID]
	if l == nil || l.Member.Incarnation != member.Incarnation {
		return nil
	}
	delete(m.removed, member.ID)
	l.recordContact(now, revision)
	return l
}

// MergeListed updates the membership from the platform's list. A member that is
// not listed is removed when none of its messages has arrived for removeAfter.
func (m *Membership) MergeListed(list []Member, now time.Time) {
	listed := make(map[string]bool, len(list))
	for _, member := range list {
		listed[member.ID] = true
		m.upsert(member)
	}
	for id, l := range m.links {
		if !listed[id] && l.Member.Incarnation != 0 && now.Sub(l.HeardAt) >= removeAfter {
			m.remove(id, now)
		}
	}
	for id, removed := range m.removed {
		if now.Sub(removed.at) >= removedRetention {
			delete(m.removed, id)
		}
	}
}

// RemoveDeparted removes a member that announced that it shuts down.
func (m *Membership) RemoveDeparted(member Member, now time.Time) {
	if l := m.links[member.ID]; l != nil && l.Member.Incarnation <= member.Incarnation {
		l.Member.Incarnation = member.Incarnation
		m.remove(member.ID, now)
	}
}

// remove removes a known member and records its removal.
func (m *Membership) remove(id string, now time.Time) {
	m.digestValid = false
	m.removed[id] = removedMember{incarnation: m.links[id].Member.Incarnation, at: now}
	delete(m.links, id)
}

// Members returns the process itself and all members with a known incarnation,
// ordered by id.
func (m *Membership) Members() []Member {
	list := []Member{m.self}
	for _, l := range m.links {
		if l.Member.Incarnation != 0 {
			list = append(list, l.Member)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// Digest returns a hash of the ids and incarnations of Members. Processes with
// the same digest know the same members.
func (m *Membership) Digest() uint32 {
	if m.digestValid {
		return m.digest
	}
	h := fnv.New32a()
	for _, member := range m.Members() {
		_, _ = h.Write([]byte(member.ID + "\x00" + strconv.FormatUint(member.Incarnation, 16) + "\x00"))
	}
	m.digest, m.digestValid = h.Sum32(), true
	return m.digest
}

// ListFor returns the members to send to a peer that reported digest. It
// returns nil when the digest equals the process's own, or when a list was sent
// to the peer within memberListInterval.
func (m *Membership) ListFor(l *Link, digest uint32, now time.Time) []Member {
	if l == nil || digest == m.Digest() || now.Sub(l.membersSentAt) < memberListInterval {
		return nil
	}
	l.membersSentAt = now
	return m.Members()
}

// watchers returns the ids of the watchers of this data centre: its live
// members with the lowest ids.
func (m *Membership) watchers(now time.Time) []string {
	ids := []string{m.self.ID}
	for _, l := range m.links {
		if l.Member.DataCentre == m.self.DataCentre && !l.Silent(now) {
			ids = append(ids, l.Member.ID)
		}
	}
	sort.Strings(ids)
	return ids[:min(watchersPerDataCentre, len(ids))]
}

// IsWatcher reports whether this process is one of the watchers of its data
// centre, which watch the platform for the others.
func (m *Membership) IsWatcher(now time.Time) bool {
	for _, id := range m.watchers(now) {
		if id == m.self.ID {
			return true
		}
	}
	return false
}

// Targets returns the links to probe in a round: a watcher of this data centre,
// a member of one other data centre in turn, and one silent member in turn, so
// that a link that works again is detected. With all set, it returns every
// watcher, a member of every other data centre, and one silent member in turn.
func (m *Membership) Targets(round int, all bool, now time.Time) []*Link {
	list := m.watcherTargets(round, all, now)
	dataCentres := m.otherDataCentres()
	for i, dataCentre := range dataCentres {
		if all || i == round%len(dataCentres) {
			list = append(list, m.liveTarget(dataCentre, now)...)
		}
	}
	return append(list, m.silentTarget(round, now)...)
}

// watcherTargets returns one of the watchers in turn, or all of them when all
// is set or when this process is a watcher itself.
func (m *Membership) watcherTargets(round int, all bool, now time.Time) []*Link {
	var list []*Link
	watchers := m.watchers(now)
	for i, id := range watchers {
		if id == m.self.ID {
			continue
		}
		if all || m.IsWatcher(now) || i == (round+m.watcherOffset())%len(watchers) {
			list = append(list, m.links[id])
		}
	}
	return list
}

// watcherOffset assigns this process to a watcher, so that about half of the
// members probe each watcher in a round.
func (m *Membership) watcherOffset() int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(m.self.ID))
	return int(h.Sum32() % watchersPerDataCentre)
}

// otherDataCentres returns the names of the data centres of the known members
// except this process's own, sorted.
func (m *Membership) otherDataCentres() []string {
	seen := make(map[string]bool)
	var list []string
	for _, l := range m.links {
		name := l.Member.DataCentre
		if name != m.self.DataCentre && !seen[name] {
			seen[name] = true
			list = append(list, name)
		}
	}
	sort.Strings(list)
	return list
}

// liveTarget returns the link to one live member of another data centre, none
// when all are silent. Different processes pick different members by the hash
// of their ids. A process picks the same one as long as the set of live members
// is the same, since the handshake of a new connection costs as much as 20
// probes.
func (m *Membership) liveTarget(dataCentre string, now time.Time) []*Link {
	var live []*Link
	for _, l := range m.InDataCentre(dataCentre) {
		if !l.Silent(now) {
			live = append(live, l)
		}
	}
	if len(live) == 0 {
		return nil
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(m.self.ID))
	return []*Link{live[h.Sum32()%uint32(len(live))]}
}

// silentTarget returns one of the links to silent members in turn.
func (m *Membership) silentTarget(round int, now time.Time) []*Link {
	var silent []*Link
	for _, l := range m.Links() {
		if l.Silent(now) {
			silent = append(silent, l)
		}
	}
	if len(silent) == 0 {
		return nil
	}
	return []*Link{silent[round%len(silent)]}
}

// Candidates returns the members of a data centre in the order in which a relay
// should try them: live ones before silent ones.
func (m *Membership) Candidates(dataCentre string, now time.Time) []Member {
	var live, silent []Member
	for _, l := range m.InDataCentre(dataCentre) {
		if l.Silent(now) {
			silent = append(silent, l.Member)
			continue
		}
		live = append(live, l.Member)
	}
	return append(live, silent...)
}
