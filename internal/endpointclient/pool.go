package endpointclient

import (
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/link"
)

var (
	errDial = errors.New("dial failed")
	// ErrConnections means that the bound of connections to the endpoint is
	// reached.
	ErrConnections = errors.New("no free connection")
)

// sweepPause is the time between two sweeps of idle connections, which also
// forget endpoints that are gone.
const sweepPause = 10 * time.Second

// pool keeps idle connections by address. It is safe for concurrent use.
type pool struct {
	mu      sync.Mutex
	clock   func() time.Time
	dropped *Dropped
	hosts   map[string]*host
	swept   time.Time
	closed  bool
}

// host holds the connections to one address. The most recently used one is
// last.
type host struct {
	idle []*conn
	open int
}

func newPool(clock func() time.Time, d *Dropped) *pool {
	return &pool{clock: clock, dropped: d, hosts: make(map[string]*host)}
}

// take returns an idle connection that is still open, or a new one. Bound is
// the number of connections that may be open to the address.
func (p *pool) take(address string, bound int, onlyNew bool, deadline time.Time) (*conn, error) {
	for !onlyNew {
		c := p.pop(address)
		if c == nil {
			break
		}
		if p.usable(c) {
			return c, nil
		}
		p.discard(c)
	}
	if !p.reserve(address, bound) {
		return nil, ErrConnections
	}
	return p.dial(address, deadline)
}

// usable reports whether an idle connection may carry a request. The check for
// a close by the endpoint happens last, right before the request is written.
func (p *pool) usable(c *conn) bool {
	if !c.state.Begin(p.clock()) {
		return false
	}
	switch c.idleState() {
	case peekData:
		_ = p.dropped.count(ErrLateAnswer)
		return false
	case peekClosed:
		return false
	}
	return true
}

func (p *pool) dial(address string, deadline time.Time) (*conn, error) {
	timeout := min(dialTimeout, deadline.Sub(p.clock()))
	raw, err := net.DialTimeout("tcp", address, max(timeout, time.Millisecond))
	if err != nil {
		p.forget(address)
		return nil, errors.Wrap(errDial, err.Error())
	}
	c := newConn(raw, address, link.NewConnection(p.clock()))
	c.state.Begin(p.clock())
	return c, nil
}

// put ends an attempt and keeps the connection when its state allows it.
func (p *pool) put(c *conn, end link.AttemptEnd, closing bool) {
	now := p.clock()
	if !c.state.End(now, end, closing) {
		p.discard(c)
		return
	}
	p.mu.Lock()
	keep := !p.closed
	if keep {
		h := p.host(c.address)
		h.idle = append(h.idle, c)
	}
	stale := p.sweep(now)
	p.mu.Unlock()
	if !keep {
		p.discard(c)
	}
	for _, s := range stale {
		_ = s.Close()
	}
}

// sweep removes connections that were idle for too long. The lock is held; the
// caller closes the result.
func (p *pool) sweep(now time.Time) []*conn {
	if now.Sub(p.swept) < sweepPause {
		return nil
	}
	p.swept = now
	var stale []*conn
	for address, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if c.state.Idle(now) < link.MaxIdle {
				kept = append(kept, c)
				continue
			}
			stale = append(stale, c)
			h.open--
		}
		clear(h.idle[len(kept):])
		h.idle = kept
		if h.open == 0 {
			delete(p.hosts, address)
		}
	}
	return stale
}

func (p *pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil || len(h.idle) == 0 {
		return nil
	}
	last := len(h.idle) - 1
	c := h.idle[last]
	h.idle[last] = nil
	h.idle = h.idle[:last]
	return c
}

func (p *pool) reserve(address string, bound int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(address)
	if h.open >= bound {
		return false
	}
	h.open++
	return true
}

func (p *pool) host(address string) *host {
	h := p.hosts[address]
	if h == nil {
		h = &host{}
		p.hosts[address] = h
	}
	return h
}

// forget gives back the place of a connection that is no longer open.
func (p *pool) forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[address]; h != nil {
		h.open--
		if h.open == 0 {
			delete(p.hosts, address)
		}
	}
}

func (p *pool) discard(c *conn) {
	_ = c.Close()
	p.forget(c.address)
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	var idle []*conn
	for _, h := range p.hosts {
		idle = append(idle, h.idle...)
		h.idle = nil
	}
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}
