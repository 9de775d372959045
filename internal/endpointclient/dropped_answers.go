package endpointclient

import (
	"sync/atomic"

	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/traffic"
)

// DroppedAnswers counts the answers that were not delivered to a caller, by
// cause. It is safe for concurrent use.
type DroppedAnswers struct {
	foreign, late, short, long atomic.Int64
}

// Counts returns the counts so far.
func (d *DroppedAnswers) Counts() traffic.DroppedCounts {
	return traffic.DroppedCounts{Foreign: d.foreign.Load(), Late: d.late.Load(), Short: d.short.Load(), Long: d.long.Load()}
}

// countError adds 1 to the counter of err if err is one of the errors of dropped
// answers. It returns err unchanged in all cases.
func (d *DroppedAnswers) countError(err error) error {
	switch {
	case errors.Is(err, ErrForeignAnswer):
		d.foreign.Add(1)
	case errors.Is(err, ErrLateAnswer):
		d.late.Add(1)
	case errors.Is(err, ErrShortAnswer):
		d.short.Add(1)
	case errors.Is(err, ErrLongAnswer):
		d.long.Add(1)
	}
	return err
}
