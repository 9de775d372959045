package rig

import (
	"fmt"
	"strings"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/standin/site"
)

// lostProgressAnswers loses the store's answers to two writes, each of which stores
// where the first task of a job is placed.
func lostProgressAnswers() (*deployment, []string, error) {
	d, err := newDeployment(3, 4, func(payload, task string, _ int) (time.Duration, site.Outcome) {
		return 800 * time.Millisecond, site.Done
	})
	if err != nil {
		return d, nil, err
	}
	time.Sleep(4 * time.Second)
	const window = 4500 * time.Millisecond
	var ids []string
	for i := range 10 {
		ids = append(ids, fmt.Sprintf("%016x", 0xa0+i))
	}
	writes, lost := 0, 0
	lostFor := make(map[string]bool)
	begin := time.Now()
	d.mu.Lock()
	d.judge = func(_, path string, keys []string) storeVerdict {
		if time.Since(begin) > window || path != "/kv-txn" {
			return answer
		}
		writes++
		for _, key := range keys {
			id, isProgress := strings.CutPrefix(key, "cs/")
			if d.trouble && isProgress && (id == ids[0] || id == ids[1]) && !lostFor[id] {
				lostFor[id] = true
				lost++
				return loseAnswer
			}
		}
		return answer
	}
	d.mu.Unlock()
	job := map[string]any{"spec": "two steps", "steps": []map[string]any{
		{"count": 1, "cpu": 1000, "mem-mb": 100, "est-runtime-ms": 800},
		{"count": 1, "cpu": 1000, "mem-mb": 100, "est-runtime-ms": 800, "after": []int{0}},
	}}
	accepted := []string{}
	submit := func(i int) {
		if status, _ := d.call(d.nodes[i%len(d.nodes)], "POST", ids[i], job); status == 200 {
			accepted = append(accepted, ids[i])
		}
	}
	submit(0)
	time.Sleep(40 * time.Millisecond)
	submit(1)
	time.Sleep(time.Until(begin.Add(1500 * time.Millisecond)))
	for i := 2; i < len(ids); i++ {
		submit(i)
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(time.Until(begin.Add(window)))
	d.note("from %.3f s to %.3f s the store received %d writes and lost the answers of %d", d.since(begin), d.since(begin.Add(window)), writes, lost)
	endOfTraffic := time.Now()
	// finish_s is 14 s. For 3 s after it, a job is asked for and its runs are watched.
	const finish, watch = 14 * time.Second, 3 * time.Second
	time.Sleep(time.Until(endOfTraffic.Add(finish)))
	running := make(map[string]bool)
	for end := time.Now().Add(watch); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, id := range accepted {
			for _, r := range d.runsOf(id) {
				running[id] = running[id] || r.End.IsZero()
			}
		}
	}
	var broken []string
	for _, id := range accepted {
		_, text := d.call(d.nodes[0], "GET", id, nil)
		if !strings.Contains(text, "completed") && !running[id] {
			broken = append(broken, fmt.Sprintf("LOST: %s was accepted, has not completed, and nothing of it ran from %.0f s to %.0f s after the end of the traffic", id, finish.Seconds(), (finish+watch).Seconds()))
		}
	}
	d.noteRuns(accepted...)
	return d, broken, nil
}
