package zone

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// Retention is how long the result of an ended task can be read.
const Retention = 10 * time.Minute

// sealRetention is how long the seal of an adopted queue is kept. A partitioned
// writer abandons its queue after IntakeIdle, long before that.
const sealRetention = 24 * time.Hour

// storedSegment is one stored segment with the state of its next write.
type storedSegment struct {
	Ref     SegmentRef
	Segment Segment
	// Version is the platform's version that the next write expects.
	Version uint64
	// inFlight is the write that was sent and not answered, nil if there is
	// none.
	inFlight *SegmentWrite
	addedAt  time.Time
}

// taskEntry is one task of the ledger. Invariant: Task points into the segment
// of record.
type taskEntry struct {
	Task   *machine.Task
	record *storedSegment
}

// Ledger is the scheduler's copy of the stored queue of a data centre. Tasks
// are modified in memory; MarkDirty marks their segment for the next write.
type Ledger struct {
	scheduler  string
	writeCount uint64
	records    map[string]*storedSegment
	dirty      map[*storedSegment]bool
	tasks      map[string]taskEntry
	// queues maps each queue to its highest segment number.
	queues map[string]uint64
	sealed map[string]bool
	// pendingCancels holds cancellations of tasks whose segment was not read
	// yet, by task id.
	pendingCancels map[string]pendingCancel
}

type pendingCancel struct {
	team string
	at   time.Time
}

// NewLedger returns an empty ledger. Scheduler identifies the scheduler and its
// term; it makes the stamps of writes unique.
func NewLedger(scheduler string) *Ledger {
	return &Ledger{
		scheduler:      scheduler,
		records:        make(map[string]*storedSegment),
		dirty:          make(map[*storedSegment]bool),
		tasks:          make(map[string]taskEntry),
		queues:         make(map[string]uint64),
		sealed:         make(map[string]bool),
		pendingCancels: make(map[string]pendingCancel),
	}
}

// Add adds a stored segment and returns its tasks that are not final. A segment
// that the ledger already holds is ignored.
func (l *Ledger) Add(ref SegmentRef, s Segment, version uint64, now time.Time) []*machine.Task {
	key := ref.Key()
	if l.records[key] != nil {
		return nil
	}
	r := &storedSegment{Ref: ref, Segment: s, Version: version, addedAt: now}
	l.records[key] = r
	l.queues[ref.Queue] = max(l.queues[ref.Queue], ref.Number)
	if s.SealedBy != "" {
		l.sealed[ref.Queue] = true
	}
	var open []*machine.Task
	for i := range r.Segment.Tasks {
		t := &r.Segment.Tasks[i]
		l.tasks[t.ID] = taskEntry{Task: t, record: r}
		if !t.Final() {
			t.MarkRecovered()
			open = append(open, t)
		}
	}
	return open
}

// Task returns the task with the given id, or nil if it is unknown.
func (l *Ledger) Task(id string) *machine.Task { return l.tasks[id].Task }

// Tasks returns the number of tasks, including ended ones.
func (l *Ledger) Tasks() int { return len(l.tasks) }

// Each calls visit for every task, in no particular order.
func (l *Ledger) Each(visit func(*machine.Task)) {
	for _, e := range l.tasks {
		visit(e.Task)
	}
}

// Open returns the tasks that are not final, ordered by id.
func (l *Ledger) Open() []*machine.Task {
	var open []*machine.Task
	for _, e := range l.tasks {
		if !e.Task.Final() {
			open = append(open, e.Task)
		}
	}
	slices.SortFunc(open, func(a, b *machine.Task) int { return cmp.Compare(a.ID, b.ID) })
	return open
}

// NextSegment returns the number of the next segment that the queue's writer
// will create.
func (l *Ledger) NextSegment(queue string) uint64 { return l.queues[queue] + 1 }

// Sealed reports whether a scheduler adopted the queue.
func (l *Ledger) Sealed(queue string) bool { return l.sealed[queue] }

// MarkDirty marks the segment of a task for the next write.
func (l *Ledger) MarkDirty(task string) {
	if e, ok := l.tasks[task]; ok {
		l.dirty[e.record] = true
	}
}

// Cancelled is one task that was cancelled by a batch.
type Cancelled struct {
	Task *machine.Task
	// Worker is the worker that must be told to stop the task, empty if the
	// task was not started.
	Worker string
}

// Cancel applies a batch of cancellations. Tasks of other teams are not
// affected. Cancellations of unknown tasks are stored for ApplyPendingCancels.
func (l *Ledger) Cancel(c Cancel, now time.Time) []Cancelled {
	var list []Cancelled
	for _, id := range c.IDs {
		e, ok := l.tasks[id]
		if !ok {
			l.pendingCancels[id] = pendingCancel{c.Team, now}
			continue
		}
		if cancelled, ok := l.cancel(e, c.Team, now); ok {
			list = append(list, cancelled)
		}
	}
	return list
}

func (l *Ledger) cancel(e taskEntry, team string, now time.Time) (Cancelled, bool) {
	if e.Task.Team != team {
		return Cancelled{}, false
	}
	worker, ok := e.Task.Cancel(now)
	if ok {
		l.dirty[e.record] = true
	}
	return Cancelled{e.Task, worker}, ok
}

// ApplyPendingCancels applies the cancellations that were read before the given
// tasks.
func (l *Ledger) ApplyPendingCancels(tasks []*machine.Task, now time.Time) []Cancelled {
	var list []Cancelled
	for _, t := range tasks {
		c, ok := l.pendingCancels[t.ID]
		if !ok {
			continue
		}
		delete(l.pendingCancels, t.ID)
		if cancelled, ok := l.cancel(l.tasks[t.ID], c.team, now); ok {
			list = append(list, cancelled)
		}
	}
	return list
}

// SegmentWrite is one write of a segment by the scheduler.
type SegmentWrite struct {
	Key     string
	Version uint64
	Segment Segment
}

// BeginWrites returns the writes that store the current state of the given
// tasks, and marks them as in flight. A segment that already has a write in
// flight is left out and stays dirty.
func (l *Ledger) BeginWrites(tasks []*machine.Task) []SegmentWrite {
	var list []SegmentWrite
	for _, t := range tasks {
		r := l.tasks[t.ID].record
		if r != nil && l.dirty[r] && r.inFlight == nil {
			list = append(list, l.write(r))
		}
	}
	return list
}

// BeginDirtyWrites returns writes for at most limit dirty segments, and marks
// them as in flight.
func (l *Ledger) BeginDirtyWrites(limit int) []SegmentWrite {
	var keys []string
	for r := range l.dirty {
		if r.inFlight == nil {
			keys = append(keys, r.Ref.Key())
		}
	}
	slices.Sort(keys)
	var list []SegmentWrite
	for _, key := range keys[:min(len(keys), limit)] {
		list = append(list, l.write(l.records[key]))
	}
	return list
}

func (l *Ledger) write(r *storedSegment) SegmentWrite {
	l.writeCount++
	r.Segment.Stamp = fmt.Sprintf("%s/%d", l.scheduler, l.writeCount)
	delete(l.dirty, r)
	w := SegmentWrite{Key: r.Ref.Key(), Version: r.Version, Segment: r.Segment.Clone()}
	r.inFlight = &w
	return w
}

// Dirty reports whether a segment has changes that are not written.
func (l *Ledger) Dirty() bool { return len(l.dirty) > 0 }

// WriteSucceeded records that a write succeeded. It returns the running tasks
// whose current start the write stored, and those that were started after it
// was sent.
func (l *Ledger) WriteSucceeded(key, stamp string, version uint64) (recorded, changed []*machine.Task) {
	r := l.records[key]
	if r == nil || r.inFlight == nil || r.inFlight.Segment.Stamp != stamp {
		return nil, nil
	}
	written := r.inFlight.Segment.Tasks
	r.inFlight, r.Version = nil, version
	for i := range r.Segment.Tasks {
		t, w := &r.Segment.Tasks[i], &written[i]
		if t.Phase != machine.TaskRunning {
			continue
		}
		if w.Phase == machine.TaskRunning && w.Worker == t.Worker && w.Attempts == t.Attempts {
			recorded = append(recorded, t)
			continue
		}
		changed = append(changed, t)
	}
	return recorded, changed
}

// WriteFailed records that a write failed or that its result is unknown. The
// segment becomes dirty again; if the write took effect after all, its stamp
// shows it.
func (l *Ledger) WriteFailed(key, stamp string) {
	if r := l.records[key]; r != nil && r.inFlight != nil && r.inFlight.Segment.Stamp == stamp {
		r.inFlight = nil
		l.dirty[r] = true
	}
}

// SegmentRemoval is one segment to delete.
type SegmentRemoval struct {
	Key     string
	Version uint64
}

// Expire removes the segments whose tasks ended more than Retention ago and
// returns them for deletion. The highest segment of a queue that is still
// written stays, since a new scheduler continues from its number.
func (l *Ledger) Expire(now time.Time) []SegmentRemoval {
	var list []SegmentRemoval
	for key, r := range l.records {
		since, ok := r.Segment.finalSince()
		if r.addedAt.After(since) {
			since = r.addedAt
		}
		last := r.Ref.Number == l.queues[r.Ref.Queue]
		if last && l.sealed[r.Ref.Queue] && now.Sub(r.addedAt) > sealRetention {
			last = false
			delete(l.queues, r.Ref.Queue)
		}
		if !ok || l.dirty[r] || r.inFlight != nil || now.Sub(since) < Retention || last {
			continue
		}
		for i := range r.Segment.Tasks {
			delete(l.tasks, r.Segment.Tasks[i].ID)
		}
		delete(l.records, key)
		list = append(list, SegmentRemoval{key, r.Version})
	}
	for id, c := range l.pendingCancels {
		if now.Sub(c.at) > Retention {
			delete(l.pendingCancels, id)
		}
	}
	slices.SortFunc(list, func(a, b SegmentRemoval) int { return cmp.Compare(a.Key, b.Key) })
	return list
}
