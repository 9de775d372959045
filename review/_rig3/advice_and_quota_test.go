package rig3

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/crocusjunction/crocusjunction/internal/standin/site"
)

// playAdvice: a queue with advice, whose service answers as the manifest says. Rule LOST: a
// submission has nothing running while its turn has come and the service is empty.
func playAdvice(f *fleet, trouble bool) (bool, error) {
	decision, perItem, validity := 400*time.Millisecond, 80*time.Millisecond, 3*time.Second
	if !trouble {
		decision, perItem = 50*time.Millisecond, 10*time.Millisecond
	}
	var serving sync.Mutex
	handler := func(c *fasthttp.RequestCtx) {
		var call struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if json.Unmarshal(c.PostBody(), &call) != nil {
			c.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		serving.Lock()
		defer serving.Unlock()
		time.Sleep(decision + time.Duration(len(call.Workers))*perItem)
		good := [][]string{}
		for _, id := range call.Workers {
			good = append(good, []string{id, "t-" + id})
		}
		f.record.log("advice for %s about %d workers answered, tickets valid for %v from now", call.Step, len(call.Workers), validity)
		replyJSON(c, map[string]any{"good": good, "validity-ms": validity.Milliseconds()})
	}
	var err error
	if f.adviceAddress, _, err = listenOn("127.0.0.1:0", handler); err != nil {
		return false, err
	}
	f.configure(0, route{name: "r-iikdrbn", prefix: jobPrefix, attempts: 3, timeoutMS: 3000, advice: map[string]any{
		"decision-ms": decision.Milliseconds(), "per-item-ms": perItem.Milliseconds(), "validity-ms": validity.Milliseconds(),
	}})
	behavior := func(_, _ string, _ int) (time.Duration, site.Outcome) { return 1300 * time.Millisecond, site.Done }
	if err := f.addWorkers(30, behavior); err != nil {
		return false, err
	}
	nodes, err := f.startNodes(3)
	if err != nil {
		return false, err
	}
	const id = "5c0e7a21d94b36f8"
	if !f.submit(nodes, jobPrefix, id, step{Count: 4, CPU: 3600, MB: 256, EstMS: 1300}) {
		return false, fmt.Errorf("not accepted")
	}
	time.Sleep(40 * time.Second)
	status, state := f.state(nodes[0], jobPrefix, id)
	f.record.log("GET %s after 40 s: %d %s; %d runs", id, status, state, len(f.allRuns()))
	return len(f.allRuns()) == 0, nil
}

// playQuota: a tenant's running tasks after a takeover, while a worker with tasks of a
// cancelled submission is cut off.
func playQuota(f *fleet, trouble bool) (bool, error) {
	const capCPU, taskCPU = 32000, 3200
	f.configure(capCPU, route{name: "r-iikdrbn", prefix: jobPrefix, attempts: 3, timeoutMS: 3000})
	behavior := func(_, _ string, _ int) (time.Duration, site.Outcome) { return 20 * time.Second, site.Done }
	if err := f.addWorkers(8, behavior); err != nil {
		return false, err
	}
	nodes, err := f.startNodes(3)
	if err != nil {
		return false, err
	}
	time.Sleep(stableTime)
	const first, second = "5c0e7a21d94b36f8", "5c0e7a21d94b36f9"
	if !f.submit(nodes, jobPrefix, first, step{Count: 10, CPU: taskCPU, MB: 256, EstMS: 20000}) {
		return false, fmt.Errorf("not accepted")
	}
	time.Sleep(2 * time.Second)
	on := make(map[string]int)
	for _, r := range f.allRuns() {
		on[r.Worker]++
	}
	f.record.log("runs by worker: %v", on)
	leader := f.scheduler()
	var others []*nodeProcess
	for _, n := range nodes {
		if n != leader {
			others = append(others, n)
		}
	}
	if trouble {
		for _, s := range f.slots() {
			if on[s.worker.ID] > 0 {
				s.cut.Store(true)
				f.record.log("TROUBLE: worker %s is cut off", s.worker.ID)
				time.AfterFunc(5500*time.Millisecond, func() { s.cut.Store(false) })
				break
			}
		}
		leader.kill()
		f.record.log("TROUBLE: node %s, which gave the orders, is killed", leader.name)
	}
	status, text := f.call(others[0], http.MethodDelete, jobPrefix+first, nil)
	f.record.log("DELETE %s: %d %s", first, status, text)
	f.submit(others, jobPrefix, second, step{Count: 10, CPU: taskCPU, MB: 256, EstMS: 20000})
	worst := 0
	for range 80 {
		n := 0
		for _, s := range f.slots() {
			n += len(s.worker.ActiveRuns())
		}
		if n > worst {
			worst = n
			f.record.log("the tenant has %d tasks of %d running: %d, its cap is %d", n, taskCPU, n*taskCPU, capCPU)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return float64(worst*taskCPU) > capCPU*1.1+taskCPU, nil
}
