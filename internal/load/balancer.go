package load

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Times of the balancer. The period is well below the default drain delay of an
// entry instance.
const (
	pollPeriod  = 100 * time.Millisecond
	pollTimeout = time.Second
)

// balancer stands for the platform's load balancer: it sends to entry instances
// that say they are ready.
type balancer struct {
	entries []string
	client  *fasthttp.Client
	ready   atomic.Pointer[[]string]
}

func newBalancer(entries []string, c *fasthttp.Client) *balancer {
	return &balancer{entries: entries, client: c}
}

// watch polls readiness until ctx ends.
func (b *balancer) watch(ctx context.Context) {
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			b.poll()
		case <-ctx.Done():
			return
		}
	}
}

func (b *balancer) poll() {
	var ready []string
	for _, e := range b.entries {
		status, _, err := b.client.GetTimeout(nil, "http://"+e+"/v1/ready", pollTimeout)
		if err == nil && status == fasthttp.StatusOK {
			ready = append(ready, e)
		}
	}
	b.ready.Store(&ready)
}

// pick returns a ready entry instance, or any when none is ready.
func (b *balancer) pick(random int) string {
	list := *b.ready.Load()
	if len(list) == 0 {
		list = b.entries
	}
	return list[random%len(list)]
}
