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
	factors := s.shareFactors()
	for _, j := range s.unfinish.all() {
		service := s.serviceOf(j)
		c := s.rankJob(j, now)
		if c.rank == rankTimely && j.Terms.Team != "" {
			c.value *= factors[j.Terms.Team]
		}
		byService[service] = append(byService[service], c)
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

// Bounds of a team's factor, so that no team is shut out or let in alone.
const (
	leastFactor = 0.25
	mostFactor  = 8
)

// shareFactors returns, for each team with unfinished jobs, how much of its
// weighted share of the fleet it uses. A team that sends far more than usual
// comes after the others once it is above its share.
func (s *Scheduler) shareFactors() map[string]float64 {
	weights := make(map[string]float64)
	sumWeight, sumUsage := 0.0, 0.0
	for _, j := range s.unfinish.all() {
		team, ok := s.config.Team(j.Terms.Team)
		if !ok || weights[team.Name] > 0 {
			continue
		}
		weights[team.Name] = max(team.Weight, minWeight)
		sumWeight += weights[team.Name]
		sumUsage += float64(s.usage[team.Name].MilliCores)
	}
	factors := make(map[string]float64, len(weights))
	for team, weight := range weights {
		fair := sumUsage * weight / sumWeight
		factors[team] = mostFactor
		if used := float64(s.usage[team].MilliCores); used < mostFactor*fair || sumUsage == 0 {
			factors[team] = max(leastFactor, used/max(fair, 1))
		}
	}
	return factors
}

// minWeight stands in for a weight that is missing.
const minWeight = 1e-3

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
		// Small jobs earn most for their work, but a large one that would otherwise
		// be late goes first.
		c.rank = rankTimely
		c.value = j.Work() * float64(slack)
	}
	return c
}
