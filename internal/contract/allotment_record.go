package contract

import "sort"

// AllotmentEntry is what one holder holds of a limit.
type AllotmentEntry struct {
	Holder Holder `json:"holder" cbor:"holder"`
	Slots  int    `json:"slots" cbor:"slots"`
	// Sequence is the holder's number of the swap that wrote the entry. It
	// resolves lost answers.
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

// SwapPurpose says what a holder may let a swap do to its entry.
type SwapPurpose string

// Purposes of a swap.
const (
	// SwapRaise only raises the entry: the holder goes on using it meanwhile.
	SwapRaise SwapPurpose = "raise"
	// SwapLower lowers the entry to Want. The holder reduced its use before.
	SwapLower SwapPurpose = "lower"
	// SwapSettle moves the entry under a changed limit, up or down. The holder
	// starts nothing until it knows the result.
	SwapSettle SwapPurpose = "settle"
)

// SwapRequest is the wish of one holder to change its entry.
type SwapRequest struct {
	Purpose SwapPurpose
	Holder  Holder
	// Former are earlier identities of the same process. Their entries are
	// taken over.
	Former []Holder
	Limit  Limit
	// Sequence is higher for each request of the holder on one record.
	Sequence uint64
	// Want is the number of slots that the holder has use for now.
	Want int
	// Headroom is asked for on top of Want while at least as much stays free
	// for others.
	Headroom int
	// Floor is the number of slots that running work and loans occupy.
	Floor int
	// Adopt records Floor even above the limit: the work ran before the limit
	// existed.
	Adopt bool
	// Force writes the record even without a change, so that an earlier write
	// whose outcome is unknown cannot take effect any more.
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

// Room returns the number of slots that no entry holds.
func (r *AllotmentRecord) Room() int { return max(0, r.Limit.Slots-r.Sum()) }

// Entry returns the entry of a holder, an empty one when there is none.
func (r *AllotmentRecord) Entry(h Holder) AllotmentEntry {
	for _, e := range r.Entries {
		if e.Holder == h {
			return e
		}
	}
	return AllotmentEntry{Holder: h}
}

// Done reports whether the record already carries the effect of the request.
func (r *AllotmentRecord) Done(q SwapRequest) bool {
	return r.Entry(q.Holder).Sequence == q.Sequence
}

// Apply returns the record after the request and whether it differs. The
// receiver is not changed.
func (r *AllotmentRecord) Apply(q SwapRequest) (AllotmentRecord, bool) {
	next := AllotmentRecord{Limit: r.Limit.newer(q.Limit)}
	own := r.Entry(q.Holder).Slots
	taken := 0
	for _, e := range r.Entries {
		switch {
		case e.Holder == q.Holder:
		case contains(q.Former, e.Holder):
			taken += e.Slots
		default:
			next.Entries = append(next.Entries, e)
		}
	}
	slots := next.size(q, own+taken)
	if slots == own && taken == 0 && next.Limit == r.Limit && !q.Force {
		return *r, false
	}
	next.put(AllotmentEntry{Holder: q.Holder, Slots: slots, Sequence: q.Sequence})
	return next, true
}

// size returns the slots of the requesting holder next to the entries of all
// others. Own is what the holder has so far.
func (r *AllotmentRecord) size(q SwapRequest, own int) int {
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

// put adds an entry in the order of instances; an entry without slots is left
// out.
func (r *AllotmentRecord) put(e AllotmentEntry) {
	if e.Slots == 0 {
		return
	}
	r.Entries = append(r.Entries, e)
	sort.Slice(r.Entries, func(i, j int) bool { return r.Entries[i].Holder.less(r.Entries[j].Holder) })
}

// Remove returns the record without the entries of the given holders and the
// number of slots that this frees.
func (r *AllotmentRecord) Remove(gone []Holder) (AllotmentRecord, int) {
	next := AllotmentRecord{Limit: r.Limit}
	freed := 0
	for _, e := range r.Entries {
		if contains(gone, e.Holder) {
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
