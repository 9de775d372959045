package admission

import "github.com/crocusjunction/crocusjunction/internal/contract/job"

// What a known job takes of the memory of a node, in bytes. Every node keeps a copy of all
// jobs; the scheduler also keeps the tasks of those that have not ended.
const (
	jobBytes  = 1536
	stepBytes = 256
	taskBytes = 208
)

// CancellationBytes is the memory of a cancellation whose job is not stored. Every node keeps
// it in case that the job is stored later. It counts for Cancellations, as for a team.
const (
	CancellationBytes = 256
	Cancellations     = "cancellations of unknown jobs"
)

// JobMemory is the memory that the known jobs of each team take. It answers a load of jobs
// that are accepted faster than they end: without a limit they take the memory of all
// nodes at the same time, and of each that is started again. It is not changed after it was
// published, and nil admits every job.
type JobMemory struct {
	limit, used int64
	byTeam      map[string]int64
}

// NewJobMemory returns the memory of no jobs, with a limit in bytes, 0 for no limit.
func NewJobMemory(limit int64) *JobMemory {
	return &JobMemory{limit: limit, byTeam: make(map[string]int64)}
}

// Footprint returns the memory of a job in bytes.
func Footprint(spec *job.Spec, ended bool) int64 {
	bytes := int64(jobBytes + len(spec.Payload) + stepBytes*len(spec.Steps))
	if !ended {
		bytes += taskBytes * int64(spec.OpenTasks())
	}
	return bytes
}

// Add adds the memory of a job.
func (m *JobMemory) Add(team string, bytes int64) {
	m.used += bytes
	m.byTeam[team] += bytes
}

// Admits reports whether a job of a team is admitted. Recent is what this node has admitted
// lately, which m may lack. A team may have as much as is left over: one that floods the
// nodes gets half of the memory, two get a third each, and another one always finds room.
func (m *JobMemory) Admits(team string, bytes int64, recent *JobMemory) bool {
	if m == nil || m.limit <= 0 {
		return true
	}
	return m.byTeam[team]+recent.byTeam[team]+bytes <= m.limit-m.used-recent.used
}

// Plus returns the memory of all jobs of m and other, by team only for the given one.
func (m *JobMemory) Plus(other *JobMemory, team string) *JobMemory {
	return &JobMemory{used: m.used + other.used, byTeam: map[string]int64{team: m.byTeam[team] + other.byTeam[team]}}
}

// Used returns the memory of all jobs in bytes.
func (m *JobMemory) Used() int64 {
	if m == nil {
		return 0
	}
	return m.used
}
