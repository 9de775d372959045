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
	// ErrConnectionLimit means that the limit of open connections to the
	// endpoint is reached.
	ErrConnectionLimit = errors.New("connection limit of the endpoint reached")
)

// sweepInterval is the least time between two sweeps, which close connections
// that were idle for too long and remove addresses without connections.
const sweepInterval = 10 * time.Second

// pool keeps the idle connections and limits the open ones, by address. It is
// safe for concurrent use.
type pool struct {
	mu      sync.Mutex
	clock   func() time.Time
	dropped *DroppedAnswers
	hosts   map[string]*host
	sweptAt time.Time
	closed  bool
}

// host is the state of the connections to one address.
type host struct {
	// idle is ordered by last use. The most recently used connection is last.
	idle []*conn
	// open counts the idle connections, those in use and those being dialled.
	open int
}

func newPool(clock func() time.Time, d *DroppedAnswers) *pool {
	return &pool{clock: clock, dropped: d, hosts: make(map[string]*host)}
}

// acquire returns an idle connection that is still open, or dials a new one.
// With onlyNew, it always dials. It returns ErrConnectionLimit when limit
// connections are open to the address. The caller must call release after the
// attempt.
func (p *pool) acquire(address string, limit int, onlyNew bool, deadline time.Time) (*conn, error) {
	for !onlyNew {
		c := p.popIdle(address)
		if c == nil {
			break
		}
		if p.usable(c) {
			return c, nil
		}
		p.discard(c)
	}
	if !p.reserve(address, limit) {
		return nil, ErrConnectionLimit
	}
	return p.dial(address, deadline)
}

// usable reports whether an idle connection may carry a request. It checks last
// whether the endpoint has closed the connection, to keep the time between that
// check and the write of the request short.
func (p *pool) usable(c *conn) bool {
	if !c.state.Begin(p.clock()) {
		return false
	}
	switch c.checkIdle() {
	case idleUnexpectedData:
		_ = p.dropped.countError(ErrLateAnswer)
		return false
	case idleClosed:
		return false
	}
	return true
}

// dial opens a connection. The caller has reserved it; dial cancels the
// reservation when it fails.
func (p *pool) dial(address string, deadline time.Time) (*conn, error) {
	timeout := min(dialTimeout, deadline.Sub(p.clock()))
	netConn, err := net.DialTimeout("tcp", address, max(timeout, time.Millisecond))
	if err != nil {
		p.unreserve(address)
		return nil, errors.Wrap(errDial, err.Error())
	}
	c := newConn(netConn, address, link.NewConnection(p.clock()))
	c.state.Begin(p.clock())
	return c, nil
}

// release ends an attempt. It keeps the connection for reuse when its state
// allows that, and closes it otherwise.
func (p *pool) release(c *conn, end link.AttemptEnd, closing bool) {
	now := p.clock()
	if !c.state.EndAttempt(now, end, closing) {
		p.discard(c)
		return
	}
	p.mu.Lock()
	keep := !p.closed
	if keep {
		h := p.hostFor(c.address)
		h.idle = append(h.idle, c)
	}
	expired := p.sweep(now)
	p.mu.Unlock()
	if !keep {
		p.discard(c)
	}
	for _, expiredConn := range expired {
		_ = expiredConn.Close()
	}
}

// sweep removes the connections that have been idle for link.MaxIdle or longer.
// The caller holds the lock, and closes the returned connections after it has
// released the lock.
func (p *pool) sweep(now time.Time) []*conn {
	if now.Sub(p.sweptAt) < sweepInterval {
		return nil
	}
	p.sweptAt = now
	var expired []*conn
	for address, h := range p.hosts {
		remaining := h.idle[:0]
		for _, c := range h.idle {
			if c.state.Idle(now) < link.MaxIdle {
				remaining = append(remaining, c)
				continue
			}
			expired = append(expired, c)
			h.open--
		}
		clear(h.idle[len(remaining):])
		h.idle = remaining
		if h.open == 0 {
			delete(p.hosts, address)
		}
	}
	return expired
}

// popIdle removes and returns the most recently used idle connection, or nil.
func (p *pool) popIdle(address string) *conn {
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

// reserve counts a connection that is about to be dialled as open. It returns
// false when limit connections are open.
func (p *pool) reserve(address string, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hostFor(address)
	if h.open >= limit {
		return false
	}
	h.open++
	return true
}

// hostFor returns the state of an address and creates it when there is none. The
// caller holds the lock.
func (p *pool) hostFor(address string) *host {
	h := p.hosts[address]
	if h == nil {
		h = &host{}
		p.hosts[address] = h
	}
	return h
}

// unreserve removes a connection from the count of open ones, after it was
// closed or could not be dialled.
func (p *pool) unreserve(address string) {
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
	p.unreserve(c.address)
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
