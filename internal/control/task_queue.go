package control

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/platform"
	"github.com/crocusjunction/crocusjunction/internal/zone"
)

// Key prefixes of the rosters, the capacities of the largest workers and the
// scheduler leases.
const (
	rosterPrefix         = "roster/"
	largestWorkersPrefix = "offer/"
	schedulerLeasePrefix = "lease/scheduler/"
)

// Watch times, attempts and delays of calls about the task queue.
const (
	// segmentWait bounds one watch of the next segment or of the roster. The
	// answer does not serve as evidence that the configuration is fresh, so the
	// watch may be longer than headWatchWait. A dead connection is noticed after
	// this time plus the call timeout of 2 s; the sum must stay below the 7.7 s
	// within which urgent work must start.
	segmentWait = 4 * time.Second
	// schedulerLeaseWait bounds one watch of the scheduler's lease key. The watch
	// returns as soon as the lease ends.
	schedulerLeaseWait = 4 * time.Second
	maxQueueAttempts   = 4
	queueRetryDelay    = 50 * time.Millisecond
)

// runTaskQueue performs the actions on task queues, on the scheduler's lease
// and on workers. The second result is false for other actions.
func (r *PlatformRunner) runTaskQueue(ctx context.Context, a fleet.Action) (fleet.Event, bool) {
	switch a := a.(type) {
	case fleet.RegisterQueue:
		return r.registerQueue(ctx, a), true
	case fleet.WriteGroup:
		return r.writeGroup(ctx, a), true
	case fleet.ReadLargestWorkers:
		return r.readLargestWorkers(ctx, a), true
	case fleet.PublishLargestWorkers:
		return r.publishLargestWorkers(ctx, a), true
	case fleet.AcquireSchedulerLease:
		return r.acquireSchedulerLease(ctx, a), true
	case fleet.RenewSchedulerLease:
		return r.renewSchedulerLease(ctx, a), true
	case fleet.LoadQueue:
		return r.loadQueue(ctx, a), true
	case fleet.WatchRoster:
		return r.watchRoster(ctx, a), true
	case fleet.WatchSegment:
		return r.watchSegment(ctx, a), true
	case fleet.SealQueue:
		return r.sealQueue(ctx, a), true
	case fleet.RemoveQueue:
		return r.removeQueue(ctx, a), true
	case fleet.WriteSegment:
		return r.writeSegment(ctx, a), true
	case fleet.RemoveSegments:
		return r.removeSegments(ctx, a), true
	default:
		return r.runWorkers(ctx, a)
	}
}

// roster is the value of a data centre's roster key. It lists the queues that
// the scheduler of the data centre must read.
type roster struct {
	Queues []string `json:"queues"`
}

func (r *PlatformRunner) readRoster(ctx context.Context, dataCentre string) (roster, platform.Version, error) {
	var list roster
	record, err := r.platform.Get(ctx, rosterPrefix+dataCentre)
	if errors.Is(err, platform.ErrNotFound) {
		return list, 0, nil
	}
	if err != nil {
		return list, 0, errors.Wrap(err, "read roster")
	}
	if err := json.Unmarshal(record.Value, &list); err != nil {
		return list, 0, errors.Wrap(err, "decode roster")
	}
	return list, record.Version, nil
}

// changeRoster stores the roster that change modifies. It reads the roster
// again and retries after a failed write; change returns false when the roster
// needs no write.
func (r *PlatformRunner) changeRoster(ctx context.Context, dataCentre string, change func(*roster) bool) error {
	var lastErr error
	for range maxQueueAttempts {
		list, version, err := r.readRoster(ctx, dataCentre)
		if err == nil {
			if !change(&list) {
				return nil
			}
			value, encodeErr := json.Marshal(list)
			if encodeErr != nil {
				return errors.Wrap(encodeErr, "encode roster")
			}
			_, err = r.platform.Swap(ctx, rosterPrefix+dataCentre, version, value, 0)
			if err == nil {
				return nil
			}
		}
		lastErr = err
		if !sleep(ctx, queueRetryDelay) {
			break
		}
	}
	return lastErr
}

func (r *PlatformRunner) registerQueue(ctx context.Context, a fleet.RegisterQueue) fleet.Event {
	sent := r.clock()
	err := r.changeRoster(ctx, a.DataCentre, func(list *roster) bool {
		if slices.Contains(list.Queues, a.Queue) {
			return false
		}
		list.Queues = append(list.Queues, a.Queue)
		return true
	})
	if err != nil {
		r.log.WithError(err).Warnf("schedule: registration of queue %s failed", a.Queue)
	}
	return fleet.QueueRegistered{DataCentre: a.DataCentre, Queue: a.Queue, OK: err == nil, SentAt: sent}
}

func (r *PlatformRunner) removeQueue(ctx context.Context, a fleet.RemoveQueue) fleet.Event {
	err := r.changeRoster(ctx, a.DataCentre, func(list *roster) bool {
		before := len(list.Queues)
		list.Queues = slices.DeleteFunc(list.Queues, func(q string) bool { return q == a.Queue })
		return len(list.Queues) < before
	})
	if err != nil {
		r.log.WithError(err).Debugf("schedule: removal of queue %s from the roster failed", a.Queue)
	}
	return nil
}

// writeGroup creates the segment of a group. After a conflict or a lost answer
// it reads the key to find out which group was written there.
func (r *PlatformRunner) writeGroup(ctx context.Context, a fleet.WriteGroup) fleet.Event {
	ended := func(o zone.GroupOutcome) fleet.Event { return fleet.GroupEnded{Ref: a.Ref, Outcome: o} }
	value, err := json.Marshal(a.Segment)
	if err != nil || len(value) > platform.MaxValueSize {
		r.log.Errorf("schedule: cannot store segment %s of %d bytes: %v", a.Ref.Key(), len(value), err)
		return ended(zone.GroupRefused)
	}
	maybeWritten := false
	for range maxQueueAttempts {
		_, err := r.platform.Swap(ctx, a.Ref.Key(), 0, value, 0)
		if err == nil {
			return ended(zone.GroupWritten)
		}
		maybeWritten = maybeWritten || errors.Is(err, platform.ErrOutcomeUnknown)
		stored, found, err := r.readSegment(ctx, a.Ref)
		if err == nil && found {
			return ended(groupOutcome(stored.Segment, a.Segment))
		}
		if !sleep(ctx, queueRetryDelay) {
			break
		}
	}
	if maybeWritten {
		return ended(zone.GroupUnknown)
	}
	return ended(zone.GroupRefused)
}

// groupOutcome returns the outcome of writing own to a key that holds stored.
func groupOutcome(stored, own zone.Segment) zone.GroupOutcome {
	switch {
	case stored.Group == own.Group:
		return zone.GroupWritten
	case stored.SealedBy != "":
		return zone.GroupSealed
	default:
		return zone.GroupNumberTaken
	}
}

func (r *PlatformRunner) readSegment(ctx context.Context, ref zone.SegmentRef) (fleet.StoredSegment, bool, error) {
	record, err := r.platform.Get(ctx, ref.Key())
	if errors.Is(err, platform.ErrNotFound) {
		return fleet.StoredSegment{}, false, nil
	}
	if err != nil {
		return fleet.StoredSegment{}, false, errors.Wrap(err, "read segment")
	}
	return decodeSegment(ref, record)
}

func decodeSegment(ref zone.SegmentRef, record platform.Record) (fleet.StoredSegment, bool, error) {
	stored := fleet.StoredSegment{Ref: ref, Version: uint64(record.Version)}
	if record.Version == 0 {
		return stored, false, nil
	}
	if err := json.Unmarshal(record.Value, &stored.Segment); err != nil {
		return stored, false, errors.Wrapf(err, "decode %s", record.Key)
	}
	return stored, true, nil
}

func (r *PlatformRunner) readLargestWorkers(ctx context.Context, a fleet.ReadLargestWorkers) fleet.Event {
	read := fleet.LargestWorkersRead{DataCentre: a.DataCentre}
	record, err := r.platform.Get(ctx, largestWorkersPrefix+a.DataCentre)
	if err != nil {
		return read
	}
	if err := json.Unmarshal(record.Value, &read.Largest); err != nil {
		r.log.WithError(err).Errorf("schedule: cannot decode the largest workers of data centre %s", a.DataCentre)
	}
	return read
}

func (r *PlatformRunner) publishLargestWorkers(ctx context.Context, a fleet.PublishLargestWorkers) fleet.Event {
	value, err := json.Marshal(a.Largest)
	if err != nil {
		r.log.WithError(err).Error("schedule: cannot encode the largest workers")
		return nil
	}
	key := largestWorkersPrefix + a.DataCentre
	for range maxQueueAttempts {
		record, err := r.platform.Get(ctx, key)
		if err == nil || errors.Is(err, platform.ErrNotFound) {
			if _, err = r.platform.Swap(ctx, key, record.Version, value, 0); err == nil {
				return nil
			}
		}
		if !sleep(ctx, queueRetryDelay) {
			return nil
		}
	}
	return nil
}

func (r *PlatformRunner) acquireSchedulerLease(ctx context.Context, a fleet.AcquireSchedulerLease) fleet.Event {
	if !sleep(ctx, a.Delay) {
		return nil
	}
	key := schedulerLeasePrefix + a.DataCentre
	record, err := r.platform.Get(ctx, key)
	if err == nil {
		holder := string(record.Value)
		record, err = r.platform.Watch(ctx, key, record.Version, schedulerLeaseWait)
		if err != nil || record.Version != 0 {
			return fleet.SchedulerLeaseNotAcquired{Holder: holder}
		}
	}
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return fleet.SchedulerLeaseNotAcquired{}
	}
	sent := r.clock()
	lease, err := r.platform.Grant(ctx, fleet.SchedulerTTL)
	if err != nil {
		return fleet.SchedulerLeaseNotAcquired{}
	}
	if _, err := r.platform.Swap(ctx, key, 0, []byte(a.Holder), lease); err != nil {
		_ = r.platform.Revoke(ctx, lease)
		return fleet.SchedulerLeaseNotAcquired{}
	}
	r.log.Infof("schedule: scheduler lease of data centre %s acquired", a.DataCentre)
	return fleet.SchedulerLeaseAcquired{Lease: uint64(lease), SentAt: sent}
}

func (r *PlatformRunner) renewSchedulerLease(ctx context.Context, a fleet.RenewSchedulerLease) fleet.Event {
	if !sleep(ctx, a.Delay) {
		_ = r.platform.Revoke(context.WithoutCancel(ctx), platform.LeaseID(a.Lease))
		return nil
	}
	sent := r.clock()
	err := r.platform.KeepAlive(ctx, platform.LeaseID(a.Lease))
	return fleet.SchedulerLeaseChecked{Term: a.Term, SentAt: sent, OK: err == nil, Lost: errors.Is(err, platform.ErrLeaseLost)}
}

func (r *PlatformRunner) loadQueue(ctx context.Context, a fleet.LoadQueue) fleet.Event {
	if !sleep(ctx, a.Delay) {
		return nil
	}
	loaded := fleet.QueueLoaded{Term: a.Term}
	list, version, err := r.readRoster(ctx, a.DataCentre)
	if err == nil {
		loaded.Queues, loaded.RosterVersion = list.Queues, uint64(version)
		loaded.Segments, err = listSegments(ctx, r.platform, a.DataCentre)
	}
	if err != nil {
		r.log.WithError(err).Warn("schedule: read of the task queues failed")
	}
	loaded.OK = err == nil
	return loaded
}

// listSegments reads all segments of a data centre, ordered by key. It skips
// keys that do not name a segment.
func listSegments(ctx context.Context, s platform.Store, dataCentre string) ([]fleet.StoredSegment, error) {
	records, err := s.List(ctx, zone.QueuePrefix(dataCentre))
	if err != nil {
		return nil, errors.Wrap(err, "list segments")
	}
	var list []fleet.StoredSegment
	for _, record := range records {
		ref, ok := zone.ParseSegmentKey(record.Key)
		if !ok {
			continue
		}
		stored, found, err := decodeSegment(ref, record)
		if err != nil {
			return nil, err
		}
		if found {
			list = append(list, stored)
		}
	}
	return list, nil
}

func (r *PlatformRunner) watchRoster(ctx context.Context, a fleet.WatchRoster) fleet.Event {
	if !sleep(ctx, a.Delay) {
		return nil
	}
	seen := fleet.RosterSeen{Term: a.Term, Version: a.After}
	record, err := r.platform.Watch(ctx, rosterPrefix+a.DataCentre, platform.Version(a.After), segmentWait)
	if err != nil {
		return seen
	}
	seen.Version = uint64(record.Version)
	var list roster
	if len(record.Value) > 0 {
		if err := json.Unmarshal(record.Value, &list); err != nil {
			r.log.WithError(err).Error("schedule: cannot decode the roster")
			return seen
		}
	}
	seen.OK, seen.Queues = true, list.Queues
	return seen
}

func (r *PlatformRunner) watchSegment(ctx context.Context, a fleet.WatchSegment) fleet.Event {
	if !sleep(ctx, a.Delay) {
		return nil
	}
	seen := fleet.SegmentSeen{Term: a.Term, Ref: a.Ref}
	record, err := r.platform.Watch(ctx, a.Ref.Key(), 0, segmentWait)
	if err != nil {
		return seen
	}
	return r.toSegmentSeen(seen, record)
}

func (r *PlatformRunner) toSegmentSeen(seen fleet.SegmentSeen, record platform.Record) fleet.Event {
	stored, found, err := decodeSegment(seen.Ref, record)
	if err != nil {
		r.log.WithError(err).Error("schedule: cannot decode a segment")
		return seen
	}
	seen.OK, seen.Found, seen.Segment, seen.Version = true, found, stored.Segment, stored.Version
	return seen
}

// sealQueue creates a seal as the queue's next segment and returns the segment
// that is stored: the seal, or a group that the queue's writer stored first.
func (r *PlatformRunner) sealQueue(ctx context.Context, a fleet.SealQueue) fleet.Event {
	seen := fleet.SegmentSeen{Term: a.Term, Ref: a.Ref}
	value, err := json.Marshal(zone.Segment{Group: "seal by " + a.SealedBy, SealedBy: a.SealedBy})
	if err != nil {
		return seen
	}
	_, _ = r.platform.Swap(ctx, a.Ref.Key(), 0, value, 0)
	record, err := r.platform.Get(ctx, a.Ref.Key())
	if err != nil {
		return seen
	}
	return r.toSegmentSeen(seen, record)
}

// writeSegment stores a segment by compare-and-swap. After a failed write it
// compares the stored stamp to find out whether its own write took effect or
// another scheduler's write has replaced the segment.
func (r *PlatformRunner) writeSegment(ctx context.Context, a fleet.WriteSegment) fleet.Event {
	stored := fleet.SegmentStored{Term: a.Term, Key: a.Write.Key, Stamp: a.Write.Segment.Stamp}
	value, err := json.Marshal(a.Write.Segment)
	if err != nil {
		r.log.WithError(err).Errorf("schedule: cannot encode segment %s", a.Write.Key)
		return stored
	}
	expect := platform.Version(a.Write.Version)
	for range maxQueueAttempts {
		version, err := r.platform.Swap(ctx, a.Write.Key, expect, value, 0)
		if err == nil {
			stored.OK, stored.Version = true, uint64(version)
			return stored
		}
		record, err := r.platform.Get(ctx, a.Write.Key)
		if err == nil {
			var found zone.Segment
			if json.Unmarshal(record.Value, &found) != nil {
				return stored
			}
			switch {
			case found.Stamp == stored.Stamp:
				stored.OK, stored.Version = true, uint64(record.Version)
				return stored
			case record.Version != expect && !sameTerm(found.Stamp, stored.Stamp):
				stored.Conflict = true
				return stored
			}
			expect = record.Version
		}
		if !sleep(ctx, queueRetryDelay) {
			return stored
		}
	}
	return stored
}

// sameTerm reports whether two stamps belong to one term of one scheduler. A
// stamp starts with the name of the term and a slash.
func sameTerm(a, b string) bool {
	termA, _, _ := strings.Cut(a, "/")
	termB, _, _ := strings.Cut(b, "/")
	return termA == termB
}

func (r *PlatformRunner) removeSegments(ctx context.Context, a fleet.RemoveSegments) fleet.Event {
	for _, removal := range a.Removals {
		err := r.platform.Delete(ctx, removal.Key, platform.Version(removal.Version))
		if err != nil {
			r.log.WithError(err).Debugf("schedule: removal of segment %s failed", removal.Key)
		}
	}
	return nil
}

// TaskReader reads task states from the queues in the platform. Unlike the
// scheduler's state, it is available in every entry instance.
type TaskReader struct{ store platform.Store }

// NewTaskReader returns a TaskReader that reads from s.
func NewTaskReader(s platform.Store) *TaskReader { return &TaskReader{store: s} }

// Show returns one task; it costs one platform call. It returns
// platform.ErrNotFound for an id that was never accepted or whose task ended
// longer than zone.Retention ago.
func (r *TaskReader) Show(ctx context.Context, id string) (machine.Task, error) {
	ref, index, ok := zone.ParseTaskID(id)
	if !ok {
		return machine.Task{}, platform.ErrNotFound
	}
	record, err := r.store.Get(ctx, ref.Key())
	if err != nil {
		return machine.Task{}, errors.Wrap(err, "read task")
	}
	stored, _, err := decodeSegment(ref, record)
	if err != nil {
		return machine.Task{}, err
	}
	if index >= len(stored.Segment.Tasks) {
		return machine.Task{}, platform.ErrNotFound
	}
	return stored.Segment.Tasks[index], nil
}

// List returns the tasks of a data centre. If team is not empty, it returns only
// the tasks of that team.
func (r *TaskReader) List(ctx context.Context, dataCentre, team string) ([]machine.Task, error) {
	segments, err := listSegments(ctx, r.store, dataCentre)
	if err != nil {
		return nil, err
	}
	var tasks []machine.Task
	for _, s := range segments {
		for _, t := range s.Segment.Tasks {
			if team == "" || t.Team == team {
				tasks = append(tasks, t)
			}
		}
	}
	return tasks, nil
}
