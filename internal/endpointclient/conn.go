package endpointclient

import (
	"bufio"
	"net"
	"syscall"

	"github.com/crocusjunction/crocusjunction/internal/link"
)

const bufferSize = 4096

// conn is one connection to an endpoint. It is used by one attempt at a time.
type conn struct {
	net.Conn
	address string
	state   link.Connection
	reader  *bufio.Reader
	writer  *bufio.Writer
	// written is the number of bytes of the current attempt that the kernel has
	// accepted. While it is 0, nothing of the request can have left.
	written int
	raw     syscall.RawConn
	peek    func(fd uintptr)
	peeked  peekResult
}

type peekResult int

const (
	peekQuiet peekResult = iota
	peekClosed
	peekData
)

func newConn(c net.Conn, address string, state link.Connection) *conn {
	wrapped := &conn{Conn: c, address: address, state: state}
	wrapped.reader = bufio.NewReaderSize(c, bufferSize)
	wrapped.writer = bufio.NewWriterSize(wrapped, bufferSize)
	if s, ok := c.(syscall.Conn); ok {
		wrapped.raw, _ = s.SyscallConn()
	}
	wrapped.peek = wrapped.peekSocket
	return wrapped
}

// Write implements io.Writer and counts what was accepted.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += n
	return n, err
}

// idleState reports, without waiting, whether an idle connection was closed by
// the endpoint or holds data that nobody asked for.
func (c *conn) idleState() peekResult {
	if c.raw == nil {
		return peekQuiet
	}
	c.peeked = peekClosed
	_ = c.raw.Control(c.peek)
	return c.peeked
}

func (c *conn) peekSocket(fd uintptr) {
	var one [1]byte
	n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		c.peeked = peekQuiet
	case err == nil && n > 0:
		c.peeked = peekData
	}
}
