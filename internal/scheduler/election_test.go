package scheduler

import "testing"

// TestNodesWithMoreCPUAcquireFirst guards against electing a node with too little CPU
// to schedule the fleet while a node with enough CPU is available, and against an
// extra delay on nodes that have enough.
func TestNodesWithMoreCPUAcquireFirst(t *testing.T) {
	for _, name := range []string{"edge-a-1", "edge-a-2", "edge-b-1", "edge-c-7"} {
		ample, sufficient, low := New(Options{NodeName: name, CPUShare: 0.8}), New(Options{NodeName: name, CPUShare: 0.4}), New(Options{NodeName: "x", CPUShare: 0.192})
		if ample.acquireDelay() >= low.acquireDelay() || sufficient.acquireDelay() >= low.acquireDelay() {
			t.Errorf("%s waits %v and %v, a node with little CPU %v", name, ample.acquireDelay(), sufficient.acquireDelay(), low.acquireDelay())
		}
		if sufficient.acquireDelay() > acquireJitter {
			t.Errorf("%s has enough CPU but waits %v, longer than acquireJitter", name, sufficient.acquireDelay())
		}
	}
}
