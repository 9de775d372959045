package contract

import (
	"cmp"
	"slices"
	"strings"
)

// bulkLoad is the number of loaded objects above which Load drops the cached
// lists instead of updating them object by object. List then builds them again.
const bulkLoad = 64

// RingSize is the size of the ring of recent changes in a Head. At about 1 KB a
// change, a read of the head transfers about 16 KB.
const RingSize = 16

// Change replaces one configuration object. The commit assigns the revision.
type Change struct {
	// ID is unique for each attempt of an operator. After a lost answer it shows
	// whether the change was committed.
	ID string `json:"id" cbor:"id"`
	// Author is the operator who made the change.
	Author string `json:"author" cbor:"author"`
	// Base is the revision of the object that the operator edited, 0 for a new
	// object.
	Base uint64 `json:"base" cbor:"base"`
	// Object is the complete new object.
	Object Object `json:"object" cbor:"object"`
}

// Head is the value of the platform key that orders all changes. Configuration
// is committed only by a compare-and-swap of this key.
//
// Invariant: Changes holds the revisions Revision-len(Changes)+1 to Revision in
// ascending order, and Flushed >= Revision-len(Changes).
type Head struct {
	// Revision is the number of the last committed change.
	Revision uint64 `json:"revision" cbor:"revision"`
	// Flushed is the revision up to which every change was also written to the
	// platform as an object of its own.
	Flushed uint64 `json:"flushed" cbor:"flushed"`
	// Changes is the ring of the most recent changes, oldest first.
	Changes []Change `json:"changes" cbor:"changes"`
}

// Find returns the committed change with the given id.
func (h *Head) Find(id string) (Change, bool) {
	for _, c := range h.Changes {
		if c.ID == id {
			return c, true
		}
	}
	return Change{}, false
}

// Oldest returns the revision of the oldest change in the ring, or Revision+1
// when the ring is empty.
func (h *Head) Oldest() uint64 { return h.Revision - uint64(len(h.Changes)) + 1 }

// Append returns the head that commits the change as the next revision. The
// caller must first have written the object of every change that drops out of
// the ring.
func (h *Head) Append(c Change) Head {
	next := Head{Revision: h.Revision + 1, Flushed: h.Flushed}
	c.Object.Revision = next.Revision
	next.Changes = append(next.Changes, h.Changes...)
	next.Changes = append(next.Changes, c)
	if drop := len(next.Changes) - RingSize; drop > 0 {
		next.Changes = next.Changes[drop:]
	}
	return next
}

// ChangeResult is the result of validating or applying a change.
type ChangeResult string

// Results of a change.
const (
	ChangeAccepted ChangeResult = "accepted"
	// ChangeConflict means that the object was changed after the operator read
	// it.
	ChangeConflict ChangeResult = "conflict"
	// ChangeInvalid means that a field is out of bounds or refers to an object
	// that does not exist.
	ChangeInvalid ChangeResult = "invalid"
	// ChangeOld means that the register has already applied the revision.
	ChangeOld ChangeResult = "old"
	// ChangeGap means that an earlier revision is missing.
	ChangeGap ChangeResult = "gap"
)

// Register is one process's copy of the configuration. It is owned by the
// control thread. Its revision never decreases.
type Register struct {
	revision uint64
	objects  map[Ref]Object
	digest   uint32
	// lists caches the results of List. A cached slice is shared with snapshots
	// and is therefore immutable.
	lists    map[Kind][]Object
	versions map[Kind]uint64
}

// NewRegister returns an empty register at revision 0.
func NewRegister() *Register {
	return &Register{objects: make(map[Ref]Object), lists: make(map[Kind][]Object), versions: make(map[Kind]uint64)}
}

// Revision returns the highest revision up to which all changes are applied.
func (r *Register) Revision() uint64 { return r.revision }

// Digest returns a hash of the revisions of all objects. Registers at the same
// revision have the same digest.
func (r *Register) Digest() uint32 { return r.digest }

// Version returns a number that increases with each change of an object of the
// given kind.
func (r *Register) Version(kind Kind) uint64 { return r.versions[kind] }

// Get returns the object with the given reference unless it was deleted.
func (r *Register) Get(ref Ref) (Object, bool) {
	o, ok := r.objects[ref]
	if !ok || o.Deleted {
		return Object{}, false
	}
	return o, true
}

// List returns the objects of one kind that are not deleted, ordered by name.
// The caller must not change the slice.
func (r *Register) List(kind Kind) []Object {
	if list, ok := r.lists[kind]; ok {
		return list
	}
	var list []Object
	for ref, o := range r.objects {
		if ref.Kind == kind && !o.Deleted {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b Object) int { return strings.Compare(a.Ref.Name, b.Ref.Name) })
	r.lists[kind] = list
	return list
}

// Find returns the object with the given name in a list that List returned.
func Find(list []Object, name string) (Object, bool) {
	i, ok := search(list, name)
	if !ok {
		return Object{}, false
	}
	return list[i], true
}

func search(list []Object, name string) (int, bool) {
	return slices.BinarySearchFunc(list, name, func(o Object, name string) int { return strings.Compare(o.Ref.Name, name) })
}

// Objects returns all objects, including deleted ones, in no particular order.
func (r *Register) Objects() []Object {
	list := make([]Object, 0, len(r.objects))
	for _, o := range r.objects {
		list = append(list, o)
	}
	return list
}

// Since returns one page of the objects with a revision above after, including
// deleted ones, lowest revision first. A page has at most about maxSize encoded
// bytes, but at least one object. More is true when objects remain; the next
// page starts after the last revision returned.
func (r *Register) Since(after uint64, maxSize int) (list []Object, more bool) {
	for _, o := range r.objects {
		if o.Revision > after {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b Object) int { return cmp.Compare(a.Revision, b.Revision) })
	size := 0
	for i := range list {
		size += list[i].size()
		if size > maxSize && i > 0 {
			return list[:i], true
		}
	}
	return list, false
}

// Validate reports whether the change may be committed on top of the register.
// The error names the field when the result is ChangeInvalid.
func (r *Register) Validate(c Change) (ChangeResult, error) {
	if err := c.Object.Check(); err != nil {
		return ChangeInvalid, err
	}
	known := r.objects[c.Object.Ref]
	// Operators cannot read the revision of a deleted object, so they create it
	// again with base 0.
	if known.Revision != c.Base && !(known.Deleted && c.Base == 0) {
		return ChangeConflict, nil
	}
	if err := r.checkReferences(c.Object); err != nil {
		return ChangeInvalid, err
	}
	return ChangeAccepted, nil
}

// checkReferences returns a FieldError when the object refers to a team that
// does not exist.
func (r *Register) checkReferences(o Object) error {
	if o.Deleted {
		return nil
	}
	team := ""
	field := ""
	switch {
	case o.Document != nil:
		team, field = o.Document.Team, "document.team"
	case o.Key != nil:
		team, field = o.Key.Team, "key.team"
	default:
		return nil
	}
	if _, ok := r.Get(Ref{Kind: KindTeam, Name: team}); !ok {
		return &FieldError{Field: field, Value: team, Accepted: "the name of an existing team"}
	}
	return nil
}

// Load merges objects read from the platform. They include every change up to
// revision flushed. An object that is not newer than the known one is ignored.
func (r *Register) Load(flushed uint64, objects []Object) {
	if len(objects) > bulkLoad {
		clear(r.lists)
	}
	for _, o := range objects {
		r.put(o)
	}
	if flushed > r.revision {
		r.revision = flushed
	}
}

// Apply applies a committed change if its revision directly follows the
// register's revision. It returns ChangeOld or ChangeGap otherwise.
func (r *Register) Apply(c Change) ChangeResult {
	if c.Object.Revision <= r.revision {
		return ChangeOld
	}
	if c.Object.Revision > r.revision+1 {
		return ChangeGap
	}
	r.put(c.Object)
	r.revision = c.Object.Revision
	return ChangeAccepted
}

// ApplyHead applies the changes of the head's ring that the register lacks. It
// returns ChangeGap when the ring starts after the register's next revision,
// and ChangeOld when the register lacks none.
func (r *Register) ApplyHead(h Head) ChangeResult {
	result := ChangeOld
	for _, c := range h.Changes {
		switch r.Apply(c) {
		case ChangeGap:
			return ChangeGap
		case ChangeAccepted:
			result = ChangeAccepted
		}
	}
	if r.revision < h.Revision {
		return ChangeGap
	}
	return result
}

// put stores an object that is newer than the known one and ignores others.
func (r *Register) put(o Object) {
	known, ok := r.objects[o.Ref]
	if ok && known.Revision >= o.Revision {
		return
	}
	if ok {
		r.digest ^= known.digest()
	}
	r.digest ^= o.digest()
	r.objects[o.Ref] = o
	r.versions[o.Ref.Kind]++
	r.updateCachedList(o)
}

// updateCachedList replaces the cached list of the object's kind by an updated
// copy, which costs less than sorting all objects again.
func (r *Register) updateCachedList(o Object) {
	list, ok := r.lists[o.Ref.Kind]
	if !ok {
		return
	}
	i, found := search(list, o.Ref.Name)
	next := make([]Object, 0, len(list)+1)
	next = append(next, list[:i]...)
	if !o.Deleted {
		next = append(next, o)
	}
	if found {
		i++
	}
	r.lists[o.Ref.Kind] = append(next, list[i:]...)
}
