package rig

import (
	"fmt"
	"strings"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/standin/site"
)

// crashedLastingJob crashes one of seven workers, three times: each time the one that
// runs the same task of a job that lasts.
func crashedLastingJob() (*deployment, []string, error) {
	d, err := newDeployment(3, 7, func(string, string, int) (time.Duration, site.Outcome) { return 0, site.Done })
	if err != nil {
		return d, nil, err
	}
	time.Sleep(4 * time.Second)
	const id, mayMiss = "00000000000000d0", 1
	job := map[string]any{"spec": "lasts", "steps": []map[string]any{
		{"count": 5, "cpu": 2000, "mem-mb": 100, "est-runtime-ms": 1000, "long-running": true, "may-miss": mayMiss, "anti-affinity": 1},
	}}
	if status, _ := d.call(d.nodes[0], "POST", id, job); status != 200 {
		return d, nil, fmt.Errorf("submission answered %d", status)
	}
	active := func() []site.RunRecord {
		var runs []site.RunRecord
		for _, r := range d.runsOf(id) {
			if r.End.IsZero() {
				runs = append(runs, r)
			}
		}
		return runs
	}
	if err := d.await(5*time.Second, func() bool { return len(active()) == 5 }); err != nil {
		return d, nil, err
	}
	time.Sleep(3 * time.Second)
	task := id + ".0.0.0"
	for range 3 {
		if !d.trouble {
			break
		}
		// The run is 150 ms old at its worker's crash, but for the first one.
		var run site.RunRecord
		if err := d.await(4*time.Second, func() bool {
			for _, r := range active() {
				if r.Task == task && time.Since(r.Start) >= 150*time.Millisecond {
					run = r
				}
			}
			return run.Task != ""
		}); err != nil {
			break
		}
		for _, w := range d.site.Workers() {
			if w.ID == run.Worker {
				d.note("%s crashes and starts again; its run %d of %s is %.3f s old", w.ID, run.Run, task, time.Since(run.Start).Seconds())
				w.Restart()
			}
		}
	}
	time.Sleep(10 * time.Second)
	_, state := d.call(d.nodes[0], "GET", id, nil)
	d.noteRuns(id)
	var broken []string
	runs := d.runsOf(id)
	// A task is away if a stop has ended it, or if it hasn't been at work for notice-ms.
	away := func(task string, at time.Time) bool {
		const notice = 4500 * time.Millisecond
		stopped, worked := false, false
		for _, r := range runs {
			if r.Task != task || r.Start.After(at) {
				continue
			}
			stopped = r.EndState == "stopped" && !r.End.After(at)
			worked = worked || r.End.IsZero() || r.End.After(at.Add(-notice))
		}
		return stopped || !worked
	}
	for _, r := range runs {
		if r.EndState != "stopped" {
			continue
		}
		others := 0
		for i := range 5 {
			if other := fmt.Sprintf("%s.0.0.%d", id, i); other != r.Task && away(other, r.End) {
				others++
			}
		}
		if others >= mayMiss {
			broken = append(broken, fmt.Sprintf("AVAIL: %s was stopped at %.3f s at work on a sound worker, while %d others of its step were away and %d may be; nobody has cancelled the job", r.Task, d.since(r.End), others, mayMiss))
		}
	}
	if strings.Contains(state, "failed") && len(broken) > 0 {
		d.note("the job is shown as failed; none of its runs ended failed, and it isn't restarted")
	}
	return d, broken, nil
}
