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

// Sizes of the fleet under maintenance.
const (
	maintained   = 16
	minAvailable = 12
)

// maintainedFleet is a platform with 16 machines in one pool and three entry
// instances.
type maintainedFleet struct {
	binary   string
	platform string
	entries  map[string]*entryProcess
}

func startMaintainedFleet(t *testing.T) *maintainedFleet {
	t.Helper()
	binary := build(t)
	f := &maintainedFleet{binary: binary, platform: freeAddress(t), entries: make(map[string]*entryProcess)}
	start(t, binary, "standin", "platform", "--listen", f.platform)
	waitListening(t, f.platform)
	postJSON(t, url(f.platform, standin.PathParkOptions), standin.ParkOptions{DrainMS: 1000, RebootMS: 500, FillMS: 200, LagMS: 100})
	var machines []platform.Machine
	for n := range maintained {
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

func (f *maintainedFleet) configure(t *testing.T, entry string) {
	t.Helper()
	change(t, entry, "m1", contract.Object{
		Ref:  contract.Ref{Kind: contract.KindTeam, Name: "depots"},
		Team: &contract.Team{Name: "depots", UpperLimit: 8, Share: 1},
	})
	change(t, entry, "m2", contract.Object{
		Ref:  contract.Ref{Kind: contract.KindPool, Name: "main"},
		Pool: &contract.PoolOrder{Name: "main", Target: maintained},
	})
	for n, service := range []string{"bookings", "stock"} {
		change(t, entry, "m3"+service, contract.Object{
			Ref:      contract.Ref{Kind: contract.KindDocument, Name: service},
			Document: &contract.Document{Service: service, Team: "depots", Pool: "main", MinAvailable: minAvailable - n},
		})
	}
}

// holder returns the entry instance that holds the planner's lease, empty while
// none does.
func (f *maintainedFleet) holder(t *testing.T) string {
	t.Helper()
	r := postJSON(t, url(f.platform, rest.PathGet), rest.Call{Key: control.PlannerLeaseKey})
	var answer rest.Answer
	if err := json.Unmarshal(r.body, &answer); err != nil || len(answer.Records) == 0 {
		return ""
	}
	var value struct {
		Holder string `json:"holder"`
	}
	if err := json.Unmarshal(answer.Records[0].Value, &value); err != nil {
		t.Fatal(err)
	}
	return value.Holder
}

// records returns the instance records, as the platform holds them.
func (f *maintainedFleet) records(t *testing.T) []machine.Instance {
	t.Helper()
	r := postJSON(t, url(f.platform, rest.PathList), rest.Call{Prefix: control.InstancePrefix})
	var answer rest.Answer
	if err := json.Unmarshal(r.body, &answer); err != nil {
		t.Fatal(err)
	}
	var list []machine.Instance
	for _, record := range answer.Records {
		var i machine.Instance
		if err := json.Unmarshal(record.Value, &i); err != nil {
			t.Fatal(err)
		}
		list = append(list, i)
	}
	return list
}

func (f *maintainedFleet) count(t *testing.T, matches func(machine.Instance) bool) int {
	t.Helper()
	n := 0
	for _, i := range f.records(t) {
		if matches(i) {
			n++
		}
	}
	return n
}

func draining(i machine.Instance) bool { return i.Phase == machine.PhaseDraining }

func serves(i machine.Instance) bool { return i.Phase == machine.PhaseServing }

func rebooted(i machine.Instance) bool { return serves(i) && !i.RebootedAt.IsZero() }

// TestWaveSurvivesFrozenAndKilledPlanner guards against a wave that ends with its
// planner's process, and against a frozen planner that acts on old state when it
// is resumed past its lease.
func TestWaveSurvivesFrozenAndKilledPlanner(t *testing.T) {
	f := startMaintainedFleet(t)
	eventually(t, "every machine has a record", func() bool { return f.count(t, serves) == maintained })
	r := postJSON(t, url(f.entries["entry-2"].address, "/v1/maintenance/wave/start"),
		front.WaveRequest{Name: "w1", Pools: []string{"main"}, Author: "operator"})
	if r.status != 200 {
		t.Fatalf("wave start: status %d: %s", r.status, r.body)
	}
	eventually(t, "the first drains", func() bool { return f.count(t, draining) > 0 })
	frozen := f.holder(t)
	f.entries[frozen].freeze()
	second := f.successor(t, frozen)
	eventually(t, "the second planner drains", func() bool {
		return f.count(t, rebooted) > 0 && f.count(t, draining) > 0
	})
	f.entries[frozen].signal(syscall.SIGCONT)
	f.entries[second].kill()
	third := f.successor(t, second)
	f.finish(t, third)
	f.checkEffects(t)
}

// successor waits until another entry instance holds the planner's lease.
func (f *maintainedFleet) successor(t *testing.T, old string) string {
	t.Helper()
	next := ""
	eventually(t, "another planner than "+old, func() bool {
		next = f.holder(t)
		return next != "" && next != old
	})
	return next
}

// finish waits until the wave is done, as one entry instance shows it.
func (f *maintainedFleet) finish(t *testing.T, entry string) {
	t.Helper()
	eventually(t, "every instance is rebooted", func() bool { return f.count(t, rebooted) == maintained })
	eventually(t, "the wave is done", func() bool {
		r := postJSON(t, url(f.platform, rest.PathGet), rest.Call{Key: control.WavePrefix + "w1"})
		var answer rest.Answer
		var w machine.Wave
		if json.Unmarshal(r.body, &answer) != nil || len(answer.Records) != 1 || json.Unmarshal(answer.Records[0].Value, &w) != nil {
			return false
		}
		return w.State == machine.WaveDone
	})
}

// checkEffects replays what happened to the machines: one uncut reboot each, and
// never fewer in service than the minimum.
func (f *maintainedFleet) checkEffects(t *testing.T) {
	t.Helper()
	r := postJSON(t, url(f.platform, standin.PathEffects), struct{}{})
	var effects []standin.Effect
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
			if e.Cut {
				t.Errorf("the reboot of %s cut off requests", e.Machine)
			}
		}
		if up := maintained - len(out); up < minAvailable {
			t.Fatalf("%d in service after %s of %s, minimum %d", up, e.Kind, e.Machine, minAvailable)
		}
	}
	for id, n := range reboots {
		if n != 1 {
			t.Errorf("%s was rebooted %d times", id, n)
		}
	}
	if len(reboots) != maintained {
		t.Errorf("%d of %d machines were rebooted", len(reboots), maintained)
	}
}

// command runs one operator command and returns its output and exit code.
func (f *maintainedFleet) command(t *testing.T, entry string, args ...string) (string, int) {
	t.Helper()
	cmd := exec.Command(f.binary, args...)
	cmd.Env = append(os.Environ(), "CROCUSJUNCTION_ENTRY="+f.entries[entry].address, "USER=operator")
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// TestMaintenanceCommands guards against commands that do not reach the records,
// that accept what cannot be done, or that show something else.
func TestMaintenanceCommands(t *testing.T) {
	f := startMaintainedFleet(t)
	eventually(t, "every machine has a record", func() bool { return f.count(t, serves) == maintained })
	eventually(t, "every entry instance knows the pool", func() bool {
		out, code := f.command(t, "entry-2", "pool", "list")
		return code == 0 && strings.Contains(out, "main") && strings.Contains(out, "entry-")
	})
	eventually(t, "the budgets have records", func() bool {
		out, _ := f.command(t, "entry-2", "budget", "show")
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
		out, code := f.command(t, "entry-2", strings.Fields(c.args)...)
		if code != c.code || !strings.Contains(out, c.want) {
			t.Errorf("%s: exit code %d, want %d; want %q in:\n%s", c.args, code, c.code, c.want, out)
		}
	}
	holder := f.holder(t)
	eventually(t, "an explained drain with its budgets", func() bool {
		out, _ := f.command(t, holder, "explain", "instance", "i00")
		return strings.Contains(out, "drain") && strings.Contains(out, "budget=bookings") && strings.Contains(out, "budget=stock")
	})
}
