package e2e

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/front"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/platform"
	"github.com/crocusjunction/crocusjunction/internal/platform/rest"
	"github.com/crocusjunction/crocusjunction/internal/standin"
)

const (
	// machineCount is the number of machines in the fleet.
	machineCount = 16
	// minAvailable is the larger of the two services' minimums, and so the number
	// of instances that must stay in service.
	minAvailable = 12
)

// maintainedFleet is a platform with 16 machines in one pool, and three entry
// instances by ID, any of which can be the planner.
type maintainedFleet struct {
	binary   string
	platform string
	entries  map[string]*entryProcess
}

// startMaintainedFleet starts the fleet and creates its configuration.
func startMaintainedFleet(t *testing.T) *maintainedFleet {
	t.Helper()
	binary := testBinary(t)
	f := &maintainedFleet{binary: binary, platform: freeAddress(t), entries: make(map[string]*entryProcess)}
	start(t, binary, "standin", "platform", "--listen", f.platform)
	waitListening(t, f.platform)
	postJSON(t, url(f.platform, standin.PathMachineOptions), standin.MachineOptions{DrainMS: 1000, RebootMS: 500, FillMS: 200, LagMS: 100})
	var machines []platform.Machine
	for n := range machineCount {
		machines = append(machines, platform.Machine{
			ID: fmt.Sprintf("i%02d", n), DataCentre: []string{"north", "south"}[n/8], Rack: fmt.Sprint(n / 4),
			Pool: "main", State: "serving", Healthy: true,
		})
	}
	postJSON(t, url(f.platform, standin.PathAddMachines), machines)
	for n, centre := range []string{"north", "south", "north"} {
		id := fmt.Sprintf("entry-%d", n+1)
		f.entries[id] = startEntry(t, binary, id, centre, f.platform)
	}
	f.configure(t, f.entries["entry-1"].address)
	return f
}

// configure creates the team, the pool and two services with different minimums,
// so that the drain of an instance needs both budgets.
func (f *maintainedFleet) configure(t *testing.T, entry string) {
	t.Helper()
	createObject(t, entry, "m1", contract.Object{
		Ref:  contract.Ref{Kind: contract.KindTeam, Name: "depots"},
		Team: &contract.Team{Name: "depots", UpperLimit: 8, Share: 1},
	})
	createObject(t, entry, "m2", contract.Object{
		Ref:  contract.Ref{Kind: contract.KindPool, Name: "main"},
		Pool: &contract.PoolOrder{Name: "main", Target: machineCount},
	})
	for n, service := range []string{"bookings", "stock"} {
		createObject(t, entry, "m3"+service, contract.Object{
			Ref:      contract.Ref{Kind: contract.KindDocument, Name: service},
			Document: &contract.Document{Service: service, Team: "depots", Pool: "main", MinAvailable: minAvailable - n},
		})
	}
}

// planner returns the ID of the entry instance that holds the planner lease, or
// "" if none does.
func (f *maintainedFleet) planner(t *testing.T) string {
	t.Helper()
	r := postJSON(t, url(f.platform, rest.PathGet), rest.Request{Key: control.PlannerLeaseKey})
	var response rest.Response
	if err := json.Unmarshal(r.body, &response); err != nil || len(response.Records) == 0 {
		return ""
	}
	var value struct {
		Holder string `json:"holder"`
	}
	if err := json.Unmarshal(response.Records[0].Value, &value); err != nil {
		t.Fatal(err)
	}
	return value.Holder
}

// instanceRecords returns the instance records that are stored at the
// platform.
func (f *maintainedFleet) instanceRecords(t *testing.T) []machine.Instance {
	t.Helper()
	r := postJSON(t, url(f.platform, rest.PathList), rest.Request{Prefix: control.InstancePrefix})
	var response rest.Response
	if err := json.Unmarshal(r.body, &response); err != nil {
		t.Fatal(err)
	}
	var list []machine.Instance
	for _, record := range response.Records {
		var i machine.Instance
		if err := json.Unmarshal(record.Value, &i); err != nil {
			t.Fatal(err)
		}
		list = append(list, i)
	}
	return list
}

// countInstances returns the number of instance records that match.
func (f *maintainedFleet) countInstances(t *testing.T, matches func(machine.Instance) bool) int {
	t.Helper()
	n := 0
	for _, i := range f.instanceRecords(t) {
		if matches(i) {
			n++
		}
	}
	return n
}

func isDraining(i machine.Instance) bool { return i.Phase == machine.PhaseDraining }

func isServing(i machine.Instance) bool { return i.Phase == machine.PhaseServing }

func isRebooted(i machine.Instance) bool { return isServing(i) && !i.RebootedAt.IsZero() }

// TestWaveSurvivesFrozenAndKilledPlanner guards against a wave that stops when
// its planner is killed, and against a planner that was frozen until its lease
// expired and then acts on old state: it must not reboot a machine twice or
// drain more machines than the minimum allows.
func TestWaveSurvivesFrozenAndKilledPlanner(t *testing.T) {
	f := startMaintainedFleet(t)
	eventually(t, "every machine has a record", func() bool { return f.countInstances(t, isServing) == machineCount })
	r := postJSON(t, url(f.entries["entry-2"].address, "/v1/maintenance/wave/start"),
		front.WaveRequest{Name: "w1", Pools: []string{"main"}, Author: "operator"})
	if r.status != 200 {
		t.Fatalf("wave start: status %d: %s", r.status, r.body)
	}
	eventually(t, "the first planner drains an instance", func() bool { return f.countInstances(t, isDraining) > 0 })
	frozen := f.planner(t)
	f.entries[frozen].freeze()
	second := f.waitNewPlanner(t, frozen)
	eventually(t, "the second planner drains an instance", func() bool {
		return f.countInstances(t, isRebooted) > 0 && f.countInstances(t, isDraining) > 0
	})
	f.entries[frozen].signal(syscall.SIGCONT)
	f.entries[second].kill()
	third := f.waitNewPlanner(t, second)
	f.waitWaveDone(t, third)
	f.checkEffects(t)
}

// waitNewPlanner waits until an entry instance other than old holds the planner
// lease and returns its ID.
func (f *maintainedFleet) waitNewPlanner(t *testing.T, old string) string {
	t.Helper()
	next := ""
	eventually(t, "the planner lease is held by another instance than "+old, func() bool {
		next = f.planner(t)
		return next != "" && next != old
	})
	return next
}

// waitWaveDone waits until every instance is rebooted and the stored wave is
// done.
func (f *maintainedFleet) waitWaveDone(t *testing.T, entry string) {
	t.Helper()
	eventually(t, "every instance is rebooted", func() bool { return f.countInstances(t, isRebooted) == machineCount })
	eventually(t, "the wave is done", func() bool {
		r := postJSON(t, url(f.platform, rest.PathGet), rest.Request{Key: control.WavePrefix + "w1"})
		var response rest.Response
		var w machine.Wave
		if json.Unmarshal(r.body, &response) != nil || len(response.Records) != 1 || json.Unmarshal(response.Records[0].Value, &w) != nil {
			return false
		}
		return w.State == machine.WaveDone
	})
}

// checkEffects replays the commands that took effect on the machines. It checks
// that each machine was rebooted once, that no reboot aborted requests, and that
// the number of machines in service never was below the minimum.
func (f *maintainedFleet) checkEffects(t *testing.T) {
	t.Helper()
	r := postJSON(t, url(f.platform, standin.PathMachineEffects), struct{}{})
	var effects []standin.MachineEffect
	if err := json.Unmarshal(r.body, &effects); err != nil {
		t.Fatal(err)
	}
	out := make(map[string]bool)
	reboots := make(map[string]int)
	for _, e := range effects {
		switch e.Kind {
		case "drain":
			out[e.Machine] = true
		case "serving":
			delete(out, e.Machine)
		case "reboot":
			reboots[e.Machine]++
			if e.Interrupted {
				t.Errorf("the reboot of %s aborted running requests", e.Machine)
			}
		}
		if up := machineCount - len(out); up < minAvailable {
			t.Fatalf("%d machines in service after %s of %s, minimum %d", up, e.Kind, e.Machine, minAvailable)
		}
	}
	for id, n := range reboots {
		if n != 1 {
			t.Errorf("%s was rebooted %d times", id, n)
		}
	}
	if len(reboots) != machineCount {
		t.Errorf("%d of %d machines were rebooted", len(reboots), machineCount)
	}
}

// runCommand runs an operator command against an entry instance and returns its
// output and exit code.
func (f *maintainedFleet) runCommand(t *testing.T, entry string, args ...string) (string, int) {
	t.Helper()
	cmd := exec.Command(f.binary, args...)
	cmd.Env = append(os.Environ(), "CROCUSJUNCTION_ENTRY="+f.entries[entry].address, "USER=operator")
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// TestMaintenanceCommands guards against maintenance commands that do not change
// the stored records, accept an order that cannot be carried out, exit with the
// wrong code, or show another state than the records have.
func TestMaintenanceCommands(t *testing.T) {
	f := startMaintainedFleet(t)
	eventually(t, "every machine has a record", func() bool { return f.countInstances(t, isServing) == machineCount })
	eventually(t, "pool list shows the pool and the planner", func() bool {
		out, code := f.runCommand(t, "entry-2", "pool", "list")
		return code == 0 && strings.Contains(out, "main") && strings.Contains(out, "entry-")
	})
	eventually(t, "budget show lists the services", func() bool {
		out, _ := f.runCommand(t, "entry-2", "budget", "show")
		return strings.Contains(out, "stock")
	})
	for _, c := range []struct {
		args string
		code int
		want string
	}{
		{"pool move i00 nowhere", 1, "no pool nowhere"},
		{"pool move i99 main", 1, "no instance i99"},
		{"pool move i00", 2, "needs an instance and a pool"},
		{"instance list --phase serving", 0, "i15"},
		{"instance show i03", 0, "serving"},
		{"instance show i99", 1, "no instance i99"},
		{"budget show", 0, "stock"},
		{"budget show nothing", 1, "no budget of nothing"},
		{"wave start w1 nowhere", 1, "no pool nowhere"},
		{"wave start w1 main --one-by-one", 0, "running"},
		{"wave start w1 main", 1, "exists already"},
		{"wave pause w1", 0, "paused"},
		{"wave pause w1", 0, "paused"},
		{"wave resume w2", 1, "no wave w2"},
		{"wave show", 0, "paused"},
		{"wave resume w1", 0, "running"},
		{"wave show --json", 0, "\"total\": 16"},
	} {
		out, code := f.runCommand(t, "entry-2", strings.Fields(c.args)...)
		if code != c.code || !strings.Contains(out, c.want) {
			t.Errorf("%s: exit code %d, want %d; want %q in:\n%s", c.args, code, c.code, c.want, out)
		}
	}
	holder := f.planner(t)
	eventually(t, "explain shows the drain and its two budgets", func() bool {
		out, _ := f.runCommand(t, holder, "explain", "instance", "i00")
		return strings.Contains(out, "drain") && strings.Contains(out, "budget=bookings") && strings.Contains(out, "budget=stock")
	})
}
