package contract

import (
	"sort"
	"time"
)

// HolderRecord is the platform's value of holder/<instance>. Only a higher
// incarnation replaces the record of another one.
type HolderRecord struct {
	Holder Holder `json:"holder" cbor:"holder"`
	// Counter grows by one with each renewal.
	Counter uint64 `json:"counter" cbor:"counter"`
	// Former are earlier incarnations whose slots were not reclaimed yet.
	Former []uint64 `json:"former,omitempty" cbor:"former,omitempty"`
	// DataCentre and Address are where peers reach the holder.
	DataCentre string `json:"datacentre" cbor:"datacentre"`
	Address    string `json:"address" cbor:"address"`
}

// Replace returns the record that next writes over r, and false when r belongs
// to a later incarnation. Incarnations that next replaces are kept as former.
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

// Forget returns the record without a former incarnation and whether it was
// there.
func (r *HolderRecord) Forget(former Holder) (HolderRecord, bool) {
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

// Hold is a holder's own right to use its slots.
type Hold struct {
	record     HolderRecord
	terms      LimitTerms
	validUntil time.Time
	inFlight   bool
	nextAt     time.Time
	// superseded is true once a later incarnation of the instance was seen.
	superseded bool
}

// renewRetry is the pause before a failed renewal is repeated.
const renewRetry = 2 * time.Second

// NewHold returns a hold that is not valid before its first renewal.
func NewHold(holder Holder, dataCentre, address string, terms LimitTerms) *Hold {
	record := HolderRecord{Holder: holder, DataCentre: dataCentre, Address: address}
	return &Hold{record: record, terms: terms}
}

// Holder returns the identity of the holder.
func (h *Hold) Holder() Holder { return h.record.Holder }

// Former returns earlier identities whose slots were not reclaimed yet.
func (h *Hold) Former() []Holder {
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

// InFlight reports whether a renewal was sent and not answered.
func (h *Hold) InFlight() bool { return h.inFlight }

// Superseded reports whether a later incarnation of the instance exists.
func (h *Hold) Superseded() bool { return h.superseded }

// NextAt returns when the next renewal is due.
func (h *Hold) NextAt() time.Time { return h.nextAt }

// Renew returns the record to write when a renewal is due.
func (h *Hold) Renew(now time.Time) (HolderRecord, bool) {
	if h.inFlight || h.superseded || now.Before(h.nextAt) {
		return HolderRecord{}, false
	}
	h.inFlight = true
	h.nextAt = now.Add(h.terms.RenewEvery)
	h.record.Counter++
	return h.record, true
}

// Renewed takes the written record of a renewal sent at sentAt. It returns true
// when the hold had lapsed before: the slots may have been reclaimed, so the
// holder went on as a new incarnation and must renew again under it.
func (h *Hold) Renewed(now, sentAt time.Time, written HolderRecord) (lapsed bool) {
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
	h.validUntil = sentAt.Add(h.terms.Hold)
	return false
}

// nextIncarnation makes the holder a new one that holds nothing.
func (h *Hold) nextIncarnation(now time.Time) {
	h.record.Former = append([]uint64{h.record.Holder.Incarnation}, h.record.Former...)
	h.record.Holder.Incarnation++
	h.record.Counter = 0
	h.validUntil = time.Time{}
	h.nextAt = now
}

// Failed takes a renewal whose outcome is failure or unknown. The next one is
// tried soon.
func (h *Hold) Failed(now time.Time) {
	h.inFlight = false
	h.nextAt = now.Add(renewRetry)
}

// Refused takes the record of a later incarnation. The holder uses up its hold
// and does not renew it.
func (h *Hold) Refused() {
	h.inFlight = false
	h.superseded = true
}

// Reclaimed drops former incarnations whose slots are free again.
func (h *Hold) Reclaimed(gone []Holder) {
	kept := h.record.Former[:0:0]
	for _, incarnation := range h.record.Former {
		if !contains(gone, Holder{Instance: h.record.Holder.Instance, Incarnation: incarnation}) {
			kept = append(kept, incarnation)
		}
	}
	h.record.Former = kept
}

// HolderWatch is what one process has itself seen of other holders.
type HolderWatch struct {
	terms   LimitTerms
	records map[string]HolderRecord
	seen    map[Holder]sighting
	lastAt  time.Time
}

// sighting is the time since which a counter was seen unchanged.
type sighting struct {
	counter uint64
	since   time.Time
}

// NewHolderWatch returns a watch that has seen nothing.
func NewHolderWatch(terms LimitTerms) *HolderWatch {
	return &HolderWatch{terms: terms, records: make(map[string]HolderRecord), seen: make(map[Holder]sighting)}
}

// maxObservationGap is the longest time between two reads, in renewal periods,
// that counts as uninterrupted. A watcher that was paused or cut off gives the
// holders time to renew before it counts again.
const maxObservationGap = 3

// See takes one read of all holder records, sent at sentAt and answered at now.
// It returns the holders whose slots are free, ordered.
//
// A counter counts as unchanged from the answer of the first read to the
// sending of the last one: the write of a renewal lies before the first answer,
// and no renewal took effect before the last read was sent.
func (w *HolderWatch) See(now, sentAt time.Time, records []HolderRecord) []Holder {
	if !w.lastAt.IsZero() && now.Sub(w.lastAt) > maxObservationGap*w.terms.RenewEvery {
		w.Interrupted()
	}
	w.lastAt = now
	w.records = make(map[string]HolderRecord, len(records))
	next := make(map[Holder]sighting, len(records))
	for _, r := range records {
		w.records[r.Holder.Instance] = r
		w.follow(next, now, r.Holder, r.Counter)
		for _, incarnation := range r.Former {
			w.follow(next, now, Holder{Instance: r.Holder.Instance, Incarnation: incarnation}, 0)
		}
	}
	w.seen = next
	return w.gone(sentAt)
}

// follow carries the sighting of a holder on. A former incarnation cannot renew
// any more, so its counter is given as 0.
func (w *HolderWatch) follow(next map[Holder]sighting, now time.Time, h Holder, counter uint64) {
	if known, ok := w.seen[h]; ok && known.counter == counter {
		next[h] = known
		return
	}
	next[h] = sighting{counter: counter, since: now}
}

func (w *HolderWatch) gone(sentAt time.Time) []Holder {
	var list []Holder
	for h, s := range w.seen {
		if sentAt.Sub(s.since) >= w.terms.ReclaimAfter() {
			list = append(list, h)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].less(list[j]) })
	return list
}

// Interrupted forgets all sightings. Known records stay for their addresses.
func (w *HolderWatch) Interrupted() { w.seen = make(map[Holder]sighting) }

// Record returns the last seen record of an instance.
func (w *HolderWatch) Record(instance string) (HolderRecord, bool) {
	r, ok := w.records[instance]
	return r, ok
}

// Unchanged returns how long the counter of h has been seen unchanged.
func (w *HolderWatch) Unchanged(h Holder) time.Duration {
	s, ok := w.seen[h]
	if !ok {
		return 0
	}
	return w.lastAt.Sub(s.since)
}

// Rank returns the number of instances with a lower id whose holder is not
// gone. Instances reclaim in the order of their rank.
func (w *HolderWatch) Rank(instance string, gone []Holder) int {
	rank := 0
	for id, r := range w.records {
		if id < instance && !contains(gone, r.Holder) {
			rank++
		}
	}
	return rank
}
