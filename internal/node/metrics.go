package node

import (
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"github.com/crocusjunction/crocusjunction/internal/ingress"
	"github.com/crocusjunction/crocusjunction/internal/scheduler"
	"github.com/crocusjunction/crocusjunction/internal/telemetry"
)

// metrics are the metric instruments of a node. It is safe for concurrent use.
type metrics struct {
	*telemetry.Metrics
	jobs          *telemetry.DurationHistogram
	refusedStarts *telemetry.EventCounter
}

func newMetrics(n *node) (*metrics, error) {
	m, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	fromStatus := func(read func(s *controlStatus) int64) func() int64 {
		return func() int64 { return read(n.loop.Status()) }
	}
	for _, g := range []struct {
		name, description string
		read              func(s *controlStatus) int64
	}{
		{"crocusjunction.config.version", "Configuration version in force.", func(s *controlStatus) int64 {
			if s.Config == nil {
				return 0
			}
			return s.Config.Version
		}},
		{"crocusjunction.config.age_ms", "Age of the reading of the configuration in ms.", func(s *controlStatus) int64 { return n.clock.Now().Sub(s.ConfigAsOf).Milliseconds() }},
		{"crocusjunction.scheduler.leading", "1 while this node is the scheduler.", func(s *controlStatus) int64 {
			if s.Leading {
				return 1
			}
			return 0
		}},
		{"crocusjunction.tasks.running", "Runs that may be alive.", func(s *controlStatus) int64 { return s.Counts.Running }},
		{"crocusjunction.jobs.unfinished", "Jobs that have not ended.", func(s *controlStatus) int64 { return s.Counts.Unfinished }},
		{"crocusjunction.records.quarantined", "Records in quarantine.", func(s *controlStatus) int64 { return s.Counts.Quarantined }},
		{"crocusjunction.demand.cycles", "Queues whose demand has a known cycle.", func(s *controlStatus) int64 { return s.Counts.KnownCycles }},
		{"crocusjunction.demand.cycles_unused", "Queues whose known cycle is not used, because an expected peak did not occur.", func(s *controlStatus) int64 { return s.Counts.UnusedCycles }},
		{"crocusjunction.workers.known", "Workers that the scheduler knows.", func(s *controlStatus) int64 { return s.Counts.Workers }},
	} {
		if err := m.RegisterGauge(g.name, "", g.description, fromStatus(g.read)); err != nil {
			return nil, err
		}
	}
	for _, c := range []struct {
		name, description string
		read              func(s *controlStatus) int64
	}{
		{"crocusjunction.task.starts", "Starts that were ordered.", func(s *controlStatus) int64 { return s.Counts.Starts }},
		{"crocusjunction.task.ends", "Ends that workers listed.", func(s *controlStatus) int64 { return s.Counts.Ends }},
		{"crocusjunction.task.failures", "Runs that ended failed.", func(s *controlStatus) int64 { return s.Counts.Failed }},
		{"crocusjunction.task.lost", "Runs that were lost with their worker.", func(s *controlStatus) int64 { return s.Counts.Lost }},
		{"crocusjunction.job.given_up", "Jobs that were ended because a task crashed its workers.", func(s *controlStatus) int64 { return s.Counts.GivenUp }},
		{"crocusjunction.task.refused", "Starts that workers refused.", func(s *controlStatus) int64 { return s.Counts.Refused }},
		{"crocusjunction.demand.peaks_forecast", "Peaks of demand before which a pool got machines.", func(s *controlStatus) int64 { return s.Counts.ForecastPeaks }},
		{"crocusjunction.demand.peaks_missed", "Forecast peaks of demand that did not occur.", func(s *controlStatus) int64 { return s.Counts.MissedPeaks }},
		{"crocusjunction.scheduler.failures_contained", "Failed decisions after which the state was read again.", func(s *controlStatus) int64 { return s.Counts.Contained }},
		{"crocusjunction.scheduler.takeovers", "Times that this node became the scheduler.", func(s *controlStatus) int64 { return s.Counts.Takeovers }},
	} {
		if err := m.RegisterCounter(c.name, "", c.description, fromStatus(c.read)); err != nil {
			return nil, err
		}
	}
	if err := m.RegisterCounter("crocusjunction.log.dropped", "{line}", "Log lines that were dropped.", n.log.Dropped); err != nil {
		return nil, err
	}
	err = m.RegisterLabelledCounter("crocusjunction.platform.calls", "Calls to the platform by kind.", "kind", n.client.Counters().Each)
	if err != nil {
		return nil, err
	}
	jobs, err := m.DurationHistogram("crocusjunction.job.duration", "Time from the acceptance of a job to its first start or its end, by queue.", "queue", "point")
	if err != nil {
		return nil, err
	}
	refused, err := m.EventCounter("crocusjunction.task.refusals", "Starts that workers refused, by reason.", "reason")
	return &metrics{m, jobs, refused}, err
}

// recordJob records the time that a job took to its first start or its end.
func (m *metrics) recordJob(j scheduler.JobMeasured) {
	m.jobs.Record(j.Elapsed, j.Queue, string(j.Milestone))
}

func (m *metrics) recordRefusal(r scheduler.RefusalCounted) { m.refusedStarts.Add(string(r.Reason)) }

// recordRequest records a finished request of a caller. Only not-run, unsettled
// and unavailable requests count as refusals.
func (m *metrics) recordRequest(kind string, a ingress.Answer, took time.Duration) {
	code := ""
	if a.Code == ingress.NotRun || a.Code == ingress.Unsettled || a.Code == ingress.Unavailable {
		code = a.Code.String()
	}
	m.RecordRequest(a.Team, kind+" "+a.Code.String(), code, took)
}

const metricsPath = "/metrics"

func (m *metrics) handler() fasthttp.RequestHandler {
	serve := fasthttpadaptor.NewFastHTTPHandler(m.Handler())
	return func(c *fasthttp.RequestCtx) {
		if !strings.HasPrefix(string(c.Path()), metricsPath) {
			c.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		serve(c)
	}
}
