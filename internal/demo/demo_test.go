package demo

import (
	"bytes"
	"io"
	"testing"

	"github.com/crocusjunction/crocusjunction/internal/telemetry"
)

// TestNodeDemoStepsHold guards against a change that breaks one of the main
// tasks on nodes of the users' platform.
func TestNodeDemoStepsHold(t *testing.T) {
	var out bytes.Buffer
	if err := RunNodes(t.Context(), &out, io.Discard); err != nil {
		t.Errorf("demo: %v", err)
	}
	t.Logf("\n%s", out.String())
}

// TestDemoStepsHold guards against a change that breaks one of the main tasks on
// entry instances.
func TestDemoStepsHold(t *testing.T) {
	var out bytes.Buffer
	if err := Run(t.Context(), &out, telemetry.NewLog("error")); err != nil {
		t.Errorf("demo: %v", err)
	}
	t.Logf("\n%s", out.String())
}
