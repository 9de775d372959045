package entry

import (
	"time"

	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/peer"
	"github.com/crocusjunction/crocusjunction/internal/telemetry"
)

// newMetrics returns the instruments of an entry instance with the gauges of
// its control thread.
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
			func() int64 { control, _ := loop.QueueLengths(); return int64(control) }},
		{"crocusjunction.traffic.queue", "{event}", "Events of requests that wait for the control thread.",
			func() int64 { _, traffic := loop.QueueLengths(); return int64(traffic) }},
		{"crocusjunction.config.age", "ms", "Time since the configuration was known to be the newest, -1 for never.",
			func() int64 { return configAge(loop.Snapshot()) }},
		{"crocusjunction.peer.sent", "By", "Bytes sent to other entry instances, without IP and UDP headers.",
			func() int64 { return int64(node.Counters().SentBytes) }},
		{"crocusjunction.peer.received", "By", "Bytes received from other entry instances, without IP and UDP headers.",
			func() int64 { return int64(node.Counters().ReceivedBytes) }},
	}
	for _, g := range gauges {
		if err := m.Gauge(g.name, g.unit, g.description, g.read); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func configAge(view *fleet.Snapshot) int64 {
	fresh := view.Freshness()
	if fresh.AsOf().IsZero() {
		return -1
	}
	return fresh.Age(time.Now()).Milliseconds()
}
