package rig3

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/standin/site"
)

const jobPrefix = "/puxa400/"

// startNodes starts n nodes in the two zones in turn, and waits until they are ready.
func (f *fleet) startNodes(n int) ([]*nodeProcess, error) {
	var nodes []*nodeProcess
	for i := range n {
		node, err := f.startNode(fmt.Sprintf("edge-%s-%d", zoneNames[i%2], i/2+1), zoneNames[i%2])
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, node)
	}
	return nodes, f.awaitReady(nodes)
}

// playGivenUp: a worker crashes now and then, one at a time and regardless of what it
// runs. All tasks are sound: every run that is not lost with its worker ends done. Rule
// LOST: no accepted submission may be shown as failed.
func playGivenUp(f *fleet, trouble bool) (bool, error) {
	const (
		workers  = 8
		crashes  = 40
		every    = 1300 * time.Millisecond
		downTime = time.Second
		jobsEach = 300 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(47, 11))
	f.configure(0, route{name: "r-iikdrbn", prefix: jobPrefix, attempts: 3, timeoutMS: 3000})
	behavior := func(_, task string, _ int) (time.Duration, site.Outcome) { return 1300 * time.Millisecond, site.Done }
	if err := f.addWorkers(workers, behavior); err != nil {
		return false, err
	}
	nodes, err := f.startNodes(3)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var accepted []string
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		for i := 0; ; i++ {
			id := fmt.Sprintf("%08x%08x", 0x5c0e7a21, i)
			clients.Go(func() {
				if f.submit(nodes, jobPrefix, id, step{Count: 24, CPU: 1200, MB: 256, EstMS: 1300}) {
					mu.Lock()
					accepted = append(accepted, id)
					mu.Unlock()
				}
			})
			select {
			case <-stop:
				return
			case <-time.After(jobsEach):
			}
		}
	})
	time.Sleep(3 * time.Second)
	for range crashes {
		slots := f.slots()
		s := slots[random.IntN(len(slots))]
		s.mu.Lock()
		up := s.up
		s.mu.Unlock()
		if trouble && up {
			s.crash(downTime)
		}
		time.Sleep(every)
	}
	close(stop)
	clients.Wait()
	time.Sleep(14 * time.Second)
	failedRuns := 0
	for _, r := range f.allRuns() {
		if r.EndState == string(site.Failed) {
			failedRuns++
		}
	}
	states := make(map[string]int)
	var lost []string
	for _, id := range accepted {
		status, state := f.state(nodes[0], jobPrefix, id)
		states[fmt.Sprintf("%d %s", status, state)]++
		if state == "failed" || state == "cancelled" || status == http.StatusGone {
			lost = append(lost, id)
			f.record.log("GET %s: %d %s", id, status, state)
		}
	}
	f.record.log("%d submissions accepted; states: %v; runs that ended failed: %d", len(accepted), states, failedRuns)
	if failedRuns > 0 || len(accepted) == 0 {
		return false, fmt.Errorf("the stand-ins did not behave as planned")
	}
	for _, id := range lost {
		f.record.log("LOST: submission %s is shown as failed; no run of it ended failed", id)
	}
	return len(lost) > 0, nil
}

// playRenamed: a manifest gives the route of a queue another name. Host, prefix and
// service stay. Rules LOST (410 to a GET) and UNASKED (starts after a DELETE was answered
// 410).
func playRenamed(f *fleet, trouble bool) (bool, error) {
	const taskTime = 12 * time.Second
	before := route{name: "r-iikdrbn", prefix: jobPrefix, attempts: 3, timeoutMS: 3000}
	f.configure(0, before)
	behavior := func(_, _ string, _ int) (time.Duration, site.Outcome) { return taskTime, site.Done }
	if err := f.addWorkers(8, behavior); err != nil {
		return false, err
	}
	nodes, err := f.startNodes(3)
	if err != nil {
		return false, err
	}
	time.Sleep(stableTime)
	const kept, cancelled = "5c0e7a21d94b36f8", "5c0e7a21d94b36f9"
	for _, id := range []string{kept, cancelled} {
		steps := []step{{Count: 4, CPU: 3600, MB: 256, EstMS: 12000}, {Count: 4, CPU: 3600, MB: 256, EstMS: 12000, After: []int{0}}}
		if !f.submit(nodes, jobPrefix, id, steps...) {
			return false, fmt.Errorf("submission %s was not accepted", id)
		}
	}
	time.Sleep(4 * time.Second)
	for _, id := range []string{kept, cancelled} {
		if status, state := f.state(nodes[1], jobPrefix, id); status != http.StatusOK || state != "running" {
			return false, fmt.Errorf("submission %s is not running before the change: %d %s", id, status, state)
		}
	}
	after := before
	after.timeoutMS = 2500
	if trouble {
		after.name = "r-v2iikdr"
	}
	f.configure(0, after)
	f.record.log("TROUBLE %v: the route is now named %s; host, prefix and service are the same", trouble, after.name)
	time.Sleep(configApply + 500*time.Millisecond)
	broken := false
	for _, n := range nodes {
		status, state := f.state(n, jobPrefix, kept)
		f.record.log("GET %s at %s: %d %s", kept, n.name, status, state)
		if status == http.StatusGone {
			broken = true
			f.record.log("LOST: 410 for an accepted submission that nobody has cancelled")
		}
	}
	status, text := f.call(nodes[0], http.MethodDelete, jobPrefix+cancelled, nil)
	acknowledged := time.Now()
	f.record.log("DELETE %s at %s: %d %s", cancelled, nodes[0].name, status, text)
	if status != http.StatusGone && (status < 200 || status > 299) {
		return broken, nil
	}
	time.Sleep(taskTime + 2*time.Second)
	for _, r := range f.allRuns() {
		if taskJob(r.Task) != cancelled {
			continue
		}
		if late := r.Start.Sub(acknowledged); late > cancelBound {
			broken = true
			f.record.log("UNASKED: task %s run %d starts on %s %.2f s after the cancelling was acknowledged", r.Task, r.Run, r.Worker, late.Seconds())
		}
		if r.End.IsZero() || r.End.Sub(acknowledged) > cancelBound+stopTimeout {
			f.record.log("task %s run %d runs on %.2f s after the acknowledgement", r.Task, r.Run, time.Since(acknowledged).Seconds())
		}
	}
	return broken, nil
}
