package telemetry

import (
	"context"
	"strings"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// maxSeries bounds the number of time series of one labelled instrument. A
// configuration may have hundreds of queues, and a histogram takes about 2 KB
// for each series.
const maxSeries = 128

// overflowValue replaces the value of the first label for series beyond
// maxSeries.
const overflowValue = "other"

// seriesCache caches the attribute sets of an instrument's label values and
// bounds their number. It is safe for concurrent use.
type seriesCache struct {
	labels []string
	mu     sync.Mutex
	// options maps joined label values to their attribute set.
	options map[string]metric.MeasurementOption
}

func newSeriesCache(labels []string) *seriesCache {
	return &seriesCache{labels: labels, options: make(map[string]metric.MeasurementOption)}
}

// attributes returns the attribute set of values, which has one value for each
// label.
func (s *seriesCache) attributes(values []string) metric.MeasurementOption {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := strings.Join(values, "\x00")
	if cached, ok := s.options[key]; ok {
		return cached
	}
	full := len(s.options) >= maxSeries
	set := make([]attribute.KeyValue, len(s.labels))
	for i, label := range s.labels {
		set[i] = attribute.String(label, values[i])
	}
	if full {
		set[0] = attribute.String(s.labels[0], overflowValue)
	}
	option := metric.WithAttributeSet(attribute.NewSet(set...))
	if !full {
		s.options[key] = option
	}
	return option
}

// DurationHistogram is a labelled histogram of durations in seconds. It is safe
// for concurrent use.
type DurationHistogram struct {
	histogram metric.Float64Histogram
	series    *seriesCache
}

// DurationHistogram registers a histogram of durations with the given labels.
// Series beyond maxSeries are recorded with the value "other" for the first
// label.
func (m *Metrics) DurationHistogram(name, description string, labels ...string) (*DurationHistogram, error) {
	histogram, err := m.meter.Float64Histogram(name, metric.WithUnit("s"), metric.WithDescription(description),
		metric.WithExplicitBucketBoundaries(durationBuckets...))
	if err != nil {
		return nil, wrapInstrument(err, name)
	}
	return &DurationHistogram{histogram, newSeriesCache(labels)}, nil
}

// Record adds one duration. Values are the label values, in the order of the
// labels.
func (d *DurationHistogram) Record(took time.Duration, values ...string) {
	d.histogram.Record(context.Background(), took.Seconds(), d.series.attributes(values))
}

// EventCounter is a labelled counter of events. It is safe for concurrent use.
type EventCounter struct {
	counter metric.Int64Counter
	series  *seriesCache
}

// EventCounter registers a counter with the given labels. Series beyond
// maxSeries are counted with the value "other" for the first label.
func (m *Metrics) EventCounter(name, description string, labels ...string) (*EventCounter, error) {
	counter, err := m.meter.Int64Counter(name, metric.WithDescription(description))
	if err != nil {
		return nil, wrapInstrument(err, name)
	}
	return &EventCounter{counter, newSeriesCache(labels)}, nil
}

// Add counts one event. Values are the label values, in the order of the
// labels.
func (e *EventCounter) Add(values ...string) {
	e.counter.Add(context.Background(), 1, e.series.attributes(values))
}
