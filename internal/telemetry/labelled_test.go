package telemetry

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestSeriesAreBounded guards against memory that grows with the number of
// queues, and against durations beyond the bound that are not recorded.
func TestSeriesAreBounded(t *testing.T) {
	m, err := NewMetrics()
	if err != nil {
		t.Fatal(err)
	}
	histogram, err := m.DurationHistogram("test.duration", "Test.", "queue", "point")
	if err != nil {
		t.Fatal(err)
	}
	for i := range 3 * maxSeries {
		histogram.Record(time.Second, fmt.Sprintf("q%d", i), "started")
	}
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	text := w.Body.String()
	if n := strings.Count(text, "test_duration_seconds_count{"); n != maxSeries+1 {
		t.Errorf("%d series, want %d", n, maxSeries+1)
	}
	if want := fmt.Sprintf("test_duration_seconds_count{point=\"started\",queue=\"other\"} %d", 2*maxSeries); !strings.Contains(text, want) {
		t.Errorf("series beyond maxSeries are not counted as other")
	}
}
