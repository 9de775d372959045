// Package zone holds the failure domains of the fleet: regions, data centres
// and racks, with the machines that stand in them. It imports no codec, no
// network package and no clock.
package zone

import (
	"sort"

	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// DataCentre is one data centre with its endpoints.
type DataCentre struct {
	Name   string
	Region string
	// Out is true while operators have taken the data centre out.
	Out       bool
	endpoints map[string]*machine.Endpoint
}

// NewDataCentre returns a data centre without machines.
func NewDataCentre(name, region string) *DataCentre {
	return &DataCentre{Name: name, Region: region, endpoints: make(map[string]*machine.Endpoint)}
}

// SetEndpoints replaces the endpoints by the listed ones. An endpoint that
// stays keeps the phase that was observed, unless the list says that it leaves.
func (d *DataCentre) SetEndpoints(listed []machine.Endpoint) {
	next := make(map[string]*machine.Endpoint, len(listed))
	for _, e := range listed {
		known, ok := d.endpoints[e.ID]
		if ok && known.Address == e.Address && e.Phase == machine.EndpointLive {
			e.Phase = known.Phase
		}
		next[e.ID] = &e
	}
	d.endpoints = next
}

// CandidatesByService returns the endpoints that may get new work for each
// service, ordered by id. A data centre that is out has none.
func (d *DataCentre) CandidatesByService() map[string][]machine.Endpoint {
	if d.Out {
		return nil
	}
	byService := make(map[string][]machine.Endpoint)
	for _, e := range d.Endpoints() {
		if e.Takes() {
			byService[e.Service] = append(byService[e.Service], e)
		}
	}
	return byService
}

// Endpoints returns all endpoints ordered by id.
func (d *DataCentre) Endpoints() []machine.Endpoint {
	list := make([]machine.Endpoint, 0, len(d.endpoints))
	for _, e := range d.endpoints {
		list = append(list, *e)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}
