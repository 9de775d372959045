package contract

import "time"

// Sizing of an allotment. Queues peak at about five times their mean for some
// seconds, one after another: a raise asks for a chunk that doubles while raises
// follow each other, so that such a peak needs few swaps.
const (
	// firstChunk is the share of the demand, as a divisor, that a first raise
	// asks for on top.
	firstChunk = 4
	// growWindow is how soon a raise must follow another one to double the chunk.
	growWindow = 5 * time.Second
	// reserveShare is the share of the recent peak, as a divisor, that stays when
	// idle slots are returned.
	reserveShare = 4
	// lowShare is the free share, as a divisor, below which a raise is sent ahead
	// of the shortage.
	lowShare = 8
	// tightShare is the free share of a limit, as a divisor, below which holders
	// return idle slots early.
	tightShare = 4
)

// sizer chooses the size of an allotment from its demand.
type sizer struct {
	chunk     int
	lastRaise time.Time
	// peak is the largest demand of this window.
	peak      int
	windowEnd time.Time
}

// observe takes the present demand.
func (s *sizer) observe(demand int) { s.peak = max(s.peak, demand) }

// raise returns the headroom for a raise at the given demand.
func (s *sizer) raise(now time.Time, demand int) int {
	first := max(1, demand/firstChunk)
	if now.Sub(s.lastRaise) > growWindow {
		s.chunk = first
	} else {
		s.chunk = max(first, min(2*s.chunk, max(1, demand)))
	}
	s.lastRaise = now
	return s.chunk
}

// roll ends the window when it is over and returns the number of slots to keep.
func (s *sizer) roll(now time.Time, demand int, length time.Duration) (keep int, ended bool) {
	if s.windowEnd.IsZero() || s.windowEnd.Sub(now) > length {
		s.windowEnd = now.Add(length)
	}
	if now.Before(s.windowEnd) {
		return 0, false
	}
	peak := s.peak
	s.peak = demand
	s.windowEnd = now.Add(length)
	return peak + (peak+reserveShare-1)/reserveShare, true
}
