package fleet

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
)

// configState is the progress of the configuration of this process.
type configState struct {
	loaded bool
	wakeAt time.Time
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
	if f.register.ApplyHead(e.After) == contract.ChangeGap {
		return []Action{LoadConfig{Delay: RetryDelay}}
	}
	f.config.loaded = true
	f.configChanged()
	return []Action{WatchHead{After: e.Version}}
}

// HeadSeen is a newer head of the configuration, or the same one when the
// watch ended without a change.
type HeadSeen struct {
	Head    contract.Head
	Version uint64
	// SentAt is when the watch was sent.
	SentAt time.Time
}

// Apply implements Event.
func (e HeadSeen) Apply(f *Fleet, now time.Time) []Action {
	switch f.register.ApplyHead(e.Head) {
	case contract.ChangeGap:
		return []Action{LoadConfig{}}
	case contract.ChangeAccepted:
		f.configChanged()
	}
	return []Action{WatchHead{After: e.Version}}
}

// ConfigFailed reports that the configuration could not be read.
type ConfigFailed struct{ After uint64 }

// Apply implements Event. The known configuration stays.
func (e ConfigFailed) Apply(f *Fleet, now time.Time) []Action {
	if !f.config.loaded {
		return []Action{LoadConfig{Delay: RetryDelay}}
	}
	return []Action{WatchHead{After: e.After, Delay: RetryDelay}}
}

// HeadCommitted reports a head that this process committed itself.
type HeadCommitted struct{ Head contract.Head }

// Apply implements Event.
func (e HeadCommitted) Apply(f *Fleet, now time.Time) []Action {
	if f.register.ApplyHead(e.Head) == contract.ChangeAccepted {
		f.configChanged()
	}
	return nil
}

func (f *Fleet) tickConfig(now time.Time) []Action { return nil }

// configChanged derives the state of other objects from the register.
func (f *Fleet) configChanged() {
	for name, centre := range f.centres {
		object, ok := f.register.Get(contract.Ref{Kind: contract.KindDataCentre, Name: name})
		centre.Out = ok && object.DataCentre.Out
	}
	f.limits.configDue = true
	f.dirty = true
}
