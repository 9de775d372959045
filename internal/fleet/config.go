package fleet

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
)

// configState is the state of the reads of the configuration. The configuration
// itself is in the register.
type configState struct {
	// loaded is true once a configuration was read from the platform or a peer.
	loaded bool
	// readInFlight is true while a LoadConfig or WatchHead is in flight. At
	// most one is.
	readInFlight bool
	// version is the platform's version of the last head seen.
	version uint64
}

// LoadConfig reads the head, the flushed objects and the head again. The result
// is ConfigLoaded or ConfigFailed.
type LoadConfig struct{ Delay time.Duration }

func (LoadConfig) isAction() {}

// WatchHead waits until the head has a platform version above After. The
// result is HeadSeen or ConfigFailed.
type WatchHead struct {
	After uint64
	Delay time.Duration
}

func (WatchHead) isAction() {}

// ConfigLoaded reports a full read of the configuration.
type ConfigLoaded struct {
	// Before is the head as read before Objects, After as read after them.
	Before, After contract.Head
	Objects       []contract.Object
	// Version is the platform's version of After.
	Version uint64
	// SentAt is when the read of After was sent.
	SentAt time.Time
}

// Apply implements Event.
//
// Objects contains every change up to Before.Flushed, and the ring of Before
// contains the later ones, so the register always reaches Before.Revision. A gap
// to After causes another load.
func (e ConfigLoaded) Apply(f *Fleet, now time.Time) []Action {
	f.register.Load(e.Before.Flushed, e.Objects)
	f.register.ApplyHead(e.Before)
	result := f.register.ApplyHead(e.After)
	f.configChanged(now)
	if result == contract.ChangeGap {
		return []Action{LoadConfig{Delay: PlatformRetryDelay}}
	}
	f.config.loaded = true
	return f.recordHeadRead(e.After, e.Version, e.SentAt, now)
}

// HeadSeen reports the end of a WatchHead.
type HeadSeen struct {
	// Changed is false when the watch ended without a change. Head is not set in
	// that case.
	Changed bool
	Head    contract.Head
	Version uint64
	// SentAt is when the watch was sent.
	SentAt time.Time
}

// Apply implements Event.
func (e HeadSeen) Apply(f *Fleet, now time.Time) []Action {
	if !e.Changed {
		return f.recordHeadRead(contract.Head{}, e.Version, e.SentAt, now)
	}
	switch f.register.ApplyHead(e.Head) {
	case contract.ChangeGap:
		return []Action{LoadConfig{}}
	case contract.ChangeAccepted:
		f.configChanged(now)
	}
	return f.recordHeadRead(e.Head, e.Version, e.SentAt, now)
}

// recordHeadRead records a successful read of a head that the register has
// applied, relays the head within the data centre of this instance and continues
// the watch when this instance is a watcher.
func (f *Fleet) recordHeadRead(head contract.Head, version uint64, sentAt, now time.Time) []Action {
	f.config.readInFlight = false
	f.config.version = version
	f.startRule.freshness.RecordRead(sentAt)
	f.markFreshnessDirty()
	return append(f.relayToDataCentre(head, now), f.resumeWatch(now)...)
}

// resumeWatch starts a read of the configuration when none is in flight and this
// instance is one of its data centre's watchers. An instance that is not a
// watcher reads too when the evidence of its peers does not keep its
// configuration fresh.
func (f *Fleet) resumeWatch(now time.Time) []Action {
	if f.config.readInFlight || !f.peers.members.IsWatcher(now) && !f.startRule.freshness.ShouldProbeAll(now) {
		return nil
	}
	f.config.readInFlight = true
	delay := time.Duration(0)
	if f.startRule.freshness.PlatformDown() {
		delay = PlatformRetryDelay
	}
	if !f.config.loaded {
		return []Action{LoadConfig{Delay: delay}}
	}
	return []Action{WatchHead{After: f.config.version, Delay: delay}}
}

// ConfigFailed reports that the configuration could not be read.
type ConfigFailed struct{}

// Apply implements Event. The configuration stays in force. At the first failed
// read after a successful one, peers are probed immediately.
func (e ConfigFailed) Apply(f *Fleet, now time.Time) []Action {
	f.config.readInFlight = false
	if f.startRule.freshness.RecordReadFailure(now) {
		f.peers.probeTimer.setEarlier(now)
	}
	f.markFreshnessDirty()
	return f.resumeWatch(now)
}

// HeadCommitted reports a head that this process committed itself. Reply
// receives the plan for propagating the head; it must have a free buffer place
// or be nil.
type HeadCommitted struct {
	Head  contract.Head
	Reply chan<- PropagationPlan
}

// Apply implements Event.
func (e HeadCommitted) Apply(f *Fleet, now time.Time) []Action {
	if f.register.ApplyHead(e.Head) == contract.ChangeAccepted {
		f.configChanged(now)
	}
	if e.Reply != nil {
		e.Reply <- f.propagationPlan(e.Head.Changes, now)
	}
	return nil
}

// ChangeChecked is the result of CheckChange.
type ChangeChecked struct {
	// AtHead is false when the register is not at the revision of the head.
	AtHead bool
	Result contract.ChangeResult
	Err    error
}

// CheckChange applies the head that a change is based on and validates the
// change against the register. Reply must have a free buffer place.
type CheckChange struct {
	Head   contract.Head
	Change contract.Change
	Reply  chan<- ChangeChecked
}

// Apply implements Event.
func (e CheckChange) Apply(f *Fleet, now time.Time) []Action {
	if f.register.ApplyHead(e.Head) == contract.ChangeAccepted {
		f.configChanged(now)
	}
	if f.register.Revision() != e.Head.Revision {
		e.Reply <- ChangeChecked{}
		return nil
	}
	result, err := f.register.Validate(e.Change)
	e.Reply <- ChangeChecked{AtHead: true, Result: result, Err: err}
	return nil
}

// configChanged propagates a changed register to the parts of the fleet that
// depend on it.
func (f *Fleet) configChanged(now time.Time) {
	f.startRule.freshness.Applied(f.register.Revision())
	if f.cache.dataCentresVersion != f.register.Version(contract.KindDataCentre) {
		f.cache.dataCentresVersion = f.register.Version(contract.KindDataCentre)
		f.applyDataCentreOrders(now)
	}
	f.limits.configPending = true
	f.limits.tickBy(now)
	f.configDirty = true
}

// applyDataCentreOrders applies the operators' orders that take data centres out
// of service or bring them back.
func (f *Fleet) applyDataCentreOrders(now time.Time) {
	out := make(map[string]string)
	for name, centre := range f.centres {
		object, ok := f.register.Get(contract.Ref{Kind: contract.KindDataCentre, Name: name})
		was := centre.Out
		centre.Out = ok && object.DataCentre.Out
		if centre.Out {
			out[name] = object.DataCentre.Reason
		}
		if centre.Out != was {
			f.recordDataCentreOrder(centre.Name, centre.Out, out[name], now)
		}
	}
	f.startRule.outDataCentres = out
	f.endpointTimer.set(f.nextProbe())
	f.snapshotDirty = true
}

func (f *Fleet) recordDataCentreOrder(name string, out bool, reason string, now time.Time) {
	d := Decision{At: now, Subject: Subject{Kind: SubjectDataCentre, Name: name}, Action: "bring back", Reason: "operators brought it back into service"}
	if out {
		d.Action, d.Reason = "take out", "operators took it out of service: "+reason
	}
	f.recordDecision(d)
}
