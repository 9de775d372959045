package intake

const (
	// maxHandshakes is the number of handshakes that may be in progress. Each takes about
	// 40 KB. A fleet of 300 instances that start at the same time begins fewer at one of
	// them.
	maxHandshakes = 128
	// maxAddressHandshakes is the number of handshakes of one address. It is above
	// validationThreshold, so that clients which never answer leave places to others at
	// their address.
	maxAddressHandshakes = 64
	// validationThreshold is the number of handshakes from which a client has to show that
	// it receives at its address, which costs it a round trip, before a handshake takes
	// memory.
	validationThreshold = 32
)

// Handshakes counts the handshakes in progress at an address where clients open encrypted
// connections, which take memory before the client is known. It is not safe for concurrent
// use.
type Handshakes struct {
	total     int
	byAddress map[string]int
	refused   int64
}

// NewHandshakes returns an object without handshakes.
func NewHandshakes() *Handshakes { return &Handshakes{byAddress: make(map[string]int)} }

// NeedsValidation reports whether a client has to show that it receives at its address.
func (h *Handshakes) NeedsValidation() bool { return h.total >= validationThreshold }

// Begin adds a handshake. It returns false if the handshake is refused.
func (h *Handshakes) Begin(address string) bool {
	if h.total >= maxHandshakes || h.byAddress[address] >= maxAddressHandshakes {
		h.refused++
		return false
	}
	h.total++
	h.byAddress[address]++
	return true
}

// End removes a handshake that is complete or has failed.
func (h *Handshakes) End(address string) {
	h.total--
	if h.byAddress[address]--; h.byAddress[address] == 0 {
		delete(h.byAddress, address)
	}
}

// Refused returns the number of handshakes that were refused.
func (h *Handshakes) Refused() int64 { return h.refused }
