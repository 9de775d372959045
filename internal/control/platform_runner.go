package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/platform"
)

// Keys and prefixes in the platform's key-value service.
const (
	HeadKey      = "config/head"
	ObjectPrefix = "config/object/"
)

// Wait times of watches of the configuration head, endpoints, machines and
// workers.
const (
	// headWatchWait is how long one watch of the configuration head waits for a
	// change before it answers without one. Each answer is also evidence that
	// the configuration is fresh. The watchers of a data centre watch the head
	// and the other instances probe them every second, so evidence is at most
	// two waits and one probe period old. These 2.4 s are less than 3 s, three
	// quarters of the default freshness horizon of 4 s, the age at which an
	// instance starts to gather evidence by itself.
	headWatchWait = 700 * time.Millisecond
	// headWatchMargin is how much longer than headWatchWait a watch of the head
	// may take before it counts as failed.
	headWatchMargin = time.Second
	// endpointsWait bounds one watch of the list of endpoints. A change ends the
	// watch immediately; without changes, an answer every second would cost
	// 400 B/s.
	endpointsWait = 3 * time.Second
	// machinesWait and workersWait bound the watches of machines and workers.
	machinesWait = 3 * time.Second
	workersWait  = 3 * time.Second
)

// PlatformRunner is the Runner of the actions that call the platform.
type PlatformRunner struct {
	platform platform.Platform
	log      *logrus.Entry
	clock    func() time.Time
	limits   *LimitRunner

	maintenance *MaintenanceRunner
}

// NewPlatformRunner returns a runner that calls p and takes the time from
// clock.
func NewPlatformRunner(p platform.Platform, log *logrus.Entry, clock func() time.Time) *PlatformRunner {
	return &PlatformRunner{
		platform: p, log: log, clock: clock,
		limits: NewLimitRunner(p, log, clock), maintenance: NewMaintenanceRunner(p, clock),
	}
}

// Run implements Runner.
func (r *PlatformRunner) Run(ctx context.Context, a fleet.Action) fleet.Event {
	switch a := a.(type) {
	case fleet.LoadConfig:
		return r.loadConfig(ctx, a)
	case fleet.WatchHead:
		return r.watchHead(ctx, a)
	case fleet.WatchEndpoints:
		return r.watchEndpoints(ctx, a)
	case fleet.RenewMemberRecord:
		return r.renewMemberRecord(ctx, a)
	case fleet.ListMembers:
		return r.listMembers(ctx)
	default:
		if e, ok := r.maintenance.Run(ctx, a); ok {
			return e
		}
		if e, ok := r.limits.Run(ctx, a); ok {
			return e
		}
		if e, ok := r.runTaskQueue(ctx, a); ok {
			return e
		}
		r.log.Errorf("control: no runner handles action %T", a)
		return nil
	}
}

// sleep blocks for d. It returns false as soon as ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *PlatformRunner) loadConfig(ctx context.Context, a fleet.LoadConfig) fleet.Event {
	if !sleep(ctx, a.Delay) {
		return nil
	}
	loaded, err := r.readConfig(ctx)
	if err != nil {
		r.log.WithError(err).Warn("config: load failed")
		return fleet.ConfigFailed{}
	}
	return loaded
}

func (r *PlatformRunner) readConfig(ctx context.Context) (fleet.ConfigLoaded, error) {
	var loaded fleet.ConfigLoaded
	before, _, err := ReadHead(ctx, r.platform)
	if err != nil {
		return loaded, err
	}
	if loaded.Objects, err = readObjects(ctx, r.platform); err != nil {
		return loaded, err
	}
	loaded.SentAt = r.clock()
	loaded.Before = before
	loaded.After, loaded.Version, err = readHeadVersion(ctx, r.platform)
	return loaded, err
}

// readObjects returns the configuration objects that have their own key.
// Changes that only the head contains so far are missing.
func readObjects(ctx context.Context, s platform.Store) ([]contract.Object, error) {
	records, err := s.List(ctx, ObjectPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "list objects")
	}
	objects := make([]contract.Object, len(records))
	for i, record := range records {
		if err := json.Unmarshal(record.Value, &objects[i]); err != nil {
			return nil, errors.Wrapf(err, "decode %s", record.Key)
		}
	}
	return objects, nil
}

func readHeadVersion(ctx context.Context, s platform.Store) (contract.Head, uint64, error) {
	head, version, err := ReadHead(ctx, s)
	return head, uint64(version), err
}

// ReadHead returns the configuration head and its platform version. Before the
// first commit it returns an empty head and version 0.
func ReadHead(ctx context.Context, s platform.Store) (contract.Head, platform.Version, error) {
	var head contract.Head
	record, err := s.Get(ctx, HeadKey)
	if errors.Is(err, platform.ErrNotFound) {
		return head, 0, nil
	}
	if err != nil {
		return head, 0, errors.Wrap(err, "read head")
	}
	if err := json.Unmarshal(record.Value, &head); err != nil {
		return head, 0, errors.Wrap(err, "decode head")
	}
	return head, record.Version, nil
}

func (r *PlatformRunner) watchHead(ctx context.Context, a fleet.WatchHead) fleet.Event {
	if !sleep(ctx, a.Delay) {
		return nil
	}
	watchCtx, cancel := context.WithTimeout(ctx, headWatchWait+headWatchMargin)
	defer cancel()
	sent := r.clock()
	record, err := r.platform.Watch(watchCtx, HeadKey, platform.Version(a.After), headWatchWait)
	if err != nil {
		r.log.WithError(err).Debug("config: watch failed")
		return fleet.ConfigFailed{}
	}
	seen := fleet.HeadSeen{Version: uint64(record.Version), SentAt: sent}
	if uint64(record.Version) == a.After {
		return seen
	}
	seen.Changed = true
	if record.Version == 0 {
		return seen
	}
	if err := json.Unmarshal(record.Value, &seen.Head); err != nil {
		r.log.WithError(err).Error("config: cannot decode the head")
		return fleet.ConfigFailed{}
	}
	return seen
}

func (r *PlatformRunner) watchEndpoints(ctx context.Context, a fleet.WatchEndpoints) fleet.Event {
	if !sleep(ctx, a.Delay) {
		return nil
	}
	list, err := r.platform.WatchInstances(ctx, a.After, endpointsWait)
	if err != nil {
		return fleet.EndpointListFailed{After: a.After}
	}
	if list.Version == a.After {
		return fleet.EndpointsUnchanged{After: a.After}
	}
	seen := fleet.EndpointsSeen{Version: list.Version}
	for _, i := range list.Instances {
		seen.Endpoints = append(seen.Endpoints, toEndpoint(i))
	}
	return seen
}

func toEndpoint(i platform.Instance) machine.Endpoint {
	phase := machine.EndpointLive
	if i.Leaving {
		phase = machine.EndpointLeaving
	}
	return machine.Endpoint{
		ID: i.ID, Service: i.Service, DataCentre: i.DataCentre, Address: i.Address, Phase: phase,
	}
}
