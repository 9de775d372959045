package endpointclient

import (
	"bufio"
	"net"
	"syscall"

	"github.com/crocusjunction/crocusjunction/internal/link"
)

// bufferSize is the size of a connection's read and write buffers, in bytes each.
const bufferSize = 4096

// conn is one connection to an endpoint. Only one attempt uses it at a time.
type conn struct {
	net.Conn
	address string
	state   link.Connection
	reader  *bufio.Reader
	writer  *bufio.Writer
	// written is the number of bytes of the current attempt that the kernel has
	// accepted. While it is 0, the endpoint cannot have received any byte of the
	// request.
	written int
	// rawConn is nil when the connection has no file descriptor.
	rawConn syscall.RawConn
	// peekFunc is the method value of peekSocket, created once per connection.
	peekFunc    func(fd uintptr)
	socketState idleState
}

// idleState is the state of an idle connection.
type idleState int

const (
	idleOpen idleState = iota
	idleClosed
	idleUnexpectedData
)

func newConn(c net.Conn, address string, state link.Connection) *conn {
	wrapped := &conn{Conn: c, address: address, state: state}
	wrapped.reader = bufio.NewReaderSize(c, bufferSize)
	wrapped.writer = bufio.NewWriterSize(wrapped, bufferSize)
	if s, ok := c.(syscall.Conn); ok {
		wrapped.rawConn, _ = s.SyscallConn()
	}
	wrapped.peekFunc = wrapped.peekSocket
	return wrapped
}

// Write implements io.Writer and adds the accepted bytes to written.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += n
	return n, err
}

// checkIdle reports, without blocking, whether the endpoint has closed an idle
// connection or has sent data that belongs to no request.
func (c *conn) checkIdle() idleState {
	if c.rawConn == nil {
		return idleOpen
	}
	c.socketState = idleClosed
	_ = c.rawConn.Control(c.peekFunc)
	return c.socketState
}

// peekSocket sets socketState without consuming data from the socket. When the
// connection is closed or fails, it leaves the value idleClosed that checkIdle
// has set.
func (c *conn) peekSocket(fd uintptr) {
	var one [1]byte
	n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		c.socketState = idleOpen
	case err == nil && n > 0:
		c.socketState = idleUnexpectedData
	}
}
