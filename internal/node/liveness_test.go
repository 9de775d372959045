package node

import (
	"context"
	"net"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/crocusjunction/crocusjunction/internal/link/intake"
	"github.com/crocusjunction/crocusjunction/internal/scheduler"
)

// startListener serves liveness connections for process on a free port. It
// returns the address and a function that closes the listener and its
// connections.
func startListener(t *testing.T, process string) (string, func()) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	group, groupCtx := errgroup.WithContext(ctx)
	if err := newLivenessServer(intake.CapacityOf(intake.Settings{}), process).serve(groupCtx, group, address); err != nil {
		t.Fatal(err)
	}
	return address, func() {
		stop()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	}
}

// startWatcher runs a holderWatcher for target until the test ends and returns
// the channel of its events.
func startWatcher(t *testing.T, target scheduler.WatchHolder) <-chan scheduler.Event {
	t.Helper()
	events := make(chan scheduler.Event, 1)
	h := newHolderWatcher(func(e scheduler.Event) bool {
		events <- e
		return true
	})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- h.run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	h.setTarget(target)
	return events
}

// TestHolderExitIsReported guards against a missed end of the lease holder's
// process, after which the other nodes would wait for the lease to expire.
func TestHolderExitIsReported(t *testing.T) {
	address, stopListener := startListener(t, "1")
	events := startWatcher(t, scheduler.WatchHolder{Fence: 7, Address: address, Process: "1"})
	select {
	case e := <-events:
		t.Fatalf("got event %v while the process runs", e)
	case <-time.After(2 * livenessRetryDelay):
	}
	stopListener()
	if e, ok := (<-events).(scheduler.HolderEnded); !ok || e.Fence != 7 {
		t.Errorf("got event %v, want HolderEnded with fence 7", e)
	}
}

// TestRestartedHolderIsReported guards against mistaking a restarted process at
// the same address for the one that held the lease.
func TestRestartedHolderIsReported(t *testing.T) {
	address, stopListener := startListener(t, "2")
	defer stopListener()
	events := startWatcher(t, scheduler.WatchHolder{Fence: 7, Address: address, Process: "1"})
	if e, ok := (<-events).(scheduler.HolderEnded); !ok || e.Fence != 7 {
		t.Errorf("got event %v, want HolderEnded with fence 7", e)
	}
}

// TestBrokenConnectionIsNotReported guards against reporting the end of a
// process that still runs but whose connections are reset or stay silent.
func TestBrokenConnectionIsNotReported(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for reset := true; ; reset = !reset {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if reset {
				_ = conn.Close()
				continue
			}
			defer func() { _ = conn.Close() }()
		}
	}()
	events := startWatcher(t, scheduler.WatchHolder{Fence: 7, Address: l.Addr().String(), Process: "1"})
	select {
	case e := <-events:
		t.Errorf("got event %v, but a reset or silent connection does not prove that the process has ended", e)
	case <-time.After(2 * (livenessTimeout + livenessRetryDelay)):
	}
}
