package zone

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// Retention is how long a caller can see the end of a task.
const Retention = 10 * time.Minute

// sealKept is how long the seal of an adopted queue stays. A writer that was
// away gives its queue up by itself long before.
const sealKept = 24 * time.Hour

// Record is one stored segment as the scheduler holds it.
type Record struct {
	Ref     SegmentRef
	Segment Segment
	// Version is the platform's version that the next write expects.
	Version uint64
	// writing is the write in flight, nil for none.
	writing *Write
	seenAt  time.Time
}

// Entry is one task of the ledger. Invariant: Task points into the segment of
// its record.
type Entry struct {
	Task   *machine.Task
	record *Record
}

// Ledger holds the stored queue of a data centre at its scheduler. Tasks change
// in memory; Changed marks their segment for the next write.
type Ledger struct {
	scheduler string
	writes    uint64
	records   map[string]*Record
	dirty     map[*Record]bool
	tasks     map[string]Entry
	// queues maps a queue to its highest segment.
	queues map[string]uint64
	sealed map[string]bool
	// early are cancellations of tasks that are not read yet.
	early map[string]earlyCancel
}

type earlyCancel struct {
	team string
	at   time.Time
}

// NewLedger returns an empty ledger. Scheduler identifies its holder and term.
func NewLedger(scheduler string) *Ledger {
	return &Ledger{
		scheduler: scheduler,
		records:   make(map[string]*Record),
		dirty:     make(map[*Record]bool),
		tasks:     make(map[string]Entry),
		queues:    make(map[string]uint64),
		sealed:    make(map[string]bool),
		early:     make(map[string]earlyCancel),
	}
}

// Add takes a segment as it is stored and returns its tasks that are not final.
// A known segment is not taken again.
func (l *Ledger) Add(ref SegmentRef, s Segment, version uint64, now time.Time) []*machine.Task {
	key := ref.Key()
	if l.records[key] != nil {
		return nil
	}
	r := &Record{Ref: ref, Segment: s, Version: version, seenAt: now}
	l.records[key] = r
	l.queues[ref.Queue] = max(l.queues[ref.Queue], ref.Number)
	if s.SealedBy != "" {
		l.sealed[ref.Queue] = true
	}
	var open []*machine.Task
	for i := range r.Segment.Tasks {
		t := &r.Segment.Tasks[i]
		l.tasks[t.ID] = Entry{Task: t, record: r}
		if !t.Final() {
			t.Recovered()
			open = append(open, t)
		}
	}
	return open
}

// Task returns a task, nil when it is not known.
func (l *Ledger) Task(id string) *machine.Task { return l.tasks[id].Task }

// Tasks returns the number of tasks, ended ones included.
func (l *Ledger) Tasks() int { return len(l.tasks) }

// Each calls visit for every task.
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

// NextSegment returns the number that the writer of a queue will use next.
func (l *Ledger) NextSegment(queue string) uint64 { return l.queues[queue] + 1 }

// Sealed reports whether the queue was adopted.
func (l *Ledger) Sealed(queue string) bool { return l.sealed[queue] }

// Changed marks the segment of a task for the next write.
func (l *Ledger) Changed(task string) {
	if e, ok := l.tasks[task]; ok {
		l.dirty[e.record] = true
	}
}

// Cancelled is one task that a batch cancelled.
type Cancelled struct {
	Task *machine.Task
	// Worker must be told to stop the task, empty when it was not started.
	Worker string
}

// Cancel applies a batch of cancellations. Ids of other teams have no effect.
func (l *Ledger) Cancel(c Cancel, now time.Time) []Cancelled {
	var list []Cancelled
	for _, id := range c.IDs {
		e, ok := l.tasks[id]
		if !ok {
			l.early[id] = earlyCancel{c.Team, now}
			continue
		}
		if done, ok := l.cancel(e, c.Team, now); ok {
			list = append(list, done)
		}
	}
	return list
}

func (l *Ledger) cancel(e Entry, team string, now time.Time) (Cancelled, bool) {
	if e.Task.Team != team {
		return Cancelled{}, false
	}
	worker, ok := e.Task.Cancel(now)
	if ok {
		l.dirty[e.record] = true
	}
	return Cancelled{e.Task, worker}, ok
}

// CancelEarly applies cancellations that arrived before their tasks.
func (l *Ledger) CancelEarly(tasks []*machine.Task, now time.Time) []Cancelled {
	var list []Cancelled
	for _, t := range tasks {
		c, ok := l.early[t.ID]
		if !ok {
			continue
		}
		delete(l.early, t.ID)
		if done, ok := l.cancel(l.tasks[t.ID], c.team, now); ok {
			list = append(list, done)
		}
	}
	return list
}

// Write is one write of a segment by the scheduler.
type Write struct {
	Key     string
	Version uint64
	Segment Segment
}

// WriteOf returns the write that stores the present state of the segments of
// the given tasks; segments with a write in flight are left out and stay dirty.
func (l *Ledger) WriteOf(tasks []*machine.Task) []Write {
	var list []Write
	for _, t := range tasks {
		r := l.tasks[t.ID].record
		if r != nil && l.dirty[r] && r.writing == nil {
			list = append(list, l.write(r))
		}
	}
	return list
}

// WriteDirty returns writes for at most limit dirty segments.
func (l *Ledger) WriteDirty(limit int) []Write {
	var keys []string
	for r := range l.dirty {
		if r.writing == nil {
			keys = append(keys, r.Ref.Key())
		}
	}
	slices.Sort(keys)
	var list []Write
	for _, key := range keys[:min(len(keys), limit)] {
		list = append(list, l.write(l.records[key]))
	}
	return list
}

func (l *Ledger) write(r *Record) Write {
	l.writes++
	r.Segment.Stamp = fmt.Sprintf("%s/%d", l.scheduler, l.writes)
	delete(l.dirty, r)
	w := Write{Key: r.Ref.Key(), Version: r.Version, Segment: r.Segment.Clone()}
	r.writing = &w
	return w
}

// Dirty reports whether a segment waits for a write.
func (l *Ledger) Dirty() bool { return len(l.dirty) > 0 }

// Stored notes the end of a write. It returns the running tasks whose present
// start is stored by it, and those that were started since.
func (l *Ledger) Stored(key, stamp string, version uint64) (recorded, since []*machine.Task) {
	r := l.records[key]
	if r == nil || r.writing == nil || r.writing.Segment.Stamp != stamp {
		return nil, nil
	}
	written := r.writing.Segment.Tasks
	r.writing, r.Version = nil, version
	for i := range r.Segment.Tasks {
		t, w := &r.Segment.Tasks[i], &written[i]
		if t.Phase != machine.TaskRunning {
			continue
		}
		if w.Phase == machine.TaskRunning && w.Worker == t.Worker && w.Attempts == t.Attempts {
			recorded = append(recorded, t)
			continue
		}
		since = append(since, t)
	}
	return recorded, since
}

// NotStored notes that a write had no effect or an unknown one. The segment is
// written again; a write that took effect after all is found by its stamp.
func (l *Ledger) NotStored(key, stamp string) {
	if r := l.records[key]; r != nil && r.writing != nil && r.writing.Segment.Stamp == stamp {
		r.writing = nil
		l.dirty[r] = true
	}
}

// Removal is one segment to delete.
type Removal struct {
	Key     string
	Version uint64
}

// Expire forgets segments whose tasks ended long ago and returns them for
// deletion. The highest segment of a queue that is still written stays, since
// its number tells a new scheduler where the queue goes on.
func (l *Ledger) Expire(now time.Time) []Removal {
	var list []Removal
	for key, r := range l.records {
		since, ok := r.Segment.final()
		if r.seenAt.After(since) {
			since = r.seenAt
		}
		last := r.Ref.Number == l.queues[r.Ref.Queue]
		if last && l.sealed[r.Ref.Queue] && now.Sub(r.seenAt) > sealKept {
			last = false
			delete(l.queues, r.Ref.Queue)
		}
		if !ok || l.dirty[r] || r.writing != nil || now.Sub(since) < Retention || last {
			continue
		}
		for i := range r.Segment.Tasks {
			delete(l.tasks, r.Segment.Tasks[i].ID)
		}
		delete(l.records, key)
		list = append(list, Removal{key, r.Version})
	}
	for id, c := range l.early {
		if now.Sub(c.at) > Retention {
			delete(l.early, id)
		}
	}
	slices.SortFunc(list, func(a, b Removal) int { return cmp.Compare(a.Key, b.Key) })
	return list
}
