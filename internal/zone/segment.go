package zone

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// SegmentTasks is the largest number of tasks in one segment. Each state change
// rewrites the whole segment; with 64 tasks it stays near 16 KB.
const SegmentTasks = 64

// MaxPayload bounds the payload of one task, in bytes: 64 payloads in base64
// take less than half of the platform's largest value.
const MaxPayload = 4096

// MaxCancels bounds the task ids in the cancellations of one segment.
const MaxCancels = 4096

// Segment is one group of tasks that an entry instance accepted in one write.
// The creation of the segment is the only commit point of acceptance. After it,
// only the scheduler of the data centre writes the segment, by
// compare-and-swap.
type Segment struct {
	// Group identifies the write that created the segment.
	Group string `json:"group"`
	// Stamp identifies the last write of a scheduler. A scheduler that did not
	// get the answer to a write compares it to find out whether the write took
	// effect.
	Stamp string         `json:"stamp,omitempty"`
	Tasks []machine.Task `json:"tasks,omitempty"`
	// Cancels holds the cancellations of the group.
	Cancels []Cancel `json:"cancels,omitempty"`
	// SealedBy names the scheduler that adopted the queue by creating this
	// segment. The seal prevents a writer that was suspended or partitioned for
	// long from adding to a queue that nobody reads.
	SealedBy string `json:"sealed_by,omitempty"`
}

// Cancel requests the cancellation of tasks of one team.
type Cancel struct {
	Team string   `json:"team"`
	IDs  []string `json:"ids"`
}

// SegmentRef identifies one segment.
type SegmentRef struct {
	DataCentre string
	// Queue names the queue of one writer. No other writer ever uses it.
	Queue  string
	Number uint64
}

// Key returns the platform key of the segment.
func (r SegmentRef) Key() string {
	return fmt.Sprintf("%s%s/%08d", QueuePrefix(r.DataCentre), r.Queue, r.Number)
}

// QueuePrefix returns the prefix of the keys of all segments of a data centre.
func QueuePrefix(dataCentre string) string { return "queue/" + dataCentre + "/" }

// ParseSegmentKey is the inverse of Key.
func ParseSegmentKey(key string) (SegmentRef, bool) {
	parts := strings.Split(key, "/")
	if len(parts) != 4 || parts[0] != "queue" {
		return SegmentRef{}, false
	}
	number, err := strconv.ParseUint(parts[3], 10, 64)
	return SegmentRef{DataCentre: parts[1], Queue: parts[2], Number: number}, err == nil
}

// TaskID returns the id of the task at an index of the segment. The id contains
// the segment's key, so that any entry instance finds the task with one read.
func (r SegmentRef) TaskID(index int) string {
	return fmt.Sprintf("%s/%s/%d/%d", r.DataCentre, r.Queue, r.Number, index)
}

// ParseTaskID returns the segment and the index that a task id contains.
func ParseTaskID(id string) (SegmentRef, int, bool) {
	parts := strings.Split(id, "/")
	if len(parts) != 4 {
		return SegmentRef{}, 0, false
	}
	number, err := strconv.ParseUint(parts[2], 10, 64)
	index, errIndex := strconv.Atoi(parts[3])
	ok := err == nil && errIndex == nil && index >= 0 && parts[0] != "" && parts[1] != ""
	return SegmentRef{DataCentre: parts[0], Queue: parts[1], Number: number}, index, ok
}

// StartID returns the id of the current start of a task. A worker starts an id
// at most once. All starts of a non-idempotent task carry the same id; each
// attempt of an idempotent task has its own.
func StartID(t *machine.Task) string {
	if !t.Idempotent {
		return t.ID
	}
	return t.ID + "#" + strconv.Itoa(t.Attempts)
}

// ParseStartID returns the task id and the attempt that a start id contains.
// The attempt is 0 for a non-idempotent task.
func ParseStartID(id string) (task string, attempt int) {
	task, text, found := strings.Cut(id, "#")
	if !found {
		return id, 0
	}
	attempt, err := strconv.Atoi(text)
	if err != nil {
		return id, 0
	}
	return task, attempt
}

// finalSince reports whether all tasks of the segment have ended, and the time
// of the last end.
func (s *Segment) finalSince() (since time.Time, ok bool) {
	for i := range s.Tasks {
		t := &s.Tasks[i]
		if !t.Final() {
			return since, false
		}
		if t.EndedAt.After(since) {
			since = t.EndedAt
		}
	}
	return since, true
}

// Clone returns a copy that shares no memory that a scheduler modifies.
func (s *Segment) Clone() Segment {
	c := *s
	c.Tasks = make([]machine.Task, len(s.Tasks))
	for i := range s.Tasks {
		c.Tasks[i] = s.Tasks[i]
		c.Tasks[i].FailedOn = append([]string(nil), s.Tasks[i].FailedOn...)
	}
	return c
}
