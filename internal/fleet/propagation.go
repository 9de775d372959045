package fleet

import (
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/link"
)

// PropagationPlan is the plan for propagating a revision to the whole fleet: to
// each instance of the planning instance's data centre, and to one instance of
// each other data centre, which relays it to the instances there.
type PropagationPlan struct {
	Relay       Relay
	DataCentres []DataCentrePlan
	// Horizon is the freshness horizon of the fleet.
	Horizon time.Duration
	// LongestStaleness is the longest staleness bound of all documents, 0 when
	// none has one.
	LongestStaleness time.Duration
}

// DataCentrePlan is the part of a propagation plan that concerns one data centre.
type DataCentrePlan struct {
	Name string
	// Own is true for the data centre of this instance.
	Own bool
	// Members are the instances to send the relay to, live ones first.
	Members []link.Member
}

// DataCentreConfirmation tells whether the instances of one data centre have
// confirmed a revision.
type DataCentreConfirmation struct {
	DataCentre string `json:"datacentre"`
	// Own is true for the data centre of the instance that reports.
	Own       bool `json:"own,omitempty"`
	Confirmed bool `json:"confirmed"`
	// Instances is the number of entry instances known there.
	Instances int `json:"instances"`
	// Missing are the known instances that have not confirmed the revision.
	Missing []string `json:"missing,omitempty"`
	Reason  string   `json:"reason,omitempty"`
}

// propagationPlan returns the plan for propagating the register's revision with
// the given changes, usually the ring of the head.
func (f *Fleet) propagationPlan(changes []contract.Change, now time.Time) PropagationPlan {
	plan := PropagationPlan{
		Relay:   Relay{Revision: f.register.Revision(), Changes: changes},
		Horizon: f.startRule.freshness.Horizon(),
	}
	for _, o := range f.register.List(contract.KindDocument) {
		plan.LongestStaleness = max(plan.LongestStaleness, o.Document.Staleness(true), o.Document.Staleness(false))
	}
	for name := range f.centres {
		plan.DataCentres = append(plan.DataCentres, DataCentrePlan{
			Name: name, Own: name == f.self.DataCentre, Members: f.peers.members.Candidates(name, now),
		})
	}
	slices.SortFunc(plan.DataCentres, func(a, b DataCentrePlan) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return plan
}

// RelayPlan is the answer to RelayReceived.
type RelayPlan struct {
	// Revision is the revision of this process after the relay.
	Revision uint64
	// Forward are the other instances of the data centre that the relay is to be
	// forwarded to. It is empty unless the relay asks for that.
	Forward []link.Member
}

// RelayReceived reports a relay from a peer. Reply must have a free buffer
// place.
type RelayReceived struct {
	From  link.Member
	Relay Relay
	Reply chan<- RelayPlan
}

// Apply implements Event. Changes that were applied before have no effect. A gap
// in the revisions is closed by fetching the missing changes from the peer.
func (e RelayReceived) Apply(f *Fleet, now time.Time) []Action {
	l := f.peers.members.RecordMessage(e.From, e.Relay.Revision, now)
	applied := false
	for _, c := range e.Relay.Changes {
		applied = f.register.Apply(c) == contract.ChangeAccepted || applied
	}
	if applied {
		f.configChanged(now)
	}
	f.startRule.freshness.ObserveRevision(e.Relay.Revision)
	plan := RelayPlan{Revision: f.register.Revision()}
	if e.Relay.Forward {
		plan.Forward = f.peers.members.Candidates(f.self.DataCentre, now)
	}
	e.Reply <- plan
	if l == nil || f.register.Revision() >= e.Relay.Revision {
		return nil
	}
	return f.fetchChanges(l.Member, f.register.Revision())
}

// RelayAnswered reports the answer to a relay.
type RelayAnswered struct {
	To     link.Member
	SentAt time.Time
	Reply  RelayReply
}

// Apply implements Event.
func (e RelayAnswered) Apply(f *Fleet, now time.Time) []Action {
	if l := f.peers.members.Link(e.To.ID); l != nil && l.Member.Incarnation == e.To.Incarnation {
		l.Answered(e.SentAt, now, e.Reply.Revision)
	}
	return nil
}

// relayToDataCentre relays the changes of a head to the instances of this
// instance's data centre whose last known revision is lower.
func (f *Fleet) relayToDataCentre(head contract.Head, now time.Time) []Action {
	var actions []Action
	for _, l := range f.peers.members.InDataCentre(f.self.DataCentre) {
		if l.Silent(now) || l.Revision >= head.Revision {
			continue
		}
		actions = append(actions, SendRelay{To: l.Member, Relay: Relay{Revision: head.Revision, Changes: changesAfter(head, l.Revision)}})
	}
	return actions
}

// changesAfter returns the changes of the ring above a revision.
func changesAfter(head contract.Head, revision uint64) []contract.Change {
	i := slices.IndexFunc(head.Changes, func(c contract.Change) bool { return c.Object.Revision > revision })
	if i < 0 {
		return nil
	}
	return head.Changes[i:]
}

// ConfigStatusQuery asks for the state of the configuration and for a propagation
// plan that contains no changes. The caller runs the plan to learn which
// instances have this process's revision. Reply must have a free buffer place.
type ConfigStatusQuery struct{ Reply chan<- ConfigStatus }

// ConfigStatus is the state of the configuration at one entry instance.
type ConfigStatus struct {
	Self     link.Member
	Revision uint64
	Digest   uint32
	// Loaded is false until a configuration was read once.
	Loaded bool
	// Fresh is false when the age exceeds the horizon.
	Fresh bool
	// AgeKnown is false when there is no evidence of the age.
	AgeKnown bool
	Age      time.Duration
	Horizon  time.Duration
	// IsWatcher is true when the instance is a watcher of its data centre.
	IsWatcher    bool
	PlatformDown bool
	// Behind is true when a newer revision is known to exist.
	Behind  bool
	Members []MemberStatus
	Plan    PropagationPlan
}

// MemberStatus is the state of one entry instance as another one last observed
// it.
type MemberStatus struct {
	Member    link.Member
	Revision  uint64
	RoundTrip time.Duration
	// Heard is false until the first message of the member arrives. HeardAgo is
	// the time since the last one.
	Heard    bool
	HeardAgo time.Duration
	// Silent is true when the member has not answered for link.SilentAfter.
	Silent bool
}

// Apply implements Event.
func (e ConfigStatusQuery) Apply(f *Fleet, now time.Time) []Action {
	fresh := &f.startRule.freshness
	s := ConfigStatus{
		Self: f.self, Revision: f.register.Revision(), Digest: f.register.Digest(), Loaded: f.config.loaded,
		Fresh: fresh.Fresh(0, now), AgeKnown: !fresh.AsOf().IsZero(), Age: fresh.Age(now), Horizon: fresh.Horizon(),
		IsWatcher: f.peers.members.IsWatcher(now), PlatformDown: fresh.PlatformDown(), Behind: fresh.Behind(),
		Plan: f.propagationPlan(nil, now),
	}
	for _, l := range f.peers.members.Links() {
		s.Members = append(s.Members, MemberStatus{
			Member: l.Member, Revision: l.Revision, RoundTrip: l.RoundTrip,
			Heard: !l.HeardAt.IsZero(), HeardAgo: now.Sub(l.HeardAt), Silent: l.Silent(now),
		})
	}
	e.Reply <- s
	return nil
}
