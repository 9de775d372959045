package contract

import "sort"

// AllotmentEntry is the number of slots that one holder has of a limit.
type AllotmentEntry struct {
	Holder Holder `json:"holder" cbor:"holder"`
	Slots  int    `json:"slots" cbor:"slots"`
	// Sequence is the SwapRequest.Sequence of the swap that wrote the entry. After
	// a lost answer it shows whether the swap took effect.
	Sequence uint64 `json:"sequence" cbor:"sequence"`
}

// AllotmentRecord is the platform's value of allotment/<team> and of
// allotment/service/<service>.
//
// Invariant: no swap raises the sum of the entries above Limit, except to
// record work that was running before the limit existed.
type AllotmentRecord struct {
	Limit   Limit            `json:"limit" cbor:"limit"`
	Entries []AllotmentEntry `json:"entries" cbor:"entries"`
}

// SwapPurpose says in which direction a swap may change the holder's entry.
type SwapPurpose string

// Purposes of a swap.
const (
	// SwapRaise only raises the entry. The holder keeps using it meanwhile.
	SwapRaise SwapPurpose = "raise"
	// SwapLower lowers the entry to Want. The holder has already reduced its use.
	SwapLower SwapPurpose = "lower"
	// SwapSettle raises or lowers the entry to fit a changed limit. The holder
	// starts no work until it knows the result.
	SwapSettle SwapPurpose = "settle"
)

// SwapRequest is a holder's request to change its entry by a compare-and-swap
// of the record.
type SwapRequest struct {
	Purpose SwapPurpose
	Holder  Holder
	// Former lists earlier identities of the same process, whose entries are
	// merged into the holder's.
	Former []Holder
	// Limit is the limit that the holder knows. The record keeps the newer one.
	Limit Limit
	// Sequence increases with each request of the holder on one record.
	Sequence uint64
	// Want is the number of slots that the holder needs now.
	Want int
	// Headroom is the number of slots requested on top of Want. At most half of
	// the slots that are still free after Want are granted as headroom, so that at
	// least as many stay free for others.
	Headroom int
	// Floor is the number of the entry's slots that running work and lent loans
	// occupy.
	Floor int
	// Adopt records Floor even above the limit, for work that was running before
	// the limit existed.
	Adopt bool
	// Force writes the record even when it does not change, so that an earlier
	// write of unknown outcome cannot take effect later.
	Force bool
}

// Sum returns the number of slots in all entries.
func (r *AllotmentRecord) Sum() int {
	sum := 0
	for _, e := range r.Entries {
		sum += e.Slots
	}
	return sum
}

// FreeSlots returns the number of slots of the limit that no entry holds.
func (r *AllotmentRecord) FreeSlots() int { return max(0, r.Limit.Slots-r.Sum()) }

// Entry returns the entry of a holder, or an entry without slots when the record
// has none.
func (r *AllotmentRecord) Entry(h Holder) AllotmentEntry {
	for _, e := range r.Entries {
		if e.Holder == h {
			return e
		}
	}
	return AllotmentEntry{Holder: h}
}

// Applied reports whether the request has already been applied to the record.
func (r *AllotmentRecord) Applied(q SwapRequest) bool {
	return r.Entry(q.Holder).Sequence == q.Sequence
}

// Apply returns the record with the request applied, and whether it must be
// written. The receiver is not changed.
func (r *AllotmentRecord) Apply(q SwapRequest) (AllotmentRecord, bool) {
	next := AllotmentRecord{Limit: r.Limit.newer(q.Limit)}
	own := r.Entry(q.Holder).Slots
	merged := 0
	for _, e := range r.Entries {
		switch {
		case e.Holder == q.Holder:
		case contains(q.Former, e.Holder):
			merged += e.Slots
		default:
			next.Entries = append(next.Entries, e)
		}
	}
	slots := next.slotsFor(q, own+merged)
	if slots == own && merged == 0 && next.Limit == r.Limit && !q.Force {
		return *r, false
	}
	next.putEntry(AllotmentEntry{Holder: q.Holder, Slots: slots, Sequence: q.Sequence})
	return next, true
}

// slotsFor returns the number of slots that the holder has once the request is
// applied. The receiver holds the entries of all other holders; own is the
// number of slots that the holder has so far.
func (r *AllotmentRecord) slotsFor(q SwapRequest, own int) int {
	floor := q.Floor
	if !q.Adopt {
		floor = min(floor, own)
	}
	if q.Purpose == SwapLower {
		return max(floor, min(own, q.Want))
	}
	if r.Limit.Unbounded {
		return max(own, q.Want)
	}
	others := r.Sum()
	if own+others > r.Limit.Slots {
		if q.Purpose == SwapRaise {
			return own
		}
		return max(floor, own*r.Limit.Slots/(own+others))
	}
	room := r.Limit.Slots - others
	slots := max(own, min(q.Want, room))
	slots += min(q.Headroom, (room-slots)/2)
	return max(floor, slots)
}

// putEntry adds an entry and sorts the entries by holder. It ignores an entry
// without slots.
func (r *AllotmentRecord) putEntry(e AllotmentEntry) {
	if e.Slots == 0 {
		return
	}
	r.Entries = append(r.Entries, e)
	sort.Slice(r.Entries, func(i, j int) bool { return r.Entries[i].Holder.less(r.Entries[j].Holder) })
}

// Remove returns the record without the entries of the given holders, and the
// number of slots that this frees.
func (r *AllotmentRecord) Remove(holders []Holder) (AllotmentRecord, int) {
	next := AllotmentRecord{Limit: r.Limit}
	freed := 0
	for _, e := range r.Entries {
		if contains(holders, e.Holder) {
			freed += e.Slots
			continue
		}
		next.Entries = append(next.Entries, e)
	}
	return next, freed
}

func (h Holder) less(other Holder) bool {
	if h.Instance != other.Instance {
		return h.Instance < other.Instance
	}
	return h.Incarnation < other.Incarnation
}

func contains(list []Holder, h Holder) bool {
	for _, known := range list {
		if known == h {
			return true
		}
	}
	return false
}
