package site

import (
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Times of the machines service.
const (
	moveTime   = 150 * time.Millisecond
	upkeepTime = 200 * time.Millisecond
)

// Duty is one order for a machine that was carried out.
type Duty struct {
	Machine, Holder, Pool string
	Fence, Wave           int64
	At                    time.Time
	// Down is the number of machines of the wave that were down already.
	Down int
}

type machine struct {
	name, pool, state, zone, rack string
	worker                        *Worker
	waves                         map[int64]bool
	wave                          int64
}

// Machines is a stand-in for the machines service.
type Machines struct {
	mu       sync.Mutex
	machines []*machine
	duties   []Duty
	lose     int
	// replace makes the next worker of a machine in a pool.
	replace func(m *machine)
}

// LoseAnswers makes the next n orders take effect without an answer.
func (m *Machines) LoseAnswers(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lose = n
}

// Duties returns the orders that were carried out.
func (m *Machines) Duties() []Duty {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]Duty(nil), m.duties...)
}

// PoolOf returns the pool that a machine is in.
func (m *Machines) PoolOf(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, x := range m.machines {
		if x.name == name {
			return x.pool
		}
	}
	return ""
}

// Serve handles one call.
func (m *Machines) Serve(c *fasthttp.RequestCtx) {
	switch string(c.Path()) {
	case "/machines":
		m.serveList(c)
	case "/machine-move", "/machine-upkeep":
		m.serveDuty(c)
	default:
		c.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (m *Machines) serveList(c *fasthttp.RequestCtx) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := []map[string]any{}
	for _, x := range m.machines {
		row := map[string]any{
			"machine": x.name, "pool": x.pool, "state": x.state, "zone": x.zone, "labels": []string{"a", x.rack},
			"capacity": map[string]int64{"cpu": x.worker.CPU, "mem-mb": x.worker.MemoryMB, "gpu": 0}, "id": nil,
		}
		if x.state == "up" {
			row["id"] = x.worker.ID
		}
		rows = append(rows, row)
	}
	reply(c, map[string]any{"machines": rows, "next-token": nil})
}

func (m *Machines) serveDuty(c *fasthttp.RequestCtx) {
	var ask struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int64  `json:"wave"`
	}
	if json.Unmarshal(c.PostBody(), &ask) != nil {
		c.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	fence, _ := strconv.ParseInt(string(c.Request.Header.Peek("Fencing-Token")), 10, 64)
	m.mu.Lock()
	defer m.mu.Unlock()
	x := m.find(ask.Machine)
	switch {
	case x == nil:
		c.SetStatusCode(fasthttp.StatusBadRequest)
		return
	case ask.Pool == "" && x.waves[ask.Wave] || ask.Pool == x.pool:
		// Done already.
	case x.state != "up":
		c.SetStatusCode(fasthttp.StatusConflict)
		reply(c, map[string]any{"reason": "busy"})
		return
	default:
		m.carryOut(x, ask.Pool, ask.Wave, Duty{
			Machine: ask.Machine, Holder: string(c.Request.Header.Peek("Duty-Holder")),
			Pool: ask.Pool, Fence: fence, Wave: ask.Wave, At: time.Now(), Down: m.down(ask.Wave),
		})
	}
	if m.lose > 0 {
		m.lose--
		abort(c)
		return
	}
	reply(c, map[string]any{})
}

func (m *Machines) find(name string) *machine {
	for _, x := range m.machines {
		if x.name == name {
			return x
		}
	}
	return nil
}

func (m *Machines) down(wave int64) int {
	n := 0
	for _, x := range m.machines {
		if x.state == "upkeep" && x.wave == wave {
			n++
		}
	}
	return n
}

func (m *Machines) carryOut(x *machine, pool string, wave int64, d Duty) {
	m.duties = append(m.duties, d)
	takes := upkeepTime
	x.state = "upkeep"
	if pool != "" {
		x.pool, x.state, takes = pool, "moving", moveTime
	} else {
		x.waves[wave], x.wave = true, wave
	}
	old := x.worker
	go old.Restart()
	time.AfterFunc(takes, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		x.state = "up"
		m.replace(x)
	})
}
