package clientserver

import (
	"github.com/crocusjunction/crocusjunction/internal/link/intake"
	"github.com/crocusjunction/crocusjunction/internal/telemetry"
)

// RegisterMetrics registers what the process has taken in of its clients, with its limits.
func (s *Clients) RegisterMetrics(m *telemetry.Metrics) error {
	capacity := s.options.Capacity
	for _, g := range []struct {
		name, unit, description string
		read                    func() int64
	}{
		{"crocusjunction.clients.connections", "", "Open connections of clients.", func() int64 { connections, _ := s.Used(); return int64(connections) }},
		{"crocusjunction.clients.connections_limit", "", "Limit of the callers' connections.", func() int64 { return int64(capacity.Connections[intake.Callers]) }},
		{"crocusjunction.clients.request_memory", "By", "Memory reserved for requests.", func() int64 { _, used := s.Used(); return used }},
		{"crocusjunction.clients.request_memory_limit", "By", "Limit of the memory of all requests.", func() int64 { return capacity.RequestBytes }},
	} {
		if err := m.RegisterGauge(g.name, g.unit, g.description, g.read); err != nil {
			return err
		}
	}
	return m.RegisterLabelledCounter("crocusjunction.clients.refused", "Requests and connections of clients that were refused, by reason.", "reason", s.EachRefusal)
}
