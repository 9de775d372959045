package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/crocusjunction/crocusjunction/internal/link"
)

func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// writeTestKeys writes certificates for the members and returns their directory.
func writeTestKeys(t testing.TB, members ...string) string {
	t.Helper()
	dir := t.TempDir()
	if err := WriteTestCertificates(dir, members, time.Now(), time.Hour); err != nil {
		t.Fatal(err)
	}
	return dir
}

// newTestNode returns a node that is bound to a free port but does not serve.
func newTestNode(t testing.TB, dir, id string) *Node {
	t.Helper()
	n, err := NewNode(Options{
		Self:  link.Member{ID: id, Incarnation: 1, DataCentre: "north", Address: "127.0.0.1:0"},
		Files: MemberTLSFiles(dir, id), Log: discardLog(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Close() })
	return n
}

func serveNode(t testing.TB, n *Node) {
	t.Helper()
	done := make(chan error, 1)
	go func() { done <- n.Serve(context.Background()) }()
	t.Cleanup(func() {
		_ = n.Close()
		if err := <-done; err != nil {
			t.Errorf("serve: %v", err)
		}
	})
}

func echo(ctx context.Context, from link.Member, kind Kind, body []byte) ([]byte, error) {
	return append([]byte(from.ID+":"), body...), nil
}

// TestExchangeReturnsHandlerReply guards against replies that are lost or
// delivered to another exchange on the same connection.
func TestExchangeReturnsHandlerReply(t *testing.T) {
	dir := writeTestKeys(t, "a", "b")
	a, b := newTestNode(t, dir, "a"), newTestNode(t, dir, "b")
	b.Handle(KindProbe, echo)
	serveNode(t, b)
	results := make(chan error, 50)
	for i := range 50 {
		go func() {
			body := []byte(strings.Repeat("x", i))
			reply, err := a.Exchange(t.Context(), b.Address(), KindProbe, body)
			if err == nil && string(reply) != "a:"+string(body) {
				err = errors.Errorf("reply %q to %q", reply, body)
			}
			results <- err
		}()
	}
	for range 50 {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
	if c := a.Counters(); c.SentBytes == 0 || c.ReceivedBytes == 0 {
		t.Errorf("counters %+v", c)
	}
}

// TestPeerWithoutValidCertificateIsRefused guards against a process that can read
// or change the configuration although the CA has not issued its certificate.
func TestPeerWithoutValidCertificateIsRefused(t *testing.T) {
	dir, otherCADir := writeTestKeys(t, "a", "b"), writeTestKeys(t, "a")
	b := newTestNode(t, dir, "b")
	var handled atomic.Int64
	b.Handle(KindProbe, func(context.Context, link.Member, Kind, []byte) ([]byte, error) {
		handled.Add(1)
		return nil, nil
	})
	serveNode(t, b)
	otherCANode := newTestNode(t, otherCADir, "a")
	if _, err := otherCANode.Exchange(t.Context(), b.Address(), KindProbe, nil); err == nil {
		t.Error("a node with a certificate of another CA received a reply")
	}
	if handled.Load() != 0 {
		t.Errorf("handled %d messages of a node with a certificate of another CA", handled.Load())
	}
}

// TestSenderMustMatchItsCertificate guards against a member that sends messages
// with the id of another member.
func TestSenderMustMatchItsCertificate(t *testing.T) {
	dir := writeTestKeys(t, "a", "b", "c")
	b := newTestNode(t, dir, "b")
	b.Handle(KindProbe, echo)
	serveNode(t, b)
	a := newTestNode(t, dir, "a")
	a.self.ID = "c"
	var refused *RefusedError
	if _, err := a.Exchange(t.Context(), b.Address(), KindProbe, nil); !errors.As(err, &refused) {
		t.Errorf("error %v", err)
	}
}

// TestRefusalsAndSizeLimits guards against handler errors, unknown kinds and
// oversized messages that the sender cannot distinguish from a missing reply.
func TestRefusalsAndSizeLimits(t *testing.T) {
	dir := writeTestKeys(t, "a", "b")
	a, b := newTestNode(t, dir, "a"), newTestNode(t, dir, "b")
	b.Handle(KindProbe, func(_ context.Context, _ link.Member, _ Kind, body []byte) ([]byte, error) {
		if len(body) == 0 {
			return nil, errors.New("empty probe")
		}
		return make([]byte, MaxMessageSize), nil
	})
	serveNode(t, b)
	var refused *RefusedError
	if _, err := a.Exchange(t.Context(), b.Address(), KindProbe, nil); !errors.As(err, &refused) || refused.Reason != "empty probe" {
		t.Errorf("handler error: %v", err)
	}
	if _, err := a.Exchange(t.Context(), b.Address(), KindRelay, nil); !errors.As(err, &refused) {
		t.Errorf("unknown kind: %v", err)
	}
	if _, err := a.Exchange(t.Context(), b.Address(), KindProbe, []byte{1}); !errors.As(err, &refused) {
		t.Errorf("oversized reply: %v", err)
	}
	if _, err := a.Exchange(t.Context(), b.Address(), KindProbe, make([]byte, MaxMessageSize)); !errors.Is(err, ErrNotSent) {
		t.Errorf("oversized message: %v", err)
	}
}

// TestSilentConnectionIsReplaced guards against a peer that stays unreachable
// because its connection no longer delivers packets. After an exchange has timed
// out on the connection, the next one must open a new connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	dir := writeTestKeys(t, "a", "b")
	a, b := newTestNode(t, dir, "a"), newTestNode(t, dir, "b")
	b.Handle(KindProbe, echo)
	serveNode(t, b)
	proxy := newDroppingProxy(t, b.Address())
	// The second reply shows that the handshake is complete on both sides.
	for range 2 {
		if _, err := a.Exchange(t.Context(), proxy.address(), KindProbe, nil); err != nil {
			t.Fatal(err)
		}
	}
	proxy.dropPacketsUntilHandshake()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	if _, err := a.Exchange(ctx, proxy.address(), KindProbe, nil); !errors.Is(err, ErrNoReply) {
		t.Fatalf("error on the silent connection: %v", err)
	}
	if _, err := a.Exchange(t.Context(), proxy.address(), KindProbe, nil); err != nil {
		t.Errorf("error on a new connection: %v", err)
	}
}

// droppingProxy is a UDP proxy between one client and a server. It can drop all
// packets, either until the client starts a new handshake or permanently.
type droppingProxy struct {
	clientSide, serverSide net.PacketConn
	serverAddr             net.Addr
	clientAddr             atomic.Pointer[net.Addr]
	dropUntilHandshake     atomic.Bool
	dropAll                atomic.Bool
}

func newDroppingProxy(t *testing.T, serverAddr string) *droppingProxy {
	t.Helper()
	p := &droppingProxy{}
	var err error
	if p.serverAddr, err = net.ResolveUDPAddr("udp", serverAddr); err != nil {
		t.Fatal(err)
	}
	if p.clientSide, err = net.ListenPacket("udp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	if p.serverSide, err = net.ListenPacket("udp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = p.clientSide.Close(), p.serverSide.Close() })
	go p.forwardToServer()
	go p.forwardToClient()
	return p
}

func (p *droppingProxy) address() string { return p.clientSide.LocalAddr().String() }

// dropPacketsUntilHandshake drops all packets until the client starts a new
// handshake.
func (p *droppingProxy) dropPacketsUntilHandshake() { p.dropUntilHandshake.Store(true) }

// dropAllPackets drops all packets from now on.
func (p *droppingProxy) dropAllPackets() { p.dropAll.Store(true) }

// longHeaderBit is the bit of a packet's first byte that is set in handshake
// packets only.
const longHeaderBit = 0x80

func (p *droppingProxy) forwardToServer() {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := p.clientSide.ReadFrom(buffer)
		if err != nil {
			return
		}
		p.clientAddr.Store(&from)
		if buffer[0]&longHeaderBit != 0 {
			p.dropUntilHandshake.Store(false)
		}
		if !p.dropUntilHandshake.Load() && !p.dropAll.Load() {
			_, _ = p.serverSide.WriteTo(buffer[:n], p.serverAddr)
		}
	}
}

func (p *droppingProxy) forwardToClient() {
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := p.serverSide.ReadFrom(buffer)
		if err != nil {
			return
		}
		if clientAddr := p.clientAddr.Load(); clientAddr != nil && !p.dropUntilHandshake.Load() && !p.dropAll.Load() {
			_, _ = p.clientSide.WriteTo(buffer[:n], *clientAddr)
		}
	}
}

// TestRotatedKeysAreUsedByNewConnections guards against a key rotation that
// needs a restart: a member of the new CA is refused before the files change and
// must be accepted afterwards.
func TestRotatedKeysAreUsedByNewConnections(t *testing.T) {
	oldDir, newDir := writeTestKeys(t, "a", "b"), writeTestKeys(t, "a", "b")
	b := newTestNode(t, oldDir, "b")
	b.Handle(KindProbe, echo)
	serveNode(t, b)
	newCANode := newTestNode(t, newDir, "a")
	if _, err := newCANode.Exchange(t.Context(), b.Address(), KindProbe, nil); err == nil {
		t.Fatal("the new CA was accepted before the rotation")
	}
	for _, name := range []string{"ca.pem", "b.pem", "b.key"} {
		replaceFile(t, filepath.Join(newDir, name), filepath.Join(oldDir, name))
	}
	if _, err := newCANode.Exchange(t.Context(), b.Address(), KindProbe, nil); err != nil {
		t.Errorf("after the rotation: %v", err)
	}
}

// replaceFile copies a file and sets a later modification time on the copy,
// because two writes may get the same time from the file system's coarse clock.
func replaceFile(t *testing.T, from, to string) {
	t.Helper()
	data, err := os.ReadFile(from)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(to, data, 0o600); err != nil {
		t.Fatal(err)
	}
	later := time.Now().Add(time.Minute)
	if err := os.Chtimes(to, later, later); err != nil {
		t.Fatal(err)
	}
}

// TestMalformedInputDoesNotStopNode guards against malformed packets and frames
// that stop the process or make later exchanges fail.
func TestMalformedInputDoesNotStopNode(t *testing.T) {
	dir := writeTestKeys(t, "a", "b")
	a, b := newTestNode(t, dir, "a"), newTestNode(t, dir, "b")
	b.Handle(KindProbe, echo)
	serveNode(t, b)
	conn, err := net.Dial("udp", b.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for _, packet := range [][]byte{{}, {0}, []byte("GET / HTTP/1.1\r\n\r\n"), bytes.Repeat([]byte{0xff}, 1400)} {
		_, _ = conn.Write(packet)
	}
	ctx, cancel := context.WithTimeout(t.Context(), DefaultTimeout)
	defer cancel()
	c, stream, err := a.openStream(ctx, connKey{address: b.Address()})
	if err != nil {
		t.Fatal(err)
	}
	if reply, err := roundTrip(ctx, stream, []byte{0, 0, 0, 2, 0xff, 0xff}, false); err != nil || reply.Error == "" {
		t.Errorf("garbage frame: reply %+v, error %v", reply, err)
	}
	a.pool.release(connKey{address: b.Address()}, c, false)
	if _, err := a.Exchange(ctx, b.Address(), KindProbe, nil); err != nil {
		t.Errorf("exchange after garbage: %v", err)
	}
}

// TestManyExchangesReuseOneConnection guards against streams whose credit is
// never returned: one connection must carry more than maxStreams exchanges.
func TestManyExchangesReuseOneConnection(t *testing.T) {
	dir := writeTestKeys(t, "a", "b")
	a, b := newTestNode(t, dir, "a"), newTestNode(t, dir, "b")
	b.Handle(KindProbe, echo)
	serveNode(t, b)
	for i := range 2 * maxStreams {
		if _, err := a.Exchange(t.Context(), b.Address(), KindProbe, nil); err != nil {
			t.Fatalf("exchange %d: %v", i, err)
		}
	}
	if n := len(a.pool.conns); n != 1 {
		t.Errorf("%d connections", n)
	}
}

// TestLongExchangeDetectsSilentConnection guards against a long exchange that
// waits until its deadline although its connection no longer delivers packets,
// and against one that is aborted although its handler is only slow.
func TestLongExchangeDetectsSilentConnection(t *testing.T) {
	dir := writeTestKeys(t, "a", "b")
	a, b := newTestNode(t, dir, "a"), newTestNode(t, dir, "b")
	entered, release := make(chan struct{}, 2), make(chan struct{})
	b.Handle(KindTicketRun, func(ctx context.Context, _ link.Member, _ Kind, _ []byte) ([]byte, error) {
		entered <- struct{}{}
		select {
		case <-release:
		case <-ctx.Done():
		}
		return nil, nil
	})
	serveNode(t, b)
	proxy := newDroppingProxy(t, b.Address())
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	results := make(chan error, 2)
	go func() {
		_, err := a.Exchange(ctx, b.Address(), KindTicketRun, nil)
		results <- err
	}()
	go func() {
		_, err := a.Exchange(ctx, proxy.address(), KindTicketRun, nil)
		results <- err
	}()
	<-entered
	<-entered
	proxy.dropAllPackets()
	if err := <-results; !errors.Is(err, ErrNoReply) {
		t.Errorf("silent connection: %v", err)
	}
	close(release)
	if err := <-results; err != nil {
		t.Errorf("slow handler: %v", err)
	}
}

// TestReplyIsFinishedWhenItWasRead guards against a handler that counts as finished
// when it returns: the node may then be closed before its reply has left, and the
// requester learns no outcome.
func TestReplyIsFinishedWhenItWasRead(t *testing.T) {
	dir := writeTestKeys(t, "a", "b")
	a, b := newTestNode(t, dir, "a"), newTestNode(t, dir, "b")
	proxy := newDroppingProxy(t, b.Address())
	finished := make(chan struct{})
	b.HandleConfirmed(KindTicketRun, func(_ context.Context, _ link.Member, _ Kind, body []byte) ([]byte, func(), error) {
		proxy.dropAll.Store(true)
		return body, func() { close(finished) }, nil
	})
	serveNode(t, b)
	time.AfterFunc(200*time.Millisecond, func() { proxy.dropAll.Store(false) })
	go func() {
		<-finished
		_ = b.Close()
	}()
	ctx, cancel := context.WithTimeout(t.Context(), longExchangeThreshold+time.Second)
	defer cancel()
	if reply, err := a.Exchange(ctx, proxy.address(), KindTicketRun, []byte("held")); err != nil || string(reply) != "held" {
		t.Errorf("reply %q, error %v", reply, err)
	}
}

// TestReplyIsFinishedWhenRequesterHasGone guards against a planned stop that waits
// for the confirmation of a requester that has given up.
func TestReplyIsFinishedWhenRequesterHasGone(t *testing.T) {
	dir := writeTestKeys(t, "a", "b")
	a, b := newTestNode(t, dir, "a"), newTestNode(t, dir, "b")
	started, finished := make(chan struct{}), make(chan struct{})
	b.HandleConfirmed(KindTicketRun, func(ctx context.Context, _ link.Member, _ Kind, _ []byte) ([]byte, func(), error) {
		close(started)
		<-ctx.Done()
		return nil, func() { close(finished) }, nil
	})
	serveNode(t, b)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	if _, err := a.Exchange(ctx, b.Address(), KindTicketRun, nil); !errors.Is(err, ErrNoReply) {
		t.Errorf("abandoned exchange: %v", err)
	}
	select {
	case <-finished:
	case <-time.After(receiveTimeout / 2):
		t.Error("the abandoned exchange is not finished")
	}
}
