package control

import (
	"context"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
)

// Ask sends the event that carries the reply channel and returns the control
// thread's reply. It returns ErrStopped when the thread ends before it replies.
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
