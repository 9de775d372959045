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

// entryRenewInterval is the interval at which workers renew their entries in
// the store.
const entryRenewInterval = 300 * time.Millisecond

// Queue is a queue in the configuration that Site.Configure writes.
type Queue struct {
	Name, Host, Prefix, Service string
	Public                      bool
	Priority, Attempts          int
	Advice                      Advice
}

// Team is a team in the configuration that Site.Configure writes.
type Team struct {
	Name string
	Keys []string
	// CPU limits the total demand of the team's running tasks, in thousandths of
	// a core.
	CPU int64
}

// Options describe a site.
type Options struct {
	Queues []Queue
	Teams  []Team
	// Workers is the number of machines of each service, with one worker each.
	// The machines' pool has the name of the service.
	Workers map[string]int
	// SparePool is the service, and so the pool, whose workers are not listed, as
	// if their machines were switched off; empty for none.
	SparePool string
	// Zones are the zones over which the machines are distributed in turn.
	Zones []string
	// CPU, in thousandths of a core, and MemoryMB are the capacity of a worker.
	CPU         int64
	MemoryMB    int64
	RunBehavior RunBehavior
}

// Site is a running stand-in for the users' platform: the store, the machines
// service and the workers.
// It is safe for concurrent use.
type Site struct {
	Store    *Store
	Machines *Machines

	options Options
	ctx     context.Context
	// mu guards the fields from runs to servers.
	mu sync.Mutex
	// runs holds the runs that have ended.
	runs []RunRecord
	// workers, addresses and draining are by worker id; workers holds only the
	// listed ones.
	workers       map[string]*Worker
	addresses     map[string]string
	draining      map[string]bool
	configVersion int64
	lastWorkerID  int
	servers       []*fasthttp.Server
	advice        adviceService
	// storeAddress, machinesAddress and adviceAddress are the "ip:port" of the servers.
	storeAddress    string
	machinesAddress string
	adviceAddress   string
}

// Start starts a site on loopback ports. It runs until ctx ends.
func Start(ctx context.Context, o Options) (*Site, error) {
	s := &Site{
		Store: NewStore(), Machines: &Machines{}, options: o, ctx: ctx,
		workers: make(map[string]*Worker), addresses: make(map[string]string), draining: make(map[string]bool),
	}
	s.Machines.startNextWorker = s.replaceWorker
	s.advice.validUntil = make(map[string]time.Time)
	var err error
	if s.storeAddress, err = s.startServer(s.Store.Serve); err != nil {
		return nil, err
	}
	if s.machinesAddress, err = s.startServer(s.Machines.Serve); err != nil {
		return nil, err
	}
	if s.adviceAddress, err = s.startServer(s.advice.Serve); err != nil {
		return nil, err
	}
	machineCount := 0
	for _, service := range slices.Sorted(maps.Keys(o.Workers)) {
		for range o.Workers[service] {
			zone := o.Zones[machineCount%len(o.Zones)]
			m := &machine{name: fmt.Sprintf("m-%d", machineCount), pool: service, state: "up", zone: zone, rack: "r-" + zone, upkeepWaves: make(map[int64]bool)}
			s.Machines.machines = append(s.Machines.machines, m)
			if err := s.addWorker(m); err != nil {
				return nil, err
			}
			machineCount++
		}
	}
	s.Configure(o.Queues, o.Teams)
	go s.renewEntries()
	go func() {
		<-ctx.Done()
		for _, server := range s.servers {
			_ = server.Shutdown()
		}
	}()
	return s, nil
}

// startServer serves handler on a free loopback port and returns its "ip:port".
func (s *Site) startServer(handler fasthttp.RequestHandler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "stand-in")
	}
	server := &fasthttp.Server{Handler: handler, CloseOnShutdown: true, Logger: discardLogger{}}
	s.mu.Lock()
	s.servers = append(s.servers, server)
	s.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// discardLogger discards the log of the HTTP servers.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// addWorker starts a new worker on a machine and lists it, unless the machine
// is in the spare pool.
func (s *Site) addWorker(m *machine) error {
	s.mu.Lock()
	s.lastWorkerID++
	id := fmt.Sprintf("i-%d", s.lastWorkerID)
	s.mu.Unlock()
	w := NewWorker(id, m.pool, m.zone, m.rack, s.options.CPU, s.options.MemoryMB, s.options.RunBehavior, s.recordRun)
	w.Machine = m.name
	w.admits = s.advice.admits
	address, err := s.startServer(w.Serve)
	if err != nil {
		return err
	}
	m.worker = w
	if m.pool == s.options.SparePool {
		return nil
	}
	s.mu.Lock()
	s.workers[id], s.addresses[id] = w, address
	s.mu.Unlock()
	s.listWorker(id)
	return nil
}

// replaceWorker unlists the worker of a machine and starts a new one on it.
func (s *Site) replaceWorker(m *machine) {
	s.Unlist(m.worker.ID)
	if err := s.addWorker(m); err != nil {
		panic("site: start worker: " + err.Error())
	}
}

func (s *Site) recordRun(r RunRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, r)
}

// Runs returns the runs that have ended and those that are running on listed
// workers.
func (s *Site) Runs() []RunRecord {
	s.mu.Lock()
	runs := append([]RunRecord(nil), s.runs...)
	s.mu.Unlock()
	for _, w := range s.Workers() {
		runs = append(runs, w.ActiveRuns()...)
	}
	return runs
}

// Workers returns the listed workers, in no particular order.
func (s *Site) Workers() []*Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*Worker, 0, len(s.workers))
	for _, w := range s.workers {
		list = append(list, w)
	}
	return list
}

// Unlist removes a worker's entry from the store. The worker keeps running.
func (s *Site) Unlist(id string) {
	s.mu.Lock()
	delete(s.workers, id)
	s.mu.Unlock()
	s.Store.Delete("servers/" + id)
}

// Drain sets the state in a worker's entry to draining.
func (s *Site) Drain(id string) {
	s.mu.Lock()
	s.draining[id] = true
	s.mu.Unlock()
	s.listWorker(id)
}

// listWorker writes a worker's entry into the store, unless the worker is not
// listed.
func (s *Site) listWorker(id string) {
	s.mu.Lock()
	w, address, state := s.workers[id], s.addresses[id], "ready"
	if s.draining[id] {
		state = "draining"
	}
	s.mu.Unlock()
	if w != nil {
		s.Store.Put("servers/"+id, w.Entry(address, state))
	}
}

// renewEntries periodically writes the entries of all listed workers, until the
// site ends.
func (s *Site) renewEntries() {
	ticker := time.NewTicker(entryRenewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			for _, w := range s.Workers() {
				s.listWorker(w.ID)
			}
		case <-s.ctx.Done():
			return
		}
	}
}

// Configure writes a new version of the configuration with the given queues and
// teams into the store.
func (s *Site) Configure(queues []Queue, teams []Team) {
	s.mu.Lock()
	s.configVersion += 3
	version := s.configVersion
	s.mu.Unlock()
	routes, services, tenants := []map[string]any{}, []map[string]any{}, []map[string]any{}
	s.advice.configure(queues)
	for _, q := range queues {
		route := map[string]any{
			"name": q.Name, "host": q.Host, "prefix": q.Prefix, "kind": "non_idempotent", "timeout-ms": 3000,
			"target-duration-ms": 600, "priority": q.Priority, "service": q.Service, "attempts": max(1, q.Attempts), "stretch": 1.6, "public": q.Public,
		}
		if a := q.Advice; a != (Advice{}) {
			route["advice"] = map[string]int64{"decision-ms": a.Decision.Milliseconds(), "per-item-ms": a.PerWorker.Milliseconds(), "validity-ms": a.Validity.Milliseconds()}
		}
		routes = append(routes, route)
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

// NodePorts is the number of consecutive free ports that a node needs besides
// its front and readiness addresses.
const NodePorts = 2

// NodeSettings returns the content of a node's settings file. The node listens for
// callers on frontAddress and for readiness checks on readyAddress; firstPort is
// the first of its NodePorts ports.
func (s *Site) NodeSettings(name, zone, frontAddress, readyAddress string, firstPort int) []byte {
	zones := make(map[string]string)
	for _, z := range s.options.Zones {
		zones[z] = "region"
	}
	data, err := json.Marshal(map[string]any{
		"node-id": name, "ip": "127.0.0.1", "zone": zone, "zones": zones, "orders": "call",
		"listen-addrs": map[string]string{"front": frontAddress, "readiness": readyAddress},
		"port-range":   []int{firstPort, firstPort + NodePorts - 1},
		"platform":     map[string]any{"address": s.storeAddress, "form": "kv"},
		"cloud-api":    map[string]any{"address": s.machinesAddress},
		"advice":       s.adviceAddress,
		"bounds":       map[string]any{"lease-ms": 300, "grace-s": 3},
	})
	if err != nil {
		panic("site: encode settings: " + err.Error())
	}
	return data
}

// StoreAddress returns the store's "ip:port".
func (s *Site) StoreAddress() string { return s.storeAddress }
