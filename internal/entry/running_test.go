package entry

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestFinishWaitsForForwardedRequests guards against a planned stop that closes
// the peer transport under a request that another instance forwarded.
func TestFinishWaitsForForwardedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRunning()
		began := time.Now()
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
		if err := r.finish(context.Background()); err != nil || time.Since(began) != 3*time.Second {
			t.Errorf("finished after %v of virtual time, error %v", time.Since(began), err)
		}
		if r.begin() {
			t.Error("accepted after the stop")
		}
		group.Wait()
	})
}
