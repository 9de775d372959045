package link

import "time"

// MaxIdle is how long a kept connection may be idle and still carry a request.
// Common HTTP servers close idle connections after 5 s or more. A request that
// is written while the close is on its way would have an unknown outcome.
const MaxIdle = 4 * time.Second

// Connection is the state of one connection to an endpoint.
type Connection struct {
	uses   int
	usedAt time.Time
	closed bool
}

// NewConnection returns the state of a connection opened at now.
func NewConnection(now time.Time) Connection { return Connection{usedAt: now} }

// Begin takes the connection for one attempt. It returns false when it must be
// closed instead.
func (c *Connection) Begin(now time.Time) bool {
	if c.closed || c.uses > 0 && now.Sub(c.usedAt) >= MaxIdle {
		c.closed = true
		return false
	}
	c.uses++
	return true
}

// Idle returns how long the connection has been idle.
func (c *Connection) Idle(now time.Time) time.Duration { return now.Sub(c.usedAt) }

// First reports whether the current attempt is the first on the connection.
func (c *Connection) First() bool { return c.uses == 1 }

// End records the end of the attempt and reports whether the connection may be
// kept. After a lost attempt it may not: a late answer would reach the next
// request, and a silent connection stays silent.
func (c *Connection) End(now time.Time, end AttemptEnd, endpointCloses bool) bool {
	c.usedAt = now
	if end == AttemptLost || end == AttemptUnsent || endpointCloses {
		c.closed = true
	}
	return !c.closed
}
