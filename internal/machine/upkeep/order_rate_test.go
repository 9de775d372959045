package upkeep

import (
	"testing"
	"time"
)

// TestOrdersStayWithinTheServicesRate guards against a plan of hundreds of orders that
// the machines service refuses or leaves without an answer.
func TestOrdersStayWithinTheServicesRate(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	rate := NewOrderRate(200)
	sent := 0
	for step := range 40 {
		for range 500 {
			if rate.Take(now.Add(time.Duration(step) * 50 * time.Millisecond)) {
				sent++
			}
		}
	}
	if most := 200*2 + 20; sent > most || sent < 200*2-20 {
		t.Errorf("%d orders in 2 s at 200 a second, want about 400 and at most %d", sent, most)
	}
	unlimited := NewOrderRate(0)
	for range 1000 {
		if !unlimited.Take(now) {
			t.Fatal("an order was held back without a limit")
		}
	}
}
