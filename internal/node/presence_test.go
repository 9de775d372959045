package node

import (
	"context"
	"net"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/crocusjunction/crocusjunction/internal/scheduler"
)

// listening starts a node's listener and returns its address and how to end it.
func listening(t *testing.T, process string) (string, func()) {
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
	if err := servePresence(groupCtx, group, address, process); err != nil {
		t.Fatal(err)
	}
	return address, func() {
		stop()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	}
}

// watching starts a watch of a target and returns what it reports.
func watching(t *testing.T, target scheduler.WatchHolder) <-chan scheduler.Event {
	t.Helper()
	seen := make(chan scheduler.Event, 1)
	h := newHolderWatch(func(e scheduler.Event) bool {
		seen <- e
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
	h.follow(target)
	return seen
}

// TestEndOfHolderIsNoticed guards against a scheduler whose process has ended
// and whose lease the others await.
func TestEndOfHolderIsNoticed(t *testing.T) {
	address, end := listening(t, "1")
	seen := watching(t, scheduler.WatchHolder{Fence: 7, Address: address, Process: "1"})
	select {
	case e := <-seen:
		t.Fatalf("%v while the process runs", e)
	case <-time.After(2 * presenceRetry):
	}
	end()
	if e, ok := (<-seen).(scheduler.HolderLost); !ok || e.Fence != 7 {
		t.Errorf("event %v", e)
	}
}

// TestNextProcessAtTheAddress guards against a restarted process that is taken
// for the one that held the lease.
func TestNextProcessAtTheAddress(t *testing.T) {
	address, end := listening(t, "2")
	defer end()
	seen := watching(t, scheduler.WatchHolder{Fence: 7, Address: address, Process: "1"})
	if e, ok := (<-seen).(scheduler.HolderLost); !ok || e.Fence != 7 {
		t.Errorf("event %v", e)
	}
}

// TestBrokenConnectionIsNoEnd guards against a running scheduler that is taken
// for ended because its connections are reset or stay silent.
func TestBrokenConnectionIsNoEnd(t *testing.T) {
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
	seen := watching(t, scheduler.WatchHolder{Fence: 7, Address: l.Addr().String(), Process: "1"})
	select {
	case e := <-seen:
		t.Errorf("%v though nothing shows that the process has ended", e)
	case <-time.After(2 * (presenceDial + presenceRetry)):
	}
}
