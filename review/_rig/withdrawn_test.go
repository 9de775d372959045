package rig

import (
	"fmt"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/standin/site"
)

// withdrawnThenStored cuts off one of three nodes from the store's answers while it
// accepts a job. Its last attempt to store the job is carried out late, after the
// caller has cancelled the job at another node.
func withdrawnThenStored() (*deployment, []string, error) {
	d, err := newDeployment(3, 4, func(string, string, int) (time.Duration, site.Outcome) { return 0, site.Done })
	if err != nil {
		return d, nil, err
	}
	time.Sleep(4 * time.Second)
	const id = "00000000000000c0"
	const window, cancelBound, stable = 4 * time.Second, 3 * time.Second, 3 * time.Second
	leader := d.leader()
	var cut, other *node
	for _, n := range d.nodes {
		switch {
		case n.name == leader:
		case cut == nil:
			cut = n
		default:
			other = n
		}
	}
	begin := time.Now()
	attempts := 0
	d.mu.Lock()
	d.lateDelay = 5900 * time.Millisecond
	d.judge = func(name, path string, keys []string) storeVerdict {
		if !d.trouble || name != cut.name || time.Since(begin) > window {
			return answer
		}
		if path != "/kv-txn" {
			return neverDone
		}
		attempts++
		if time.Since(begin) > 2*time.Second {
			return doneLate
		}
		return neverDone
	}
	d.mu.Unlock()
	d.note("scheduler: %s; the store gives %s no answer until %.3f s", leader, cut.name, d.since(begin.Add(window)))
	job := map[string]any{"spec": "withdrawn", "steps": []map[string]any{{"count": 1, "cpu": 1000, "mem-mb": 100, "est-runtime-ms": 1000, "long-running": true}}}
	submitted, _ := d.call(cut, "POST", id, job)
	cancelled, _ := d.call(other, "DELETE", id, nil)
	cancelledAt := time.Now()
	if cancelled != 410 && cancelled/100 != 2 {
		return d, nil, fmt.Errorf("the cancellation was answered %d", cancelled)
	}
	time.Sleep(time.Until(begin.Add(25 * time.Second)))
	d.call(other, "GET", id, nil)
	d.noteRuns(id)
	d.note("submission answered %d after %d writes, cancellation answered %d at %.3f s", submitted, attempts, cancelled, d.since(cancelledAt))
	var broken []string
	for _, r := range d.runsOf(id) {
		// The node that starts the task is in touch: the store has been sound for stable-ms.
		if r.Start.Sub(cancelledAt) > cancelBound && r.Start.After(begin.Add(window+stable)) {
			broken = append(broken, fmt.Sprintf("UNASKED: %s started %.3f s after the cancellation was acknowledged", r.Task, r.Start.Sub(cancelledAt).Seconds()))
		}
	}
	return d, broken, nil
}
