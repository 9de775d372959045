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

// Times of claims.
const (
	// claimLeasePeriod is how long new claims use one lease. With a lease for
	// each claim, a keyed request would cost one more write.
	claimLeasePeriod = 10 * time.Minute
	// claimLeaseTTL lets every claim live for the retention. The lease is never
	// kept alive, so that claims end without a further write.
	claimLeaseTTL = contract.ClaimRetention + claimLeasePeriod
	// claimWatchWait bounds one wait for the end of a request that runs for
	// another call.
	claimWatchWait = 5 * time.Second
	// claimFinishTimeout bounds the write of the end. The caller waits for it.
	claimFinishTimeout = 2 * time.Second
	// orphanTimeout bounds the removal of a claim that was never used.
	orphanTimeout = 2 * time.Minute
	orphanPause   = time.Second
)

// HeldClaim is a claim that this process made.
type HeldClaim struct {
	Name    string
	Claim   contract.Claim
	version platform.Version
}

// Claims makes the claims of caller-chosen idempotency keys in the platform. It
// is safe for concurrent use.
type Claims struct {
	store platform.Store
	clock func() time.Time
	log   *logrus.Entry
	calls atomic.Int64

	// turn holds one value while a call reads or grants the lease. A channel
	// rather than a mutex lets others give up at their deadline meanwhile.
	turn       chan struct{}
	lease      platform.LeaseID
	leaseUntil time.Time
	removals   sync.WaitGroup
}

// NewClaims returns claims in s.
func NewClaims(s platform.Store, clock func() time.Time, log *logrus.Entry) *Claims {
	return &Claims{store: s, clock: clock, log: log, turn: make(chan struct{}, 1)}
}

// Calls returns the number of platform calls so far.
func (c *Claims) Calls() int64 { return c.calls.Load() }

// Claim claims name for own. RunStart means that the caller holds the claim, may
// run the request once and must call Finish. While another call runs it, Claim
// waits for the end until ctx ends. An error means that nothing is known and
// that the request must not run.
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
			return held, contract.Run{Kind: contract.RunStart}, nil
		}
		if errors.Is(err, platform.ErrConflict) {
			run, version, known := c.meet(ctx, name, own)
			if known {
				held.version = version
				return held, run, nil
			}
			err = errors.New("the claim could not be read")
		}
		maybeWritten = maybeWritten || errors.Is(err, platform.ErrUnknown)
		if errors.Is(err, platform.ErrUnavailable) && !maybeWritten || !pause(ctx, changePause) {
			if maybeWritten {
				c.removeOrphan(held)
			}
			return held, contract.Run{}, errors.Wrap(err, "claim of the idempotency key")
		}
	}
}

// create writes the claim unless the key exists.
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

// meet reads the claim that exists and waits while its request is running. It
// returns false when the claim is gone or could not be read.
func (c *Claims) meet(ctx context.Context, name string, own contract.Claim) (contract.Run, platform.Version, bool) {
	c.calls.Add(1)
	record, err := c.store.Get(ctx, name)
	for err == nil && record.Version != 0 {
		var claim contract.Claim
		if err := json.Unmarshal(record.Value, &claim); err != nil {
			return contract.Run{Kind: contract.RunUnknown, Reason: "the claim cannot be decoded"}, 0, true
		}
		run := claim.Meet(own)
		left := c.untilEnd(ctx)
		if run.Kind != contract.RunRunning || left <= 0 {
			return run, record.Version, true
		}
		c.calls.Add(1)
		next, watchErr := c.store.Watch(ctx, name, record.Version, min(left, claimWatchWait))
		if watchErr != nil {
			// The claim was seen, so the request may be running whatever the
			// state of the platform is now.
			if !pause(ctx, changePause) {
				return run, record.Version, true
			}
			continue
		}
		record = next
	}
	return contract.Run{}, 0, false
}

func (c *Claims) untilEnd(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return deadline.Sub(c.clock())
	}
	return claimWatchWait
}

// Finish records the end of the request. A request that did not run gives its
// key free. When the write fails, repeats get "unknown".
func (c *Claims) Finish(ctx context.Context, held HeldClaim, run contract.Run) {
	ctx, cancel := context.WithTimeout(ctx, claimFinishTimeout)
	defer cancel()
	for {
		err := c.finish(ctx, held, run)
		// A conflict after a lost answer means that the write took effect, since
		// nobody else writes to a held claim.
		if err == nil || errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound) {
			return
		}
		if !pause(ctx, changePause) {
			c.log.WithError(err).Warnf("traffic: end of %s not recorded, repeats get unknown", held.Name)
			return
		}
	}
}

func (c *Claims) finish(ctx context.Context, held HeldClaim, run contract.Run) error {
	c.calls.Add(1)
	if run.Kind == contract.RunNotRun {
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

// currentLease returns the lease for claims made now.
func (c *Claims) currentLease(ctx context.Context) (platform.LeaseID, error) {
	select {
	case c.turn <- struct{}{}:
	case <-ctx.Done():
		return 0, errors.Wrap(platform.ErrUnavailable, "wait for the lease for claims")
	}
	defer func() { <-c.turn }()
	now := c.clock()
	if c.lease != 0 && now.Before(c.leaseUntil) {
		return c.lease, nil
	}
	c.calls.Add(1)
	id, err := c.store.Grant(ctx, claimLeaseTTL)
	if errors.Is(err, platform.ErrUnknown) {
		// A lease whose id is unknown holds no key; it lapses by itself.
		return 0, errors.Wrap(platform.ErrUnavailable, "grant of the lease for claims")
	}
	if err != nil {
		return 0, err
	}
	c.lease, c.leaseUntil = id, now.Add(claimLeasePeriod)
	return id, nil
}

func (c *Claims) dropLease(id platform.LeaseID) {
	c.turn <- struct{}{}
	defer func() { <-c.turn }()
	if c.lease == id {
		c.lease = 0
	}
}

// removeOrphan removes, in the background, a claim that may have been written
// although its request was refused. Otherwise repeats of a request that never
// ran would get "unknown".
func (c *Claims) removeOrphan(held HeldClaim) {
	c.removals.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), orphanTimeout)
		defer cancel()
		for pause(ctx, orphanPause) {
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
