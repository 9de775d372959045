package scheduler

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract/admission"
	"github.com/crocusjunction/crocusjunction/internal/contract/job"
)

const (
	// roomInterval is the least time between two writes of the rooms.
	roomInterval = 500 * time.Millisecond
	// roomEvaluation is the time between two comparisons of work and capacity. One takes
	// 1.3 ms with 2,000 unfinished jobs, twice the time of the planner of moves.
	roomEvaluation = 250 * time.Millisecond
	// roomWarmup is how long a new scheduler writes no rooms: until its workers and
	// machines have answered, capacity seems to be missing.
	roomWarmup = 2 * time.Second
	// joinTime is how long a machine takes to serve in a pool that lacks capacity, from
	// the plan of its move on.
	joinTime = 2 * time.Second
)

// roomState is the capacity and the work of the services that have more work than they
// can do in time. The active scheduler stores it; every node adds the jobs accepted since
// and offers it to the threads that serve callers.
type roomState struct {
	// stored is the record in the store. asOf is the earliest time at which it can have
	// been written, zero if that is not known.
	stored RoomsRead
	asOf   time.Time
	// recent are the jobs that were accepted after the store's revision stored.AsOf.
	recent []recentJob
	// published is what Rooms returned last, outdated whether it has to be built again.
	published *admission.Rooms
	outdated  bool

	writes recordWrites
	// writeAt is when the next write may be sent, evaluateAt when the work is next
	// compared with the capacity.
	writeAt, evaluateAt time.Time
}

// recentJob is a job with the time at which this node read it.
type recentJob struct {
	job *job.Job
	at  time.Time
}

func (r *roomState) startLeading(now time.Time) {
	r.writes, r.writeAt = recordWrites{revision: r.stored.Revision}, now.Add(roomWarmup)
}

func (r *roomState) jobAccepted(j *job.Job, now time.Time) {
	// A record is used up to MaxAge, so no later record lacks an older job.
	keep := slices.IndexFunc(r.recent, func(j recentJob) bool { return now.Sub(j.at) <= 2*admission.MaxAge })
	if keep < 0 {
		keep = len(r.recent)
	}
	r.recent = slices.Delete(r.recent, 0, keep)
	if j.Revision > r.stored.AsOf {
		r.recent, r.outdated = append(r.recent, recentJob{j, now}), true
	}
}

// RoomsRead carries the stored rooms by service. They count the jobs that were accepted
// up to the store's revision AsOf.
type RoomsRead struct {
	// Fence is the fencing token of the scheduler that wrote the rooms.
	Fence    int64
	Rooms    map[string]admission.Room
	AsOf     int64
	Revision int64
}

func (c RoomsRead) apply(s *Scheduler, _ time.Time) {
	r := &s.room
	if c.Revision <= r.stored.Revision {
		return
	}
	// The previous reading of the copy did not contain the record, so it was written
	// after that was sent. Before the first reading its age is not known.
	r.stored, r.asOf, r.outdated = c, s.JobsAsOf(), true
	r.recent = slices.DeleteFunc(r.recent, func(j recentJob) bool { return j.job.Revision <= c.AsOf })
}

// Rooms returns the rooms of the services that have more work than they can do in time,
// nil if there are none or the present scheduler has not written them.
func (s *Scheduler) Rooms() *admission.Rooms {
	r := &s.room
	if len(r.stored.Rooms) == 0 || r.asOf.IsZero() || r.stored.Fence != s.election.holder.Fence || s.config == nil {
		r.published, r.outdated = nil, true
		return nil
	}
	if !r.outdated {
		return r.published
	}
	accepted := make(map[string][]admission.Demand)
	for _, recent := range r.recent {
		service := s.serviceOf(recent.job)
		if _, ok := r.stored.Rooms[service]; !ok || recent.job.CancelAsked {
			continue
		}
		if d := admission.DemandOf(recent.job, service, 0); !d.Exempt {
			accepted[service] = append(accepted[service], d)
		}
	}
	rooms := &admission.Rooms{ByService: make(map[string]admission.Room, len(r.stored.Rooms)), AsOf: r.asOf}
	for service, room := range r.stored.Rooms {
		rooms.ByService[service] = room.With(accepted[service])
	}
	r.published, r.outdated = rooms, false
	return rooms
}

// StoreRooms stores the rooms of the services that have more work than they can do in
// time, none if there are no such services. The result is RoomsStored.
type StoreRooms struct {
	Fence int64
	Rooms map[string]admission.Room
	AsOf  int64
	// Expected is the revision that the rooms must have in the store, 0 for none.
	Expected int64
}

func (StoreRooms) isAction() {}

// RoomsStored is the result of StoreRooms.
type RoomsStored struct {
	Fence  int64
	Result RecordResult
}

// Apply implements Event.
func (e RoomsStored) Apply(s *Scheduler, now time.Time) {
	if s.leading && e.Fence == s.fence() {
		s.finishRecordWrite(&s.room.writes, e.Result, roomInterval, now)
	}
}

// stepRoom stores the rooms while there are any, and once more when there are none.
func (s *Scheduler) stepRoom(now time.Time) {
	r := &s.room
	if now.Before(r.writeAt) || now.Before(r.evaluateAt) || s.config == nil || s.machineOps.machines == nil || !s.copiesFresh(now) {
		return
	}
	r.evaluateAt = now.Add(roomEvaluation)
	rooms := s.exceededRooms(now)
	if len(rooms) == 0 && len(r.stored.Rooms) == 0 || !s.mayWriteRecord(&r.writes, now) {
		return
	}
	r.writes.writing, r.writeAt = true, now.Add(roomInterval)
	for _, service := range slices.Sorted(maps.Keys(rooms)) {
		room := rooms[service]
		s.log("service has more work than it can do in time", "service", service, "millicores", room.Up, "millicores_in_use", room.InUse,
			"work_possible_in_2s", math.Round(room.Work(joinTime)), "work_possible_in_6s", math.Round(room.Work(3*joinTime)), "work", math.Round(room.TotalWork()), "limited_teams", room.LimitedTeams())
	}
	if len(rooms) == 0 {
		s.log("services can do their work in time")
	}
	s.act(StoreRooms{Fence: s.fence(), Rooms: rooms, AsOf: s.election.syncedRevision, Expected: r.writes.revision})
}
