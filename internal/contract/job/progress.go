package job

import (
	"maps"
	"slices"
)

// State is the state of a job as callers read it.
type State string

// States of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the state is final: it never changes again.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Progress is the part of a job's state that is written to the store, so that
// it survives the loss of every process. The keys of its maps are the ordinals
// of tasks (Job.ordinal).
type Progress struct {
	State State `cbor:"1,keyasint,omitempty"`
	// Done is a bit set of the tasks that are done.
	Done []byte `cbor:"2,keyasint,omitempty"`
	// FailedRuns lists the numbers of a task's failed runs. It holds run numbers
	// instead of a count, so that a repeated report of a failure counts once.
	FailedRuns map[int][]int `cbor:"3,keyasint,omitempty"`
	// Saved holds the newest checkpoint of a task or gang.
	Saved map[int]string `cbor:"4,keyasint,omitempty"`
	// EndedAt is when the final state was reached, in Unix milliseconds.
	EndedAt int64 `cbor:"5,keyasint,omitempty"`
	// Placed lists, for a task that is not done, the workers on which one of its
	// runs may be alive. It is stored before a start is sent, so that after a
	// takeover the new scheduler knows which workers must report before it starts
	// the task again.
	Placed map[int][]string `cbor:"6,keyasint,omitempty"`
	// Crashes lists the crashes of workers under a task or gang.
	Crashes map[int][]Crash `cbor:"7,keyasint,omitempty"`
}

// clone returns a copy whose maps are never nil.
func (p *Progress) clone() Progress {
	c := Progress{
		State:      p.State,
		Done:       slices.Clone(p.Done),
		FailedRuns: make(map[int][]int, len(p.FailedRuns)),
		Saved:      make(map[int]string, len(p.Saved)),
		EndedAt:    p.EndedAt,
		Placed:     make(map[int][]string, len(p.Placed)),
		Crashes:    make(map[int][]Crash, len(p.Crashes)),
	}
	for ordinal, runs := range p.FailedRuns {
		c.FailedRuns[ordinal] = slices.Clone(runs)
	}
	for ordinal, crashes := range p.Crashes {
		c.Crashes[ordinal] = slices.Clone(crashes)
	}
	maps.Copy(c.Saved, p.Saved)
	// The lists of workers are immutable; Task.RecordPlacement replaces them.
	maps.Copy(c.Placed, p.Placed)
	return c
}

// Equal reports whether two records describe the same progress. A missing map is equal to
// an empty one.
func (p *Progress) Equal(q *Progress) bool {
	return p.State == q.State && p.EndedAt == q.EndedAt && slices.Equal(p.Done, q.Done) &&
		maps.EqualFunc(p.FailedRuns, q.FailedRuns, slices.Equal[[]int]) &&
		maps.Equal(p.Saved, q.Saved) &&
		maps.EqualFunc(p.Placed, q.Placed, slices.Equal[[]string]) &&
		maps.EqualFunc(p.Crashes, q.Crashes, slices.Equal[[]Crash])
}

func (p *Progress) isDone(ordinal int) bool {
	return ordinal/8 < len(p.Done) && p.Done[ordinal/8]&(1<<(ordinal%8)) != 0
}

func (p *Progress) setDone(ordinal int) {
	for len(p.Done) <= ordinal/8 {
		p.Done = append(p.Done, 0)
	}
	p.Done[ordinal/8] |= 1 << (ordinal % 8)
}
