package fleet

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/link"
)

// Periods of the peer protocol.
const (
	// ProbePeriod is the time between two rounds of probes.
	ProbePeriod = time.Second
	// MemberTTL is the life of the lease that holds the instance's own record
	// in the platform. It outlives two missed renewals.
	MemberTTL = 15 * time.Second
	// memberRenewal is the time between two renewals.
	memberRenewal = 5 * time.Second
	// memberListPeriod is the time between two reads of the members' records. A
	// list of 40 members takes about 8 KB, 140 B/s.
	memberListPeriod = 60 * time.Second
	// memberListFirst is the time after which the first list is read again, for
	// instances that start together. The time grows fourfold up to memberListPeriod.
	memberListFirst = time.Second
	// memberListRetry is the pause after a failed read.
	memberListRetry = 5 * time.Second
	// reloadPause is the shortest time between two loads after a mismatch.
	reloadPause = 10 * time.Second
)

// fetchPageSize bounds the objects of one ChangesReply, in bytes.
const fetchPageSize = 512 << 10

// unknownAge marks a ProbeReply of a peer that has no evidence.
const unknownAge = -1

// PeerAction is an action that talks to another entry instance.
type PeerAction interface {
	Action
	isPeerAction()
}

// Probe asks a peer for its state and tells it the own one.
type Probe struct {
	_            struct{} `cbor:",toarray"`
	Revision     uint64
	Digest       uint32
	MemberDigest uint32
	// Members is set when the peer is known to have other members.
	Members []link.Member
}

// ProbeReply is the answer to Probe.
type ProbeReply struct {
	_            struct{} `cbor:",toarray"`
	Revision     uint64
	Digest       uint32
	MemberDigest uint32
	// AgeMS is the age of the peer's configuration in milliseconds, rounded up,
	// unknownAge when it has no evidence.
	AgeMS int64
	// PlatformDown says that the peer's last read of the platform failed.
	PlatformDown bool
	Members      []link.Member
}

// Relay passes accepted changes on.
type Relay struct {
	_ struct{} `cbor:",toarray"`
	// Revision is the sender's revision.
	Revision uint64
	// Changes are consecutive and end at Revision; may be empty.
	Changes []contract.Change
	// Spread asks the receiver to pass the changes on in its data centre and to
	// report who has not confirmed them.
	Spread bool
}

// RelayReply is the answer to Relay.
type RelayReply struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	// Missing are the ids of instances of the receiver's data centre that have
	// not confirmed the sender's revision. Set for Spread only.
	Missing []string
}

// ChangesRequest asks for the objects above a revision.
type ChangesRequest struct {
	_     struct{} `cbor:",toarray"`
	After uint64
}

// ChangesReply holds the objects above the requested revision. When More is set
// the next page starts after the last object.
type ChangesReply struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	Objects  []contract.Object
	More     bool
}

// SendProbe sends a probe. The result is ProbeAnswered or PeerFailed.
type SendProbe struct {
	To    link.Member
	Probe Probe
}

// SendRelay sends changes to one peer. The result is RelayAnswered or
// PeerFailed.
type SendRelay struct {
	To    link.Member
	Relay Relay
}

// FetchChanges reads the objects above a revision from a peer, page by page.
// The result is ChangesFetched or FetchFailed.
type FetchChanges struct {
	From  link.Member
	After uint64
}

func (SendProbe) isAction()        {}
func (SendProbe) isPeerAction()    {}
func (SendRelay) isAction()        {}
func (SendRelay) isPeerAction()    {}
func (FetchChanges) isAction()     {}
func (FetchChanges) isPeerAction() {}

// HoldMember keeps the instance's own record in the platform. Lease is 0 when
// none is held. The result is MemberHeld.
type HoldMember struct {
	Member link.Member
	Lease  uint64
}

// ListMembers reads the records of all members. The result is MembersListed or
// MembersFailed.
type ListMembers struct{}

func (HoldMember) isAction()  {}
func (ListMembers) isAction() {}

// peersState is what the fleet knows of other entry instances.
type peersState struct {
	members *link.Membership
	outage  *link.Outage
	round   int
	// lease holds the instance's own record; 0 for none.
	lease uint64
	// fetching is true while a FetchChanges runs.
	fetching bool
	// listPause is the time until the members are listed again.
	listPause time.Duration
	// reloadedAt is when a digest mismatch last caused a load.
	reloadedAt                     time.Time
	probeWake, holdWake, listsWake *wake
}

func newPeersState(f *Fleet, seeds []link.Member) peersState {
	var others []string
	for name := range f.centres {
		if name != f.self.DataCentre {
			others = append(others, name)
		}
	}
	return peersState{
		members:   link.NewMembership(f.self, seeds),
		outage:    link.NewOutage(others),
		probeWake: f.wakes.register(f.probePeers),
		holdWake:  f.wakes.register(f.holdMember),
		listsWake: f.wakes.register(func(time.Time) []Action { return []Action{ListMembers{}} }),
	}
}

// probePeers sends one round of probes and takes up the watch when it falls to
// this instance.
func (f *Fleet) probePeers(now time.Time) []Action {
	p := &f.peers
	p.probeWake.set(now.Add(ProbePeriod))
	p.round++
	all := f.start.fresh.Seeks(now) || f.start.fresh.PlatformDown() && p.members.Watches(now)
	actions := f.resumeWatch(now)
	for _, target := range p.members.Targets(p.round, all, now) {
		actions = append(actions, SendProbe{To: target.Member, Probe: f.probeFor(target, now)})
	}
	return actions
}

func (f *Fleet) probeFor(l *link.Link, now time.Time) Probe {
	return Probe{
		Revision:     f.register.Revision(),
		Digest:       f.register.Digest(),
		MemberDigest: f.peers.members.Digest(),
		Members:      f.peers.members.ListFor(l, l.MemberDigest, now),
	}
}

// ProbeReceived is a probe of a peer. Reply must have a free buffer place.
type ProbeReceived struct {
	From  link.Member
	Probe Probe
	Reply chan<- ProbeReply
}

// Apply implements Event.
func (e ProbeReceived) Apply(f *Fleet, now time.Time) []Action {
	members := f.peers.members
	l := members.Heard(e.From, e.Probe.Revision, now)
	members.Merge(e.Probe.Members, now)
	if l != nil {
		l.MemberDigest = e.Probe.MemberDigest
	}
	e.Reply <- ProbeReply{
		Revision:     f.register.Revision(),
		Digest:       f.register.Digest(),
		MemberDigest: members.Digest(),
		AgeMS:        f.ageMS(now),
		PlatformDown: f.start.fresh.PlatformDown(),
		Members:      members.ListFor(l, e.Probe.MemberDigest, now),
	}
	if l == nil {
		return nil
	}
	return f.repair(l, e.Probe.Revision, e.Probe.Digest, now)
}

// ageMS rounds up, so that a chain of peers never makes the age shorter.
func (f *Fleet) ageMS(now time.Time) int64 {
	if f.start.fresh.AsOf().IsZero() {
		return unknownAge
	}
	return int64((f.start.fresh.Age(now) + time.Millisecond - 1) / time.Millisecond)
}

// ProbeAnswered is the answer to a probe.
type ProbeAnswered struct {
	// To is the member that was probed, From the one that answered.
	To, From link.Member
	SentAt   time.Time
	Reply    ProbeReply
}

// Apply implements Event.
func (e ProbeAnswered) Apply(f *Fleet, now time.Time) []Action {
	members := f.peers.members
	if e.From.ID != e.To.ID {
		f.peerFailed(e.To, now)
	}
	l := members.Heard(e.From, e.Reply.Revision, now)
	if l == nil {
		return nil
	}
	l.Answered(e.SentAt, now, e.Reply.Revision)
	l.MemberDigest = e.Reply.MemberDigest
	members.Merge(e.Reply.Members, now)
	f.takeEvidence(e, now)
	return f.repair(l, e.Reply.Revision, e.Reply.Digest, now)
}

// takeEvidence renews the freshness from a probe's answer.
func (f *Fleet) takeEvidence(e ProbeAnswered, now time.Time) {
	fresh := &f.start.fresh
	sameCentre := e.From.DataCentre == f.self.DataCentre
	if e.Reply.PlatformDown && sameCentre && fresh.Seeks(now) {
		fresh.ReadFailed(now)
	}
	if e.Reply.AgeMS != unknownAge {
		fresh.PeerAnswered(e.SentAt, e.Reply.Revision, time.Duration(e.Reply.AgeMS)*time.Millisecond)
	}
	if !sameCentre {
		f.peers.outage.CentreAnswered(fresh, e.From.DataCentre, e.SentAt, e.Reply.Revision)
	}
	f.freshened()
}

// repair asks for what the own configuration lacks. The same revision with
// another digest means that an object was lost, and everything is read again.
func (f *Fleet) repair(l *link.Link, revision uint64, digest uint32, now time.Time) []Action {
	own := f.register.Revision()
	f.start.fresh.HeardOf(revision)
	if revision > own {
		return f.fetch(l.Member, own)
	}
	if revision < own || digest == f.register.Digest() || now.Sub(f.peers.reloadedAt) < reloadPause {
		return nil
	}
	f.peers.reloadedAt = now
	f.Explain(Decision{
		At: now, Subject: Subject{Kind: SubjectInstance, Name: l.Member.ID}, Action: "read configuration again",
		Reason: "the digest of the configuration differs at the same revision",
	})
	return f.fetch(l.Member, 0)
}

func (f *Fleet) fetch(from link.Member, after uint64) []Action {
	if f.peers.fetching {
		return nil
	}
	f.peers.fetching = true
	return []Action{FetchChanges{From: from, After: after}}
}

// PeerFailed reports an exchange that got no answer.
type PeerFailed struct{ To link.Member }

// Apply implements Event.
func (e PeerFailed) Apply(f *Fleet, now time.Time) []Action {
	f.peerFailed(e.To, now)
	return nil
}

func (f *Fleet) peerFailed(to link.Member, now time.Time) {
	if l := f.peers.members.Link(to.ID); l != nil && l.Member.Incarnation == to.Incarnation {
		l.Failed(now)
	}
}

// ChangesFetched is the answer to FetchChanges, all pages together.
type ChangesFetched struct {
	From     link.Member
	Revision uint64
	Objects  []contract.Object
}

// Apply implements Event. The register keeps the higher revision of each
// object, so that an answer that arrives late cannot revert anything.
func (e ChangesFetched) Apply(f *Fleet, now time.Time) []Action {
	f.peers.fetching = false
	f.register.Load(e.Revision, e.Objects)
	f.config.loaded = f.config.loaded || e.Revision > 0
	f.configChanged(now)
	return nil
}

// FetchFailed reports that FetchChanges got no answer. The next probe that
// shows the gap asks again.
type FetchFailed struct{ From link.Member }

// Apply implements Event.
func (e FetchFailed) Apply(f *Fleet, now time.Time) []Action {
	f.peers.fetching = false
	f.peerFailed(e.From, now)
	return nil
}

// ChangesRequested is a peer's request for objects. Reply must have a free
// buffer place.
type ChangesRequested struct {
	Request ChangesRequest
	Reply   chan<- ChangesReply
}

// Apply implements Event.
func (e ChangesRequested) Apply(f *Fleet, now time.Time) []Action {
	objects, more := f.register.Since(e.Request.After, fetchPageSize)
	e.Reply <- ChangesReply{Revision: f.register.Revision(), Objects: objects, More: more}
	return nil
}

// MemberHeld reports that the own record is held under Lease, or that it could
// not be held when Lease is 0.
type MemberHeld struct{ Lease uint64 }

// Apply implements Event.
func (e MemberHeld) Apply(f *Fleet, now time.Time) []Action {
	f.peers.lease = e.Lease
	if f.departing {
		return nil
	}
	f.peers.holdWake.set(now.Add(memberRenewal))
	return nil
}

func (f *Fleet) holdMember(now time.Time) []Action {
	return []Action{HoldMember{Member: f.self, Lease: f.peers.lease}}
}

// MembersListed is the platform's list of members.
type MembersListed struct{ Members []link.Member }

// Apply implements Event.
func (e MembersListed) Apply(f *Fleet, now time.Time) []Action {
	p := &f.peers
	p.members.Listed(e.Members, now)
	p.listPause = min(max(4*p.listPause, memberListFirst), memberListPeriod)
	p.listsWake.set(now.Add(p.listPause))
	return nil
}

// MembersFailed reports that the platform's list could not be read.
type MembersFailed struct{}

// Apply implements Event. The known members stay.
func (e MembersFailed) Apply(f *Fleet, now time.Time) []Action {
	f.peers.listsWake.set(now.Add(memberListRetry))
	return nil
}

// PeerLeaving is the announcement of a peer's planned stop.
type PeerLeaving struct{ From link.Member }

// Apply implements Event.
func (e PeerLeaving) Apply(f *Fleet, now time.Time) []Action {
	f.peers.members.Left(e.From, now)
	return nil
}
