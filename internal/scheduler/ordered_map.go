package scheduler

import "iter"

// orderedMap is a map that iterates in the order of insertion, so that the same
// events always lead to the same actions. Entries may be deleted during an
// iteration.
type orderedMap[K comparable, V any] struct {
	values map[K]V
	// keys may contain deleted keys, but no key twice.
	keys []K
	// deleted are the keys in keys that have no value.
	deleted map[K]bool
}

func newOrderedMap[K comparable, V any]() *orderedMap[K, V] {
	return &orderedMap[K, V]{values: make(map[K]V), deleted: make(map[K]bool)}
}

func (o *orderedMap[K, V]) get(key K) V { return o.values[key] }

func (o *orderedMap[K, V]) len() int { return len(o.values) }

func (o *orderedMap[K, V]) set(key K, value V) {
	if _, known := o.values[key]; !known {
		if o.deleted[key] || len(o.deleted) > len(o.values)+maxDeletedKeys {
			o.compact()
		}
		o.keys = append(o.keys, key)
	}
	o.values[key] = value
}

func (o *orderedMap[K, V]) delete(key K) {
	if _, known := o.values[key]; known {
		delete(o.values, key)
		o.deleted[key] = true
	}
}

// maxDeletedKeys is the number of deleted keys, beyond that of the entries, from
// which the list of keys is compacted.
const maxDeletedKeys = 16

// compact drops the deleted keys. It allocates a new list, because an iteration
// over the old one may be under way.
func (o *orderedMap[K, V]) compact() {
	keys := make([]K, 0, len(o.values)+1)
	for _, key := range o.keys {
		if !o.deleted[key] {
			keys = append(keys, key)
		}
	}
	o.keys = keys
	clear(o.deleted)
}

// all iterates over the entries. A nil map is empty.
func (o *orderedMap[K, V]) all() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		if o == nil {
			return
		}
		for _, key := range o.keys {
			if value, ok := o.values[key]; ok && !yield(key, value) {
				return
			}
		}
	}
}
