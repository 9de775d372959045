package fleet

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/zone"
)

// LoadQueue reads the roster (the list of queues) of a data centre and the
// segments of all its queues. The result is QueueLoaded.
type LoadQueue struct {
	Term       uint64
	DataCentre string
	Delay      time.Duration
}

func (LoadQueue) isAction() {}

// WatchRoster waits for Delay and then until the version of the roster is above
// After. The result is RosterSeen.
type WatchRoster struct {
	Term       uint64
	DataCentre string
	After      uint64
	Delay      time.Duration
}

func (WatchRoster) isAction() {}

// WatchSegment waits for the next segment of a queue. The result is
// SegmentSeen.
type WatchSegment struct {
	Term  uint64
	Ref   zone.SegmentRef
	Delay time.Duration
}

func (WatchSegment) isAction() {}

// SealQueue seals a queue by creating its next segment with SealedBy set, so
// that its writer can add no more tasks. The result is SegmentSeen.
type SealQueue struct {
	Term     uint64
	Ref      zone.SegmentRef
	SealedBy string
}

func (SealQueue) isAction() {}

// RemoveQueue removes a sealed queue from the roster. It has no result.
type RemoveQueue struct{ DataCentre, Queue string }

func (RemoveQueue) isAction() {}

// WriteSegment stores a changed segment. The result is SegmentStored.
type WriteSegment struct {
	Term  uint64
	Write zone.SegmentWrite
}

func (WriteSegment) isAction() {}

// RemoveSegments deletes old segments. It has no result: a later term deletes
// the segments that remain after a failure.
type RemoveSegments struct{ Removals []zone.SegmentRemoval }

func (RemoveSegments) isAction() {}

// StoredSegment is one segment as read from the platform.
type StoredSegment struct {
	Ref     zone.SegmentRef
	Segment zone.Segment
	Version uint64
}

// QueueLoaded reports the end of a LoadQueue.
type QueueLoaded struct {
	Term          uint64
	OK            bool
	Queues        []string
	RosterVersion uint64
	Segments      []StoredSegment
}

// Apply implements Event. It takes over the stored tasks, whichever instance or
// scheduler wrote them.
func (e QueueLoaded) Apply(f *Fleet, now time.Time) []Action {
	s := f.scheduler(e.Term)
	if s == nil {
		return nil
	}
	if !e.OK {
		return []Action{LoadQueue{Term: s.term, DataCentre: s.centre.Name, Delay: PlatformRetryDelay}}
	}
	for _, stored := range e.Segments {
		f.addSegment(s, stored, now)
	}
	var actions []Action
	for _, stored := range e.Segments {
		actions = append(actions, f.cancelBatch(s, stored.Segment.Cancels, now)...)
	}
	s.queueLoaded, s.changed = true, true
	actions = append(actions, f.watchQueues(s, e.Queues, now)...)
	actions = append(actions, f.takeOverTasks(s, now)...)
	return append(actions, WatchRoster{Term: s.term, DataCentre: s.centre.Name, After: e.RosterVersion})
}

func (f *Fleet) addSegment(s *scheduler, stored StoredSegment, now time.Time) []*machine.Task {
	open := s.ledger.Add(stored.Ref, stored.Segment, stored.Version, now)
	for _, t := range open {
		if t.Phase == machine.TaskQueued {
			s.centre.Workers.Backlog().Add(t)
		}
	}
	s.changed = s.changed || len(open) > 0
	return open
}

// watchQueues starts the watches of the queues that are neither watched nor
// sealed.
func (f *Fleet) watchQueues(s *scheduler, queues []string, now time.Time) []Action {
	var actions []Action
	for _, queue := range queues {
		if _, ok := s.watchedQueues[queue]; ok || s.ledger.Sealed(queue) {
			continue
		}
		s.watchedQueues[queue] = now
		actions = append(actions, s.watchNext(queue, 0))
	}
	return actions
}

func (s *scheduler) watchNext(queue string, delay time.Duration) Action {
	ref := zone.SegmentRef{DataCentre: s.centre.Name, Queue: queue, Number: s.ledger.NextSegment(queue)}
	return WatchSegment{Term: s.term, Ref: ref, Delay: delay}
}

// RosterSeen reports the end of a WatchRoster.
type RosterSeen struct {
	Term    uint64
	OK      bool
	Version uint64
	Queues  []string
}

// Apply implements Event.
func (e RosterSeen) Apply(f *Fleet, now time.Time) []Action {
	s := f.scheduler(e.Term)
	if s == nil {
		return nil
	}
	if !e.OK {
		return []Action{WatchRoster{Term: s.term, DataCentre: s.centre.Name, After: e.Version, Delay: PlatformRetryDelay}}
	}
	actions := f.watchQueues(s, e.Queues, now)
	return append(actions, WatchRoster{Term: s.term, DataCentre: s.centre.Name, After: e.Version})
}

// SegmentSeen reports the end of a WatchSegment or SealQueue.
type SegmentSeen struct {
	Term uint64
	OK   bool
	Ref  zone.SegmentRef
	// Found is false when the segment does not exist yet.
	Found   bool
	Segment zone.Segment
	Version uint64
}

// Apply implements Event.
func (e SegmentSeen) Apply(f *Fleet, now time.Time) []Action {
	s := f.scheduler(e.Term)
	if s == nil {
		return nil
	}
	if !e.OK {
		return []Action{s.watchNext(e.Ref.Queue, PlatformRetryDelay)}
	}
	if !e.Found {
		return f.handleIdleQueue(s, e.Ref, now)
	}
	s.watchedQueues[e.Ref.Queue] = now
	open := f.addSegment(s, StoredSegment{e.Ref, e.Segment, e.Version}, now)
	actions := f.stopCancelled(s, s.ledger.ApplyPendingCancels(open, now), now)
	actions = append(actions, f.cancelBatch(s, e.Segment.Cancels, now)...)
	if e.Segment.SealedBy != "" {
		return append(actions, RemoveQueue{DataCentre: s.centre.Name, Queue: e.Ref.Queue})
	}
	actions = append(actions, s.watchNext(e.Ref.Queue, 0))
	return append(actions, f.tickSchedule(now)...)
}

// handleIdleQueue seals a queue that got no segment for zone.SealAfter, because
// its writer is presumed to have stopped. Otherwise it continues the watch.
func (f *Fleet) handleIdleQueue(s *scheduler, ref zone.SegmentRef, now time.Time) []Action {
	if now.Sub(s.watchedQueues[ref.Queue]) < zone.SealAfter || !f.canAct(s, now) {
		return []Action{s.watchNext(ref.Queue, 0)}
	}
	f.recordDecision(Decision{
		At: now, Subject: Subject{SubjectDataCentre, s.centre.Name}, Action: "adopt queue",
		Reason: "no segment was added for " + zone.SealAfter.String(), Inputs: []Input{{"queue", ref.Queue}},
	})
	return []Action{SealQueue{Term: s.term, Ref: ref, SealedBy: f.schedulerName()}}
}

// SegmentStored reports the end of a WriteSegment.
type SegmentStored struct {
	Term       uint64
	Key, Stamp string
	Version    uint64
	// OK is true when the write is known to have taken effect. Conflict means
	// that another scheduler wrote the segment.
	OK, Conflict bool
}

// Apply implements Event. A conflict ends the term: the next term reads the
// stored state of all tasks.
func (e SegmentStored) Apply(f *Fleet, now time.Time) []Action {
	s := f.scheduler(e.Term)
	if s == nil {
		return nil
	}
	if e.Conflict {
		return f.endTerm(now, "another scheduler wrote "+e.Key)
	}
	if !e.OK {
		s.ledger.WriteFailed(e.Key, e.Stamp)
		return nil
	}
	recorded, changed := s.ledger.WriteSucceeded(e.Key, e.Stamp, e.Version)
	var actions []Action
	for _, t := range recorded {
		if s.recording[t] {
			delete(s.recording, t)
			actions = append(actions, f.startActions(s, t, now)...)
		}
	}
	return append(actions, s.writeRecording(changed)...)
}

// writeRecording writes the segments of those of the given tasks whose start
// waits until the assignment is recorded.
func (s *scheduler) writeRecording(tasks []*machine.Task) []Action {
	var waiting []*machine.Task
	for _, t := range tasks {
		if s.recording[t] {
			waiting = append(waiting, t)
		}
	}
	var actions []Action
	for _, w := range s.ledger.BeginWrites(waiting) {
		actions = append(actions, WriteSegment{Term: s.term, Write: w})
	}
	return actions
}
