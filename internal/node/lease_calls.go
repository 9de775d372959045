package node

import (
	"bytes"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/link/lease"
	"github.com/crocusjunction/crocusjunction/internal/scheduler"
	"github.com/crocusjunction/crocusjunction/platform"
)

// claimLease claims the scheduler's lease. A claim without an answer is sent
// again: the lease ID in the record shows whether an earlier claim was applied.
func (r *runner) claimLease(a scheduler.AcquireLease) scheduler.Event {
	sentAt := r.clock.Now()
	id, ttl, err := r.client.GrantLease(lease.TTL, leaseTimeout)
	if err != nil {
		return scheduler.LeaseRefused{Reason: err.Error()}
	}
	value := encodeJSON(leaderRecord{Holder: r.nodeName, Address: r.address, Process: r.process, Lease: id, CPUShare: r.cpuShare})
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: leaderKey, Revision: a.Replaces}, {Key: epochKey, Revision: a.EpochRevision}},
		Puts: []platform.Put{
			{Key: leaderKey, Value: value, Lease: id},
			{Key: epochKey, Value: []byte(strconv.Itoa(a.Epoch + 1))},
		},
	}
	if a.Replaces != 0 {
		// Stores the replaced holder's epoch as that of a scheduler that released its
		// lease: like such a scheduler, the replaced holder may have sent an order for
		// a machine just before its process ended.
		txn.Puts = append(txn.Puts, platform.Put{Key: releaseKey, Value: []byte(strconv.Itoa(a.Epoch - 1))})
	}
	for range leaseClaimAttempts {
		fence, err := r.client.Write(txn, leaseTimeout)
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			r.revokeReplacedLease(a)
			return scheduler.LeaseGranted{Fence: fence, Lease: id, Epoch: a.Epoch, SentAt: sentAt, TTL: ttl}
		case errors.As(err, &conflict):
			if fence, ok := claimRevision(conflict, value); ok {
				r.revokeReplacedLease(a)
				return scheduler.LeaseGranted{Fence: fence, Lease: id, Epoch: a.Epoch, SentAt: sentAt, TTL: ttl}
			}
			r.logFailure("unused lease not revoked", r.client.RevokeLease(id, leaseTimeout))
			return scheduler.LeaseRefused{Reason: "another node holds the lease"}
		case !errors.Is(err, platform.ErrUnknown):
			return scheduler.LeaseRefused{Reason: err.Error()}
		}
	}
	return scheduler.LeaseRefused{Reason: "the store did not answer the claim"}
}

// revokeReplacedLease revokes the lease of the replaced holder, whose key this
// node has already overwritten. If that process still runs, its next renewal
// fails and it stops scheduling.
func (r *runner) revokeReplacedLease(a scheduler.AcquireLease) {
	if a.Replaces == 0 {
		return
	}
	go func() {
		r.logFailure("lease of the replaced scheduler not revoked", r.client.RevokeLease(a.ReplacedLease, leaseTimeout))
	}()
}

// requestHandover stores the request to the present holder of the lease. Without an
// answer the scheduler asks again later.
func (r *runner) requestHandover(a scheduler.RequestHandover) {
	_, err := r.client.Write(platform.Txn{
		Conditions: []platform.Condition{leaderCondition(a.Fence)},
		Puts:       []platform.Put{{Key: handoverKey, Value: encodeJSON(handoverRecord{a.Fence, r.nodeName})}},
	}, storeTimeout)
	r.logFailure("handover not requested", err)
}

// releaseLease releases the scheduler's lease after it has stored that the
// scheduler of this epoch released it. If that record cannot be stored, the
// lease is not released but expires: a successor that does not find the record
// counts the end of the lease's TTL, in which no order for a machine is sent,
// towards the required gap between the orders of two schedulers.
func (r *runner) releaseLease(a scheduler.ReleaseLease) {
	_, err := r.client.Write(platform.Txn{
		Conditions: []platform.Condition{leaderCondition(a.Fence)},
		Puts:       []platform.Put{{Key: releaseKey, Value: []byte(strconv.Itoa(a.Epoch))}},
	}, storeTimeout)
	if err == nil {
		err = r.client.RevokeLease(a.Lease, storeTimeout)
	}
	r.logFailure("lease not released", err)
}

// claimRevision returns the revision of the lease key if the conflict shows
// that it already holds this claim's value.
func claimRevision(c *platform.ConflictError, value []byte) (int64, bool) {
	for _, item := range c.Items {
		if item.Key == leaderKey && bytes.Equal(item.Value, value) {
			return item.Revision, true
		}
	}
	return 0, false
}

func (r *runner) renewLease(a scheduler.RenewLease) scheduler.Event {
	sentAt := r.clock.Now()
	ttl, err := r.client.KeepAliveLease(a.Lease, leaseTimeout)
	e := scheduler.LeaseRenewed{Lease: a.Lease, SentAt: sentAt, TTL: ttl}
	switch {
	case errors.Is(err, platform.ErrLeaseEnded):
		e.Outcome = scheduler.RenewEnded
	case err != nil:
		e.Outcome = scheduler.RenewUnknown
		r.logFailure("lease not renewed", err)
	}
	return e
}
