package node

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"github.com/crocusjunction/crocusjunction/internal/asynclog"
	"github.com/crocusjunction/crocusjunction/internal/contract/policy"
	"github.com/crocusjunction/crocusjunction/internal/ingress"
	"github.com/crocusjunction/crocusjunction/internal/link/intake"
	"github.com/crocusjunction/crocusjunction/platform"
)

const (
	// intakeInterval is the interval at which connections are checked for progress and
	// refusals are logged, in one line at most.
	intakeInterval    = 200 * time.Millisecond
	refusalLogEvery   = time.Second
	refusalRetryAfter = time.Second
	// receiveBuffer is the size of the kernel's buffer for a connection. The kernel
	// doubles it; it bounds what clients send while their connection is not read. At a
	// round-trip time of 50 ms it allows 320 KB a second.
	receiveBuffer = 16 << 10
	// refusalWriteTimeout bounds the writing of a refusal outside of a request. It fits
	// into the empty buffer of the connection.
	refusalWriteTimeout = time.Millisecond
	// maxLingering and lingerTime bound the refused connections that stay open until
	// their client has read the refusal: closing a connection with unread data resets
	// it, which can remove the refusal from the client's buffer.
	maxLingering = 32
	lingerTime   = 300 * time.Millisecond
	// acceptPause is the pause after a connection could not be accepted for lack of
	// descriptors or memory.
	acceptPause = 50 * time.Millisecond
	// firstBodyBuffer is the first buffer for a body of unknown length; it doubles.
	firstBodyBuffer = 4 << 10
)

// clients guards the gate, which the goroutines of all connections share, and carries out
// its decisions.
type clients struct {
	log    *asynclog.Log
	now    func() time.Time
	limits func() policy.RequestLimits
	// lingering has a place for each refused connection that stays open.
	lingering chan struct{}

	// mu guards the fields below.
	mu          sync.Mutex
	gate        *intake.Gate
	connections map[*intake.Connection]*clientConn
	logged      map[intake.Reason]int64
	loggedAt    time.Time
}

func newClients(capacity intake.Capacity, log *asynclog.Log, now func() time.Time, limits func() policy.RequestLimits) *clients {
	return &clients{
		log: log, now: now, limits: limits, lingering: make(chan struct{}, maxLingering),
		gate: intake.NewGate(capacity), connections: make(map[*intake.Connection]*clientConn),
	}
}

// clientListener accepts the connections that the gate takes in.
type clientListener struct {
	net.Listener
	clients *clients
	server  intake.Server
}

// listen listens on address for clients of the server.
func (s *clients) listen(ctx context.Context, server intake.Server, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		})
		if err != nil {
			return err
		}
		return failed
	}}
	l, err := config.Listen(ctx, "tcp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return &clientListener{l, s, server}, nil
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
func (s *clients) open(server intake.Server, raw net.Conn) net.Conn {
	host, _, _ := net.SplitHostPort(raw.RemoteAddr().String())
	s.mu.Lock()
	state, evicted, refused := s.gate.Open(server, host, s.now())
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
func (s *clients) refuseNew(raw net.Conn, reason intake.Reason) {
	writeRefusal(raw, reason)
	tcp, isTCP := raw.(*net.TCPConn)
	select {
	case s.lingering <- struct{}{}:
	default:
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

func writeRefusal(c net.Conn, reason intake.Reason) {
	_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	_, _ = c.Write(platform.EncodeConnectionRefusal(reason.Text(), refusalRetryAfter))
}

func (s *clients) count(r intake.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.Count(r)
}

// clientConn is a connection of a client. It reports what it receives to the gate, and
// closes when the client does not read.
type clientConn struct {
	net.Conn
	clients *clients
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
	refused := s.gate.Received(c.state, n, bytes.Count(p[:n], []byte{'\n'}), s.now())
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
		writeRefusal(c.Conn, reason)
		_ = c.CloseWrite()
		c.writing.Unlock()
	}
	_ = c.Close()
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

type connectionKey struct{}

// withConnection makes the connection known to the handlers of its requests.
func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

func connectionOf(r *http.Request) *clientConn {
	return r.Context().Value(connectionKey{}).(*clientConn)
}

// connectionState follows the phases of the connections that the server knows.
func (s *clients) connectionState(c net.Conn, state http.ConnState) {
	if state != http.StateIdle {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.Answered(c.(*clientConn).state, s.now())
}

// admit passes the requests that the gate takes in to next.
func (s *clients) admit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connectionOf(r)
		size, lines := headSize(r)
		s.mu.Lock()
		refused := s.gate.Begin(c.state, size, lines, s.now())
		s.mu.Unlock()
		if refused != "" {
			platform.RefuseRequest(w, s.refusal(c, w, refused))
			return
		}
		recorder := &statusRecorder{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(recorder, r)
		if recorder.status < http.StatusMultipleChoices {
			s.mu.Lock()
			s.gate.Prove(c.state)
			s.mu.Unlock()
		}
	})
}

// statusRecorder keeps the status of an answer. It is 200 if the handler sets none.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusRecorder) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// withoutBody refuses requests with a body.
func (s *clients) withoutBody(next http.Handler) http.Handler {
	return s.admit(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, refusal := s.readBody(w, r); refusal != nil {
			platform.RefuseRequest(w, *refusal)
			return
		}
		next.ServeHTTP(w, r)
	}))
}

// headSize returns the approximate size of a request's head and the number of its lines.
func headSize(r *http.Request) (size, lines int) {
	size, lines = len(r.RequestURI), 1
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
			lines++
		}
	}
	return size, lines
}

// refusal ends the connection after the answer that it returns.
func (s *clients) refusal(c *clientConn, w http.ResponseWriter, reason intake.Reason) ingress.Answer {
	s.mu.Lock()
	s.gate.Refused(c.state, s.now())
	s.mu.Unlock()
	w.Header().Set("Connection", "close")
	return ingress.Answer{Code: ingress.NotRun, Reason: reason.Text(), RetryAfter: refusalRetryAfter}
}

// readBody implements platform.ReadBody. It reads a body for which the gate has reserved
// memory.
func (s *clients) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *ingress.Answer) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	c := connectionOf(r)
	s.mu.Lock()
	reason := s.gate.BeginBody(c.state, r.ContentLength, s.now())
	s.mu.Unlock()
	var body []byte
	if reason == "" {
		body, reason = s.receiveBody(c, r)
	}
	if reason != "" {
		answer := s.refusal(c, w, reason)
		return nil, &answer
	}
	return body, nil
}

func (s *clients) receiveBody(c *clientConn, r *http.Request) ([]byte, intake.Reason) {
	var body []byte
	var err error
	if r.ContentLength > 0 {
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, body)
	} else {
		var reason intake.Reason
		if body, reason, err = s.receiveChunks(c, r.Body); reason != "" {
			return nil, reason
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if reason := s.gate.Serve(c.state, s.now()); reason != "" {
		return nil, reason
	}
	if err != nil {
		return nil, s.gate.Count(intake.BodyIncomplete)
	}
	return body, ""
}

// receiveChunks reads a body of unknown length. It reserves each buffer before it
// allocates it.
func (s *clients) receiveChunks(c *clientConn, from io.Reader) ([]byte, intake.Reason, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			larger, reason := s.extend(c, body)
			if reason != "" {
				return nil, reason, nil
			}
			body = larger
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, "", nil
		}
		if err != nil {
			return nil, "", err
		}
	}
}

// extend returns a copy of a body with room for more bytes. It refuses a body that is
// longer than the limit.
func (s *clients) extend(c *clientConn, body []byte) ([]byte, intake.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.gate.MaxBody()
	if len(body) > limit {
		return nil, s.gate.Count(intake.BodyTooLarge)
	}
	size := min(max(firstBodyBuffer, 2*len(body)), limit+1)
	if reason := s.gate.Extend(c.state, size, size, s.now()); reason != "" {
		return nil, reason
	}
	return append(make([]byte, 0, size), body...), ""
}

// watch ends the connections that are overdue, and logs the refusals, until ctx is done.
func (s *clients) watch(ctx context.Context) error {
	ticker := time.NewTicker(intakeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.endOverdue()
			s.logRefusals()
		}
	}
}

func (s *clients) endOverdue() {
	limits := s.limits()
	overdue := make(map[*clientConn]intake.Reason)
	s.mu.Lock()
	s.gate.SetLimits(limits)
	for state, reason := range s.gate.Overdue(s.now()) {
		overdue[s.connections[state]] = reason
		if reason != intake.BodyTooSlow {
			// No request of the connection can begin any more.
			s.gate.Close(state)
			delete(s.connections, state)
		}
	}
	s.mu.Unlock()
	for c, reason := range overdue {
		switch reason {
		case intake.Idle:
			_ = c.Close()
		case intake.BodyTooSlow:
			// The handler that reads the body answers.
			_ = c.Conn.SetReadDeadline(time.Now())
		default:
			c.refuse(reason)
		}
	}
}

// logRefusals writes one line for all refusals since the last one.
func (s *clients) logRefusals() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now.Sub(s.loggedAt) < refusalLogEvery {
		return
	}
	fields := logrus.Fields{}
	totals := s.gate.Totals()
	for reason, total := range totals {
		if n := total - s.logged[reason]; n > 0 {
			fields[string(reason)] = n
		}
	}
	if len(fields) == 0 {
		return
	}
	s.logged, s.loggedAt = totals, now
	fields["connections"], fields["request_bytes"] = s.gate.Used()
	s.log.Write("clients", "refused", fields)
}

// eachRefusal calls collect with each reason and how often it has refused a client.
func (s *clients) eachRefusal(collect func(reason string, total int64)) {
	s.mu.Lock()
	totals := s.gate.Totals()
	s.mu.Unlock()
	for reason, total := range totals {
		collect(string(reason), total)
	}
}

func (s *clients) used() (connections int, requestBytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Used()
}
