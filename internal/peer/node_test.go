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

func quiet() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// testKeys writes certificates for the members and returns their directory.
func testKeys(t testing.TB, members ...string) string {
	t.Helper()
	dir := t.TempDir()
	if err := WriteTestCertificates(dir, members, time.Now(), time.Hour); err != nil {
		t.Fatal(err)
	}
	return dir
}

// newTestNode returns a node on a free port that is not serving yet.
func newTestNode(t testing.TB, dir, id string) *Node {
	t.Helper()
	n, err := NewNode(Options{
		Self:  link.Member{ID: id, Incarnation: 1, DataCentre: "north", Address: "127.0.0.1:0"},
		Files: FilesIn(dir, id), Log: quiet(),
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

// TestExchangeReturnsTheHandlersReply guards against answers that are lost or
// swapped between exchanges that share a connection.
func TestExchangeReturnsTheHandlersReply(t *testing.T) {
	dir := testKeys(t, "a", "b")
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

// TestPeerWithoutValidCertificateIsRefused guards against strangers that read
// or change the configuration.
func TestPeerWithoutValidCertificateIsRefused(t *testing.T) {
	dir, strangers := testKeys(t, "a", "b"), testKeys(t, "a")
	b := newTestNode(t, dir, "b")
	var handled atomic.Int64
	b.Handle(KindProbe, func(context.Context, link.Member, Kind, []byte) ([]byte, error) {
		handled.Add(1)
		return nil, nil
	})
	serveNode(t, b)
	stranger := newTestNode(t, strangers, "a")
	if _, err := stranger.Exchange(t.Context(), b.Address(), KindProbe, nil); err == nil {
		t.Error("a member of another CA got an answer")
	}
	if handled.Load() != 0 {
		t.Errorf("handled %d messages of a stranger", handled.Load())
	}
}

// TestSenderMustMatchItsCertificate guards against a member that speaks in the
// name of another one.
func TestSenderMustMatchItsCertificate(t *testing.T) {
	dir := testKeys(t, "a", "b", "c")
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

// TestRefusalsAndLimits guards against handler errors and oversized messages
// that look like silence.
func TestRefusalsAndLimits(t *testing.T) {
	dir := testKeys(t, "a", "b")
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
// because its old connection went silent: the next exchange opens a new one.
func TestSilentConnectionIsReplaced(t *testing.T) {
	dir := testKeys(t, "a", "b")
	a, b := newTestNode(t, dir, "a"), newTestNode(t, dir, "b")
	b.Handle(KindProbe, echo)
	serveNode(t, b)
	relay := newSilencer(t, b.Address())
	if _, err := a.Exchange(t.Context(), relay.address(), KindProbe, nil); err != nil {
		t.Fatal(err)
	}
	relay.silenceKnown()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	if _, err := a.Exchange(ctx, relay.address(), KindProbe, nil); !errors.Is(err, ErrNoReply) {
		t.Fatalf("error on the silent connection: %v", err)
	}
	if _, err := a.Exchange(t.Context(), relay.address(), KindProbe, nil); err != nil {
		t.Errorf("error on a new connection: %v", err)
	}
}

// silencer forwards packets between a client and a server and can drop all
// packets of the connections that it has seen so far. It tells connections
// apart by their destination connection id of four bytes.
type silencer struct {
	front, back net.PacketConn
	server      net.Addr
	client      atomic.Pointer[net.Addr]
	mute        atomic.Bool
	short       atomic.Bool
}

func newSilencer(t *testing.T, server string) *silencer {
	t.Helper()
	s := &silencer{}
	var err error
	if s.server, err = net.ResolveUDPAddr("udp", server); err != nil {
		t.Fatal(err)
	}
	if s.front, err = net.ListenPacket("udp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	if s.back, err = net.ListenPacket("udp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = s.front.Close(), s.back.Close() })
	go s.forward()
	go s.backward()
	return s
}

func (s *silencer) address() string { return s.front.LocalAddr().String() }

// silenceKnown drops short-header packets until a new handshake starts.
func (s *silencer) silenceKnown() { s.mute.Store(true) }

// awaitShortHeader waits until a handshake through the silencer is over.
func (s *silencer) awaitShortHeader(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !s.short.Load(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no handshake")
		}
	}
}

// longHeader is set in the first byte of handshake packets.
const longHeader = 0x80

func (s *silencer) forward() {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := s.front.ReadFrom(buffer)
		if err != nil {
			return
		}
		s.client.Store(&from)
		if buffer[0]&longHeader != 0 {
			s.mute.Store(false)
		} else {
			s.short.Store(true)
		}
		if !s.mute.Load() {
			_, _ = s.back.WriteTo(buffer[:n], s.server)
		}
	}
}

func (s *silencer) backward() {
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := s.back.ReadFrom(buffer)
		if err != nil {
			return
		}
		if client := s.client.Load(); client != nil && !s.mute.Load() {
			_, _ = s.front.WriteTo(buffer[:n], *client)
		}
	}
}

// TestRotatedKeysAreUsedByNewConnections guards against a rotation that needs a
// restart: after the files change, only members of the new CA get answers.
func TestRotatedKeysAreUsedByNewConnections(t *testing.T) {
	old, fresh := testKeys(t, "a", "b"), testKeys(t, "a", "b")
	b := newTestNode(t, old, "b")
	b.Handle(KindProbe, echo)
	serveNode(t, b)
	rotated := newTestNode(t, fresh, "a")
	if _, err := rotated.Exchange(t.Context(), b.Address(), KindProbe, nil); err == nil {
		t.Fatal("the new CA was accepted before the rotation")
	}
	for _, name := range []string{"ca.pem", "b.pem", "b.key"} {
		replaceFile(t, filepath.Join(fresh, name), filepath.Join(old, name))
	}
	if _, err := rotated.Exchange(t.Context(), b.Address(), KindProbe, nil); err != nil {
		t.Errorf("after the rotation: %v", err)
	}
}

// replaceFile copies a file and gives the copy a modification time of its own,
// since two writes may fall into one tick of the file system's clock.
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

// TestGarbageDoesNotStopTheNode guards against malformed packets and frames that
// end the process or later exchanges.
func TestGarbageDoesNotStopTheNode(t *testing.T) {
	dir := testKeys(t, "a", "b")
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
	c, stream, err := a.openStream(ctx, route{address: b.Address()})
	if err != nil {
		t.Fatal(err)
	}
	if reply, err := transfer(ctx, stream, []byte{0, 0, 0, 2, 0xff, 0xff}); err != nil || reply.Error == "" {
		t.Errorf("garbage frame: reply %+v, error %v", reply, err)
	}
	a.pool.release(route{address: b.Address()}, c, false)
	if _, err := a.Exchange(ctx, b.Address(), KindProbe, nil); err != nil {
		t.Errorf("exchange after garbage: %v", err)
	}
}

// TestManyExchangesReuseOneConnection guards against streams whose credit is
// never returned: more exchanges than maxStreams pass over one connection.
func TestManyExchangesReuseOneConnection(t *testing.T) {
	dir := testKeys(t, "a", "b")
	a, b := newTestNode(t, dir, "a"), newTestNode(t, dir, "b")
	b.Handle(KindProbe, echo)
	serveNode(t, b)
	for i := range 2 * maxStreams {
		if _, err := a.Exchange(t.Context(), b.Address(), KindProbe, nil); err != nil {
			t.Fatalf("exchange %d: %v", i, err)
		}
	}
	if n := len(a.pool.known); n != 1 {
		t.Errorf("%d connections", n)
	}
}

// TestLongExchangeNoticesASilentConnection guards against a long exchange that
// waits for its whole deadline on a connection that went silent, and against one
// that is cut although its handler is only slow.
func TestLongExchangeNoticesASilentConnection(t *testing.T) {
	dir := testKeys(t, "a", "b")
	a, b := newTestNode(t, dir, "a"), newTestNode(t, dir, "b")
	release := make(chan struct{})
	b.Handle(KindTicketRun, func(ctx context.Context, _ link.Member, _ Kind, _ []byte) ([]byte, error) {
		select {
		case <-release:
		case <-ctx.Done():
		}
		return nil, nil
	})
	serveNode(t, b)
	relay := newSilencer(t, b.Address())
	ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
	defer cancel()
	results := make(chan error, 2)
	go func() {
		_, err := a.Exchange(ctx, b.Address(), KindTicketRun, nil)
		results <- err
	}()
	go func() {
		_, err := a.Exchange(ctx, relay.address(), KindTicketRun, nil)
		results <- err
	}()
	relay.awaitShortHeader(t)
	relay.silenceKnown()
	if err := <-results; !errors.Is(err, ErrNoReply) {
		t.Errorf("silent connection: %v", err)
	}
	close(release)
	if err := <-results; err != nil {
		t.Errorf("slow handler: %v", err)
	}
}
