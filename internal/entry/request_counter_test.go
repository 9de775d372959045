package entry

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestDrainWaitsForForwardedRequests guards against a planned stop that closes
// the peer transport while a request that another instance forwarded is running.
func TestDrainWaitsForForwardedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRequestCounter()
		start := time.Now()
		var group sync.WaitGroup
		for i := range 3 {
			if !r.begin() {
				t.Fatal("refused before the stop")
			}
			group.Go(func() {
				time.Sleep(time.Duration(i+1) * time.Second)
				r.end()
			})
		}
		if err := r.drain(context.Background()); err != nil || time.Since(start) != 3*time.Second {
			t.Errorf("finished after %v of virtual time, error %v", time.Since(start), err)
		}
		if r.begin() {
			t.Error("accepted after the stop")
		}
		group.Wait()
	})
}
