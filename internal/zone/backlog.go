package zone

import (
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// Backlog holds the queued tasks of one data centre: one line per team, urgent
// tasks apart, each in order of arrival.
type Backlog struct {
	lines map[string]*teamLine
	size  int
}

// teamLine is the queued work of one team.
type teamLine struct {
	urgent, normal line
}

func newBacklog() *Backlog { return &Backlog{lines: make(map[string]*teamLine)} }

// Len returns the number of queued tasks.
func (b *Backlog) Len() int { return b.size }

// Add queues a task. A task that ran before goes to the front of its line.
func (b *Backlog) Add(t *machine.Task) {
	team := b.lines[t.Team]
	if team == nil {
		team = &teamLine{}
		b.lines[t.Team] = team
	}
	team.of(t).add(t)
	b.size++
}

// Remove takes a task out. It costs O(1): the place in the line stays empty
// until half of the line is.
func (b *Backlog) Remove(t *machine.Task) {
	if team := b.lines[t.Team]; team != nil && team.of(t).remove(t) {
		b.size--
	}
}

func (l *teamLine) of(t *machine.Task) *line {
	if t.Urgent {
		return &l.urgent
	}
	return &l.normal
}

// line is a queue with removal from the middle.
type line struct {
	tasks []*machine.Task
	// index maps a task to its place in tasks, counted from the place that the
	// first element had when base was 0.
	index map[*machine.Task]int
	base  int
}

func (l *line) len() int { return len(l.index) }

func (l *line) add(t *machine.Task) {
	if l.index == nil {
		l.index = make(map[*machine.Task]int)
	}
	if _, ok := l.index[t]; ok {
		return
	}
	if t.Attempts > 0 {
		if len(l.tasks) == 0 || l.tasks[0] != nil {
			l.tasks = append([]*machine.Task{nil}, l.tasks...)
			l.base--
		}
		l.tasks[0] = t
		l.index[t] = l.base
		return
	}
	l.index[t] = l.base + len(l.tasks)
	l.tasks = append(l.tasks, t)
}

func (l *line) remove(t *machine.Task) bool {
	at, ok := l.index[t]
	if !ok {
		return false
	}
	delete(l.index, t)
	l.tasks[at-l.base] = nil
	for len(l.tasks) > 0 && l.tasks[0] == nil {
		l.tasks = l.tasks[1:]
		l.base++
	}
	if len(l.tasks) > 2*len(l.index)+16 {
		l.compact()
	}
	return true
}

func (l *line) compact() {
	kept := make([]*machine.Task, 0, len(l.index))
	for _, t := range l.tasks {
		if t != nil {
			l.index[t] = len(kept)
			kept = append(kept, t)
		}
	}
	l.tasks, l.base = kept, 0
}

// demandSampled bounds the tasks of one line whose sizes are added up for the
// demand of a team; the rest counts as their mean.
const demandSampled = 64

// demand returns the estimated size and the number of the queued tasks.
func (l *line) demand(size func(*machine.Task) machine.Resources) (machine.Resources, int) {
	var sum machine.Resources
	seen := 0
	for _, t := range l.tasks {
		if t == nil {
			continue
		}
		sum = sum.Plus(size(t))
		if seen++; seen == demandSampled {
			break
		}
	}
	if n := int64(l.len()); seen > 0 && n > int64(seen) {
		sum.MilliCores = sum.MilliCores * n / int64(seen)
		sum.MemoryMB = sum.MemoryMB * n / int64(seen)
		sum.Accelerators = sum.Accelerators * n / int64(seen)
	}
	return sum, l.len()
}

// TeamQueue is the queued work of a team for operators.
type TeamQueue struct {
	Urgent, Normal int
	Oldest         time.Time
}

// Queue returns the queued work of a team.
func (b *Backlog) Queue(team string) TeamQueue {
	l := b.lines[team]
	if l == nil {
		return TeamQueue{}
	}
	q := TeamQueue{Urgent: l.urgent.len(), Normal: l.normal.len()}
	for _, t := range []*line{&l.urgent, &l.normal} {
		if len(t.tasks) > 0 && (q.Oldest.IsZero() || t.tasks[0].SubmittedAt.Before(q.Oldest)) {
			q.Oldest = t.tasks[0].SubmittedAt
		}
	}
	return q
}

// servicesLooked bounds the queued tasks of a team whose services are listed.
const servicesLooked = 32

// Services returns the services of the first queued tasks of a team.
func (b *Backlog) Services(team string) []string {
	l := b.lines[team]
	if l == nil {
		return nil
	}
	var list []string
	for _, queued := range []*line{&l.urgent, &l.normal} {
		for _, t := range queued.tasks[:min(len(queued.tasks), servicesLooked)] {
			if t != nil && !slices.Contains(list, t.Service) {
				list = append(list, t.Service)
			}
		}
	}
	return list
}

// amounts converts resources and slots to fractions of the capacity.
func amounts(r machine.Resources, slots int, capacity machine.Resources, totalSlots int) contract.Amounts {
	var a contract.Amounts
	a[contract.DimensionCores] = fraction(r.MilliCores, capacity.MilliCores)
	a[contract.DimensionMemory] = fraction(r.MemoryMB, capacity.MemoryMB)
	a[contract.DimensionAccelerators] = fraction(r.Accelerators, capacity.Accelerators)
	a[contract.DimensionSlots] = fraction(int64(slots), int64(totalSlots))
	return a
}

func fraction(part, whole int64) float64 {
	if whole <= 0 || part <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
