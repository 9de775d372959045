package node

import (
	"net/http"
	"strings"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/ingress"
	"github.com/crocusjunction/crocusjunction/internal/scheduler"
	"github.com/crocusjunction/crocusjunction/internal/telemetry"
)

// metrics are the metric instruments of a node. It is safe for concurrent use.
type metrics struct {
	*telemetry.Metrics
	jobs          *telemetry.DurationHistogram
	refusedStarts *telemetry.EventCounter
	refusedJobs   *telemetry.EventCounter
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
		{"crocusjunction.jobs.memory_bytes", "Memory of all known jobs, by estimate.", func(s *controlStatus) int64 { return s.Counts.JobBytes }},
		{"crocusjunction.jobs.unfinished", "Jobs that have not ended.", func(s *controlStatus) int64 { return s.Counts.Unfinished }},
		{"crocusjunction.placement.waiting", "Tasks and gangs that have room and wait for room in a rack.", func(s *controlStatus) int64 { return s.Counts.WaitingForRack }},
		{"crocusjunction.records.quarantined", "Records in quarantine.", func(s *controlStatus) int64 { return s.Counts.Quarantined }},
		{"crocusjunction.admission.services", "Services with more work than they can do in time, as this node knows.", func(s *controlStatus) int64 {
			if s.Rooms == nil {
				return 0
			}
			return int64(len(s.Rooms.ByService))
		}},
		{"crocusjunction.share.contended_pools", "Full pools for which two teams or more compete.", func(s *controlStatus) int64 { return s.Counts.ContendedPools }},
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
		{"crocusjunction.placement.waits", "Waits for room in a rack that began.", func(s *controlStatus) int64 { return s.Counts.Waits }},
		{"crocusjunction.placement.waits_met", "Waits that ended with a start in the rack.", func(s *controlStatus) int64 { return s.Counts.WaitsMet }},
		{"crocusjunction.placement.waits_given_up", "Waits that ended with a start elsewhere.", func(s *controlStatus) int64 { return s.Counts.WaitsGivenUp }},
		{"crocusjunction.placement.wait_gain_ms", "Run time in ms that met waits saved, less their lengths.", func(s *controlStatus) int64 { return s.Counts.WaitGainMillis }},
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
	if err := n.clients.RegisterMetrics(m); err != nil {
		return nil, err
	}
	err = m.RegisterLabelledGauge("crocusjunction.share.ratio", "What a team has used as a multiple of its weighted share, while teams compete for a full pool.", "team", func(observe func(string, float64)) {
		for _, share := range n.loop.Status().Counts.Shares {
			observe(share.Team, share.Ratio())
		}
	})
	if err != nil {
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
	if err != nil {
		return nil, err
	}
	refusedJobs, err := m.EventCounter("crocusjunction.admission.refusals", "Jobs refused because they could not be completed in time, by cause.", "cause")
	return &metrics{m, jobs, refused, refusedJobs}, err
}

// recordJob records the time that a job took to its first start or its end.
func (m *metrics) recordJob(j scheduler.JobMeasured) {
	m.jobs.Record(j.Elapsed, j.Queue, string(j.Milestone))
}

func (m *metrics) recordRefusal(r scheduler.RefusalCounted) { m.refusedStarts.Add(string(r.Reason)) }

// recordRequest records a finished request of a caller. Only not-run, unsettled,
// unavailable and over-capacity requests count as refusals.
func (m *metrics) recordRequest(kind string, a ingress.Answer, took time.Duration) {
	code := ""
	switch a.Code {
	case ingress.OverCapacity:
		m.refusedJobs.Add(string(a.Refusal.Cause))
		code = a.Code.String()
	case ingress.NotRun, ingress.Unsettled, ingress.Unavailable:
		code = a.Code.String()
	}
	m.RecordRequest(a.Team, kind+" "+a.Code.String(), code, took)
}

const metricsPath = "/metrics"

func (m *metrics) handler() http.Handler {
	serve := m.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, metricsPath) {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		serve.ServeHTTP(w, r)
	})
}
