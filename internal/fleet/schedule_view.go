package fleet

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/zone"
)

// ScheduleView names the scheduler of a data centre. It is part of every answer
// about the schedule.
type ScheduleView struct {
	DataCentre string `json:"datacentre"`
	// Scheduler is the holder of the role as "ID at IP:PORT", empty when it is
	// unknown.
	Scheduler string `json:"scheduler"`
	// Here is true when this process holds the role. Otherwise the lists are
	// empty and Scheduler names the process to ask.
	Here bool `json:"here"`
}

// TeamView is the share, use and distance of one team.
type TeamView struct {
	contract.Share
	// Distance is Use minus Fair.
	Distance float64        `json:"distance"`
	Running  int            `json:"running"`
	Queue    zone.TeamQueue `json:"queue"`
}

// ShareView is the answer to ShareQuery. Teams are ordered by name.
type ShareView struct {
	ScheduleView
	Teams []TeamView `json:"teams"`
}

// WorkerView is the scheduler's state of one worker.
type WorkerView struct {
	ID       string               `json:"id"`
	Rack     string               `json:"rack"`
	Health   machine.WorkerHealth `json:"health"`
	Capacity machine.Resources    `json:"capacity"`
	// Free is the capacity that is not charged to tasks. It is negative when
	// tasks use more than was estimated.
	Free      machine.Resources `json:"free"`
	Running   int               `json:"running"`
	FreeSlots int               `json:"free_slots"`
	// ProbeAt is when a worker that is set aside gets a task again as a probe,
	// zero for other workers.
	ProbeAt time.Time `json:"probe_at,omitzero"`
}

// WorkerListView is the answer to WorkerQuery. Workers are ordered by rack and
// id.
type WorkerListView struct {
	ScheduleView
	Workers []WorkerView `json:"workers"`
}

func (f *Fleet) scheduleView() ScheduleView {
	return ScheduleView{DataCentre: f.self.DataCentre, Scheduler: f.schedule.holder, Here: f.schedule.active != nil}
}

// ShareQuery asks for the shares of all teams. Reply must have a free buffer
// place.
type ShareQuery struct{ Reply chan<- ShareView }

// Apply implements Event.
func (e ShareQuery) Apply(f *Fleet, now time.Time) []Action {
	view := ShareView{ScheduleView: f.scheduleView(), Teams: []TeamView{}}
	if s := f.schedule.active; s != nil {
		set := s.centre.Workers
		for _, share := range contract.FairShares(set.Demands(f.teamWeights())) {
			view.Teams = append(view.Teams, TeamView{
				Share: share, Distance: share.Distance(), Running: set.Running(share.Team), Queue: set.Backlog().Queue(share.Team),
			})
		}
	}
	e.Reply <- view
	return nil
}

// WorkerQuery asks for the workers of the data centre. Reply must have a free
// buffer place.
type WorkerQuery struct{ Reply chan<- WorkerListView }

// Apply implements Event.
func (e WorkerQuery) Apply(f *Fleet, now time.Time) []Action {
	view := WorkerListView{ScheduleView: f.scheduleView(), Workers: []WorkerView{}}
	if s := f.schedule.active; s != nil {
		for _, rack := range s.centre.Workers.Racks() {
			for _, w := range rack.Workers() {
				view.Workers = append(view.Workers, workerView(w))
			}
		}
	}
	e.Reply <- view
	return nil
}

func workerView(w *machine.Worker) WorkerView {
	v := WorkerView{
		ID: w.ID, Rack: w.Rack, Health: w.Health(), Capacity: w.Capacity, Free: w.Free(),
		Running: machine.WorkerSlots - w.FreeSlots(), FreeSlots: w.FreeSlots(),
	}
	if v.Health == machine.WorkerAside {
		v.ProbeAt = w.ProbeAt()
	}
	return v
}
