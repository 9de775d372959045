package telemetry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// durationBuckets are the upper bounds of the histogram buckets for durations,
// in seconds. The 7.7 s bucket ends at the time limit for the start of urgent
// work.
var durationBuckets = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 7.7, 10, 30, 60}

// noTeam is the team label of requests that were refused before their team was
// determined.
const noTeam = "none"

// Metrics holds the metric instruments of one process. It is safe for
// concurrent use.
type Metrics struct {
	provider *sdkmetric.MeterProvider
	handler  http.Handler
	meter    metric.Meter
	requests metric.Float64Histogram
	// requestOptions caches the attribute sets of requests by requestLabels. There
	// are few teams and outcomes, and building a set costs five allocations for
	// each request.
	requestOptions sync.Map
	refusals       metric.Int64Counter
}

// NewMetrics returns metrics with the instruments for requests. Handler serves
// their values.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry), otelprometheus.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Wrap(err, "create Prometheus exporter")
	}
	m := &Metrics{
		provider: sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter)),
		handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}
	m.meter = m.provider.Meter("crocusjunction")
	m.requests, err = m.meter.Float64Histogram("crocusjunction.request.duration",
		metric.WithUnit("s"),
		metric.WithDescription("Time from the arrival of a request to its outcome, for each team and outcome."),
		metric.WithExplicitBucketBoundaries(durationBuckets...))
	if err != nil {
		return nil, errors.Wrap(err, "create request histogram")
	}
	m.refusals, err = m.meter.Int64Counter("crocusjunction.request.refusals",
		metric.WithDescription("Requests that were refused and not run, for each team and refusal code."))
	if err != nil {
		return nil, errors.Wrap(err, "create refusal counter")
	}
	return m, nil
}

// Handler returns the HTTP handler that serves all metrics in the Prometheus
// text format.
func (m *Metrics) Handler() http.Handler { return m.handler }

// RecordRequest records one finished request. Code is the refusal code, empty if
// the request was not refused.
func (m *Metrics) RecordRequest(team, outcome, code string, d time.Duration) {
	if team == "" {
		team = noTeam
	}
	ctx := context.Background()
	m.requests.Record(ctx, d.Seconds(), m.requestAttributes(team, outcome)...)
	if code != "" {
		m.refusals.Add(ctx, 1, metric.WithAttributes(attribute.String("team", team), attribute.String("code", code)))
	}
}

// requestLabels are the labels of one series of the request histogram.
type requestLabels struct{ team, outcome string }

func (m *Metrics) requestAttributes(team, outcome string) []metric.RecordOption {
	key := requestLabels{team: team, outcome: outcome}
	if options, ok := m.requestOptions.Load(key); ok {
		return options.([]metric.RecordOption)
	}
	set := attribute.NewSet(attribute.String("team", team), attribute.String("outcome", outcome))
	options, _ := m.requestOptions.LoadOrStore(key, []metric.RecordOption{metric.WithAttributeSet(set)})
	return options.([]metric.RecordOption)
}

// RegisterGauge registers a value. Read is called at each scrape, on another
// goroutine.
func (m *Metrics) RegisterGauge(name, unit, description string, read func() int64) error {
	_, err := m.meter.Int64ObservableGauge(name,
		metric.WithUnit(unit),
		metric.WithDescription(description),
		metric.WithInt64Callback(observeValue(read)))
	return wrapInstrument(err, name)
}

// RegisterCounter registers a total that must never decrease. Read is called at
// each scrape, on another goroutine.
func (m *Metrics) RegisterCounter(name, unit, description string, read func() int64) error {
	_, err := m.meter.Int64ObservableCounter(name,
		metric.WithUnit(unit),
		metric.WithDescription(description),
		metric.WithInt64Callback(observeValue(read)))
	return wrapInstrument(err, name)
}

func observeValue(read func() int64) metric.Int64Callback {
	return func(_ context.Context, o metric.Int64Observer) error {
		o.Observe(read())
		return nil
	}
}

func wrapInstrument(err error, name string) error {
	if err == nil {
		return nil
	}
	return errors.Wrapf(err, "register instrument %s", name)
}

// RegisterLabelledCounter registers totals with one label. At each scrape,
// collect is called on another goroutine; it must call its argument with every
// label value and its total.
func (m *Metrics) RegisterLabelledCounter(name, description, label string, collect func(func(value string, total int64))) error {
	_, err := m.meter.Int64ObservableCounter(name,
		metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			collect(func(value string, total int64) {
				o.Observe(total, metric.WithAttributes(attribute.String(label, value)))
			})
			return nil
		}))
	return wrapInstrument(err, name)
}

// RegisterLabelledGauge registers values with one label. At each scrape, collect is called
// on another goroutine; it must call its argument with every label value and its value.
func (m *Metrics) RegisterLabelledGauge(name, description, label string, collect func(func(labelValue string, value float64))) error {
	_, err := m.meter.Float64ObservableGauge(name,
		metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			collect(func(labelValue string, value float64) {
				o.Observe(value, metric.WithAttributes(attribute.String(label, labelValue)))
			})
			return nil
		}))
	return wrapInstrument(err, name)
}
