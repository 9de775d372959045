package node

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/oplog"
	"github.com/crocusjunction/crocusjunction/internal/scheduler"
	"github.com/crocusjunction/crocusjunction/platform"
	"github.com/sirupsen/logrus"
)

// Times of reading the store.
const (
	// watchWait is how long a watch waits for a change. An answer without a change
	// renews the freshness of the copy.
	watchWait = time.Second
	// watchSlack is how much later the answer of a watch may come; the store may
	// be 60 times slower than its usual 4 ms.
	watchSlack = 700 * time.Millisecond
	// listTimeout bounds each page of a full reading.
	listTimeout = time.Second
	// readRetry is the pause after a failed reading.
	readRetry = 100 * time.Millisecond
)

// Pauses between two readings of the jobs while changes come. Each call is
// priced; the scheduler reads often so that jobs start soon.
const (
	leaderGap   = 15 * time.Millisecond
	followerGap = 150 * time.Millisecond
)

// mirror keeps a copy of one part of the store up to date.
type mirror struct {
	part   scheduler.Part
	name   string
	prefix string
	decode func(platform.Item) (scheduler.Change, error)
	client *platform.Client
	clock  *Clock
	log    *oplog.Log
	send   func(scheduler.Event) bool
	// pause is the wait after an answer with changes.
	pause func(context.Context)
	// wanted blocks until the copy is needed; it returns false when ctx ends.
	wanted func(context.Context) bool

	// known are the keys of the copy.
	known    map[string]bool
	revision int64
	synced   bool
	lost     bool
}

// run reads until ctx ends.
func (m *mirror) run(ctx context.Context) error {
	m.known = make(map[string]bool)
	for m.wanted(ctx) {
		changes, err := m.read()
		if err != nil {
			m.failed(err)
			pause(ctx, readRetry)
			continue
		}
		m.regained()
		if changes > 0 {
			m.pause(ctx)
		}
	}
	return nil
}

func leaderPause(ctx context.Context) { pause(ctx, leaderGap) }

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (m *mirror) failed(err error) {
	if errors.Is(err, platform.ErrCompacted) {
		m.log.Write("store", "history dropped, reading everything again", logrus.Fields{"part": m.name, "after": m.revision})
		m.synced = false
		return
	}
	if !m.lost {
		m.lost = true
		m.log.Write("store", "reading lost", logrus.Fields{"part": m.name, "error": err.Error()})
	}
}

func (m *mirror) regained() {
	if m.lost {
		m.lost = false
		m.log.Write("store", "reading regained", logrus.Fields{"part": m.name, "revision": m.revision})
	}
}

// read brings the copy up to date once and returns the number of changes.
func (m *mirror) read() (int, error) {
	if !m.synced {
		return m.list()
	}
	sentAt := m.clock.Now()
	items, revision, err := m.client.Watch(m.prefix, m.revision, watchWait, watchSlack)
	if err != nil {
		return 0, err
	}
	m.revision = max(m.revision, revision)
	m.deliver(items, sentAt)
	return len(items), nil
}

// list reads the whole part and reports keys that have gone meanwhile.
func (m *mirror) list() (int, error) {
	sentAt := m.clock.Now()
	listing, err := m.client.List(m.prefix, listTimeout)
	if err != nil {
		return 0, err
	}
	present := make(map[string]bool, len(listing.Items))
	for _, item := range listing.Items {
		present[item.Key] = true
	}
	for key := range m.known {
		if !present[key] {
			listing.Items = append(listing.Items, platform.Item{Key: key, Removed: true, Revision: listing.Revision})
		}
	}
	m.revision, m.synced = listing.Revision, true
	m.deliver(listing.Items, sentAt)
	return len(listing.Items), nil
}

func (m *mirror) deliver(items []platform.Item, sentAt time.Time) {
	changes := make([]scheduler.Change, 0, len(items))
	for _, item := range items {
		if item.Removed {
			delete(m.known, item.Key)
		} else {
			m.known[item.Key] = true
		}
		change, err := m.decode(item)
		if err != nil {
			m.log.Write("store", "entry not readable", logrus.Fields{"key": item.Key, "revision": item.Revision, "error": err.Error()})
		}
		if change != nil {
			changes = append(changes, change)
		}
	}
	m.send(scheduler.Synced{Part: m.part, Changes: changes, Revision: m.revision, SentAt: sentAt})
}
