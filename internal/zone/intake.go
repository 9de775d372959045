package zone

import (
	"fmt"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// Times of an intake.
const (
	// gatherTime is how long a group waits for more tasks.
	gatherTime = 5 * time.Millisecond
	// groupPause is the least time between the starts of two writes. It bounds
	// the writes of one entry instance to 20 a second under load.
	groupPause = 50 * time.Millisecond
	// IntakeIdle is how long an intake goes on with its queue after its last
	// write. A scheduler adopts a queue that was idle for SealAfter, which is
	// longer by more than any call takes.
	IntakeIdle = 5 * time.Minute
	// SealAfter is how long a queue is idle before a scheduler adopts it.
	SealAfter = 10 * time.Minute
)

// Request is what one caller asked an intake for: tasks to accept or ids to
// cancel.
type Request struct {
	// Token identifies the request for the caller of the intake.
	Token  uint64
	Tasks  []machine.Task
	Cancel *Cancel
}

// Intake collects what one entry instance accepts for one data centre, in
// groups. Each group is one segment and so one write. Groups are written one
// after the other, so that the numbers of a queue have no holes: the scheduler
// waits for the next number.
type Intake struct {
	dataCentre string
	owner      string
	epoch      int
	registered bool
	next       uint64
	groups     uint64
	waiting    []Request
	dueAt      time.Time
	writing    *Group
	wroteAt    time.Time
}

// Group is one write of an intake.
type Group struct {
	Ref      SegmentRef
	Segment  Segment
	Requests []Request
	SentAt   time.Time
}

// NewIntake returns an intake of one process. Owner must never be used by
// another process or incarnation.
func NewIntake(dataCentre, owner string) *Intake {
	return &Intake{dataCentre: dataCentre, owner: owner, epoch: 1, next: 1}
}

// Queue returns the name of the current queue.
func (i *Intake) Queue() string { return fmt.Sprintf("%s-%d", i.owner, i.epoch) }

// Add takes a request with at most SegmentTasks tasks or MaxCancels ids.
func (i *Intake) Add(r Request, now time.Time) {
	i.waiting = append(i.waiting, r)
	if i.dueAt.IsZero() {
		i.dueAt = now.Add(gatherTime)
		if paced := i.wroteAt.Add(groupPause); paced.After(i.dueAt) {
			i.dueAt = paced
		}
	}
}

// Due returns when Next has something to do; the zero time means never.
func (i *Intake) Due() time.Time {
	if i.writing != nil || len(i.waiting) == 0 {
		return time.Time{}
	}
	return i.dueAt
}

// NeedsQueue reports whether a queue must be registered before the next write.
func (i *Intake) NeedsQueue(now time.Time) bool {
	if i.registered && now.Sub(i.wroteAt) > IntakeIdle {
		i.renew()
	}
	return !i.registered
}

// renew leaves the queue to its scheduler and turns to a new one.
func (i *Intake) renew() {
	i.epoch++
	i.registered, i.next = false, 1
}

// Registered notes that the current queue is on the roster; sent is when the
// call was sent.
func (i *Intake) Registered(sent time.Time) { i.registered, i.wroteAt = true, sent }

// Next returns the group to write, nil when nothing is due.
func (i *Intake) Next(now time.Time) *Group {
	if i.writing != nil || len(i.waiting) == 0 || now.Before(i.dueAt) || !i.registered {
		return nil
	}
	return i.send(i.take(), now)
}

// take removes the requests that fit in one segment.
func (i *Intake) take() []Request {
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

func (i *Intake) send(requests []Request, now time.Time) *Group {
	i.groups++
	g := &Group{Ref: SegmentRef{i.dataCentre, i.Queue(), i.next}, Requests: requests, SentAt: now}
	g.Segment.Group = fmt.Sprintf("%s/%d", i.owner, i.groups)
	for _, r := range requests {
		g.Segment.Tasks = append(g.Segment.Tasks, r.Tasks...)
		if r.Cancel != nil {
			g.Segment.Cancels = append(g.Segment.Cancels, *r.Cancel)
		}
	}
	for n := range g.Segment.Tasks {
		g.Segment.Tasks[n].ID = g.Ref.TaskID(n)
	}
	i.writing, i.wroteAt = g, now
	return g
}

// GroupOutcome is the end of a group's write.
type GroupOutcome string

// Outcomes of a write.
const (
	GroupWritten GroupOutcome = "written"
	// GroupTaken means that an earlier group of this intake, whose answer was
	// lost, holds the number.
	GroupTaken GroupOutcome = "taken"
	// GroupSealed means that a scheduler adopted the queue.
	GroupSealed GroupOutcome = "sealed"
	// GroupRefused means that nothing was written.
	GroupRefused GroupOutcome = "refused"
	// GroupUnknown means that the group may be written later.
	GroupUnknown GroupOutcome = "unknown"
)

// Accepted is the answer to one request.
type Accepted struct {
	Token   uint64
	Outcome GroupOutcome
	IDs     []string
}

// Finish takes the end of the write in flight. It returns the answers for
// callers, none when the group is to be written again. A write that took as
// long as a scheduler may wait before it adopts the queue is not trusted.
func (i *Intake) Finish(o GroupOutcome, now time.Time) []Accepted {
	g := i.writing
	if g == nil {
		return nil
	}
	i.writing = nil
	switch o {
	case GroupTaken:
		i.next++
		i.again(g, now)
		return nil
	case GroupSealed:
		i.renew()
		i.again(g, now)
		return nil
	case GroupWritten:
		i.next++
		if now.Sub(g.SentAt) > SealAfter-IntakeIdle {
			o = GroupUnknown
		}
	}
	i.dueAt = i.wroteAt.Add(groupPause)
	if len(i.waiting) == 0 {
		i.dueAt = time.Time{}
	}
	return g.answers(o)
}

func (i *Intake) again(g *Group, now time.Time) {
	i.waiting = append(append([]Request(nil), g.Requests...), i.waiting...)
	i.dueAt = now
}

// Abandon answers every waiting request, since no queue could be registered.
func (i *Intake) Abandon() []Accepted {
	g := Group{Requests: i.waiting}
	i.waiting, i.dueAt = nil, time.Time{}
	return g.answers(GroupRefused)
}

func (g *Group) answers(o GroupOutcome) []Accepted {
	var list []Accepted
	index := 0
	for _, r := range g.Requests {
		a := Accepted{Token: r.Token, Outcome: o}
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
