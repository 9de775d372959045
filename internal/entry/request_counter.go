package entry

import (
	"context"
	"sync"
)

// requestCounter counts the requests that other instances have forwarded to this
// one, so that a planned stop can wait for them. Such requests do not pass
// through the HTTP server, whose shutdown waits only for its own. It is safe for
// concurrent use.
type requestCounter struct {
	mu       sync.Mutex
	count    int
	draining bool
	// drained is closed when drain has been called and no request is running.
	drained chan struct{}
}

func newRequestCounter() *requestCounter { return &requestCounter{drained: make(chan struct{})} }

// begin adds a request. It returns false, and adds none, after drain has been
// called.
func (r *requestCounter) begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return false
	}
	r.count++
	return true
}

// end removes a request that begin has added. It is called when the instance that
// forwarded the request has confirmed the reply or can no longer receive it.
func (r *requestCounter) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count--
	if r.draining && r.count == 0 {
		close(r.drained)
	}
}

// drain makes begin refuse further requests and waits until the running ones
// have ended or ctx is done. It must be called only once.
func (r *requestCounter) drain(ctx context.Context) error {
	r.mu.Lock()
	r.draining = true
	if r.count == 0 {
		close(r.drained)
	}
	r.mu.Unlock()
	select {
	case <-r.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
