package admission

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/job"
)

// tick is the step of the simulated time.
const tick = 20 * time.Millisecond

// loadJob is a job of the simulation. Its tasks use up to width cores at a time.
type loadJob struct {
	Demand
	class               int
	width, done, work   float64
	begun               bool
	submitted, accepted time.Duration
	centre              int
}

func (j *loadJob) estimate() float64 { return max(0, j.Work-j.done) }

// slack is the time by which the job can be delayed and be on time.
func (j *loadJob) slack(now time.Duration) time.Duration {
	return j.accepted + j.Objective - now - time.Duration(j.estimate()/j.width*float64(time.Second))
}

func (j *loadJob) rank(now time.Duration) (int, float64) {
	switch slack := j.slack(now); {
	case -slack > (lateFactor-1)*j.Objective:
		return 2, float64(j.accepted + lateFactor*j.Objective)
	case slack < 0:
		return 2, float64(j.accepted)
	case j.begun:
		return 0, float64(slack)
	default:
		return 1, j.estimate() * float64(slack)
	}
}

// loadPool is the pool of one service: machines that serve, and when others arrive.
type loadPool struct {
	jobs     []loadJob
	machines int
	arriving []time.Duration
	// neededAt is when the pool last needed all machines, used are the cores in use.
	neededAt time.Duration
	used     float64
}

// fleet is a fleet in which machines of 4 cores move between a spare pool and the pools of
// the services within 2 s. It places jobs in the order of the scheduler.
type fleet struct {
	now   time.Duration
	spare int
	pools []loadPool
	limit float64
}

const machineCores = 4

// step advances the fleet by a tick and returns the jobs that have ended.
func (f *fleet) step() (ended []loadJob) {
	f.now += tick
	used := make(map[string]float64)
	for i := range f.pools {
		p := &f.pools[i]
		arrived := len(p.arriving)
		p.arriving = slices.DeleteFunc(p.arriving, func(at time.Duration) bool { return at <= f.now })
		p.machines += arrived - len(p.arriving)
		slices.SortStableFunc(p.jobs, func(a, b loadJob) int {
			rankA, keyA := a.rank(f.now)
			rankB, keyB := b.rank(f.now)
			return cmp.Or(cmp.Compare(rankA, rankB), cmp.Compare(keyA, keyB))
		})
		free, need := float64(p.machines*machineCores), 0.0
		p.used = 0
		for k := range p.jobs {
			j := &p.jobs[k]
			cores := max(0, min(j.width, free, f.limit-used[j.Team]))
			free, p.used, used[j.Team] = free-cores, p.used+cores, used[j.Team]+cores
			j.done, j.begun = j.done+cores*tick.Seconds(), j.begun || cores > 0
			if rank, _ := j.rank(f.now); rank < 2 {
				cores = min(j.width, f.limit)
			}
			need += cores
		}
		isDone := func(j loadJob) bool { return j.done >= j.work }
		ended = append(ended, slices.DeleteFunc(slices.Clone(p.jobs), func(j loadJob) bool { return !isDone(j) })...)
		p.jobs = slices.DeleteFunc(p.jobs, isDone)
		f.move(p, int(math.Ceil(need/machineCores)))
	}
	return ended
}

// move orders machines for a pool, and returns those that it did not need for 1 s.
func (f *fleet) move(p *loadPool, need int) {
	have := p.machines + len(p.arriving)
	for ; f.spare > 0 && have < need; have++ {
		f.spare--
		p.arriving = append(p.arriving, f.now+2*time.Second)
	}
	if have <= max(need, 3) {
		p.neededAt = f.now
	} else if f.now-p.neededAt > time.Second {
		back := min(p.machines, have-max(need, 3))
		p.machines, f.spare = p.machines-back, f.spare+back
	}
}

// room returns what the scheduler would store about a service.
func (f *fleet) room(i int) (Room, bool) {
	p := &f.pools[i]
	// The other pool's machines are free when its work is done.
	other, otherWork := &f.pools[1-i], 0.0
	for n := range other.jobs {
		otherWork += other.jobs[n].estimate()
	}
	up, used := int64(other.machines)*machineCores*1000, int64(other.used*1000)
	s := Supply{Up: int64(p.machines) * machineCores * 1000, Arrivals: []Arrival{
		{int64(f.spare)*machineCores*1000 + up - used, 2 * time.Second}, {used, 2*time.Second + (&Supply{Up: up}).Time(otherWork)},
	}}
	for _, at := range p.arriving {
		s.Arrivals = append(s.Arrivals, Arrival{machineCores * 1000, at - f.now})
	}
	var loads []Load
	work, waiting := 0.0, 0
	for k := range p.jobs {
		j := &p.jobs[k]
		l := Load{Team: j.Team, Rate: int64(f.limit * 1000)}
		switch rank, _ := j.rank(f.now); {
		case rank == 0:
			l.Begun = j.estimate()
		case rank == 1:
			l.Timely, work, waiting = j.estimate(), work+j.estimate(), waiting+1
		case -j.slack(f.now) <= (lateFactor-1)*j.Objective:
			l.Late = j.estimate()
		}
		loads = append(loads, l)
	}
	return NewRoom(s, 0, work/float64(max(1, waiting)), loads, 600*time.Millisecond)
}

// outcome is what a caller got.
type outcome int

const (
	onTime outcome = iota
	late
	refusedAtOnce
	refusedAfterRetries
	noUse
	outcomes
)

// loadResult counts what callers got, by class, team and data centre.
type loadResult struct {
	counts map[string][outcomes]int
	// refusals are the refusals, wrong those that hit a job which could have been of use,
	// of the sample that was tried.
	refusals, sampled, wrong int
}

func (r *loadResult) count(j loadJob, o outcome) {
	for _, key := range []string{"all", "class " + j.Service, j.Team, fmt.Sprintf("data centre %d", j.centre)} {
		counts := r.counts[key]
		counts[o]++
		r.counts[key] = counts
	}
}

// loadRun is one open-loop run. The nodes of each data centre read the record every 250 ms;
// those of data centre 2 are cut off from 12 s to 18 s.
type loadRun struct {
	fleet
	// arrivals and choices are the random numbers of the jobs and of all else.
	arrivals, choices rand.PCG
	admit, trial      bool
	load              float64
	rooms             [3]*Rooms
	// record is the last record, accepted are the jobs accepted since.
	record   *Rooms
	accepted []Demand
	// calls are the submissions to come.
	calls  []call
	result *loadResult
}

type call struct {
	at, refused time.Duration
	retries     int
	job         loadJob
}

// classes are the jobs a second, the work in core-seconds and the longest chain of the two
// kinds of jobs, each with its own service. Their demand takes turns.
var classes = [2]struct{ rate, work, path float64 }{{10, 2.5, 1}, {1.2, 23, 3.4}}

const (
	loadLength = 60 * time.Second
	// fullLoad is the factor of the classes' rates at which their mean work equals the
	// capacity of the fleet.
	fullLoad = 1.43
)

// couldBeOfUse reports whether a job that was refused would be completed within three
// times its objective if it was accepted and all later callers were served as before.
func (r *loadRun) couldBeOfUse(j loadJob) bool {
	trial := *r
	trial.trial, trial.result = true, &loadResult{counts: make(map[string][outcomes]int)}
	trial.accepted, trial.calls, trial.pools = slices.Clone(r.accepted), slices.Clone(r.calls), slices.Clone(r.pools)
	for i, p := range trial.pools {
		trial.pools[i].jobs, trial.pools[i].arriving = slices.Clone(p.jobs), slices.Clone(p.arriving)
	}
	trial.pools[j.class].jobs = append(trial.pools[j.class].jobs, j)
	for trial.now <= r.now+lateFactor*j.Objective {
		if slices.ContainsFunc(trial.advance(), func(e loadJob) bool { return e.ID == j.ID }) {
			return true
		}
	}
	return false
}

func (r *loadRun) arrive() {
	random := rand.New(&r.arrivals)
	for class, c := range classes {
		phase := math.Mod(r.now.Seconds()+10*float64(class), 20) / 10
		factor := 0.05
		if phase < 1 {
			factor = 5 * (1 - math.Cos(2*math.Pi*phase)) / 2
		}
		for at := random.ExpFloat64(); at < c.rate*factor*r.load*fullLoad*tick.Seconds(); at += random.ExpFloat64() {
			r.calls = append(r.calls, call{at: r.now, job: r.newJob(class, random)})
		}
	}
}

// newJob returns a job of a class.
func (r *loadRun) newJob(class int, random *rand.Rand) loadJob {
	spread := func(mean float64) float64 { return mean * (0.5 + random.Float64()) }
	path := spread(classes[class].path)
	j := loadJob{class: class, centre: random.IntN(3), submitted: r.now}
	j.ID = job.ID(fmt.Sprintf("%016x", random.Uint64()))
	j.Service, j.Team = fmt.Sprint(class), fmt.Sprintf("team-%d", max(0, random.IntN(9)-4))
	j.Work, j.Path, j.TeamLimit = spread(classes[class].work), time.Duration(path*float64(time.Second)), int64(r.limit*1000)
	j.Objective = time.Duration(1.6*path*float64(time.Second)) + 600*time.Millisecond
	j.width = j.Work / path
	j.work = j.Work * (0.6 + 0.8*random.Float64())
	return j
}

// submit lets a node decide about a call, whose caller leaves or returns after a refusal.
func (r *loadRun) submit(c call) {
	epoch := time.UnixMilli(0)
	random := rand.New(&r.choices)
	first := time.Time{}
	if c.refused > 0 && random.IntN(9) == 0 {
		// Only one of nine nodes has refused the job.
		first = epoch.Add(c.refused)
	}
	c.job.accepted = r.now
	d := r.rooms[c.job.centre].Decide(c.job.Demand, first, epoch.Add(r.now))
	if d.Accept || !r.admit {
		r.pools[c.job.class].jobs = append(r.pools[c.job.class].jobs, c.job)
		r.accepted = append(r.accepted, c.job.Demand)
		return
	}
	r.result.refusals++
	if !r.trial && r.result.refusals%20 == 0 {
		r.result.sampled++
		if r.couldBeOfUse(c.job) {
			r.result.wrong++
		}
	}
	if c.retries == 4 || random.IntN(10) == 0 || d.NoUse {
		r.result.count(c.job, refusedAtOnce+outcome(min(1, c.retries)))
		return
	}
	c.refused = cmp.Or(c.refused, r.now)
	c.at, c.retries = r.now+d.RetryAfter, c.retries+1
	r.calls = append(r.calls, c)
}

// publish makes what the scheduler writes every 500 ms, and the jobs accepted since, known
// to the nodes, which read every 250 ms.
func (r *loadRun) publish() {
	if r.now%(250*time.Millisecond) != 0 {
		return
	}
	if r.now%(500*time.Millisecond) == 0 {
		r.record, r.accepted = &Rooms{ByService: make(map[string]Room), AsOf: time.UnixMilli(0).Add(r.now - 250*time.Millisecond)}, nil
		for i := range r.pools {
			if room, exceeded := r.room(i); exceeded {
				r.record.ByService[fmt.Sprint(i)] = room
			}
		}
	}
	rooms := &Rooms{ByService: make(map[string]Room), AsOf: r.record.AsOf}
	for service, room := range r.record.ByService {
		rooms.ByService[service] = room.With(slices.DeleteFunc(slices.Clone(r.accepted), func(d Demand) bool { return d.Service != service }))
	}
	r.rooms[0], r.rooms[1] = rooms, rooms
	if r.now < 12*time.Second || r.now >= 18*time.Second {
		r.rooms[2] = rooms
	}
}

// advance advances the run by a tick and returns the jobs that have ended.
func (r *loadRun) advance() []loadJob {
	if r.now < loadLength {
		r.arrive()
	}
	calls := r.calls
	r.calls = nil
	for _, c := range calls {
		if c.at <= r.now {
			r.submit(c)
		} else {
			r.calls = append(r.calls, c)
		}
	}
	ended := r.step()
	r.publish()
	return ended
}

// run runs the load to its end and counts the jobs.
func (r *loadRun) run() {
	for r.now < loadLength+20*time.Second {
		for _, j := range r.advance() {
			switch took := r.now - j.submitted; {
			case took <= j.Objective:
				r.result.count(j, onTime)
			case took <= lateFactor*j.Objective:
				r.result.count(j, late)
			default:
				r.result.count(j, noUse)
			}
		}
	}
	for _, j := range slices.Concat(r.pools[0].jobs, r.pools[1].jobs) {
		r.result.count(j, noUse)
	}
}

func playLoad(load float64, admit bool) *loadResult {
	result := &loadResult{counts: make(map[string][outcomes]int)}
	for seed := range uint64(3) {
		r := loadRun{admit: admit, load: load, arrivals: *rand.NewPCG(seed, 1), choices: *rand.NewPCG(seed, 2), result: result}
		r.fleet = fleet{spare: 18, limit: 30, pools: []loadPool{{machines: 3}, {machines: 3}}}
		r.run()
	}
	return result
}

// TestLoad guards against refusals while the fleet can do the work, against refusals of
// jobs that could have been of use, and against admission by which fewer jobs are of use.
// It prints what callers got, as the outcomes are numbered.
func TestLoad(t *testing.T) {
	for _, load := range []float64{0.6, 1, 1.4} {
		all, admitted := playLoad(load, false), playLoad(load, true)
		for _, key := range slices.Sorted(maps.Keys(all.counts)) {
			t.Logf("load %v, %s: accept all %v, admission %v", load, key, all.counts[key], admitted.counts[key])
		}
		t.Logf("load %v: %d refusals; %d of %d tried could have been of use", load, admitted.refusals, admitted.wrong, admitted.sampled)
		before, after := all.counts["all"], admitted.counts["all"]
		if load < 1 && admitted.refusals > 0 || load > 1 && admitted.refusals == 0 || after[noUse] > before[noUse] {
			t.Errorf("load %v: %d refusals, %d jobs accepted and of no use, %d without admission", load, admitted.refusals, after[noUse], before[noUse])
		}
		// A hundredth is the effect of a single burst that the choices of nodes move.
		if lost := before[onTime] + before[late] - after[onTime] - after[late]; lost > (before[onTime]+before[late])/100 {
			t.Errorf("load %v: %d jobs fewer are of use with admission", load, lost)
		}
		if admitted.wrong*4 > admitted.sampled {
			t.Errorf("load %v: %d of %d refused jobs could have been of use", load, admitted.wrong, admitted.sampled)
		}
	}
}
