package front

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/platform"
	"github.com/crocusjunction/crocusjunction/internal/strictjson"
)

// maintenanceTimeout bounds one order or query about maintenance.
const maintenanceTimeout = 10 * time.Second

// MoveRequest is the body of POST /v1/maintenance/move.
type MoveRequest struct {
	Instance string `json:"instance"`
	Pool     string `json:"pool"`
	Author   string `json:"author"`
}

// WaveRequest is the body of POST /v1/maintenance/wave/start.
type WaveRequest struct {
	Name     string   `json:"name"`
	Pools    []string `json:"pools"`
	OneByOne bool     `json:"one_by_one,omitempty"`
	Author   string   `json:"author"`
}

// InstanceList is the JSON answer to GET /v1/maintenance/instances.
type InstanceList struct {
	Instances []machine.Instance  `json:"instances"`
	Moves     []machine.MoveOrder `json:"moves"`
}

// BudgetView is the availability budget of one service with counts of its pool's
// members. GET /v1/maintenance/budgets answers with a list of them.
type BudgetView struct {
	contract.BudgetRecord
	Members int `json:"members"`
	// Unavailable counts the members that are charged to the budget or are in a
	// data centre that is out of service.
	Unavailable int `json:"unavailable"`
}

// PoolView is one pool with the numbers of its members, in total and by phase.
type PoolView struct {
	contract.PoolOrder
	Members int                   `json:"members"`
	Phases  map[machine.Phase]int `json:"phases"`
}

// PoolList is the JSON answer to GET /v1/maintenance/pools.
type PoolList struct {
	Pools   []PoolView          `json:"pools"`
	Planner fleet.PlannerStatus `json:"planner"`
}

// WaveView is one maintenance wave with its progress as numbers of instances.
type WaveView struct {
	machine.Wave
	// Total counts the members of the wave's pools.
	Total int `json:"total"`
	// Done counts the instances that the wave has rebooted.
	Done int `json:"done"`
	// Out counts the instances that are now out of service because of the wave.
	Out int `json:"out"`
	// Skipped counts the instances that the wave has skipped.
	Skipped int `json:"skipped"`
}

// WaveList is the JSON answer to GET /v1/maintenance/waves.
type WaveList struct {
	Waves   []WaveView          `json:"waves"`
	Planner fleet.PlannerStatus `json:"planner"`
}

func (s *Server) maintenanceRoutes() []route {
	get, post := http.MethodGet, http.MethodPost
	return []route{
		{method: get, prefix: "/v1/maintenance/instances", handle: readHandler(s.listInstances)},
		{method: get, prefix: "/v1/maintenance/budgets", handle: readHandler(s.listBudgets)},
		{method: get, prefix: "/v1/maintenance/pools", handle: readHandler(s.listPools)},
		{method: get, prefix: "/v1/maintenance/waves", handle: readHandler(s.listWaves)},
		{method: post, prefix: "/v1/maintenance/move", handle: s.moveInstance},
		{method: post, prefix: "/v1/maintenance/wave/start", handle: s.startWave},
		{method: post, prefix: "/v1/maintenance/wave/pause/", handle: s.pauseWave},
		{method: post, prefix: "/v1/maintenance/wave/resume/", handle: s.resumeWave},
	}
}

// writeMaintenanceResult writes the result of an order or query, or the error
// reply for err.
func writeMaintenanceResult(x *exchange, value any, err error) {
	switch {
	case err == nil:
		writeJSON(x, http.StatusOK, value)
	case errors.Is(err, control.ErrOrderRefused):
		writeError(x, http.StatusConflict, Error{Code: "refused", Reason: err.Error()})
	case errors.Is(err, platform.ErrOutcomeUnknown):
		writeError(x, http.StatusServiceUnavailable, Error{Code: "unknown", Reason: err.Error()})
	default:
		writeError(x, http.StatusServiceUnavailable, Error{Code: "not-accepted", Reason: err.Error(), RetryAfterMS: 1000})
	}
}

func writeBadRequest(x *exchange, reason string) {
	writeError(x, http.StatusBadRequest, Error{Code: fleet.CodeBadRequest, Reason: reason})
}

// readHandler returns a handler that answers with the result of read.
func readHandler[T any](read func(context.Context) (T, error)) handlerFunc {
	return func(x *exchange, _ string) {
		readCtx, cancel := maintenanceContext()
		defer cancel()
		value, err := read(readCtx)
		writeMaintenanceResult(x, value, err)
	}
}

func maintenanceContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), maintenanceTimeout)
}

// poolExists reports whether the configuration names the pool, as a pool or as
// the spare pool of another.
func (s *Server) poolExists(name string) bool {
	for _, o := range s.deps.Loop.Snapshot().Objects(contract.KindPool) {
		if o.Pool.Name == name || o.Pool.Spare == name {
			return true
		}
	}
	return false
}

// moveInstance serves POST /v1/maintenance/move.
func (s *Server) moveInstance(x *exchange, _ string) {
	var r MoveRequest
	if err := strictjson.DecodeBounded(x.body, &r, maxOperatorValues); err != nil {
		writeBadRequest(x, err.Error())
		return
	}
	if r.Instance == "" || strings.Contains(r.Instance, "/") || r.Author == "" {
		writeBadRequest(x, "instance and author are required")
		return
	}
	if !s.poolExists(r.Pool) {
		writeBadRequest(x, "no pool "+r.Pool+" in the configuration")
		return
	}
	orderCtx, cancel := maintenanceContext()
	defer cancel()
	order, err := s.deps.Orders.Move(orderCtx, r.Instance, r.Pool, r.Author)
	writeMaintenanceResult(x, order, err)
}

// startWave serves POST /v1/maintenance/wave/start.
func (s *Server) startWave(x *exchange, _ string) {
	var r WaveRequest
	if err := strictjson.DecodeBounded(x.body, &r, maxOperatorValues); err != nil {
		writeBadRequest(x, err.Error())
		return
	}
	if r.Name == "" || strings.Contains(r.Name, "/") || r.Author == "" || len(r.Pools) == 0 {
		writeBadRequest(x, "name, author and at least one pool are required")
		return
	}
	for _, pool := range r.Pools {
		if !s.poolExists(pool) {
			writeBadRequest(x, "no pool "+pool+" in the configuration")
			return
		}
	}
	orderCtx, cancel := maintenanceContext()
	defer cancel()
	w, err := s.deps.Orders.StartWave(orderCtx, machine.Wave{Name: r.Name, Pools: r.Pools, OneByOne: r.OneByOne, Author: r.Author})
	writeMaintenanceResult(x, w, err)
}

// pauseWave serves POST /v1/maintenance/wave/pause/{name}.
func (s *Server) pauseWave(x *exchange, name string) {
	orderCtx, cancel := maintenanceContext()
	defer cancel()
	w, err := s.deps.Orders.PauseWave(orderCtx, name)
	writeMaintenanceResult(x, w, err)
}

// resumeWave serves POST /v1/maintenance/wave/resume/{name}.
func (s *Server) resumeWave(x *exchange, name string) {
	orderCtx, cancel := maintenanceContext()
	defer cancel()
	w, err := s.deps.Orders.ResumeWave(orderCtx, name)
	writeMaintenanceResult(x, w, err)
}

func (s *Server) listInstances(ctx context.Context) (InstanceList, error) {
	instances, err := s.deps.Orders.Instances(ctx)
	if err != nil {
		return InstanceList{}, err
	}
	moves, err := s.deps.Orders.Moves(ctx)
	return InstanceList{Instances: instances, Moves: moves}, err
}

func (s *Server) listBudgets(ctx context.Context) ([]BudgetView, error) {
	budgets, err := s.deps.Orders.Budgets(ctx)
	if err != nil {
		return nil, err
	}
	instances, err := s.deps.Orders.Instances(ctx)
	views := make([]BudgetView, 0, len(budgets))
	for _, b := range budgets {
		views = append(views, newBudgetView(b, instances))
	}
	return views, err
}

func newBudgetView(b contract.BudgetRecord, instances []machine.Instance) BudgetView {
	view := BudgetView{BudgetRecord: b}
	out := make(map[string]bool)
	for _, centre := range b.Out {
		out[centre] = true
	}
	for _, i := range instances {
		if i.Pool != b.Pool {
			continue
		}
		view.Members++
		if _, charged := b.Charges[i.ID]; charged || out[i.DataCentre] {
			view.Unavailable++
		}
	}
	return view
}

func (s *Server) listPools(ctx context.Context) (PoolList, error) {
	instances, err := s.deps.Orders.Instances(ctx)
	if err != nil {
		return PoolList{}, err
	}
	list := PoolList{Pools: newPoolViews(s.deps.Loop.Snapshot().Objects(contract.KindPool), instances)}
	list.Planner, err = s.deps.Orders.Status(ctx)
	return list, err
}

// newPoolViews returns the configured pools in their order, followed by the pools
// that occur only in the records of instances, and counts the members of each.
func newPoolViews(objects []contract.Object, instances []machine.Instance) []PoolView {
	var names []string
	views := make(map[string]*PoolView)
	add := func(o contract.PoolOrder) {
		if views[o.Name] == nil {
			names = append(names, o.Name)
			views[o.Name] = &PoolView{PoolOrder: o, Phases: make(map[machine.Phase]int)}
		}
	}
	for _, o := range objects {
		add(*o.Pool)
	}
	for _, i := range instances {
		add(contract.PoolOrder{Name: i.Pool})
		views[i.Pool].Members++
		views[i.Pool].Phases[i.Phase]++
	}
	list := make([]PoolView, 0, len(names))
	for _, name := range names {
		list = append(list, *views[name])
	}
	return list
}

func (s *Server) listWaves(ctx context.Context) (WaveList, error) {
	waves, err := s.deps.Orders.Waves(ctx)
	if err != nil {
		return WaveList{}, err
	}
	instances, err := s.deps.Orders.Instances(ctx)
	if err != nil {
		return WaveList{}, err
	}
	list := WaveList{Waves: make([]WaveView, 0, len(waves))}
	for _, w := range waves {
		list.Waves = append(list.Waves, newWaveView(w, instances))
	}
	list.Planner, err = s.deps.Orders.Status(ctx)
	return list, err
}

func newWaveView(w machine.Wave, instances []machine.Instance) WaveView {
	view := WaveView{Wave: w}
	for _, i := range instances {
		if !w.Covers(i.Pool) {
			continue
		}
		view.Total++
		switch {
		case w.Rebooted(&i):
			view.Done++
		case w.Skipped(&i):
			view.Skipped++
		case i.Goal.Wave == w.Name:
			view.Out++
		}
	}
	return view
}
