package control

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/platform"
)

// Prefixes of the records of limits and holders.
const (
	AllotmentPrefix        = "allotment/"
	ServiceAllotmentPrefix = AllotmentPrefix + "service/"
	HolderPrefix           = "holder/"
)

// Bounds of one action against the platform.
const (
	// limitAttempts bounds the repeats after conflicts and lost answers.
	limitAttempts = 12
	// limitPause is the longest pause before the first repeat. It grows with each
	// one, since forty holders may swap one record at once.
	limitPause   = 10 * time.Millisecond
	limitTimeout = 10 * time.Second
)

// AllotmentKey returns the platform key of a limit's record.
func AllotmentKey(limit contract.Ref) string {
	if limit.Kind == contract.KindDocument {
		return ServiceAllotmentPrefix + limit.Name
	}
	return AllotmentPrefix + limit.Name
}

// HolderKey returns the platform key of an instance's holder record.
func HolderKey(instance string) string { return HolderPrefix + instance }

// LimitRunner performs the actions of the upper limits against the platform.
type LimitRunner struct {
	store platform.Store
	log   *logrus.Entry
	clock func() time.Time
	// Pause waits between repeats and reports false when ctx ended. Tests with a
	// clock of their own replace it.
	Pause func(ctx context.Context, d time.Duration) bool
}

// NewLimitRunner returns a runner that writes to s.
func NewLimitRunner(s platform.Store, log *logrus.Entry, clock func() time.Time) *LimitRunner {
	return &LimitRunner{store: s, log: log, clock: clock, Pause: pause}
}

// Run performs an action and returns its result. It returns false when the
// action does not concern limits.
func (r *LimitRunner) Run(ctx context.Context, a fleet.Action) (fleet.Event, bool) {
	ctx, cancel := context.WithTimeout(ctx, limitTimeout)
	defer cancel()
	switch a := a.(type) {
	case fleet.SwapAllotment:
		return r.swap(ctx, a), true
	case fleet.RenewHold:
		return r.renew(ctx, a.Record), true
	case fleet.ObserveHolders:
		return r.observe(ctx), true
	case fleet.ReclaimSlots:
		return r.reclaim(ctx, a.Gone), true
	case fleet.EndHold:
		return r.endHold(ctx, a.Holder), true
	default:
		return nil, false
	}
}

// get returns the record of key; one that does not exist has version 0.
func (r *LimitRunner) get(ctx context.Context, key string) (platform.Record, error) {
	record, err := r.store.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Record{Key: key}, nil
	}
	return record, err
}

// readAllotment returns the record of a limit and its version.
func (r *LimitRunner) readAllotment(ctx context.Context, key string) (contract.AllotmentRecord, platform.Version, error) {
	found, err := r.get(ctx, key)
	if err != nil || found.Version == 0 {
		return contract.AllotmentRecord{}, 0, err
	}
	record, err := DecodeAllotment(found.Value)
	if err != nil {
		return record, 0, errors.Wrap(err, key)
	}
	return record, found.Version, nil
}

// writeAllotment swaps the record of a limit. An ErrUnknown is resolved by the
// caller, which reads the record again.
func (r *LimitRunner) writeAllotment(ctx context.Context, key string, expect platform.Version, record contract.AllotmentRecord) error {
	data, err := EncodeAllotment(record)
	if err != nil {
		return err
	}
	_, err = r.store.Swap(ctx, key, expect, data, 0)
	return err
}

// readHolder returns the record of an instance and its version.
func (r *LimitRunner) readHolder(ctx context.Context, key string) (contract.HolderRecord, platform.Version, error) {
	var record contract.HolderRecord
	found, err := r.get(ctx, key)
	if err != nil || found.Version == 0 {
		return record, 0, err
	}
	if err := json.Unmarshal(found.Value, &record); err != nil {
		return record, 0, errors.Wrapf(err, "decode %s", key)
	}
	return record, found.Version, nil
}

// writeHolder swaps the record of an instance.
func (r *LimitRunner) writeHolder(ctx context.Context, key string, expect platform.Version, record contract.HolderRecord) error {
	data, err := json.Marshal(record)
	if err != nil {
		return errors.Wrapf(err, "encode %s", key)
	}
	_, err = r.store.Swap(ctx, key, expect, data, 0)
	return err
}

// repeat calls try until it succeeds or fails for good. Conflicts and lost
// answers are tried again; after a lost answer the next try reads what happened.
func (r *LimitRunner) repeat(ctx context.Context, try func() error) error {
	var err error
	for attempt := range limitAttempts {
		if err = try(); err == nil {
			return nil
		}
		if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUnknown) {
			return err
		}
		if !r.Pause(ctx, time.Duration(1+rand.Int64N(int64(limitPause)*int64(attempt+1)))) {
			return err
		}
	}
	return err
}

func (r *LimitRunner) swap(ctx context.Context, a fleet.SwapAllotment) fleet.Event {
	var result contract.AllotmentRecord
	maybeWritten := false
	err := r.repeat(ctx, func() error {
		var err error
		result, err = r.trySwap(ctx, a, &maybeWritten)
		return err
	})
	if err != nil {
		r.log.WithError(err).Warnf("limits: swap of %s failed", AllotmentKey(a.Limit))
		return fleet.AllotmentFailed{Limit: a.Limit, Sequence: a.Request.Sequence, NoEffect: !maybeWritten}
	}
	return fleet.AllotmentSwapped{Limit: a.Limit, Sequence: a.Request.Sequence, Record: result}
}

// trySwap reads the record and, unless it carries the request already, swaps in
// the one that the request leads to. It sets maybeWritten when the write may
// take effect later.
func (r *LimitRunner) trySwap(ctx context.Context, a fleet.SwapAllotment, maybeWritten *bool) (contract.AllotmentRecord, error) {
	key := AllotmentKey(a.Limit)
	record, version, err := r.readAllotment(ctx, key)
	if err != nil || record.Done(a.Request) {
		return record, err
	}
	next, changed := record.Apply(a.Request)
	if !changed {
		return record, nil
	}
	err = r.writeAllotment(ctx, key, version, next)
	*maybeWritten = *maybeWritten || err != nil && !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUnavailable)
	return next, err
}

func (r *LimitRunner) renew(ctx context.Context, record contract.HolderRecord) fleet.Event {
	sent := r.clock()
	var written contract.HolderRecord
	refused := false
	err := r.repeat(ctx, func() error {
		var err error
		written, refused, err = r.tryRenew(ctx, record)
		return err
	})
	switch {
	case err != nil:
		r.log.WithError(err).Warn("limits: renewal of the hold failed")
		return fleet.HoldFailed{}
	case refused:
		r.log.Errorf("limits: hold refused, incarnation %d of this instance exists", written.Holder.Incarnation)
		return fleet.HoldRefused{Found: written}
	default:
		return fleet.HoldRenewed{Written: written, SentAt: sent}
	}
}

func (r *LimitRunner) tryRenew(ctx context.Context, record contract.HolderRecord) (written contract.HolderRecord, refused bool, err error) {
	key := HolderKey(record.Holder.Instance)
	known, version, err := r.readHolder(ctx, key)
	if err != nil {
		return known, false, err
	}
	if known.Holder == record.Holder && known.Counter == record.Counter {
		return known, false, nil
	}
	next, ok := known.Replace(record)
	if !ok {
		return known, true, nil
	}
	return next, false, r.writeHolder(ctx, key, version, next)
}

func (r *LimitRunner) observe(ctx context.Context) fleet.Event {
	sent := r.clock()
	list, err := r.store.List(ctx, HolderPrefix)
	if err != nil {
		r.log.WithError(err).Warn("limits: holders cannot be read")
		return fleet.HoldersFailed{}
	}
	seen := fleet.HoldersSeen{SentAt: sent}
	for _, item := range list {
		var record contract.HolderRecord
		if err := json.Unmarshal(item.Value, &record); err != nil {
			r.log.WithError(err).Errorf("limits: %s cannot be decoded", item.Key)
			continue
		}
		seen.Records = append(seen.Records, record)
	}
	return seen
}

// reclaim removes the entries of holders that are gone. Their identities are
// never used again, so that a late reclaim takes nothing from a live holder.
func (r *LimitRunner) reclaim(ctx context.Context, gone []contract.Holder) fleet.Event {
	list, err := r.store.List(ctx, AllotmentPrefix)
	if err != nil {
		r.log.WithError(err).Warn("limits: reclaim failed")
		return fleet.SlotsReclaimed{}
	}
	total := 0
	for _, item := range list {
		freed, err := r.reclaimFrom(ctx, item.Key, gone)
		if err != nil {
			r.log.WithError(err).Warnf("limits: reclaim from %s failed", item.Key)
			return fleet.SlotsReclaimed{}
		}
		total += freed
	}
	for _, holder := range gone {
		if err := r.deleteHolder(ctx, holder); err != nil {
			r.log.WithError(err).Warnf("limits: record of holder %s cannot be deleted", holder)
			return fleet.SlotsReclaimed{}
		}
		r.log.Infof("limits: reclaimed the slots of holder %s", holder)
	}
	return fleet.SlotsReclaimed{Gone: gone, Freed: total}
}

func (r *LimitRunner) reclaimFrom(ctx context.Context, key string, gone []contract.Holder) (int, error) {
	freed := 0
	err := r.repeat(ctx, func() error {
		record, version, err := r.readAllotment(ctx, key)
		if err != nil {
			return err
		}
		next, slots := record.Remove(gone)
		if slots == 0 {
			return nil
		}
		freed = slots
		return r.writeAllotment(ctx, key, version, next)
	})
	return freed, err
}

// deleteHolder deletes the record of a holder, or its mention as a former
// incarnation when a later one owns the record.
func (r *LimitRunner) deleteHolder(ctx context.Context, holder contract.Holder) error {
	key := HolderKey(holder.Instance)
	return r.repeat(ctx, func() error {
		record, version, err := r.readHolder(ctx, key)
		if err != nil || version == 0 {
			return err
		}
		if record.Holder == holder {
			return r.store.Delete(ctx, key, version)
		}
		next, changed := record.Forget(holder)
		if !changed {
			return nil
		}
		return r.writeHolder(ctx, key, version, next)
	})
}

func (r *LimitRunner) endHold(ctx context.Context, holder contract.Holder) fleet.Event {
	if err := r.deleteHolder(ctx, holder); err != nil {
		r.log.WithError(err).Warn("limits: holder record cannot be deleted")
	}
	return fleet.HoldEnded{}
}
