package site

import (
	"fmt"
	"strings"
	"time"
)

// TakeOutDataCentre writes the operator's order that no task may start in a
// data centre.
func (s *Site) TakeOutDataCentre(dataCentre string) {
	s.Store.Put("op/evacuate/"+dataCentre, map[string]any{})
}

// BringBackDataCentre deletes the order that TakeOutDataCentre wrote.
func (s *Site) BringBackDataCentre(dataCentre string) { s.Store.Delete("op/evacuate/" + dataCentre) }

// OrderWave writes the operator's order for the upkeep of machines, with at
// most maxDown machines down at a time.
func (s *Site) OrderWave(number int64, machines []string, deadline time.Duration, maxDown int) {
	s.Store.Put(fmt.Sprintf("op/wave/%d", number), map[string]any{
		"wave": number, "machines": machines, "deadline-s": deadline.Seconds(), "cap": maxDown,
	})
}

// WaveCompleted reports whether the status written by the nodes shows a wave as
// completed.
func (s *Site) WaveCompleted(number int64) bool {
	item, ok := s.Store.Get(fmt.Sprintf("status/wave/%d", number))
	return ok && strings.Contains(string(item.Value), "completed")
}
