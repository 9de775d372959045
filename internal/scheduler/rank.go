package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/contract/usage"
)

// rank is the class of a job in the placement order of its service. Lower values
// are placed first.
type rank int

const (
	// rankLongRunning is for jobs of long-running tasks, whose value grows with the
	// time for which they serve.
	rankLongRunning rank = iota
	// rankBegun is for jobs with placed tasks that can still meet their objective.
	rankBegun
	// rankTimely is for jobs without placed tasks that can still meet their objective.
	rankTimely
	// rankLate is for jobs that can no longer meet their objective.
	rankLate
)

// lateFactor is the multiple of the objective up to which a late job still counts
// for its team. A job that will take longer is placed as if it had been accepted
// lateFactor objectives later.
const lateFactor = 3

// candidate is a job with the sort keys that determine its position in the
// placement order of its service, most significant first.
type candidate struct {
	job      *job.Job
	rank     rank
	priority int
	// sortKey orders jobs of the same rank and priority, smallest first.
	sortKey float64
}

// serviceJobs are the unfinished jobs of a service.
type serviceJobs struct {
	candidates []candidate
	// contended means that two teams or more compete for the service's pool.
	contended bool
}

// rankedJobs returns the unfinished jobs of each service in the order in which their
// tasks are placed.
func (s *Scheduler) rankedJobs(now time.Time) map[string]*serviceJobs {
	byService := make(map[string]*serviceJobs)
	claims := s.claims()
	factors := s.shareFactors(claims)
	s.divideUse(claims, now)
	for j := range s.unfinishedJobs() {
		service := s.serviceOf(j)
		jobs := byService[service]
		if jobs == nil {
			jobs = &serviceJobs{contended: s.fairShare.contended[service]}
			byService[service] = jobs
		}
		c := s.rankJob(j, now)
		switch {
		case c.rank != rankTimely || j.Terms.Team == "":
		case jobs.contended:
			c.sortKey *= s.fairShare.ledger.Factor(j.Terms.Team)
		default:
			c.sortKey *= factors[j.Terms.Team]
		}
		jobs.candidates = append(jobs.candidates, c)
	}
	for _, jobs := range byService {
		slices.SortFunc(jobs.candidates, compareCandidates)
	}
	return byService
}

// compareCandidates orders the candidates of a service.
func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.sortKey, b.sortKey), cmp.Compare(a.job.ID, b.job.ID))
}

// serviceOf returns the service that serves the job's queue in the configuration
// in force. If the queue was removed, it is the service at the job's acceptance.
func (s *Scheduler) serviceOf(j *job.Job) string {
	if q, ok := s.queueOf(j); ok {
		return q.Service
	}
	return j.Terms.Service
}

// Bounds of a team's share factor. They prevent a team from being starved by the
// other teams and from starving them.
const (
	minShareFactor = 0.25
	maxShareFactor = 8
)

// claims returns the claims of the teams with unfinished jobs.
func (s *Scheduler) claims() []usage.Claim {
	var claims []usage.Claim
	seen := make(map[string]bool)
	for j := range s.unfinishedJobs() {
		if seen[j.Terms.Team] {
			continue
		}
		seen[j.Terms.Team] = true
		if team, ok := s.config.Team(j.Terms.Team); ok {
			claims = append(claims, usage.NewClaim(team.Name, team.Weight))
		}
	}
	return claims
}

// shareFactors returns, for each team with a claim, its present usage as a multiple of
// its weighted share of the total usage. The jobs of a team above its share are placed
// after those of the others, so that a team that submits far more than usual does not
// delay the other teams. They apply while teams do not compete for a full pool.
func (s *Scheduler) shareFactors(claims []usage.Claim) map[string]float64 {
	sumWeight, sumUsage := 0.0, 0.0
	for _, c := range claims {
		sumWeight += c.Weight
		sumUsage += float64(s.usage[c.Team].MilliCores)
	}
	factors := make(map[string]float64, len(claims))
	for _, c := range claims {
		fair := sumUsage * c.Weight / sumWeight
		factors[c.Team] = maxShareFactor
		if used := float64(s.usage[c.Team].MilliCores); used < maxShareFactor*fair || sumUsage == 0 {
			factors[c.Team] = max(minShareFactor, used/max(fair, 1))
		}
	}
	return factors
}

// rankJob returns the sort keys that determine a job's position in the placement
// order, before its team's share factor is applied.
func (s *Scheduler) rankJob(j *job.Job, now time.Time) candidate {
	c := candidate{job: j, priority: j.Terms.Priority}
	if j.LongRunning() {
		c.rank = rankLongRunning
		c.sortKey = float64(j.AcceptedAt)
		return c
	}
	age := now.UnixMilli() - j.AcceptedAt
	objective := j.CompletionObjective().Milliseconds()
	left := j.RemainingCriticalPath(now).Milliseconds()
	slack := objective - age - left
	switch {
	case slack < 0:
		c.rank = rankLate
		c.sortKey = float64(j.AcceptedAt)
		if age+left > lateFactor*objective {
			c.sortKey += float64(lateFactor * objective)
		}
	case j.TaskPlaced():
		c.rank = rankBegun
		c.sortKey = float64(slack)
	default:
		// Small jobs have the highest value for their work, but a large one that is
		// about to be late is placed first.
		c.rank = rankTimely
		c.sortKey = j.RemainingWork() * float64(slack)
	}
	return c
}
