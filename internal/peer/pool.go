package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
)

// connKey identifies a pooled connection.
type connKey struct {
	address string
	// keepAlive is true for connections that carry long exchanges and send
	// keep-alive packets.
	keepAlive bool
}

type dialFunc func(ctx context.Context, key connKey) (*quic.Conn, error)

// pool shares outgoing connections between exchanges. For each key, at most one
// connection accepts new exchanges. It is safe for concurrent use.
type pool struct {
	dial   dialFunc
	mu     sync.Mutex
	conns  map[connKey]*pooledConn
	closed bool
}

// pooledConn is one outgoing connection, or the pending attempt to open it.
type pooledConn struct {
	// ready is closed after connection and err are set.
	ready      chan struct{}
	connection *quic.Conn
	err        error
	// The pool's lock guards the fields below.

	// exchanges is the number of exchanges that use the connection.
	exchanges int
	// retired is true when the connection accepts no new exchange. It is closed
	// after its last one.
	retired bool
	// idleTimer closes the connection after idleTimeout. It is nil while an
	// exchange uses the connection.
	idleTimer *time.Timer
}

func newPool(dial dialFunc) *pool { return &pool{dial: dial, conns: make(map[connKey]*pooledConn)} }

// acquire returns the open connection for a key and dials one when there is
// none. The caller must call release after the exchange.
func (p *pool) acquire(ctx context.Context, key connKey) (*pooledConn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	c, ok := p.conns[key]
	if ok && c.isClosed() {
		p.retire(key, c)
		ok = false
	}
	if !ok {
		c = &pooledConn{ready: make(chan struct{})}
		p.conns[key] = c
		go p.open(key, c)
	}
	c.exchanges++
	if c.idleTimer != nil {
		c.idleTimer.Stop()
		c.idleTimer = nil
	}
	p.mu.Unlock()
	select {
	case <-c.ready:
	case <-ctx.Done():
		p.release(key, c, false)
		return nil, ctx.Err()
	}
	if c.err != nil {
		p.release(key, c, true)
		return nil, c.err
	}
	return c, nil
}

// isClosed reports whether the connection could not be opened or has closed
// since.
func (c *pooledConn) isClosed() bool {
	select {
	case <-c.ready:
		return c.err != nil || c.connection.Context().Err() != nil
	default:
		return false
	}
}

// open dials the connection. It does not use the context of the exchange that
// needs it first, because other exchanges may wait for the same connection.
func (p *pool) open(key connKey, c *pooledConn) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	c.connection, c.err = p.dial(ctx, key)
	close(c.ready)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || c.retired && c.exchanges == 0 {
		c.closeIfDialled()
	}
}

// release ends an exchange's use of a connection. When the exchange failed, it
// retires the connection, so that the next exchange opens a new one.
func (p *pool) release(key connKey, c *pooledConn, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.exchanges--
	if failed {
		p.retire(key, c)
	}
	if c.exchanges > 0 {
		return
	}
	if c.retired {
		c.closeIfDialled()
		return
	}
	c.idleTimer = time.AfterFunc(idleTimeout, func() { p.closeIdle(key, c) })
}

// closeIdle closes a connection that no exchange uses.
func (p *pool) closeIdle(key connKey, c *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.exchanges == 0 {
		p.retire(key, c)
		c.closeIfDialled()
	}
}

// retire removes the connection from the pool, so that no new exchange uses it.
// The caller holds the lock.
func (p *pool) retire(key connKey, c *pooledConn) {
	c.retired = true
	if p.conns[key] == c {
		delete(p.conns, key)
	}
}

// closeIfDialled closes the connection unless it is still being dialled.
func (c *pooledConn) closeIfDialled() {
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
	for key, c := range p.conns {
		if c.idleTimer != nil {
			c.idleTimer.Stop()
		}
		p.retire(key, c)
		c.closeIfDialled()
	}
}

// dial opens a connection with the current keys on disk.
func (n *Node) dial(ctx context.Context, key connKey) (*quic.Conn, error) {
	udpAddr, err := net.ResolveUDPAddr("udp", key.address)
	if err != nil {
		return nil, errors.Wrap(err, "peer address")
	}
	tlsConfig, err := n.keys.clientTLS()
	if err != nil {
		return nil, err
	}
	return n.transport.Dial(ctx, udpAddr, tlsConfig, dialConfig(key.keepAlive))
}
