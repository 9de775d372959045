package clientserver

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"github.com/crocusjunction/crocusjunction/internal/link/intake"
)

const (
	// receiveBuffer is the size of the kernel's buffer for a connection. The kernel
	// doubles it; it bounds what clients send while their connection is not read. At a
	// round-trip time of 50 ms it allows 320 KB a second.
	receiveBuffer = 16 << 10
	// acceptBacklog is the number of connections that wait in the kernel to be accepted.
	// With the system's default of 4,096, they held 51 MB of unread bytes under attack.
	// An accept takes microseconds; callers beyond the backlog connect again after 1 s.
	acceptBacklog = 256
	// refusalWriteTimeout bounds the writing of a refusal outside of a request. It fits
	// into the empty buffer of the connection.
	refusalWriteTimeout = time.Millisecond
	// maxLingering, lingeringPercent of the callers' connections, and lingerTime bound the
	// refused connections that stay open until their client has read the refusal: closing
	// a connection with unread data resets it, which can remove the refusal from the
	// client's buffer.
	maxLingering     = 32
	lingeringPercent = 8
	lingerTime       = 300 * time.Millisecond
	// acceptPause is the pause after a connection could not be accepted for lack of
	// descriptors or memory.
	acceptPause = 50 * time.Millisecond
)

// clientListener accepts the connections that the gate takes in.
type clientListener struct {
	net.Listener
	clients *Clients
	server  intake.Server
	close   func() error
}

// Close implements net.Listener. Drain closes the listener before its server does, which
// is no error.
func (l *clientListener) Close() error { return l.close() }

// Listen listens on a TCP address for clients of the server.
func (s *Clients) Listen(ctx context.Context, server intake.Server, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return control(raw, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer) })
	}}
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err == nil {
		// Listening again on a socket changes its backlog.
		err = control(raw, func(fd int) error { return unix.Listen(fd, acceptBacklog) })
	}
	if err != nil {
		_ = l.Close()
		return nil, errors.Wrapf(err, "limit the backlog on %s", address)
	}
	return s.Accepting(server, l), nil
}

// Accepting returns a listener that accepts those connections of l that the gate takes in.
func (s *Clients) Accepting(server intake.Server, l net.Listener) net.Listener {
	return &clientListener{l, s, server, sync.OnceValue(l.Close)}
}

// control calls f with the descriptor of a socket.
func control(raw syscall.RawConn, f func(fd int) error) error {
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = f(int(fd)) }); err != nil {
		return err
	}
	return failed
}

// Accept implements net.Listener. It refuses connections beyond the limits, and goes on
// after a failure for lack of descriptors, which would otherwise end the server.
func (l *clientListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		switch {
		case err == nil:
			if admitted := l.clients.open(l.server, c); admitted != nil {
				return admitted, nil
			}
		case errors.Is(err, unix.EMFILE), errors.Is(err, unix.ENFILE), errors.Is(err, unix.ENOBUFS), errors.Is(err, unix.ENOMEM):
			l.clients.count(intake.NoDescriptors)
			time.Sleep(acceptPause)
		default:
			return nil, err
		}
	}
}

// open returns the connection if the gate takes it in, else it refuses it and returns nil.
func (s *Clients) open(server intake.Server, raw net.Conn) net.Conn {
	host, _, _ := net.SplitHostPort(raw.RemoteAddr().String())
	s.mu.Lock()
	state, evicted, refused := s.gate.Open(server, host, s.options.Now())
	var victim *clientConn
	if evicted != nil {
		victim = s.connections[evicted]
		delete(s.connections, evicted)
	}
	var c *clientConn
	if state != nil {
		c = &clientConn{Conn: raw, clients: s, state: state}
		s.connections[state] = c
	}
	s.mu.Unlock()
	if victim != nil {
		victim.refuse(intake.Evicted)
	}
	if c == nil {
		s.refuseNew(raw, refused)
		return nil
	}
	return c
}

// refuseNew refuses a connection that was not taken in.
func (s *Clients) refuseNew(raw net.Conn, reason intake.Reason) {
	s.writeRefusal(raw, reason)
	tcp, isTCP := raw.(*net.TCPConn)
	select {
	case s.lingering <- struct{}{}:
	default:
		discardUnread(raw)
		_ = raw.Close()
		return
	}
	go func() {
		if isTCP {
			_ = tcp.CloseWrite()
		}
		_ = raw.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, raw)
		_ = raw.Close()
		<-s.lingering
	}()
}

func (s *Clients) writeRefusal(c net.Conn, reason intake.Reason) {
	_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	_, _ = c.Write(s.options.EncodeRefusal(Refusal{reason, refusalRetryAfter}))
}

// clientConn is a connection of a client. It reports what it receives to the gate, and
// closes when the client does not read.
type clientConn struct {
	net.Conn
	clients *Clients
	state   *intake.Connection
	// writing is held while something is written, so that a refusal is not written into
	// an answer.
	writing sync.Mutex
	closed  atomic.Bool
}

// Read implements net.Conn.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	s := c.clients
	s.mu.Lock()
	refused := s.gate.Received(c.state, n, bytes.Count(p[:n], []byte{'\n'}), s.options.Now())
	s.mu.Unlock()
	if refused != "" {
		c.refuse(refused)
		return 0, io.EOF
	}
	return n, err
}

// Write implements net.Conn.
func (c *clientConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	// AnswerTimeout depends on the capacity only, which does not change.
	_ = c.Conn.SetWriteDeadline(time.Now().Add(c.clients.gate.AnswerTimeout(len(p))))
	n, err := c.Conn.Write(p)
	var failure net.Error
	if errors.As(err, &failure) && failure.Timeout() {
		c.clients.count(intake.AnswerNotRead)
	}
	return n, err
}

// CloseWrite lets the server end the sending side before it closes the connection.
func (c *clientConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *clientConn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	s := c.clients
	s.mu.Lock()
	s.gate.Close(c.state)
	delete(s.connections, c.state)
	s.mu.Unlock()
	return c.Conn.Close()
}

// refuse answers a request that has not been received completely, and closes the
// connection.
func (c *clientConn) refuse(reason intake.Reason) {
	if c.writing.TryLock() {
		c.clients.writeRefusal(c.Conn, reason)
		_ = c.CloseWrite()
		c.writing.Unlock()
	}
	discardUnread(c.Conn)
	_ = c.Close()
}

// discardUnread removes what the kernel holds of a connection. Closing it otherwise resets
// it, which can remove the refusal from the client's buffer.
func discardUnread(c net.Conn) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	// An error means that the connection is closed.
	_ = raw.Control(func(fd uintptr) {
		var buffer [4 << 10]byte
		for range 2 * receiveBuffer / len(buffer) {
			if n, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_DONTWAIT); n <= 0 || err != nil {
				return
			}
		}
	})
}

// unread returns the number of bytes that the kernel holds for the connection.
func (c *clientConn) unread() int {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	if err := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }); err != nil {
		return 0
	}
	return n
}
