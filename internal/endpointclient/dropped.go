package endpointclient

import (
	"sync/atomic"

	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/traffic"
)

// Dropped counts the answers that were not delivered to a caller.
type Dropped struct {
	foreign, late, short, long atomic.Int64
}

// Counts returns the counts so far.
func (d *Dropped) Counts() traffic.DroppedCounts {
	return traffic.DroppedCounts{Foreign: d.foreign.Load(), Late: d.late.Load(), Short: d.short.Load(), Long: d.long.Load()}
}

// count adds an error that stands for a dropped answer, and returns it.
func (d *Dropped) count(err error) error {
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
