package site

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// heartbeat is how often workers renew their entries.
const heartbeat = 300 * time.Millisecond

// Queue is a queue of the stand-in's configuration.
type Queue struct {
	Name, Host, Prefix, Service string
	Public                      bool
	Priority, Attempts          int
}

// Team is a team of the stand-in's configuration.
type Team struct {
	Name string
	Keys []string
	// CPU bounds what the team may have running, in thousandths of a core.
	CPU int64
}

// Options describe a site.
type Options struct {
	Queues []Queue
	Teams  []Team
	// Workers is the number of workers of each service.
	Workers map[string]int
	// SparePool is the service whose machines are switched off, empty for none.
	SparePool string
	Zones     []string
	CPU       int64
	MemoryMB  int64
	Work      Work
}

// Site is a running stand-in.
type Site struct {
	Store    *Store
	Machines *Machines

	options  Options
	ctx      context.Context
	mu       sync.Mutex
	runs     []RunRecord
	workers  map[string]*Worker
	address  map[string]string
	draining map[string]bool
	version  int64
	nextID   int
	servers  []*fasthttp.Server
	storeAt  string
	cloudAt  string
}

// Start runs a site on loopback until ctx ends.
func Start(ctx context.Context, o Options) (*Site, error) {
	s := &Site{
		Store: NewStore(), Machines: &Machines{}, options: o, ctx: ctx,
		workers: make(map[string]*Worker), address: make(map[string]string), draining: make(map[string]bool),
	}
	s.Machines.replace = s.replaceWorker
	var err error
	if s.storeAt, err = s.listen(s.Store.Serve); err != nil {
		return nil, err
	}
	if s.cloudAt, err = s.listen(s.Machines.Serve); err != nil {
		return nil, err
	}
	number := 0
	for _, service := range slices.Sorted(maps.Keys(o.Workers)) {
		for range o.Workers[service] {
			zone := o.Zones[number%len(o.Zones)]
			m := &machine{name: fmt.Sprintf("m-%d", number), pool: service, state: "up", zone: zone, rack: "r-" + zone, waves: make(map[int64]bool)}
			s.Machines.machines = append(s.Machines.machines, m)
			if err := s.addWorker(m); err != nil {
				return nil, err
			}
			number++
		}
	}
	s.Configure(o.Queues, o.Teams)
	go s.beat()
	go func() {
		<-ctx.Done()
		for _, server := range s.servers {
			_ = server.Shutdown()
		}
	}()
	return s, nil
}

func (s *Site) listen(handler fasthttp.RequestHandler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "stand-in")
	}
	server := &fasthttp.Server{Handler: handler, CloseOnShutdown: true, Logger: quiet{}}
	s.mu.Lock()
	s.servers = append(s.servers, server)
	s.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

type quiet struct{}

func (quiet) Printf(string, ...any) {}

// addWorker makes the next worker of a machine and lists it.
func (s *Site) addWorker(m *machine) error {
	s.mu.Lock()
	s.nextID++
	id := fmt.Sprintf("i-%d", s.nextID)
	s.mu.Unlock()
	w := NewWorker(id, m.pool, m.zone, m.rack, s.options.CPU, s.options.MemoryMB, s.options.Work, s.recordRun)
	w.Machine = m.name
	address, err := s.listen(w.Serve)
	if err != nil {
		return err
	}
	m.worker = w
	if m.pool == s.options.SparePool {
		return nil
	}
	s.mu.Lock()
	s.workers[id], s.address[id] = w, address
	s.mu.Unlock()
	s.list(id)
	return nil
}

func (s *Site) replaceWorker(m *machine) {
	s.Unlist(m.worker.ID)
	if err := s.addWorker(m); err != nil {
		panic("site: a worker cannot listen: " + err.Error())
	}
}

func (s *Site) recordRun(r RunRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, r)
}

// Runs returns all runs that have ended and those that are alive.
func (s *Site) Runs() []RunRecord {
	s.mu.Lock()
	runs := append([]RunRecord(nil), s.runs...)
	s.mu.Unlock()
	for _, w := range s.Workers() {
		runs = append(runs, w.Live()...)
	}
	return runs
}

// Workers returns the workers that are listed.
func (s *Site) Workers() []*Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*Worker, 0, len(s.workers))
	for _, w := range s.workers {
		list = append(list, w)
	}
	return list
}

// Unlist removes a worker from the store's list.
func (s *Site) Unlist(id string) {
	s.mu.Lock()
	delete(s.workers, id)
	s.mu.Unlock()
	s.Store.Delete("servers/" + id)
}

// Drain lists a worker as draining.
func (s *Site) Drain(id string) {
	s.mu.Lock()
	s.draining[id] = true
	s.mu.Unlock()
	s.list(id)
}

func (s *Site) list(id string) {
	s.mu.Lock()
	w, address, state := s.workers[id], s.address[id], "ready"
	if s.draining[id] {
		state = "draining"
	}
	s.mu.Unlock()
	if w != nil {
		s.Store.Put("servers/"+id, w.Entry(address, state))
	}
}

func (s *Site) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			for _, w := range s.Workers() {
				s.list(w.ID)
			}
		case <-s.ctx.Done():
			return
		}
	}
}

// Configure writes a new version of the configuration.
func (s *Site) Configure(queues []Queue, teams []Team) {
	s.mu.Lock()
	s.version += 3
	version := s.version
	s.mu.Unlock()
	routes, services, tenants := []map[string]any{}, []map[string]any{}, []map[string]any{}
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": q.Name, "host": q.Host, "prefix": q.Prefix, "kind": "non_idempotent", "timeout-ms": 3000,
			"target-duration-ms": 600, "priority": q.Priority, "service": q.Service, "attempts": max(1, q.Attempts), "stretch": 1.6, "public": q.Public,
		})
	}
	for name := range s.options.Workers {
		services = append(services, map[string]any{"name": name, "admission-check": true, "headroom": name == s.options.SparePool})
	}
	for _, t := range teams {
		tenants = append(tenants, map[string]any{
			"name": t.Name, "api-keys": t.Keys, "weight": 10, "cap": map[string]int64{"cpu": t.CPU},
		})
	}
	s.Store.Put("op/config", map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
}

// NodePorts is the number of free ports in a row that a node is given.
const NodePorts = 2

// Settings returns the settings file of a node. Front and ready are its
// addresses, firstPort the first of its NodePorts free ports.
func (s *Site) Settings(name, zone, front, ready string, firstPort int) []byte {
	zones := make(map[string]string)
	for _, z := range s.options.Zones {
		zones[z] = "region"
	}
	data, err := json.Marshal(map[string]any{
		"node-id": name, "ip": "127.0.0.1", "zone": zone, "zones": zones, "orders": "call",
		"listen-addrs": map[string]string{"front": front, "readiness": ready},
		"port-range":   []int{firstPort, firstPort + NodePorts - 1},
		"platform":     map[string]any{"address": s.storeAt, "form": "kv"},
		"cloud-api":    map[string]any{"address": s.cloudAt},
		"bounds":       map[string]any{"lease-ms": 300, "grace-s": 3},
	})
	if err != nil {
		panic("site: settings cannot be encoded: " + err.Error())
	}
	return data
}

// StoreAddress returns the store's "ip:port".
func (s *Site) StoreAddress() string { return s.storeAt }
