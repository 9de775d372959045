package intake

import (
	"fmt"
	"testing"
)

// TestCrowdLeavesPlacesToNodes guards against clients that take the places of other nodes,
// and against more connections than the descriptors allow.
func TestCrowdLeavesPlacesToNodes(t *testing.T) {
	p := NewPeers(CapacityOf(Settings{MemoryMB: 96, Descriptors: 384}))
	const nodes = 20
	open := make(map[*PeerConnection]string)
	add := func(address string) {
		c, evicted := p.Open(address)
		open[c] = address
		delete(open, evicted)
	}
	for i := range nodes {
		add(fmt.Sprint("node-", i))
	}
	for range 1000 {
		add("client")
	}
	add("node-late")
	count := make(map[string]int)
	for _, address := range open {
		count[address]++
	}
	if len(open) > p.limit || len(count) != nodes+2 {
		t.Errorf("%d connections with a limit of %d, of %d addresses: %v", len(open), p.limit, len(count), count)
	}
	for c := range open {
		p.Close(c)
		p.Close(c)
	}
	if p.count != 0 || len(p.byAddress) != 0 {
		t.Errorf("%d connections remain", p.count)
	}
}
