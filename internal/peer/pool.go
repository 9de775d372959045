package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
)

// route identifies a pooled connection.
type route struct {
	address string
	// long is true for connections of long exchanges.
	long bool
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, to route) (*quic.Conn, error)

// pool keeps at most one connection in use for each route.
type pool struct {
	dial   dialFunc
	mu     sync.Mutex
	known  map[route]*pooled
	closed bool
}

// pooled is one outgoing connection, or the attempt to open it.
type pooled struct {
	// ready is closed when connection and err are set.
	ready      chan struct{}
	connection *quic.Conn
	err        error
	// exchanges and retired are guarded by the pool's lock. A retired
	// connection takes no new exchange and is closed after its last one.
	exchanges int
	retired   bool
	idle      *time.Timer
}

func newPool(dial dialFunc) *pool { return &pool{dial: dial, known: make(map[route]*pooled)} }

// acquire returns the connection of a route and opens it when there is none.
// The caller must release it.
func (p *pool) acquire(ctx context.Context, to route) (*pooled, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	c, ok := p.known[to]
	if ok && c.ended() {
		p.retire(to, c)
		ok = false
	}
	if !ok {
		c = &pooled{ready: make(chan struct{})}
		p.known[to] = c
		go p.open(to, c)
	}
	c.exchanges++
	if c.idle != nil {
		c.idle.Stop()
		c.idle = nil
	}
	p.mu.Unlock()
	select {
	case <-c.ready:
	case <-ctx.Done():
		p.release(to, c, false)
		return nil, ctx.Err()
	}
	if c.err != nil {
		p.release(to, c, true)
		return nil, c.err
	}
	return c, nil
}

// ended reports whether the connection was opened and has ended since.
func (c *pooled) ended() bool {
	select {
	case <-c.ready:
		return c.err != nil || c.connection.Context().Err() != nil
	default:
		return false
	}
}

// open dials on a context of its own, since several exchanges may wait for the
// result.
func (p *pool) open(to route, c *pooled) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	c.connection, c.err = p.dial(ctx, to)
	close(c.ready)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || c.retired && c.exchanges == 0 {
		c.shut()
	}
}

// release ends the use of a connection. A connection that failed takes no new
// exchange: the next one opens a new connection.
func (p *pool) release(to route, c *pooled, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.exchanges--
	if failed {
		p.retire(to, c)
	}
	if c.exchanges > 0 {
		return
	}
	if c.retired {
		c.shut()
		return
	}
	c.idle = time.AfterFunc(idleTimeout, func() { p.expire(to, c) })
}

// expire closes a connection that stayed idle.
func (p *pool) expire(to route, c *pooled) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.exchanges == 0 {
		p.retire(to, c)
		c.shut()
	}
}

// retire takes the connection out of use. The lock is held.
func (p *pool) retire(to route, c *pooled) {
	c.retired = true
	if p.known[to] == c {
		delete(p.known, to)
	}
}

// shut closes the connection when it is open.
func (c *pooled) shut() {
	select {
	case <-c.ready:
		if c.connection != nil {
			_ = c.connection.CloseWithError(0, "")
		}
	default:
	}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for to, c := range p.known {
		if c.idle != nil {
			c.idle.Stop()
		}
		p.retire(to, c)
		c.shut()
	}
}

// dial opens a connection with the keys that are on disk now.
func (n *Node) dial(ctx context.Context, to route) (*quic.Conn, error) {
	target, err := net.ResolveUDPAddr("udp", to.address)
	if err != nil {
		return nil, errors.Wrap(err, "peer address")
	}
	settings, err := n.keys.clientTLS()
	if err != nil {
		return nil, err
	}
	return n.transport.Dial(ctx, target, settings, dialConfig(to.long))
}
