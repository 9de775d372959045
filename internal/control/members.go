package control

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/crocusjunction/crocusjunction/internal/fleet"
	"github.com/crocusjunction/crocusjunction/internal/link"
	"github.com/crocusjunction/crocusjunction/internal/platform"
)

// MemberPrefix is the key prefix of the members' records. Each record is
// attached to a lease of its instance and is deleted when the lease ends.
const MemberPrefix = "member/"

// renewMemberRecord renews the lease of the instance's own record. If the
// instance has no lease or has lost it, renewMemberRecord writes the record
// again under a new one.
func (r *PlatformRunner) renewMemberRecord(ctx context.Context, a fleet.RenewMemberRecord) fleet.Event {
	lease := platform.LeaseID(a.Lease)
	if lease != 0 {
		err := r.platform.KeepAlive(ctx, lease)
		if err == nil || !errors.Is(err, platform.ErrLeaseLost) {
			// After a lost answer or during an outage the lease may still exist.
			return fleet.MemberRecordRenewed{Lease: a.Lease}
		}
	}
	lease, err := r.writeMemberRecord(ctx, a.Member)
	if err != nil {
		r.log.WithError(err).Debug("peer: write of this instance's member record failed")
		return fleet.MemberRecordRenewed{}
	}
	return fleet.MemberRecordRenewed{Lease: uint64(lease)}
}

// writeMemberRecord writes the instance's record under a new lease. It replaces
// a record of an earlier incarnation.
func (r *PlatformRunner) writeMemberRecord(ctx context.Context, m link.Member) (platform.LeaseID, error) {
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
		r.log.WithError(err).Debug("peer: read of the member records failed")
		return fleet.MembersFailed{}
	}
	var listed fleet.MembersListed
	for _, record := range records {
		var m link.Member
		if err := json.Unmarshal(record.Value, &m); err != nil {
			r.log.WithError(err).Errorf("peer: cannot decode member record %s", record.Key)
			continue
		}
		listed.Members = append(listed.Members, m)
	}
	return listed
}
