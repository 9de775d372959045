package entry

import (
	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/endpointclient"
	"github.com/crocusjunction/crocusjunction/internal/telemetry"
	"github.com/crocusjunction/crocusjunction/internal/traffic"
)

// addRequestMetrics registers the counters of idempotency claims and of dropped
// answers.
func addRequestMetrics(m *telemetry.Metrics, endpoints *endpointclient.Client, claims *control.Claims) error {
	dropped := func(read func(traffic.DroppedCounts) int64) func() int64 {
		return func() int64 { return read(endpoints.Dropped.Counts()) }
	}
	counters := []struct {
		name, unit, description string
		read                    func() int64
	}{
		{"crocusjunction.claim.calls", "{call}", "Platform calls for caller-chosen idempotency keys.", claims.Calls},
		{"crocusjunction.answer.foreign", "{answer}", "Dropped answers that named another request.",
			dropped(func(c traffic.DroppedCounts) int64 { return c.Foreign })},
		{"crocusjunction.answer.late", "{answer}", "Dropped answers to an earlier attempt or on an idle connection.",
			dropped(func(c traffic.DroppedCounts) int64 { return c.Late })},
		{"crocusjunction.answer.short", "{answer}", "Dropped answers that ended before their declared length.",
			dropped(func(c traffic.DroppedCounts) int64 { return c.Short })},
		{"crocusjunction.answer.long", "{answer}", "Dropped answers above their declared length or the limit.",
			dropped(func(c traffic.DroppedCounts) int64 { return c.Long })},
	}
	for _, c := range counters {
		if err := m.RegisterCounter(c.name, c.unit, c.description, c.read); err != nil {
			return err
		}
	}
	return nil
}
