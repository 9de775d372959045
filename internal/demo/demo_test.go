package demo

import (
	"bytes"
	"testing"

	"github.com/crocusjunction/crocusjunction/internal/telemetry"
)

// TestDemoStepsHold guards against a change that breaks one of the main tasks.
func TestDemoStepsHold(t *testing.T) {
	var out bytes.Buffer
	if err := Run(t.Context(), &out, telemetry.NewLog("error")); err != nil {
		t.Errorf("demo: %v", err)
	}
	t.Logf("\n%s", out.String())
}
