package control

import (
	"context"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
)

// Prober probes endpoints. Each probe uses a new connection.
type Prober interface {
	// Probe sends one probe and reports whether the endpoint answered that it is
	// shutting down. An error means that no answer arrived within
	// machine.ProbeTimeout.
	Probe(ctx context.Context, address string) (leaving bool, err error)
}

// EndpointRunner performs probes of endpoints and passes all other actions to
// the next runner.
type EndpointRunner struct {
	next   Runner
	prober Prober
}

// NewEndpointRunner returns a runner that probes with p and passes other
// actions to next.
func NewEndpointRunner(next Runner, p Prober) *EndpointRunner {
	return &EndpointRunner{next: next, prober: p}
}

// Run implements Runner.
func (r *EndpointRunner) Run(ctx context.Context, a fleet.Action) fleet.Event {
	probe, ok := a.(fleet.ProbeEndpoint)
	if !ok {
		return r.next.Run(ctx, a)
	}
	leaving, err := r.prober.Probe(ctx, probe.Address)
	result := fleet.EndpointProbed{
		DataCentre: probe.DataCentre, ID: probe.ID, Address: probe.Address,
		Answered: err == nil, Leaving: leaving, Reason: "probe answered",
	}
	if err != nil {
		result.Reason = err.Error()
	}
	return result
}
