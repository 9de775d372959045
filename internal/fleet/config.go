package fleet

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
)

// configState is the progress of the configuration of this process.
type configState struct {
	// loaded is true once a configuration was read from the platform or a peer.
	loaded bool
	// busy is true while a LoadConfig or WatchHead runs. At most one does.
	busy bool
	// version is the platform's version of the last head seen.
	version uint64
}

// LoadConfig reads the head, the written-out objects and the head again. The
// result is ConfigLoaded or ConfigFailed.
type LoadConfig struct{ Delay time.Duration }

func (LoadConfig) isAction() {}

// WatchHead waits until the head has a platform version above After. The
// result is HeadSeen or ConfigFailed.
type WatchHead struct {
	After uint64
	Delay time.Duration
}

func (WatchHead) isAction() {}

// ConfigLoaded is a full read of the configuration.
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
// Objects hold every change up to Before.Flushed, and the ring of Before covers
// the rest, so that the register reaches Before.Revision in every case.
func (e ConfigLoaded) Apply(f *Fleet, now time.Time) []Action {
	f.register.Load(e.Before.Flushed, e.Objects)
	f.register.ApplyHead(e.Before)
	result := f.register.ApplyHead(e.After)
	f.configChanged(now)
	if result == contract.ChangeGap {
		return []Action{LoadConfig{Delay: RetryDelay}}
	}
	f.config.loaded = true
	return f.headRead(e.After, e.Version, e.SentAt, now)
}

// HeadSeen is the end of a watch.
type HeadSeen struct {
	// Changed is false when the watch ended without a change; Head is not set
	// then.
	Changed bool
	Head    contract.Head
	Version uint64
	// SentAt is when the watch was sent.
	SentAt time.Time
}

// Apply implements Event.
func (e HeadSeen) Apply(f *Fleet, now time.Time) []Action {
	if !e.Changed {
		return f.headRead(contract.Head{}, e.Version, e.SentAt, now)
	}
	switch f.register.ApplyHead(e.Head) {
	case contract.ChangeGap:
		return []Action{LoadConfig{}}
	case contract.ChangeAccepted:
		f.configChanged(now)
	}
	return f.headRead(e.Head, e.Version, e.SentAt, now)
}

// headRead takes a read of a head that the register has applied, relays it and
// goes on watching while that is this instance's part.
func (f *Fleet) headRead(head contract.Head, version uint64, sentAt, now time.Time) []Action {
	f.config.busy = false
	f.config.version = version
	f.start.fresh.Read(sentAt)
	f.freshened()
	return append(f.relayToCentre(head, now), f.resumeWatch(now)...)
}

// resumeWatch starts a read of the configuration when none runs and the
// instance is one of its data centre's watchers, or when nobody else's evidence
// keeps its configuration fresh.
func (f *Fleet) resumeWatch(now time.Time) []Action {
	if f.config.busy || !f.peers.members.Watches(now) && !f.start.fresh.Seeks(now) {
		return nil
	}
	f.config.busy = true
	delay := time.Duration(0)
	if f.start.fresh.PlatformDown() {
		delay = RetryDelay
	}
	if !f.config.loaded {
		return []Action{LoadConfig{Delay: delay}}
	}
	return []Action{WatchHead{After: f.config.version, Delay: delay}}
}

// ConfigFailed reports that the configuration could not be read.
type ConfigFailed struct{}

// Apply implements Event. The known configuration stays. When the platform was
// reachable until now, peers are asked at once.
func (e ConfigFailed) Apply(f *Fleet, now time.Time) []Action {
	f.config.busy = false
	if f.start.fresh.ReadFailed(now) {
		f.peers.probeWake.setEarlier(now)
	}
	f.freshened()
	return f.resumeWatch(now)
}

// HeadCommitted reports a head that this process committed itself. Reply must
// have a free buffer place; it gets the plan for passing the head on.
type HeadCommitted struct {
	Head  contract.Head
	Reply chan<- SpreadPlan
}

// Apply implements Event.
func (e HeadCommitted) Apply(f *Fleet, now time.Time) []Action {
	if f.register.ApplyHead(e.Head) == contract.ChangeAccepted {
		f.configChanged(now)
	}
	if e.Reply != nil {
		e.Reply <- f.spreadPlan(e.Head.Changes, now)
	}
	return nil
}

// ChangeChecked is the control thread's verdict on a change.
type ChangeChecked struct {
	// Known is false when the register is not at the revision of the head.
	Known  bool
	Result contract.ChangeResult
	Err    error
}

// CheckChange validates a change against the register, after the head that the
// change would follow was applied. Reply must have a free buffer place.
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
	e.Reply <- ChangeChecked{Known: true, Result: result, Err: err}
	return nil
}

// configChanged derives the state of other objects from the register.
func (f *Fleet) configChanged(now time.Time) {
	f.start.fresh.Applied(f.register.Revision())
	if f.cache.centresVersion != f.register.Version(contract.KindDataCentre) {
		f.cache.centresVersion = f.register.Version(contract.KindDataCentre)
		f.applyCentreOrders(now)
	}
	f.limits.configDue = true
	f.limits.wakeBy(now)
	f.configDirty = true
}

// applyCentreOrders takes data centres out and back as operators ordered.
func (f *Fleet) applyCentreOrders(now time.Time) {
	out := make(map[string]string)
	for name, centre := range f.centres {
		object, ok := f.register.Get(contract.Ref{Kind: contract.KindDataCentre, Name: name})
		was := centre.Out
		centre.Out = ok && object.DataCentre.Out
		if centre.Out {
			out[name] = object.DataCentre.Reason
		}
		if centre.Out != was {
			f.explainCentre(centre.Name, centre.Out, out[name], now)
		}
	}
	f.start.out = out
	f.endpointWake.set(f.nextProbe())
	f.dirty = true
}

func (f *Fleet) explainCentre(name string, out bool, reason string, now time.Time) {
	d := Decision{At: now, Subject: Subject{Kind: SubjectDataCentre, Name: name}, Action: "bring back", Reason: "operators brought it back"}
	if out {
		d.Action, d.Reason = "take out", "operators took it out: "+reason
	}
	f.Explain(d)
}
