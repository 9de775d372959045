package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestCheckReportsEveryField guards against a check that stops at the first
// wrong setting, and against missing certificate files that the check does not
// report.
func TestCheckReportsEveryField(t *testing.T) {
	e := Entry{
		DataCentre: "west", DataCentres: map[string]string{"north": "r"}, HTTP: "here", Peer: "127.0.0.1:1", Platform: "",
		TLS: TLS{CA: "/missing/ca.pem"}, Seeds: []Seed{{ID: "e2", DataCentre: "north", Address: "x"}}, FreshnessHorizonMS: 100, LogLevel: "loud",
	}
	err := e.Check()
	if err == nil {
		t.Fatal("accepted")
	}
	for _, want := range []string{"id", "datacentre", "http", "platform", "tls.ca", "tls.certificate", "tls.key", "seeds[0].address", "freshness_horizon_ms", "log_level"} {
		if !strings.Contains(err.Error(), "settings: "+want+":") {
			t.Errorf("%s is missing in:\n%v", want, err)
		}
	}
	if strings.Contains(err.Error(), "settings: peer:") {
		t.Errorf("valid setting peer is reported in:\n%v", err)
	}
}

// TestCheckAcceptsValidSettings guards against a check that refuses valid
// settings, such as those in the documentation.
func TestCheckAcceptsValidSettings(t *testing.T) {
	pem := filepath.Join(t.TempDir(), "x.pem")
	if err := os.WriteFile(pem, []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	e := Entry{
		ID: "e1", DataCentre: "north", DataCentres: map[string]string{"north": "r"},
		HTTP: "127.0.0.1:1", Peer: "127.0.0.1:2", Platform: "127.0.0.1:3", TLS: TLS{CA: pem, Certificate: pem, Key: pem},
	}
	if err := e.Check(); err != nil {
		t.Error(err)
	}
}
