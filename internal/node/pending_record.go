package node

import (
	"cmp"
	"slices"

	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
	"github.com/crocusjunction/crocusjunction/internal/scheduler"
)

// pendingRecord is the stored form of scheduler.PendingRead. Every node reads it up to twice
// a second, so that the names of its fields are short.
type pendingRecord struct {
	Queues []pendingQueueRecord `json:"q"`
	AsOf   int64                `json:"as_of"`
	// LegacyCounts are the numbers by name, which earlier versions wrote.
	LegacyCounts map[string]int `json:"counts,omitempty"`
}

type pendingQueueRecord struct {
	Name   string `json:"q"`
	Host   string `json:"h,omitempty"`
	Prefix string `json:"p,omitempty"`
	Jobs   int    `json:"n"`
}

func newPendingRecord(a scheduler.StorePending) pendingRecord {
	r := pendingRecord{AsOf: a.AsOf, Queues: make([]pendingQueueRecord, 0, len(a.Counts))}
	for queue, jobs := range a.Counts {
		r.Queues = append(r.Queues, pendingQueueRecord{queue.Name, queue.Host, queue.Prefix, jobs})
	}
	slices.SortFunc(r.Queues, func(a, b pendingQueueRecord) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Host, b.Host), cmp.Compare(a.Prefix, b.Prefix))
	})
	return r
}

func (r pendingRecord) counts() map[policy.QueueRef]int {
	counts := make(map[policy.QueueRef]int, len(r.Queues)+len(r.LegacyCounts))
	for name, jobs := range r.LegacyCounts {
		counts[policy.QueueRef{Name: name}] = jobs
	}
	for _, q := range r.Queues {
		counts[policy.QueueRef{Name: q.Name, Host: q.Host, Prefix: q.Prefix}] = q.Jobs
	}
	return counts
}
