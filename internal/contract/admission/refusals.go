package admission

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
)

const (
	// refusalMemory is how long a refused job is remembered. A caller sends 4 retries, each
	// after at most maxRetryAfter.
	refusalMemory = 4 * maxRetryAfter
	// maxRefusals bounds the jobs that are remembered, to about 0.5 MB.
	maxRefusals = 4096
)

// Refusals remembers the first refusals of jobs, so that returning callers have priority.
// It is not safe for concurrent use.
type Refusals struct {
	first map[job.ID]time.Time
	// order are the jobs in the order of their first refusals.
	order []job.ID
}

// First returns when a job was refused first, zero for never.
func (r *Refusals) First(id job.ID, now time.Time) time.Time {
	if at := r.first[id]; now.Sub(at) <= refusalMemory {
		return at
	}
	return time.Time{}
}

// Record records a refusal. If too many are remembered, the oldest is forgotten.
func (r *Refusals) Record(id job.ID, now time.Time) {
	if r.first == nil {
		r.first = make(map[job.ID]time.Time)
	}
	for len(r.order) > 0 && (len(r.order) >= maxRefusals || now.Sub(r.first[r.order[0]]) > refusalMemory) {
		delete(r.first, r.order[0])
		r.order = r.order[1:]
	}
	if _, known := r.first[id]; !known {
		r.first[id] = now
		r.order = append(r.order, id)
	}
}
