// Package standin implements small in-process stand-ins for the external
// systems, the platform and the endpoints, for tests and for the demo. Tests
// inject faults into them. It does not simulate a fleet.
package standin

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/crocusjunction/crocusjunction/internal/platform"
)

// StoreFaults are the faults that a test injects into the calls of a Store,
// except those about workers. The zero value injects none.
type StoreFaults struct {
	// Outage fails every call with platform.ErrUnavailable.
	Outage bool `json:"outage"`
	// DelayMS delays every call, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// LoseAnswers is how many of the next writes take effect but return
	// platform.ErrOutcomeUnknown.
	LoseAnswers int `json:"lose_answers"`
	// LoseWrites is how many of the next writes have no effect and return
	// platform.ErrOutcomeUnknown.
	LoseWrites int `json:"lose_writes"`
}

// Calls counts the calls that a Store received, including failed ones. Calls
// about workers are counted by WorkerCalls.
type Calls struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

type entry struct {
	value   []byte
	version platform.Version
	lease   platform.LeaseID
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// Store is an in-memory implementation of platform.Platform. It is safe for
// concurrent use.
type Store struct {
	mu        sync.Mutex
	clock     func() time.Time
	entries   map[string]entry
	leases    map[platform.LeaseID]lease
	version   platform.Version
	nextLease platform.LeaseID
	// changed is closed and replaced at each change, to wake the watches.
	changed   chan struct{}
	faults    StoreFaults
	calls     Calls
	instances platform.InstanceList
	*Workers
	machines machineSet
}

var _ platform.Platform = (*Store)(nil)

// NewStore returns an empty store. Leases, tasks and machine commands expire or
// complete by clock.
func NewStore(clock func() time.Time) *Store {
	return &Store{
		clock:   clock,
		entries: make(map[string]entry),
		leases:  make(map[platform.LeaseID]lease),
		changed: make(chan struct{}),
		Workers: NewWorkers(clock),
	}
}

// SetStoreFaults replaces the injected faults.
func (s *Store) SetStoreFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the number of calls received so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// SetInstances replaces the list of instances.
func (s *Store) SetInstances(list []platform.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances.Version++
	s.instances.Instances = list
	s.wakeWatches()
}

// UpdateInstance adds or replaces one instance of the list.
func (s *Store) UpdateInstance(i platform.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := []platform.Instance{i}
	for _, known := range s.instances.Instances {
		if known.ID != i.ID {
			next = append(next, known)
		}
	}
	s.instances = platform.InstanceList{Version: s.instances.Version + 1, Instances: next}
	s.wakeWatches()
}

// beginCall counts a call, applies the injected delay and outage, and expires
// leases. On success it returns with s.mu locked, which the caller unlocks.
func (s *Store) beginCall(ctx context.Context, count func(*Calls)) error {
	s.mu.Lock()
	count(&s.calls)
	faults := s.faults
	if faults.DelayMS > 0 {
		s.mu.Unlock()
		if err := sleep(ctx, time.Duration(faults.DelayMS)*time.Millisecond); err != nil {
			return platform.ErrOutcomeUnknown
		}
		s.mu.Lock()
	}
	if s.faults.Outage || ctx.Err() != nil {
		s.mu.Unlock()
		return platform.ErrUnavailable
	}
	s.expireLeases()
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func countRead(c *Calls)  { c.Reads++ }
func countWrite(c *Calls) { c.Writes++ }
func countWatch(c *Calls) { c.Watches++ }

// countNone is for the repeated polls of a watch that is already counted.
func countNone(*Calls) {}

// expireLeases ends the leases whose TTL has passed. The caller holds s.mu.
func (s *Store) expireLeases() {
	now := s.clock()
	for id, l := range s.leases {
		if !now.Before(l.expiresAt) {
			s.removeLease(id)
		}
	}
}

// removeLease removes a lease and deletes its keys. The caller holds s.mu.
func (s *Store) removeLease(id platform.LeaseID) {
	delete(s.leases, id)
	for key, e := range s.entries {
		if e.lease == id {
			delete(s.entries, key)
			s.version++
			s.wakeWatches()
		}
	}
}

// wakeWatches wakes all watches. The caller holds s.mu.
func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// finishWrite returns the result of a write that took effect:
// platform.ErrOutcomeUnknown while LoseAnswers is active. The caller holds s.mu.
func (s *Store) finishWrite() error {
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return platform.ErrOutcomeUnknown
	}
	return nil
}

// loseWrite reports whether LoseWrites discards the write, and counts it. The
// caller holds s.mu.
func (s *Store) loseWrite() bool {
	if s.faults.LoseWrites > 0 {
		s.faults.LoseWrites--
		return true
	}
	return false
}

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, key string) (platform.Record, error) {
	if err := s.beginCall(ctx, countRead); err != nil {
		return platform.Record{}, err
	}
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if !ok {
		return platform.Record{}, platform.ErrNotFound
	}
	return platform.Record{Key: key, Value: e.value, Version: e.version}, nil
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]platform.Record, error) {
	if err := s.beginCall(ctx, countRead); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	var list []platform.Record
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			list = append(list, platform.Record{Key: key, Value: e.value, Version: e.version})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list, nil
}

// Swap implements platform.Store.
func (s *Store) Swap(ctx context.Context, key string, expect platform.Version, value []byte, id platform.LeaseID) (platform.Version, error) {
	if err := s.beginCall(ctx, countWrite); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	if len(value) > platform.MaxValueSize {
		return 0, platform.ErrTooLarge
	}
	if s.loseWrite() {
		return 0, platform.ErrOutcomeUnknown
	}
	if s.entries[key].version != expect {
		return 0, platform.ErrConflict
	}
	if _, ok := s.leases[id]; id != 0 && !ok {
		return 0, platform.ErrLeaseLost
	}
	s.version++
	s.entries[key] = entry{value: append([]byte(nil), value...), version: s.version, lease: id}
	s.wakeWatches()
	return s.version, s.finishWrite()
}

// Delete implements platform.Store.
func (s *Store) Delete(ctx context.Context, key string, expect platform.Version) error {
	if err := s.beginCall(ctx, countWrite); err != nil {
		return err
	}
	defer s.mu.Unlock()
	if s.loseWrite() {
		return platform.ErrOutcomeUnknown
	}
	e, ok := s.entries[key]
	if !ok {
		return platform.ErrNotFound
	}
	if e.version != expect {
		return platform.ErrConflict
	}
	delete(s.entries, key)
	s.version++
	s.wakeWatches()
	return s.finishWrite()
}

// Watch implements platform.Store.
func (s *Store) Watch(ctx context.Context, key string, after platform.Version, wait time.Duration) (platform.Record, error) {
	var record platform.Record
	err := s.awaitChange(ctx, countWatch, wait, func() bool {
		e := s.entries[key]
		record = platform.Record{Key: key, Value: e.value, Version: e.version}
		return e.version != after
	})
	return record, err
}

// WatchInstances implements platform.Instances.
func (s *Store) WatchInstances(ctx context.Context, after uint64, wait time.Duration) (platform.InstanceList, error) {
	var list platform.InstanceList
	err := s.awaitChange(ctx, countWatch, wait, func() bool {
		list = s.instances
		return list.Version != after
	})
	return list, err
}

// awaitChange counts a call and then calls read with s.mu locked, again after
// each change, until read returns true or wait has passed.
func (s *Store) awaitChange(ctx context.Context, count func(*Calls), wait time.Duration, read func() bool) error {
	if err := s.beginCall(ctx, count); err != nil {
		return err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		done := read()
		changed, outage := s.changed, s.faults.Outage
		s.mu.Unlock()
		if outage {
			return platform.ErrUnavailable
		}
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return platform.ErrOutcomeUnknown
		}
		s.mu.Lock()
	}
}

// Grant implements platform.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	if err := s.beginCall(ctx, countWrite); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	s.nextLease++
	s.leases[s.nextLease] = lease{ttl: ttl, expiresAt: s.clock().Add(ttl)}
	return s.nextLease, s.finishWrite()
}

// KeepAlive implements platform.Store.
func (s *Store) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	if err := s.beginCall(ctx, countWrite); err != nil {
		return err
	}
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return platform.ErrLeaseLost
	}
	l.expiresAt = s.clock().Add(l.ttl)
	s.leases[id] = l
	return s.finishWrite()
}

// Revoke implements platform.Store.
func (s *Store) Revoke(ctx context.Context, id platform.LeaseID) error {
	if err := s.beginCall(ctx, countWrite); err != nil {
		return err
	}
	defer s.mu.Unlock()
	s.removeLease(id)
	return s.finishWrite()
}

// ExpireLeases ends every lease, as if no holder had renewed its lease in time.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.removeLease(id)
	}
}
