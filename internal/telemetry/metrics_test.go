package telemetry

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestRequestHistogramPerTeam guards against requests that are recorded without
// their team, outcome or refusal code.
func TestRequestHistogramPerTeam(t *testing.T) {
	m, err := NewMetrics()
	if err != nil {
		t.Fatal(err)
	}
	m.RecordRequest("depots", "answered", "", 3*time.Millisecond)
	m.RecordRequest("", "not-run", "key-refused", time.Millisecond)
	if err := m.RegisterGauge("crocusjunction.test.gauge", "", "A test value.", func() int64 { return 7 }); err != nil {
		t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		`crocusjunction_request_duration_seconds_count{outcome="answered",team="depots"} 1`,
		`crocusjunction_request_refusals_total{code="key-refused",team="none"} 1`,
		`crocusjunction_test_gauge 7`,
	} {
		if !strings.Contains(recorder.Body.String(), want) {
			t.Errorf("metrics lack %s:\n%s", want, recorder.Body)
		}
	}
}

// TestLabelledGaugeDropsAbsentLabels guards against the last value of a label that is still
// shown after it is no longer observed, such as a team's share after the contention.
func TestLabelledGaugeDropsAbsentLabels(t *testing.T) {
	m, err := NewMetrics()
	if err != nil {
		t.Fatal(err)
	}
	values := map[string]float64{"depots": 2.5, "quays": 0.25}
	err = m.RegisterLabelledGauge("crocusjunction.test.ratio", "A test value.", "team", func(observe func(string, float64)) {
		for team, value := range values {
			observe(team, value)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	scrape := func() string {
		recorder := httptest.NewRecorder()
		m.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
		return recorder.Body.String()
	}
	for _, want := range []string{`crocusjunction_test_ratio{team="depots"} 2.5`, `crocusjunction_test_ratio{team="quays"} 0.25`} {
		if text := scrape(); !strings.Contains(text, want) {
			t.Errorf("metrics lack %s:\n%s", want, text)
		}
	}
	delete(values, "depots")
	if text := scrape(); strings.Contains(text, "depots") || !strings.Contains(text, "quays") {
		t.Errorf("the label depots is still shown, or quays is not:\n%s", text)
	}
}
