package intake

import "testing"

// TestHandshakesAreLimited guards against handshakes without limit, and against clients
// that never answer and leave no place to others, also not at their own address.
func TestHandshakesAreLimited(t *testing.T) {
	h := NewHandshakes()
	// Clients that never answer begin a handshake only while none has to validate.
	silent := 0
	for range 1000 {
		if !h.NeedsValidation() && h.Begin("10.0.0.1") {
			silent++
		}
	}
	if !h.Begin("10.0.0.1") || !h.Begin("10.0.0.2") {
		t.Errorf("%d silent clients leave no place", silent)
	}
	answering := 0
	for range 1000 {
		if h.Begin("10.0.0.1") {
			answering++
		}
	}
	if silent+answering+1 > maxAddressHandshakes || !h.Begin("10.0.0.2") {
		t.Errorf("%d and %d handshakes of one address, which leave no place to another", silent, answering)
	}
	for i := range 1000 {
		h.Begin(string(rune(i)))
	}
	if h.total > maxHandshakes || h.Refused() == 0 {
		t.Errorf("%d handshakes in progress, %d refused", h.total, h.Refused())
	}
	h.End("10.0.0.1")
	if !h.Begin("10.0.0.1") {
		t.Error("a place that became free is not used")
	}
}
