package control

import (
	"context"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
)

// Ask builds an event with a new reply channel, sends it to the control thread
// and returns the reply. It returns ErrStopped when the control thread stops
// before it replies, and the error of ctx when ctx ends first.
func Ask[T any](ctx context.Context, l *Loop, event func(reply chan<- T) fleet.Event) (T, error) {
	var none T
	reply := make(chan T, 1)
	if err := l.Send(ctx, event(reply)); err != nil {
		return none, err
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-l.stopped:
		return none, ErrStopped
	case <-ctx.Done():
		return none, ctx.Err()
	}
}
