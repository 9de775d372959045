package intake

import "slices"

// PeerConnection is a connection of another node.
type PeerConnection struct{ address string }

// Peers holds the connections of other nodes, which send nothing and stay open for as long
// as both processes run. While all places are taken, the address with the most connections
// gives one up, so that clients who open many leave those of other nodes alone. It is not
// safe for concurrent use.
type Peers struct {
	limit int
	count int
	// byAddress has the connections of each address, the oldest first.
	byAddress map[string][]*PeerConnection
}

// NewPeers returns an object without connections.
func NewPeers(c Capacity) *Peers {
	return &Peers{limit: c.Peers, byAddress: make(map[string][]*PeerConnection)}
}

// Open adds a connection. Evicted is the connection that has to be closed for it, which is
// the new one if no address has more connections than its own. It is nil if there is none.
func (p *Peers) Open(address string) (c, evicted *PeerConnection) {
	c = &PeerConnection{address}
	p.byAddress[address] = append(p.byAddress[address], c)
	p.count++
	if p.count <= p.limit {
		return c, nil
	}
	most := address
	for a, connections := range p.byAddress {
		if len(connections) > len(p.byAddress[most]) {
			most = a
		}
	}
	evicted = p.byAddress[most][0]
	p.Close(evicted)
	return c, evicted
}

// Close removes a connection. It has no effect if the connection was removed before.
func (p *Peers) Close(c *PeerConnection) {
	connections := p.byAddress[c.address]
	i := slices.Index(connections, c)
	if i < 0 {
		return
	}
	p.count--
	if len(connections) == 1 {
		delete(p.byAddress, c.address)
		return
	}
	p.byAddress[c.address] = slices.Delete(connections, i, i+1)
}
