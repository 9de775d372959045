// Package fleet holds the root object of the control state. A Fleet is owned by
// the control thread of one process: it takes typed events, decides, and
// returns typed actions. It imports no codec, no network package, no logger
// and no clock.
package fleet

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/link"
	"github.com/crocusjunction/crocusjunction/internal/zone"
)

// Event is one input of the control thread. Apply changes the fleet and
// returns the actions that follow. It must not block.
type Event interface {
	Apply(f *Fleet, now time.Time) []Action
}

// Action is an effect outside the fleet that the control thread asks for. It
// is a plain value; package control runs it and feeds the result back as an
// event.
type Action interface{ isAction() }

// Options are the fixed parameters of a fleet.
type Options struct {
	Self link.Member
	// DataCentres maps each data centre of the fleet to its region.
	DataCentres map[string]string
	// TicketSecret is the random key of the MACs of tickets.
	TicketSecret []byte
	// LimitTerms bind the holders of slots. Default contract.DefaultLimitTerms.
	LimitTerms contract.LimitTerms
	// Seeds are peers known from the settings.
	Seeds []link.Member
	// Horizon is the freshness horizon, 0 for DefaultHorizon.
	Horizon time.Duration
}

// Fleet is the control state of one entry instance.
type Fleet struct {
	self     link.Member
	register *contract.Register
	centres  map[string]*zone.DataCentre
	config   configState
	limits   limitState
	journal  journal
	tickets  tickets
	planner  planner
	wakes    wakes
	// endpointWake is due when an endpoint must be probed.
	endpointWake *wake
	peers        peersState
	start        StartRule
	cache        snapshotCache
	// departing is true at the end of a planned stop. No role is taken any more.
	departing bool
	// dirty is set when anything changed that snapshots show, configDirty when
	// no endpoint is concerned, freshDirty when only the freshness changed.
	// Grouping 1,200 endpoints by service costs ten times as much as the rest.
	dirty, configDirty, freshDirty bool
}

// New returns a fleet that knows no configuration and no machines.
func New(o Options) *Fleet {
	f := &Fleet{
		self:     o.Self,
		register: contract.NewRegister(),
		centres:  make(map[string]*zone.DataCentre),
		tickets:  newTickets(o),
		dirty:    true,
	}
	f.endpointWake = f.wakes.register(f.tickEndpoints)
	for name, region := range o.DataCentres {
		f.centres[name] = zone.NewDataCentre(name, region)
	}
	horizon := o.Horizon
	if horizon == 0 {
		horizon = DefaultHorizon
	}
	f.start.fresh = link.NewFreshness(horizon)
	f.peers = newPeersState(f, o.Seeds)
	f.planner = newPlanner(f.wakes.register(f.plan))
	f.limits = newLimitState(f, o)
	return f
}

// Start returns the first actions of the process.
func (f *Fleet) Start(now time.Time) []Action {
	f.config.busy = true
	f.peers.probeWake.set(now)
	actions := []Action{LoadConfig{}, WatchEndpoints{}, HoldMember{Member: f.self}, ListMembers{}, SeekPlanner{Self: f.plannerName()}}
	return append(actions, f.tickLimits(now)...)
}

// EndpointsUnchanged is the end of a watch without a change.
type EndpointsUnchanged struct{ After uint64 }

// Apply implements Event.
func (e EndpointsUnchanged) Apply(f *Fleet, now time.Time) []Action {
	return []Action{WatchEndpoints{After: e.After}}
}

// EndpointsFailed reports that the list of endpoints could not be read.
type EndpointsFailed struct{ After uint64 }

// Apply implements Event. The known list stays in use.
func (e EndpointsFailed) Apply(f *Fleet, now time.Time) []Action {
	return []Action{WatchEndpoints{After: e.After, Delay: RetryDelay}}
}

// RetryDelay is the pause before a failed read of the platform is repeated.
const RetryDelay = 500 * time.Millisecond

// WatchEndpoints waits until the platform's list of endpoints has a version
// above After and returns it as EndpointsSeen.
type WatchEndpoints struct {
	After uint64
	Delay time.Duration
}

func (WatchEndpoints) isAction() {}
