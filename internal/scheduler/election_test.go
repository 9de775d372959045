package scheduler

import "testing"

// TestStrongNodesSeekFirst guards against a scheduler on a node that cannot keep
// up with the fleet while stronger ones are there, and against a wait of nodes
// that are all alike.
func TestStrongNodesSeekFirst(t *testing.T) {
	for _, name := range []string{"edge-a-1", "edge-a-2", "edge-b-1", "edge-c-7"} {
		strong, ordinary, weak := New(Terms{Self: name, ProcessorShare: 0.8}), New(Terms{Self: name, ProcessorShare: 0.4}), New(Terms{Self: "x", ProcessorShare: 0.192})
		if strong.spread() >= weak.spread() || ordinary.spread() >= weak.spread() {
			t.Errorf("%s waits %v and %v, a weak node %v", name, strong.spread(), ordinary.spread(), weak.spread())
		}
		if ordinary.spread() > seekSpread {
			t.Errorf("%s waits %v", name, ordinary.spread())
		}
	}
}
