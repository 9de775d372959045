package node

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/asynclog"
	"github.com/crocusjunction/crocusjunction/internal/scheduler"
	"github.com/crocusjunction/crocusjunction/platform"
	"github.com/sirupsen/logrus"
)

// Timing of reads from the store.
const (
	// followerWatchWait is how long the store waits for a change before it answers
	// a watch. An answer without changes confirms that the mirror is up to date.
	followerWatchWait = time.Second
	// leaderWatchWait replaces followerWatchWait on the scheduler. A watch confirms
	// the state as of its sending, so that just before its answer the mirror is two
	// waits old. Together with two answers of a store that is 60 times slower than
	// usual, that stays below scheduler.MaxCopyAge, at which starts stop.
	leaderWatchWait = 500 * time.Millisecond
	// watchTimeout bounds the beginning of the answer of a watch after its wait has
	// passed. The store can be 60 times slower than its usual 4 ms.
	watchTimeout = 700 * time.Millisecond
	// listTimeout bounds the beginning of each page of a full listing.
	listTimeout = time.Second
	// readRetryDelay is the delay before a failed read is repeated.
	readRetryDelay = 100 * time.Millisecond
)

// Intervals between two reads while changes arrive. Each call to the store has
// a price, so followers read the jobs less often; the leader reads often so
// that new jobs start soon.
const (
	leaderReadInterval   = 15 * time.Millisecond
	followerReadInterval = 250 * time.Millisecond
)

// storeReader reads a key prefix of the store.
type storeReader interface {
	List(prefix string, timeout time.Duration) (platform.Listing, error)
	Watch(prefix string, after int64, wait, timeout time.Duration) ([]platform.Item, int64, error)
}

// mirror keeps the scheduler's copy of one key prefix of the store up to date:
// it lists the prefix once, then watches it and sends the changes as Synced
// events. Only the goroutine that executes run may use it.
type mirror struct {
	part   scheduler.Part
	name   string
	prefix string
	decode func(platform.Item) (scheduler.Change, error)
	store  storeReader
	now    func() time.Time
	log    *asynclog.Log
	send   func(scheduler.Event) bool
	// watchWait returns how long the store may wait for a change before it answers
	// the next watch.
	watchWait func() time.Duration
	health    *storeHealth
	// copyNumber returns the number of the scheduler's copy. A change means that the
	// scheduler has lost its copy and needs everything again.
	copyNumber func() int
	// awaitNextRead waits after an answer with changes, so that further changes
	// arrive in one batch.
	awaitNextRead func(context.Context)
	// awaitNeeded blocks until the mirror is needed. It returns false when ctx is
	// done.
	awaitNeeded func(context.Context) bool

	// copyFilled is the number of the copy that has been filled so far.
	copyFilled int
	// knownKeys are the keys that the scheduler's copy contains.
	knownKeys map[string]bool
	// revision is the store revision up to which changes have been delivered.
	revision int64
	// synced is false until the prefix has been listed, and again after the store
	// has compacted the history that a watch needs.
	synced bool
	// unreachable is true from a failed read until the next successful one, so
	// that an outage is logged once.
	unreachable bool
}

// run reads the store until ctx is done.
func (m *mirror) run(ctx context.Context) error {
	m.knownKeys = make(map[string]bool)
	for m.awaitNeeded(ctx) {
		changes, err := m.read()
		if err != nil {
			m.recordFailure(err)
			sleep(ctx, readRetryDelay)
			continue
		}
		m.recordSuccess()
		if changes > 0 {
			m.awaitNextRead(ctx)
		}
	}
	return nil
}

func awaitLeaderRead(ctx context.Context) { sleep(ctx, leaderReadInterval) }

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (m *mirror) recordFailure(err error) {
	if errors.Is(err, platform.ErrCompacted) {
		m.health.recordAnswer()
		m.log.Write("store", "history dropped, reading everything again", logrus.Fields{"part": m.name, "after": m.revision})
		m.synced = false
		return
	}
	m.health.recordFailure(m.now())
	if !m.unreachable {
		m.unreachable = true
		m.log.Write("store", "reading lost", logrus.Fields{"part": m.name, "error": err.Error()})
	}
}

func (m *mirror) recordSuccess() {
	m.health.recordAnswer()
	if m.unreachable {
		m.unreachable = false
		m.log.Write("store", "reading regained", logrus.Fields{"part": m.name, "revision": m.revision})
	}
}

// read lists the prefix or waits for changes below it, delivers the items that
// it has read, and returns their number.
func (m *mirror) read() (int, error) {
	if current := m.copyNumber(); current != m.copyFilled {
		m.copyFilled, m.synced = current, false
		clear(m.knownKeys)
	}
	if !m.synced {
		return m.list()
	}
	sentAt := m.now()
	items, revision, err := m.store.Watch(m.prefix, m.revision, m.watchWait(), watchTimeout)
	if errors.Is(err, platform.ErrAnswerTooLarge) {
		m.log.Write("store", "changes too large, reading the newest state instead", logrus.Fields{"part": m.name, "after": m.revision})
		return m.list()
	}
	if err != nil {
		return 0, err
	}
	m.revision = max(m.revision, revision)
	m.deliver(items, sentAt)
	return len(items), nil
}

// list reads all keys of the prefix. Known keys that are no longer present are
// delivered as removed.
func (m *mirror) list() (int, error) {
	sentAt := m.now()
	listing, err := m.store.List(m.prefix, listTimeout)
	if err != nil {
		return 0, err
	}
	present := make(map[string]bool, len(listing.Items))
	for _, item := range listing.Items {
		present[item.Key] = true
	}
	for key := range m.knownKeys {
		if !present[key] {
			listing.Items = append(listing.Items, platform.Item{Key: key, Removed: true, Revision: listing.Revision})
		}
	}
	m.revision, m.synced = listing.Revision, true
	m.deliver(listing.Items, sentAt)
	return len(listing.Items), nil
}

// deliver decodes items and sends the changes to the scheduler. SentAt is when
// the request for the items was sent: the mirror is up to date as of then.
func (m *mirror) deliver(items []platform.Item, sentAt time.Time) {
	changes := make([]scheduler.Change, 0, len(items))
	for _, item := range items {
		if item.Removed {
			delete(m.knownKeys, item.Key)
		} else {
			m.knownKeys[item.Key] = true
		}
		change, err := m.decodeItem(item)
		if err != nil {
			m.log.Write("store", "entry not decoded", logrus.Fields{"key": item.Key, "revision": item.Revision, "error": err.Error()})
		}
		if change != nil {
			changes = append(changes, change)
		}
	}
	m.send(scheduler.Synced{Copy: m.copyFilled, Part: m.part, Changes: changes, Revision: m.revision, SentAt: sentAt})
}

// decodeItem decodes an item. A decoder that fails unexpectedly counts as an error.
func (m *mirror) decodeItem(item platform.Item) (change scheduler.Change, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			change, err = nil, errors.Errorf("decoder failed: %v", cause)
		}
	}()
	return m.decode(item)
}
