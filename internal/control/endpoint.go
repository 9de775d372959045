package control

import (
	"context"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
)

// Prober asks an endpoint for an answer on a new connection.
type Prober interface {
	// Probe reports whether the answer said that the endpoint leaves. An error
	// means that no answer arrived within machine.ProbeTimeout.
	Probe(ctx context.Context, address string) (leaving bool, err error)
}

// EndpointRunner performs the actions that concern endpoints and hands all
// others to the next runner.
type EndpointRunner struct {
	next   Runner
	prober Prober
}

// NewEndpointRunner returns a runner in front of next.
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
