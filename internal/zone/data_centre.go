// Package zone models the failure domains of the fleet: regions, data centres
// and racks, with the machines in them. It imports no codec, no network package
// and no clock.
package zone

import (
	"sort"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/machine"
)

// DataCentre is one data centre with its workers and endpoints.
type DataCentre struct {
	Name   string
	Region string
	// Out is true while operators have taken the data centre out of service.
	Out bool
	// Workers holds the workers that run the tasks of the data centre.
	Workers   *WorkerSet
	endpoints map[string]*machine.Endpoint
}

// NewDataCentre returns a data centre without machines.
func NewDataCentre(name, region string) *DataCentre {
	return &DataCentre{Name: name, Region: region, Workers: NewWorkerSet(), endpoints: make(map[string]*machine.Endpoint)}
}

// SetEndpoints replaces the endpoints by the listed ones and reports whether
// anything changed. An endpoint whose address and service are unchanged keeps
// its observed state.
func (d *DataCentre) SetEndpoints(listed []machine.Endpoint, now time.Time) bool {
	changed := len(listed) != len(d.endpoints)
	next := make(map[string]*machine.Endpoint, len(listed))
	for _, e := range listed {
		known, ok := d.endpoints[e.ID]
		if !ok || known.Address != e.Address || known.Service != e.Service {
			known = &machine.Endpoint{
				ID: e.ID, Service: e.Service, DataCentre: e.DataCentre, Address: e.Address,
				Phase: machine.EndpointLive, Load: new(machine.Load),
			}
			changed = true
		}
		before := known.Phase
		known.MergeListed(e.Phase, now)
		changed = changed || known.Phase != before
		next[e.ID] = known
	}
	d.endpoints = next
	return changed
}

// Endpoint returns the endpoint with the given id, or nil if there is none.
func (d *DataCentre) Endpoint(id string) *machine.Endpoint { return d.endpoints[id] }

// DivideEndpointLimits sets the request and connection bounds of the entry
// instance with the given rank among count, and reports whether any bound
// changed.
func (d *DataCentre) DivideEndpointLimits(rank, count int) bool {
	changed := false
	for _, e := range d.endpoints {
		before := e.Requests
		e.SetShare(rank, count)
		changed = changed || e.Requests != before
	}
	return changed
}

// DueProbes returns the endpoints to probe at now, ordered by id. Endpoints of
// a data centre that is out are not probed.
func (d *DataCentre) DueProbes(now time.Time) []*machine.Endpoint {
	if d.Out {
		return nil
	}
	var list []*machine.Endpoint
	for _, e := range d.endpoints {
		if e.ProbeDue(now) {
			list = append(list, e)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// NextProbe returns when the next probe is due; the zero time means never.
func (d *DataCentre) NextProbe() time.Time {
	var next time.Time
	if d.Out {
		return next
	}
	for _, e := range d.endpoints {
		if at := e.NextProbe(); !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// CandidatesByService returns the endpoints that accept new requests, by
// service and ordered by id. A data centre that is out has none.
func (d *DataCentre) CandidatesByService() map[string][]machine.Endpoint {
	return d.endpointsByService((*machine.Endpoint).AcceptsRequests)
}

// LastResortsByService returns the suspect endpoints, by service and ordered by
// id. Each may get one request if no data centre has a candidate.
func (d *DataCentre) LastResortsByService() map[string][]machine.Endpoint {
	return d.endpointsByService((*machine.Endpoint).LastResort)
}

func (d *DataCentre) endpointsByService(accept func(*machine.Endpoint) bool) map[string][]machine.Endpoint {
	if d.Out {
		return nil
	}
	byService := make(map[string][]machine.Endpoint)
	for _, e := range d.Endpoints() {
		if accept(&e) {
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
