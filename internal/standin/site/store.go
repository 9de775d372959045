// Package site is a small stand-in for the users' platform: the store, workers,
// and the machines service. It speaks their protocol over loopback, so that
// tests and the soak run the same client without the platform. Tests switch
// faults on in it.
package site

import (
	"encoding/json"
	"net"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// StoreFault is how the store treats calls.
type StoreFault int

// Faults of the store.
const (
	StoreWell StoreFault = iota
	// StoreBusy refuses every call with 503.
	StoreBusy
	// StoreMany refuses every call with 429.
	StoreMany
	// StoreSilent never answers.
	StoreSilent
	// StoreLossy carries writes out and closes the connection without an answer.
	StoreLossy
	// StoreLate closes the connection at once and carries writes out later.
	StoreLate
)

// lateAfter is when StoreLate carries a write out.
const lateAfter = 300 * time.Millisecond

// Item is one key of the store.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

type storeLease struct {
	ttl   time.Duration
	until time.Time
}

// Store is an in-memory key-value store with revisions, leases and watches. It
// is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	items    map[string]Item
	history  []Item
	dropped  int64
	revision int64
	leases   map[int64]*storeLease
	nextID   int64
	changed  chan struct{}
	fault    StoreFault
	delay    time.Duration
	writes   int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: make(map[string]Item), leases: make(map[int64]*storeLease), revision: 1, changed: make(chan struct{})}
}

// Fault switches a fault on. Delay is added to each answer.
func (s *Store) Fault(f StoreFault, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.delay = f, delay
	s.wakeAll()
}

// Compact drops the history, as if every watch were too far behind.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.dropped = nil, s.revision
	s.wakeAll()
}

// Writes returns the number of writes that had an effect.
func (s *Store) Writes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// Put writes a key as the operator or a worker does.
func (s *Store) Put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic("site: a value cannot be encoded: " + err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, data, 0)
	s.wakeAll()
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.wakeAll()
}

// Get returns a key's item.
func (s *Store) Get(key string) (Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	item, ok := s.items[key]
	return item, ok
}

// Keys returns the keys of a prefix in order.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys(prefix)
}

func (s *Store) keys(prefix string) []string {
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

func (s *Store) put(key string, value []byte, lease int64) {
	item := Item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		item.Created = old.Created
	}
	s.items[key] = item
	s.history = append(s.history, item)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, Item{Key: key, Revision: s.revision, Removed: true})
}

func (s *Store) wakeAll() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the keys of leases that have ended.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.until) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
	s.wakeAll()
}

// Serve handles one call.
func (s *Store) Serve(c *fasthttp.RequestCtx) {
	s.mu.Lock()
	fault, delay := s.fault, s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	switch fault {
	case StoreBusy:
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	case StoreMany:
		c.SetStatusCode(fasthttp.StatusTooManyRequests)
		return
	case StoreSilent:
		s.awaitFault(StoreSilent)
		abort(c)
		return
	case StoreLossy:
		s.route(c)
		abort(c)
		return
	case StoreLate:
		late := &fasthttp.RequestCtx{}
		c.Request.CopyTo(&late.Request)
		time.AfterFunc(lateAfter, func() { s.route(late) })
		abort(c)
		return
	}
	s.route(c)
}

// abort closes the connection without an answer.
func abort(c *fasthttp.RequestCtx) {
	c.HijackSetNoResponse(true)
	c.Hijack(func(conn net.Conn) { _ = conn.Close() })
}

// silentLongest bounds how long a silent store holds a call, so that tests end.
const silentLongest = 5 * time.Second

func (s *Store) awaitFault(f StoreFault) {
	deadline := time.After(silentLongest)
	for {
		s.mu.Lock()
		same, changed := s.fault == f, s.changed
		s.mu.Unlock()
		if !same {
			return
		}
		select {
		case <-changed:
		case <-deadline:
			return
		}
	}
}

func (s *Store) route(c *fasthttp.RequestCtx) {
	path := string(c.Path())
	id, isKeep := strings.CutPrefix(path, "/kv-keep/")
	ended, isEnd := strings.CutPrefix(path, "/kv-lease-end/")
	switch {
	case path == "/kv-key":
		s.serveKey(c)
	case path == "/kv-range":
		s.serveRange(c)
	case path == "/kv-watch":
		s.serveWatch(c)
	case path == "/kv-txn":
		s.serveTxn(c)
	case path == "/kv-lease":
		s.serveLease(c)
	case isKeep:
		s.serveKeep(c, id)
	case isEnd:
		s.serveEnd(ended)
	default:
		c.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Store) serveKey(c *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	item, ok := s.items[string(c.QueryArgs().Peek("key"))]
	if !ok {
		c.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	reply(c, struct {
		Item
		Current int64 `json:"current-rev"`
	}{item, s.revision})
}

// pageItems is the number of items of a page, small so that tests see several.
const pageItems = 50

func (s *Store) serveRange(c *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	after := string(c.QueryArgs().Peek("after"))
	answer := struct {
		Items     []Item `json:"items"`
		Truncated bool   `json:"truncated"`
		Current   int64  `json:"current-rev"`
	}{Items: []Item{}, Current: s.revision}
	for _, key := range s.keys(string(c.QueryArgs().Peek("prefix"))) {
		if key <= after {
			continue
		}
		if len(answer.Items) == pageItems {
			answer.Truncated = true
			break
		}
		answer.Items = append(answer.Items, s.items[key])
	}
	reply(c, answer)
}

func (s *Store) serveWatch(c *fasthttp.RequestCtx) {
	prefix := string(c.QueryArgs().Peek("prefix"))
	after, _ := strconv.ParseInt(string(c.QueryArgs().Peek("after")), 10, 64)
	wait, _ := strconv.ParseInt(string(c.QueryArgs().Peek("wait-ms")), 10, 64)
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		s.expire()
		events, current, gone, changed := s.since(prefix, after), s.revision, after < s.dropped, s.changed
		s.mu.Unlock()
		if gone {
			c.SetStatusCode(fasthttp.StatusGone)
			return
		}
		if len(events) > 0 || over {
			reply(c, struct {
				Events  []Item `json:"events"`
				Current int64  `json:"current-rev"`
			}{events, current})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			over = true
		case <-time.After(50 * time.Millisecond):
			// Leases end without a change that wakes watches.
		}
	}
}

func (s *Store) since(prefix string, after int64) []Item {
	events := []Item{}
	for _, item := range s.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events
}

type txn struct {
	Conditions []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expected-rev"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Deletes []string `json:"deletes"`
}

// maxEntries is the number of entries of a write.
const maxEntries = 32

func (s *Store) serveTxn(c *fasthttp.RequestCtx) {
	var t txn
	if json.Unmarshal(c.PostBody(), &t) != nil || len(t.Conditions)+len(t.Puts)+len(t.Deletes) > maxEntries {
		c.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if conflict := s.conflicts(t); conflict != nil {
		c.SetStatusCode(fasthttp.StatusPreconditionFailed)
		reply(c, struct {
			Items []Item `json:"items"`
		}{conflict})
		return
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			c.SetStatusCode(fasthttp.StatusForbidden)
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			c.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
	}
	s.revision++
	s.writes++
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Deletes {
		s.remove(key)
	}
	s.wakeAll()
	reply(c, struct {
		Revision int64 `json:"revision"`
	}{s.revision})
}

// conflicts returns the present items of all conditions when one fails.
func (s *Store) conflicts(t txn) []Item {
	var items []Item
	failed := false
	for _, condition := range t.Conditions {
		item, ok := s.items[condition.Key]
		if !ok {
			item = Item{Key: condition.Key}
		}
		failed = failed || item.Revision != condition.Revision
		items = append(items, item)
	}
	if !failed {
		return nil
	}
	return items
}

func (s *Store) serveLease(c *fasthttp.RequestCtx) {
	var ask struct {
		TTL int64 `json:"ttl-ms"`
	}
	if json.Unmarshal(c.PostBody(), &ask) != nil {
		c.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	ttl := time.Duration(ask.TTL) * time.Millisecond
	s.leases[s.nextID] = &storeLease{ttl, time.Now().Add(ttl)}
	reply(c, leaseReply{s.nextID, ask.TTL})
}

type leaseReply struct {
	Lease int64 `json:"lease"`
	TTL   int64 `json:"ttl-ms"`
}

func (s *Store) serveKeep(c *fasthttp.RequestCtx, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		c.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	l.until = time.Now().Add(l.ttl)
	reply(c, leaseReply{id, l.ttl.Milliseconds()})
}

func (s *Store) serveEnd(text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] != nil {
		s.endLease(id)
	}
}

func reply(c *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic("site: an answer cannot be encoded: " + err.Error())
	}
	c.SetContentType("application/json")
	c.SetBody(body)
}
