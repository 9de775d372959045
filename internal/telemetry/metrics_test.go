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
