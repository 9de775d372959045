package admission

import (
	"fmt"
	"hash/fnv"
	"math"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
)

const (
	// MaxAge is the age of the figures from which every job is accepted. The scheduler
	// writes them twice a second, so an older one shows that it no longer does.
	MaxAge = 2 * time.Second
	// lateFactor is the multiple of its objective after which a job is of no use.
	lateFactor = 3
	// supplyMargin is the factor by which the capacity may exceed what the scheduler
	// knows before a job is refused. It covers work that ends sooner than its callers
	// estimated and other pools' machines that become free.
	supplyMargin = 1.25
	// returningMargin is added to supplyMargin for a caller who was refused before, in
	// proportion to the time that its job has used up. It is the greatest part of the
	// capacity that is kept for returning callers.
	returningMargin = 0.25
	// maxRetryAfter bounds the delay that a refused caller is told. The peaks of demand
	// recur every 18 s to 20 s; a backlog says nothing about the time after the next one.
	maxRetryAfter = 20 * time.Second
)

// Demand is what a job asks of a service.
type Demand struct {
	ID            job.ID
	Service, Team string
	Priority      int
	// Work is the job's work in core-seconds.
	Work float64
	// Path is the length of the job's longest chain of steps, Objective the time within
	// which it should complete.
	Path, Objective time.Duration
	// TeamLimit are the millicores that the team may use in all, 0 for no bound.
	TeamLimit int64
	// Exempt means that the job is always accepted: it is long-running or timed, or its
	// tasks run on spare processor time.
	Exempt bool
}

// DemandOf returns the demand of a job for the service of its queue.
func DemandOf(j *job.Job, service string, teamLimit int64) Demand {
	return Demand{
		ID: j.ID, Service: service, Team: j.Terms.Team, Priority: j.Terms.Priority, Work: j.InitialWork(),
		Path: j.LongestPath(), Objective: j.CompletionObjective(), TeamLimit: teamLimit,
		Exempt: j.LongRunning() || j.Spec.Times > 0 || j.Fills(),
	}
}

// Cause is why a job was refused.
type Cause string

// Causes of refusals.
const (
	// Capacity means that the work before the job takes too long on the capacity of its
	// service.
	Capacity Cause = "capacity"
	// TeamLimit means that the work of the job's own team takes too long within the
	// team's upper limit.
	TeamLimit Cause = "team-limit"
)

// Decision is the outcome of Decide. Only a refusal has figures.
type Decision struct {
	Accept bool
	Cause  Cause
	// Ahead are the core-seconds before the job, Available those that the capacity can do,
	// with its margin, until the job must start.
	Ahead, Available float64
	// StartIn is when the job would start, Latest when it must start to be of use. Both
	// count from now.
	StartIn, Latest time.Duration
	// Age is the greatest possible age of the figures.
	Age time.Duration
	// Returning means that the job was refused before. RetryAfter is after which delay it
	// may be accepted, in whole seconds. NoUse means that it would be of no use then,
	// counted from its first refusal.
	Returning  bool
	RetryAfter time.Duration
	NoUse      bool
}

// Reason returns the decision in words, for the caller.
func (d Decision) Reason() string {
	what := "the service has more work than it can do in time"
	if d.Cause == TeamLimit {
		what = "the team has more work than its upper limit lets it do in time"
	}
	text := fmt.Sprintf("%s: the job would start in %.1f s and has to start within %.1f s", what, d.StartIn.Seconds(), d.Latest.Seconds())
	if d.NoUse {
		text += "; it will be of no use when there is room again"
	}
	return text
}

// Rooms are the rooms of all services with more work than they can do in time. They are
// immutable. A nil Rooms accepts every job.
type Rooms struct {
	ByService map[string]Room
	// AsOf is the earliest time at which the scheduler can have known these figures.
	AsOf time.Time
}

// Decide decides about a job. FirstRefused is when the job was refused first, zero for
// never.
func (r *Rooms) Decide(d Demand, firstRefused, now time.Time) Decision {
	if r == nil || d.Exempt {
		return Decision{Accept: true}
	}
	room, ok := r.ByService[d.Service]
	if !ok {
		return Decision{Accept: true}
	}
	return Decide(room, now.Sub(r.AsOf), d, firstRefused, now)
}

// Decide decides about a job by a room of the given age, which includes the jobs that were
// accepted since. The job is accepted if it can be on time, as a small job that is placed
// before larger ones, or can start early enough to be late but of use, after all others.
func Decide(room Room, age time.Duration, d Demand, firstRefused, now time.Time) Decision {
	if age > MaxAge || age < 0 || d.Exempt {
		return Decision{Accept: true}
	}
	limit := lateFactor * d.Objective
	refusal := Decision{Latest: limit - d.Path, Age: age}
	margin := supplyMargin
	if !firstRefused.IsZero() {
		refusal.Returning = true
		margin += returningMargin * min(1, now.Sub(firstRefused).Seconds()/limit.Seconds())
	}
	orders := [...]order{
		{timelyJob(d.Priority, d.Work, room.MeanWork), age + d.Objective - d.Path},
		{lateJob(d.Priority), age + refusal.Latest},
	}
	ofTeam := func(p place, _ time.Duration) float64 { return room.ofTeam(d.Team, p) }
	late := refusal.judge(Capacity, &room.Supply, margin, orders, room.ahead)
	if late <= 0 && d.TeamLimit > 0 {
		late = refusal.judge(TeamLimit, &Supply{Up: d.TeamLimit}, margin, orders, ofTeam)
	}
	if late <= 0 {
		return Decision{Accept: true}
	}
	refusal.RetryAfter = retryAfter(late, d.ID)
	used := time.Duration(0)
	if refusal.Returning {
		used = now.Sub(firstRefused)
	}
	refusal.NoUse = used+refusal.RetryAfter+d.Path > limit
	return refusal
}

// order is a place of a job in the order of placement, and until when after the time of
// the room the job has to start in it.
type order struct {
	place
	until time.Duration
}

// judge returns by how much a job misses its start in the order in which it misses it
// least, not above 0 if it does not. It sets the figures by the last order.
func (d *Decision) judge(cause Cause, s *Supply, margin float64, orders [2]order, ahead func(place, time.Duration) float64) time.Duration {
	least := never
	for _, o := range orders {
		work := ahead(o.place, o.until)
		startIn := s.Time(work / margin)
		least = min(least, startIn-o.until)
		d.Cause, d.Ahead, d.Available, d.StartIn = cause, work, margin*s.Work(o.until), max(0, startIn-d.Age)
	}
	return least
}

// shareOfSmaller returns the share of all work that is in jobs smaller than one with the
// given work, if the work of a job has an exponential distribution. Jobs that can still
// be on time are placed with the smaller ones first.
func shareOfSmaller(work, mean float64) float64 {
	if mean <= 0 {
		return 1
	}
	x := work / mean
	return 1 - (1+x)*math.Exp(-x)
}

// retryAfter returns the delay after which there may be room for a job, which is so much
// too late now. The ids spread the callers over half as much time again, since all of
// them returning at once would be refused again.
func retryAfter(late time.Duration, id job.ID) time.Duration {
	seconds := max(1, math.Ceil(min(late, maxRetryAfter).Seconds()))
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	spread := uint32(math.Ceil(seconds/2)) + 1
	return min(maxRetryAfter, time.Duration(seconds+float64(h.Sum32()%spread))*time.Second)
}
