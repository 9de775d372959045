package site

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/standin/site"
)

// TestJobCompletesEndToEnd guards against a job that one node accepts but that
// does not complete or is not visible at the other node, and against a task that
// runs twice or starts before the steps it depends on have ended.
func TestJobCompletesEndToEnd(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 2, succeedAfter(60*time.Millisecond))
	id := jobID(1)
	if a := c.nodes[0].submit(id, taskStep(3), taskStep(2, 0)); a.status != http.StatusOK {
		t.Fatalf("submit: %+v", a)
	}
	c.waitFor("job is completed at the other node", func() bool { return c.nodes[1].state(id) == "completed" })
	if n := len(c.site.Runs()); n != 5 {
		t.Errorf("%d runs, want 5", n)
	}
	all := get(c.nodes[0].metricsAddress, "/metrics").body + get(c.nodes[1].metricsAddress, "/metrics").body
	for _, point := range []string{"started", "completed"} {
		if want := `crocusjunction_job_duration_seconds_count{point="` + point + `",queue="quick"} 1`; !strings.Contains(all, want) {
			t.Errorf("the metrics lack %s", want)
		}
	}
	var stepEnd time.Time
	for _, r := range c.site.Runs() {
		if strings.Contains(r.Task, ".0.0.") && r.End.After(stepEnd) {
			stepEnd = r.End
		}
	}
	for _, r := range c.site.Runs() {
		if strings.Contains(r.Task, ".0.1.") && r.Start.Before(stepEnd) {
			t.Errorf("task %s started before step 0 had ended", r.Task)
		}
	}
	c.checkRuns()
}

// TestRepeatedSubmissionRunsJobOnce guards against a job that runs again
// because its caller repeats the submission at the same or another node, before
// or after the job completes.
func TestRepeatedSubmissionRunsJobOnce(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 2, succeedAfter(30*time.Millisecond))
	id := jobID(2)
	for i := range 4 {
		if a := c.nodes[i%2].submit(id, taskStep(2)); a.status != http.StatusOK {
			t.Fatalf("submit %d: %+v", i, a)
		}
	}
	c.waitFor("completed", func() bool { return c.nodes[0].state(id) == "completed" })
	if a := c.nodes[1].submit(id, taskStep(2)); a.status != http.StatusOK {
		t.Fatalf("submit after completion: %+v", a)
	}
	if n := len(c.site.Runs()); n != 2 {
		t.Errorf("%d runs, want 2", n)
	}
}

// TestSchedulerTakeover guards against tasks that run twice and jobs that make
// no progress after the scheduling node stops and another node takes over.
func TestSchedulerTakeover(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3, succeedAfter(400*time.Millisecond))
	for i := range 12 {
		if a := c.nodes[i%3].submit(jobID(10+i), taskStep(2), taskStep(1, 0)); a.status != http.StatusOK {
			t.Fatalf("submit: %+v", a)
		}
	}
	var leader, other *testNode
	c.waitFor("a node holds the scheduler lease", func() bool {
		for _, n := range c.nodes {
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
		c.waitFor("job is completed after the takeover", func() bool { return other.state(jobID(10+i)) == "completed" })
	}
	c.checkRuns()
}

// TestSubmitDuringStoreFaults guards against an accepted job that is lost and
// against a job that is refused as not run but is stored. The store closes
// connections without an answer, before or after it executes the call, or
// refuses every call. A timeout (504) leaves the outcome open, so it is not
// checked further.
func TestSubmitDuringStoreFaults(t *testing.T) {
	t.Parallel()
	for _, fault := range []site.StoreFault{site.StoreLosesAnswers, site.StoreLate, site.StoreUnavailable, site.StoreTooManyRequests} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			c := startCluster(t, 1, succeedAfter(20*time.Millisecond))
			c.site.Store.SetFault(fault, 0)
			id := jobID(20)
			a := c.nodes[0].submit(id, taskStep(1))
			c.site.Store.SetFault(site.StoreNoFault, 0)
			switch a.status {
			case http.StatusOK:
				c.waitFor("accepted job is completed", func() bool { return c.nodes[0].state(id) == "completed" })
			case http.StatusServiceUnavailable:
				time.Sleep(time.Second)
				if _, stored := c.site.Store.Get("cj/j/" + id); stored || len(c.site.Runs()) > 0 {
					t.Errorf("a job that was refused as not run is stored or was started")
				}
			case http.StatusGatewayTimeout:
			default:
				t.Errorf("submit: %+v", a)
			}
		})
	}
}

// TestWithdrawnKey guards against a key that nodes accept after its withdrawal.
// It also guards against a node that stays ready and accepts jobs while the
// store does not answer, because the node cannot learn of a withdrawal then.
func TestWithdrawnKey(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 2, succeedAfter(20*time.Millisecond))
	if a := c.nodes[0].submit(jobID(30), taskStep(1)); a.status != http.StatusOK {
		t.Fatalf("submit: %+v", a)
	}
	c.site.Configure([]site.Queue{quickQueue()}, []site.Team{testTeam("key-2")})
	for _, n := range c.nodes {
		c.waitFor("the withdrawn key is refused", func() bool { return n.submit(jobID(31), taskStep(1)).status == http.StatusUnauthorized })
	}
	c.site.Store.SetFault(site.StoreSilent, 0)
	defer c.site.Store.SetFault(site.StoreNoFault, 0)
	c.waitFor("submission is refused while the store is silent", func() bool {
		return c.nodes[0].submit(jobID(32), taskStep(1)).status == http.StatusServiceUnavailable
	})
	c.waitFor("node is not ready while the store is silent", func() bool { return get(c.nodes[0].readyAddress, "/ready").status != http.StatusOK })
}

// TestCancelledJob guards against tasks that keep running after their job was
// cancelled at another node.
func TestCancelledJob(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 2, func(string, string, int) (time.Duration, site.Outcome) { return 0, site.Done })
	id := jobID(40)
	if a := c.nodes[0].submit(id, site.Step{Count: 3, MilliCores: 500, MemoryMB: 10, LongRunning: true}); a.status != http.StatusOK {
		t.Fatalf("submit: %+v", a)
	}
	runningTasks := func() int {
		n := 0
		for _, worker := range c.site.Workers() {
			n += len(worker.ActiveRuns())
		}
		return n
	}
	c.waitFor("three tasks are running", func() bool { return runningTasks() == 3 })
	if a := call("DELETE", c.nodes[1].frontAddress, quickHost, quickPath+id, teamKey, nil); a.status != http.StatusOK {
		t.Fatalf("cancel: %+v", a)
	}
	c.waitFor("no task is running", func() bool { return runningTasks() == 0 })
	c.waitFor("job is cancelled", func() bool { return c.nodes[0].state(id) == "cancelled" })
	if a := call("DELETE", c.nodes[1].frontAddress, quickHost, quickPath+jobID(41), teamKey, nil); a.status != http.StatusGone {
		t.Errorf("cancel of an unknown job: %+v", a)
	}
}

// TestWorkerFaults guards against jobs that do not complete and tasks that run
// twice while one worker does not answer, loses or delays its answers, or
// refuses every start.
func TestWorkerFaults(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]site.WorkerFault{
		"silent": site.WorkerSilent, "mute": site.WorkerLosesAnswers, "late": site.WorkerLate, "shed": site.WorkerRejectsStarts,
	} {
		t.Run(name, func(t *testing.T) {
			c := startCluster(t, 1, succeedAfter(80*time.Millisecond))
			c.site.Workers()[0].SetFault(fault)
			for i := range 6 {
				if a := c.nodes[0].submit(jobID(50+i), taskStep(3)); a.status != http.StatusOK {
					t.Fatalf("submit: %+v", a)
				}
			}
			for i := range 6 {
				c.waitFor("completed", func() bool { return c.nodes[0].state(jobID(50+i)) == "completed" })
			}
			c.checkRuns()
		})
	}
}

// TestUpkeepWave guards against a wave that skips a machine, orders its upkeep
// twice, or takes down more machines at a time than its limit of one, while the
// answers to upkeep orders are lost.
func TestUpkeepWave(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 2, succeedAfter(50*time.Millisecond))
	c.site.Machines.LoseAnswers(2)
	names := []string{"m-0", "m-1", "m-2", "m-3"}
	c.site.OrderWave(7, names, 15*time.Second, 1)
	c.waitFor("wave is completed", func() bool { return c.site.WaveCompleted(7) })
	seen := make(map[string]bool)
	for _, order := range c.site.Machines.Orders() {
		if order.Wave != 7 {
			continue
		}
		if seen[order.Machine] {
			t.Errorf("upkeep of %s was carried out twice", order.Machine)
		}
		if order.Down > 0 {
			t.Errorf("upkeep of %s began while %d machines of the wave were down", order.Machine, order.Down)
		}
		seen[order.Machine] = true
	}
	if len(seen) != len(names) {
		t.Errorf("upkeep of %d machines, want %d", len(seen), len(names))
	}
}

// TestStoreCompaction guards against a node whose copy of the configuration
// misses a change: the store compacts its history before the node's watch has
// read the change, so the node must read the configuration again.
func TestStoreCompaction(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 1, succeedAfter(20*time.Millisecond))
	c.site.Store.SetFault(site.StoreUnavailable, 0)
	c.site.Configure([]site.Queue{quickQueue()}, []site.Team{testTeam("key-9")})
	c.site.Store.Compact()
	c.site.Store.SetFault(site.StoreNoFault, 0)
	c.waitFor("new configuration is in force", func() bool { return c.nodes[0].submit(jobID(60), taskStep(1)).status == http.StatusUnauthorized })
}

// TestMalformedRequests guards against malformed requests that get the wrong
// status, store a job, or crash the node.
func TestMalformedRequests(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 1, succeedAfter(20*time.Millisecond))
	frontAddress := c.nodes[0].frontAddress
	for name, request := range map[string]struct {
		method, host, path, key, body string
		status                        int
	}{
		"unknown queue":          {"POST", "other.example", quickPath + jobID(1), teamKey, "{}", http.StatusNotFound},
		"short id":               {"POST", quickHost, quickPath + "12", teamKey, "{}", http.StatusBadRequest},
		"invalid JSON":           {"POST", quickHost, quickPath + jobID(1), teamKey, "{", http.StatusBadRequest},
		"no steps":               {"POST", quickHost, quickPath + jobID(1), teamKey, `{"spec":"x"}`, http.StatusBadRequest},
		"step depends on itself": {"POST", quickHost, quickPath + jobID(1), teamKey, `{"steps":[{"count":1,"after":[0]}]}`, http.StatusBadRequest},
		"negative count":         {"POST", quickHost, quickPath + jobID(1), teamKey, `{"steps":[{"count":-1}]}`, http.StatusBadRequest},
		"unknown key":            {"POST", quickHost, quickPath + jobID(1), "nobody", `{"steps":[{"count":1}]}`, http.StatusUnauthorized},
		"unknown job":            {"GET", quickHost, quickPath + jobID(1), teamKey, "", http.StatusGone},
		"unknown method":         {"PATCH", quickHost, quickPath + jobID(1), teamKey, "", http.StatusBadRequest},
		"queue length":           {"GET", quickHost, quickPath, teamKey, "", http.StatusOK},
		"unknown path":           {"GET", quickHost, "/", teamKey, "", http.StatusNotFound},
	} {
		if a := call(request.method, frontAddress, request.host, request.path, request.key, []byte(request.body)); a.status != request.status {
			t.Errorf("%s: got %+v, want status %d", name, a, request.status)
		}
	}
	if n := len(c.site.Store.Keys("cj/j/")); n != 0 {
		t.Errorf("malformed requests stored %d jobs", n)
	}
}
