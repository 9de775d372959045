package fleet

import (
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/link"
)

// SpreadPlan says how a revision is passed on to the whole fleet: to each
// instance of the own data centre, and to one instance of each other data
// centre, which passes it on in its own.
type SpreadPlan struct {
	Relay   Relay
	Centres []CentrePlan
	// Horizon is the freshness horizon of the fleet.
	Horizon time.Duration
	// LongestStaleness is the longest bound that a document allows beyond the
	// horizon, 0 when none does.
	LongestStaleness time.Duration
}

// CentrePlan is the part of a plan for one data centre.
type CentrePlan struct {
	Name string
	// Own is true for the data centre of this instance.
	Own bool
	// Members are the instances to ask, live ones first.
	Members []link.Member
}

// CentreConfirmation is what is known about one data centre.
type CentreConfirmation struct {
	DataCentre string `json:"datacentre"`
	// Own is true for the data centre of the instance that answers.
	Own       bool `json:"own,omitempty"`
	Confirmed bool `json:"confirmed"`
	// Instances is the number of entry instances known there.
	Instances int `json:"instances"`
	// Missing are the instances that have not confirmed, as far as known.
	Missing []string `json:"missing,omitempty"`
	Reason  string   `json:"reason,omitempty"`
}

// spreadPlan returns the plan for the register's revision. The changes are
// those of the head's ring that the slowest known member lacks.
func (f *Fleet) spreadPlan(changes []contract.Change, now time.Time) SpreadPlan {
	plan := SpreadPlan{
		Relay:   Relay{Revision: f.register.Revision(), Changes: changes},
		Horizon: f.start.fresh.Horizon(),
	}
	for _, o := range f.register.List(contract.KindDocument) {
		plan.LongestStaleness = max(plan.LongestStaleness, o.Document.Staleness(true), o.Document.Staleness(false))
	}
	for name := range f.centres {
		plan.Centres = append(plan.Centres, CentrePlan{
			Name: name, Own: name == f.self.DataCentre, Members: f.peers.members.Candidates(name, now),
		})
	}
	slices.SortFunc(plan.Centres, func(a, b CentrePlan) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return plan
}

// RelayPlan is the control thread's answer to a relay.
type RelayPlan struct {
	Revision uint64
	// Forward are the other instances of the data centre when the relay is to
	// be passed on.
	Forward []link.Member
}

// RelayReceived is a relay of a peer. Reply must have a free buffer place.
type RelayReceived struct {
	From  link.Member
	Relay Relay
	Reply chan<- RelayPlan
}

// Apply implements Event. Changes that are known already have no effect; a gap
// is repaired by a fetch.
func (e RelayReceived) Apply(f *Fleet, now time.Time) []Action {
	l := f.peers.members.Heard(e.From, e.Relay.Revision, now)
	applied := false
	for _, c := range e.Relay.Changes {
		applied = f.register.Apply(c) == contract.ChangeAccepted || applied
	}
	if applied {
		f.configChanged(now)
	}
	f.start.fresh.HeardOf(e.Relay.Revision)
	plan := RelayPlan{Revision: f.register.Revision()}
	if e.Relay.Spread {
		plan.Forward = f.peers.members.Candidates(f.self.DataCentre, now)
	}
	e.Reply <- plan
	if l == nil || f.register.Revision() >= e.Relay.Revision {
		return nil
	}
	return f.fetch(l.Member, f.register.Revision())
}

// RelayAnswered is the answer to a relay.
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

// relayToCentre passes the changes of a head on to the instances of the own
// data centre that are not known to hold them.
func (f *Fleet) relayToCentre(head contract.Head, now time.Time) []Action {
	var actions []Action
	for _, l := range f.peers.members.In(f.self.DataCentre) {
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

// SpreadQuery asks for a plan without changes, to find out who holds the own
// revision. Reply must have a free buffer place.
type SpreadQuery struct{ Reply chan<- ConfigStatus }

// ConfigStatus is what one entry instance knows about the configuration.
type ConfigStatus struct {
	Self     link.Member
	Revision uint64
	Digest   uint32
	Loaded   bool
	// Fresh is false when the age exceeds the horizon.
	Fresh        bool
	Known        bool
	Age          time.Duration
	Horizon      time.Duration
	Watches      bool
	PlatformDown bool
	Behind       bool
	Members      []MemberStatus
	Plan         SpreadPlan
}

// MemberStatus is what one entry instance knows of another one.
type MemberStatus struct {
	Member    link.Member
	Revision  uint64
	RoundTrip time.Duration
	// Heard is false when no message of the member has arrived yet, otherwise
	// HeardAgo is the time since the last one.
	Heard    bool
	HeardAgo time.Duration
	Silent   bool
}

// Apply implements Event.
func (e SpreadQuery) Apply(f *Fleet, now time.Time) []Action {
	fresh := &f.start.fresh
	s := ConfigStatus{
		Self: f.self, Revision: f.register.Revision(), Digest: f.register.Digest(), Loaded: f.config.loaded,
		Fresh: fresh.Fresh(0, now), Known: !fresh.AsOf().IsZero(), Age: fresh.Age(now), Horizon: fresh.Horizon(),
		Watches: f.peers.members.Watches(now), PlatformDown: fresh.PlatformDown(), Behind: fresh.Behind(),
		Plan: f.spreadPlan(nil, now),
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
