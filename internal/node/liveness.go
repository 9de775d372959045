package node

import (
	"bufio"
	"context"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/crocusjunction/crocusjunction/internal/link/intake"
	"github.com/crocusjunction/crocusjunction/internal/scheduler"
)

// Failure detection between nodes: every node accepts TCP connections from the
// other nodes, and each of them keeps one connection open to the process that
// holds the scheduler's lease. The kernel closes the connections of a process
// that exits or is killed, so the other nodes detect its end immediately. With a
// datagram protocol, there would be no connection whose end shows this.

// Limits of the liveness connections between nodes.
const (
	// livenessTimeout bounds the connection setup and the greeting, which take a
	// few milliseconds between data centres.
	livenessTimeout = 300 * time.Millisecond
	// livenessRetryDelay is the delay after a probe that did not show whether the
	// process has ended, and after a failed accept.
	livenessRetryDelay = 100 * time.Millisecond
)

// livenessServer keeps the connections of other nodes.
type livenessServer struct {
	// process is the name of this process, with which each connection is greeted.
	process string

	// mu guards the fields below.
	mu          sync.Mutex
	peers       *intake.Peers
	connections map[*intake.PeerConnection]net.Conn
}

func newLivenessServer(capacity intake.Capacity, process string) *livenessServer {
	return &livenessServer{process: process, peers: intake.NewPeers(capacity), connections: make(map[*intake.PeerConnection]net.Conn)}
}

// serve accepts connections from other nodes on address. It greets each with the name of
// this process and keeps it open until ctx is done. The listener is open when serve
// returns; its goroutines run in group.
func (s *livenessServer) serve(ctx context.Context, group *errgroup.Group, address string) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return errors.Wrapf(err, "listen for other nodes on %s", address)
	}
	group.Go(func() error {
		<-ctx.Done()
		return l.Close()
	})
	group.Go(func() error {
		for {
			conn, err := l.Accept()
			if err != nil {
				if ctx.Err() != nil {
					return nil
				}
				sleep(ctx, livenessRetryDelay)
				continue
			}
			if state := s.open(conn); state != nil {
				go func() {
					defer s.close(state)
					holdConnection(ctx, conn, s.process)
				}()
			}
		}
	})
	return nil
}

// open takes in a connection. It returns nil if the connection was closed instead.
func (s *livenessServer) open(conn net.Conn) *intake.PeerConnection {
	host, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	s.mu.Lock()
	defer s.mu.Unlock()
	state, evicted := s.peers.Open(host)
	s.connections[state] = conn
	if evicted != nil {
		_ = s.connections[evicted].Close()
		delete(s.connections, evicted)
	}
	if evicted == state {
		return nil
	}
	return state
}

func (s *livenessServer) close(state *intake.PeerConnection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers.Close(state)
	delete(s.connections, state)
}

// holdConnection sends the greeting and keeps the connection open until the
// peer closes it or ctx is done.
func holdConnection(ctx context.Context, conn net.Conn, process string) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	if conn.SetWriteDeadline(time.Now().Add(livenessTimeout)) != nil {
		return
	}
	if _, err := conn.Write([]byte(process + "\n")); err != nil {
		return
	}
	// The peer sends nothing, so the read blocks until the connection is closed.
	_, _ = conn.Read(make([]byte, 1))
}

// holderWatcher detects the end of the process that holds the scheduler's lease
// and reports it as a HolderEnded event.
type holderWatcher struct {
	send    func(scheduler.Event) bool
	targets chan scheduler.WatchHolder
}

func newHolderWatcher(send func(scheduler.Event) bool) *holderWatcher {
	return &holderWatcher{send: send, targets: make(chan scheduler.WatchHolder, 1)}
}

// setTarget replaces the watched process by target. It must be called only from
// the control thread: with a second caller it could block.
func (h *holderWatcher) setTarget(target scheduler.WatchHolder) {
	select {
	case <-h.targets:
	default:
	}
	h.targets <- target
}

// run watches the most recent target until ctx is done.
func (h *holderWatcher) run(ctx context.Context) error {
	var watches errgroup.Group
	stop := func() {}
	for {
		select {
		case target := <-h.targets:
			stop()
			var watchCtx context.Context
			watchCtx, stop = context.WithCancel(ctx)
			if target.Address != "" {
				watches.Go(func() error {
					h.watch(watchCtx, target)
					return nil
				})
			}
		case <-ctx.Done():
			stop()
			return watches.Wait()
		}
	}
}

// watch probes the holder until a probe shows that its process has ended, then
// reports the end and returns.
func (h *holderWatcher) watch(ctx context.Context, target scheduler.WatchHolder) {
	for ctx.Err() == nil {
		if reason := probe(ctx, target); reason != "" {
			h.send(scheduler.HolderEnded{Fence: target.Fence, Reason: reason})
			return
		}
		sleep(ctx, livenessRetryDelay)
	}
}

// probe connects to the holder and waits until the connection ends. It returns
// what shows that the holder's process has ended, or "" if the process may still
// run: a connection can also be reset, hang or time out while the process runs.
func probe(ctx context.Context, target scheduler.WatchHolder) string {
	for reconnecting := false; ; reconnecting = true {
		dialer := net.Dialer{Timeout: livenessTimeout}
		conn, err := dialer.DialContext(ctx, "tcp4", target.Address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return "its address refuses connections"
		}
		if err != nil {
			return ""
		}
		process, err := awaitClose(ctx, conn, target.Process)
		if process != "" && process != target.Process {
			return "another process answers at its address"
		}
		// Reconnects immediately after the connection has ended. If the greeting could
		// not be read, or is empty even after a reconnect, nothing shows whether the
		// process has ended.
		if ctx.Err() != nil || err != nil || reconnecting && process == "" {
			return ""
		}
	}
}

// awaitClose reads the greeting and, if it names the expected process, waits
// until the connection ends. It returns the name in the greeting, and an error
// if the greeting could not be read or a deadline could not be set.
func awaitClose(ctx context.Context, conn net.Conn, expected string) (string, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	if err := conn.SetReadDeadline(time.Now().Add(livenessTimeout)); err != nil {
		return "", errors.Wrap(err, "set read deadline")
	}
	reader := bufio.NewReaderSize(conn, 64)
	line, err := reader.ReadString('\n')
	if err != nil {
		return "", errors.Wrap(err, "read greeting")
	}
	process := strings.TrimSuffix(line, "\n")
	if process != expected {
		return process, nil
	}
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		return process, errors.Wrap(err, "clear read deadline")
	}
	_, _ = reader.ReadByte()
	return process, nil
}
