package load

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Interval and timeout of the readiness polls. The interval is well below the
// default drain delay of an entry instance, so that a stopping instance receives
// no request after it has closed its listener.
const (
	pollInterval = 100 * time.Millisecond
	pollTimeout  = time.Second
)

// balancer stands in for the platform's load balancer. It selects entry instances
// that report that they are ready.
type balancer struct {
	addresses []string
	client    *fasthttp.Client
	// ready lists the addresses of the entry instances that reported ready at the
	// last poll.
	ready atomic.Pointer[[]string]
}

func newBalancer(addresses []string, c *fasthttp.Client) *balancer {
	return &balancer{addresses: addresses, client: c}
}

// pollUntilDone polls the readiness of all entry instances until ctx is
// cancelled.
func (b *balancer) pollUntilDone(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
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
	for _, e := range b.addresses {
		status, _, err := b.client.GetTimeout(nil, "http://"+e+"/v1/ready", pollTimeout)
		if err == nil && status == fasthttp.StatusOK {
			ready = append(ready, e)
		}
	}
	b.ready.Store(&ready)
}

// pick returns the address of an entry instance that was ready at the last poll,
// or of any instance when none was. It must not be called before the first poll.
func (b *balancer) pick(random int) string {
	list := *b.ready.Load()
	if len(list) == 0 {
		list = b.addresses
	}
	return list[random%len(list)]
}
