package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/crocusjunction/crocusjunction/internal/asynclog"
	"github.com/crocusjunction/crocusjunction/internal/scheduler"
	"github.com/crocusjunction/crocusjunction/internal/standin/site"
	"github.com/crocusjunction/crocusjunction/platform"
)

// slowLink is a listener whose connections share a limited bandwidth.
type slowLink struct {
	net.Listener
	mu             sync.Mutex
	bytesPerSecond int
}

func (l *slowLink) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return slowConn{conn, l}, err
}

type slowConn struct {
	net.Conn
	link *slowLink
}

func (c slowConn) Write(b []byte) (written int, err error) {
	const part = 16 << 10
	for len(b) > 0 && err == nil {
		n := min(len(b), part)
		c.link.mu.Lock()
		time.Sleep(time.Duration(n) * time.Second / time.Duration(c.link.bytesPerSecond))
		c.link.mu.Unlock()
		n, err = c.Conn.Write(b[:n])
		written, b = written+n, b[n:]
	}
	return written, err
}

// largeConfig returns a configuration whose value takes about 700 kB.
func largeConfig(version int) map[string]any {
	return map[string]any{"version": version, "padding": strings.Repeat("x", 700_000)}
}

// TestConfigurationArrivesOverSlowLink guards against a read of the configuration that
// takes longer than its timeout and is repeated for ever: nodes with a link of
// 10 Mbit/s stayed without the newest of several large versions for 19 s.
func TestConfigurationArrivesOverSlowLink(t *testing.T) {
	store := site.NewStore()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: store.Serve}
	go func() { _ = server.Serve(&slowLink{Listener: listener, bytesPerSecond: 600_000}) }()
	defer func() { _ = server.Shutdown() }()

	const newest = 6
	store.Put("op/config", largeConfig(1))
	applied := make(chan int64, newest)
	health := &storeHealth{}
	m := mirror{
		part: scheduler.OperatorPart, prefix: platform.OperatorPrefix, decode: decodeOperatorItem, now: time.Now, health: health,
		store: platform.NewClient(platform.Settings{StoreAddress: listener.Addr().String()}), log: asynclog.New(io.Discard, logrus.Fields{}),
		watchWait:  func() time.Duration { return followerWatchWait },
		copyNumber: func() int { return 0 }, awaitNextRead: func(context.Context) {},
		awaitNeeded: func(ctx context.Context) bool { return ctx.Err() == nil },
	}
	m.send = func(e scheduler.Event) bool {
		for _, c := range e.(scheduler.Synced).Changes {
			applied <- c.(scheduler.ConfigChanged).Config.Version
		}
		return true
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- m.run(ctx) }()
	awaitVersion := func(want int64) {
		for version := int64(0); version < want; {
			select {
			case version = <-applied:
			case err := <-done:
				t.Fatalf("version %d is not known to the node: %v", want, err)
			}
		}
	}
	awaitVersion(1)
	for version := 2; version <= newest; version++ {
		store.Put("op/config", largeConfig(version))
	}
	awaitVersion(newest)
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// TestStalledAnswerIsCutOff guards against a read that waits for the rest of an answer
// on a connection that has gone silent.
func TestStalledAnswerIsCutOff(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n{\"events\":[")
	}()
	client := platform.NewClient(platform.Settings{StoreAddress: listener.Addr().String()})
	if _, _, err := client.Watch(platform.OperatorPrefix, 1, 10*time.Millisecond, 100*time.Millisecond); err == nil {
		t.Error("half an answer was accepted")
	}
}
