package e2e

import (
	"encoding/json"
	"os/exec"
	"testing"

	"github.com/crocusjunction/crocusjunction/internal/standin"
)

// runCommand runs a command of the program and returns its exit code and
// standard output.
func runCommand(t *testing.T, binary string, args ...string) (int, []byte) {
	t.Helper()
	cmd := exec.Command(binary, args...)
	out, err := cmd.Output()
	if cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), out
}

// TestRequestCommands guards against a work command whose exit code does not
// match the outcome of the request, on which callers' scripts depend, and
// against wrong JSON output of the ticket, endpoint and load commands.
func TestRequestCommands(t *testing.T) {
	c := startCluster(t, "1ms")
	binary := testBinary(t)
	entry := []string{"--entry", c.first.address, "--json"}
	work := func(args ...string) (int, map[string]any) {
		code, out := runCommand(t, binary, append(append([]string{"work"}, entry...), args...)...)
		var answer map[string]any
		if err := json.Unmarshal(out, &answer); err != nil {
			t.Fatalf("work %v: %q: %v", args, out, err)
		}
		return code, answer
	}
	if code, answer := work("--key", secret, "--body", "washer 7", "bookings"); code != 0 || answer["body"] != "washer 7" {
		t.Errorf("answered: exit code %d, %v", code, answer)
	}
	if code, answer := work("--key", "wrong", "bookings"); code != 1 || answer["outcome"] != "not-run" {
		t.Errorf("not run: exit code %d, %v", code, answer)
	}
	postJSON(t, url(c.endpointAddress, standin.PathEndpointFaults), standin.EndpointFaults{Mode: standin.FaultClose, Requests: 1})
	if code, answer := work("--key", secret, "bookings"); code != 3 || answer["outcome"] != "unknown" {
		t.Errorf("unknown: exit code %d, %v", code, answer)
	}
	var issued struct{ Tickets []string }
	code, out := runCommand(t, binary, append([]string{"ticket", "issue", "--key", secret, "--count", "2"}, entry...)...)
	if err := json.Unmarshal(out, &issued); code != 0 || err != nil || len(issued.Tickets) != 2 {
		t.Errorf("ticket issue: exit code %d, %q, error %v", code, out, err)
	}
	for i, repeated := range []bool{false, true} {
		_, answer := work("--key", secret, "--idempotency-key", issued.Tickets[0], "--body", "deposit", "bookings")
		if answer["outcome"] != "answered" || answer["repeated"] != repeated {
			t.Errorf("call %d with a ticket: %v", i, answer)
		}
	}
	var listed struct{ Endpoints []map[string]any }
	code, out = runCommand(t, binary, append([]string{"endpoint", "list"}, entry...)...)
	if err := json.Unmarshal(out, &listed); code != 0 || err != nil || len(listed.Endpoints) != 1 || listed.Endpoints[0]["id"] != "e1" {
		t.Errorf("endpoint list: exit code %d, %q, error %v", code, out, err)
	}
	var result struct{ Teams []map[string]any }
	code, out = runCommand(t, binary, "load", "--json", "--entry", c.first.address, "--target", "depots=bookings:"+secret,
		"--concurrency", "2", "--rate", "200", "--duration", "1s", "--seed", "7")
	if err := json.Unmarshal(out, &result); code != 0 || err != nil || len(result.Teams) != 1 || result.Teams[0]["answered"] == 0.0 {
		t.Errorf("load: exit code %d, %q, error %v", code, out, err)
	}
}
