package zone

import (
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// Backlog holds the queued tasks of one data centre. Each team has one queue
// for urgent and one for normal tasks, in order of arrival.
type Backlog struct {
	byTeam map[string]*teamBacklog
	size   int
}

// teamBacklog holds the queued tasks of one team.
type teamBacklog struct {
	urgent, normal taskQueue
}

func newBacklog() *Backlog { return &Backlog{byTeam: make(map[string]*teamBacklog)} }

// Len returns the number of queued tasks.
func (b *Backlog) Len() int { return b.size }

// Add queues a task. A task that was started before goes to the front of its
// queue.
func (b *Backlog) Add(t *machine.Task) {
	team := b.byTeam[t.Team]
	if team == nil {
		team = &teamBacklog{}
		b.byTeam[t.Team] = team
	}
	team.queueFor(t).add(t)
	b.size++
}

// Remove removes a task in amortised constant time: its position in the queue
// stays empty until the queue is compacted, once more than about half of the
// positions are empty.
func (b *Backlog) Remove(t *machine.Task) {
	if team := b.byTeam[t.Team]; team != nil && team.queueFor(t).remove(t) {
		b.size--
	}
}

func (b *teamBacklog) queueFor(t *machine.Task) *taskQueue {
	if t.Urgent {
		return &b.urgent
	}
	return &b.normal
}

// taskQueue is a queue that supports removal from the middle.
type taskQueue struct {
	tasks []*machine.Task
	// index maps a task to its position. Positions count from the element that
	// was first when base was 0, so that removals at the front do not change
	// them.
	index map[*machine.Task]int
	base  int
}

func (q *taskQueue) len() int { return len(q.index) }

func (q *taskQueue) add(t *machine.Task) {
	if q.index == nil {
		q.index = make(map[*machine.Task]int)
	}
	if _, ok := q.index[t]; ok {
		return
	}
	if t.Attempts > 0 {
		if len(q.tasks) == 0 || q.tasks[0] != nil {
			q.tasks = append([]*machine.Task{nil}, q.tasks...)
			q.base--
		}
		q.tasks[0] = t
		q.index[t] = q.base
		return
	}
	q.index[t] = q.base + len(q.tasks)
	q.tasks = append(q.tasks, t)
}

func (q *taskQueue) remove(t *machine.Task) bool {
	at, ok := q.index[t]
	if !ok {
		return false
	}
	delete(q.index, t)
	q.tasks[at-q.base] = nil
	for len(q.tasks) > 0 && q.tasks[0] == nil {
		q.tasks = q.tasks[1:]
		q.base++
	}
	if len(q.tasks) > 2*len(q.index)+16 {
		q.compact()
	}
	return true
}

func (q *taskQueue) compact() {
	kept := make([]*machine.Task, 0, len(q.index))
	for _, t := range q.tasks {
		if t != nil {
			q.index[t] = len(kept)
			kept = append(kept, t)
		}
	}
	q.tasks, q.base = kept, 0
}

// demandSampleSize bounds the tasks of one queue whose sizes are summed for the
// demand of a team. The other tasks count with the mean of the sample.
const demandSampleSize = 64

// demand returns the total estimated size and the number of the queued tasks.
func (q *taskQueue) demand(size func(*machine.Task) machine.Resources) (machine.Resources, int) {
	var sum machine.Resources
	sampled := 0
	for _, t := range q.tasks {
		if t == nil {
			continue
		}
		sum = sum.Plus(size(t))
		if sampled++; sampled == demandSampleSize {
			break
		}
	}
	if n := int64(q.len()); sampled > 0 && n > int64(sampled) {
		sum.MilliCores = sum.MilliCores * n / int64(sampled)
		sum.MemoryMB = sum.MemoryMB * n / int64(sampled)
		sum.Accelerators = sum.Accelerators * n / int64(sampled)
	}
	return sum, q.len()
}

// TeamQueue summarises the queued tasks of a team for operators.
type TeamQueue struct {
	Urgent, Normal int
	// Oldest is the earlier submission time of the first tasks of the two
	// queues, zero if both are empty.
	Oldest time.Time
}

// Queue returns the summary of a team's queued tasks.
func (b *Backlog) Queue(team string) TeamQueue {
	queued := b.byTeam[team]
	if queued == nil {
		return TeamQueue{}
	}
	q := TeamQueue{Urgent: queued.urgent.len(), Normal: queued.normal.len()}
	for _, queue := range []*taskQueue{&queued.urgent, &queued.normal} {
		if len(queue.tasks) > 0 && (q.Oldest.IsZero() || queue.tasks[0].SubmittedAt.Before(q.Oldest)) {
			q.Oldest = queue.tasks[0].SubmittedAt
		}
	}
	return q
}

// maxServiceSamples bounds the queue positions that Services reads in each
// queue.
const maxServiceSamples = 32

// Services returns the services of a team's first queued tasks.
func (b *Backlog) Services(team string) []string {
	backlog := b.byTeam[team]
	if backlog == nil {
		return nil
	}
	var list []string
	for _, queue := range []*taskQueue{&backlog.urgent, &backlog.normal} {
		for _, t := range queue.tasks[:min(len(queue.tasks), maxServiceSamples)] {
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
