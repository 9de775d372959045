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

// Key prefixes of the task queues.
const (
	rosterPrefix    = "roster/"
	offerPrefix     = "offer/"
	schedulerPrefix = "lease/scheduler/"
)

// Waits and attempts of the task queue.
const (
	// segmentWait is the wait of one watch for the next segment or the roster.
	// Nothing is proved by its answer, so that it may be longer than WatchWait. A
	// connection that goes silent is noticed after the wait and the call timeout
	// of 2 s, which must stay below the 7.7 s for the start of urgent work.
	segmentWait = 4 * time.Second
	// electionWait is the wait of one watch of the scheduler's lease. The end of
	// the lease ends it at once.
	electionWait  = 4 * time.Second
	queueAttempts = 4
	queuePause    = 50 * time.Millisecond
)

// runTasks performs the actions of the task queue and the scheduler; the second
// result is false for other actions.
func (r *PlatformRunner) runTasks(ctx context.Context, a fleet.Action) (fleet.Event, bool) {
	switch a := a.(type) {
	case fleet.RegisterQueue:
		return r.registerQueue(ctx, a), true
	case fleet.WriteGroup:
		return r.writeGroup(ctx, a), true
	case fleet.ReadOffer:
		return r.readOffer(ctx, a), true
	case fleet.PublishOffer:
		return r.publishOffer(ctx, a), true
	case fleet.SeekScheduler:
		return r.seekScheduler(ctx, a), true
	case fleet.KeepScheduler:
		return r.keepScheduler(ctx, a), true
	case fleet.LoadQueue:
		return r.loadQueue(ctx, a), true
	case fleet.WatchRoster:
		return r.watchRoster(ctx, a), true
	case fleet.WatchSegment:
		return r.watchSegment(ctx, a), true
	case fleet.SealQueue:
		return r.sealQueue(ctx, a), true
	case fleet.DropQueue:
		return r.dropQueue(ctx, a), true
	case fleet.WriteSegment:
		return r.writeSegment(ctx, a), true
	case fleet.RemoveSegments:
		return r.removeSegments(ctx, a), true
	default:
		return r.runWorkers(ctx, a)
	}
}

// roster is the value of a data centre's roster key: the queues that the
// scheduler must read.
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

// changeRoster applies change until the stored roster reflects it.
func (r *PlatformRunner) changeRoster(ctx context.Context, dataCentre string, change func(*roster) bool) error {
	var last error
	for range queueAttempts {
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
		last = err
		if !pause(ctx, queuePause) {
			break
		}
	}
	return last
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
		r.log.WithError(err).Warnf("schedule: queue %s is not registered", a.Queue)
	}
	return fleet.QueueRegistered{DataCentre: a.DataCentre, Queue: a.Queue, OK: err == nil, SentAt: sent}
}

func (r *PlatformRunner) dropQueue(ctx context.Context, a fleet.DropQueue) fleet.Event {
	err := r.changeRoster(ctx, a.DataCentre, func(list *roster) bool {
		before := len(list.Queues)
		list.Queues = slices.DeleteFunc(list.Queues, func(q string) bool { return q == a.Queue })
		return len(list.Queues) < before
	})
	if err != nil {
		r.log.WithError(err).Debugf("schedule: queue %s stays on the roster", a.Queue)
	}
	return nil
}

// writeGroup creates the segment of a group. A conflict or a lost answer is
// resolved by reading which group holds the key.
func (r *PlatformRunner) writeGroup(ctx context.Context, a fleet.WriteGroup) fleet.Event {
	ended := func(o zone.GroupOutcome) fleet.Event { return fleet.GroupEnded{Ref: a.Ref, Outcome: o} }
	value, err := json.Marshal(a.Segment)
	if err != nil || len(value) > platform.MaxValueSize {
		r.log.Errorf("schedule: segment %s of %d bytes cannot be stored: %v", a.Ref.Key(), len(value), err)
		return ended(zone.GroupRefused)
	}
	maybeWritten := false
	for range queueAttempts {
		_, err := r.platform.Swap(ctx, a.Ref.Key(), 0, value, 0)
		if err == nil {
			return ended(zone.GroupWritten)
		}
		maybeWritten = maybeWritten || errors.Is(err, platform.ErrUnknown)
		stored, found, err := r.readSegment(ctx, a.Ref)
		if err == nil && found {
			return ended(holderOf(stored.Segment, a.Segment))
		}
		if !pause(ctx, queuePause) {
			break
		}
	}
	if maybeWritten {
		return ended(zone.GroupUnknown)
	}
	return ended(zone.GroupRefused)
}

// holderOf tells whose write created a stored segment.
func holderOf(stored, own zone.Segment) zone.GroupOutcome {
	switch {
	case stored.Group == own.Group:
		return zone.GroupWritten
	case stored.SealedBy != "":
		return zone.GroupSealed
	default:
		return zone.GroupTaken
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

func (r *PlatformRunner) readOffer(ctx context.Context, a fleet.ReadOffer) fleet.Event {
	read := fleet.OfferRead{DataCentre: a.DataCentre}
	record, err := r.platform.Get(ctx, offerPrefix+a.DataCentre)
	if err != nil {
		return read
	}
	if err := json.Unmarshal(record.Value, &read.Largest); err != nil {
		r.log.WithError(err).Errorf("schedule: the offer of %s cannot be decoded", a.DataCentre)
	}
	return read
}

func (r *PlatformRunner) publishOffer(ctx context.Context, a fleet.PublishOffer) fleet.Event {
	value, err := json.Marshal(a.Largest)
	if err != nil {
		r.log.WithError(err).Error("schedule: the offer cannot be encoded")
		return nil
	}
	key := offerPrefix + a.DataCentre
	for range queueAttempts {
		record, err := r.platform.Get(ctx, key)
		if err == nil || errors.Is(err, platform.ErrNotFound) {
			if _, err = r.platform.Swap(ctx, key, record.Version, value, 0); err == nil {
				return nil
			}
		}
		if !pause(ctx, queuePause) {
			return nil
		}
	}
	return nil
}

func (r *PlatformRunner) seekScheduler(ctx context.Context, a fleet.SeekScheduler) fleet.Event {
	if !pause(ctx, a.Delay) {
		return nil
	}
	key := schedulerPrefix + a.DataCentre
	record, err := r.platform.Get(ctx, key)
	if err == nil {
		holder := string(record.Value)
		record, err = r.platform.Watch(ctx, key, record.Version, electionWait)
		if err != nil || record.Version != 0 {
			return fleet.SchedulerBusy{Holder: holder}
		}
	}
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return fleet.SchedulerBusy{}
	}
	sent := r.clock()
	lease, err := r.platform.Grant(ctx, fleet.SchedulerTTL)
	if err != nil {
		return fleet.SchedulerBusy{}
	}
	if _, err := r.platform.Swap(ctx, key, 0, []byte(a.Holder), lease); err != nil {
		_ = r.platform.Revoke(ctx, lease)
		return fleet.SchedulerBusy{}
	}
	r.log.Infof("schedule: scheduler of %s", a.DataCentre)
	return fleet.SchedulerElected{Lease: uint64(lease), SentAt: sent}
}

func (r *PlatformRunner) keepScheduler(ctx context.Context, a fleet.KeepScheduler) fleet.Event {
	if !pause(ctx, a.Delay) {
		_ = r.platform.Revoke(context.WithoutCancel(ctx), platform.LeaseID(a.Lease))
		return nil
	}
	sent := r.clock()
	err := r.platform.KeepAlive(ctx, platform.LeaseID(a.Lease))
	return fleet.SchedulerKept{Term: a.Term, SentAt: sent, OK: err == nil, Lost: errors.Is(err, platform.ErrLeaseLost)}
}

func (r *PlatformRunner) loadQueue(ctx context.Context, a fleet.LoadQueue) fleet.Event {
	if !pause(ctx, a.Delay) {
		return nil
	}
	loaded := fleet.QueueLoaded{Term: a.Term}
	list, version, err := r.readRoster(ctx, a.DataCentre)
	if err == nil {
		loaded.Queues, loaded.RosterVersion = list.Queues, uint64(version)
		loaded.Segments, err = listSegments(ctx, r.platform, a.DataCentre)
	}
	if err != nil {
		r.log.WithError(err).Warn("schedule: the queue cannot be read")
	}
	loaded.OK = err == nil
	return loaded
}

// listSegments reads all segments of a data centre.
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
	if !pause(ctx, a.Delay) {
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
			r.log.WithError(err).Error("schedule: the roster cannot be decoded")
			return seen
		}
	}
	seen.OK, seen.Queues = true, list.Queues
	return seen
}

func (r *PlatformRunner) watchSegment(ctx context.Context, a fleet.WatchSegment) fleet.Event {
	if !pause(ctx, a.Delay) {
		return nil
	}
	seen := fleet.SegmentSeen{Term: a.Term, Ref: a.Ref}
	record, err := r.platform.Watch(ctx, a.Ref.Key(), 0, segmentWait)
	if err != nil {
		return seen
	}
	return r.segmentSeen(seen, record)
}

func (r *PlatformRunner) segmentSeen(seen fleet.SegmentSeen, record platform.Record) fleet.Event {
	stored, found, err := decodeSegment(seen.Ref, record)
	if err != nil {
		r.log.WithError(err).Error("schedule: a segment cannot be decoded")
		return seen
	}
	seen.OK, seen.Found, seen.Segment, seen.Version = true, found, stored.Segment, stored.Version
	return seen
}

// sealQueue creates the seal; when the writer was faster its segment is read.
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
	return r.segmentSeen(seen, record)
}

// writeSegment stores a segment by compare-and-swap. After a lost answer the
// stamp tells whether this scheduler's write took effect.
func (r *PlatformRunner) writeSegment(ctx context.Context, a fleet.WriteSegment) fleet.Event {
	stored := fleet.SegmentStored{Term: a.Term, Key: a.Write.Key, Stamp: a.Write.Segment.Stamp}
	value, err := json.Marshal(a.Write.Segment)
	if err != nil {
		r.log.WithError(err).Errorf("schedule: %s cannot be encoded", a.Write.Key)
		return stored
	}
	expect := platform.Version(a.Write.Version)
	for range queueAttempts {
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
			case record.Version != expect && !sameScheduler(found.Stamp, stored.Stamp):
				stored.Conflict = true
				return stored
			}
			expect = record.Version
		}
		if !pause(ctx, queuePause) {
			return stored
		}
	}
	return stored
}

// sameScheduler reports whether two stamps come from one term of one scheduler.
func sameScheduler(a, b string) bool {
	nameA, _, _ := strings.Cut(a, "/")
	nameB, _, _ := strings.Cut(b, "/")
	return nameA == nameB
}

func (r *PlatformRunner) removeSegments(ctx context.Context, a fleet.RemoveSegments) fleet.Event {
	for _, removal := range a.Removals {
		err := r.platform.Delete(ctx, removal.Key, platform.Version(removal.Version))
		if err != nil {
			r.log.WithError(err).Debugf("schedule: %s stays", removal.Key)
		}
	}
	return nil
}

// TaskReader reads task states from the stored queues, at any entry instance.
type TaskReader struct{ store platform.Store }

// NewTaskReader returns a reader of s.
func NewTaskReader(s platform.Store) *TaskReader { return &TaskReader{store: s} }

// Show returns one task, with one read. It returns ErrNotFound for an id that
// was never accepted or whose task ended longer ago than zone.Retention.
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

// List returns the tasks of a data centre, of one team when team is not empty.
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
