package fleet

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/link"
)

// Periods, delays and TTLs of probes, member records and configuration loads.
const (
	// ProbePeriod is the time between two rounds of probes.
	ProbePeriod = time.Second
	// MemberTTL is the TTL of the lease of the instance's own member record in
	// the platform. The lease survives two missed renewals.
	MemberTTL = 15 * time.Second
	// memberRenewPeriod is the time between two renewals of that lease.
	memberRenewPeriod = 5 * time.Second
	// memberListPeriod is the longest time between two reads of the members'
	// records. One list of 40 members takes about 8 KB, so the reads cost 140 B/s.
	memberListPeriod = 60 * time.Second
	// memberListInitialPeriod is the time between the first two reads. It is
	// short, so that instances that start together find each other. The time
	// grows fourfold with each read up to memberListPeriod.
	memberListInitialPeriod = time.Second
	// memberListRetryDelay is the delay before a failed read is retried.
	memberListRetryDelay = 5 * time.Second
	// minReloadInterval is the shortest time between two loads of the whole
	// configuration because of a digest mismatch.
	minReloadInterval = 10 * time.Second
)

// fetchPageSize is the largest size of the objects of one ChangesReply, in
// bytes.
const fetchPageSize = 512 << 10

// unknownAge is the AgeMS of a peer without evidence of its configuration's age.
const unknownAge = -1

// PeerAction is an action that sends a message to another entry instance.
type PeerAction interface {
	Action
	isPeerAction()
}

// Probe is a request for a peer's state. It contains the state of the sender.
type Probe struct {
	_            struct{} `cbor:",toarray"`
	Revision     uint64
	Digest       uint32
	MemberDigest uint32
	// Members is set when the last known member digest of the peer differs from
	// the sender's.
	Members []link.Member
}

// ProbeReply is the answer to Probe.
type ProbeReply struct {
	_            struct{} `cbor:",toarray"`
	Revision     uint64
	Digest       uint32
	MemberDigest uint32
	// AgeMS is the age of the peer's configuration in milliseconds, rounded up;
	// unknownAge when the peer has no evidence.
	AgeMS int64
	// PlatformDown is true when the peer's last read of the platform failed.
	PlatformDown bool
	Members      []link.Member
}

// Relay is a message that propagates accepted changes to a peer.
type Relay struct {
	_ struct{} `cbor:",toarray"`
	// Revision is the sender's revision.
	Revision uint64
	// Changes are consecutive and end at Revision. The list may be empty.
	Changes []contract.Change
	// Forward asks the receiver to forward the changes to the instances of its
	// data centre and to report which of them have not confirmed.
	Forward bool
}

// RelayReply is the answer to Relay.
type RelayReply struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	// Missing are the ids of the instances of the receiver's data centre that
	// have not confirmed the sender's revision. It is set only in the answer to a
	// relay with Forward.
	Missing []string
}

// ChangesRequest is a request for the objects whose revision is above After.
type ChangesRequest struct {
	_     struct{} `cbor:",toarray"`
	After uint64
}

// ChangesReply is one page of the objects above the requested revision. When
// More is set, the next page starts after the revision of the last object.
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

// RenewMemberRecord writes the instance's own member record to the platform, or
// renews its lease. Lease is 0 when none is held. The result is
// MemberRecordRenewed.
type RenewMemberRecord struct {
	Member link.Member
	Lease  uint64
}

// ListMembers reads the records of all members. The result is MembersListed or
// MembersFailed.
type ListMembers struct{}

func (RenewMemberRecord) isAction() {}
func (ListMembers) isAction()       {}

// peersState is the state of the other entry instances and of the exchanges with
// them.
type peersState struct {
	members    *link.Membership
	outage     *link.OutageEvidence
	probeRound int
	// memberLease is the platform lease of the instance's own member record, 0
	// when none is held.
	memberLease uint64
	// fetchInFlight is true while a FetchChanges is in flight. At most one is.
	fetchInFlight bool
	// listDelay is the time between the last read of the members and the next.
	listDelay time.Duration
	// reloadedAt is when a digest mismatch last caused a load of the whole
	// configuration.
	reloadedAt                         time.Time
	probeTimer, memberTimer, listTimer *timer
}

func newPeersState(f *Fleet, seeds []link.Member) peersState {
	var others []string
	for name := range f.centres {
		if name != f.self.DataCentre {
			others = append(others, name)
		}
	}
	return peersState{
		members:     link.NewMembership(f.self, seeds),
		outage:      link.NewOutageEvidence(others),
		probeTimer:  f.timers.register(f.probePeers),
		memberTimer: f.timers.register(f.renewMemberRecord),
		listTimer:   f.timers.register(func(time.Time) []Action { return []Action{ListMembers{}} }),
	}
}

// probePeers sends one round of probes. It also starts the watch of the
// configuration when this instance has become a watcher.
func (f *Fleet) probePeers(now time.Time) []Action {
	p := &f.peers
	p.probeTimer.set(now.Add(ProbePeriod))
	p.probeRound++
	all := f.startRule.freshness.ShouldProbeAll(now) || f.startRule.freshness.PlatformDown() && p.members.IsWatcher(now)
	actions := f.resumeWatch(now)
	for _, target := range p.members.Targets(p.probeRound, all, now) {
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

// ProbeReceived reports a probe from a peer. Reply must have a free buffer
// place.
type ProbeReceived struct {
	From  link.Member
	Probe Probe
	Reply chan<- ProbeReply
}

// Apply implements Event.
func (e ProbeReceived) Apply(f *Fleet, now time.Time) []Action {
	members := f.peers.members
	l := members.RecordMessage(e.From, e.Probe.Revision, now)
	members.Merge(e.Probe.Members, now)
	if l != nil {
		l.MemberDigest = e.Probe.MemberDigest
	}
	e.Reply <- ProbeReply{
		Revision:     f.register.Revision(),
		Digest:       f.register.Digest(),
		MemberDigest: members.Digest(),
		AgeMS:        f.ageMS(now),
		PlatformDown: f.startRule.freshness.PlatformDown(),
		Members:      members.ListFor(l, e.Probe.MemberDigest, now),
	}
	if l == nil {
		return nil
	}
	return f.repairConfig(l, e.Probe.Revision, e.Probe.Digest, now)
}

// ageMS returns the age of the configuration in milliseconds, or unknownAge. It
// rounds up, so that the age never shrinks as it is passed from peer to peer.
func (f *Fleet) ageMS(now time.Time) int64 {
	if f.startRule.freshness.AsOf().IsZero() {
		return unknownAge
	}
	return int64((f.startRule.freshness.Age(now) + time.Millisecond - 1) / time.Millisecond)
}

// ProbeAnswered reports the answer to a probe.
type ProbeAnswered struct {
	// To is the member that was probed, From the member that answered. They
	// differ when another instance now uses the address.
	To, From link.Member
	// SentAt is when the probe was sent.
	SentAt time.Time
	Reply  ProbeReply
}

// Apply implements Event.
func (e ProbeAnswered) Apply(f *Fleet, now time.Time) []Action {
	members := f.peers.members
	if e.From.ID != e.To.ID {
		f.recordPeerFailure(e.To, now)
	}
	l := members.RecordMessage(e.From, e.Reply.Revision, now)
	if l == nil {
		return nil
	}
	l.Answered(e.SentAt, now, e.Reply.Revision)
	l.MemberDigest = e.Reply.MemberDigest
	members.Merge(e.Reply.Members, now)
	f.applyProbeEvidence(e, now)
	return f.repairConfig(l, e.Reply.Revision, e.Reply.Digest, now)
}

// applyProbeEvidence applies the evidence in the answer to a probe to the
// freshness of the configuration.
func (f *Fleet) applyProbeEvidence(e ProbeAnswered, now time.Time) {
	fresh := &f.startRule.freshness
	sameDataCentre := e.From.DataCentre == f.self.DataCentre
	if e.Reply.PlatformDown && sameDataCentre && fresh.ShouldProbeAll(now) {
		fresh.RecordReadFailure(now)
	}
	if e.Reply.AgeMS != unknownAge {
		fresh.PeerAnswered(e.SentAt, e.Reply.Revision, time.Duration(e.Reply.AgeMS)*time.Millisecond)
	}
	if !sameDataCentre {
		f.peers.outage.DataCentreAnswered(fresh, e.From.DataCentre, e.SentAt, e.Reply.Revision)
	}
	f.markFreshnessDirty()
}

// repairConfig fetches changes that a peer has and this process lacks. When the
// digest differs at the same revision, one of the two lacks an object, and the
// whole configuration is fetched again.
func (f *Fleet) repairConfig(l *link.Link, revision uint64, digest uint32, now time.Time) []Action {
	own := f.register.Revision()
	f.startRule.freshness.ObserveRevision(revision)
	if revision > own {
		return f.fetchChanges(l.Member, own)
	}
	if revision < own || digest == f.register.Digest() || now.Sub(f.peers.reloadedAt) < minReloadInterval {
		return nil
	}
	f.peers.reloadedAt = now
	f.recordDecision(Decision{
		At: now, Subject: Subject{Kind: SubjectInstance, Name: l.Member.ID}, Action: "read configuration again",
		Reason: "the digest of the configuration differs at the same revision",
	})
	return f.fetchChanges(l.Member, 0)
}

func (f *Fleet) fetchChanges(from link.Member, after uint64) []Action {
	if f.peers.fetchInFlight {
		return nil
	}
	f.peers.fetchInFlight = true
	return []Action{FetchChanges{From: from, After: after}}
}

// PeerFailed reports that a message to a peer got no answer.
type PeerFailed struct{ To link.Member }

// Apply implements Event.
func (e PeerFailed) Apply(f *Fleet, now time.Time) []Action {
	f.recordPeerFailure(e.To, now)
	return nil
}

func (f *Fleet) recordPeerFailure(to link.Member, now time.Time) {
	if l := f.peers.members.Link(to.ID); l != nil && l.Member.Incarnation == to.Incarnation {
		l.RecordFailure(now)
	}
}

// ChangesFetched reports the end of a FetchChanges, with the objects of all
// pages.
type ChangesFetched struct {
	From     link.Member
	Revision uint64
	Objects  []contract.Object
}

// Apply implements Event. The register keeps the higher revision of each object,
// so that a late answer cannot revert a newer change.
func (e ChangesFetched) Apply(f *Fleet, now time.Time) []Action {
	f.peers.fetchInFlight = false
	f.register.Load(e.Revision, e.Objects)
	f.config.loaded = f.config.loaded || e.Revision > 0
	f.configChanged(now)
	return nil
}

// FetchFailed reports that a FetchChanges got no answer. The next probe that
// shows the same gap starts another fetch.
type FetchFailed struct{ From link.Member }

// Apply implements Event.
func (e FetchFailed) Apply(f *Fleet, now time.Time) []Action {
	f.peers.fetchInFlight = false
	f.recordPeerFailure(e.From, now)
	return nil
}

// ChangesRequested reports a ChangesRequest of a peer. Reply must have a free
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

// MemberRecordRenewed reports the end of a RenewMemberRecord. Lease is the
// lease of the member record, 0 when the write or renewal failed.
type MemberRecordRenewed struct{ Lease uint64 }

// Apply implements Event.
func (e MemberRecordRenewed) Apply(f *Fleet, now time.Time) []Action {
	f.peers.memberLease = e.Lease
	if f.departing {
		return nil
	}
	f.peers.memberTimer.set(now.Add(memberRenewPeriod))
	return nil
}

func (f *Fleet) renewMemberRecord(now time.Time) []Action {
	return []Action{RenewMemberRecord{Member: f.self, Lease: f.peers.memberLease}}
}

// MembersListed reports the platform's list of members.
type MembersListed struct{ Members []link.Member }

// Apply implements Event.
func (e MembersListed) Apply(f *Fleet, now time.Time) []Action {
	p := &f.peers
	p.members.MergeListed(e.Members, now)
	p.listDelay = min(max(4*p.listDelay, memberListInitialPeriod), memberListPeriod)
	p.listTimer.set(now.Add(p.listDelay))
	return nil
}

// MembersFailed reports that the platform's list could not be read.
type MembersFailed struct{}

// Apply implements Event. The members that are known so far stay in use.
func (e MembersFailed) Apply(f *Fleet, now time.Time) []Action {
	f.peers.listTimer.set(now.Add(memberListRetryDelay))
	return nil
}

// PeerLeaving reports that a peer announced its planned stop.
type PeerLeaving struct{ From link.Member }

// Apply implements Event.
func (e PeerLeaving) Apply(f *Fleet, now time.Time) []Action {
	f.peers.members.RemoveDeparted(e.From, now)
	return nil
}
