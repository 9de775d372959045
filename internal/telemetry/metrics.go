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

// requestBuckets are the upper bounds of the request duration histogram, in
// seconds. The 7.7 s bucket is the bound for the start of urgent work.
var requestBuckets = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 7.7, 10, 30, 60}

// noTeam labels requests that were refused before a team was known.
const noTeam = "none"

// Metrics are the instruments of one process. It is safe for concurrent use.
type Metrics struct {
	provider *sdkmetric.MeterProvider
	handler  http.Handler
	meter    metric.Meter
	requests metric.Float64Histogram
	// labels caches the labels of requests by requestLabels. Teams and outcomes
	// are few, and building the set costs five allocations for each request.
	labels   sync.Map
	refusals metric.Int64Counter
}

// NewMetrics returns instruments whose values Handler serves.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry), otelprometheus.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Wrap(err, "prometheus exporter")
	}
	m := &Metrics{
		provider: sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter)),
		handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}
	m.meter = m.provider.Meter("crocusjunction")
	m.requests, err = m.meter.Float64Histogram("crocusjunction.request.duration",
		metric.WithUnit("s"),
		metric.WithDescription("Time from the arrival of a request to its outcome, for each team and outcome."),
		metric.WithExplicitBucketBoundaries(requestBuckets...))
	if err != nil {
		return nil, errors.Wrap(err, "request histogram")
	}
	m.refusals, err = m.meter.Int64Counter("crocusjunction.request.refusals",
		metric.WithDescription("Requests that were refused and not run, for each team and refusal code."))
	if err != nil {
		return nil, errors.Wrap(err, "refusal counter")
	}
	return m, nil
}

// Handler serves all metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Request records one finished request. Code is the refusal code, empty when
// the request was not refused.
func (m *Metrics) Request(team, outcome, code string, d time.Duration) {
	if team == "" {
		team = noTeam
	}
	ctx := context.Background()
	m.requests.Record(ctx, d.Seconds(), m.labelsOf(team, outcome)...)
	if code != "" {
		m.refusals.Add(ctx, 1, metric.WithAttributes(attribute.String("team", team), attribute.String("code", code)))
	}
}

// requestLabels are the labels of one series of the request histogram.
type requestLabels struct{ team, outcome string }

func (m *Metrics) labelsOf(team, outcome string) []metric.RecordOption {
	key := requestLabels{team: team, outcome: outcome}
	if known, ok := m.labels.Load(key); ok {
		return known.([]metric.RecordOption)
	}
	set := attribute.NewSet(attribute.String("team", team), attribute.String("outcome", outcome))
	known, _ := m.labels.LoadOrStore(key, []metric.RecordOption{metric.WithAttributeSet(set)})
	return known.([]metric.RecordOption)
}

// Gauge registers a value that is read at each scrape.
func (m *Metrics) Gauge(name, unit, description string, read func() int64) error {
	_, err := m.meter.Int64ObservableGauge(name,
		metric.WithUnit(unit),
		metric.WithDescription(description),
		metric.WithInt64Callback(observe(read)))
	return wrapName(err, name)
}

// Counter registers a total that is read at each scrape. It must never go down.
func (m *Metrics) Counter(name, unit, description string, read func() int64) error {
	_, err := m.meter.Int64ObservableCounter(name,
		metric.WithUnit(unit),
		metric.WithDescription(description),
		metric.WithInt64Callback(observe(read)))
	return wrapName(err, name)
}

func observe(read func() int64) metric.Int64Callback {
	return func(_ context.Context, o metric.Int64Observer) error {
		o.Observe(read())
		return nil
	}
}

func wrapName(err error, name string) error {
	if err == nil {
		return nil
	}
	return errors.Wrapf(err, "instrument %s", name)
}

// LabelledCounter registers totals by one label that are read at each scrape.
// Each calls its argument with every label value and total.
func (m *Metrics) LabelledCounter(name, description, label string, each func(func(value string, total int64))) error {
	_, err := m.meter.Int64ObservableCounter(name,
		metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			each(func(value string, total int64) {
				o.Observe(total, metric.WithAttributes(attribute.String(label, value)))
			})
			return nil
		}))
	return wrapName(err, name)
}
