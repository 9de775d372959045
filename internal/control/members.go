package control

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/link"
	"github.com/crocusjunction/crocusjunction/internal/platform"
)

// MemberPrefix starts the keys of the members' records. Each is held by a lease
// of its instance.
const MemberPrefix = "member/"

// holdMember renews the lease of the own record. Without a lease it takes a new
// one and writes the record again.
func (r *PlatformRunner) holdMember(ctx context.Context, a fleet.HoldMember) fleet.Event {
	lease := platform.LeaseID(a.Lease)
	if lease != 0 {
		err := r.platform.KeepAlive(ctx, lease)
		if err == nil || !errors.Is(err, platform.ErrLeaseLost) {
			// A lost answer or an outage says nothing about the lease.
			return fleet.MemberHeld{Lease: a.Lease}
		}
	}
	lease, err := r.writeMember(ctx, a.Member)
	if err != nil {
		r.log.WithError(err).Debug("peer: own record not written")
		return fleet.MemberHeld{}
	}
	return fleet.MemberHeld{Lease: uint64(lease)}
}

// writeMember writes the record of the instance under a new lease. It replaces
// the record of an earlier incarnation.
func (r *PlatformRunner) writeMember(ctx context.Context, m link.Member) (platform.LeaseID, error) {
	value, err := json.Marshal(m)
	if err != nil {
		return 0, errors.Wrap(err, "encode member")
	}
	key := MemberPrefix + m.ID
	record, err := r.platform.Get(ctx, key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return 0, err
	}
	lease, err := r.platform.Grant(ctx, fleet.MemberTTL)
	if err != nil {
		return 0, err
	}
	if _, err := r.platform.Swap(ctx, key, record.Version, value, lease); err != nil {
		return 0, err
	}
	return lease, nil
}

func (r *PlatformRunner) listMembers(ctx context.Context) fleet.Event {
	records, err := r.platform.List(ctx, MemberPrefix)
	if err != nil {
		r.log.WithError(err).Debug("peer: members not read")
		return fleet.MembersFailed{}
	}
	var listed fleet.MembersListed
	for _, record := range records {
		var m link.Member
		if err := json.Unmarshal(record.Value, &m); err != nil {
			r.log.WithError(err).Errorf("peer: %s cannot be decoded", record.Key)
			continue
		}
		listed.Members = append(listed.Members, m)
	}
	return listed
}
