package entry

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/peer"
	"github.com/crocusjunction/crocusjunction/internal/telemetry"
)

// newMetrics returns the metrics of an entry instance and registers the gauges
// of its control thread and of its peer node.
func newMetrics(loop *control.Loop, node *peer.Node) (*telemetry.Metrics, error) {
	m, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	gauges := []struct {
		name, unit, description string
		read                    func() int64
	}{
		{"crocusjunction.config.revision", "", "Configuration revision in force at this process.",
			func() int64 { return int64(loop.Snapshot().Revision) }},
		{"crocusjunction.control.queue", "{event}", "Events of peers and operators that wait for the control thread.",
			func() int64 { controlEvents, _ := loop.QueueLengths(); return int64(controlEvents) }},
		{"crocusjunction.traffic.queue", "{event}", "Events of requests that wait for the control thread.",
			func() int64 { _, trafficEvents := loop.QueueLengths(); return int64(trafficEvents) }},
		{"crocusjunction.config.age", "ms", "Time since the configuration was known to be the newest, -1 for never.",
			func() int64 { return configAgeMS(loop.Snapshot()) }},
		{"crocusjunction.peer.sent", "By", "Bytes sent to other entry instances, without IP and UDP headers.",
			func() int64 { return int64(node.Counters().SentBytes) }},
		{"crocusjunction.peer.received", "By", "Bytes received from other entry instances, without IP and UDP headers.",
			func() int64 { return int64(node.Counters().ReceivedBytes) }},
	}
	if err := m.RegisterCounter("crocusjunction.peer.refused_handshakes", "", "Handshakes refused because too many were in progress.", node.RefusedHandshakes); err != nil {
		return nil, err
	}
	for _, g := range gauges {
		if err := m.RegisterGauge(g.name, g.unit, g.description, g.read); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// configAgeMS returns the time since the configuration was last confirmed to be
// the newest, in milliseconds, or -1 when it was never confirmed.
func configAgeMS(snapshot *fleet.Snapshot) int64 {
	freshness := snapshot.Freshness()
	if freshness.AsOf().IsZero() {
		return -1
	}
	return freshness.Age(time.Now()).Milliseconds()
}
