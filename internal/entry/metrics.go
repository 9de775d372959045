package entry

import (
	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/telemetry"
)

// newMetrics returns the instruments of an entry instance with the gauges of
// its control thread.
func newMetrics(loop *control.Loop) (*telemetry.Metrics, error) {
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
	}
	for _, g := range gauges {
		if err := m.Gauge(g.name, g.unit, g.description, g.read); err != nil {
			return nil, err
		}
	}
	return m, nil
}
