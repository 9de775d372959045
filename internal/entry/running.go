package entry

import (
	"context"
	"sync"
)

// running counts requests that do not come through the HTTP server, so that a
// planned stop can wait for them.
type running struct {
	mu       sync.Mutex
	n        int
	stopping bool
	// idle is closed when the last request has ended after finish was called.
	idle chan struct{}
}

func newRunning() *running { return &running{idle: make(chan struct{})} }

// begin adds a request. It returns false once finish was called.
func (r *running) begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return false
	}
	r.n++
	return true
}

// end removes a request.
func (r *running) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.n--
	if r.stopping && r.n == 0 {
		close(r.idle)
	}
}

// finish refuses further requests and waits for the running ones. It is called
// once.
func (r *running) finish(ctx context.Context) error {
	r.mu.Lock()
	r.stopping = true
	if r.n == 0 {
		close(r.idle)
	}
	r.mu.Unlock()
	select {
	case <-r.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
