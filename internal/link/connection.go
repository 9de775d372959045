package link

import "time"

// MaxIdle is how long a connection may be idle and still be reused. Common HTTP
// servers close idle connections after 5 s or more, and a request that is sent
// while the server closes the connection has an unknown outcome.
const MaxIdle = 4 * time.Second

// Connection is the state of one connection to an endpoint. It is not safe for
// concurrent use.
type Connection struct {
	// uses is the number of attempts that the connection has carried.
	uses int
	// lastUsedAt is when the last attempt ended, or when the connection was opened
	// if there was no attempt yet.
	lastUsedAt time.Time
	closed     bool
}

// NewConnection returns the state of a connection opened at now.
func NewConnection(now time.Time) Connection { return Connection{lastUsedAt: now} }

// Begin reserves the connection for one attempt. It returns false when the
// caller must close the connection instead.
func (c *Connection) Begin(now time.Time) bool {
	if c.closed || c.uses > 0 && now.Sub(c.lastUsedAt) >= MaxIdle {
		c.closed = true
		return false
	}
	c.uses++
	return true
}

// Idle returns the time since the last attempt on the connection ended.
func (c *Connection) Idle(now time.Time) time.Duration { return now.Sub(c.lastUsedAt) }

// First reports whether the current attempt is the first on the connection.
func (c *Connection) First() bool { return c.uses == 1 }

// EndAttempt records the outcome of the attempt and reports whether the
// connection may be reused. EndpointCloses is true when the endpoint announced
// that it closes the connection. After a lost attempt the connection must not
// be reused: a late answer could be mistaken for the answer to the next
// request, and an endpoint that did not answer may not answer the next request
// either.
func (c *Connection) EndAttempt(now time.Time, end AttemptEnd, endpointCloses bool) bool {
	c.lastUsedAt = now
	if end == AttemptLost || end == AttemptUnsent || endpointCloses {
		c.closed = true
	}
	return !c.closed
}
