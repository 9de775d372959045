package site

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Advice makes a queue require advice, as Site.Configure writes it. A call takes Decision,
// and PerWorker for each worker that it names. Its tickets are valid for Validity from the
// answer on. The zero value is a queue without advice.
type Advice struct{ Decision, PerWorker, Validity time.Duration }

// adviceService approves every worker. It handles one call at a time, by the figures that
// it was configured with last.
type adviceService struct {
	// serving is held while a call is handled.
	serving sync.Mutex
	// mu guards the other fields.
	mu sync.Mutex
	// advice is the zero value while no queue requires advice.
	advice Advice
	// validUntil is by ticket.
	validUntil map[string]time.Time
}

func (a *adviceService) configure(queues []Queue) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advice = Advice{}
	for _, q := range queues {
		if q.Advice != (Advice{}) {
			a.advice = q.Advice
		}
	}
}

func (a *adviceService) figures() Advice {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.advice
}

// Serve handles one HTTP call to the advice service.
func (a *adviceService) Serve(c *fasthttp.RequestCtx) {
	var call struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.Unmarshal(c.PostBody(), &call) != nil {
		c.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	a.serving.Lock()
	defer a.serving.Unlock()
	figures := a.figures()
	time.Sleep(figures.Decision + time.Duration(len(call.Workers))*figures.PerWorker)
	good := [][]string{}
	a.mu.Lock()
	for _, id := range call.Workers {
		ticket := fmt.Sprintf("%s@%s#%d", call.Step, id, len(a.validUntil))
		a.validUntil[ticket] = time.Now().Add(figures.Validity)
		good = append(good, []string{id, ticket})
	}
	a.mu.Unlock()
	replyJSON(c, map[string]any{"good": good, "validity-ms": figures.Validity.Milliseconds()})
}

// admits reports whether a worker may start a task with a ticket. Every start is admitted
// while no queue requires advice.
func (a *adviceService) admits(worker, task, ticket string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.advice == (Advice{}) {
		return true
	}
	step := task[:max(0, strings.LastIndexByte(task, '.'))]
	return strings.HasPrefix(ticket, step+"@"+worker+"#") && time.Now().Before(a.validUntil[ticket])
}
