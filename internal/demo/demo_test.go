package demo

import (
	"bytes"
	"io"
	"testing"

	"github.com/crocusjunction/crocusjunction/internal/telemetry"
)

// TestNodeDemoStepsSucceed guards against a change after which an operator or a
// caller cannot complete one of the main operations on nodes of the users'
// platform.
func TestNodeDemoStepsSucceed(t *testing.T) {
	var out bytes.Buffer
	if err := RunNodes(t.Context(), &out, io.Discard); err != nil {
		t.Errorf("demo: %v", err)
	}
	t.Logf("\n%s", out.String())
}

// TestDemoStepsSucceed guards against a change after which an operator or a
// caller cannot complete one of the main operations on entry instances.
func TestDemoStepsSucceed(t *testing.T) {
	var out bytes.Buffer
	if err := RunEntries(t.Context(), &out, telemetry.NewLog("error")); err != nil {
		t.Errorf("demo: %v", err)
	}
	t.Logf("\n%s", out.String())
}
