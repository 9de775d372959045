// Package machine holds the machines of the fleet: endpoints, instances, pools
// and workers, with the decisions that belong to each. It imports no codec, no
// network package and no clock.
package machine

// EndpointPhase is the state of an endpoint as one entry instance sees it.
type EndpointPhase string

// Phases of an endpoint.
const (
	EndpointLive EndpointPhase = "live"
	// EndpointSuspect means that a connection failed and no new one succeeded
	// since.
	EndpointSuspect EndpointPhase = "suspect"
	// EndpointLeaving means that the endpoint announced its departure. It gets
	// no new work.
	EndpointLeaving EndpointPhase = "leaving"
	EndpointOut     EndpointPhase = "out"
)

// Endpoint is a back end that answers requests for one service.
type Endpoint struct {
	ID         string
	Service    string
	DataCentre string
	// Address is "ip:port".
	Address string
	Phase   EndpointPhase
}

// Takes reports whether the endpoint may get new work.
func (e *Endpoint) Takes() bool { return e.Phase == EndpointLive }
