package site

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/standin/site"
)

// TestJobIsServedFromEndToEnd guards the whole path: a job accepted at one node
// completes and is shown at the other, and each task runs once in order.
func TestJobIsServedFromEndToEnd(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2, fixedWork(60*time.Millisecond))
	id := jobID(1)
	if a := w.nodes[0].submit(id, tasks(3), tasks(2, 0)); a.status != http.StatusOK {
		t.Fatalf("submit: %+v", a)
	}
	w.await("completed at the other node", func() bool { return w.nodes[1].state(id) == "completed" })
	if n := len(w.site.Runs()); n != 5 {
		t.Errorf("%d runs, want 5", n)
	}
	all := get(w.nodes[0].metrics, "/metrics").body + get(w.nodes[1].metrics, "/metrics").body
	for _, point := range []string{"started", "completed"} {
		if want := `crocusjunction_job_duration_seconds_count{point="` + point + `",queue="quick"} 1`; !strings.Contains(all, want) {
			t.Errorf("the metrics lack %s", want)
		}
	}
	var ends time.Time
	for _, r := range w.site.Runs() {
		if strings.Contains(r.Task, ".0.0.") && r.End.After(ends) {
			ends = r.End
		}
	}
	for _, r := range w.site.Runs() {
		if strings.Contains(r.Task, ".0.1.") && r.Start.Before(ends) {
			t.Errorf("%s began before step 0 had ended", r.Task)
		}
	}
	w.checkRuns()
}

// TestRepeatedJobIsOneJob guards against a job that runs again because
// its caller repeats it, at any node.
func TestRepeatedJobIsOneJob(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2, fixedWork(30*time.Millisecond))
	id := jobID(2)
	for i := range 4 {
		if a := w.nodes[i%2].submit(id, tasks(2)); a.status != http.StatusOK {
			t.Fatalf("submit %d: %+v", i, a)
		}
	}
	w.await("completed", func() bool { return w.nodes[0].state(id) == "completed" })
	if a := w.nodes[1].submit(id, tasks(2)); a.status != http.StatusOK {
		t.Fatalf("late repeat: %+v", a)
	}
	if n := len(w.site.Runs()); n != 2 {
		t.Errorf("%d runs, want 2", n)
	}
}

// TestSchedulerStops guards against tasks that run twice or jobs that stand
// still when the scheduler changes.
func TestSchedulerStops(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 3, fixedWork(400*time.Millisecond))
	for i := range 12 {
		if a := w.nodes[i%3].submit(jobID(10+i), tasks(2), tasks(1, 0)); a.status != http.StatusOK {
			t.Fatalf("submit: %+v", a)
		}
	}
	var leader, other *runningNode
	w.await("a scheduler", func() bool {
		for _, n := range w.nodes {
			if strings.Contains(n.log.String(), "scheduling begins") {
				leader = n
			} else {
				other = n
			}
		}
		return leader != nil
	})
	leader.stop()
	for i := range 12 {
		w.await("job completed after the change", func() bool { return other.state(jobID(10+i)) == "completed" })
	}
	w.checkRuns()
}

// TestAnswersOfTheStoreAreLost guards against an accepted job that is lost and
// against a refusal that is not true.
func TestAnswersOfTheStoreAreLost(t *testing.T) {
	t.Parallel()
	for _, fault := range []site.StoreFault{site.StoreLossy, site.StoreLate, site.StoreBusy, site.StoreMany} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			w := newWorld(t, 1, fixedWork(20*time.Millisecond))
			w.site.Store.Fault(fault, 0)
			id := jobID(20)
			a := w.nodes[0].submit(id, tasks(1))
			w.site.Store.Fault(site.StoreWell, 0)
			switch a.status {
			case http.StatusOK:
				w.await("accepted job completed", func() bool { return w.nodes[0].state(id) == "completed" })
			case http.StatusServiceUnavailable:
				time.Sleep(time.Second)
				if _, stored := w.site.Store.Get("cj/j/" + id); stored || len(w.site.Runs()) > 0 {
					t.Errorf("a job that was refused as not run is stored")
				}
			case http.StatusGatewayTimeout:
			default:
				t.Errorf("submit: %+v", a)
			}
		})
	}
}

// TestWithdrawnKey guards against a key that works after its withdrawal, with
// and without a store that says so.
func TestWithdrawnKey(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2, fixedWork(20*time.Millisecond))
	if a := w.nodes[0].submit(jobID(30), tasks(1)); a.status != http.StatusOK {
		t.Fatalf("submit: %+v", a)
	}
	w.site.Configure([]site.Queue{quickQueue()}, []site.Team{team("key-2")})
	for _, n := range w.nodes {
		w.await("key refused", func() bool { return n.submit(jobID(31), tasks(1)).status == http.StatusUnauthorized })
	}
	w.site.Store.Fault(site.StoreSilent, 0)
	defer w.site.Store.Fault(site.StoreWell, 0)
	w.await("nothing accepted without the store", func() bool {
		return w.nodes[0].submit(jobID(32), tasks(1)).status == http.StatusServiceUnavailable
	})
	w.await("node not ready without the store", func() bool { return get(w.nodes[0].ready, "/ready").status != http.StatusOK })
}

// TestCancelledJob guards against tasks that run on after a cancellation.
func TestCancelledJob(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2, func(string, string, int) (time.Duration, site.Outcome) { return 0, site.Done })
	id := jobID(40)
	if a := w.nodes[0].submit(id, site.Step{Count: 3, MilliCores: 500, MemoryMB: 10, Lasting: true}); a.status != http.StatusOK {
		t.Fatalf("submit: %+v", a)
	}
	live := func() int {
		n := 0
		for _, x := range w.site.Workers() {
			n += len(x.Live())
		}
		return n
	}
	w.await("three tasks run", func() bool { return live() == 3 })
	if a := call("DELETE", w.nodes[1].front, quickHost, quickPath+id, teamKey, nil); a.status != http.StatusOK {
		t.Fatalf("cancel: %+v", a)
	}
	w.await("no task runs", func() bool { return live() == 0 })
	w.await("shown as cancelled", func() bool { return w.nodes[0].state(id) == "cancelled" })
	if a := call("DELETE", w.nodes[1].front, quickHost, quickPath+jobID(41), teamKey, nil); a.status != http.StatusGone {
		t.Errorf("cancellation of an unknown job: %+v", a)
	}
}

// TestWorkerFaults guards against jobs that stand still or run twice when
// workers misbehave.
func TestWorkerFaults(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]site.WorkerFault{
		"silent": site.WorkerSilent, "mute": site.WorkerMute, "late": site.WorkerLate, "shed": site.WorkerShed,
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, fixedWork(80*time.Millisecond))
			w.site.Workers()[0].Fault(fault)
			for i := range 6 {
				if a := w.nodes[0].submit(jobID(50+i), tasks(3)); a.status != http.StatusOK {
					t.Fatalf("submit: %+v", a)
				}
			}
			for i := range 6 {
				w.await("completed", func() bool { return w.nodes[0].state(jobID(50+i)) == "completed" })
			}
			w.checkRuns()
		})
	}
}

// TestWaveOfUpkeep guards a wave: each machine has its upkeep, never more at a
// time than allowed, also when answers are lost.
func TestWaveOfUpkeep(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2, fixedWork(50*time.Millisecond))
	w.site.Machines.LoseAnswers(2)
	names := []string{"m-0", "m-1", "m-2", "m-3"}
	w.site.OrderWave(7, names, 15*time.Second, 1)
	w.await("wave completed", func() bool { return w.site.WaveCompleted(7) })
	seen := make(map[string]bool)
	for _, d := range w.site.Machines.Duties() {
		if d.Wave != 7 {
			continue
		}
		if seen[d.Machine] {
			t.Errorf("upkeep of %s twice", d.Machine)
		}
		if d.Down > 0 {
			t.Errorf("upkeep of %s began while %d were down", d.Machine, d.Down)
		}
		seen[d.Machine] = true
	}
	if len(seen) != len(names) {
		t.Errorf("upkeep of %d machines, want %d", len(seen), len(names))
	}
}

// TestCompactedHistory guards against a copy that misses what was changed while
// the store dropped its history.
func TestCompactedHistory(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, fixedWork(20*time.Millisecond))
	w.site.Store.Fault(site.StoreBusy, 0)
	w.site.Configure([]site.Queue{quickQueue()}, []site.Team{team("key-9")})
	w.site.Store.Compact()
	w.site.Store.Fault(site.StoreWell, 0)
	w.await("new configuration in force", func() bool { return w.nodes[0].submit(jobID(60), tasks(1)).status == http.StatusUnauthorized })
}

// TestBadRequests guards against requests that are malformed and stop or change
// anything.
func TestBadRequests(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, fixedWork(20*time.Millisecond))
	front := w.nodes[0].front
	for name, c := range map[string]struct {
		method, host, path, key, body string
		status                        int
	}{
		"no such queue":   {"POST", "other.example", quickPath + jobID(1), teamKey, "{}", http.StatusNotFound},
		"short id":        {"POST", quickHost, quickPath + "12", teamKey, "{}", http.StatusBadRequest},
		"no JSON":         {"POST", quickHost, quickPath + jobID(1), teamKey, "{", http.StatusBadRequest},
		"no steps":        {"POST", quickHost, quickPath + jobID(1), teamKey, `{"spec":"x"}`, http.StatusBadRequest},
		"later step":      {"POST", quickHost, quickPath + jobID(1), teamKey, `{"steps":[{"count":1,"after":[0]}]}`, http.StatusBadRequest},
		"negative count":  {"POST", quickHost, quickPath + jobID(1), teamKey, `{"steps":[{"count":-1}]}`, http.StatusBadRequest},
		"unknown key":     {"POST", quickHost, quickPath + jobID(1), "nobody", `{"steps":[{"count":1}]}`, http.StatusUnauthorized},
		"unknown job":     {"GET", quickHost, quickPath + jobID(1), teamKey, "", http.StatusGone},
		"unknown method":  {"PATCH", quickHost, quickPath + jobID(1), teamKey, "", http.StatusBadRequest},
		"queue's length":  {"GET", quickHost, quickPath, teamKey, "", http.StatusOK},
		"unknown reading": {"GET", quickHost, "/", teamKey, "", http.StatusNotFound},
	} {
		if a := call(c.method, front, c.host, c.path, c.key, []byte(c.body)); a.status != c.status {
			t.Errorf("%s: %+v, want %d", name, a, c.status)
		}
	}
	if n := len(w.site.Store.Keys("cj/j/")); n != 0 {
		t.Errorf("%d jobs stored by malformed requests", n)
	}
}
