package node

import (
	"strconv"

	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/link/lease"
	"github.com/crocusjunction/crocusjunction/internal/scheduler"
	"github.com/crocusjunction/crocusjunction/platform"
)

// seek claims the scheduler's lease. Without an answer the same claim is sent
// again: the record's nonce tells whether an earlier one was carried out.
func (r *runner) seek(a scheduler.SeekLease) scheduler.Event {
	sentAt := r.clock.Now()
	id, ttl, err := r.client.GrantLease(lease.TTL, leaseTimeout)
	if err != nil {
		return scheduler.LeaseRefused{Reason: err.Error()}
	}
	value := encodeJSON(leaderRecord{Holder: r.self, Address: r.address, Process: r.process, Lease: id})
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: leaderKey, Revision: a.Replaces}, {Key: epochKey, Revision: a.EpochRevision}},
		Puts: []platform.Put{
			{Key: leaderKey, Value: value, Lease: id},
			{Key: epochKey, Value: []byte(strconv.Itoa(a.Epoch + 1))},
		},
	}
	if a.Replaces != 0 {
		// The replaced holder may have given orders for machines just before, as one
		// does that leaves in order.
		txn.Puts = append(txn.Puts, platform.Put{Key: leftKey, Value: []byte(strconv.Itoa(a.Epoch - 1))})
	}
	for range claimTries {
		fence, err := r.client.Write(txn, leaseTimeout)
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			r.endReplaced(a)
			return scheduler.LeaseGranted{Fence: fence, Lease: id, Epoch: a.Epoch, SentAt: sentAt, TTL: ttl}
		case errors.As(err, &conflict):
			if fence, ok := ownClaim(conflict, value); ok {
				r.endReplaced(a)
				return scheduler.LeaseGranted{Fence: fence, Lease: id, Epoch: a.Epoch, SentAt: sentAt, TTL: ttl}
			}
			r.report("unused lease not given up", r.client.EndLease(id, leaseTimeout))
			return scheduler.LeaseRefused{Reason: "another node holds the lease"}
		case !errors.Is(err, platform.ErrUnknown):
			return scheduler.LeaseRefused{Reason: err.Error()}
		}
	}
	return scheduler.LeaseRefused{Reason: "the store has not answered the claim"}
}

// endReplaced ends the lease of a holder that was replaced. Its key is gone
// already; without its lease it stops at the next renewal, should it run on.
func (r *runner) endReplaced(a scheduler.SeekLease) {
	if a.Replaces == 0 {
		return
	}
	r.flight.Go(func() {
		r.report("lease of the replaced scheduler not ended", r.client.EndLease(a.ReplacedLease, leaseTimeout))
	})
}

// endLease gives the lease up. Unless the record that says so is stored, the
// lease is left to lapse: a successor then keeps the longer distance.
func (r *runner) endLease(a scheduler.EndLease) {
	_, err := r.client.Write(platform.Txn{
		Conditions: []platform.Condition{leaderCondition(a.Fence)},
		Puts:       []platform.Put{{Key: leftKey, Value: []byte(strconv.Itoa(a.Epoch))}},
	}, storeTimeout)
	if err == nil {
		err = r.client.EndLease(a.Lease, storeTimeout)
	}
	r.report("lease not given up", err)
}

func ownClaim(c *platform.ConflictError, value []byte) (int64, bool) {
	for _, item := range c.Items {
		if item.Key == leaderKey && sameValue(item, value) {
			return item.Revision, true
		}
	}
	return 0, false
}

func (r *runner) renew(a scheduler.RenewLease) scheduler.Event {
	sentAt := r.clock.Now()
	ttl, err := r.client.KeepLease(a.Lease, leaseTimeout)
	e := scheduler.LeaseRenewed{Lease: a.Lease, SentAt: sentAt, TTL: ttl}
	switch {
	case errors.Is(err, platform.ErrLeaseEnded):
		e.Outcome = scheduler.RenewEnded
	case err != nil:
		e.Outcome = scheduler.RenewUnknown
		r.report("lease not renewed", err)
	}
	return e
}
