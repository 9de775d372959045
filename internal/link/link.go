package link

import "time"

// SilentAfter is how long the exchanges with a peer must fail before the peer
// counts as silent. It tolerates a lost packet, and is below the freshness
// horizon of 4 s, so that another instance starts to watch the platform in
// time.
const SilentAfter = 3 * time.Second

// Link is the state of the link from this process to one member. It is owned by
// the control thread.
type Link struct {
	Member Member
	// Revision is the highest configuration revision that the peer has reported
	// in its present incarnation.
	Revision uint64
	// RoundTrip is the round-trip time of the last answered exchange.
	RoundTrip time.Duration
	// HeardAt is when the last message or answer of the peer arrived, the zero
	// time before the first.
	HeardAt time.Time
	// MemberDigest is the Membership.Digest that the peer last reported.
	MemberDigest uint32
	// failingSince is when the first exchange failed after the last message or
	// answer of the peer, the zero time when none has failed.
	failingSince time.Time
	// membersSentAt is when the list of members was last sent to the peer.
	membersSentAt time.Time
}

// Answered records the answer to an exchange that was sent at sentAt. Revision
// is the configuration revision that the peer reported.
func (l *Link) Answered(sentAt, now time.Time, revision uint64) {
	l.RoundTrip = now.Sub(sentAt)
	l.recordContact(now, revision)
}

// RecordFailure records that an exchange got no answer.
func (l *Link) RecordFailure(now time.Time) {
	if l.failingSince.IsZero() {
		l.failingSince = now
	}
}

// Silent reports whether all exchanges have failed for SilentAfter.
func (l *Link) Silent(now time.Time) bool {
	return !l.failingSince.IsZero() && now.Sub(l.failingSince) >= SilentAfter
}

// recordContact records a message or an answer of the peer.
func (l *Link) recordContact(now time.Time, revision uint64) {
	l.HeardAt = now
	l.failingSince = time.Time{}
	l.Revision = max(l.Revision, revision)
}

// resetTo resets the link for a later incarnation of the peer.
func (l *Link) resetTo(m Member) { *l = Link{Member: m} }
