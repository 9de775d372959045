package link

import (
	"hash/fnv"
	"sort"
	"strconv"
	"time"
)

// Parameters of the membership.
const (
	// coreSize is the number of instances of a data centre that watch the
	// platform and that the others probe. With two, the others stay covered
	// when one dies.
	coreSize = 2
	// forgetAfter is how long a member must be unheard before its absence from
	// the platform's list removes it.
	forgetAfter = 30 * time.Second
	// goneKept is how long a removed member is refused when a peer that has not
	// removed it yet still lists it.
	goneKept = 30 * time.Minute
	// membersPause is the shortest time between two lists of members to the
	// same peer. A list of 40 members takes about 2 KB.
	membersPause = 5 * time.Second
)

// Membership is the set of entry instances that one process knows. It is owned
// by the control thread.
//
// Invariant: the incarnation of a member only grows.
type Membership struct {
	self  Member
	links map[string]*Link
	gone  map[string]goneMember
	// digest caches Digest while digested is true.
	digest   uint32
	digested bool
}

// goneMember is a member that was removed.
type goneMember struct {
	incarnation uint64
	at          time.Time
}

// NewMembership returns a membership that knows the seeds. The incarnation of a
// seed is unknown and 0.
func NewMembership(self Member, seeds []Member) *Membership {
	m := &Membership{self: self, links: make(map[string]*Link), gone: make(map[string]goneMember)}
	for _, seed := range seeds {
		seed.Incarnation = 0
		m.learn(seed)
	}
	return m
}

// Link returns the link to a member, nil when it is not known.
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

// In returns the links to the members of one data centre, ordered by id.
func (m *Membership) In(centre string) []*Link {
	var list []*Link
	for _, l := range m.Links() {
		if l.Member.DataCentre == centre {
			list = append(list, l)
		}
	}
	return list
}

// learn adds a member or a later incarnation of one. It reports whether
// anything changed.
func (m *Membership) learn(member Member) bool {
	if member.ID == "" || member.ID == m.self.ID {
		return false
	}
	l, ok := m.links[member.ID]
	if ok && member.Incarnation <= l.Member.Incarnation {
		return false
	}
	m.digested = false
	if ok {
		l.replace(member)
		return true
	}
	m.links[member.ID] = &Link{Member: member}
	return true
}

// Merge adds the members that a peer listed.
func (m *Membership) Merge(list []Member, now time.Time) {
	for _, member := range list {
		gone, ok := m.gone[member.ID]
		if ok && member.Incarnation <= gone.incarnation && now.Sub(gone.at) < goneKept {
			continue
		}
		m.learn(member)
	}
}

// Heard notes a message from a member and returns its link, nil when the
// message is from an earlier incarnation or from the process itself.
func (m *Membership) Heard(member Member, revision uint64, now time.Time) *Link {
	m.learn(member)
	l := m.links[member.ID]
	if l == nil || l.Member.Incarnation != member.Incarnation {
		return nil
	}
	delete(m.gone, member.ID)
	l.heard(now, revision)
	return l
}

// Listed takes the platform's list of members. A member that the list lacks is
// removed when it was not heard of for forgetAfter.
func (m *Membership) Listed(list []Member, now time.Time) {
	listed := make(map[string]bool, len(list))
	for _, member := range list {
		listed[member.ID] = true
		m.learn(member)
	}
	for id, l := range m.links {
		if !listed[id] && l.Member.Incarnation != 0 && now.Sub(l.HeardAt) >= forgetAfter {
			m.remove(id, now)
		}
	}
	for id, gone := range m.gone {
		if now.Sub(gone.at) >= goneKept {
			delete(m.gone, id)
		}
	}
}

// Left removes a member that announced its departure.
func (m *Membership) Left(member Member, now time.Time) {
	if l := m.links[member.ID]; l != nil && l.Member.Incarnation <= member.Incarnation {
		l.Member.Incarnation = member.Incarnation
		m.remove(member.ID, now)
	}
}

func (m *Membership) remove(id string, now time.Time) {
	m.digested = false
	m.gone[id] = goneMember{incarnation: m.links[id].Member.Incarnation, at: now}
	delete(m.links, id)
}

// Members returns the process itself and the members whose incarnation is
// known, ordered by id.
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

// Digest returns a hash of Members. Peers with the same digest know the same
// members.
func (m *Membership) Digest() uint32 {
	if m.digested {
		return m.digest
	}
	h := fnv.New32a()
	for _, member := range m.Members() {
		_, _ = h.Write([]byte(member.ID + "\x00" + strconv.FormatUint(member.Incarnation, 16) + "\x00"))
	}
	m.digest, m.digested = h.Sum32(), true
	return m.digest
}

// ListFor returns the members to send to a peer whose digest differs, nil when
// it was sent a list a moment ago.
func (m *Membership) ListFor(l *Link, digest uint32, now time.Time) []Member {
	if l == nil || digest == m.Digest() || now.Sub(l.membersSentAt) < membersPause {
		return nil
	}
	l.membersSentAt = now
	return m.Members()
}

// core returns the ids of the first live members of the own data centre.
func (m *Membership) core(now time.Time) []string {
	ids := []string{m.self.ID}
	for _, l := range m.links {
		if l.Member.DataCentre == m.self.DataCentre && !l.Silent(now) {
			ids = append(ids, l.Member.ID)
		}
	}
	sort.Strings(ids)
	return ids[:min(coreSize, len(ids))]
}

// Watches reports whether the process is one of those that watch the platform
// for its data centre: the live members with the lowest ids.
func (m *Membership) Watches(now time.Time) bool {
	for _, id := range m.core(now) {
		if id == m.self.ID {
			return true
		}
	}
	return false
}

// Targets returns the members to probe in a round: the core of the own data
// centre, one member of another data centre in turn, and one silent member in
// turn, so that a cut that has healed is noticed. With all set, it returns the
// whole core and one member of every other data centre.
func (m *Membership) Targets(round int, all bool, now time.Time) []*Link {
	list := m.coreTargets(round, all, now)
	centres := m.otherCentres()
	for i, centre := range centres {
		if all || i == round%len(centres) {
			list = append(list, m.pick(centre, now)...)
		}
	}
	return append(list, m.silentTarget(round, now)...)
}

// coreTargets returns one member of the core in turn, or both for a member of
// the core itself.
func (m *Membership) coreTargets(round int, all bool, now time.Time) []*Link {
	var list []*Link
	core := m.core(now)
	for i, id := range core {
		if id == m.self.ID {
			continue
		}
		if all || m.Watches(now) || i == (round+m.offset())%len(core) {
			list = append(list, m.links[id])
		}
	}
	return list
}

// offset spreads the members over the core, so that half of them probe each
// of its instances in a round.
func (m *Membership) offset() int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(m.self.ID))
	return int(h.Sum32() % coreSize)
}

// otherCentres returns the data centres of the known members besides the own
// one, ordered by name.
func (m *Membership) otherCentres() []string {
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

// pick returns one live member of another data centre. Different members pick
// different ones. The choice stays while the member is live, since the handshake
// of a new connection costs as much as twenty probes.
func (m *Membership) pick(centre string, now time.Time) []*Link {
	var live []*Link
	for _, l := range m.In(centre) {
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
// tries them: live ones first.
func (m *Membership) Candidates(centre string, now time.Time) []Member {
	var live, silent []Member
	for _, l := range m.In(centre) {
		if l.Silent(now) {
			silent = append(silent, l.Member)
			continue
		}
		live = append(live, l.Member)
	}
	return append(live, silent...)
}
