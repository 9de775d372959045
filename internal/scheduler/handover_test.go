package scheduler

import (
	"testing"
	"time"
)

// TestWeakSchedulerHandsOver guards against a node with little processor time that
// stays the scheduler after the stronger nodes have returned, against jobs that are
// lost at the handover, and against a lease that goes back and forth.
func TestWeakSchedulerHandsOver(t *testing.T) {
	for seed := range uint64(10) {
		w := newFleet(t, seed, 3, 4, 1)
		weak := w.nodes[0]
		weak.cpuShare = sufficientCPUShare / 2
		weak.boot()
		w.runFor(2 * time.Second)
		ids := w.submitLoad(1, 60, 100*time.Millisecond)
		for _, n := range w.nodes[1:] {
			n.kill(3 * time.Second)
		}
		w.runFor(2900 * time.Millisecond)
		if !weak.state.Leading() {
			w.fail("the only node that runs is not the scheduler")
		}
		w.runFor(5 * time.Second)
		if weak.state.Elected() {
			w.fail("the weak node holds the lease 5 s after the stronger ones have returned")
		}
		w.runFor(30 * time.Second)
		w.expectEnded(ids)
		takeovers := int64(0)
		for _, n := range w.nodes {
			takeovers += n.state.counts.Takeovers
		}
		if takeovers != 2 {
			w.fail("%d takeovers since the stronger nodes were killed, want 2", takeovers)
		}
	}
}
