package e2e

import (
	"encoding/json"
	"fmt"
	"os/exec"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/front"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/platform"
	"github.com/crocusjunction/crocusjunction/internal/standin"
	"github.com/crocusjunction/crocusjunction/internal/traffic"
	"github.com/crocusjunction/crocusjunction/internal/zone"
)

// taskFleet is a platform with four workers and two entry instances in one data
// centre, configured with a team, a document and a key.
type taskFleet struct {
	platform string
	first    *entryProcess
	second   *entryProcess
}

// startTaskFleet starts the fleet with first as the scheduler. Each task takes
// taskMS milliseconds.
func startTaskFleet(t *testing.T, taskMS int64) *taskFleet {
	t.Helper()
	binary := testBinary(t)
	f := &taskFleet{platform: freeAddress(t)}
	start(t, binary, "standin", "platform", "--listen", f.platform)
	waitListening(t, f.platform)
	postJSON(t, url(f.platform, standin.PathTaskTime), standin.TaskTime{MS: taskMS})
	for i := range 4 {
		postJSON(t, url(f.platform, standin.PathUpdateWorker), platform.Worker{
			ID: fmt.Sprintf("w%d", i), DataCentre: "north", Rack: fmt.Sprintf("r%d", i/2), MilliCores: 32_000, MemoryMB: 65_536,
		})
	}
	f.first = startEntry(t, binary, "entry-1", "north", f.platform)
	createObject(t, f.first.address, "t1", contract.Object{
		Ref:  contract.Ref{Kind: contract.KindTeam, Name: "depots"},
		Team: &contract.Team{Name: "depots", UpperLimit: 64, Share: 1},
	})
	createObject(t, f.first.address, "t2", contract.Object{
		Ref:      contract.Ref{Kind: contract.KindDocument, Name: "records"},
		Document: &contract.Document{Service: "records", Team: "depots", Pool: "main", MinAvailable: 1, Idempotent: true},
	})
	createObject(t, f.first.address, "t3", contract.Object{
		Ref: contract.Ref{Kind: contract.KindKey, Name: "k1"},
		Key: &contract.Key{ID: "k1", Team: "depots", Hash: traffic.HashSecret(secret)},
	})
	eventually(t, "the first entry instance is the scheduler", func() bool { return f.isScheduler(t, f.first) })
	f.second = startEntry(t, binary, "entry-2", "north", f.platform)
	return f
}

// isScheduler reports whether the entry instance is the scheduler of its data
// centre.
func (f *taskFleet) isScheduler(t *testing.T, e *entryProcess) bool {
	t.Helper()
	var view struct {
		Here bool `json:"here"`
	}
	return readJSON(t, url(e.address, "/v1/share"), &view) == fasthttp.StatusOK && view.Here
}

// submit submits n tasks, every second one idempotent, and returns their IDs.
func (f *taskFleet) submit(t *testing.T, e *entryProcess, n int) []string {
	t.Helper()
	var body front.TaskSubmission
	for i := range n {
		body.Tasks = append(body.Tasks, front.TaskSpec{MilliCores: 500, MemoryMB: 256, Idempotent: i%2 == 0})
	}
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	var r reply
	eventually(t, "the tasks are accepted", func() bool {
		// A refusal (503) means that no task was accepted, so the submission can be
		// repeated.
		r, err = post(t, url(e.address, "/v1/task/submit/records"), data, "Crocus-Key", secret)
		if err != nil || r.status != fasthttp.StatusAccepted && r.status != fasthttp.StatusServiceUnavailable {
			t.Fatalf("submit: status %d, error %v: %s", r.status, err, r.body)
		}
		return r.status == fasthttp.StatusAccepted
	})
	var answer front.TaskAnswer
	if err := json.Unmarshal(r.body, &answer); err != nil {
		t.Fatal(err)
	}
	return answer.IDs
}

// showTask reads a task from an entry instance.
func (f *taskFleet) showTask(t *testing.T, e *entryProcess, id string) machine.Task {
	t.Helper()
	var task machine.Task
	readJSON(t, url(e.address, "/v1/task/show/%s", id), &task)
	return task
}

// startCounts returns the number of times that workers have started each task.
func (f *taskFleet) startCounts(t *testing.T) map[string]int {
	t.Helper()
	var records []standin.StartRecord
	r, err := post(t, url(f.platform, standin.PathStarts), nil)
	if err != nil || json.Unmarshal(r.body, &records) != nil {
		t.Fatalf("starts: %q, error %v", r.body, err)
	}
	counts := make(map[string]int)
	for _, s := range records {
		id, _ := zone.ParseStartID(s.Task)
		counts[id]++
	}
	return counts
}

// readJSON decodes the response to a GET request into answer if its status is
// OK. It returns the status, or 0 if the call failed.
func readJSON(t *testing.T, url string, answer any) int {
	t.Helper()
	status, body, err := fasthttp.GetTimeout(nil, url, callTimeout)
	if err != nil {
		return 0
	}
	if status == fasthttp.StatusOK {
		if err := json.Unmarshal(body, answer); err != nil {
			t.Fatalf("decode %s: %v", body, err)
		}
	}
	return status
}

// checkDone waits until all tasks are done and checks that each was started, and
// that each non-idempotent one was started exactly once.
func (f *taskFleet) checkDone(t *testing.T, e *entryProcess, ids []string) {
	t.Helper()
	eventually(t, "all tasks are done", func() bool {
		for _, id := range ids {
			if f.showTask(t, e, id).Phase != machine.TaskDone {
				return false
			}
		}
		return true
	})
	counts := f.startCounts(t)
	for _, id := range ids {
		if n := counts[id]; n != 1 && !f.showTask(t, e, id).Idempotent || n == 0 {
			t.Errorf("task %s was started %d times", id, n)
		}
	}
}

// TestAcceptedTasksSurviveSchedulerKill guards against accepted tasks that are
// lost and non-idempotent tasks that run twice after the kill of the instance
// that accepted and schedules them.
func TestAcceptedTasksSurviveSchedulerKill(t *testing.T) {
	f := startTaskFleet(t, 300)
	ids := f.submit(t, f.first, 40)
	f.first.kill()
	f.checkDone(t, f.second, ids)
}

// TestRunningTasksSurviveSchedulerKill guards against a new scheduler that starts
// a second run of a task that is still running, instead of adopting its run.
func TestRunningTasksSurviveSchedulerKill(t *testing.T) {
	f := startTaskFleet(t, 4000)
	ids := f.submit(t, f.second, 24)
	eventually(t, "all tasks are started", func() bool { return len(f.startCounts(t)) == len(ids) })
	f.first.kill()
	f.checkDone(t, f.second, ids)
	for id, n := range f.startCounts(t) {
		if n != 1 {
			t.Errorf("task %s was started %d times", id, n)
		}
	}
}

// TestLostStartsAndAnswers guards against a non-idempotent task that is started
// again because the worker's answer to its first start was lost, and against a
// task that is never started because its start request was lost.
func TestLostStartsAndAnswers(t *testing.T) {
	f := startTaskFleet(t, 300)
	postJSON(t, url(f.platform, standin.PathWorkerFaults), standin.WorkerFaults{LoseStartAnswers: 8, LoseStarts: 4})
	f.checkDone(t, f.second, f.submit(t, f.second, 40))
}

// TestTaskCommands guards against three failures: an operator command to an
// entry instance does not reach the scheduler in another one, a task that fits
// no worker is accepted or is refused without the reason, or one of several
// tasks in a cancel command is not cancelled.
func TestTaskCommands(t *testing.T) {
	f := startTaskFleet(t, 60_000)
	ids := f.submit(t, f.second, 6)
	eventually(t, "the tasks are running", func() bool { return f.showTask(t, f.second, ids[5]).Phase == machine.TaskRunning })
	binary := testBinary(t)
	run := func(args ...string) string {
		out, err := exec.Command(binary, append(args, "--entry", f.second.address)...).CombinedOutput()
		if err != nil {
			return "error: " + string(out)
		}
		return string(out)
	}
	// A new instance learns which instance is the scheduler within a second.
	eventually(t, "share show lists the team", func() bool {
		out := run("share", "show")
		return strings.Contains(out, "depots") && strings.Contains(out, "DISTANCE")
	})
	if out := run("worker", "list"); !strings.Contains(out, "w3") {
		t.Errorf("worker list: %s", out)
	}
	eventually(t, "an impossible task is refused", func() bool {
		out := run("task", "submit", "records", "--accelerators", "9", "--key", secret)
		return strings.Contains(out, "impossible: needs 1000 millicores, 512 MB and 9 accelerators")
	})
	if out := run(append([]string{"task", "cancel", "--key", secret}, ids...)...); strings.Contains(out, "error") {
		t.Errorf("task cancel: %s", out)
	}
	for _, id := range ids {
		eventually(t, "task "+id+" is cancelled", func() bool { return f.showTask(t, f.first, id).Phase == machine.TaskCancelled })
	}
}
