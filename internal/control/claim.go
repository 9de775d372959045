package control

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/crocusjunction/crocusjunction/internal/contract"
	"github.com/crocusjunction/crocusjunction/internal/platform"
)

// Lease periods and timeouts of claims.
const (
	// claimLeasePeriod is how long new claims share one lease. A lease for each
	// claim would cost every keyed request one more write.
	claimLeasePeriod = 10 * time.Minute
	// claimLeaseTTL keeps every claim stored for at least contract.ClaimRetention.
	// The lease is never renewed, so claims expire without a further write.
	claimLeaseTTL = contract.ClaimRetention + claimLeasePeriod
	// claimWatchWait bounds one watch for the end of a request that another call
	// is running.
	claimWatchWait = 5 * time.Second
	// claimFinishTimeout bounds the write that records a request's result. The
	// caller waits for that write.
	claimFinishTimeout = 2 * time.Second
	// orphanTimeout bounds the removal of a claim whose request was refused.
	orphanTimeout    = 2 * time.Minute
	orphanRetryDelay = time.Second
)

// HeldClaim is a claim that this process created and has to finish.
type HeldClaim struct {
	Name    string
	Claim   contract.Claim
	version platform.Version
}

// Claims stores claims of caller-chosen idempotency keys in the platform, so
// that at most one call runs the request of a key. It is safe for concurrent
// use.
type Claims struct {
	store platform.Store
	clock func() time.Time
	log   *logrus.Entry
	calls atomic.Int64

	// leaseSem is a semaphore of size one that guards lease and leaseUsableUntil.
	// Unlike a mutex, a channel lets a caller stop waiting when its context ends.
	leaseSem         chan struct{}
	lease            platform.LeaseID
	leaseUsableUntil time.Time
	removals         sync.WaitGroup
}

// NewClaims returns a Claims that stores its records in s.
func NewClaims(s platform.Store, clock func() time.Time, log *logrus.Entry) *Claims {
	return &Claims{store: s, clock: clock, log: log, leaseSem: make(chan struct{}, 1)}
}

// Calls returns the number of platform calls made so far.
func (c *Claims) Calls() int64 { return c.calls.Load() }

// Claim tries to store own under name. If the returned run's state is RunStart,
// the caller holds the claim, may run the request once and must call Finish.
// While another call is running the request, Claim waits for its result until
// ctx ends. After an error the state of the key is unknown and the caller must
// not run the request.
func (c *Claims) Claim(ctx context.Context, name string, own contract.Claim) (HeldClaim, contract.Run, error) {
	held := HeldClaim{Name: name, Claim: own}
	value, err := json.Marshal(own)
	if err != nil {
		return held, contract.Run{}, errors.Wrap(err, "encode claim")
	}
	maybeWritten := false
	for {
		held.version, err = c.create(ctx, name, value)
		if err == nil {
			return held, contract.Run{State: contract.RunStart}, nil
		}
		if errors.Is(err, platform.ErrConflict) {
			run, version, found := c.awaitExisting(ctx, name, own)
			if found {
				held.version = version
				return held, run, nil
			}
			err = errors.New("read of the existing claim failed")
		}
		maybeWritten = maybeWritten || errors.Is(err, platform.ErrOutcomeUnknown)
		if errors.Is(err, platform.ErrUnavailable) && !maybeWritten || !sleep(ctx, changeRetryDelay) {
			if maybeWritten {
				c.removeOrphan(held)
			}
			return held, contract.Run{}, errors.Wrap(err, "claim idempotency key")
		}
	}
}

// create writes the claim under the shared lease. It returns ErrConflict when
// the key exists.
func (c *Claims) create(ctx context.Context, name string, value []byte) (platform.Version, error) {
	lease, err := c.currentLease(ctx)
	if err != nil {
		return 0, err
	}
	c.calls.Add(1)
	version, err := c.store.Swap(ctx, name, 0, value, lease)
	if errors.Is(err, platform.ErrLeaseLost) {
		c.dropLease(lease)
	}
	return version, err
}

// awaitExisting reads the existing claim and waits while its request is
// running. It returns false when the claim no longer exists or cannot be read.
func (c *Claims) awaitExisting(ctx context.Context, name string, own contract.Claim) (contract.Run, platform.Version, bool) {
	c.calls.Add(1)
	record, err := c.store.Get(ctx, name)
	for err == nil && record.Version != 0 {
		var claim contract.Claim
		if err := json.Unmarshal(record.Value, &claim); err != nil {
			return contract.Run{State: contract.RunUnknown, Reason: "the claim cannot be decoded"}, 0, true
		}
		run := claim.StateFor(own)
		left := c.timeLeft(ctx)
		if run.State != contract.RunRunning || left <= 0 {
			return run, record.Version, true
		}
		c.calls.Add(1)
		next, watchErr := c.store.Watch(ctx, name, record.Version, min(left, claimWatchWait))
		if watchErr != nil {
			// The last read showed a running request, and a failed watch does
			// not prove that it has ended.
			if !sleep(ctx, changeRetryDelay) {
				return run, record.Version, true
			}
			continue
		}
		record = next
	}
	return contract.Run{}, 0, false
}

func (c *Claims) timeLeft(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return deadline.Sub(c.clock())
	}
	return claimWatchWait
}

// Finish records the result of the request, or deletes the claim when the
// request did not run. If no write succeeds within claimFinishTimeout, later
// calls with the same key get "unknown".
func (c *Claims) Finish(ctx context.Context, held HeldClaim, run contract.Run) {
	ctx, cancel := context.WithTimeout(ctx, claimFinishTimeout)
	defer cancel()
	for {
		err := c.tryFinish(ctx, held, run)
		// Only the holder writes to its claim, so a conflict means that an
		// earlier attempt whose answer was lost took effect.
		if err == nil || errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound) {
			return
		}
		if !sleep(ctx, changeRetryDelay) {
			c.log.WithError(err).Warnf("traffic: result of %s not recorded, later calls with its key get unknown", held.Name)
			return
		}
	}
}

func (c *Claims) tryFinish(ctx context.Context, held HeldClaim, run contract.Run) error {
	c.calls.Add(1)
	if run.State == contract.RunNotRun {
		return c.store.Delete(ctx, held.Name, held.version)
	}
	value, err := json.Marshal(held.Claim.End(run))
	if err != nil {
		return err
	}
	lease, err := c.currentLease(ctx)
	if err != nil {
		return err
	}
	_, err = c.store.Swap(ctx, held.Name, held.version, value, lease)
	if errors.Is(err, platform.ErrLeaseLost) {
		c.dropLease(lease)
	}
	return err
}

// currentLease returns the lease that claims share, and grants a new one when
// the current one is older than claimLeasePeriod.
func (c *Claims) currentLease(ctx context.Context) (platform.LeaseID, error) {
	select {
	case c.leaseSem <- struct{}{}:
	case <-ctx.Done():
		return 0, errors.Wrap(platform.ErrUnavailable, "wait for the claim lease")
	}
	defer func() { <-c.leaseSem }()
	now := c.clock()
	if c.lease != 0 && now.Before(c.leaseUsableUntil) {
		return c.lease, nil
	}
	c.calls.Add(1)
	id, err := c.store.Grant(ctx, claimLeaseTTL)
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		// No key is attached to a lease whose id was lost, and it expires by
		// itself.
		return 0, errors.Wrap(platform.ErrUnavailable, "grant claim lease")
	}
	if err != nil {
		return 0, err
	}
	c.lease, c.leaseUsableUntil = id, now.Add(claimLeasePeriod)
	return id, nil
}

func (c *Claims) dropLease(id platform.LeaseID) {
	c.leaseSem <- struct{}{}
	defer func() { <-c.leaseSem }()
	if c.lease == id {
		c.lease = 0
	}
}

// removeOrphan deletes, in the background, a claim that may have been written
// although its request was refused. Without the deletion, later calls with the
// same key would get "unknown" for a request that never ran.
func (c *Claims) removeOrphan(held HeldClaim) {
	c.removals.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), orphanTimeout)
		defer cancel()
		for sleep(ctx, orphanRetryDelay) {
			c.calls.Add(1)
			record, err := c.store.Get(ctx, held.Name)
			if errors.Is(err, platform.ErrNotFound) {
				return
			}
			var claim contract.Claim
			if err != nil || json.Unmarshal(record.Value, &claim) != nil {
				continue
			}
			if claim.Nonce != held.Claim.Nonce {
				return
			}
			c.calls.Add(1)
			if c.store.Delete(ctx, held.Name, record.Version) == nil {
				return
			}
		}
	})
}
