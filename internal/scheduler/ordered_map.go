package scheduler

import "iter"

// orderedMap is a map that iterates in the order of insertion, so that the same
// events always lead to the same actions. Entries may be deleted during an
// iteration.
type orderedMap[K comparable, V any] struct {
	values map[K]V
	keys   []K
}

func newOrderedMap[K comparable, V any]() *orderedMap[K, V] {
	return &orderedMap[K, V]{values: make(map[K]V)}
}

func (o *orderedMap[K, V]) get(key K) V { return o.values[key] }

func (o *orderedMap[K, V]) len() int { return len(o.values) }

func (o *orderedMap[K, V]) set(key K, value V) {
	if _, known := o.values[key]; !known {
		o.compact()
		o.keys = append(o.keys, key)
	}
	o.values[key] = value
}

func (o *orderedMap[K, V]) delete(key K) { delete(o.values, key) }

// compact drops the keys of deleted entries once they are in the majority. It
// allocates a new list, because an iteration over the old one may be under way.
func (o *orderedMap[K, V]) compact() {
	if len(o.keys) < 2*len(o.values)+16 {
		return
	}
	keys := make([]K, 0, len(o.values)+1)
	seen := make(map[K]bool, len(o.values))
	for _, key := range o.keys {
		if _, ok := o.values[key]; ok && !seen[key] {
			seen[key] = true
			keys = append(keys, key)
		}
	}
	o.keys = keys
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
