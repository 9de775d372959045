package site

import (
	"fmt"
	"strings"
	"time"
)

// TakeOut asks that nothing more starts in a data centre.
func (s *Site) TakeOut(dataCentre string) {
	s.Store.Put("op/evacuate/"+dataCentre, map[string]any{})
}

// BringBack ends TakeOut.
func (s *Site) BringBack(dataCentre string) { s.Store.Delete("op/evacuate/" + dataCentre) }

// OrderWave asks for the upkeep of machines, at most atOnce at a time.
func (s *Site) OrderWave(number int64, machines []string, deadline time.Duration, atOnce int) {
	s.Store.Put(fmt.Sprintf("op/wave/%d", number), map[string]any{
		"wave": number, "machines": machines, "deadline-s": deadline.Seconds(), "cap": atOnce,
	})
}

// WaveCompleted reports whether the nodes say that a wave is complete.
func (s *Site) WaveCompleted(number int64) bool {
	item, ok := s.Store.Get(fmt.Sprintf("status/wave/%d", number))
	return ok && strings.Contains(string(item.Value), "completed")
}
