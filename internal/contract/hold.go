package contract

import (
	"sort"
	"time"
)

// HolderRecord is the platform's value of holder/<instance>. The record of one
// incarnation is overwritten only by itself or by a later incarnation.
type HolderRecord struct {
	Holder Holder `json:"holder" cbor:"holder"`
	// Counter grows by one with each renewal.
	Counter uint64 `json:"counter" cbor:"counter"`
	// Former lists earlier incarnations whose slots have not been reclaimed yet.
	Former []uint64 `json:"former,omitempty" cbor:"former,omitempty"`
	// DataCentre is the holder's data centre. Address is the address at which
	// peers reach the holder.
	DataCentre string `json:"datacentre" cbor:"datacentre"`
	Address    string `json:"address" cbor:"address"`
}

// Replace returns the record to write when next overwrites r, and false when r
// belongs to a later incarnation. An incarnation that next replaces is added to
// Former.
func (r *HolderRecord) Replace(next HolderRecord) (HolderRecord, bool) {
	if r.Holder.Incarnation > next.Holder.Incarnation {
		return *r, false
	}
	if r.Holder.Incarnation == next.Holder.Incarnation || r.Holder.Instance == "" {
		return next, true
	}
	former := append([]uint64{r.Holder.Incarnation}, r.Former...)
	for _, known := range next.Former {
		if !hasIncarnation(former, known) {
			former = append(former, known)
		}
	}
	next.Former = former
	return next, true
}

// RemoveFormer returns the record without the given former incarnation, and
// whether the record listed it.
func (r *HolderRecord) RemoveFormer(former Holder) (HolderRecord, bool) {
	next := *r
	next.Former = nil
	for _, incarnation := range r.Former {
		if r.Holder.Instance != former.Instance || incarnation != former.Incarnation {
			next.Former = append(next.Former, incarnation)
		}
	}
	return next, len(next.Former) != len(r.Former)
}

func hasIncarnation(list []uint64, incarnation uint64) bool {
	for _, known := range list {
		if known == incarnation {
			return true
		}
	}
	return false
}

// Hold is the process's own lease on its slots. It expires unless it is renewed
// on the platform.
type Hold struct {
	record     HolderRecord
	terms      LimitTerms
	validUntil time.Time
	// inFlight is true while a renewal is unanswered.
	inFlight bool
	// nextRenewalAt is when the next renewal is due.
	nextRenewalAt time.Time
	// superseded is true once a renewal was refused because the platform has the
	// record of a later incarnation.
	superseded bool
}

// renewRetryDelay is the delay before a failed renewal is retried.
const renewRetryDelay = 2 * time.Second

// NewHold returns a hold that becomes valid with its first renewal.
func NewHold(holder Holder, dataCentre, address string, terms LimitTerms) *Hold {
	record := HolderRecord{Holder: holder, DataCentre: dataCentre, Address: address}
	return &Hold{record: record, terms: terms}
}

// Holder returns the present identity of the holder.
func (h *Hold) Holder() Holder { return h.record.Holder }

// FormerHolders returns the earlier identities whose slots have not been
// reclaimed yet.
func (h *Hold) FormerHolders() []Holder {
	list := make([]Holder, 0, len(h.record.Former))
	for _, incarnation := range h.record.Former {
		list = append(list, Holder{Instance: h.record.Holder.Instance, Incarnation: incarnation})
	}
	return list
}

// Valid reports whether the holder may start work at now.
func (h *Hold) Valid(now time.Time) bool { return now.Before(h.validUntil) }

// ValidUntil returns the end of the hold.
func (h *Hold) ValidUntil() time.Time { return h.validUntil }

// InFlight reports whether a renewal is unanswered.
func (h *Hold) InFlight() bool { return h.inFlight }

// Superseded reports whether a renewal was refused in favour of a later
// incarnation of the instance. The hold is no longer renewed.
func (h *Hold) Superseded() bool { return h.superseded }

// NextRenewalAt returns when the next renewal is due.
func (h *Hold) NextRenewalAt() time.Time { return h.nextRenewalAt }

// Renew returns the record to write, and false when no renewal is due. The
// caller reports the outcome to RecordRenewal, RecordFailure or RecordRefusal.
func (h *Hold) Renew(now time.Time) (HolderRecord, bool) {
	if h.inFlight || h.superseded || now.Before(h.nextRenewalAt) {
		return HolderRecord{}, false
	}
	h.inFlight = true
	h.nextRenewalAt = now.Add(h.terms.RenewPeriod)
	h.record.Counter++
	return h.record, true
}

// RecordRenewal extends the hold by a renewal that was sent at sentAt and wrote
// the given record. It returns true when the hold had already expired at now:
// the slots may have been reclaimed, so the holder continues as a new
// incarnation, which must renew before its hold is valid.
func (h *Hold) RecordRenewal(now, sentAt time.Time, written HolderRecord) (expired bool) {
	h.inFlight = false
	if written.Holder != h.record.Holder {
		return false
	}
	h.record.Former = written.Former
	first := h.validUntil.IsZero()
	if !first && !now.Before(h.validUntil) {
		h.nextIncarnation(now)
		return true
	}
	h.validUntil = sentAt.Add(h.terms.HoldPeriod)
	return false
}

// nextIncarnation gives the holder a new identity, without slots and without a
// valid hold.
func (h *Hold) nextIncarnation(now time.Time) {
	h.record.Former = append([]uint64{h.record.Holder.Incarnation}, h.record.Former...)
	h.record.Holder.Incarnation++
	h.record.Counter = 0
	h.validUntil = time.Time{}
	h.nextRenewalAt = now
}

// RecordFailure records that a renewal failed or that its outcome is unknown.
// It is retried after renewRetryDelay.
func (h *Hold) RecordFailure(now time.Time) {
	h.inFlight = false
	h.nextRenewalAt = now.Add(renewRetryDelay)
}

// RecordRefusal records that a renewal was refused because the platform has the
// record of a later incarnation. The hold stays valid until it expires and is
// not renewed.
func (h *Hold) RecordRefusal() {
	h.inFlight = false
	h.superseded = true
}

// RemoveFormer removes the former incarnations whose slots have been reclaimed.
func (h *Hold) RemoveFormer(reclaimed []Holder) {
	kept := h.record.Former[:0:0]
	for _, incarnation := range h.record.Former {
		if !contains(reclaimed, Holder{Instance: h.record.Holder.Instance, Incarnation: incarnation}) {
			kept = append(kept, incarnation)
		}
	}
	h.record.Former = kept
}

// HolderWatch detects expired holders by how long their renewal counters stay
// unchanged. It relies only on this process's own reads and clock.
type HolderWatch struct {
	terms LimitTerms
	// records are the records of the last read, by instance.
	records      map[string]HolderRecord
	observations map[Holder]observation
	// lastReadAt is when the last read was answered.
	lastReadAt time.Time
}

// observation is a renewal counter and the time since which it has not changed.
type observation struct {
	counter uint64
	since   time.Time
}

// NewHolderWatch returns a watch without observations.
func NewHolderWatch(terms LimitTerms) *HolderWatch {
	return &HolderWatch{terms: terms, records: make(map[string]HolderRecord), observations: make(map[Holder]observation)}
}

// maxObservationGap is the longest time between two reads, in renewal periods,
// across which the observation continues. A process that was paused or cut off
// for longer starts its observations again, which gives the holders time to
// renew.
const maxObservationGap = 3

// Observe records a read of all holder records that was sent at sentAt and
// answered at now. It returns the holders whose slots may be reclaimed, ordered
// by instance and incarnation.
//
// A counter counts as unchanged from the answer of the first read that returned
// it to the sending of the last one: its renewal was written before the first
// answer, and no later renewal took effect before the last read was sent.
func (w *HolderWatch) Observe(now, sentAt time.Time, records []HolderRecord) []Holder {
	if !w.lastReadAt.IsZero() && now.Sub(w.lastReadAt) > maxObservationGap*w.terms.RenewPeriod {
		w.Reset()
	}
	w.lastReadAt = now
	w.records = make(map[string]HolderRecord, len(records))
	next := make(map[Holder]observation, len(records))
	for _, r := range records {
		w.records[r.Holder.Instance] = r
		w.carryOver(next, now, r.Holder, r.Counter)
		for _, incarnation := range r.Former {
			w.carryOver(next, now, Holder{Instance: r.Holder.Instance, Incarnation: incarnation}, 0)
		}
	}
	w.observations = next
	return w.expired(sentAt)
}

// carryOver adds the observation of a holder to next. It keeps the known one if
// the counter has not changed. A former incarnation cannot renew, so its
// counter is given as 0.
func (w *HolderWatch) carryOver(next map[Holder]observation, now time.Time, h Holder, counter uint64) {
	if known, ok := w.observations[h]; ok && known.counter == counter {
		next[h] = known
		return
	}
	next[h] = observation{counter: counter, since: now}
}

// expired returns the holders whose counter was unchanged for ReclaimAfter when
// the last read was sent, ordered by instance and incarnation.
func (w *HolderWatch) expired(sentAt time.Time) []Holder {
	var list []Holder
	for h, o := range w.observations {
		if sentAt.Sub(o.since) >= w.terms.ReclaimAfter() {
			list = append(list, h)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].less(list[j]) })
	return list
}

// Reset drops all observations, so that every holder is observed for
// ReclaimAfter again. The records of the last read are kept: loan requests need
// the addresses in them.
func (w *HolderWatch) Reset() { w.observations = make(map[Holder]observation) }

// Record returns the record of an instance in the last read.
func (w *HolderWatch) Record(instance string) (HolderRecord, bool) {
	r, ok := w.records[instance]
	return r, ok
}

// Unchanged returns how long the counter of h was unchanged at the last read, 0
// for a holder that is not observed.
func (w *HolderWatch) Unchanged(h Holder) time.Duration {
	o, ok := w.observations[h]
	if !ok {
		return 0
	}
	return w.lastReadAt.Sub(o.since)
}

// Rank returns the number of instances with a lower id whose holder is not
// among the expired ones. Instances reclaim in the order of their rank, so that
// they do not write the same records at the same time.
func (w *HolderWatch) Rank(instance string, expired []Holder) int {
	rank := 0
	for id, r := range w.records {
		if id < instance && !contains(expired, r.Holder) {
			rank++
		}
	}
	return rank
}
