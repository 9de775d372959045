package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
)

// rank orders jobs of a service. Lower values come first.
type rank int

const (
	// rankLasting: lasting tasks earn while they are at work.
	rankLasting rank = iota
	// rankBegun: jobs that have begun and can still meet their objective.
	rankBegun
	// rankTimely: jobs that can still meet their objective.
	rankTimely
	// rankLate: jobs that cannot.
	rankLate
)

// lateFactor is the multiple of the objective up to which a late job still
// counts for its team.
const lateFactor = 3

// candidate is a job with its place in the order of its service.
type candidate struct {
	job      *job.Job
	rank     rank
	priority int
	// value orders jobs of one rank, smallest first.
	value float64
}

// ranked returns the unfinished jobs of each service in the order in which they
// get room.
func (s *Scheduler) ranked(now time.Time) map[string][]candidate {
	byService := make(map[string][]candidate)
	for _, j := range s.unfinish.all() {
		service := s.serviceOf(j)
		byService[service] = append(byService[service], s.rankJob(j, now))
	}
	for _, list := range byService {
		slices.SortFunc(list, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.priority, b.priority),
				cmp.Compare(a.value, b.value), cmp.Compare(a.job.ID, b.job.ID))
		})
	}
	return byService
}

// serviceOf returns the service that serves the job's queue now, or the one of
// its acceptance when the queue is gone.
func (s *Scheduler) serviceOf(j *job.Job) string {
	if q, ok := s.config.Queue(j.Terms.Queue); ok {
		return q.Service
	}
	return j.Terms.Service
}

func (s *Scheduler) rankJob(j *job.Job, now time.Time) candidate {
	c := candidate{job: j, priority: j.Terms.Priority}
	if j.Lasting() {
		c.rank = rankLasting
		c.value = float64(j.AcceptedAt)
		return c
	}
	age := now.UnixMilli() - j.AcceptedAt
	objective := j.CompletionObjective().Milliseconds()
	left := j.RemainingChain(now).Milliseconds()
	slack := objective - age - left
	switch {
	case slack < 0:
		c.rank = rankLate
		c.value = float64(j.AcceptedAt)
		if age+left > lateFactor*objective {
			c.value += float64(lateFactor * objective)
		}
	case j.Begun():
		c.rank = rankBegun
		c.value = float64(slack)
	default:
		c.rank = rankTimely
		c.value = j.Work()
	}
	return c
}
