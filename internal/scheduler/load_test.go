package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// loadQueue is a queue with an open-loop load in a simulation: callers submit whether
// or not earlier jobs have ended.
type loadQueue struct {
	name string
	// meanRate is the mean number of jobs a second. The queues take turns: in its turn
	// a queue gets several times that, and a twentieth in between.
	meanRate float64
	// steps, width, millicores and work are the means of a job's steps, of the tasks
	// of a step, of the need of a task and of its run time.
	steps, width float64
	millicores   int64
	work         time.Duration
}

// loadDay is an open-loop load on a fleet. The first queue's demand is burstFactor
// times as high for 4 s from burstAt, if that is not 0. The scheduler is killed at
// killSchedulerAt, if that is not 0.
type loadDay struct {
	queues          []loadQueue
	machines        int
	turn, length    time.Duration
	burstFactor     float64
	burstAt         time.Duration
	killSchedulerAt time.Duration
	// teams submit the jobs of all queues; without any, one team submits all of them.
	teams []loadTeam
	// shareHalfLife is Options.ShareHalfLife.
	shareHalfLife time.Duration
}

// loadTeam is a team of a load. From overloadAt on, it submits overload times its usual
// load, if overload is not 0.
type loadTeam struct {
	name string
	// part is the team's usual part of the jobs of each queue.
	part       float64
	overload   float64
	overloadAt time.Duration
	// width multiplies the number of tasks of a step, 0 means 1.
	width float64
}

// load returns the present load of the team as a part of the usual load of a queue.
func (l *loadTeam) load(at time.Duration) float64 {
	if l.overload > 0 && at >= l.overloadAt {
		return l.part * l.overload
	}
	return l.part
}

// teamAt returns a random team by the present loads, and the sum of these loads. Without
// teams it returns the only team of the simulation.
func (d *loadDay) teamAt(at time.Duration, random *rand.Rand) (loadTeam, float64) {
	if len(d.teams) == 0 {
		return loadTeam{name: "team"}, 1
	}
	sum := 0.0
	for i := range d.teams {
		sum += d.teams[i].load(at)
	}
	x := random.Float64() * sum
	for i := range d.teams {
		if x -= d.teams[i].load(at); x < 0 {
			return d.teams[i], sum
		}
	}
	return d.teams[len(d.teams)-1], sum
}

// highestLoad returns the largest sum of the loads of all teams.
func (d *loadDay) highestLoad() float64 {
	sum := 0.0
	for i := range d.teams {
		sum += d.teams[i].part * max(1, d.teams[i].overload)
	}
	return max(1, sum)
}

// loadResult counts what callers got.
type loadResult struct {
	jobs, inAim, late, tooLate, unfinished, failed int
	// machineSeconds is the time of machines in pools, moves the number of moves.
	machineSeconds float64
	moves          int
	// teams are the results of the jobs of each team.
	teams map[string]*loadResult
}

func (r loadResult) String() string {
	return fmt.Sprintf("%d jobs: %.3f in aim, %.3f late, %.3f too late, %.3f unfinished; %.0f machine-seconds, %d moves", r.jobs,
		r.share(r.inAim), r.share(r.late), r.share(r.tooLate), r.share(r.unfinished), r.machineSeconds, r.moves)
}

func (r loadResult) share(n int) float64 { return float64(n) / float64(max(1, r.jobs)) }

// smallDay is a load of the kind that a fleet of about 50 machines gets.
func smallDay() loadDay {
	return loadDay{
		queues: []loadQueue{
			{"quotes", 10, 1.6, 6, 400, 640 * time.Millisecond}, {"proofs", 1.2, 2, 8, 850, 1700 * time.Millisecond},
			{"reorders", 12, 1.6, 6, 400, 640 * time.Millisecond}, {"bulk", 1.4, 2, 8, 850, 1700 * time.Millisecond},
		},
		machines: 49, turn: 5 * time.Second, length: 20 * time.Second,
	}
}

// rate returns the jobs a second of queue i at a time of the day.
func (d *loadDay) rate(i int, at time.Duration) float64 {
	cycle := d.turn * time.Duration(len(d.queues))
	offset := (at - d.turn*time.Duration(i) + 10*cycle) % cycle
	// A turn rises and falls over twice its length.
	x := float64(offset) / float64(2*d.turn)
	factor := 0.05
	if x < 1 {
		factor += 4.5 * (1 - math.Cos(2*math.Pi*x)) / 2
	}
	if d.burstFactor > 0 && at >= d.burstAt && at < d.burstAt+4*time.Second && i == 0 {
		factor *= d.burstFactor
	}
	return d.queues[i].meanRate * factor
}

// spread returns a random value with the given mean, between half and one and a half of it.
func spread(random *rand.Rand, mean float64) float64 { return mean * (0.5 + random.Float64()) }

// jobOf returns a random job of a queue.
func (q *loadQueue) job(random *rand.Rand) job.Spec {
	spec := job.Spec{Payload: "p"}
	for len(spec.Steps) == 0 || float64(len(spec.Steps)) < spread(random, q.steps) {
		step := newStep(max(1, int(spread(random, q.width))), int64(spread(random, float64(q.millicores))), int(spread(random, float64(q.work.Milliseconds()))))
		if n := len(spec.Steps); n > 0 {
			step.After = []int{n - 1}
		}
		spec.Steps = append(spec.Steps, step)
	}
	return spec
}

// exhausted reports whether a task of a job has failed as often as its attempts allow.
func (w *simulation) exhausted(id job.ID) bool {
	for step := range w.jobs[id].Steps {
		for i := range w.jobs[id].Steps[step].Count {
			if w.failed[(job.TaskName{Job: id, Step: step, Index: i}).String()] >= w.terms[id].Attempts {
				return true
			}
		}
	}
	return false
}

// count adds the outcome of a job.
func (r *loadResult) count(outcome func(r *loadResult) *int) {
	r.jobs++
	*outcome(r)++
}

// merge adds the results of other.
func (r *loadResult) merge(other *loadResult) {
	r.jobs += other.jobs
	r.inAim += other.inAim
	r.late += other.late
	r.tooLate += other.tooLate
	r.unfinished += other.unfinished
	r.failed += other.failed
	r.machineSeconds += other.machineSeconds
	r.moves += other.moves
}

// play plays the day and returns what callers got.
func (d *loadDay) play(t *testing.T, seed uint64) loadResult {
	w := newEmptySimulation(t, seed)
	w.quiet, w.shareHalfLife = true, d.shareHalfLife
	w.addNodes(2)
	w.teamLimit = machine.Resources{MilliCores: 1 << 40}
	queues, services := []policy.Queue{}, []policy.Service{{Name: "spare", Spare: true}}
	for _, q := range d.queues {
		queues = append(queues, policy.Queue{Name: q.name, Service: q.name, Attempts: 3, Stretch: 1.6, Objective: 600 * time.Millisecond})
		services = append(services, policy.Service{Name: q.name, ChecksAdmission: true})
	}
	teams := []policy.Team{{Name: "team", Keys: []string{"k"}, UpperLimit: w.teamLimit}}
	for _, l := range d.teams {
		teams = append(teams, policy.Team{Name: l.name, Keys: []string{l.name}, Weight: 1, UpperLimit: w.teamLimit})
	}
	w.store.put("config", policy.New(2, queues, teams, services, policy.RequestLimits{}), 0)
	for i := range d.machines {
		w.addMachine(i, "spare")
	}
	w.runFor(5 * time.Second)

	start := w.now
	accepted := make(map[job.ID]time.Time)
	number := 0
	// The arrivals of a load with teams are the same for each rule under comparison.
	random := w.random
	if len(d.teams) > 0 {
		random = rand.New(rand.NewPCG(seed, 2))
	}
	for i := range d.queues {
		q := d.queues[i]
		var next func()
		next = func() {
			at := w.now.Sub(start)
			if at >= d.length {
				return
			}
			// Thinning: candidates come at the highest rate and are kept by the present one.
			highest := q.meanRate * 5 * max(1, d.burstFactor) * d.highestLoad()
			team, sum := d.teamAt(at, random)
			if random.Float64() < d.rate(i, at)*sum/highest {
				number++
				submitted := q
				submitted.width *= max(1, team.width)
				accepted[w.submitAs(team.name, q.name, number, submitted.job(random))] = w.now
			}
			w.after(time.Duration(random.ExpFloat64()/highest*float64(time.Second)), next)
		}
		w.after(0, next)
	}
	if d.killSchedulerAt > 0 {
		w.after(d.killSchedulerAt, func() { w.withLeader(func(n *simNode) { n.kill(2 * time.Second) }) })
	}
	r := loadResult{teams: make(map[string]*loadResult)}
	moved := w.moves
	// drain is the time after the load within which all jobs end. A late job of three steps
	// in which two tasks fail has taken 26 s.
	const sample, drain = 100 * time.Millisecond, 30 * time.Second
	for w.now.Sub(start) < d.length+drain {
		for _, m := range w.machines {
			if m.pool != "spare" && w.now.Sub(start) < d.length {
				r.machineSeconds += sample.Seconds()
			}
		}
		w.runFor(sample)
	}
	r.moves = w.moves - moved
	for id, at := range accepted {
		j := job.New(id, w.terms[id], w.jobs[id], 0, 0)
		took := w.ended[id].Sub(at)
		outcome := func(r *loadResult) *int { return &r.tooLate }
		switch objective := j.CompletionObjective(); {
		case w.ended[id].IsZero():
			outcome = func(r *loadResult) *int { return &r.unfinished }
		case w.state(id) == job.Failed && !w.exhausted(id):
			outcome = func(r *loadResult) *int { return &r.failed }
		case took <= objective:
			outcome = func(r *loadResult) *int { return &r.inAim }
		case took <= lateFactor*objective:
			outcome = func(r *loadResult) *int { return &r.late }
		}
		team := w.terms[id].Team
		if r.teams[team] == nil {
			r.teams[team] = &loadResult{}
		}
		r.count(outcome)
		r.teams[team].count(outcome)
	}
	return r
}

// TestTurnsOfDemand guards against accepted jobs that are given up or left behind when
// the queues take turns at a demand above what their pools hold, also with a burst and
// a takeover in a turn. It prints what callers got, in aim and late.
func TestTurnsOfDemand(t *testing.T) {
	plain, takeover, burst := smallDay(), smallDay(), smallDay()
	takeover.killSchedulerAt = 8 * time.Second
	burst.burstFactor, burst.burstAt = 3, 3*time.Second
	for name, day := range map[string]loadDay{"plain": plain, "takeover": takeover, "burst": burst} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := day.play(t, 1)
			t.Log(r)
			if r.unfinished > 0 || r.failed > 0 {
				t.Errorf("%d jobs unfinished and %d failed of %d that were accepted", r.unfinished, r.failed, r.jobs)
			}
		})
	}
}
