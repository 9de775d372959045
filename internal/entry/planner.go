package entry

import (
	"context"

	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/platform"
)

// leavePlanner gives the planner's lease back, so that another entry instance
// plans at once instead of when the lease lapses.
func leavePlanner(ctx context.Context, loop *control.Loop, p platform.Store) error {
	reply := make(chan uint64, 1)
	if err := loop.Send(ctx, fleet.LeavePlanner{Reply: reply}); err != nil {
		return err
	}
	select {
	case lease := <-reply:
		if lease == 0 {
			return nil
		}
		return p.Revoke(ctx, platform.LeaseID(lease))
	case <-ctx.Done():
		return ctx.Err()
	}
}
