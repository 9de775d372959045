// Package fleet holds the root object of the control state. The control thread
// of the process owns the Fleet: it applies typed events, and each event returns
// the typed actions that follow. The package imports no codec, no network
// package, no logger and no clock.
package fleet

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/link"
	"github.com/crocusjunction/crocusjunction/internal/zone"
)

// Event is one input of the control thread. Apply changes the fleet and
// returns the actions to run. It is called on the control thread only and must
// not block.
type Event interface {
	Apply(f *Fleet, now time.Time) []Action
}

// Action is an effect outside the fleet, described by a plain value. Package
// control runs it off the control thread and applies its result as an event.
type Action interface{ isAction() }

// Options are the fixed parameters of a fleet.
type Options struct {
	Self link.Member
	// DataCentres maps each data centre of the fleet to its region.
	DataCentres map[string]string
	// HTTPAddress is the "ip:port" for callers and operators.
	HTTPAddress string
	// TicketSecret is the random key of the MACs of tickets.
	TicketSecret []byte
	// LimitTerms are the durations of holds, loans and leases. The zero value
	// means contract.DefaultLimitTerms.
	LimitTerms contract.LimitTerms
	// Seeds are the peers that the settings name.
	Seeds []link.Member
	// FreshnessHorizon is the freshness horizon, 0 for DefaultFreshnessHorizon.
	FreshnessHorizon time.Duration
}

// Fleet is the control state of one entry instance.
type Fleet struct {
	self     link.Member
	register *contract.Register
	centres  map[string]*zone.DataCentre
	config   configState
	limits   limitState
	journal  journal
	tasks    taskState
	schedule scheduleState
	tickets  tickets
	planner  planner
	timers   timers
	// endpointTimer fires when the next probe of an endpoint is due.
	endpointTimer *timer
	peers         peersState
	startRule     StartRule
	cache         snapshotCache
	// httpAddress is where callers and operators reach this process.
	httpAddress string
	// departing is true at the end of a planned stop: the process no longer
	// acquires the planner or scheduler role.
	departing bool
	// snapshotDirty marks the whole snapshot as outdated, configDirty all but its
	// endpoints, freshnessDirty only its freshness. They are separate because
	// grouping 1,200 endpoints by service costs ten times as much as the rest.
	snapshotDirty, configDirty, freshnessDirty bool
}

// New returns a fleet without configuration and machines. Start returns the
// actions that read both.
func New(o Options) *Fleet {
	f := &Fleet{
		self:          o.Self,
		register:      contract.NewRegister(),
		centres:       make(map[string]*zone.DataCentre),
		tasks:         newTaskState(),
		tickets:       newTickets(o),
		snapshotDirty: true,

		httpAddress: o.HTTPAddress,
	}
	f.endpointTimer = f.timers.register(f.tickEndpoints)
	for name, region := range o.DataCentres {
		f.centres[name] = zone.NewDataCentre(name, region)
	}
	horizon := o.FreshnessHorizon
	if horizon == 0 {
		horizon = DefaultFreshnessHorizon
	}
	f.startRule.freshness = link.NewFreshness(horizon)
	f.peers = newPeersState(f, o.Seeds)
	f.tasks.timer = f.timers.register(f.tickTasks)
	f.planner = newPlanner(f.timers.register(f.planMaintenance))
	f.limits = newLimitState(f, o)
	return f
}

// Start returns the first actions of the process.
func (f *Fleet) Start(now time.Time) []Action {
	f.config.readInFlight = true
	f.peers.probeTimer.set(now)
	actions := []Action{LoadConfig{}, WatchEndpoints{}, RenewMemberRecord{Member: f.self}, ListMembers{}, AcquirePlannerLease{Holder: f.plannerName()}}
	actions = append(actions, f.initialTaskActions()...)
	return append(actions, f.tickLimits(now)...)
}

// EndpointsUnchanged reports that a WatchEndpoints ended without a change.
type EndpointsUnchanged struct{ After uint64 }

// Apply implements Event. It divides the endpoint limits again, because the
// set of entry instances may have changed during the watch.
func (e EndpointsUnchanged) Apply(f *Fleet, now time.Time) []Action {
	f.divideEndpointLimits(now)
	return append([]Action{WatchEndpoints{After: e.After}}, f.tickEndpoints(now)...)
}

// EndpointListFailed reports that the list of endpoints could not be read.
type EndpointListFailed struct{ After uint64 }

// Apply implements Event. The last list that was read stays in use.
func (e EndpointListFailed) Apply(f *Fleet, now time.Time) []Action {
	return []Action{WatchEndpoints{After: e.After, Delay: PlatformRetryDelay}}
}

// PlatformRetryDelay is the delay before a failed call to the platform is retried.
const PlatformRetryDelay = 500 * time.Millisecond

// WatchEndpoints waits for Delay and then until the platform's list of
// endpoints has a version above After. The result is EndpointsSeen,
// EndpointsUnchanged or EndpointListFailed.
type WatchEndpoints struct {
	After uint64
	Delay time.Duration
}

func (WatchEndpoints) isAction() {}
