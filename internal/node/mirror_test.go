package node

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/crocusjunction/crocusjunction/internal/asynclog"
	"github.com/crocusjunction/crocusjunction/internal/link/lease"
	"github.com/crocusjunction/crocusjunction/internal/scheduler"
	"github.com/crocusjunction/crocusjunction/platform"
)

// idleStore is a store without changes: each watch is answered after its whole wait
// and the store's own delay.
type idleStore struct{ delay time.Duration }

func (s idleStore) List(string, time.Duration) (platform.Listing, error) {
	time.Sleep(s.delay)
	return platform.Listing{Revision: 1}, nil
}

func (s idleStore) Watch(_ string, after int64, wait, _ time.Duration) ([]platform.Item, int64, error) {
	time.Sleep(wait + s.delay)
	return nil, after, nil
}

// TestIdleCopyStaysFreshOnScheduler guards against watches of a part of the store that
// does not change which are answered so late that the copy repeatedly becomes too
// old to start tasks: a fifth of the time passed without starts.
func TestIdleCopyStaysFreshOnScheduler(t *testing.T) {
	for _, delay := range []time.Duration{4 * time.Millisecond, 240 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			n := &node{loop: newControlLoop(scheduler.NewGuard(scheduler.Options{}, nil), newBootClock(), nil)}
			n.loop.status.Store(&controlStatus{Elected: true})
			var fresh lease.Freshness
			m := mirror{
				part: scheduler.OperatorPart, store: idleStore{delay}, now: time.Now, watchWait: n.watchWait, copyNumber: n.copyNumber, health: &n.health,
				log: asynclog.New(io.Discard, logrus.Fields{}), awaitNextRead: awaitLeaderRead,
				awaitNeeded: func(ctx context.Context) bool { return ctx.Err() == nil },
			}
			m.send = func(e scheduler.Event) bool {
				if fresh.Known() && fresh.Age(time.Now()) > scheduler.MaxCopyAge {
					t.Errorf("store delay %v: the copy was %v old", delay, fresh.Age(time.Now()))
				}
				fresh.RecordRead(e.(scheduler.Synced).SentAt)
				return true
			}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			if err := m.run(ctx); err != nil {
				t.Fatal(err)
			}
		})
	}
}
