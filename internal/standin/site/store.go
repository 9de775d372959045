// Package site implements a small stand-in for the users' platform: the store,
// the workers and the machines service. It serves their protocol over loopback,
// so that tests and the demo run the same client code as with the platform.
// Tests inject faults into it.
package site

import (
	"encoding/json"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Item is one key of the store with its value. In the answer to a watch it may
// instead be the removal of a key. Created is the revision that created the key.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

// storeLease is a lease to which keys of the store are bound.
type storeLease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// Store is an in-memory key-value store with revisions, leases and watches,
// which Serve exposes over HTTP. It is safe for concurrent use.
type Store struct {
	mu    sync.Mutex
	items map[string]Item
	// history holds the changes after compactedRevision, oldest first.
	history           []Item
	compactedRevision int64
	revision          int64
	leases            map[int64]*storeLease
	lastLeaseID       int64
	// changed is closed and replaced at each change, to wake the watches.
	changed chan struct{}
	fault   StoreFault
	delay   time.Duration
	// writeFault selects the fault of a transaction by its keys; it may be nil.
	writeFault func(keys []string) StoreFault
	// held are the calls that StoreHeld keeps.
	held   []*fasthttp.RequestCtx
	writes int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: make(map[string]Item), leases: make(map[int64]*storeLease), revision: 1, changed: make(chan struct{})}
}

// Compact discards the history, so that a watch of an earlier revision is
// answered 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.wakeWatches()
}

// Writes returns the number of transactions that were committed.
func (s *Store) Writes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// Put writes value as JSON to a key, as an operator or a worker does. It
// ignores the injected fault.
func (s *Store) Put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic("site: encode value: " + err.Error())
	}
	s.PutBytes(key, data)
}

// PutBytes is Put for a value that is already encoded, or is not JSON.
func (s *Store) PutBytes(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, value, 0)
	s.wakeWatches()
}

// Delete removes a key. It ignores the injected fault.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.wakeWatches()
}

// Get returns the item of a key. It ignores the injected fault.
func (s *Store) Get(key string) (Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	item, ok := s.items[key]
	return item, ok
}

// Keys returns the keys with a prefix, in lexical order.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys(prefix)
}

// keys is Keys without the lock. The caller holds s.mu.
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

// put writes an item in the current revision. The caller holds s.mu.
func (s *Store) put(key string, value []byte, lease int64) {
	item := Item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		item.Created = old.Created
	}
	s.items[key] = item
	s.history = append(s.history, item)
}

// remove removes an item and records the removal in the current revision. The
// caller holds s.mu.
func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, Item{Key: key, Revision: s.revision, Removed: true})
}

// wakeWatches wakes all watches. The caller holds s.mu.
func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases removes the expired leases and their keys. The caller holds s.mu.
func (s *Store) expireLeases() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expiresAt) {
			s.removeLease(id)
		}
	}
}

// removeLease removes a lease and its keys. The caller holds s.mu.
func (s *Store) removeLease(id int64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
	s.wakeWatches()
}

func (s *Store) dispatch(c *fasthttp.RequestCtx) {
	path := string(c.Path())
	keptID, isKeepAlive := strings.CutPrefix(path, "/kv-keep/")
	endedID, isEnd := strings.CutPrefix(path, "/kv-lease-end/")
	switch {
	case path == "/kv-key":
		s.serveKey(c)
	case path == "/kv-range":
		s.serveRange(c)
	case path == "/kv-watch":
		s.serveWatch(c)
	case path == txnPath:
		s.serveTxn(c)
	case path == "/kv-lease":
		s.serveLease(c)
	case isKeepAlive:
		s.serveKeepAlive(c, keptID)
	case isEnd:
		s.serveLeaseEnd(endedID)
	default:
		c.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Store) serveKey(c *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	item, ok := s.items[string(c.QueryArgs().Peek("key"))]
	if !ok {
		c.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	replyJSON(c, struct {
		Item
		Current int64 `json:"current-rev"`
	}{item, s.revision})
}

// pageItems is the maximum number of items in a page of a range. It is small,
// so that ranges in tests span several pages.
const pageItems = 50

func (s *Store) serveRange(c *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
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
	replyJSON(c, answer)
}

func (s *Store) serveWatch(c *fasthttp.RequestCtx) {
	prefix := string(c.QueryArgs().Peek("prefix"))
	after, _ := strconv.ParseInt(string(c.QueryArgs().Peek("after")), 10, 64)
	wait, _ := strconv.ParseInt(string(c.QueryArgs().Peek("wait-ms")), 10, 64)
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for timedOut := false; ; {
		s.mu.Lock()
		s.expireLeases()
		events, current, compacted, changed := s.eventsSince(prefix, after), s.revision, after < s.compactedRevision, s.changed
		s.mu.Unlock()
		if compacted {
			c.SetStatusCode(fasthttp.StatusGone)
			return
		}
		if len(events) > 0 || timedOut {
			replyJSON(c, struct {
				Events  []Item `json:"events"`
				Current int64  `json:"current-rev"`
			}{events, current})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			timedOut = true
		case <-time.After(50 * time.Millisecond):
			// A lease expires without closing s.changed, so the watch polls.
		}
	}
}

// eventsSince returns the changes of keys with a prefix after a revision. The
// caller holds s.mu.
func (s *Store) eventsSince(prefix string, after int64) []Item {
	events := []Item{}
	for _, item := range s.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events
}

func (s *Store) serveLease(c *fasthttp.RequestCtx) {
	var request struct {
		TTL int64 `json:"ttl-ms"`
	}
	if json.Unmarshal(c.PostBody(), &request) != nil {
		c.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLeaseID++
	ttl := time.Duration(request.TTL) * time.Millisecond
	s.leases[s.lastLeaseID] = &storeLease{ttl, time.Now().Add(ttl)}
	replyJSON(c, leaseReply{s.lastLeaseID, request.TTL})
}

type leaseReply struct {
	Lease int64 `json:"lease"`
	TTL   int64 `json:"ttl-ms"`
}

func (s *Store) serveKeepAlive(c *fasthttp.RequestCtx, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	l := s.leases[id]
	if l == nil {
		c.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	l.expiresAt = time.Now().Add(l.ttl)
	replyJSON(c, leaseReply{id, l.ttl.Milliseconds()})
}

func (s *Store) serveLeaseEnd(text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] != nil {
		s.removeLease(id)
	}
}

func replyJSON(c *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic("site: encode answer: " + err.Error())
	}
	c.SetContentType("application/json")
	c.SetBody(body)
}
