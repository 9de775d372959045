package front

import (
	"net/http"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/machine"
	"github.com/crocusjunction/crocusjunction/internal/traffic"
)

// EndpointInfo is one endpoint with its state at the answering entry instance.
type EndpointInfo struct {
	ID         string                `json:"id"`
	Service    string                `json:"service"`
	DataCentre string                `json:"datacentre"`
	Address    string                `json:"address"`
	Phase      machine.EndpointPhase `json:"phase"`
	// Trial is true while the endpoint gets one request at a time. It becomes live
	// only when it answers one.
	Trial bool `json:"trial"`
	// Running is the number of requests that this entry instance has at the
	// endpoint, Bound the largest number that it may have there.
	Running int `json:"running"`
	Bound   int `json:"bound"`
	// DataCentreOut is true while operators have the data centre out of service.
	DataCentreOut bool `json:"datacentre_out"`
}

// EndpointList is the JSON answer to GET /v1/endpoints.
type EndpointList struct {
	Endpoints []EndpointInfo `json:"endpoints"`
	// Dropped counts the endpoint answers that were discarded.
	Dropped traffic.DroppedCounts `json:"dropped_answers"`
	// Outcomes counts the outcomes of requests at this entry instance by team.
	Outcomes []traffic.TeamCounts `json:"outcomes"`
}

func (s *Server) endpointRoutes() []route {
	return []route{{method: http.MethodGet, prefix: "/v1/endpoints", handle: s.listEndpoints}}
}

// listEndpoints serves GET /v1/endpoints.
func (s *Server) listEndpoints(x *exchange, _ string) {
	endpoints, ok := queryControl(s, x, func(reply chan<- []fleet.EndpointView) fleet.Event { return fleet.EndpointQuery{Reply: reply} })
	if !ok {
		return
	}
	answer := EndpointList{Endpoints: []EndpointInfo{}, Dropped: s.deps.Dropped(), Outcomes: s.deps.Traffic.OutcomeCounts()}
	for _, e := range endpoints {
		answer.Endpoints = append(answer.Endpoints, EndpointInfo{
			ID: e.ID, Service: e.Service, DataCentre: e.DataCentre, Address: e.Address, Phase: e.Phase, Trial: e.NeedsTrial,
			Running: e.Running, Bound: e.Bound(), DataCentreOut: e.DataCentreOut,
		})
	}
	writeJSON(x, http.StatusOK, answer)
}
