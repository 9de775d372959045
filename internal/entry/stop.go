package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/crocusjunction/crocusjunction/internal/control"
	"github.com/crocusjunction/crocusjunction/internal/fleet"
)

// returnTimeout bounds the wait for the last swaps of a planned stop, after the
// running requests have finished. What is not returned by then is free for
// others after the hold.
const returnTimeout = 5 * time.Second

// beginReturn starts the return of all slots. The answer comes when running
// requests have finished.
func beginReturn(ctx context.Context, loop *control.Loop) <-chan fleet.Returned {
	reply := make(chan fleet.Returned, 1)
	_ = loop.Send(ctx, fleet.ReleaseAllotments{Reply: reply})
	return reply
}

// awaitReturn waits until all slots are returned.
func awaitReturn(reply <-chan fleet.Returned, log *logrus.Entry) {
	timer := time.NewTimer(returnTimeout)
	defer timer.Stop()
	select {
	case returned := <-reply:
		log.Infof("limits: slots returned, %d kept", returned.Kept)
	case <-timer.C:
		log.Warn("limits: slots were not returned in time, others get them after the hold")
	}
}
