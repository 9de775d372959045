package site

import (
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Times that a machine takes to carry out an order.
const (
	moveDuration   = 150 * time.Millisecond
	upkeepDuration = 200 * time.Millisecond
)

// MachineOrder records one order for a machine that took effect. Pool is the
// target of a move and empty for an upkeep; Wave is the wave of an upkeep.
type MachineOrder struct {
	Machine, Holder, Pool string
	Fence, Wave           int64
	At                    time.Time
	// Down is the number of machines in upkeep for the same wave when the order
	// took effect.
	Down int
}

// machine is one machine of the site. Machines.mu guards it.
type machine struct {
	name, pool, state, zone, rack string
	worker                        *Worker
	// upkeepWaves holds the waves whose upkeep of the machine has begun;
	// lastWave is the latest of them.
	upkeepWaves map[int64]bool
	lastWave    int64
}

// Machines is a stand-in for the machines service. It is safe for concurrent
// use.
type Machines struct {
	mu            sync.Mutex
	machines      []*machine
	orders        []MachineOrder
	answersToLose int
	// startNextWorker replaces the worker of a machine when an order is completed.
	startNextWorker func(m *machine)
}

// LoseAnswers drops the answers to the next n orders that are not rejected.
func (m *Machines) LoseAnswers(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answersToLose = n
}

// Orders returns the orders that took effect, oldest first.
func (m *Machines) Orders() []MachineOrder {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]MachineOrder(nil), m.orders...)
}

// PoolOf returns the pool of a machine, or "" if the machine is unknown.
func (m *Machines) PoolOf(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, mc := range m.machines {
		if mc.name == name {
			return mc.pool
		}
	}
	return ""
}

// Serve handles one HTTP call to the machines service.
func (m *Machines) Serve(c *fasthttp.RequestCtx) {
	switch string(c.Path()) {
	case "/machines":
		m.serveList(c)
	case "/machine-move", "/machine-upkeep":
		m.serveOrder(c)
	default:
		c.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (m *Machines) serveList(c *fasthttp.RequestCtx) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := []map[string]any{}
	for _, mc := range m.machines {
		row := map[string]any{
			"machine": mc.name, "pool": mc.pool, "state": mc.state, "zone": mc.zone, "labels": []string{"a", mc.rack},
			"capacity": map[string]int64{"cpu": mc.worker.CPU, "mem-mb": mc.worker.MemoryMB, "gpu": 0}, "id": nil,
		}
		if mc.state == "up" {
			row["id"] = mc.worker.ID
		}
		rows = append(rows, row)
	}
	replyJSON(c, map[string]any{"machines": rows, "next-token": nil})
}

// serveOrder handles a move or an upkeep. A repeated order is accepted and has
// no further effect.
func (m *Machines) serveOrder(c *fasthttp.RequestCtx) {
	var request struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int64  `json:"wave"`
	}
	if json.Unmarshal(c.PostBody(), &request) != nil {
		c.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	fence, _ := strconv.ParseInt(string(c.Request.Header.Peek("Fencing-Token")), 10, 64)
	m.mu.Lock()
	defer m.mu.Unlock()
	target := m.find(request.Machine)
	switch {
	case target == nil:
		c.SetStatusCode(fasthttp.StatusBadRequest)
		return
	case request.Pool == "" && target.upkeepWaves[request.Wave] || request.Pool == target.pool:
		// The order has taken effect before.
	case target.state != "up":
		c.SetStatusCode(fasthttp.StatusConflict)
		replyJSON(c, map[string]any{"reason": "busy"})
		return
	default:
		m.applyOrder(target, request.Pool, request.Wave, MachineOrder{
			Machine: request.Machine, Holder: string(c.Request.Header.Peek("Duty-Holder")),
			Pool: request.Pool, Fence: fence, Wave: request.Wave, At: time.Now(), Down: m.countInUpkeep(request.Wave),
		})
	}
	if m.answersToLose > 0 {
		m.answersToLose--
		abort(c)
		return
	}
	replyJSON(c, map[string]any{})
}

// find returns a machine, or nil if it is unknown. The caller holds m.mu.
func (m *Machines) find(name string) *machine {
	for _, mc := range m.machines {
		if mc.name == name {
			return mc
		}
	}
	return nil
}

// countInUpkeep returns the number of machines in upkeep for a wave. The caller
// holds m.mu.
func (m *Machines) countInUpkeep(wave int64) int {
	n := 0
	for _, mc := range m.machines {
		if mc.state == "upkeep" && mc.lastWave == wave {
			n++
		}
	}
	return n
}

// applyOrder starts a move, or an upkeep if pool is empty. The worker restarts
// immediately and so loses its runs. After the duration of the order the machine
// is up again, with a new worker. The caller holds m.mu.
func (m *Machines) applyOrder(target *machine, pool string, wave int64, order MachineOrder) {
	m.orders = append(m.orders, order)
	duration := upkeepDuration
	target.state = "upkeep"
	if pool != "" {
		target.pool, target.state, duration = pool, "moving", moveDuration
	} else {
		target.upkeepWaves[wave], target.lastWave = true, wave
	}
	oldWorker := target.worker
	go oldWorker.Restart()
	time.AfterFunc(duration, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		target.state = "up"
		m.startNextWorker(target)
	})
}
