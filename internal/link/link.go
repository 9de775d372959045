package link

import "time"

// SilentAfter is how long a peer's exchanges must fail before it counts as
// silent. One lost packet is not enough; it stays below the freshness horizon
// of 4 s, so that another peer takes over the watch in time.
const SilentAfter = 3 * time.Second

// Link is what one process knows of another one. It is owned by the control
// thread.
type Link struct {
	Member Member
	// Revision is the highest configuration revision that the peer reported in
	// its present incarnation.
	Revision uint64
	// RoundTrip is the time that the last answered exchange took.
	RoundTrip time.Duration
	// HeardAt is when the last message or answer of the peer arrived, the zero
	// time when none did.
	HeardAt time.Time
	// MemberDigest is the digest of the members that the peer knew last.
	MemberDigest uint32
	// failingSince is when the first exchange after the last sign of life
	// failed.
	failingSince time.Time
	// membersSentAt is when the peer was last sent the list of members.
	membersSentAt time.Time
}

// Answered notes an answer to an exchange that was sent at sentAt.
func (l *Link) Answered(sentAt, now time.Time, revision uint64) {
	l.RoundTrip = now.Sub(sentAt)
	l.heard(now, revision)
}

// Failed notes that an exchange got no answer.
func (l *Link) Failed(now time.Time) {
	if l.failingSince.IsZero() {
		l.failingSince = now
	}
}

// Silent reports whether the peer has not answered for SilentAfter.
func (l *Link) Silent(now time.Time) bool {
	return !l.failingSince.IsZero() && now.Sub(l.failingSince) >= SilentAfter
}

// heard notes a sign of life.
func (l *Link) heard(now time.Time, revision uint64) {
	l.HeardAt = now
	l.failingSince = time.Time{}
	l.Revision = max(l.Revision, revision)
}

// replace starts over with a later incarnation of the peer.
func (l *Link) replace(m Member) { *l = Link{Member: m} }
