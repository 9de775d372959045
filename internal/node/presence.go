package node

import (
	"bufio"
	"context"
	"net"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"github.com/crocusjunction/crocusjunction/internal/scheduler"
)

// Every node listens for the others while its process runs. The one connection
// that each holds to the scheduler's process ends with that process, so that
// its end is known at once. TCP is used for that: the kernel closes the
// connections of a process that is killed, which no datagram protocol shows.

// Bounds of the connections between nodes.
const (
	// presenceDial bounds the setup of a connection and the greeting, which take
	// a few milliseconds between data centres.
	presenceDial = 300 * time.Millisecond
	// presenceRetry is the pause after an attempt that proved nothing.
	presenceRetry = 100 * time.Millisecond
	// presenceConnections bounds the connections that a node takes: one from each
	// other node, twice that while they restart.
	presenceConnections = 512
)

// servePresence greets each connection with the name of this process and keeps
// it open until ctx ends.
func servePresence(ctx context.Context, group *errgroup.Group, address, process string) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return errors.Wrapf(err, "listen for other nodes on %s", address)
	}
	group.Go(func() error {
		<-ctx.Done()
		return l.Close()
	})
	group.Go(func() error {
		room := semaphore.NewWeighted(presenceConnections)
		for {
			conn, err := l.Accept()
			if err != nil {
				if ctx.Err() != nil {
					return nil
				}
				pause(ctx, presenceRetry)
				continue
			}
			if !room.TryAcquire(1) {
				_ = conn.Close()
				continue
			}
			go func() {
				defer room.Release(1)
				keepPresent(ctx, conn, process)
			}()
		}
	})
	return nil
}

// keepPresent holds a connection until the other side closes it or ctx ends.
func keepPresent(ctx context.Context, conn net.Conn, process string) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	if conn.SetWriteDeadline(time.Now().Add(presenceDial)) != nil {
		return
	}
	if _, err := conn.Write([]byte(process + "\n")); err != nil {
		return
	}
	// Nothing is sent on the connection; a read ends with it.
	_, _ = conn.Read(make([]byte, 1))
}

// holderWatch watches the process that holds the scheduler's lease.
type holderWatch struct {
	send    func(scheduler.Event) bool
	targets chan scheduler.WatchHolder
}

func newHolderWatch(send func(scheduler.Event) bool) *holderWatch {
	return &holderWatch{send: send, targets: make(chan scheduler.WatchHolder, 1)}
}

// follow makes target the one that is watched. Only the control thread calls it.
func (h *holderWatch) follow(target scheduler.WatchHolder) {
	select {
	case <-h.targets:
	default:
	}
	h.targets <- target
}

// run watches the newest target until ctx ends.
func (h *holderWatch) run(ctx context.Context) error {
	var watches errgroup.Group
	stop := func() {}
	for {
		select {
		case target := <-h.targets:
			stop()
			var watch context.Context
			watch, stop = context.WithCancel(ctx)
			if target.Address != "" {
				watches.Go(func() error {
					h.watch(watch, target)
					return nil
				})
			}
		case <-ctx.Done():
			stop()
			return watches.Wait()
		}
	}
}

// watch visits the holder until its process is known to have ended.
func (h *holderWatch) watch(ctx context.Context, target scheduler.WatchHolder) {
	for ctx.Err() == nil {
		if reason := visit(ctx, target); reason != "" {
			h.send(scheduler.HolderLost{Fence: target.Fence, Reason: reason})
			return
		}
		pause(ctx, presenceRetry)
	}
}

// visit connects to the holder and waits for the end of the connection. It
// returns why the holder's process has certainly ended, or "" when that is not
// known: a connection may break, hang or go silent while the process runs.
func visit(ctx context.Context, target scheduler.WatchHolder) string {
	for broke := false; ; broke = true {
		dialer := net.Dialer{Timeout: presenceDial}
		conn, err := dialer.DialContext(ctx, "tcp4", target.Address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return "its address refuses connections"
		}
		if err != nil {
			return ""
		}
		process, err := awaitEnd(ctx, conn, target.Process)
		if process != "" && process != target.Process {
			return "another process answers at its address"
		}
		// A connection that broke is tried again at once, but only one time in a
		// row without a greeting.
		if ctx.Err() != nil || err != nil || broke && process == "" {
			return ""
		}
	}
}

// awaitEnd reads the greeting and, when it is the expected one, waits until the
// connection ends. It returns the greeting, and an error when none was read.
func awaitEnd(ctx context.Context, conn net.Conn, expected string) (string, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	if err := conn.SetReadDeadline(time.Now().Add(presenceDial)); err != nil {
		return "", errors.Wrap(err, "set deadline")
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
		return process, errors.Wrap(err, "clear deadline")
	}
	_, _ = reader.ReadByte()
	return process, nil
}
