// Package admission decides whether a node accepts a job while a service has more work
// than it can do. It refuses only jobs that could not be completed in time to be of
// use. It does no I/O and reads no clock; callers pass the time in.
package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// never is the time for work that no capacity will do.
const never = time.Hour

// Arrival is capacity that will serve in some time.
type Arrival struct {
	MilliCores int64
	In         time.Duration
}

// Supply is the capacity of a service over time.
type Supply struct {
	// Up are the millicores that serve now, without those of long-running tasks.
	Up int64
	// Arrivals are in the order of their times.
	Arrivals []Arrival
}

// Work returns the core-seconds that the capacity can do within d.
func (s *Supply) Work(d time.Duration) float64 {
	work := coreSeconds(s.Up, d)
	for _, a := range s.Arrivals {
		work += coreSeconds(a.MilliCores, max(0, d-a.In))
	}
	return work
}

// Time returns the time within which the capacity can do work core-seconds.
func (s *Supply) Time(work float64) time.Duration {
	rate, from := s.Up, time.Duration(0)
	for _, a := range s.Arrivals {
		done := coreSeconds(rate, a.In-from)
		if done >= work {
			break
		}
		work -= done
		rate, from = rate+a.MilliCores, a.In
	}
	return timeAt(rate, work, from)
}

// timeAt returns the time for work core-seconds at a rate in millicores from a time on.
func timeAt(rate int64, work float64, from time.Duration) time.Duration {
	if work <= 0 {
		return from
	}
	seconds := work / (float64(rate) / 1000)
	if seconds > never.Seconds() {
		return never
	}
	return min(never, from+time.Duration(seconds*float64(time.Second)))
}

func coreSeconds(milliCores int64, d time.Duration) float64 {
	return float64(milliCores) / 1000 * d.Seconds()
}

// Load is the work of a team's jobs, of one priority, that can still be of use.
type Load struct {
	// Team is empty for all teams whose upper limit does not delay them.
	Team     string
	Priority int
	// Rate is the millicores that the team may use in this service, 0 if Team is empty.
	Rate int64
	// Begun are the core-seconds that are done before those of any new job: what is left
	// of running tasks, and all work of jobs that have begun and can still be on time.
	// Timely are those of other jobs that can still be on time, Late those of jobs that
	// can no longer: a new job is placed before these until it is late itself.
	Begun, Timely, Late float64
}

// Room is what a scheduler knows about the capacity of a service and the work for it.
type Room struct {
	Supply
	// InUse are the millicores of all running tasks.
	InUse int64
	// MeanWork is the mean work in core-seconds of a waiting job that can be on time.
	MeanWork float64
	// Loads are in the order of their teams and priorities.
	Loads []Load
}

// maxLimitedTeams bounds the size of a room in the store: the 140 teams of the target
// size would take 4 KB for each service.
const maxLimitedTeams = 32

// NewRoom returns the room of a service with the given loads, which have a rate also for
// teams whose limit does not matter. It merges the loads of teams that their limits do
// not delay within horizon. Exceeded is false if all work can be done within horizon.
func NewRoom(s Supply, inUse int64, meanWork float64, loads []Load, horizon time.Duration) (room Room, exceeded bool) {
	slices.SortFunc(s.Arrivals, compareArrivals)
	teams := make(map[string]float64)
	for _, l := range loads {
		teams[l.Team] += l.total()
	}
	var limited []string
	for _, l := range loads {
		if l.Team != "" && l.Rate > 0 && teams[l.Team] > coreSeconds(l.Rate, horizon) && !slices.Contains(limited, l.Team) {
			limited = append(limited, l.Team)
		}
	}
	slices.SortFunc(limited, func(a, b string) int { return cmp.Or(cmp.Compare(teams[b], teams[a]), cmp.Compare(a, b)) })
	room = Room{Supply: s, InUse: inUse, MeanWork: meanWork}
	for _, l := range loads {
		switch i := slices.Index(limited, l.Team); {
		case i >= maxLimitedTeams:
			// Only the part that the limit lets others see within horizon counts: less
			// work ahead refuses less.
			part := min(1, coreSeconds(l.Rate, horizon)/teams[l.Team])
			l.Team, l.Rate, l.Begun, l.Timely, l.Late = "", 0, l.Begun*part, l.Timely*part, l.Late*part
		case i < 0:
			l.Team, l.Rate = "", 0
		}
		room.add(l)
	}
	exceeded = len(limited) > 0 || room.ahead(lateJob(math.MaxInt), horizon) > room.Work(horizon)
	return room, exceeded
}

// Ordered reports whether arrivals and loads are in their order.
func (r *Room) Ordered() bool {
	return slices.IsSortedFunc(r.Arrivals, compareArrivals) && slices.IsSortedFunc(r.Loads, compareLoads)
}

func compareArrivals(a, b Arrival) int { return cmp.Compare(a.In, b.In) }

func compareLoads(a, b Load) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Priority, b.Priority))
}

// add adds a load to that of its team and priority. It changes Loads in place.
func (r *Room) add(l Load) {
	i, found := slices.BinarySearchFunc(r.Loads, l, compareLoads)
	if !found {
		r.Loads = slices.Insert(r.Loads, i, l)
		return
	}
	r.Loads[i].Begun += l.Begun
	r.Loads[i].Timely += l.Timely
	r.Loads[i].Late += l.Late
}

// With returns the room with jobs that were accepted since added to its loads.
func (r Room) With(accepted []Demand) Room {
	r.Loads = slices.Clone(r.Loads)
	for _, d := range accepted {
		l := Load{Priority: d.Priority, Timely: d.Work}
		if i := slices.IndexFunc(r.Loads, func(l Load) bool { return l.Team == d.Team }); i >= 0 {
			l.Team, l.Rate = r.Loads[i].Team, r.Loads[i].Rate
		}
		r.add(l)
	}
	return r
}

func (l *Load) total() float64 { return l.Begun + l.Timely + l.Late }

// place is the place of a job in the order in which the scheduler places jobs.
type place struct {
	priority int
	// timely and late are the shares of the waiting work of timely and of late jobs that
	// come before the job.
	timely, late float64
}

// timelyJob returns the place of a job while it can be on time: before all late jobs, and
// among timely ones before those with more work.
func timelyJob(priority int, work, mean float64) place {
	return place{priority: priority, timely: shareOfSmaller(work, mean)}
}

// lateJob returns the place of a job that can no longer be on time: after all others.
func lateJob(priority int) place { return place{priority, 1, 1} }

// before returns the core-seconds of a load that come before a job.
func (l *Load) before(p place) float64 {
	if l.Priority > p.priority {
		return l.Begun
	}
	return l.Begun + p.timely*l.Timely + p.late*l.Late
}

// ahead returns the core-seconds within d that come before a job. A team adds no more than
// its rate allows within d.
func (r *Room) ahead(p place, d time.Duration) float64 {
	sum, ofTeam := 0.0, 0.0
	for i, l := range r.Loads {
		ofTeam += l.before(p)
		if i+1 < len(r.Loads) && r.Loads[i+1].Team == l.Team {
			continue
		}
		if l.Team != "" {
			ofTeam = min(ofTeam, coreSeconds(l.Rate, d))
		}
		sum += ofTeam
		ofTeam = 0
	}
	return sum
}

// TotalWork returns the core-seconds of all loads.
func (r *Room) TotalWork() float64 {
	sum := 0.0
	for _, l := range r.Loads {
		sum += l.total()
	}
	return sum
}

// LimitedTeams returns the number of teams that their upper limits delay.
func (r *Room) LimitedTeams() int {
	n := 0
	for i, l := range r.Loads {
		if l.Team != "" && (i == 0 || r.Loads[i-1].Team != l.Team) {
			n++
		}
	}
	return n
}

// ofTeam returns the core-seconds of a team alone that are done before those of its job,
// as in ahead. They are not known of a team whose limit does not delay it.
func (r *Room) ofTeam(team string, p place) float64 {
	sum := 0.0
	for _, l := range r.Loads {
		if team != "" && l.Team == team {
			sum += l.before(p)
		}
	}
	return sum
}
