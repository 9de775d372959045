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

// Key prefixes of the records of limits and of slot holders.
const (
	AllotmentPrefix        = "allotment/"
	ServiceAllotmentPrefix = AllotmentPrefix + "service/"
	HolderPrefix           = "holder/"
)

// Bounds of one action on limits.
const (
	// maxLimitAttempts bounds the attempts at one read-and-swap when writes
	// conflict or lose their answers.
	maxLimitAttempts = 12
	// limitRetryDelay is the longest delay before the first retry. The bound grows
	// linearly with each retry, since forty holders may swap one record at the
	// same time.
	limitRetryDelay = 10 * time.Millisecond
	limitTimeout    = 10 * time.Second
)

// AllotmentKey returns the platform key of the allotment record of a limit.
func AllotmentKey(limit contract.Ref) string {
	if limit.Kind == contract.KindDocument {
		return ServiceAllotmentPrefix + limit.Name
	}
	return AllotmentPrefix + limit.Name
}

// HolderKey returns the platform key of an instance's holder record.
func HolderKey(instance string) string { return HolderPrefix + instance }

// LimitRunner performs the actions on upper limits: it moves slots between the
// instances that hold them and renews the hold of this instance.
type LimitRunner struct {
	store platform.Store
	log   *logrus.Entry
	clock func() time.Time
	// Sleep blocks between two attempts and returns false when ctx has ended.
	// Tests that simulate time replace it.
	Sleep func(ctx context.Context, d time.Duration) bool
}

// NewLimitRunner returns a runner that reads and writes records in s.
func NewLimitRunner(s platform.Store, log *logrus.Entry, clock func() time.Time) *LimitRunner {
	return &LimitRunner{store: s, log: log, clock: clock, Sleep: sleep}
}

// Run performs an action and returns the event with its result. The second
// result is false when the action does not concern limits.
func (r *LimitRunner) Run(ctx context.Context, a fleet.Action) (fleet.Event, bool) {
	ctx, cancel := context.WithTimeout(ctx, limitTimeout)
	defer cancel()
	switch a := a.(type) {
	case fleet.SwapAllotment:
		return r.swapAllotment(ctx, a), true
	case fleet.RenewHold:
		return r.renewHold(ctx, a.Record), true
	case fleet.ObserveHolders:
		return r.observeHolders(ctx), true
	case fleet.ReclaimSlots:
		return r.reclaimSlots(ctx, a.Expired), true
	case fleet.EndHold:
		return r.endHold(ctx, a.Holder), true
	default:
		return nil, false
	}
}

// getOrEmpty returns the record of key, or an empty one with version 0 when the
// key does not exist.
func (r *LimitRunner) getOrEmpty(ctx context.Context, key string) (platform.Record, error) {
	record, err := r.store.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Record{Key: key}, nil
	}
	return record, err
}

// readAllotment returns the record of a limit and its version, 0 when the key
// does not exist.
func (r *LimitRunner) readAllotment(ctx context.Context, key string) (contract.AllotmentRecord, platform.Version, error) {
	found, err := r.getOrEmpty(ctx, key)
	if err != nil || found.Version == 0 {
		return contract.AllotmentRecord{}, 0, err
	}
	record, err := DecodeAllotment(found.Value)
	if err != nil {
		return record, 0, errors.Wrap(err, key)
	}
	return record, found.Version, nil
}

// writeAllotment stores the record of a limit by compare-and-swap. After
// ErrOutcomeUnknown the caller must read the record again to learn whether the
// write took effect.
func (r *LimitRunner) writeAllotment(ctx context.Context, key string, expect platform.Version, record contract.AllotmentRecord) error {
	data, err := EncodeAllotment(record)
	if err != nil {
		return err
	}
	_, err = r.store.Swap(ctx, key, expect, data, 0)
	return err
}

// readHolder returns the holder record of an instance and its version, 0 when
// the key does not exist.
func (r *LimitRunner) readHolder(ctx context.Context, key string) (contract.HolderRecord, platform.Version, error) {
	var record contract.HolderRecord
	found, err := r.getOrEmpty(ctx, key)
	if err != nil || found.Version == 0 {
		return record, 0, err
	}
	if err := json.Unmarshal(found.Value, &record); err != nil {
		return record, 0, errors.Wrapf(err, "decode %s", key)
	}
	return record, found.Version, nil
}

// writeHolder stores the holder record of an instance by compare-and-swap.
func (r *LimitRunner) writeHolder(ctx context.Context, key string, expect platform.Version, record contract.HolderRecord) error {
	data, err := json.Marshal(record)
	if err != nil {
		return errors.Wrapf(err, "encode %s", key)
	}
	_, err = r.store.Swap(ctx, key, expect, data, 0)
	return err
}

// retry calls op until it succeeds, fails with an error other than ErrConflict
// or ErrOutcomeUnknown, or was called maxLimitAttempts times. op must read the
// record first, to find out whether an earlier call of op whose answer was lost
// took effect.
func (r *LimitRunner) retry(ctx context.Context, op func() error) error {
	var err error
	for attempt := range maxLimitAttempts {
		if err = op(); err == nil {
			return nil
		}
		if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrOutcomeUnknown) {
			return err
		}
		if !r.Sleep(ctx, time.Duration(1+rand.Int64N(int64(limitRetryDelay)*int64(attempt+1)))) {
			return err
		}
	}
	return err
}

func (r *LimitRunner) swapAllotment(ctx context.Context, a fleet.SwapAllotment) fleet.Event {
	var result contract.AllotmentRecord
	maybeWritten := false
	err := r.retry(ctx, func() error {
		var err error
		result, err = r.trySwapAllotment(ctx, a, &maybeWritten)
		return err
	})
	if err != nil {
		r.log.WithError(err).Warnf("limits: swap of record %s failed", AllotmentKey(a.Limit))
		return fleet.AllotmentFailed{Limit: a.Limit, Sequence: a.Request.Sequence, NoEffect: !maybeWritten}
	}
	return fleet.AllotmentSwapped{Limit: a.Limit, Sequence: a.Request.Sequence, Record: result}
}

// trySwapAllotment reads the record and, unless it already contains the
// request, stores the record that results from the request. It sets
// maybeWritten when the outcome of the write is unknown, so that it may still
// take effect.
func (r *LimitRunner) trySwapAllotment(ctx context.Context, a fleet.SwapAllotment, maybeWritten *bool) (contract.AllotmentRecord, error) {
	key := AllotmentKey(a.Limit)
	record, version, err := r.readAllotment(ctx, key)
	if err != nil || record.Applied(a.Request) {
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

func (r *LimitRunner) renewHold(ctx context.Context, record contract.HolderRecord) fleet.Event {
	sent := r.clock()
	var written contract.HolderRecord
	refused := false
	err := r.retry(ctx, func() error {
		var err error
		written, refused, err = r.tryRenewHold(ctx, record)
		return err
	})
	switch {
	case err != nil:
		r.log.WithError(err).Warn("limits: renewal of the hold failed")
		return fleet.HoldFailed{}
	case refused:
		r.log.Errorf("limits: renewal of the hold refused: incarnation %d of this instance is newer", written.Holder.Incarnation)
		return fleet.HoldSuperseded{Found: written}
	default:
		return fleet.HoldRenewed{Written: written, SentAt: sent}
	}
}

func (r *LimitRunner) tryRenewHold(ctx context.Context, record contract.HolderRecord) (written contract.HolderRecord, refused bool, err error) {
	key := HolderKey(record.Holder.Instance)
	stored, version, err := r.readHolder(ctx, key)
	if err != nil {
		return stored, false, err
	}
	if stored.Holder == record.Holder && stored.Counter == record.Counter {
		return stored, false, nil
	}
	next, ok := stored.Replace(record)
	if !ok {
		return stored, true, nil
	}
	return next, false, r.writeHolder(ctx, key, version, next)
}

func (r *LimitRunner) observeHolders(ctx context.Context) fleet.Event {
	sent := r.clock()
	list, err := r.store.List(ctx, HolderPrefix)
	if err != nil {
		r.log.WithError(err).Warn("limits: read of the holder records failed")
		return fleet.HoldersFailed{}
	}
	seen := fleet.HoldersSeen{SentAt: sent}
	for _, item := range list {
		var record contract.HolderRecord
		if err := json.Unmarshal(item.Value, &record); err != nil {
			r.log.WithError(err).Errorf("limits: cannot decode holder record %s", item.Key)
			continue
		}
		seen.Records = append(seen.Records, record)
	}
	return seen
}

// reclaimSlots removes the entries of holders whose hold has expired, and then
// their holder records. The identity of a holder is never used again, so a
// delayed reclaim cannot remove slots of a live holder.
func (r *LimitRunner) reclaimSlots(ctx context.Context, expired []contract.Holder) fleet.Event {
	list, err := r.store.List(ctx, AllotmentPrefix)
	if err != nil {
		r.log.WithError(err).Warn("limits: reclaim failed: cannot list the records of limits")
		return fleet.SlotsReclaimed{}
	}
	total := 0
	for _, item := range list {
		freed, err := r.reclaimFrom(ctx, item.Key, expired)
		if err != nil {
			r.log.WithError(err).Warnf("limits: reclaim of slots from record %s failed", item.Key)
			return fleet.SlotsReclaimed{}
		}
		total += freed
	}
	for _, holder := range expired {
		if err := r.deleteHolder(ctx, holder); err != nil {
			r.log.WithError(err).Warnf("limits: deletion of the record of holder %s failed", holder)
			return fleet.SlotsReclaimed{}
		}
		r.log.Infof("limits: slots of holder %s reclaimed", holder)
	}
	return fleet.SlotsReclaimed{Reclaimed: expired, Freed: total}
}

func (r *LimitRunner) reclaimFrom(ctx context.Context, key string, expired []contract.Holder) (int, error) {
	freed := 0
	err := r.retry(ctx, func() error {
		record, version, err := r.readAllotment(ctx, key)
		if err != nil {
			return err
		}
		next, slots := record.Remove(expired)
		if slots == 0 {
			return nil
		}
		freed = slots
		return r.writeAllotment(ctx, key, version, next)
	})
	return freed, err
}

// deleteHolder deletes the record of a holder. When the record belongs to a
// later incarnation, it only removes the holder from the former incarnations.
func (r *LimitRunner) deleteHolder(ctx context.Context, holder contract.Holder) error {
	key := HolderKey(holder.Instance)
	return r.retry(ctx, func() error {
		record, version, err := r.readHolder(ctx, key)
		if err != nil || version == 0 {
			return err
		}
		if record.Holder == holder {
			return r.store.Delete(ctx, key, version)
		}
		next, changed := record.RemoveFormer(holder)
		if !changed {
			return nil
		}
		return r.writeHolder(ctx, key, version, next)
	})
}

func (r *LimitRunner) endHold(ctx context.Context, holder contract.Holder) fleet.Event {
	if err := r.deleteHolder(ctx, holder); err != nil {
		r.log.WithError(err).Warn("limits: deletion of this instance's holder record failed")
	}
	return fleet.HoldEnded{}
}
