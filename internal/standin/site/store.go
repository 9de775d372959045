// Package site implements a small stand-in for the users' platform: the store,
// the workers and the machines service. It serves their protocol over loopback,
// so that tests and the demo run the same client code as with the platform.
// Tests inject faults into it.
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

// StoreFault selects how a Store mishandles calls.
type StoreFault int

// Faults of a Store.
const (
	// StoreNoFault injects no fault.
	StoreNoFault StoreFault = iota
	// StoreUnavailable rejects every call with 503.
	StoreUnavailable
	// StoreTooManyRequests rejects every call with 429.
	StoreTooManyRequests
	// StoreSilent blocks every call until the fault changes, for maxSilence at
	// most, and then closes the connection without an answer.
	StoreSilent
	// StoreLosesAnswers executes every call and closes the connection without an
	// answer.
	StoreLosesAnswers
	// StoreLate closes the connection without an answer and executes the call
	// after lateDelay.
	StoreLate
)

// lateDelay is how long StoreLate and WorkerLate delay a call.
const lateDelay = 300 * time.Millisecond

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
	writes  int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: make(map[string]Item), leases: make(map[int64]*storeLease), revision: 1, changed: make(chan struct{})}
}

// SetFault replaces the injected fault. Every call is delayed by delay.
func (s *Store) SetFault(f StoreFault, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.delay = f, delay
	s.wakeWatches()
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
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, data, 0)
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

// Serve handles one HTTP call to the store, with the injected fault and delay.
func (s *Store) Serve(c *fasthttp.RequestCtx) {
	s.mu.Lock()
	fault, delay := s.fault, s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	switch fault {
	case StoreUnavailable:
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	case StoreTooManyRequests:
		c.SetStatusCode(fasthttp.StatusTooManyRequests)
		return
	case StoreSilent:
		s.awaitFaultChange(StoreSilent)
		abort(c)
		return
	case StoreLosesAnswers:
		s.dispatch(c)
		abort(c)
		return
	case StoreLate:
		late := &fasthttp.RequestCtx{}
		c.Request.CopyTo(&late.Request)
		time.AfterFunc(lateDelay, func() { s.dispatch(late) })
		abort(c)
		return
	}
	s.dispatch(c)
}

// abort closes the connection without an answer.
func abort(c *fasthttp.RequestCtx) {
	c.HijackSetNoResponse(true)
	c.Hijack(func(conn net.Conn) { _ = conn.Close() })
}

// maxSilence bounds how long StoreSilent blocks a call, so that tests end.
const maxSilence = 5 * time.Second

// awaitFaultChange blocks while f is the injected fault, for maxSilence at most.
func (s *Store) awaitFaultChange(f StoreFault) {
	deadline := time.After(maxSilence)
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
	case path == "/kv-txn":
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

// txn is the body of a transaction: its puts and deletes take effect only if
// each key in Conditions has the given revision, 0 for a missing key.
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

// maxTxnEntries is the maximum number of conditions, puts and deletes in a
// transaction.
const maxTxnEntries = 32

func (s *Store) serveTxn(c *fasthttp.RequestCtx) {
	var t txn
	if json.Unmarshal(c.PostBody(), &t) != nil || len(t.Conditions)+len(t.Puts)+len(t.Deletes) > maxTxnEntries {
		c.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if conflict := s.conflictItems(t); conflict != nil {
		c.SetStatusCode(fasthttp.StatusPreconditionFailed)
		replyJSON(c, struct {
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
	s.wakeWatches()
	replyJSON(c, struct {
		Revision int64 `json:"revision"`
	}{s.revision})
}

// conflictItems returns the current items of all conditions if one of them
// fails, and nil otherwise. The caller holds s.mu.
func (s *Store) conflictItems(t txn) []Item {
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
