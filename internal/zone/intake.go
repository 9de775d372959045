package zone

import (
	"fmt"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// Timing of an intake.
const (
	// gatherDelay is how long the first request of a group waits for more.
	gatherDelay = 5 * time.Millisecond
	// minWriteInterval is the minimum time between the starts of two writes. It
	// limits one entry instance to 20 writes a second.
	minWriteInterval = 50 * time.Millisecond
	// IntakeIdle is how long after its last write an intake may still write to
	// its queue. A scheduler adopts a queue that was idle for SealAfter. The
	// difference between the two exceeds the duration of any call.
	IntakeIdle = 5 * time.Minute
	// SealAfter is how long a queue is idle before a scheduler adopts it.
	SealAfter = 10 * time.Minute
)

// Request is one caller's request to an intake, with tasks to accept or ids to
// cancel.
type Request struct {
	// Token identifies the request in its RequestAnswer.
	Token  uint64
	Tasks  []machine.Task
	Cancel *Cancel
}

// Intake groups the requests that one entry instance accepts for one data
// centre. Each group becomes one segment, created by one write. Only one write
// is in flight at a time, so that the segment numbers of a queue have no gaps:
// the scheduler waits for the next number.
type Intake struct {
	dataCentre string
	owner      string
	// epoch numbers the queues of this intake. The current one is registered
	// once it is in the data centre's roster of queues.
	epoch      int
	registered bool
	// nextNumber is the number of the next segment of the current queue.
	nextNumber uint64
	// groupCount counts the groups over all queues.
	groupCount uint64
	waiting    []Request
	// dueAt is the earliest time of the next write.
	dueAt       time.Time
	inFlight    *Group
	lastWriteAt time.Time
}

// Group is the requests and the segment of one write.
type Group struct {
	Ref      SegmentRef
	Segment  Segment
	Requests []Request
	SentAt   time.Time
}

// NewIntake returns the intake of one process. Owner must be unique to the
// process and its incarnation, and never be reused.
func NewIntake(dataCentre, owner string) *Intake {
	return &Intake{dataCentre: dataCentre, owner: owner, epoch: 1, nextNumber: 1}
}

// Queue returns the name of the current queue.
func (i *Intake) Queue() string { return fmt.Sprintf("%s-%d", i.owner, i.epoch) }

// Add queues a request with at most SegmentTasks tasks or MaxCancels ids.
func (i *Intake) Add(r Request, now time.Time) {
	i.waiting = append(i.waiting, r)
	if i.dueAt.IsZero() {
		i.dueAt = now.Add(gatherDelay)
		if paced := i.lastWriteAt.Add(minWriteInterval); paced.After(i.dueAt) {
			i.dueAt = paced
		}
	}
}

// Due returns when Next has a group to write; the zero time means never.
func (i *Intake) Due() time.Time {
	if i.inFlight != nil || len(i.waiting) == 0 {
		return time.Time{}
	}
	return i.dueAt
}

// NeedsQueue reports whether a queue must be registered before the next write.
// It abandons a queue that was idle for longer than IntakeIdle.
func (i *Intake) NeedsQueue(now time.Time) bool {
	if i.registered && now.Sub(i.lastWriteAt) > IntakeIdle {
		i.startNewQueue()
	}
	return !i.registered
}

// startNewQueue abandons the current queue, which the scheduler will adopt, and
// switches to a new one, which is not registered yet.
func (i *Intake) startNewQueue() {
	i.epoch++
	i.registered, i.nextNumber = false, 1
}

// RecordRegistration records that the data centre's roster of queues contains
// the current queue. Sent is when the registration was sent.
func (i *Intake) RecordRegistration(sent time.Time) { i.registered, i.lastWriteAt = true, sent }

// Next returns the group to write, or nil if none is due.
func (i *Intake) Next(now time.Time) *Group {
	if i.inFlight != nil || len(i.waiting) == 0 || now.Before(i.dueAt) || !i.registered {
		return nil
	}
	return i.beginWrite(i.takeRequests(), now)
}

// takeRequests removes and returns the waiting requests that fit in one
// segment.
func (i *Intake) takeRequests() []Request {
	tasks, cancels, n := 0, 0, 0
	for _, r := range i.waiting {
		tasks += len(r.Tasks)
		if r.Cancel != nil {
			cancels += len(r.Cancel.IDs)
		}
		if n > 0 && (tasks > SegmentTasks || cancels > MaxCancels) {
			break
		}
		n++
	}
	taken := i.waiting[:n:n]
	i.waiting = i.waiting[n:]
	return taken
}

func (i *Intake) beginWrite(requests []Request, now time.Time) *Group {
	i.groupCount++
	g := &Group{Ref: SegmentRef{i.dataCentre, i.Queue(), i.nextNumber}, Requests: requests, SentAt: now}
	g.Segment.Group = fmt.Sprintf("%s/%d", i.owner, i.groupCount)
	for _, r := range requests {
		g.Segment.Tasks = append(g.Segment.Tasks, r.Tasks...)
		if r.Cancel != nil {
			g.Segment.Cancels = append(g.Segment.Cancels, *r.Cancel)
		}
	}
	for n := range g.Segment.Tasks {
		g.Segment.Tasks[n].ID = g.Ref.TaskID(n)
	}
	i.inFlight, i.lastWriteAt = g, now
	return g
}

// GroupOutcome is the result of writing a group.
type GroupOutcome string

// Outcomes of a write.
const (
	GroupWritten GroupOutcome = "written"
	// GroupNumberTaken means that the segment number is already used by an earlier
	// group of this intake whose write was not answered.
	GroupNumberTaken GroupOutcome = "taken"
	// GroupSealed means that a scheduler adopted the queue.
	GroupSealed GroupOutcome = "sealed"
	// GroupRefused means that the group was not written and will not be.
	GroupRefused GroupOutcome = "refused"
	// GroupUnknown means that the group may still be written.
	GroupUnknown GroupOutcome = "unknown"
)

// RequestAnswer is the answer to one request.
type RequestAnswer struct {
	Token   uint64
	Outcome GroupOutcome
	IDs     []string
}

// FinishWrite ends the write in flight with its outcome. It returns the answers
// for the callers, none if the group is to be written again. A write that took
// longer than SealAfter - IntakeIdle is answered as unknown, since a scheduler
// may have adopted the queue meanwhile.
func (i *Intake) FinishWrite(o GroupOutcome, now time.Time) []RequestAnswer {
	g := i.inFlight
	if g == nil {
		return nil
	}
	i.inFlight = nil
	switch o {
	case GroupNumberTaken:
		i.nextNumber++
		i.requeue(g, now)
		return nil
	case GroupSealed:
		i.startNewQueue()
		i.requeue(g, now)
		return nil
	case GroupWritten:
		i.nextNumber++
		if now.Sub(g.SentAt) > SealAfter-IntakeIdle {
			o = GroupUnknown
		}
	}
	i.dueAt = i.lastWriteAt.Add(minWriteInterval)
	if len(i.waiting) == 0 {
		i.dueAt = time.Time{}
	}
	return g.answers(o)
}

func (i *Intake) requeue(g *Group, now time.Time) {
	i.waiting = append(append([]Request(nil), g.Requests...), i.waiting...)
	i.dueAt = now
}

// RefuseWaiting refuses every waiting request. It is called when no queue could be
// registered.
func (i *Intake) RefuseWaiting() []RequestAnswer {
	g := Group{Requests: i.waiting}
	i.waiting, i.dueAt = nil, time.Time{}
	return g.answers(GroupRefused)
}

func (g *Group) answers(o GroupOutcome) []RequestAnswer {
	var list []RequestAnswer
	index := 0
	for _, r := range g.Requests {
		a := RequestAnswer{Token: r.Token, Outcome: o}
		for range r.Tasks {
			if o != GroupRefused {
				a.IDs = append(a.IDs, g.Ref.TaskID(index))
			}
			index++
		}
		list = append(list, a)
	}
	return list
}
