package telemetry

import (
	"context"
	"strings"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// maxSeries bounds the series of one labelled instrument. A configuration may
// name hundreds of queues; a histogram takes about 2 KB for each series.
const maxSeries = 128

// otherValue stands for the first label of the series beyond maxSeries.
const otherValue = "other"

// series caches the attributes of label values and bounds their number.
type series struct {
	labels []string
	mu     sync.Mutex
	known  map[string]metric.MeasurementOption
}

func newSeries(labels []string) *series {
	return &series{labels: labels, known: make(map[string]metric.MeasurementOption)}
}

// of returns the attributes of values, one for each label.
func (s *series) of(values []string) metric.MeasurementOption {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := strings.Join(values, "\x00")
	if known, ok := s.known[key]; ok {
		return known
	}
	full := len(s.known) >= maxSeries
	set := make([]attribute.KeyValue, len(s.labels))
	for i, label := range s.labels {
		set[i] = attribute.String(label, values[i])
	}
	if full {
		set[0] = attribute.String(s.labels[0], otherValue)
	}
	option := metric.WithAttributeSet(attribute.NewSet(set...))
	if !full {
		s.known[key] = option
	}
	return option
}

// Durations is a histogram with labels.
type Durations struct {
	histogram metric.Float64Histogram
	series    *series
}

// Durations registers a histogram of seconds with the given labels.
func (m *Metrics) Durations(name, description string, labels ...string) (*Durations, error) {
	histogram, err := m.meter.Float64Histogram(name, metric.WithUnit("s"), metric.WithDescription(description),
		metric.WithExplicitBucketBoundaries(requestBuckets...))
	if err != nil {
		return nil, wrapName(err, name)
	}
	return &Durations{histogram, newSeries(labels)}, nil
}

// Record adds one duration; values are those of the labels.
func (d *Durations) Record(took time.Duration, values ...string) {
	d.histogram.Record(context.Background(), took.Seconds(), d.series.of(values))
}

// Events is a counter with labels.
type Events struct {
	counter metric.Int64Counter
	series  *series
}

// Events registers a counter with the given labels.
func (m *Metrics) Events(name, description string, labels ...string) (*Events, error) {
	counter, err := m.meter.Int64Counter(name, metric.WithDescription(description))
	if err != nil {
		return nil, wrapName(err, name)
	}
	return &Events{counter, newSeries(labels)}, nil
}

// Add counts one event; values are those of the labels.
func (e *Events) Add(values ...string) {
	e.counter.Add(context.Background(), 1, e.series.of(values))
}
