package link

import "time"

// Freshness tracks how recent this process's configuration is. The
// configuration is known to have been the newest one at AsOf. There are three
// kinds of evidence for this: a read of the platform, the answer of a peer, and
// answers of every other data centre during an outage of the platform. A value
// may be copied; traffic goroutines read the copies in snapshots.
//
// Invariant: the process has every change that was accepted before AsOf,
// provided that the evidence given to RecordRead, PeerAnswered and
// DataCentreAnswered is true.
type Freshness struct {
	horizon time.Duration
	asOf    time.Time
	// newestKnown is the highest known revision of any process.
	newestKnown uint64
	// revision is the revision of the configuration that this process has applied.
	revision uint64
	// platformDownSince is when reads of the platform started to fail, the zero
	// time when the last read succeeded.
	platformDownSince time.Time
}

// NewFreshness returns a freshness without evidence.
func NewFreshness(horizon time.Duration) Freshness { return Freshness{horizon: horizon} }

// Horizon returns the greatest age of the configuration at which work may
// start, unless its document accepts a greater one.
func (f *Freshness) Horizon() time.Duration { return f.horizon }

// AsOf returns the latest time at which the configuration is known to have been
// the newest, the zero time when there is none.
func (f *Freshness) AsOf() time.Time { return f.asOf }

// PlatformDown reports whether the last read of the platform failed.
func (f *Freshness) PlatformDown() bool { return !f.platformDownSince.IsZero() }

// Applied records the revision of the configuration that this process has
// applied. A lower revision than the recorded one is ignored.
func (f *Freshness) Applied(revision uint64) {
	f.revision = max(f.revision, revision)
	f.newestKnown = max(f.newestKnown, f.revision)
}

// ObserveRevision records a revision that another process has.
func (f *Freshness) ObserveRevision(revision uint64) { f.newestKnown = max(f.newestKnown, revision) }

// Behind reports whether a newer revision than the process's own is known to
// exist.
func (f *Freshness) Behind() bool { return f.newestKnown > f.revision }

// RecordRead records that the platform answered a read of the head that was sent
// at sentAt, and that the process has applied that head.
func (f *Freshness) RecordRead(sentAt time.Time) {
	f.platformDownSince = time.Time{}
	f.advance(sentAt)
}

// RecordReadFailure records that a read of the platform failed. It returns true
// when this starts an outage, false when one was already recorded.
func (f *Freshness) RecordReadFailure(now time.Time) bool {
	if f.PlatformDown() {
		return false
	}
	f.platformDownSince = now
	return true
}

// PeerAnswered records the answer of a peer to a probe that was sent at sentAt.
// The peer reported its revision and its age: the time since this revision was
// last known to be the newest one. The answer of a peer at a higher revision
// than the process's own does not change AsOf.
func (f *Freshness) PeerAnswered(sentAt time.Time, revision uint64, age time.Duration) {
	f.ObserveRevision(revision)
	if revision <= f.revision && age >= 0 {
		f.advance(sentAt.Add(-age))
	}
}

// advance advances AsOf to at. It ignores an earlier time, since evidence may
// arrive late or out of order.
func (f *Freshness) advance(at time.Time) {
	if at.After(f.asOf) {
		f.asOf = at
	}
}

// Age returns the time from AsOf to now, maxAge without evidence.
func (f *Freshness) Age(now time.Time) time.Duration {
	if f.asOf.IsZero() {
		return maxAge
	}
	return max(now.Sub(f.asOf), 0)
}

// maxAge is the age of a configuration that was never known to be the newest.
// It is the largest Duration.
const maxAge = time.Duration(1<<63 - 1)

// Fresh reports whether the age at now is within the horizon or, when that is
// longer, within bound. A bound beyond the horizon is meant for a data centre
// that is cut off; it does not apply when a newer revision is known to exist.
func (f *Freshness) Fresh(bound time.Duration, now time.Time) bool {
	age := f.Age(now)
	return age <= f.horizon || age <= bound && !f.Behind()
}

// ShouldProbeAll reports whether the age exceeds three quarters of the horizon.
// The process should then read the platform and probe every other data centre
// by itself, instead of relying on the watchers of its data centre.
func (f *Freshness) ShouldProbeAll(now time.Time) bool {
	return f.Age(now) > f.horizon*3/4
}

// OutageEvidence collects the evidence that, since an outage of the platform
// began, an instance of every other data centre has answered that it has no
// newer revision. All changes pass through entry instances, so no newer
// change was accepted before the oldest of the answered probes was sent.
type OutageEvidence struct {
	// answeredAt maps each other data centre to the time at which the last probe
	// that it answered was sent, the zero time for none.
	answeredAt map[string]time.Time
}

// NewOutageEvidence returns an OutageEvidence that requires answers of the named
// data centres.
func NewOutageEvidence(others []string) *OutageEvidence {
	o := &OutageEvidence{answeredAt: make(map[string]time.Time, len(others))}
	for _, dataCentre := range others {
		o.answeredAt[dataCentre] = time.Time{}
	}
	return o
}

// DataCentreAnswered records the answer of an instance of another data centre to a
// probe that was sent at sentAt, and advances f when every data centre has
// answered. Revision is the one that the instance reported.
func (o *OutageEvidence) DataCentreAnswered(f *Freshness, dataCentre string, sentAt time.Time, revision uint64) {
	f.ObserveRevision(revision)
	known, ok := o.answeredAt[dataCentre]
	if !ok || revision > f.revision {
		return
	}
	if sentAt.After(known) {
		o.answeredAt[dataCentre] = sentAt
	}
	o.advanceFreshness(f)
}

// advanceFreshness advances f to the time at which the oldest of the answered
// probes was sent, when the platform is down and every data centre has answered
// a probe sent during the outage. Earlier answers do not count: a change could
// have been accepted at that time without having reached the instance that
// answered. A fleet of one data centre never has this evidence.
func (o *OutageEvidence) advanceFreshness(f *Freshness) {
	if !f.PlatformDown() || len(o.answeredAt) == 0 {
		return
	}
	var oldest time.Time
	for _, at := range o.answeredAt {
		if at.Before(f.platformDownSince) {
			return
		}
		if oldest.IsZero() || at.Before(oldest) {
			oldest = at
		}
	}
	f.advance(oldest)
}
