package link

import "time"

// Freshness is what a process knows about how recent its configuration is. The
// configuration is known to have been the newest one at AsOf. A value may be
// copied; copies in snapshots are read by traffic goroutines.
//
// Invariant: no change was accepted before AsOf that the process lacks, as far
// as the evidence of Read, PeerAnswered and CentreAnswered goes.
type Freshness struct {
	horizon time.Duration
	asOf    time.Time
	// newest is the highest revision that the process has heard of.
	newest uint64
	// revision is the process's own revision.
	revision uint64
	// downSince is when a read of the platform failed, the zero time since one
	// succeeded.
	downSince time.Time
}

// NewFreshness returns a freshness without any evidence.
func NewFreshness(horizon time.Duration) Freshness { return Freshness{horizon: horizon} }

// Horizon returns the greatest age at which work may start.
func (f *Freshness) Horizon() time.Duration { return f.horizon }

// AsOf returns the latest time at which the configuration was known to be the
// newest, the zero time when it never was.
func (f *Freshness) AsOf() time.Time { return f.asOf }

// PlatformDown reports whether the last read of the platform failed.
func (f *Freshness) PlatformDown() bool { return !f.downSince.IsZero() }

// Applied notes the process's own revision, which never goes down.
func (f *Freshness) Applied(revision uint64) {
	f.revision = max(f.revision, revision)
	f.newest = max(f.newest, f.revision)
}

// HeardOf notes a revision that some process holds.
func (f *Freshness) HeardOf(revision uint64) { f.newest = max(f.newest, revision) }

// Behind reports whether a newer revision than the process's own exists.
func (f *Freshness) Behind() bool { return f.newest > f.revision }

// Read takes evidence (a): the platform answered a read of the head that was
// sent at sentAt, and the process has applied that head.
func (f *Freshness) Read(sentAt time.Time) {
	f.downSince = time.Time{}
	f.renew(sentAt)
}

// ReadFailed notes that a read of the platform failed, and reports whether the
// platform counted as reachable until now.
func (f *Freshness) ReadFailed(now time.Time) bool {
	if f.PlatformDown() {
		return false
	}
	f.downSince = now
	return true
}

// PeerAnswered takes evidence (b): the answer to a probe that was sent at
// sentAt says that the peer's configuration at revision was known to be the
// newest age ago. A peer at a higher revision proves nothing about the own one.
func (f *Freshness) PeerAnswered(sentAt time.Time, revision uint64, age time.Duration) {
	f.HeardOf(revision)
	if revision <= f.revision && age >= 0 {
		f.renew(sentAt.Add(-age))
	}
}

// renew never moves AsOf back: evidence may arrive late or out of order.
func (f *Freshness) renew(at time.Time) {
	if at.After(f.asOf) {
		f.asOf = at
	}
}

// Age returns how old the configuration may be at now.
func (f *Freshness) Age(now time.Time) time.Duration {
	if f.asOf.IsZero() {
		return maxAge
	}
	return max(now.Sub(f.asOf), 0)
}

// maxAge stands for a configuration that was never known to be the newest.
const maxAge = time.Duration(1<<63 - 1)

// Fresh reports whether the age is within the horizon or, when that is longer,
// within bound. A process that knows of a newer revision gets no bound beyond
// the horizon: the bound is meant for a data centre that is cut off.
func (f *Freshness) Fresh(bound time.Duration, now time.Time) bool {
	age := f.Age(now)
	return age <= f.horizon || age <= bound && !f.Behind()
}

// Seeks reports whether the process should gather evidence by itself, from the
// platform and from every other data centre, instead of relying on the core of
// its data centre.
func (f *Freshness) Seeks(now time.Time) bool {
	return f.Age(now) > f.horizon*3/4
}

// Outage collects evidence (c): while the platform is down, an instance of
// every other data centre has answered that it has no newer revision. All
// changes pass through entry instances, so none was accepted.
type Outage struct {
	answered map[string]time.Time
}

// NewOutage returns an evidence that waits for the data centres named.
func NewOutage(others []string) *Outage {
	o := &Outage{answered: make(map[string]time.Time, len(others))}
	for _, centre := range others {
		o.answered[centre] = time.Time{}
	}
	return o
}

// CentreAnswered notes the answer of an instance of another data centre to a
// probe that was sent at sentAt, and renews f when every data centre has
// answered.
func (o *Outage) CentreAnswered(f *Freshness, centre string, sentAt time.Time, revision uint64) {
	f.HeardOf(revision)
	known, ok := o.answered[centre]
	if !ok || revision > f.revision {
		return
	}
	if sentAt.After(known) {
		o.answered[centre] = sentAt
	}
	o.renew(f)
}

// renew counts the evidence while the platform is down. The oldest answer sets
// the time. Answers to probes from before the outage do not count: a change
// could have been accepted then and not yet have reached the instance that
// answered. A fleet of one data centre never gets this evidence.
func (o *Outage) renew(f *Freshness) {
	if !f.PlatformDown() || len(o.answered) == 0 {
		return
	}
	var oldest time.Time
	for _, at := range o.answered {
		if at.Before(f.downSince) {
			return
		}
		if oldest.IsZero() || at.Before(oldest) {
			oldest = at
		}
	}
	f.renew(oldest)
}
