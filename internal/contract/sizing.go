package contract

import "time"

// Sizing of an allotment. A queue peaks at about five times its mean for some
// seconds. A raise therefore asks for headroom on top of the demand, which
// doubles while raises follow each other closely, so that a peak needs few
// swaps.
const (
	// firstHeadroomDivisor sets the headroom of a raise that follows no other one
	// within headroomGrowWindow: demand / firstHeadroomDivisor, at least one slot.
	firstHeadroomDivisor = 4
	// headroomGrowWindow is the longest time between two raises for which the
	// second one doubles the headroom.
	headroomGrowWindow = 5 * time.Second
	// reserveDivisor divides the peak demand to give the reserve that is kept when
	// idle slots are returned.
	reserveDivisor = 4
	// lowFreeDivisor divides the granted slots to give the number of free ones
	// below which a raise is sent before slots run out.
	lowFreeDivisor = 8
	// tightFreeDivisor divides the limit to give the number of free slots below
	// which holders return idle slots early.
	tightFreeDivisor = 4
)

// sizer chooses the size of an allotment from its demand.
type sizer struct {
	// headroom is the number of slots that the last raise requested as headroom.
	headroom  int
	lastRaise time.Time
	// peak is the largest demand in the window that ends at windowEnd.
	peak      int
	windowEnd time.Time
}

// recordDemand records the present demand.
func (s *sizer) recordDemand(demand int) { s.peak = max(s.peak, demand) }

// raiseHeadroom records a raise at the given demand and returns its headroom.
func (s *sizer) raiseHeadroom(now time.Time, demand int) int {
	first := max(1, demand/firstHeadroomDivisor)
	if now.Sub(s.lastRaise) > headroomGrowWindow {
		s.headroom = first
	} else {
		s.headroom = max(first, min(2*s.headroom, max(1, demand)))
	}
	s.lastRaise = now
	return s.headroom
}

// nextWindow starts the next window when the present one has ended, and returns
// the number of slots to keep: the peak demand of the ended window and a
// reserve. The present window is shortened to length if it is longer.
func (s *sizer) nextWindow(now time.Time, demand int, length time.Duration) (keep int, ended bool) {
	if s.windowEnd.IsZero() || s.windowEnd.Sub(now) > length {
		s.windowEnd = now.Add(length)
	}
	if now.Before(s.windowEnd) {
		return 0, false
	}
	peak := s.peak
	s.peak = demand
	s.windowEnd = now.Add(length)
	return peak + (peak+reserveDivisor-1)/reserveDivisor, true
}
